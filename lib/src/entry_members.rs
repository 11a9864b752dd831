//! Tracks the other nodes of the fleet by their heartbeats and registrations.
//!
//! See [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::entry_nodes::EntryNode;
use crate::fleet_partition::FleetPartition;
use crate::ids::{DataCentreId, VmId};
use crate::store_version::StoreVersion;
use crate::time::MonoTime;

/// The interval of heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// The time without a message after which a node gets no callers, in milliseconds: two lost heartbeats.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_600;
/// The time without a message after which a node that carried traffic counts as silent, in milliseconds:
/// it sends a heartbeat and several counts in that time.
const CARRYING_SILENCE_MS: u64 = 1_250;
/// The time without a message of a node after which one with an earlier start time is accepted, in
/// milliseconds: longer than the heartbeat interval.
const RESTART_ACCEPTANCE_MS: u64 = 1_500;
/// The time without a message after which a node is removed, in milliseconds.
const REMOVAL_TIMEOUT_MS: u64 = 30_000;

/// How long a removed node may still be partitioned and serve callers, in milliseconds. Its part of what the
/// fleet divides is unused for that time if the node has ended.
const MAX_PARTITION_MS: u64 = 600_000;

/// Whether a node serves callers, and if not, why.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryPhase {
    /// The node has no configuration yet.
    Starting,
    /// The node serves callers.
    Serving,
    /// The node is in a planned stop.
    Leaving,
    /// The node could serve callers, but reaches no target.
    CutOff,
}

/// The state that a node sends to all others at an interval.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeHeartbeat {
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Whether the node serves callers.
    #[serde(rename = "standing")]
    pub phase: EntryPhase,
    /// Whether the node had recent requests.
    pub carrying: bool,
    /// The capacity of the node for requests, in thousandths of a core.
    #[serde(rename = "processor_milli")]
    pub capacity_millicores: u32,
    /// Whether the node reads the store itself and the store answers.
    pub linked: bool,
    /// The version of the node's copy of the routing.
    pub routing_version: StoreVersion,
    /// The version of the node's copy of the targets.
    pub targets_version: StoreVersion,
}

/// A node's entry in the store's table of nodes, written at its first start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeRegistration {
    /// When the node started, in its own Unix milliseconds; distinguishes two starts.
    pub started_at_ms: u64,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect; other nodes reach it at the same IP address.
    pub caller_address: SocketAddr,
    /// The capacity of the node for requests, in thousandths of a core.
    #[serde(rename = "processor_milli")]
    pub capacity_millicores: u32,
}

/// The number of times that a node is told that this one relays, with the first heartbeats to it: a
/// datagram may be lost.
const FIRST_RELAY_NOTICES: u8 = 2;

/// The groups of a node's messages that are checked for order separately: one may overtake another
/// without harm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageStream {
    /// Heartbeats, of which only the newest one counts.
    Heartbeats,
    /// Counts, of which only the newest ones count.
    Counts,
    /// All other messages. Each of them counts, and they may overtake each other on different relays.
    Updates,
}

/// The sequence numbers of a stream that have been accepted: the newest one, and which of those before
/// it within a window.
#[derive(Clone, Copy, Debug, Default)]
struct SequenceWindow {
    newest: u64,
    /// The bit of the lowest value stands for `newest`, the next one for the number before it.
    accepted: u128,
}

impl SequenceWindow {
    /// Accepts a sequence number that is newer than all before.
    fn accept_newer(&mut self, sequence: u64) -> bool {
        let is_newer = sequence > self.newest;
        self.newest = self.newest.max(sequence);
        is_newer
    }

    /// Accepts a sequence number once, if it is not older than the window.
    fn accept_once(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let step = sequence - self.newest;
            let shifted = u32::try_from(step)
                .ok()
                .and_then(|step| self.accepted.checked_shl(step));
            self.accepted = shifted.unwrap_or(0) | 1;
            self.newest = sequence;
            return true;
        }
        let age = u32::try_from(self.newest - sequence).ok();
        let Some(bit) = age.and_then(|age| 1_u128.checked_shl(age)) else {
            return false;
        };
        let is_new = sequence > 0 && self.accepted & bit == 0;
        self.accepted |= bit;
        is_new
    }
}

