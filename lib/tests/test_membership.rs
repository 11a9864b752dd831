//! Membership under crashes, one-way partitions, pauses, loss, planned stops and a lagging VM list.

use std::time::Duration;

use damaskloom_lib::directory::MemberStanding;
use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::membership::{
    MemberList, MembershipAction, MembershipMessage, MembershipSettings, PartitionDirection,
    PeerState, ServingStatus,
};
use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, PlatformError, RowVersion, TableRow, VmEntry, VmState,
};
use damaskloom_lib::registration::{MemberRecord, MemberRegistrar, RegistrarAction};
use damaskloom_lib::time::MonoTime;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::fake_network::{FakeNetwork, NetworkFaults, clock_of, index_of, node_id};
use crate::seeded_run::seeded_runner;

const NODES: usize = 4;
const TICK_MS: u64 = 10;
/// Long enough for a ping, its timeout, and the four messages of an indirect probe.
const INTERVAL_MS: u64 = 8 * TICK_MS;
const PROBE_TIMEOUT_MS: u64 = 3 * TICK_MS;
const LIST_LAG_MS: u64 = 60_000;
/// Six probes an interval, with three helpers each.
const MAX_INITIATED: usize = 24;

fn record(node: NodeId) -> MemberRecord {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        node,
        data_centre: "dc-1".parse().unwrap(),
        peer_address: address,
        caller_address: address,
        token: 0,
    }
}

fn settings() -> MembershipSettings {
    MembershipSettings {
        probe_interval_ms: INTERVAL_MS,
        probe_timeout_ms: PROBE_TIMEOUT_MS,
        give_up_ms: 500,
        probes: 2,
        ..MembershipSettings::default()
    }
}

#[derive(Clone)]
struct World {
    lists: Vec<MemberList>,
    stopped: Vec<bool>,
    queue: FakeNetwork<MembershipMessage>,
    initiated: Vec<usize>,
    now: u64,
}

impl World {
    fn with_seed(&self, seed: u64) -> Self {
        let queue = FakeNetwork::new(seed);
        Self {
            queue,
            ..self.clone()
        }
    }

    fn new() -> Self {
        let list = |index| {
            let own = record(node_id(index));
            let mut list = MemberList::new(settings(), own, index as u64);
            list.set_registered((0..NODES).map(|peer| record(node_id(peer))));
            list
        };
        Self {
            lists: (0..NODES).map(list).collect(),
            stopped: vec![false; NODES],
            queue: FakeNetwork::new(7),
            initiated: vec![0; NODES],
            now: 0,
        }
    }

