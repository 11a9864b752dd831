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
pub const PRESENCE_MS: u64 = 1_000;
/// The time without a note after which a node gets no callers, in milliseconds: two lost notes.
const SILENT_MS: u64 = 2_600;
/// The time without a message of a node after which one with an earlier start is believed, in
/// milliseconds: more than its notes are apart.
const RESTARTED_MS: u64 = 1_500;
/// The time without a note after which a node counts as gone, in milliseconds.
const GONE_MS: u64 = 30_000;

/// What a node does with callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryStanding {
    /// The node has no configuration yet.
    Starting,
    /// The node serves callers.
    Serving,
    /// The node stops as planned.
    Leaving,
}

/// What a node tells others of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PresenceNote {
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// What the node does with callers.
    pub standing: EntryStanding,
    /// Whether the node had requests lately.
    pub carrying: bool,
    /// The processor that the node has, in thousandths of a core.
    pub processor_milli: u32,
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
    pub processor_milli: u32,
}

/// Which messages of a node overtake each other without harm: each kind keeps its own order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageLane {
    /// Presence notes.
    Presence,
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
    pub note: Option<PresenceNote>,
    registration: Option<NodeRegistration>,
    heard_at: MonoTime,
    is_silent: bool,
    last_numbers: [u64; 2],
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
        self.put(now, vm.clone(), registration.started_at_ms, ip);
        if let Some(node) = self.nodes.get_mut(&vm)
            && node.started_at_ms <= registration.started_at_ms
        {
            node.registration = Some(registration);
        }
    }

    fn put(&mut self, now: MonoTime, vm: VmId, started_at_ms: u64, ip: IpAddr) {
        let known = KnownNode {
            started_at_ms,
            ip,
            note: None,
            registration: None,
            heard_at: now,
            is_silent: false,
            last_numbers: [0; 2],
        };
        match self.nodes.get(&vm) {
            Some(held) if held.started_at_ms >= started_at_ms => {}
            _ => {
                self.nodes.insert(vm, known);
            }
        }
    }

    /// Says whether a message is news: of the newest start of its sender, and not a repeated one.
    pub fn accept(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        started_at_ms: u64,
        (lane, number): (MessageLane, u64),
        ip: IpAddr,
    ) -> bool {
        self.put(now, vm.clone(), started_at_ms, ip);
        let silent = Duration::from_millis(RESTARTED_MS);
        let restarted = self.nodes.get(vm).is_some_and(|held| {
            held.started_at_ms > started_at_ms && now.since(held.heard_at) >= silent
        });
        if restarted {
            // The time of day has jumped back between the two starts.
            self.nodes.swap_remove(vm);
            self.put(now, vm.clone(), started_at_ms, ip);
        }
        let Some(node) = self.nodes.get_mut(vm) else {
            return false;
        };
        let last = &mut node.last_numbers[lane as usize];
        if node.started_at_ms != started_at_ms || number <= *last {
            return false;
        }
        *last = number;
        node.heard_at = now;
        true
    }

    /// Takes in a presence note; returns whether the node was not heard of before.
    pub fn note(&mut self, vm: &VmId, note: PresenceNote) -> bool {
        let Some(node) = self.nodes.get_mut(vm) else {
            return false;
        };
        node.note.replace(note).is_none()
    }

    /// Forgets nodes that were silent for long; returns which nodes that carry traffic or follow the
    /// store have newly fallen silent. Others need not be heard everywhere.
    pub fn tick(&mut self, now: MonoTime) -> Vec<VmId> {
        let gone = Duration::from_millis(GONE_MS);
        self.nodes.retain(|_, node| now.since(node.heard_at) < gone);
        let silent = Duration::from_millis(SILENT_MS);
        let mut newly_silent = Vec::new();
        for (vm, node) in &mut self.nodes {
            let is_silent = now.since(node.heard_at) >= silent;
            let note = node.note.as_ref();
            let counts = note.is_some_and(|note| note.carrying || note.linked);
            if is_silent && !node.is_silent && counts {
                newly_silent.push(vm.clone());
            }
            node.is_silent = is_silent;
        }
        newly_silent
    }

    /// Returns all nodes that were heard of lately, or registered lately.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.nodes.iter()
    }

    /// Returns the nodes that serve callers and were heard lately.
    pub fn serving(&self, now: MonoTime) -> impl Iterator<Item = EntryNode> {
        let silent = Duration::from_millis(SILENT_MS);
        self.nodes.iter().filter_map(move |(vm, node)| {
            let note = node.note.as_ref()?;
            let serves =
                note.standing == EntryStanding::Serving && now.since(node.heard_at) < silent;
            serves.then(|| EntryNode {
                vm: vm.clone(),
                data_centre: note.data_centre.clone(),
                address: note.caller_address,
                processor_milli: note.processor_milli,
            })
        })
    }

    /// Returns the nodes that were heard lately and do not leave, whether they serve yet or not.
    pub fn present(&self, now: MonoTime) -> impl Iterator<Item = EntryNode> {
        self.heard(now).filter_map(|(vm, node)| {
            let note = node.note.as_ref()?;
            let stays = note.standing != EntryStanding::Leaving;
            stays.then(|| EntryNode {
                vm: vm.clone(),
                data_centre: note.data_centre.clone(),
                address: note.caller_address,
                processor_milli: note.processor_milli,
            })
        })
    }

    /// Returns all nodes that may serve callers: those that are registered, heard of or not, but for
    /// those that leave.
    pub fn possible(&self) -> impl Iterator<Item = EntryNode> {
        self.nodes.iter().filter_map(|(vm, node)| {
            let (data_centre, address, processor_milli) = match (&node.note, &node.registration) {
                (Some(note), _) if note.standing == EntryStanding::Leaving => return None,
                (Some(note), _) => (&note.data_centre, note.caller_address, note.processor_milli),
                (None, Some(own)) => (&own.data_centre, own.caller_address, own.processor_milli),
                (None, None) => return None,
            };
            Some(EntryNode {
                vm: vm.clone(),
                data_centre: data_centre.clone(),
                address,
                processor_milli,
            })
        })
    }

    /// Returns the nodes that were heard lately.
    pub fn heard(&self, now: MonoTime) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        let silent = Duration::from_millis(SILENT_MS);
        self.nodes
            .iter()
            .filter(move |(_, node)| now.since(node.heard_at) < silent)
    }

    /// Says whether a node was heard within `age` that follows the store itself.
    pub fn hears_linked(&self, now: MonoTime, age: Duration) -> bool {
        self.nodes.values().any(|node| {
            let linked = node.note.as_ref().is_some_and(|note| note.linked);
            linked && now.since(node.heard_at) < age
        })
    }

    /// Returns the nodes that carry traffic, as far as was heard lately.
    pub fn carrying(&self, now: MonoTime) -> impl Iterator<Item = (&VmId, &KnownNode)> {
        self.heard(now)
            .filter(|(_, node)| node.note.as_ref().is_some_and(|note| note.carrying))
    }
}
