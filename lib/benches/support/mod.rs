//! Simulated nodes and targets on virtual time, for the benchmarks and tests of detection.

pub mod cost;
pub mod fault;
pub mod fleet;
pub mod stand_in_target;
