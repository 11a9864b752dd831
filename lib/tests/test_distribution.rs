//! Distribution of the configuration under generated faults.
//!
//! Lost, late and repeated messages, pauses, restarts and outdated reads of the platform must not
//! make a node revert to an earlier revision, skip a delta or stay behind the head once the faults
//! are over.

use std::time::Duration;

use damaskloom_lib::config::{
    ConfigChange, ConfigDelta, Customer, FleetConfig, KeyGrant, KeyState,
};
use damaskloom_lib::distribution::{
    ConfigReplica, DistributionMessage, ReplicaAction, ReplicaPeer, ReplicaSettings,
};
use damaskloom_lib::distribution_message::HeadReading;
use damaskloom_lib::head_poll::HeadPoller;
use damaskloom_lib::ids::{Incarnation, NodeId, Revision};
use damaskloom_lib::key::RawKey;
use damaskloom_lib::rendezvous::StableHash;
use damaskloom_lib::snapshot_transfer::SnapshotCursor;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::{BurstSize, RequestRate};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::seeded_run::seeded_runner;

const NODES: usize = 4;
const TICK_MS: u64 = 250;
const MAX_DELAY_TICKS: u64 = 3;
/// The virtual time within which the fleet converges once all faults are over.
const CONVERGENCE_TICKS: u64 = 30_000 / TICK_MS;

#[derive(Clone, Debug)]
enum Step {
    Accept(u8),
    Run(u8),
    BlockLink(usize, usize),
    HealLinks,
    StoreOutage(bool),
    StoreLag(u8),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Snapshot,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        5 => any::<u8>().prop_map(Step::Accept),
        6 => (1_u8..12).prop_map(Step::Run),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::BlockLink(from, to)),
        1 => Just(Step::HealLinks),
        1 => any::<bool>().prop_map(Step::StoreOutage),
        1 => (0_u8..4).prop_map(Step::StoreLag),
        1 => node.clone().prop_map(Step::Pause),
        1 => node.clone().prop_map(Step::Resume),
        2 => node.prop_map(Step::Restart),
        1 => Just(Step::Snapshot),
    ]
}

/// The platform: all accepted deltas, and reads that may fail or be outdated.
#[derive(Default)]
struct FakeStore {
    deltas: Vec<ConfigDelta>,
    snapshot: FleetConfig,
    outage: bool,
    lag: usize,
}

impl FakeStore {
    fn head(&self) -> Revision {
        Revision(self.deltas.len() as u64)
    }

    fn visible(&self) -> Option<usize> {
        (!self.outage).then(|| self.deltas.len().saturating_sub(self.lag))
    }

    fn config_at(&self, revision: Revision) -> FleetConfig {
        let mut config = FleetConfig::default();
        let deltas = self.deltas.iter().take(revision.0 as usize);
        deltas.for_each(|delta| config.apply(delta).unwrap());
        config
    }

    /// Returns the visible deltas; those up to the snapshot are trimmed.
    fn deltas_after(&self, after: Revision) -> Option<Vec<ConfigDelta>> {
        let kept = after.max(self.snapshot.revision).0 as usize;
        let visible = self.visible()?;
        Some(self.deltas[kept.min(visible)..visible].to_vec())
    }
}

struct FakeNode {
    replica: ConfigReplica,
    served: Option<FleetConfig>,
    paused: bool,
    was_ready: bool,
}

struct World {
    now: MonoTime,
    ticks: u64,
    nodes: Vec<FakeNode>,
    store: FakeStore,
    blocked_links: Vec<(usize, usize)>,
    queue: Vec<(u64, usize, NodeId, DistributionMessage)>,
    /// Determines loss, delay and duplication of messages.
    fault_bytes: Vec<u8>,
    faults_drawn: usize,
    incarnation: u64,
    healed: bool,
}

fn node_id(index: usize, incarnation: u64) -> NodeId {
    let vm = format!("vm-{index}").parse().unwrap();
    let incarnation = Incarnation(incarnation);
    NodeId { vm, incarnation }
}

fn change(kind: u8) -> ConfigChange {
    let customer = || format!("c{}", kind % 5).parse().unwrap();
    let digest = RawKey::new([kind % 7]).digest();
    match kind % 4 {
        0 | 1 => ConfigChange::PutCustomer(Customer {
            id: customer(),
            rate: RequestRate::from_per_second(u64::from(kind)),
            burst: BurstSize(1),
            weight: 1,
        }),
        2 => ConfigChange::RemoveCustomer(customer()),
        _ => ConfigChange::PutKey(KeyGrant {
            digest,
            customer: customer(),
            state: KeyState::Granted,
        }),
    }
}