/// Another node, as known by its messages or registration.
#[derive(Clone, Debug)]
pub struct KnownNode {
    /// When the node started, in its own Unix milliseconds; distinguishes two starts.
    pub started_at_ms: u64,
    /// The node's address.
    pub ip: IpAddr,
    /// The last heartbeat; none if only the registration is known.
    pub heartbeat: Option<NodeHeartbeat>,
    /// Whether this start of the node has announced that it relays messages.
    pub relays: bool,
    /// How often this start of the node was told that this node relays.
    relay_notices: u8,
    /// Whether this start of the node tells its readings of the store.
    tells_readings: bool,
    registration: Option<NodeRegistration>,
    last_seen: MonoTime,
    /// Since when all heartbeats say that the node reads the store; none if the last one does not.
    linked_since: Option<MonoTime>,
    is_unresponsive: bool,
    sequences: [SequenceWindow; 3],
}

/// Decides whether a heartbeat is sent to all nodes or only to those of the own data centre.
#[derive(Debug, Default)]
pub struct HeartbeatScope {
    reached_all: bool,
}

impl HeartbeatScope {
    /// Returns whether the next heartbeat is sent to all nodes, given whether all nodes must know of
    /// this node.
    ///
    /// The first heartbeat after that ends is sent to all as well, so that this node does not seem to
    /// have failed.
    pub fn includes_all(&mut self, concerns_all: bool) -> bool {
        let reached_all = std::mem::replace(&mut self.reached_all, concerns_all);
        concerns_all || reached_all
    }
}

/// All other nodes that a node knows.
#[derive(Debug, Default)]
pub struct EntryMembers {
    nodes: IndexMap<VmId, KnownNode>,
    /// The data centres of all nodes that have joined and not left, also of those that are not heard since
    /// they send heartbeats to their data centre only.
    roster: IndexMap<VmId, DataCentreId>,
    /// The nodes that were removed since they fell silent without a planned stop, and when.
    lost: IndexMap<VmId, MonoTime>,
    partition: FleetPartition,
}

/// How many nodes are heard of those that could be.
#[derive(Clone, Copy, Debug, Default)]
struct HeardCount {
    heard: usize,
    all: usize,
}

impl HeardCount {
    fn fraction(self) -> f64 {
        match self.all {
            0 => 1.0,
            all => self.heard as f64 / all as f64,
        }
    }
}

impl NodeHeartbeat {
    /// Returns whether the node is in a planned stop.
    fn is_leaving(&self) -> bool {
        self.phase == EntryPhase::Leaving
    }

    /// Returns whether the node sends its heartbeats to all nodes.
    fn is_heard_by_all(&self) -> bool {
        self.carrying || self.linked
    }
}

impl NodeRegistration {
    /// Returns whether the registrations are equal except for the start time.
    pub fn is_same_node(&self, other: &Self) -> bool {
        Self {
            started_at_ms: other.started_at_ms,
            ..self.clone()
        } == *other
    }
}

impl KnownNode {
    /// Returns whether a message of the node arrived within the heartbeat timeout.
    pub fn is_responsive(&self, now: MonoTime) -> bool {
        self.is_heard_within(now, Duration::from_millis(HEARTBEAT_TIMEOUT_MS))
    }

    /// Returns whether a message of the node arrived within `age`.
    pub fn is_heard_within(&self, now: MonoTime, age: Duration) -> bool {
        now.since(self.last_seen) < age
    }

    /// Returns whether the node has sent nothing for longer than it usually does.
    fn is_silent(&self, now: MonoTime) -> bool {
        let is_carrying = |heartbeat: &NodeHeartbeat| heartbeat.carrying;
        match self.heartbeat.as_ref().is_some_and(is_carrying) {
            true => !self.is_heard_within(now, Duration::from_millis(CARRYING_SILENCE_MS)),
            false => !self.is_responsive(now),
        }
    }

    /// Returns the node's data centre, by its heartbeat or else by its registration.
    pub fn data_centre(&self) -> Option<&DataCentreId> {
        let heartbeat = self.heartbeat.as_ref().map(|own| &own.data_centre);
        heartbeat.or_else(|| self.registration.as_ref().map(|own| &own.data_centre))
    }
}

