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
    gone: IndexMap<NodeId, (DataCentreId, MonoTime)>,
    handed: IndexSet<NodeId>,
    /// When this node joined, if nobody who was there before has told it what was lost earlier.
    uninformed: Option<MonoTime>,
    has_begun: bool,
}

impl ClaimTakeover {
    /// Waits for members of the epoch before, from `now` on.
    pub fn begin(
        &mut self,
        now: MonoTime,
        sources: impl IntoIterator<Item = (NodeId, DataCentreId)>,
    ) {
        self.handed.clear();
        let joins = !self.has_begun;
        self.has_begun = true;
        for (node, data_centre) in sources {
            self.missing.entry(node).or_insert((data_centre, now));
        }
        if joins && !self.missing.is_empty() {
            self.uninformed = Some(now);
        }
    }

    /// Notes that a member has handed its claims over, which nodes it knows to be gone, and for how
    /// long it has lacked knowledge of what was lost earlier, if it does.
    pub fn handed_over(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        gone: Vec<RemovedNode>,
        uninformed_ms: Option<u64>,
    ) {
        let uninformed = uninformed_ms.map(|age_ms| now - Duration::from_millis(age_ms));
        self.uninformed = self.uninformed.and(uninformed);
        self.missing.shift_remove(from);
        self.gone.shift_remove(from);
        self.handed.insert(from.clone());
        for node in gone {
            let since = now - Duration::from_millis(node.age_ms);
            self.note_gone(node.node, node.data_centre, since);
        }
    }

    /// Notes that a member is proven to run no longer.
    pub fn source_gone(&mut self, now: MonoTime, node: &NodeId) {
        if let Some((data_centre, _)) = self.missing.shift_remove(node) {
            self.note_gone(node.clone(), data_centre, now);
        }
    }

    fn note_gone(&mut self, node: NodeId, data_centre: DataCentreId, since: MonoTime) {
        if self.handed.contains(&node) {
            return;
        }
        let held = self.gone.entry(node).or_insert((data_centre, since));
        held.1 = held.1.max(since);
    }

    /// Forgets nodes whose claims would all have expired by now.
    pub fn expire(&mut self, now: MonoTime, retention: Duration) {
        let lives = |since: &MonoTime| now.since(*since) < retention;
        self.missing.retain(|_, (_, since)| lives(since));
        self.gone.retain(|_, (_, since)| lives(since));
        self.uninformed = self.uninformed.filter(lives);
    }

    /// Returns the members that still have to hand over.
    pub fn missing(&self) -> impl Iterator<Item = &NodeId> {
        self.missing.keys()
    }

    /// Returns the nodes that are gone, for the next home.
    pub fn gone(&self, now: MonoTime) -> Vec<RemovedNode> {
        let lost = self.gone.iter().chain(&self.missing);
        let lost = lost.map(|(node, (data_centre, since))| RemovedNode {
            node: node.clone(),
            data_centre: data_centre.clone(),
            age_ms: now.since(*since).as_millis() as u64,
        });
        lost.collect()
    }

    /// Returns for how long this node has lacked knowledge of earlier losses, if it does.
    pub fn uninformed_ms(&self, now: MonoTime) -> Option<u64> {
        let since = self.uninformed?;
        Some(now.since(since).as_millis() as u64)
    }

    /// Returns what may be concluded from not knowing a claim.
    ///
    /// The two holders of a claim that is not in the store are in different data centres, so that
    /// nodes gone from one data centre alone cannot have been both.
    pub fn certainty(&self) -> ClaimCertainty {
        if !self.missing.is_empty() || self.uninformed.is_some() {
            return ClaimCertainty::Uncertain;
        }
        let mut data_centres = self.gone.values().map(|(data_centre, _)| data_centre);
        match data_centres.next() {
            None => ClaimCertainty::Known,
            Some(first) if data_centres.all(|other| other == first) => {
                ClaimCertainty::KnownWithStore
            }
            Some(_) => ClaimCertainty::Uncertain,
        }
    }
}
