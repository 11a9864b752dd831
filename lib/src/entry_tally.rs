//! Which members of the epoch before are known to have entered the epoch or to have stopped.

use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::NodeId;
use crate::time::MonoTime;

const BITS_PER_WORD: usize = 32;

/// Counts the members of the epoch before that can no longer use their shares of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryTally {
    entered: IndexSet<NodeId>,
    gone: IndexSet<NodeId>,
    half_since: Option<MonoTime>,
}

impl EntryTally {
    /// Starts to count for a new epoch; what has stopped for good stays so.
    pub(crate) fn restart(&mut self) {
        self.entered.clear();
        self.half_since = None;
    }

    pub(crate) fn enter(&mut self, node: NodeId) {
        self.entered.insert(node);
    }

    pub(crate) fn stop(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.gone.extend(nodes);
    }

    /// Returns whether a node has stopped for good.
    pub(crate) fn has_stopped(&self, node: &NodeId) -> bool {
        self.gone.contains(node)
    }

    /// Returns one bit for each member of the epoch before, in order, from the lowest bit.
    pub(crate) fn words(&self, previous: &[NodeId]) -> Vec<u32> {
        let mut words = vec![0_u32; previous.len().div_ceil(BITS_PER_WORD)];
        for (index, node) in previous.iter().enumerate() {
            if self.entered.contains(node) {
                words[index / BITS_PER_WORD] |= 1 << (index % BITS_PER_WORD);
            }
        }
        words
    }

    /// Adds what a peer told.
    pub(crate) fn merge(&mut self, previous: &[NodeId], words: &[u32]) {
        for (index, node) in previous.iter().enumerate() {
            let word = words.get(index / BITS_PER_WORD).copied().unwrap_or(0);
            if word >> (index % BITS_PER_WORD) & 1 == 1 {
                self.entered.insert(node.clone());
            }
        }
    }

    /// Returns whether a peer that told `words` lacks something.
    pub(crate) fn knows_more(&self, previous: &[NodeId], words: &[u32]) -> bool {
        let mine = self.words(previous);
        let theirs = words.iter().copied().chain(std::iter::repeat(0));
        mine.into_iter()
            .zip(theirs)
            .any(|(mine, theirs)| mine & !theirs != 0)
    }

    /// Returns whether every member of the epoch before has entered or provably stopped.
    ///
    /// A member of the epoch before that is out of touch with more than half of that epoch's members
    /// stops by itself within the term. Once half have entered or are gone, it cannot be in touch
    /// with more than half that have not; see `docs/design/epochs.md`.
    pub(crate) fn is_complete(
        &mut self,
        now: MonoTime,
        previous: &[NodeId],
        stopped: impl Fn(&NodeId) -> bool,
        safe_term: Duration,
    ) -> bool {
        let done = |node: &&NodeId| {
            self.entered.contains(*node) || self.gone.contains(*node) || stopped(node)
        };
        let count = previous.iter().filter(done).count();
        if count == previous.len() {
            return true;
        }
        if count * 2 < previous.len() {
            return false;
        }
        let since = *self.half_since.get_or_insert(now);
        now.since(since) >= safe_term
    }
}
