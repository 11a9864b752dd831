//! Measures rate limits, slots and queues on virtual time, each beside its baseline.

#[path = "../tests/fake_net.rs"]
#[allow(dead_code)]
mod fake_net;
#[path = "../tests/share_fleet.rs"]
#[allow(dead_code)]
mod share_fleet;

mod limits;

fn main() {
    limits::run();
}
