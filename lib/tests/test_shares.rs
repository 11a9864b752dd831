//! Conservation of budgets: no fault lets the fleet admit more than a budget allows.
//!
//! A share would be used twice if a lost, late or duplicate message, a restart, a pause, a clock
//! error or an epoch change made a lender and a borrower use the same part.

use std::cell::Cell;
use std::thread;

use damaskloom_lib::budget::{BudgetTerms, CLOCK_DRIFT_PPM};
use damaskloom_lib::ids::{CustomerId, Revision};
use damaskloom_lib::rate_limiter::LimitPolicy;
use damaskloom_lib::units::{BurstSize, RequestRate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::escrow_network::NetFaults;
use crate::share_fleet::ShareFleet;
use crate::slot_fleet::{SlotFleet, budget};

const HISTORIES: u32 = 10_000;
const THREADS: u32 = 4;
const NODES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Burst(usize, u8),
    Stream(usize, u8, u64),
    Advance(u64),
    BlockLink(usize, usize),
    Heal,
    Pause(usize, u64),
    Restart(usize),
    Faults(u64, u64, u64),
    WriteEpoch,
    Reassign(usize),
    LearnEpoch(usize),
    LearnSettled(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        4 => (node.clone(), 4..24_u8).prop_map(|(node, count)| Step::Burst(node, count)),
        4 => (node.clone(), 4..24_u8, 1_000..40_000_u64)
            .prop_map(|(node, count, gap)| Step::Stream(node, count, gap)),
        3 => (0..120_000_u64).prop_map(Step::Advance),
        1 => (500_000..3_000_000_u64).prop_map(Step::Advance),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::BlockLink(from, to)),
        1 => Just(Step::Heal),
        1 => (node.clone(), 0..4_000_000_u64).prop_map(|(node, span)| Step::Pause(node, span)),
        1 => node.clone().prop_map(Step::Restart),
        2 => (0..40_u64, 0..40_u64, 0..40_u64).prop_map(|(a, b, c)| Step::Faults(a, b, c)),
        1 => Just(Step::WriteEpoch),
        1 => node.clone().prop_map(Step::Reassign),
        1 => node.clone().prop_map(Step::LearnEpoch),
        1 => node.prop_map(Step::LearnSettled),
    ]
}

pub fn fixed_runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

pub fn terms(rate: u64, burst: u32) -> BudgetTerms {
    let rate = RequestRate::from_per_second(rate);
    BudgetTerms::from_rate(Revision(1), rate, BurstSize(burst))
}

pub fn customer(name: &str) -> CustomerId {
    name.parse().expect("the name is an id")
}

fn run_step(fleet: &mut ShareFleet, step: &Step, customer: &CustomerId) {
    match *step {
        Step::Burst(node, count) => {
            for _ in 0..count {
                fleet.request(node, customer);
            }
        }
        Step::Stream(node, count, gap) => {
            for _ in 0..count {
                fleet.request(node, customer);
                fleet.advance(gap);
            }
        }
        Step::Advance(span) => fleet.advance(span),
        Step::BlockLink(from, to) => {
            fleet.net.blocked_links.insert((from, to));
        }
        Step::Heal => fleet.net.blocked_links.clear(),
        Step::Pause(node, span) => fleet.nodes[node].paused_until = fleet.now + span,
        Step::Restart(node) => fleet.restart(node),
        Step::Faults(lost_percent, duplicated_percent, late_percent) => {
            fleet.net.faults = NetFaults {
                lost_percent,
                duplicated_percent,
                late_percent,
            };
        }
        Step::WriteEpoch => fleet.write_epoch(),
        Step::Reassign(restarted) => {
            fleet.restart(restarted);
            fleet.write_epoch();
            (0..NODES).for_each(|node| fleet.learn_epoch(node));
            (0..NODES).for_each(|node| fleet.learn_settled(node));
        }
        Step::LearnEpoch(node) => fleet.learn_epoch(node),
        Step::LearnSettled(node) => fleet.learn_settled(node),
    }
}

/// Runs one thread's part of the histories; returns the numbers of requests that were admitted and
/// that waited.
fn check_histories(seed: u8) -> (u64, u64) {
    let history = (
        1..30_u64,
        1..16_u32,
        any::<u64>(),
        prop::array::uniform4(1_000_000 - CLOCK_DRIFT_PPM..=1_000_000 + CLOCK_DRIFT_PPM),
        prop::collection::vec(any_step(), 6..20),
    );
    let (admitted, waited) = (Cell::new(0), Cell::new(0));
    fixed_runner(HISTORIES / THREADS, seed)
        .run(&history, |(rate, burst, seed, clocks, steps)| {
            let customer = customer("acme");
            let terms = terms(rate, burst);
            let mut fleet = ShareFleet::new(NODES, LimitPolicy::Escrow, seed);
            fleet.tick_micros = 25_000;
            fleet.terms.insert(customer.clone(), terms);
            for (node, ppm) in fleet.nodes.iter_mut().zip(clocks) {
                node.clock_ppm = ppm;
            }
            for step in &steps {
                run_step(&mut fleet, step, &customer);
            }
            admitted.set(admitted.get() + fleet.counts.admitted);
            waited.set(waited.get() + fleet.counts.waited);
            prop_assert_eq!(fleet.over_admitted(&customer, &terms), 0);
            Ok(())
        })
        .expect("the rate and burst hold");
    (admitted.get(), waited.get())
}

