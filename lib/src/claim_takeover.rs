//! Determines whether an owner knows every granted claim after the assignment has changed.
//!
//! A claim is held by its owner and, unless it is in the store, by a copy holder in another data
//! centre. A new owner requests handovers from all members of the previous epochs. Claims may be
//! lost with members that stopped without a handover.
//! See [docs/design/at-most-once.md](../../docs/design/at-most-once.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::claim_message::LostNode;
use crate::ids::{DataCentreId, NodeId};
use crate::time::MonoTime;

/// What an owner may conclude from the absence of a claim.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ClaimCertainty {
    /// Nothing: the claim may have been lost.
    Uncertain,
    /// The claim is in the store, if it was granted.
    KnownWithStore,
    /// The claim was never granted.
    Known,
}

/// The members of earlier epochs whose handovers are missing, and those that were lost before one.
#[derive(Clone, Debug, Default)]
pub struct ClaimTakeover {
    missing: IndexMap<NodeId, (DataCentreId, MonoTime)>,
    lost: IndexMap<NodeId, (DataCentreId, MonoTime)>,
    informed_by: IndexSet<NodeId>,
    /// When this node joined, unless an earlier member has reported what was lost before.
    losses_unknown_since: Option<MonoTime>,
    has_begun: bool,
}

impl ClaimTakeover {
    /// Starts to wait for the handovers of `sources`, members of earlier epochs.
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

    /// Records a member's handover with the nodes that it knows to be lost.
    ///
    /// `losses_unknown_ms` is the time since that member joined, in milliseconds, if it does not
    /// know what was lost before.
    pub fn record_handover(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        lost: Vec<LostNode>,
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

    /// Records that a member has certainly stopped.
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

    /// Drops nodes whose claims have all expired by now.
    pub fn expire(&mut self, now: MonoTime, retention: Duration) {
        let is_retained = |since: &MonoTime| now.since(*since) < retention;
        self.missing.retain(|_, (_, since)| is_retained(since));
        self.lost.retain(|_, (_, since)| is_retained(since));
        self.losses_unknown_since = self.losses_unknown_since.filter(is_retained);
    }

    /// Returns the members whose handovers are missing.
    pub fn missing(&self) -> impl Iterator<Item = &NodeId> {
        self.missing.keys()
    }

    /// Returns the lost nodes and those whose handovers are missing, for the next owner.
    pub fn lost(&self, now: MonoTime) -> Vec<LostNode> {
        let lost = self.lost.iter().chain(&self.missing);
        let lost = lost.map(|(node, (data_centre, since))| LostNode {
            node: node.clone(),
            data_centre: data_centre.clone(),
            age_ms: now.since(*since).as_millis() as u64,
        });
        lost.collect()
    }

    /// Returns the time since this node joined, in milliseconds, if it does not know what was lost
    /// before.
    pub fn losses_unknown_ms(&self, now: MonoTime) -> Option<u64> {
        let since = self.losses_unknown_since?;
        Some(now.since(since).as_millis() as u64)
    }

    /// Returns what may be concluded from the absence of a claim.
    ///
    /// The two holders of a claim that is not in the store are in different data centres, so that
    /// losses in a single data centre cannot include both.
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
