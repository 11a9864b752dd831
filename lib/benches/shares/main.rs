//! Measures rate limits, slots and queues on virtual time, each beside its baseline.

#[path = "../../tests/escrow_network.rs"]
#[allow(dead_code)]
mod escrow_network;
#[path = "../../tests/share_fleet.rs"]
#[allow(dead_code)]
mod share_fleet;
#[path = "../../tests/slot_fleet.rs"]
#[allow(dead_code)]
mod slot_fleet;

mod cost;
mod limits;
mod queues;
mod random;
mod slots;

fn main() {
    // First, so that the resident memory is that of the customers alone.
    cost::run();
    limits::run();
    slots::run();
    queues::run();
}
