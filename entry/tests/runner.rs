//! All tests of the crate, one module a subject.

mod fixture;
mod test_fleet;
mod test_log_lines;
mod test_peer_wire;
mod test_planned_stop;
mod test_requests;
mod test_settings;