    fn act(&mut self, from: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::Send { to, message } = action {
                let initiated = matches!(
                    message,
                    MembershipMessage::Ping { .. } | MembershipMessage::PingRequest { .. }
                );
                self.initiated[from] += usize::from(initiated);
                self.queue.send(self.now, from, index_of(&to), message);
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        for flight in self.queue.arrivals(self.now) {
            if self.stopped[flight.to] {
                continue;
            }
            let clock = clock_of(flight.to, self.now);
            let from = node_id(flight.from);
            let actions = self.lists[flight.to].handle(clock, &from, flight.message);
            self.act(flight.to, actions);
        }
        for node in 0..NODES {
            if !self.stopped[node] {
                let actions = self.lists[node].tick(clock_of(node, self.now));
                self.act(node, actions);
            }
        }
    }

    fn run(&mut self, intervals: u64) {
        (0..intervals * INTERVAL_MS / TICK_MS).for_each(|_| self.tick());
    }

    fn state(&self, viewer: usize, peer: usize) -> PeerState {
        self.lists[viewer].state_of(&node_id(peer).vm).unwrap()
    }

    fn views(&self) -> impl Iterator<Item = (usize, usize, PeerState)> {
        let pairs = (0..NODES).flat_map(|viewer| (0..NODES).map(move |peer| (viewer, peer)));
        let others = pairs.filter(|(viewer, peer)| viewer != peer);
        others.map(|(viewer, peer)| (viewer, peer, self.state(viewer, peer)))
    }
}

fn loss() -> impl Strategy<Value = NetworkFaults> {
    (0_u64..20, 0_u64..5, 0_u64..10).prop_map(|(drop, duplicate, delay)| NetworkFaults {
        drop_one_in: if drop == 0 { 0 } else { drop + 9 },
        duplicate_one_in: duplicate,
        max_delay: delay,
    })
}

/// Guards against a crash that some nodes miss, and against healthy nodes that count as unreachable
/// because messages are lost.
#[test]
fn a_crashed_node_is_unreachable_for_all_and_no_other_node_is_under_loss() {
    let fresh = World::new();
    let run = seeded_runner(31).run(
        &(loss(), 0..NODES, any::<u64>()),
        |(faults, crashed, seed)| {
            let mut world = fresh.with_seed(seed);
            world.queue.faults = faults;
            world.run(5);
            world.stopped[crashed] = true;
            world.run(12);
            for (viewer, peer, state) in world.views() {
                if peer == crashed && viewer != crashed {
                    prop_assert_eq!(state, PeerState::Unreachable, "{} of {}", viewer, peer);
                } else if viewer != crashed {
                    prop_assert_ne!(state, PeerState::Unreachable, "{} of {}", viewer, peer);
                }
            }
            Ok(())
        },
    );
    run.unwrap();
}

/// Guards against the removal of a healthy node whose messages to one peer are lost in one
/// direction.
#[test]
fn a_one_way_partition_is_reported_with_its_direction_and_removes_no_member() {
    let pairs = (0..NODES, 1..NODES, any::<u64>());
    let fresh = World::new();
    let run = seeded_runner(32).run(&pairs, |(receiver, step, seed)| {
        let sender = (receiver + step) % NODES;
        let mut world = fresh.with_seed(seed);
        world.queue.blocked_links.insert((sender, receiver));
        world.run(12);
        for (viewer, peer, state) in world.views() {
            let expected = match (viewer, peer) {
                _ if (viewer, peer) == (sender, receiver) => PeerState::OneWayPartition {
                    direction: PartitionDirection::ToPeer,
                },
                _ if (viewer, peer) == (receiver, sender) => PeerState::OneWayPartition {
                    direction: PartitionDirection::FromPeer,
                },
                _ => PeerState::Alive,
            };
            prop_assert_eq!(state, expected, "{} of {}", viewer, peer);
        }
        let directory = world.lists[sender].directory_members();
        prop_assert!(
            directory
                .iter()
                .all(|member| member.standing == MemberStanding::Serving)
        );
        prop_assert_eq!(
            world.lists[sender]
                .candidates(clock_of(sender, world.now))
                .len(),
            NODES
        );
        Ok(())
    });
    run.unwrap();
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    BlockLink(usize, usize),
    Stop(usize, bool),
    Faults(NetworkFaults),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..6).prop_map(Step::Run),
        2 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::BlockLink(from, to)),
        2 => (0..NODES, any::<bool>()).prop_map(|(node, stopped)| Step::Stop(node, stopped)),
        1 => loss().prop_map(Step::Faults),
    ]
}

/// Applies a step; a stopped node loses the messages that arrive meanwhile, as a paused process
/// does whose queue is full.
fn apply(world: &mut World, step: &Step) -> Result<(), TestCaseError> {
    match *step {
        Step::Run(intervals) => {
            world.initiated.fill(0);
            world.run(intervals);
            let most = world.initiated.iter().max().copied();
            // The first and the last interval may overlap the run in part.
            let bound = MAX_INITIATED * (intervals as usize + 1);
            prop_assert!(
                most <= Some(bound),
                "{most:?} probes in {intervals} intervals"
            );
        }
        Step::BlockLink(from, to) => {
            world.queue.blocked_links.insert((from, to));
        }
        Step::Stop(node, stopped) => world.stopped[node] = stopped,
        Step::Faults(faults) => world.queue.faults = faults,
    }
    Ok(())
}

