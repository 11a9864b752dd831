//! Ejection within the floor, its leases, and its end by trials or after a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use damaskloom_lib::ejection_lease::EJECTION_LEASE_MS;
use damaskloom_lib::ejector::{EjectionAction, EjectionMessage, TargetEjector};
use damaskloom_lib::flap_history::{ejection_term, trial_length};
use damaskloom_lib::ids::{Incarnation, NodeId, TargetId};
use damaskloom_lib::mixer::SeedSequence;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::verdict::SuspicionCause;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TARGETS: usize = 5;

fn node(index: usize) -> NodeId {
    NodeId {
        vm: format!("vm-{index}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

pub fn target(index: usize) -> TargetId {
    format!("target-{index}").parse().unwrap()
}

pub fn propose(ejector: &mut TargetEjector, now: MonoTime, index: usize) {
    ejector.propose(now, &target(index), SuspicionCause::Failures, 0);
}

/// A step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Propose {
        node: usize,
        target: usize,
    },
    Advance {
        millis: u64,
    },
    Tick {
        node: usize,
    },
    Trial {
        node: usize,
        target: usize,
        succeeded: bool,
    },
    BlockLink {
        from: usize,
        to: usize,
    },
    Heal,
    Withdraw {
        node: usize,
    },
    Restart {
        node: usize,
    },
}

fn step(nodes: usize) -> impl Strategy<Value = Step> {
    let node = 0..nodes;
    prop_oneof![
        4 => (node.clone(), 0..TARGETS).prop_map(|(node, target)| Step::Propose { node, target }),
        4 => prop_oneof![1 => 1_u64..50, 3 => 900_u64..3_100].prop_map(|millis| Step::Advance { millis }),
        6 => node.clone().prop_map(|node| Step::Tick { node }),
        2 => (node.clone(), 0..TARGETS, any::<bool>())
            .prop_map(|(node, target, succeeded)| Step::Trial { node, target, succeeded }),
        1 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::BlockLink { from, to }),
        1 => Just(Step::Heal),
        1 => node.clone().prop_map(|node| Step::Withdraw { node }),
        1 => node.prop_map(|node| Step::Restart { node }),
    ]
}

/// Ejectors connected by a queue that loses, duplicates and delays messages, with drifting clocks.
struct History {
    ejectors: Vec<TargetEjector>,
    elapsed: Duration,
    free_units: u32,
    in_transit: Vec<(usize, usize, EjectionMessage)>,
    blocked_links: BTreeSet<(usize, usize)>,
    random: SeedSequence,
}

impl History {
    fn new(nodes: usize, units: u32, seed: u64) -> Self {
        let ids: Vec<NodeId> = (0..nodes).map(node).collect();
        let ejectors = ids.iter().map(|id| {
            let mut ejector = TargetEjector::new(id.clone());
            ejector.set_peers(ids.clone());
            ejector
        });
        Self {
            ejectors: ejectors.collect(),
            elapsed: Duration::ZERO,
            free_units: units,
            in_transit: Vec::new(),
            blocked_links: BTreeSet::new(),
            random: SeedSequence::new(seed),
        }
    }

    /// Returns the time on a node's clock; the clocks have different origins and drift up to 1%
    /// apart.
    fn now(&self, node: usize) -> MonoTime {
        let drift = [0, 10_000, 5_000][node % 3];
        let micros = self.elapsed.as_micros() as u64;
        MonoTime::from_micros(1_000_000 * node as u64 + micros + micros * drift / 1_000_000)
    }

    fn apply(&mut self, from: usize, actions: Vec<EjectionAction>) {
        for action in actions {
            match action {
                EjectionAction::Send { to, message } => {
                    let to = (0..self.ejectors.len())
                        .find(|index| node(*index) == to)
                        .unwrap();
                    self.in_transit.push((from, to, message));
                }
                EjectionAction::ClaimUnits(count) => {
                    let granted = count.min(self.free_units);
                    self.free_units -= granted;
                    self.ejectors[from].add_units(granted);
                }
                EjectionAction::ReleaseUnits(count) => self.free_units += count,
                EjectionAction::Ejected { .. } | EjectionAction::Lifted(_) => {}
            }
        }
    }

