//! All tests of the crate, one module a subject.

mod test_ctl;
mod test_demo;
mod test_report;
mod test_versions;