impl World {
    fn new(fault_bytes: Vec<u8>) -> Self {
        let mut world = Self {
            now: MonoTime::from_millis(1_000_000),
            ticks: 0,
            nodes: Vec::new(),
            store: FakeStore::default(),
            blocked_links: Vec::new(),
            queue: Vec::new(),
            fault_bytes,
            faults_drawn: 0,
            incarnation: 0,
            healed: false,
        };
        for index in 0..NODES {
            let node = world.start_node(index);
            world.nodes.push(node);
        }
        world.share_members();
        world
    }

    fn start_node(&mut self, index: usize) -> FakeNode {
        self.incarnation += 1;
        let member = ReplicaPeer {
            node: node_id(index, self.incarnation),
            data_centre: format!("dc-{}", index % 2).parse().unwrap(),
        };
        // One object per part, so that transfers overlap with changes.
        let settings = ReplicaSettings {
            part_bytes: 1,
            readers: 1,
            ..ReplicaSettings::default()
        };
        FakeNode {
            replica: ConfigReplica::new(self.now, member, settings, self.incarnation),
            served: None,
            paused: false,
            was_ready: false,
        }
    }

    fn share_members(&mut self) {
        let members: Vec<ReplicaPeer> = self.nodes.iter().map(|node| node.member()).collect();
        for node in &mut self.nodes {
            node.replica.set_peers(members.clone());
        }
    }

    fn next_fault(&mut self) -> u8 {
        self.faults_drawn += 1;
        self.fault_bytes[self.faults_drawn % self.fault_bytes.len()]
            .wrapping_add((self.faults_drawn / self.fault_bytes.len()) as u8)
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Accept(kind) => {
                let revision = self.store.head().next();
                let changes = vec![change(*kind)];
                self.store.deltas.push(ConfigDelta { revision, changes });
            }
            Step::Run(ticks) => {
                for _ in 0..*ticks {
                    self.tick()?;
                }
            }
            Step::BlockLink(from, to) => self.blocked_links.push((*from, *to)),
            Step::HealLinks => self.blocked_links.clear(),
            Step::StoreOutage(outage) => self.store.outage = *outage,
            Step::StoreLag(lag) => self.store.lag = usize::from(*lag),
            Step::Pause(index) => self.nodes[*index].paused = true,
            Step::Resume(index) => self.nodes[*index].paused = false,
            Step::Restart(index) => {
                self.nodes[*index] = self.start_node(*index);
                self.share_members();
            }
            Step::Snapshot => self.store.snapshot = self.store.config_at(self.store.head()),
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.ticks += 1;
        self.now = self.now + Duration::from_millis(TICK_MS);
        let (due, later) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(at, ..)| *at <= self.ticks);
        self.queue = later;
        let due: Vec<(u64, usize, NodeId, DistributionMessage)> = due;
        for (_, from, to, message) in due {
            self.deliver(from, &to, message)?;
        }
        for index in 0..NODES {
            if !self.nodes[index].paused {
                let actions = self.nodes[index].replica.tick(self.now);
                self.perform(index, actions)?;
            }
        }
        Ok(())
    }

    fn deliver(
        &mut self,
        from: usize,
        to: &NodeId,
        message: DistributionMessage,
    ) -> Result<(), TestCaseError> {
        let receiver = self.nodes.iter().position(|node| node.member().node == *to);
        let Some(receiver) = receiver else {
            return Ok(());
        };
        if self.nodes[receiver].paused {
            // A paused process receives its messages when it resumes.
            self.queue.push((self.ticks + 1, from, to.clone(), message));
            return Ok(());
        }
        let sender = self.nodes[from].member().node;
        let actions = self.nodes[receiver]
            .replica
            .handle(self.now, &sender, message);
        self.perform(receiver, actions)
    }

    fn send(&mut self, from: usize, to: &NodeId, message: DistributionMessage) {
        let receiver = self.nodes.iter().position(|node| node.member().node == *to);
        let is_blocked =
            receiver.is_none_or(|receiver| self.blocked_links.contains(&(from, receiver)));
        let fault = if self.healed { 1 } else { self.next_fault() };
        if is_blocked || fault.is_multiple_of(8) {
            return;
        }
        let at = self.ticks + u64::from(fault) % MAX_DELAY_TICKS;
        if fault.is_multiple_of(5) {
            let copy = (at + 2, from, to.clone(), message.clone());
            self.queue.push(copy);
        }
        self.queue.push((at, from, to.clone(), message));
    }

    fn perform(&mut self, index: usize, actions: Vec<ReplicaAction>) -> Result<(), TestCaseError> {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            actions.extend(self.perform_one(index, action)?);
        }
        self.nodes[index].check()
    }

    fn perform_one(
        &mut self,
        index: usize,
        action: ReplicaAction,
    ) -> Result<Vec<ReplicaAction>, TestCaseError> {
        let now = self.now;
        let node = &mut self.nodes[index];
        match action {
            ReplicaAction::Send { to, message } => self.send(index, &to, message),
            ReplicaAction::OfferSnapshot {
                to,
                transfer,
                cursor,
            } => {
                let config = node.served.clone().unwrap_or_default();
                let offer = node.replica.offer(&config, transfer, cursor);
                self.send(index, &to, offer);
            }
            ReplicaAction::ReadHead => {
                let head = self.store.visible().map(|head| Revision(head as u64));
                return Ok(node.replica.head_read(now, head));
            }
            ReplicaAction::ReadDeltas { after } => {
                let deltas = self.store.deltas_after(after);
                return Ok(node.replica.deltas_read(now, deltas));
            }
            ReplicaAction::ReadSnapshot { newer_than } => {
                let snapshot = self.store.visible().map(|_| self.store.snapshot.clone());
                let snapshot = snapshot.filter(|newest| Some(newest.revision) > newer_than);
                return Ok(node.replica.snapshot_read(now, snapshot));
            }
            ReplicaAction::Install(config) => {
                let before = node.served.as_ref().map(|served| served.revision);
                prop_assert!(
                    Some(config.revision) > before,
                    "an install reverted to an earlier revision"
                );
                prop_assert_eq!(&config, &self.store.config_at(config.revision));
                node.served = Some(config);
            }
            ReplicaAction::Apply(delta) => {
                let accepted = &self.store.deltas[delta.revision.0 as usize - 1];
                prop_assert_eq!(&delta, accepted);
                let served = node.served.as_mut().expect("deltas follow a configuration");
                prop_assert!(served.apply(&delta).is_ok(), "a delta out of order");
            }
            ReplicaAction::HeadProven { revision, at } => {
                prop_assert!(at <= now && node.replica.revision() >= Some(revision));
            }
        }
        Ok(Vec::new())
    }

    fn heal(&mut self) {
        self.healed = true;
        self.blocked_links.clear();
        self.store.outage = false;
        self.store.lag = 0;
        self.nodes.iter_mut().for_each(|node| node.paused = false);
    }

    fn has_converged(&self) -> bool {
        let head = Some(self.store.head());
        self.nodes
            .iter()
            .all(|node| node.replica.revision() == head && node.replica.is_ready())
    }
}