    fn deliver_some(&mut self) {
        let count = [0, 0, 1, 8][self.random.next_below(4)];
        for _ in 0..count {
            if self.in_transit.is_empty() {
                return;
            }
            let index = self.random.next_below(self.in_transit.len());
            let (from, to, message) = match self.random.next_below(8) {
                0 => self.in_transit[index].clone(),
                _ => self.in_transit.swap_remove(index),
            };
            if self.blocked_links.contains(&(from, to)) || self.random.next_below(10) == 0 {
                continue;
            }
            let now = self.now(to);
            let actions = self.ejectors[to].handle(now, &node(from), message);
            self.apply(to, actions);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Propose { node, target } => {
                let now = self.now(node);
                propose(&mut self.ejectors[node], now, target);
                self.tick(node);
            }
            Step::Advance { millis } => self.elapsed += Duration::from_millis(millis),
            Step::Tick { node } => self.tick(node),
            Step::Trial {
                node,
                target: index,
                succeeded,
            } => {
                let now = self.now(node);
                for _ in 0..20 {
                    let actions = self.ejectors[node].trial_result(now, &target(index), succeeded);
                    self.apply(node, actions);
                }
            }
            Step::BlockLink { from, to } => {
                self.blocked_links.insert((from, to));
            }
            Step::Heal => self.blocked_links.clear(),
            Step::Withdraw { node } => {
                let now = self.now(node);
                let actions = self.ejectors[node].withdraw_units(now, 1);
                self.apply(node, actions);
            }
            Step::Restart { node: index } => {
                // A process that stops loses its units, which the escrow does not issue again here.
                let mut ejector = TargetEjector::new(node(index));
                ejector.set_peers((0..self.ejectors.len()).map(node));
                self.ejectors[index] = ejector;
            }
        }
        self.deliver_some();
    }

    fn tick(&mut self, node: usize) {
        let now = self.now(node);
        let actions = self.ejectors[node].tick(now);
        self.apply(node, actions);
    }

    fn ejected_anywhere(&self) -> usize {
        (0..TARGETS)
            .filter(|index| {
                let is_ejected = |(node, ejector): (usize, &TargetEjector)| {
                    ejector.is_ejected(self.now(node), &target(*index))
                };
                self.ejectors.iter().enumerate().any(is_ejected)
            })
            .count()
    }
}

