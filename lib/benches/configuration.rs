//! Measures configuration.

fn main() {}
