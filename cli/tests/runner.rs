//! All tests of the crate, one module for each subject.

mod test_ctl;
mod test_demo;
mod test_report;
mod test_versions;
