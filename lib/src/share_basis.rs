//! Who holds which part of a budget: pure functions of the members.
//!
//! Budgets are divided between few holders, which rendezvous hashing picks by the names of their
//! VMs. A restart of a process therefore moves no share to another VM, and a member change moves
//! only the shares of budgets that a changed member holds. See
//! [docs/design/epochs.md](../../docs/design/epochs.md).

use crate::ids::NodeId;
use crate::rendezvous::{StableHash, top_members};

/// Returns the at most `count` holders of a budget, in order.
///
/// When members join and leave, a surviving holder is replaced only by a member that joined, and a
/// surviving member becomes a holder only in place of one that left.
pub fn holders(key: &[u8], members: &[NodeId], count: usize) -> Vec<NodeId> {
    let hashes: Vec<_> = members
        .iter()
        .map(|member| StableHash::of(member.vm.as_bytes()))
        .collect();
    top_members(StableHash::of(key), &hashes, count)
        .into_iter()
        .map(|index| members[index].clone())
        .collect()
}

/// Divides a budget evenly between its holders; the first ones get what cannot be divided.
pub fn split_budget(
    key: &[u8],
    total: u64,
    members: &[NodeId],
    count: usize,
) -> Vec<(NodeId, u64)> {
    let holders = holders(key, members, count);
    let parts = holders.len() as u64;
    (0..)
        .zip(holders)
        .map(|(index, holder)| {
            let extra = u64::from(index < total % parts);
            (holder, total / parts + extra)
        })
        .collect()
}

/// The members that shares are divided between, directly after an epoch change and once it is
/// settled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareBasis<'a> {
    /// Every member of the epoch before has moved on or is gone.
    Settled(&'a [NodeId]),
    /// A member of the epoch before may still use its share of that epoch.
    Moving {
        /// The members of the epoch before.
        from: &'a [NodeId],
        /// The members of the epoch.
        to: &'a [NodeId],
    },
}

impl ShareBasis<'_> {
    /// Returns the part of a budget that a node may use.
    ///
    /// While the fleet moves it is the smaller of the node's two shares, so that all nodes together
    /// never use more than the budget, whichever of them has moved.
    pub fn share_of(&self, key: &[u8], total: u64, count: usize, node: &NodeId) -> u64 {
        let share = |members: &[NodeId]| {
            let split = split_budget(key, total, members, count);
            let own = split.into_iter().find(|(holder, _)| holder == node);
            own.map_or(0, |(_, share)| share)
        };
        match self {
            Self::Settled(members) => share(members),
            Self::Moving { from, to } => share(from).min(share(to)),
        }
    }
}
