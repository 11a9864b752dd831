//! Measures membership.

fn main() {}
