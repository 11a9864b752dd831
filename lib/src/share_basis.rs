//! Splits budgets over members, as pure functions of the member list.
//!
//! A budget is split over few holders, which rendezvous hashing selects by VM name. Therefore a
//! process restart moves no share to another VM, and a membership change moves only the shares of
//! budgets that a changed member holds. See
//! [docs/design/epochs.md](../../docs/design/epochs.md).

use crate::ids::NodeId;
use crate::rendezvous::{StableHash, top_members};

/// Returns the holders of a budget in order, at most `count`.
///
/// When members join and leave, a remaining holder is replaced only by a member that joined, and a
/// remaining member becomes a holder only in place of one that left.
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

/// Splits a budget evenly over its holders; the first ones get the remainder.
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

/// The members over which budgets are split, during an epoch change and once it is settled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareBasis<'a> {
    /// Every member of the previous epoch has entered the new one or was lost.
    Settled(&'a [NodeId]),
    /// A member of the previous epoch may still use its share of that epoch.
    Moving {
        /// The members of the previous epoch.
        from: &'a [NodeId],
        /// The members of the new epoch.
        to: &'a [NodeId],
    },
}

impl ShareBasis<'_> {
    /// Returns the share of a budget that a node may use.
    ///
    /// During an epoch change it is the smaller of the node's two shares, so that all nodes
    /// together never use more than the budget, whichever of them have entered the new epoch.
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
