//! All tests of the crate, one module for each subject.

mod claim_fixture;
mod fixture;
mod test_at_most_once;
mod test_claims_in_fleet;
mod test_directory_answers;
mod test_key_removal;
mod test_outcomes;
mod test_peer_link;
mod test_planned_stop;
mod test_request_path;
mod test_settings;
mod test_smuggling;
