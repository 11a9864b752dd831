//! Runs all tests of the crate in one program.
