//! Whether a home knows every claim that was ever granted, after the assignment has changed.
//!
//! A claim is held by its home and, unless it is in the store, by a copy holder in another data
//! centre. A home that takes over asks all members of the last epoch; those that died unasked may
//! have taken claims with them. See [docs/design/at-most-once.md](../../docs/design/at-most-once.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::claim_message::RemovedNode;
use crate::ids::{DataCentreId, NodeId};
use crate::time::MonoTime;

/// What a home may conclude from not knowing a claim.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ClaimCertainty {
    /// Nothing: the claim may have been forgotten.
    Uncertain,
    /// That the claim is in the store, if it was granted.
    KnownWithStore,
    /// That the claim was never granted.
    Known,
}

/// The members of earlier epochs that have not handed their claims over.
#[derive(Clone, Debug, Default)]
pub struct ClaimTakeover {
    missing: IndexMap<NodeId, (DataCentreId, MonoTime)>,
    lost: IndexMap<NodeId, (DataCentreId, MonoTime)>,
    informed_by: IndexSet<NodeId>,
    /// When this node joined, if nobody who was there before has told it what was lost earlier.
    losses_unknown_since: Option<MonoTime>,
    has_begun: bool,
}

impl ClaimTakeover {
    /// Waits for members of the epoch before, from `now` on.
    pub fn begin(
        &mut self,
        now: MonoTime,
        sources: impl IntoIterator<Item = (NodeId, DataCentreId)>,
    ) {
        self.informed_by.clear();
        let is_joining = !self.has_begun;
        self.has_begun = true;
        for (node, data_centre) in sources {
            self.missing.entry(node).or_insert((data_centre, now));
        }
        if is_joining && !self.missing.is_empty() {
            self.losses_unknown_since = Some(now);
        }
    }

    /// Notes that a member has handed its claims over, which nodes it knows to be gone, and for how
    /// long it has lacked knowledge of what was lost earlier, if it does.
    pub fn record_handover(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        lost: Vec<RemovedNode>,
        losses_unknown_ms: Option<u64>,
    ) {
        let losses_unknown_since =
            losses_unknown_ms.map(|age_ms| now - Duration::from_millis(age_ms));
        self.losses_unknown_since = self.losses_unknown_since.and(losses_unknown_since);
        self.missing.shift_remove(from);
        self.lost.shift_remove(from);
        self.informed_by.insert(from.clone());
        for node in lost {
            let since = now - Duration::from_millis(node.age_ms);
            self.record_lost(node.node, node.data_centre, since);
        }
    }

    /// Notes that a member is proven to run no longer.
    pub fn source_lost(&mut self, now: MonoTime, node: &NodeId) {
        if let Some((data_centre, _)) = self.missing.shift_remove(node) {
            self.record_lost(node.clone(), data_centre, now);
        }
    }

    fn record_lost(&mut self, node: NodeId, data_centre: DataCentreId, since: MonoTime) {
        if self.informed_by.contains(&node) {
            return;
        }
        let held = self.lost.entry(node).or_insert((data_centre, since));
        held.1 = held.1.max(since);
    }

    /// Forgets nodes whose claims would all have expired by now.
    pub fn expire(&mut self, now: MonoTime, retention: Duration) {
        let is_retained = |since: &MonoTime| now.since(*since) < retention;
        self.missing.retain(|_, (_, since)| is_retained(since));
        self.lost.retain(|_, (_, since)| is_retained(since));
        self.losses_unknown_since = self.losses_unknown_since.filter(is_retained);
    }

    /// Returns the members that still have to hand over.
    pub fn missing(&self) -> impl Iterator<Item = &NodeId> {
        self.missing.keys()
    }

    /// Returns the nodes that are gone, for the next home.
    pub fn lost(&self, now: MonoTime) -> Vec<RemovedNode> {
        let lost = self.lost.iter().chain(&self.missing);
        let lost = lost.map(|(node, (data_centre, since))| RemovedNode {
            node: node.clone(),
            data_centre: data_centre.clone(),
            age_ms: now.since(*since).as_millis() as u64,
        });
        lost.collect()
    }

    /// Returns for how long this node has lacked knowledge of earlier losses, if it does.
    pub fn losses_unknown_ms(&self, now: MonoTime) -> Option<u64> {
        let since = self.losses_unknown_since?;
        Some(now.since(since).as_millis() as u64)
    }

    /// Returns what may be concluded from not knowing a claim.
    ///
    /// The two holders of a claim that is not in the store are in different data centres, so that
    /// nodes gone from one data centre alone cannot have been both.
    pub fn certainty(&self) -> ClaimCertainty {
        if !self.missing.is_empty() || self.losses_unknown_since.is_some() {
            return ClaimCertainty::Uncertain;
        }
        let mut data_centres = self.lost.values().map(|(data_centre, _)| data_centre);
        match data_centres.next() {
            None => ClaimCertainty::Known,
            Some(first) if data_centres.all(|other| other == first) => {
                ClaimCertainty::KnownWithStore
            }
            Some(_) => ClaimCertainty::Uncertain,
        }
    }
}
