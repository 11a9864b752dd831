//! Measures how many of a service's slots are used while requests wait.

use std::collections::BTreeSet;

use crate::random::Random;
use crate::slot_fleet::{SlotFleet, budget};

const TARGETS: usize = 30;
const SLOTS_PER_TARGET: u32 = 2;
const DURATION_MICROS: u64 = 30_000_000;
const WARM_UP_MICROS: u64 = 2_000_000;
const STEP_MICROS: u64 = 500;
const DEADLINE_MICROS: u64 = 10_000_000;
const MEAN_SERVICE_MICROS: f64 = 50_000.0;
/// The number of requests that run or wait for a slot at once on a node with a backlog.
const DEMAND_PER_NODE: usize = 8;

/// The result of one run.
struct Outcome {
    used_percent: f64,
    worst_node_percent: f64,
    messages_per_second: f64,
}

/// Runs a fleet whose first `loaded` nodes always have a backlog.
fn measure(nodes: usize, loaded: usize) -> Outcome {
    let mut random = Random::new(3);
    let mut fleet = SlotFleet::new(nodes, TARGETS, SLOTS_PER_TARGET, 5);
    let mut candidates: Vec<BTreeSet<usize>> = vec![(0..TARGETS).collect(); nodes];
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); nodes];
    let mut done = vec![0_u64; nodes];
    let (mut used, mut samples) = (0, 0);
    while fleet.now < DURATION_MICROS {
        for node in 0..loaded {
            while let Some(position) = running[node].iter().position(|end| *end <= fleet.now) {
                let ticket = &fleet.nodes[node].held[position].ticket;
                candidates[node].insert(target_of(ticket.budget()));
                running[node].swap_remove(position);
                fleet.release(node, position);
                done[node] += u64::from(fleet.now >= WARM_UP_MICROS);
            }
            while let Some(target) = candidates[node].pop_first() {
                if fleet.try_acquire(node, &budget(target), DEADLINE_MICROS) {
                    let service = random.exponential(MEAN_SERVICE_MICROS);
                    running[node].push(fleet.now + service);
                    candidates[node].insert(target);
                }
            }
            let missing = DEMAND_PER_NODE.saturating_sub(running[node].len());
            for offset in 0..missing {
                let target = (node * 7 + offset * 11) % TARGETS;
                fleet.request_units(node, &budget(target));
            }
        }
        fleet.advance(STEP_MICROS);
        for (node, budget) in std::mem::take(&mut fleet.available) {
            candidates[node].insert(target_of(&budget));
        }
        if fleet.now >= WARM_UP_MICROS {
            used += running.iter().map(Vec::len).sum::<usize>();
            samples += 1;
        }
    }
    let slots = TARGETS * SLOTS_PER_TARGET as usize;
    let mean = done.iter().sum::<u64>() as f64 / loaded as f64;
    let worst = done[..loaded].iter().min().copied().unwrap_or_default();
    Outcome {
        used_percent: 100.0 * used as f64 / (samples * slots) as f64,
        worst_node_percent: 100.0 * worst as f64 / mean,
        messages_per_second: fleet.net.sent as f64 / (DURATION_MICROS as f64 / 1e6),
    }
}

fn target_of(budget: &damaskloom_lib::budget::BudgetId) -> usize {
    (0..TARGETS)
        .find(|target| &crate::slot_fleet::budget(*target) == budget)
        .expect("the budget is one of the bench's targets")
}

/// Returns the percentage of slots in use if each node has a fixed equal share of them.
fn static_percent(nodes: usize, loaded: usize) -> f64 {
    let slots = TARGETS * SLOTS_PER_TARGET as usize;
    let used: usize = (0..loaded)
        .map(|node| (slots / nodes + usize::from(node < slots % nodes)).min(DEMAND_PER_NODE))
        .sum();
    100.0 * used as f64 / slots as f64
}

/// Prints one line for each size and load.
pub fn run() {
    println!("used slots, 30 targets with 2 slots, requests waiting all the time");
    println!(
        "{:>5} {:>6} {:>7} {:>8} {:>11} {:>8}",
        "nodes", "loaded", "used%", "static%", "worst node%", "msg/s"
    );
    for (nodes, loaded) in [(40, 40), (40, 8), (48, 48), (48, 8)] {
        let outcome = measure(nodes, loaded);
        let baseline = static_percent(nodes, loaded);
        println!(
            "{nodes:>5} {loaded:>6} {:>7.2} {baseline:>8.2} {:>11.1} {:>8.0}",
            outcome.used_percent, outcome.worst_node_percent, outcome.messages_per_second
        );
        println!(
            "{{\"bench\":\"slots\",\"nodes\":{nodes},\"loaded\":{loaded},\"used_percent\":{:.3},\
             \"static_percent\":{baseline:.3},\"worst_node_percent\":{:.2},\"messages_per_second\":{:.1}}}",
            outcome.used_percent, outcome.worst_node_percent, outcome.messages_per_second
        );
    }
}
