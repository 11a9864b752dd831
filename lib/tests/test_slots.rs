//! Slots move to nodes where requests wait: at once when they are free, in turn when they are not.

use damaskloom_lib::slot_pool::SlotAction;

use crate::slot_fleet::{SlotFleet, budget};

const ROUND_TRIP_MICROS: u64 = 3_000;
const SERVICE_MICROS: u64 = 20_000;
const DEADLINE_MICROS: u64 = 10_000_000;

/// Guards against free slots that stay with idle nodes while a request waits at another one.
#[test]
fn both_slots_of_a_target_reach_any_node_within_a_round_trip() {
    for node in 0..12 {
        let mut fleet = SlotFleet::new(12, 1, 2, 1);
        let mut held = 0;
        for _ in 0..2 {
            held += u32::from(fleet.acquire(node, &budget(0), DEADLINE_MICROS));
            fleet.acquire(node, &budget(0), DEADLINE_MICROS);
            fleet.advance(ROUND_TRIP_MICROS);
        }
        fleet.acquire(node, &budget(0), DEADLINE_MICROS);
        assert_eq!(
            fleet.nodes[node].held.len(),
            2,
            "node {node}, {held} at first"
        );
    }
}

/// Guards against starvation: the first nodes always need all slots, and another one joins later.
#[test]
fn a_node_that_waits_gets_a_slot_although_others_are_never_idle() {
    // Five nodes need two slots all the time; the last node joins later.
    const NODES: usize = 5;
    let mut fleet = SlotFleet::new(NODES, 1, 2, 1);
    let mut served = [0_u32; NODES];
    let mut ends = [const { Vec::new() }; NODES];
    for step in 0..20_000_u64 {
        for node in 0..NODES {
            if node == NODES - 1 && step < 4_000 {
                continue;
            }
            if ends[node].first().is_some_and(|end| *end <= fleet.now) {
                ends[node].remove(0);
                fleet.release(node, 0);
            }
            if fleet.acquire(node, &budget(0), DEADLINE_MICROS) {
                ends[node].push(fleet.now + SERVICE_MICROS);
                served[node] += 1;
            }
        }
        fleet.advance(1_000);
    }
    let all: u32 = served.iter().sum();
    let possible = 2 * 20_000_000 / SERVICE_MICROS as u32;
    assert!(all * 10 >= possible * 9, "{served:?} of {possible}");
    // In the 16 s in which all five need slots, each gets at least half of an equal part.
    let least = possible * 16 / 20 / NODES as u32 / 2;
    assert!(
        served.iter().all(|count| *count >= least),
        "{served:?} below {least}"
    );
}

/// Guards against slots that stay occupied when a request is cancelled and its ticket only dropped.
#[test]
fn a_dropped_ticket_frees_its_slot_without_a_call() {
    let mut fleet = SlotFleet::new(1, 1, 2, 1);
    assert!(fleet.acquire(0, &budget(0), DEADLINE_MICROS));
    assert!(fleet.acquire(0, &budget(0), DEADLINE_MICROS));
    assert!(!fleet.acquire(0, &budget(0), DEADLINE_MICROS));
    fleet.nodes[0].held.pop();
    assert!(fleet.acquire(0, &budget(0), DEADLINE_MICROS));
    let sent = |action: &SlotAction| matches!(action, SlotAction::Send { .. });
    let mut actions = Vec::new();
    let now = fleet.nodes[0].local_time(fleet.now);
    fleet.nodes[0].pool.tick(now, &mut actions);
    assert!(
        !actions.iter().any(sent),
        "a single node sends no loan requests"
    );
}
