//! Measures shares.

fn main() {}