/// Runs random histories of proposals, trials, withdrawals, restarts, partitions and clock drift.
#[test]
fn targets_ejected_anywhere_never_exceed_the_units() {
    let config = Config {
        cases: 10_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let history = (2_usize..5).prop_flat_map(|nodes| {
        let steps = prop::collection::vec(step(nodes), 10..40);
        (Just(nodes), 0_u32..4, any::<u64>(), steps)
    });
    TestRunner::new_with_rng(config, rng)
        .run(&history, |(nodes, units, seed, steps)| {
            let mut history = History::new(nodes, units, seed);
            for step in steps {
                history.run(step);
                let out = history.ejected_anywhere();
                prop_assert!(out <= units as usize, "{out} of {units} after {step:?}");
            }
            Ok(())
        })
        .unwrap();
}

/// Returns a holder that ejected target 0, and the time of the ejection.
fn holder() -> (TargetEjector, MonoTime) {
    let now = MonoTime::from_millis(1_000);
    let mut ejector = TargetEjector::new(node(0));
    ejector.set_peers([node(1)]);
    ejector.add_units(1);
    propose(&mut ejector, now, 0);
    ejector.tick(now);
    assert!(ejector.is_ejected(now, &target(0)));
    (ejector, now)
}

fn poll_number(actions: &[EjectionAction]) -> u64 {
    let number = actions.iter().find_map(|action| match action {
        EjectionAction::Send {
            message: EjectionMessage::Poll { number },
            ..
        } => Some(*number),
        _ => None,
    });
    number.unwrap()
}

fn answer(holder: &mut TargetEjector, now: MonoTime, number: u64) -> EjectionMessage {
    let actions = holder.handle(now, &node(1), EjectionMessage::Poll { number });
    match actions.into_iter().next() {
        Some(EjectionAction::Send { message, .. }) => message,
        other => panic!("a poll is answered, but got {other:?}"),
    }
}

/// A lease that counted from a delayed grant would outlast the time that the holder allows for it.
#[test]
fn a_lease_counts_from_the_poll_however_late_the_grant_arrives() {
    let (mut holder, now) = holder();
    let mut receiver = TargetEjector::new(node(1));
    let polls = receiver.handle(now, &node(0), EjectionMessage::Announce);
    let grant = answer(&mut holder, now, poll_number(&polls));
    let late = now + Duration::from_millis(EJECTION_LEASE_MS - 1);
    receiver.handle(late, &node(0), grant);
    assert!(receiver.is_ejected(late, &target(0)));
    assert!(!receiver.is_ejected(late + Duration::from_millis(1), &target(0)));
}

/// Guards against ejections beyond the floor: a unit is reused while another node still honours its
/// last ejection, on a slow clock.
#[test]
fn a_unit_stays_bound_until_the_last_lease_has_expired() {
    let (mut holder, now) = holder();
    answer(&mut holder, now, 1);
    let lifted = holder.withdraw_units(now, 1);
    assert!(lifted.contains(&EjectionAction::Lifted(target(0))));
    assert!(!holder.is_ejected(now, &target(0)));
    let expiry = now + Duration::from_millis(EJECTION_LEASE_MS);
    assert!(
        !holder
            .tick(expiry)
            .contains(&EjectionAction::ReleaseUnits(1))
    );
    let drifted = expiry + Duration::from_millis(EJECTION_LEASE_MS / 50);
    assert!(
        holder
            .tick(drifted)
            .contains(&EjectionAction::ReleaseUnits(1))
    );
}

/// Guards against a recovered target that stays ejected, and against a bad one that is tried too
/// often.
#[test]
fn successful_trials_end_an_ejection_and_a_failed_one_doubles_its_term() {
    let (mut ejector, start) = holder();
    let trial_at = start + ejection_term(0);
    assert_eq!(ejector.next_trial(trial_at), None);
    ejector.tick(trial_at);
    assert_eq!(ejector.next_trial(trial_at), Some(target(0)));
    assert_eq!(ejector.next_trial(trial_at), None, "trials are spaced");
    ejector.trial_result(trial_at, &target(0), false);

    let doubled = trial_at + ejection_term(1);
    ejector.tick(doubled - Duration::from_millis(1));
    assert_eq!(ejector.next_trial(doubled), None);
    ejector.tick(doubled);
    for _ in 0..trial_length(1) {
        assert!(ejector.is_ejected(doubled, &target(0)));
        ejector.trial_result(doubled, &target(0), true);
    }
    assert!(!ejector.is_ejected(doubled, &target(0)));
}

/// Guards against a target that stays ejected since its service gets no requests that may be used
/// as trials.
#[test]
fn an_ejection_without_trials_expires() {
    let (mut ejector, start) = holder();
    ejector.tick(start + ejection_term(0));
    let later = start + ejection_term(0) + Duration::from_secs(30);
    assert!(
        ejector
            .tick(later)
            .contains(&EjectionAction::Lifted(target(0)))
    );
}

/// Guards against a target that passes each trial and fails again soon afterwards.
#[test]
fn flapping_makes_each_ejection_longer() {
    let (mut ejector, mut now) = holder();
    let mut terms = BTreeMap::new();
    for round in 0..4_u32 {
        let ejected_at = now;
        while ejector.next_trial(now).is_none() {
            now = now + Duration::from_millis(500);
            ejector.tick(now);
        }
        terms.insert(round, now.since(ejected_at));
        for _ in 0..100 {
            ejector.trial_result(now, &target(0), true);
        }
        propose(&mut ejector, now, 0);
        ejector.tick(now);
    }
    let terms: Vec<u64> = terms.values().map(Duration::as_secs).collect();
    assert_eq!(terms, [5, 10, 20, 40]);
}
