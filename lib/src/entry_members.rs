//! The nodes that a node hears of, by the presence notes that they send each other.
//!
//! See [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::entry_nodes::EntryNode;
use crate::ids::{DataCentreId, VmId};
use crate::time::MonoTime;

/// The interval of presence notes, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// The time without a heartbeat after which a node gets no callers, in milliseconds: two lost notes.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_600;
/// The time without a message of a node after which one with an earlier start is believed, in
/// milliseconds: more than its notes are apart.
const RESTART_ACCEPTANCE_MS: u64 = 1_500;
/// The time without a heartbeat after which a node counts as gone, in milliseconds.
const REMOVAL_TIMEOUT_MS: u64 = 30_000;

/// What a node does with callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryPhase {
    /// The node has no configuration yet.
    Starting,
    /// The node is_serving callers.
    Serving,
    /// The node stops as planned.
    Leaving,
}

/// What a node tells others of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeHeartbeat {
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// What the node does with callers.
    #[serde(rename = "standing")]
    pub phase: EntryPhase,
    /// Whether the node had requests lately.
    pub carrying: bool,
    /// The processor that the node has, in thousandths of a core.
    #[serde(rename = "processor_milli")]
    pub cpu_millicores: u32,
    /// Whether the node follows the store itself and the store answers it.
    pub linked: bool,
    /// The version of the node's copy of the routing.
    pub routing_version: u64,
    /// The version of the node's copy of the targets.
    pub targets_version: u64,
}

/// What a node registers of itself when it starts for the first time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeRegistration {
    /// When the node started, in its own Unix milliseconds; tells two starts apart.
    pub started_at_ms: u64,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect; other nodes reach it at the same IP address.
    pub caller_address: SocketAddr,
    /// The processor that the node has, in thousandths of a core.
    #[serde(rename = "processor_milli")]
    pub cpu_millicores: u32,
}

/// Which messages of a node overtake each other without harm: each kind keeps its own order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageStream {
    /// Presence notes.
    Heartbeats,
    /// Counts and news.
    Counts,
}

/// A node as it was heard of.
#[derive(Clone, Debug)]
pub struct KnownNode {
    /// When the node started, in its own Unix milliseconds; tells two starts apart.
    pub started_at_ms: u64,
    /// The node's address.
    pub ip: IpAddr,
    /// What it told of itself; none if only its registration is known.
    pub heartbeat: Option<NodeHeartbeat>,
    registration: Option<NodeRegistration>,
    last_seen: MonoTime,
    is_unresponsive: bool,
    last_sequences: [u64; 2],
}

/// All nodes that a node knows, itself excepted.
#[derive(Debug, Default)]
pub struct EntryMembers {
    nodes: IndexMap<VmId, KnownNode>,
}

impl NodeRegistration {
    /// Says whether another start of the node registered the same.
    pub fn is_same_node(&self, other: &Self) -> bool {
        Self {
            started_at_ms: other.started_at_ms,
            ..self.clone()
        } == *other
    }
}

impl EntryMembers {
    /// Takes in a node's registration.
    pub fn register(&mut self, now: MonoTime, vm: VmId, registration: NodeRegistration) {
        let ip = registration.caller_address.ip();
        self.insert_newer(now, vm.clone(), registration.started_at_ms, ip);
        if let Some(node) = self.nodes.get_mut(&vm)
            && node.started_at_ms <= registration.started_at_ms
        {
            node.registration = Some(registration);
        }
    }

    fn insert_newer(&mut self, now: MonoTime, vm: VmId, started_at_ms: u64, ip: IpAddr) {
        let known = KnownNode {
            started_at_ms,
            ip,
            heartbeat: None,
            registration: None,
            last_seen: now,
            is_unresponsive: false,
            last_sequences: [0; 2],
        };
        match self.nodes.get(&vm) {
            Some(held) if held.started_at_ms >= started_at_ms => {}
            _ => {
                self.nodes.insert(vm, known);
            }
        }
    }

