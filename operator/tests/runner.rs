//! All tests of the crate, one module for each subject.

mod test_operator_api;