impl EntryMembers {
    /// Records a node's registration.
    pub fn register(&mut self, now: MonoTime, vm: VmId, registration: NodeRegistration) {
        let ip = registration.caller_address.ip();
        self.roster
            .insert(vm.clone(), registration.data_centre.clone());
        self.insert_newer(now, vm.clone(), registration.started_at_ms, ip);
        if let Some(node) = self.nodes.get_mut(&vm)
            && node.started_at_ms <= registration.started_at_ms
        {
            node.registration = Some(registration);
        }
    }

    fn insert_newer(&mut self, now: MonoTime, vm: VmId, started_at_ms: u64, ip: IpAddr) {
        self.lost.swap_remove(&vm);
        let known = KnownNode {
            started_at_ms,
            ip,
            heartbeat: None,
            relays: false,
            relay_notices: 0,
            tells_readings: false,
            registration: None,
            last_seen: now,
            linked_since: None,
            is_unresponsive: false,
            sequences: [SequenceWindow::default(); 3],
        };
        match self.nodes.get(&vm) {
            Some(held) if held.started_at_ms >= started_at_ms => {}
            _ => {
                self.nodes.insert(vm, known);
            }
        }
    }

    /// Returns whether a message is to be processed: it comes from the sender's newest start, and is
    /// neither a duplicate nor, for heartbeats and counts, older than another one of its stream.
    pub fn accept_message(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        started_at_ms: u64,
        (stream, sequence): (MessageStream, u64),
        ip: IpAddr,
    ) -> bool {
        self.insert_newer(now, vm.clone(), started_at_ms, ip);
        let timeout = Duration::from_millis(RESTART_ACCEPTANCE_MS);
        let restarted = self.nodes.get(vm).is_some_and(|held| {
            held.started_at_ms > started_at_ms && now.since(held.last_seen) >= timeout
        });
        if restarted {
            // The sender's clock has jumped back between the two starts.
            self.nodes.swap_remove(vm);
            self.insert_newer(now, vm.clone(), started_at_ms, ip);
        }
        let Some(node) = self.nodes.get_mut(vm) else {
            return false;
        };
        if node.started_at_ms != started_at_ms {
            return false;
        }
        let window = &mut node.sequences[stream as usize];
        let is_accepted = match stream {
            MessageStream::Heartbeats | MessageStream::Counts => window.accept_newer(sequence),
            MessageStream::Updates => window.accept_once(sequence),
        };
        if !is_accepted {
            return false;
        }
        node.last_seen = now;
        true
    }

    /// Records a heartbeat; returns whether it is the first one of the node.
    pub fn record_heartbeat(&mut self, vm: &VmId, heartbeat: NodeHeartbeat) -> bool {
        let Some(node) = self.nodes.get_mut(vm) else {
            return false;
        };
        match heartbeat.phase {
            EntryPhase::Leaving => self.roster.swap_remove(vm),
            _ => self
                .roster
                .insert(vm.clone(), heartbeat.data_centre.clone()),
        };
        node.linked_since = match heartbeat.linked {
            true => node.linked_since.or(Some(node.last_seen)),
            false => None,
        };
        node.heartbeat.replace(heartbeat).is_none()
    }

    /// Records that a node relays messages; returns whether that is news. The knowledge belongs to the
    /// node's start: a node that starts again may be of the previous build.
    pub fn record_relay(&mut self, vm: &VmId) -> bool {
        let node = self.nodes.get_mut(vm);
        node.is_some_and(|node| !std::mem::replace(&mut node.relays, true))
    }

    /// Records that a node tells its readings of the store. The knowledge belongs to the node's start, as for
    /// [`Self::record_relay`].
    pub fn record_readings(&mut self, vm: &VmId) {
        if let Some(node) = self.nodes.get_mut(vm) {
            node.tells_readings = true;
        }
    }

    /// Returns whether a node tells its readings of the store.
    pub fn tells_readings(&self, vm: &VmId) -> bool {
        self.nodes.get(vm).is_some_and(|node| node.tells_readings)
    }