/// Guards against a flood of probes during faults, and against suspicions that outlast them.
#[test]
fn probes_stay_bounded_and_all_peers_are_alive_again_after_any_faults() {
    let fresh = World::new();
    let run = seeded_runner(33).run(&(vec(step(), 1..10), any::<u64>()), |(steps, seed)| {
        let mut world = fresh.with_seed(seed);
        for step in &steps {
            apply(&mut world, step)?;
        }
        world.queue.blocked_links.clear();
        world.queue.faults = NetworkFaults::default();
        world.stopped.fill(false);
        world.run(8);
        for (viewer, peer, state) in world.views() {
            prop_assert_eq!(state, PeerState::Alive, "{} of {}", viewer, peer);
        }
        Ok(())
    });
    run.unwrap();
}

/// Guards against a node that loses its shares while it still serves, and against a late message
/// that undoes its announcement.
#[test]
fn a_planned_stop_leaves_the_directory_at_once_and_the_members_last() {
    let mut world = World::new();
    world.run(3);
    let actions = world.lists[0].set_status(ServingStatus::Leaving);
    world.act(0, actions);
    world.run(1);
    // A ping that was sent before the announcement arrives late.
    let late = MembershipMessage::Ping {
        seq: 9_999,
        status: ServingStatus::Serving,
        updates: Vec::new(),
    };
    world.lists[1].handle(clock_of(1, world.now), &node_id(0), late);
    for viewer in 1..NODES {
        assert_eq!(world.state(viewer, 0), PeerState::Leaving);
        assert_eq!(
            world.lists[viewer]
                .candidates(clock_of(viewer, world.now))
                .len(),
            NODES
        );
    }
    let actions = world.lists[0].set_status(ServingStatus::Stopping);
    world.act(0, actions);
    world.run(1);
    for viewer in 0..NODES {
        assert_eq!(
            world.lists[viewer]
                .candidates(clock_of(viewer, world.now))
                .len(),
            NODES - 1
        );
    }
}

/// Guards against the removal of a running node by an outdated VM list, which lacks new VMs and may
/// lack others for a time.
#[test]
fn a_vm_is_removed_only_if_it_was_listed_and_then_absent_for_the_lag() {
    let mut list = World::new().lists.swap_remove(0);
    let entry = |peer| VmEntry {
        id: node_id(peer).vm,
        data_centre: "dc-1".parse().unwrap(),
        peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        state: if peer == 2 {
            VmState::Leaving
        } else {
            VmState::Live
        },
    };
    let at = MonoTime::from_millis;
    // VM 1 is too new to be in the list.
    list.set_vm_list(at(0), &[entry(2), entry(3)]);
    assert_eq!(list.state_of(&node_id(2).vm), Some(PeerState::Leaving));
    list.set_vm_list(at(1_000), &[entry(2)]);
    // An outdated list shows VM 3 again; afterwards it stays absent.
    list.set_vm_list(at(LIST_LAG_MS - 1), &[entry(2), entry(3)]);
    list.set_vm_list(at(LIST_LAG_MS + 1_000), &[entry(2)]);
    assert_eq!(list.removed_nodes().count(), 0);
    list.set_vm_list(at(2 * LIST_LAG_MS + 1_000), &[entry(2)]);
    assert_eq!(list.removed_nodes().collect::<Vec<_>>(), [&node_id(3)]);
    assert_eq!(list.state_of(&node_id(1).vm), Some(PeerState::Alive));
}

