//! Measures detection.

fn main() {}