    /// Returns the nodes that are to be told with the next heartbeat that this node relays, since they
    /// were not told often enough. Nodes of other data centres are told if heartbeats go to them.
    pub fn drain_relay_notices(&mut self, own: &DataCentreId, to_all: bool) -> Vec<IpAddr> {
        let mut due = Vec::new();
        for node in self.nodes.values_mut() {
            let is_reached = to_all || node.data_centre().is_none_or(|centre| centre == own);
            if is_reached && node.relay_notices < FIRST_RELAY_NOTICES {
                node.relay_notices += 1;
                due.push(node.ip);
            }
        }
        due
    }

    /// Removes nodes that have been unresponsive for long, and returns the nodes that newly became
    /// unresponsive and carry traffic or read the store. Other nodes need not reach every node.
    pub fn tick(&mut self, now: MonoTime) -> Vec<VmId> {
        let timeout = Duration::from_millis(REMOVAL_TIMEOUT_MS);
        let is_due = |node: &KnownNode| now.since(node.last_seen) >= timeout;
        for (vm, _) in self.nodes.iter().filter(|(_, node)| is_due(node)) {
            if self.partition.silent.contains(vm) {
                self.lost.insert(vm.clone(), now);
            }
        }
        self.nodes.retain(|_, node| !is_due(node));
        let max_partition = Duration::from_millis(MAX_PARTITION_MS);
        self.lost
            .retain(|_, lost_at| now.since(*lost_at) < max_partition);
        let mut newly_unresponsive = Vec::new();
        for (vm, node) in &mut self.nodes {
            let is_unresponsive = !node.is_responsive(now);
            let heartbeat = node.heartbeat.as_ref();
            let is_relevant =
                heartbeat.is_some_and(|heartbeat| heartbeat.carrying || heartbeat.linked);
            if is_unresponsive && !node.is_unresponsive && is_relevant {
                newly_unresponsive.push(vm.clone());
            }
            node.is_unresponsive = is_unresponsive;
        }
        newly_unresponsive
    }