impl FakeNode {
    fn member(&self) -> ReplicaPeer {
        self.replica.member()
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let served = self.served.as_ref().map(|served| served.revision);
        prop_assert_eq!(served, self.replica.revision());
        prop_assert!(!self.replica.is_ready() || served.is_some());
        prop_assert!(self.replica.is_ready() || !self.was_ready);
        self.was_ready = self.replica.is_ready();
        Ok(())
    }
}

/// Guards against nodes that return to an earlier revision, skip one or never catch up, under
/// generated message loss, restarts, pauses and store outages.
#[test]
fn no_node_reverts_and_all_reach_the_head() {
    let histories = (vec(step(), 4..24), vec(any::<u8>(), 16..48));
    let mut runner = seeded_runner(61);
    let result = runner.run(&histories, |(steps, fault_bytes)| {
        let mut world = World::new(fault_bytes);
        steps.iter().try_for_each(|step| world.apply(step))?;
        world.heal();
        for _ in 0..CONVERGENCE_TICKS {
            if world.has_converged() {
                break;
            }
            world.tick()?;
        }
        prop_assert!(world.has_converged(), "not all nodes reached the head");
        let expected = world.store.config_at(world.store.head());
        for node in &world.nodes {
            prop_assert_eq!(node.served.as_ref(), Some(&expected));
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a node that starts without the store and installs an old revision from a peer
/// that lags behind.
#[test]
fn a_node_that_starts_in_an_outage_installs_the_newest_revision_of_its_peers() {
    let mut world = World::new(vec![1]);
    world.heal();
    let run = |world: &mut World, ticks| (0..ticks).for_each(|_| world.tick().unwrap());
    world.apply(&Step::Accept(0)).unwrap();
    run(&mut world, 40);
    // One peer receives nothing more, so that the others are ahead of it.
    world.nodes[0].paused = true;
    world.apply(&Step::Accept(1)).unwrap();
    run(&mut world, 40);
    world.store.outage = true;
    world.nodes[0].paused = false;
    (1..NODES).for_each(|peer| world.blocked_links.push((peer, 0)));
    world.apply(&Step::Restart(3)).unwrap();
    assert!(!world.nodes[3].replica.is_ready());
    run(&mut world, 40);
    assert_eq!(world.nodes[0].replica.revision(), Some(Revision(1)));
    assert_eq!(world.nodes[3].replica.revision(), Some(Revision(2)));
    assert!(world.nodes[3].replica.is_ready());
}

fn lone_replica() -> ConfigReplica {
    let member = ReplicaPeer {
        node: node_id(0, 1),
        data_centre: "dc".parse().unwrap(),
    };
    ConfigReplica::new(MonoTime::ZERO, member, ReplicaSettings::default(), 1)
}

/// Guards against a node that serves on a snapshot although later revisions, such as withdrawals of
/// keys, exist.
#[test]
fn an_old_snapshot_alone_is_not_enough_to_serve() {
    let mut replica = lone_replica();
    let now = MonoTime::from_millis(1_000);
    replica.tick(now);
    replica.snapshot_read(now, Some(FleetConfig::default()));
    assert!(!replica.is_ready());
    replica.head_read(now, Some(Revision(1)));
    assert!(!replica.is_ready());
    let delta = ConfigDelta {
        revision: Revision(1),
        changes: vec![change(0)],
    };
    let actions = replica.deltas_read(now, Some(vec![delta]));
    assert!(replica.is_ready());
    let proof = ReplicaAction::HeadProven {
        revision: Revision(1),
        at: now,
    };
    assert!(actions.contains(&proof));
}

/// Guards against a configuration that was never in force: its parts come from another transfer, or
/// the sender installed another configuration in between.
#[test]
fn parts_of_other_transfers_and_generations_are_not_mixed() {
    let mut replica = lone_replica();
    let peer = node_id(1, 1);
    replica.set_peers([ReplicaPeer {
        node: peer.clone(),
        data_centre: "dc".parse().unwrap(),
    }]);
    let now = MonoTime::from_millis(1_000);
    let stamp = DistributionMessage::HeadStamp {
        revision: Some(Revision(3)),
        reading: None,
    };
    replica.handle(now, &peer, stamp);
    let request = replica
        .tick(now)
        .into_iter()
        .find_map(|action| match action {
            ReplicaAction::Send {
                message: DistributionMessage::SnapshotRequest { transfer, cursor },
                ..
            } => Some((transfer, cursor)),
            _ => None,
        });
    let (transfer, cursor) = request.expect("a starting node sends a request to its newest peer");
    let offer = |transfer, generation, cursor, next| DistributionMessage::SnapshotOffer {
        transfer,
        cursor,
        generation,
        revision: Some(Revision(3)),
        changes: vec![change(0)],
        next,
    };
    let installs = |actions: &[ReplicaAction]| {
        let mut actions = actions.iter();
        actions.any(|action| matches!(action, ReplicaAction::Install(_)))
    };
    let stale = replica.handle(now, &peer, offer(transfer + 1, 1, cursor, None));
    assert!(!installs(&stale));
    let next = SnapshotCursor {
        remaining: 1,
        ..cursor
    };
    let first = replica.handle(now, &peer, offer(transfer, 1, cursor, Some(next)));
    assert!(!installs(&first));
    let mixed = replica.handle(now, &peer, offer(transfer, 2, next, None));
    assert!(!installs(&mixed));
    assert_eq!(replica.revision(), None);
}

/// Runs a single poller for a minute, and returns the seconds at which it read.
fn reading_seconds(rank: usize, answers: bool, last_reading_ms: u64) -> Vec<u64> {
    let (reader, node) = (node_id(0, 1), node_id(1, 1));
    let mut poller = HeadPoller::new(MonoTime::ZERO, Duration::from_secs(1));
    poller.set_rank(rank, 2);
    let mut seconds = Vec::new();
    for ms in (0..60_000).step_by(100) {
        let now = MonoTime::from_millis(ms);
        if ms <= last_reading_ms {
            let (reader, number) = (reader.clone(), 1 + ms / 1_000);
            poller.record_remote_reading(now, HeadReading { reader, number });
        }
        if poller.start_read(now, StableHash(ms)) {
            seconds.push(ms / 1_000);
            poller.finish_read(now, &node, answers);
        }
    }
    seconds
}

/// Guards against a fleet that loses its readers unnoticed, and against all nodes reading at once
/// in an outage.
#[test]
fn readers_read_each_second_and_others_only_once_new_readings_stop() {
    assert!(reading_seconds(0, true, 60_000).len() >= 59);
    assert!(reading_seconds(2, true, 60_000).is_empty());
    // Repeated messages about the same reading do not count as new readings.
    let after_last_reading = reading_seconds(7, true, 10_000);
    assert!(
        (12..17).contains(&after_last_reading[0]),
        "{after_last_reading:?}"
    );
    // In an outage, readers notice its end within seconds, and the others rarely read.
    assert!((28..45).contains(&reading_seconds(0, false, 0).len()));
    assert!(reading_seconds(2, false, 0).len() <= 8);
}