/// Guards against a fleet that admits more than a customer's rate and burst, under generated
/// message loss, partitions, pauses and epoch changes.
#[test]
fn rate_and_burst_hold_in_every_history() {
    let (admitted, waited) = thread::scope(|scope| {
        let runs: Vec<_> = (0..THREADS as u8)
            .map(|seed| scope.spawn(move || check_histories(seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("every history holds"))
            .fold((0, 0), |sum, run| (sum.0 + run.0, sum.1 + run.1))
    });
    // Guards against histories that never reach the limit or never move shares.
    assert!(admitted > u64::from(HISTORIES) * 10, "{admitted}");
    assert!(waited > u64::from(HISTORIES) * 10, "{waited}");
}

#[derive(Clone, Debug)]
enum SlotStep {
    Acquire(usize, u64),
    Release(usize),
    Advance(u64),
    BlockLink(usize, usize),
    Heal,
    Pause(usize, u64),
    Faults(u64, u64, u64),
}

fn any_slot_step() -> impl Strategy<Value = SlotStep> {
    let node = 0..NODES;
    prop_oneof![
        16 => (node.clone(), 1_000_000..28_000_000_u64)
            .prop_map(|(node, span)| SlotStep::Acquire(node, span)),
        5 => node.clone().prop_map(SlotStep::Release),
        4 => (1_000..20_000_u64).prop_map(SlotStep::Advance),
        1 => (100_000..2_000_000_u64).prop_map(SlotStep::Advance),
        1 => (25_000_000..40_000_000_u64).prop_map(SlotStep::Advance),
        1 => (node.clone(), node.clone()).prop_map(|(from, to)| SlotStep::BlockLink(from, to)),
        1 => Just(SlotStep::Heal),
        1 => (node, 0..40_000_000_u64).prop_map(|(node, span)| SlotStep::Pause(node, span)),
        1 => (0..30_u64, 0..60_u64, 0..60_u64).prop_map(|(a, b, c)| SlotStep::Faults(a, b, c)),
    ]
}

fn run_slot_step(fleet: &mut SlotFleet, step: &SlotStep) {
    match *step {
        SlotStep::Acquire(node, span) if !fleet.is_paused(node) => {
            fleet.acquire(node, &budget(0), span);
        }
        SlotStep::Release(node) if !fleet.nodes[node].held.is_empty() => fleet.release(node, 0),
        SlotStep::Acquire(..) | SlotStep::Release(_) => {}
        SlotStep::Advance(span) => fleet.advance(span),
        SlotStep::BlockLink(from, to) => {
            fleet.net.blocked_links.insert((from, to));
        }
        SlotStep::Heal => fleet.net.blocked_links.clear(),
        SlotStep::Pause(node, span) => fleet.nodes[node].paused_until = fleet.now + span,
        SlotStep::Faults(lost_percent, duplicated_percent, late_percent) => {
            fleet.net.faults = NetFaults {
                lost_percent,
                duplicated_percent,
                late_percent,
            };
        }
    }
}

/// Guards against two holders of one slot, under generated message loss, partitions, pauses and
/// clock drift.
#[test]
fn no_target_runs_more_than_its_slots_in_any_history() {
    const SLOTS: usize = 2;
    let history = (
        any::<u64>(),
        prop::array::uniform4(1_000_000 - CLOCK_DRIFT_PPM..=1_000_000 + CLOCK_DRIFT_PPM),
        prop::collection::vec(any_slot_step(), 10..40),
    );
    let (full, moved) = (Cell::new(0), Cell::new(0));
    fixed_runner(HISTORIES / THREADS, 11)
        .run(&history, |(seed, clocks, steps)| {
            let mut fleet = SlotFleet::new(NODES, 1, SLOTS as u32, seed);
            fleet.tick_micros = 100_000;
            for (node, ppm) in fleet.nodes.iter_mut().zip(clocks) {
                node.clock_ppm = ppm;
            }
            for step in &steps {
                run_slot_step(&mut fleet, step);
                let occupied = fleet.occupied(&budget(0));
                prop_assert!(occupied <= SLOTS, "{occupied} slots in use");
                full.set(full.get() + usize::from(occupied == SLOTS));
            }
            moved.set(moved.get() + fleet.available.len());
            Ok(())
        })
        .expect("the slots hold");
    // Guards against histories that never fill a target or never move slots.
    assert!(full.get() > 10_000, "{full:?}");
    assert!(moved.get() > 2_000, "{moved:?}");
}
