//! Generator.
fn main() {}