    /// Returns all nodes with a recent message or registration.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.nodes.iter()
    }

    /// Returns the address of a node.
    pub fn ip(&self, vm: &VmId) -> Option<IpAddr> {
        self.nodes.get(vm).map(|node| node.ip)
    }

    /// Returns the responsive nodes that serve callers.
    pub fn serving(&self, now: MonoTime) -> impl Iterator<Item = EntryNode> {
        self.in_phase(now, EntryPhase::Serving)
    }

    /// Returns the responsive nodes in a phase.
    pub fn in_phase(&self, now: MonoTime, phase: EntryPhase) -> impl Iterator<Item = EntryNode> {
        self.responsive(now).filter_map(move |(vm, node)| {
            let heartbeat = node.heartbeat.as_ref()?;
            (heartbeat.phase == phase).then(|| EntryNode {
                vm: vm.clone(),
                data_centre: heartbeat.data_centre.clone(),
                address: heartbeat.caller_address,
                capacity_millicores: heartbeat.capacity_millicores,
            })
        })
    }

    /// Returns the responsive nodes that are not leaving, whether they serve callers yet or not.
    pub fn present(&self, now: MonoTime) -> impl Iterator<Item = EntryNode> {
        self.responsive(now).filter_map(|(vm, node)| {
            let heartbeat = node.heartbeat.as_ref()?;
            let is_staying = heartbeat.phase != EntryPhase::Leaving;
            is_staying.then(|| EntryNode {
                vm: vm.clone(),
                data_centre: heartbeat.data_centre.clone(),
                address: heartbeat.caller_address,
                capacity_millicores: heartbeat.capacity_millicores,
            })
        })
    }

    /// Returns the registrations of responsive nodes, as their heartbeats show them.
    pub fn registrations(&self, now: MonoTime) -> impl Iterator<Item = (VmId, NodeRegistration)> {
        self.responsive(now).filter_map(|(vm, node)| {
            let heartbeat = node.heartbeat.as_ref()?;
            let registration = NodeRegistration {
                started_at_ms: node.started_at_ms,
                data_centre: heartbeat.data_centre.clone(),
                caller_address: heartbeat.caller_address,
                capacity_millicores: heartbeat.capacity_millicores,
            };
            Some((vm.clone(), registration))
        })
    }

    /// Returns all nodes that may serve callers: known ones that are not leaving, responsive or not.
    pub fn potential(&self) -> impl Iterator<Item = EntryNode> {
        self.nodes.iter().filter_map(|(vm, node)| {
            let (data_centre, address, capacity_millicores) =
                match (&node.heartbeat, &node.registration) {
                    (Some(heartbeat), _) if heartbeat.phase == EntryPhase::Leaving => return None,
                    (Some(heartbeat), _) => (
                        &heartbeat.data_centre,
                        heartbeat.caller_address,
                        heartbeat.capacity_millicores,
                    ),
                    (None, Some(own)) => (
                        &own.data_centre,
                        own.caller_address,
                        own.capacity_millicores,
                    ),
                    (None, None) => return None,
                };
            Some(EntryNode {
                vm: vm.clone(),
                data_centre: data_centre.clone(),
                address,
                capacity_millicores,
            })
        })
    }

    /// Returns the nodes with a message within the heartbeat timeout.
    pub fn responsive(&self, now: MonoTime) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.nodes
            .iter()
            .filter(move |(_, node)| node.is_responsive(now))
    }

    /// Returns whether a node that reads the store itself sent a message within `age`.
    pub fn has_recent_linked_node(&self, now: MonoTime, age: Duration) -> bool {
        self.nodes.values().any(|node| {
            let linked = node
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.linked);
            linked && now.since(node.last_seen) < age
        })
    }

    /// Returns whether a responsive node has read the store since a time without a break.
    pub fn has_node_linked_since(&self, now: MonoTime, since: MonoTime) -> bool {
        self.responsive(now)
            .any(|(_, node)| node.linked_since.is_some_and(|linked| linked <= since))
    }

    /// Returns the nodes that have read the store since a time without a break, as far as their heartbeats
    /// say. One that was not heard recently counts, since this node may have been partitioned from it.
    pub fn readers_since(&self, since: MonoTime) -> impl Iterator<Item = &VmId> {
        let nodes = self
            .nodes
            .iter()
            .filter(move |(_, node)| node.linked_since.is_some_and(|linked| linked <= since));
        nodes.map(|(vm, _)| vm)
    }

    /// Updates which nodes fell silent that were heard here regularly, given this node's data centre.
    ///
    /// Nodes of other data centres that neither carry traffic nor read the store are not heard here. Of
    /// them, the same fraction is taken to be silent as of the others there.
    pub fn update_partition(&mut self, now: MonoTime, own: &DataCentreId) -> &FleetPartition {
        let mut silent: IndexSet<VmId> = self.lost.keys().cloned().collect();
        // The nodes here and elsewhere, those that are heard and all that could be.
        let (mut local, mut remote) = (HeardCount::default(), HeardCount::default());
        for vm in &silent {
            let is_local = self.roster.get(vm) == Some(own);
            let count = if is_local { &mut local } else { &mut remote };
            count.all += 1;
        }
        for (vm, node) in &self.nodes {
            let heartbeat = node.heartbeat.as_ref();
            let is_local = node.data_centre() == Some(own);
            let is_leaving = heartbeat.is_some_and(NodeHeartbeat::is_leaving);
            let is_heard = is_local || heartbeat.is_some_and(NodeHeartbeat::is_heard_by_all);
            if is_leaving || !is_heard {
                continue;
            }
            let is_silent = node.is_silent(now);
            if is_silent && heartbeat.is_some() {
                silent.insert(vm.clone());
            }
            let count = if is_local { &mut local } else { &mut remote };
            count.all += 1;
            count.heard += usize::from(!is_silent);
        }
        let is_elsewhere = |centre: &&DataCentreId| *centre != own;
        let elsewhere = self.roster.values().filter(is_elsewhere).count();
        let unheard = elsewhere.saturating_sub(remote.all);
        let fraction = if remote.all > 0 { remote } else { local }.fraction();
        let heard = 1.0 + (local.heard + remote.heard) as f64 + unheard as f64 * fraction;
        let all = 1 + local.all + remote.all + unheard;
        self.partition = FleetPartition {
            silent,
            heard_part: heard / all as f64,
        };
        &self.partition
    }

    /// Returns the responsive nodes that carry traffic.
    pub fn carrying(&self, now: MonoTime) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.responsive(now).filter(|(_, node)| {
            node.heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.carrying)
        })
    }
}
