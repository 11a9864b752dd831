//! All tests of the crate, one module for each subject.

mod test_ledger;
mod test_soak;
mod test_stand_ins;
