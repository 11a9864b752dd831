//! Measures rate limits, slots and queues in virtual time, each compared with its baseline.

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
    // Runs first, so that the growth of the resident memory is that of the customers alone.
    cost::run();
    limits::run();
    slots::run();
    queues::run();
}
