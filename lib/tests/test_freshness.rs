//! Freshness: a node refuses requests with keys when it is isolated, and not when only the store is
//! lost.
//!
//! A node that misses a withdrawal must stop serving in bounded time. Drifting clocks, pauses,
//! delayed and repeated messages must not make its newest proof look younger than it is.

use std::time::Duration;

use damaskloom_lib::freshness::{
    Freshness, FreshnessAction, FreshnessGuard, FreshnessMessage, FreshnessSettings,
};
use damaskloom_lib::ids::Epoch;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::fake_network::{FakeNetwork, NetworkFaults, clock_of, index_of, node_id};
use crate::seeded_run::seeded_runner;

const TERM_MS: u64 = 1_000;
const TICK_MS: u64 = 50;
const READ_INTERVAL_MS: u64 = 200;
/// The term, the drift between the clocks of the fake nodes over it, and one tick.
const BOUND_MS: u64 = TERM_MS + TERM_MS / 500 + TICK_MS;

/// A step of a generated history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Run(u64),
    Outage(bool),
    BlockLink(usize, usize),
    Isolate(usize),
    Heal,
    Pause(usize, bool),
    Faults(NetworkFaults),
}

fn step(nodes: usize) -> impl Strategy<Value = Step> {
    let faults = (0_u64..6, 0_u64..6, 0_u64..300).prop_map(|(drop, duplicate, delay)| {
        Step::Faults(NetworkFaults {
            drop_one_in: if drop == 0 { 0 } else { drop + 1 },
            duplicate_one_in: duplicate,
            max_delay: delay,
        })
    });
    prop_oneof![
        4 => (1_u64..12).prop_map(|ticks| Step::Run(ticks * TICK_MS)),
        1 => any::<bool>().prop_map(Step::Outage),
        1 => (0..nodes, 0..nodes).prop_map(|(from, to)| Step::BlockLink(from, to)),
        1 => (0..nodes).prop_map(Step::Isolate),
        1 => Just(Step::Heal),
        1 => (0..nodes, any::<bool>()).prop_map(|(node, paused)| Step::Pause(node, paused)),
        1 => faults,
    ]
}

/// A few guards and a store that nodes 0 and 1 read.
pub struct World {
    pub guards: Vec<FreshnessGuard>,
    pub paused: Vec<bool>,
    store_unreachable: Vec<bool>,
    pub queue: FakeNetwork<FreshnessMessage>,
    pub store_up: bool,
    now: u64,
    /// The time of the last read of the store by any node.
    last_read: Option<u64>,
}

impl World {
    pub fn new(nodes: usize) -> Self {
        let settings = FreshnessSettings {
            term_ms: TERM_MS,
            ping_interval_ms: 2 * TICK_MS - 1,
            steady_pings: 1,
        };
        let guard = |index| {
            let mut guard = FreshnessGuard::new(settings.clone(), node_id(index), index as u64);
            guard.set_epoch(Epoch(1), (0..nodes).map(node_id));
            guard
        };
        Self {
            guards: (0..nodes).map(guard).collect(),
            paused: vec![false; nodes],
            store_unreachable: vec![false; nodes],
            queue: FakeNetwork::new(9),
            store_up: true,
            now: 0,
            last_read: None,
        }
    }

    fn act(&mut self, from: usize, actions: Vec<FreshnessAction>) {
        for FreshnessAction::Send { to, message } in actions {
            self.queue.send(self.now, from, index_of(&to), message);
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        for flight in self.queue.arrivals(self.now) {
            if self.paused[flight.to] {
                self.queue.in_flight.push(flight);
                continue;
            }
            let clock = clock_of(flight.to, self.now);
            let from = node_id(flight.from);
            let actions = self.guards[flight.to].handle(clock, &from, flight.message);
            self.act(flight.to, actions);
        }
        for node in 0..self.guards.len() {
            if self.paused[node] {
                continue;
            }
            let clock = clock_of(node, self.now);
            let reads = node < 2 && self.now.is_multiple_of(READ_INTERVAL_MS);
            if reads && self.store_up && !self.store_unreachable[node] {
                self.guards[node].record_read(clock, Epoch(1));
                self.last_read = Some(self.now);
            }
            let actions = self.guards[node].tick(clock);
            self.act(node, actions);
        }
    }

    pub fn run(&mut self, duration: u64) {
        for _ in 0..duration / TICK_MS {
            self.tick();
        }
    }

    pub fn isolate(&mut self, node: usize) {
        self.store_unreachable[node] = true;
        for peer in 0..self.guards.len() {
            self.queue
                .blocked_links
                .extend([(node, peer), (peer, node)]);
        }
    }

    pub fn heal(&mut self) {
        self.queue.blocked_links.clear();
        self.store_unreachable.fill(false);
        self.paused.fill(false);
        self.queue.faults = NetworkFaults::default();
    }

    pub fn check(&self, node: usize) -> Freshness {
        self.guards[node].check(clock_of(node, self.now))
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Run(duration) => self.run(duration),
            Step::Outage(down) => self.store_up = !down,
            Step::BlockLink(from, to) => {
                self.queue.blocked_links.insert((from, to));
            }
            Step::Isolate(node) => self.isolate(node),
            Step::Heal => self.heal(),
            Step::Pause(node, paused) => self.paused[node] = paused,
            Step::Faults(faults) => self.queue.faults = faults,
        }
    }