/// Guards against an earlier start of a process that counts as a member beside the later one, or
/// replaces it by a late message.
#[test]
fn later_starts_on_half_of_the_vms_replace_the_earlier_ones() {
    let mut world = World::new();
    world.run(3);
    let list = &mut world.lists[0];
    let newer = |peer: usize| NodeId {
        incarnation: Incarnation(2),
        ..node_id(peer)
    };
    let now = clock_of(0, world.now);
    let ping = |seq| MembershipMessage::Ping {
        seq,
        status: ServingStatus::Serving,
        updates: Vec::new(),
    };
    let actions = list.handle(now, &newer(1), ping(1));
    assert!(actions.contains(&MembershipAction::Refresh), "{actions:?}");
    list.set_registered([record(newer(1)), record(newer(2))]);
    assert!(
        list.handle(now, &node_id(1), ping(2)).is_empty(),
        "a message of an earlier start is handled"
    );
    list.set_registered([record(node_id(1))]);
    let candidates = list.candidates(now + Duration::from_millis(1));
    let mut nodes: Vec<_> = candidates.into_iter().map(|record| record.node).collect();
    nodes.sort();
    assert_eq!(nodes, [node_id(0), newer(1), newer(2), node_id(3)]);
}

/// Registers one start; the answer to a commit may be lost before or after the write takes effect.
fn register(row: &mut Option<TableRow>, token: u64, faults: &[u8]) -> NodeId {
    let own = MemberRecord {
        token,
        ..record(node_id(1))
    };
    let mut registrar = MemberRegistrar::new(own);
    let mut faults = faults.iter();
    for seconds in 0..100 {
        let now = MonoTime::from_millis(seconds * 10_000);
        let mut actions = registrar.tick(now);
        while let Some(action) = actions.pop() {
            actions = match action {
                RegistrarAction::Read(_) => registrar.on_read(now, Ok(row.clone())),
                RegistrarAction::Commit(transaction) => {
                    let fault = faults.next().copied().unwrap_or(0);
                    let version = row.as_ref().map(|row| row.version);
                    let holds = match &transaction.conditions[0] {
                        Condition::VersionIs(_, expected) => version == Some(*expected),
                        Condition::Absent(_) => version.is_none(),
                    };
                    assert!(holds, "nobody else writes");
                    let next = version.map_or(1, |version| version.0 + 1);
                    if let (0 | 1, Mutation::Put(key, value)) = (fault, &transaction.mutations[0]) {
                        *row = Some(TableRow {
                            key: key.clone(),
                            value: value.clone(),
                            version: RowVersion(next),
                        });
                    }
                    let lost = PlatformError::AnswerLost {
                        detail: "lost".into(),
                    };
                    let outcome = if fault == 0 {
                        Ok(CommitOutcome::Committed)
                    } else {
                        Err(lost)
                    };
                    registrar.on_commit(now, outcome)
                }
                RegistrarAction::Registered(record) => return record.node,
            };
        }
    }
    panic!("not registered");
}

/// Guards against two starts with the same incarnation: the answer of the registration is lost,
/// before or after it took effect.
#[test]
fn incarnations_rise_by_one_per_start_whatever_answers_are_lost() {
    let run = seeded_runner(34).run(&vec(vec(0_u8..3, 0..4), 1..6), |starts| {
        let mut row = None;
        for (number, faults) in (1..).zip(&starts) {
            let node = register(&mut row, number, faults);
            prop_assert_eq!(node.incarnation, Incarnation(number));
        }
        Ok(())
    });
    run.unwrap();
}

/// Guards against a paused node that blames its peers for answers which it could not receive.
#[test]
fn a_node_that_resumes_after_a_pause_suspects_no_peer() {
    let mut world = World::new();
    world.run(3);
    // The node is paused while probes are in flight, and their answers are lost.
    world.initiated.fill(0);
    while world.initiated[0] == 0 {
        world.tick();
    }
    world.stopped[0] = true;
    world.run(6);
    world.stopped[0] = false;
    world.tick();
    for (_, peer, state) in world.views().filter(|(viewer, ..)| *viewer == 0) {
        assert_eq!(state, PeerState::Alive, "{peer}");
    }
}
