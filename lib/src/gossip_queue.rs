//! Updates about members that wait to be passed on with probes.

use indexmap::IndexMap;

use crate::membership_types::MembershipUpdate;

/// The most updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// The number of times that an update is sent for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The waiting updates, each with the number of messages that it is still to be sent in.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue(IndexMap<MembershipUpdate, u32>);

impl GossipQueue {
    /// Adds an update unless it is waiting already.
    pub(crate) fn push(&mut self, item: MembershipUpdate, members: usize) {
        let sends = SENDS_PER_DOUBLING * (members as u32 + 1).ilog2().max(1);
        self.0.entry(item).or_insert(sends);
    }

    /// Returns the updates for the next message.
    pub(crate) fn next_batch(&mut self) -> Vec<MembershipUpdate> {
        let mut out = Vec::new();
        for (item, left) in self.0.iter_mut().take(MAX_UPDATES_PER_MESSAGE) {
            *left -= 1;
            out.push(item.clone());
        }
        self.0.retain(|_, left| *left > 0);
        out
    }
}
