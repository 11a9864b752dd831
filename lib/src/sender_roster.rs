//! Tracks which nodes may send to cold targets, and whether this node may take a new place among them.
//!
//! Views of different nodes differ while nodes fall silent. A silent node is therefore replaced only after
//! the time in which it has noticed itself that it is cut off, and a node that hears from the lesser part of
//! the nodes that it knows takes no new place. See
//! [docs/design/cold-targets.md](../../docs/design/cold-targets.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{DataCentreId, VmId};
use crate::rendezvous::{StableHash, rank_members};
use crate::target_limits::LimitSender;
use crate::time::MonoTime;

/// How long a node that is not responsive any more remains a candidate, in milliseconds. It has then
/// noticed itself that it hears from few others, and takes no new places, for longer than a row of a
/// target takes to reach all nodes.
const CANDIDATE_HOLD_MS: u64 = 5_000;
/// How long a node that fell silent without a word counts among those that should be heard, in
/// milliseconds: two parts of a fleet that are cut off from each other for longer both use the whole bound.
const REFERENCE_MS: u64 = 600_000;
/// How long a node that has started takes no place, in milliseconds: the others' heartbeats arrive each
/// second, and two may be lost.
const SETTLING_MS: u64 = 3_000;

#[derive(Debug)]
struct RosterNode {
    data_centre: DataCentreId,
    hash: StableHash,
    heard_at: MonoTime,
}

/// The nodes that may send to cold targets, as this node knows them.
#[derive(Debug, Default)]
pub struct SenderRoster {
    nodes: IndexMap<VmId, RosterNode>,
    /// The nodes of the last update.
    heard: IndexSet<VmId>,
    first_update: Option<MonoTime>,
    candidates: IndexSet<VmId>,
    takes_places: bool,
}

impl SenderRoster {
    /// Sets the responsive nodes that send to targets, including this one if it does, and removes those
    /// that have announced that they do not any more. Returns whether places may change.
    pub fn update(
        &mut self,
        now: MonoTime,
        heard: impl IntoIterator<Item = LimitSender>,
        ended: &[VmId],
    ) -> bool {
        self.first_update.get_or_insert(now);
        for vm in ended {
            self.nodes.swap_remove(vm);
        }
        self.heard.clear();
        for sender in heard {
            let node = RosterNode {
                hash: StableHash::of(sender.vm.as_bytes()),
                data_centre: sender.data_centre,
                heard_at: now,
            };
            self.heard.insert(sender.vm.clone());
            self.nodes.insert(sender.vm, node);
        }
        let reference = Duration::from_millis(REFERENCE_MS);
        self.nodes
            .retain(|_, node| now.since(node.heard_at) < reference);
        let hold = Duration::from_millis(CANDIDATE_HOLD_MS);
        let recent = |(vm, node): (&VmId, &RosterNode)| {
            (now.since(node.heard_at) < hold).then(|| vm.clone())
        };
        let candidates: IndexSet<VmId> = self.nodes.iter().filter_map(recent).collect();
        let takes_places = self.hears_majority() && self.is_settled(now);
        let changed = candidates != self.candidates || takes_places != self.takes_places;
        self.candidates = candidates;
        self.takes_places = takes_places;
        changed
    }

    /// Returns whether this node may take a place that it did not have.
    pub const fn takes_places(&self) -> bool {
        self.takes_places
    }

    fn is_settled(&self, now: MonoTime) -> bool {
        let settling = Duration::from_millis(SETTLING_MS);
        self.first_update
            .is_some_and(|first| now.since(first) >= settling)
    }

    /// Returns whether more than half of the known nodes are heard, or half with the first one by name, so
    /// that two parts of a fleet that do not hear each other never both take places.
    fn hears_majority(&self) -> bool {
        let (heard, known) = (self.heard.len() * 2, self.nodes.len());
        let first = self.nodes.keys().min();
        heard > known || (heard == known && first.is_some_and(|vm| self.heard.contains(vm)))
    }

    /// Returns the nodes that send to a target, best first: the candidates, and of the nodes that had places
    /// before those that have only fallen silent. Nodes of other data centres follow those of the target's.
    pub fn ranked(&self, key: StableHash, data_centre: &DataCentreId, held: &[VmId]) -> Vec<VmId> {
        let is_sender = |vm: &VmId| self.candidates.contains(vm) || held.contains(vm);
        let senders = self.nodes.iter().filter(|(vm, _)| is_sender(vm));
        let (near, far): (Vec<_>, Vec<_>) =
            senders.partition(|(_, node)| node.data_centre == *data_centre);
        let order = |nodes: Vec<(&VmId, &RosterNode)>| {
            let hashes: Vec<StableHash> = nodes.iter().map(|(_, node)| node.hash).collect();
            let ranked = rank_members(key, &hashes).into_iter();
            ranked
                .map(|index| nodes[index].0.clone())
                .collect::<Vec<_>>()
        };
        let mut ranked = order(near);
        ranked.extend(order(far));
        ranked
    }
}