    /// Says whether a message is news: of the newest start of its sender, and not a repeated one.
    pub fn accept_message(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        started_at_ms: u64,
        (lane, sequence): (MessageStream, u64),
        ip: IpAddr,
    ) -> bool {
        self.insert_newer(now, vm.clone(), started_at_ms, ip);
        let timeout = Duration::from_millis(RESTART_ACCEPTANCE_MS);
        let restarted = self.nodes.get(vm).is_some_and(|held| {
            held.started_at_ms > started_at_ms && now.since(held.last_seen) >= timeout
        });
        if restarted {
            // The time of day has jumped back between the two starts.
            self.nodes.swap_remove(vm);
            self.insert_newer(now, vm.clone(), started_at_ms, ip);
        }
        let Some(node) = self.nodes.get_mut(vm) else {
            return false;
        };
        let last = &mut node.last_sequences[lane as usize];
        if node.started_at_ms != started_at_ms || sequence <= *last {
            return false;
        }
        *last = sequence;
        node.last_seen = now;
        true
    }

    /// Takes in a presence heartbeat; returns whether the node was not heard of before.
    pub fn record_heartbeat(&mut self, vm: &VmId, heartbeat: NodeHeartbeat) -> bool {
        let Some(node) = self.nodes.get_mut(vm) else {
            return false;
        };
        node.heartbeat.replace(heartbeat).is_none()
    }

    /// Forgets nodes that were silent for long; returns which nodes that carry traffic or follow the
    /// store have newly fallen silent. Others need not be heard everywhere.
    pub fn tick(&mut self, now: MonoTime) -> Vec<VmId> {
        let timeout = Duration::from_millis(REMOVAL_TIMEOUT_MS);
        self.nodes
            .retain(|_, node| now.since(node.last_seen) < timeout);
        let timeout = Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
        let mut newly_unresponsive = Vec::new();
        for (vm, node) in &mut self.nodes {
            let is_unresponsive = now.since(node.last_seen) >= timeout;
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

    /// Returns all nodes that were heard of lately, or registered lately.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.nodes.iter()
    }

    /// Returns the nodes that serve callers and were heard lately.
    pub fn serving(&self, now: MonoTime) -> impl Iterator<Item = EntryNode> {
        let timeout = Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
        self.nodes.iter().filter_map(move |(vm, node)| {
            let heartbeat = node.heartbeat.as_ref()?;
            let is_serving =
                heartbeat.phase == EntryPhase::Serving && now.since(node.last_seen) < timeout;
            is_serving.then(|| EntryNode {
                vm: vm.clone(),
                data_centre: heartbeat.data_centre.clone(),
                address: heartbeat.caller_address,
                cpu_millicores: heartbeat.cpu_millicores,
            })
        })
    }

    /// Returns the nodes that were heard lately and do not leave, whether they serve yet or not.
    pub fn present(&self, now: MonoTime) -> impl Iterator<Item = EntryNode> {
        self.responsive(now).filter_map(|(vm, node)| {
            let heartbeat = node.heartbeat.as_ref()?;
            let is_staying = heartbeat.phase != EntryPhase::Leaving;
            is_staying.then(|| EntryNode {
                vm: vm.clone(),
                data_centre: heartbeat.data_centre.clone(),
                address: heartbeat.caller_address,
                cpu_millicores: heartbeat.cpu_millicores,
            })
        })
    }

    /// Returns all nodes that may serve callers: those that are registered, heard of or not, but for
    /// those that leave.
    pub fn potential(&self) -> impl Iterator<Item = EntryNode> {
        self.nodes.iter().filter_map(|(vm, node)| {
            let (data_centre, address, cpu_millicores) = match (&node.heartbeat, &node.registration)
            {
                (Some(heartbeat), _) if heartbeat.phase == EntryPhase::Leaving => return None,
                (Some(heartbeat), _) => (
                    &heartbeat.data_centre,
                    heartbeat.caller_address,
                    heartbeat.cpu_millicores,
                ),
                (None, Some(own)) => (&own.data_centre, own.caller_address, own.cpu_millicores),
                (None, None) => return None,
            };
            Some(EntryNode {
                vm: vm.clone(),
                data_centre: data_centre.clone(),
                address,
                cpu_millicores,
            })
        })
    }

    /// Returns the nodes that were heard lately.
    pub fn responsive(&self, now: MonoTime) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        let timeout = Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
        self.nodes
            .iter()
            .filter(move |(_, node)| now.since(node.last_seen) < timeout)
    }

    /// Says whether a node was heard within `age` that follows the store itself.
    pub fn has_recent_linked_node(&self, now: MonoTime, age: Duration) -> bool {
        self.nodes.values().any(|node| {
            let linked = node
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.linked);
            linked && now.since(node.last_seen) < age
        })
    }

    /// Returns the nodes that carry traffic, as far as was heard lately.
    pub fn carrying(&self, now: MonoTime) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.responsive(now).filter(|(_, node)| {
            node.heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.carrying)
        })
    }
}