    /// Checks that some node has read the store within the bound if any node claims a fresh proof.
    fn assert_proofs_are_valid(&self) -> Result<(), TestCaseError> {
        for node in 0..self.guards.len() {
            if self.check(node) == Freshness::Fresh {
                let age = self.last_read.map(|read| self.now - read);
                prop_assert!(
                    age.is_some_and(|age| age <= BOUND_MS),
                    "node {node}, age {age:?}"
                );
            }
        }
        Ok(())
    }
}

/// Guards against an isolated node that goes on serving a withdrawn key, after generated delays,
/// pauses and partitions.
#[test]
fn no_proof_looks_younger_than_it_is_and_an_isolated_node_refuses_in_bounded_time() {
    let histories = (vec(step(4), 1..16), 0_usize..4);
    let run = seeded_runner(11).run(&histories, |(steps, isolated)| {
        let mut world = World::new(4);
        for step in steps {
            world.apply(step);
            world.assert_proofs_are_valid()?;
        }
        world.isolate(isolated);
        world.run(BOUND_MS + TICK_MS);
        prop_assert_eq!(world.check(isolated), Freshness::Fenced);
        Ok(())
    });
    run.unwrap();
}

/// Guards against needless refusals when the store is down and some messages are lost or late.
#[test]
fn a_connected_fleet_without_its_store_never_refuses() {
    // Up to 10% loss each way, and delays of up to a twentieth of the term.
    let loss = (0_u64..20, 0_u64..5, 0_u64..TERM_MS / 20, any::<u64>());
    let run = seeded_runner(12).run(&loss, |(drop, duplicate, delay, seed)| {
        let mut world = World::new(3);
        world.queue = FakeNetwork::new(seed);
        world.run(TERM_MS);
        world.store_up = false;
        world.queue.faults = NetworkFaults {
            drop_one_in: if drop == 0 { 0 } else { drop + 9 },
            duplicate_one_in: duplicate,
            max_delay: delay,
        };
        for _ in 0..3 * TERM_MS / TICK_MS {
            world.tick();
            let all = (0..3).all(|node| world.check(node).allows_work());
            prop_assert!(all, "a node refuses at {}", world.now);
        }
        prop_assert_eq!(world.check(0), Freshness::StoreLost);
        Ok(())
    });
    run.unwrap();
}

/// Guards against a node that counts as connected although its messages, or those of its peers, are
/// lost.
#[test]
fn a_partition_in_either_direction_prevents_exchanges() {
    for outgoing in [true, false] {
        let mut world = World::new(5);
        world.run(TERM_MS);
        world.store_up = false;
        for peer in 0..5 {
            let link = if outgoing { (4, peer) } else { (peer, 4) };
            world.queue.blocked_links.insert(link);
        }
        world.run(BOUND_MS + TICK_MS);
        let states: Vec<_> = (0..5).map(|node| world.check(node)).collect();
        assert_eq!(states[4], Freshness::Fenced);
        assert!(
            states[..4]
                .iter()
                .all(|state| *state == Freshness::StoreLost)
        );
    }
}

/// Guards against a fleet that is split in two while both parts keep serving without the store.
#[test]
fn a_minority_without_the_store_refuses_and_the_majority_goes_on() {
    let mut world = World::new(5);
    world.run(TERM_MS);
    world.store_up = false;
    for (one, other) in (0..3).flat_map(|one| [(one, 3), (one, 4)]) {
        world
            .queue
            .blocked_links
            .extend([(one, other), (other, one)]);
    }
    world.run(BOUND_MS + TICK_MS);
    let states: Vec<_> = (0..5).map(|node| world.check(node)).collect();
    assert_eq!(states[..3], [Freshness::StoreLost; 3]);
    assert_eq!(states[3..], [Freshness::Fenced; 2]);
}

/// Guards against a node that resumes after a long pause and serves on what it knew before.
#[test]
fn a_paused_node_does_not_work_on_an_old_proof() {
    let mut world = World::new(3);
    world.run(TERM_MS);
    world.paused[2] = true;
    world.run(4 * TERM_MS);
    assert_eq!(world.check(2), Freshness::Fenced);
    world.paused[2] = false;
    world.run(TERM_MS);
    assert_eq!(world.check(2), Freshness::Fresh);
}

/// Guards against a node that uses shares of an old epoch on proofs that already show a later one.
#[test]
fn a_proof_of_a_later_epoch_does_not_extend_the_term_of_this_one() {
    let settings = FreshnessSettings::default();
    let term = settings.term();
    let mut guard = FreshnessGuard::new(settings, node_id(0), 0);
    guard.set_epoch(Epoch(1), [node_id(0), node_id(1), node_id(2)]);
    let start = clock_of(0, 0);
    guard.record_read(start, Epoch(1));
    let later = start + term;
    guard.record_read(later, Epoch(2));
    let after = later + Duration::from_millis(1);
    assert_eq!(guard.check(after), Freshness::Fresh);
    assert_eq!(guard.check_shares(after), Freshness::Fenced);
    guard.set_epoch(Epoch(2), [node_id(0)]);
    guard.record_read(after, Epoch(2));
    assert_eq!(guard.check_shares(after), Freshness::Fresh);
}
