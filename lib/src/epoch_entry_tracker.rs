//! Tracks which members of the previous epoch have entered the current one or have stopped.

use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::NodeId;
use crate::time::MonoTime;

const BITS_PER_WORD: usize = 32;

/// Tracks the members of the previous epoch that can no longer use their shares of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochEntryTracker {
    entered: IndexSet<NodeId>,
    stopped: IndexSet<NodeId>,
    half_done_since: Option<MonoTime>,
}

impl EpochEntryTracker {
    /// Starts over for a new epoch; nodes that have stopped for good stay recorded.
    pub(crate) fn restart(&mut self) {
        self.entered.clear();
        self.half_done_since = None;
    }

    pub(crate) fn record_entered(&mut self, node: NodeId) {
        self.entered.insert(node);
    }

    pub(crate) fn record_stopped(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.stopped.extend(nodes);
    }

    /// Returns whether a node has stopped for good.
    pub(crate) fn has_stopped(&self, node: &NodeId) -> bool {
        self.stopped.contains(node)
    }

    /// Returns one bit for each member of the previous epoch, in order, from the lowest bit.
    pub(crate) fn entered_bitmap(&self, previous: &[NodeId]) -> Vec<u32> {
        let mut entered_bitmap = vec![0_u32; previous.len().div_ceil(BITS_PER_WORD)];
        for (index, node) in previous.iter().enumerate() {
            if self.entered.contains(node) {
                entered_bitmap[index / BITS_PER_WORD] |= 1 << (index % BITS_PER_WORD);
            }
        }
        entered_bitmap
    }

    /// Adds the members that a peer has reported as entered.
    pub(crate) fn merge(&mut self, previous: &[NodeId], entered_bitmap: &[u32]) {
        for (index, node) in previous.iter().enumerate() {
            let word = entered_bitmap
                .get(index / BITS_PER_WORD)
                .copied()
                .unwrap_or(0);
            if word >> (index % BITS_PER_WORD) & 1 == 1 {
                self.entered.insert(node.clone());
            }
        }
    }

    /// Returns whether this node knows an entered member that the peer's bitmap lacks.
    pub(crate) fn knows_more_than(&self, previous: &[NodeId], entered_bitmap: &[u32]) -> bool {
        let own_words = self.entered_bitmap(previous);
        let peer_words = entered_bitmap.iter().copied().chain(std::iter::repeat(0));
        own_words
            .into_iter()
            .zip(peer_words)
            .any(|(own_words, peer_words)| own_words & !peer_words != 0)
    }

    /// Returns whether every member of the previous epoch has entered or provably stopped.
    ///
    /// A member of the previous epoch that is not in contact with more than half of that epoch's
    /// members stops by itself within the safe term. Once half have entered or stopped, no member
    /// can be in contact with more than half that have not; see `docs/design/epochs.md`.
    pub(crate) fn is_complete(
        &mut self,
        now: MonoTime,
        previous: &[NodeId],
        superseded: impl Fn(&NodeId) -> bool,
        safe_term: Duration,
    ) -> bool {
        let done = |node: &&NodeId| {
            self.entered.contains(*node) || self.stopped.contains(*node) || superseded(node)
        };
        let count = previous.iter().filter(done).count();
        if count == previous.len() {
            return true;
        }
        if count * 2 < previous.len() {
            return false;
        }
        let since = *self.half_done_since.get_or_insert(now);
        now.since(since) >= safe_term
    }
}
