//! The command line, the burn report and the demo.

pub mod demo_story;
pub mod deployment;
pub mod local_fleet;
