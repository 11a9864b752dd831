//! Conservation: no fault lets the fleet admit more than a budget allows.

use std::cell::Cell;

use damaskloom_lib::budget::{BudgetTerms, CLOCK_DRIFT_PPM};
use damaskloom_lib::ids::{CustomerId, Revision};
use damaskloom_lib::rate_limiter::LimitPolicy;
use damaskloom_lib::units::{BurstSize, RequestRate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::share_fleet::{NetFaults, ShareFleet};

const HISTORIES: u32 = 10_000;
const NODES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Requests(usize, u8),
    Advance(u64),
    Cut(usize, usize),
    Heal,
    Pause(usize, u64),
    Restart(usize),
    Faults(u64, u64, u64),
    WriteEpoch,
    LearnEpoch(usize),
    LearnSettled(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), 1..12_u8).prop_map(|(node, count)| Step::Requests(node, count)),
        5 => (0..120_000_u64).prop_map(Step::Advance),
        1 => (500_000..3_000_000_u64).prop_map(Step::Advance),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => Just(Step::Heal),
        1 => (node.clone(), 0..4_000_000_u64).prop_map(|(node, span)| Step::Pause(node, span)),
        1 => node.clone().prop_map(Step::Restart),
        2 => (0..40_u64, 0..40_u64, 0..40_u64).prop_map(|(a, b, c)| Step::Faults(a, b, c)),
        1 => Just(Step::WriteEpoch),
        3 => node.clone().prop_map(Step::LearnEpoch),
        3 => node.prop_map(Step::LearnSettled),
    ]
}

pub fn fixed_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
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
        Step::Requests(node, count) => {
            for _ in 0..count {
                fleet.request(node, customer);
            }
        }
        Step::Advance(span) => fleet.advance(span),
        Step::Cut(from, to) => {
            fleet.cuts.insert((from, to));
        }
        Step::Heal => fleet.cuts.clear(),
        Step::Pause(node, span) => fleet.nodes[node].paused_until = fleet.now + span,
        Step::Restart(node) => fleet.restart(node),
        Step::Faults(lost_percent, doubled_percent, late_percent) => {
            fleet.faults = NetFaults {
                lost_percent,
                doubled_percent,
                late_percent,
            };
        }
        Step::WriteEpoch => fleet.write_epoch(),
        Step::LearnEpoch(node) => fleet.learn_epoch(node),
        Step::LearnSettled(node) => fleet.learn_settled(node),
    }
}

#[test]
fn rate_and_burst_hold_in_every_history() {
    let history = (
        1..40_u64,
        1..20_u32,
        any::<u64>(),
        prop::array::uniform4(1_000_000 - CLOCK_DRIFT_PPM..=1_000_000 + CLOCK_DRIFT_PPM),
        prop::collection::vec(any_step(), 8..32),
    );
    let (admitted, waited) = (Cell::new(0), Cell::new(0));
    fixed_runner(HISTORIES)
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
    // The histories must reach the limit and move shares to mean anything.
    assert!(admitted.get() > u64::from(HISTORIES) * 5, "{admitted:?}");
    assert!(waited.get() > u64::from(HISTORIES) * 5, "{waited:?}");
}
