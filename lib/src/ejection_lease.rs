//! The leases under which a node honours the ejections of others.
//!
//! A lease starts when this node *sends the poll* for it, on this node's clock. The holder counts
//! from its later answer, on its own clock and with a margin for drift. It therefore never frees a
//! unit while a lease on it may still be honoured, however late the answer arrives. See
//! [docs/design/ejection.md](../../docs/design/ejection.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, TargetId};
use crate::time::MonoTime;
use crate::verdict::SuspicionCause;

/// The time for which an ejection is honoured, from the poll on.
pub const EJECTION_LEASE_MS: u64 = 3_000;
/// The time between the polls of a holder whose leases are honoured.
pub const RENEWAL_INTERVAL_MS: u64 = 1_000;
/// The tolerated drift between two clocks, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 10_000;
/// The time after which an unanswered poll is repeated.
const POLL_RETRY_MS: u64 = 250;
const MAX_UNANSWERED_POLLS: u32 = 20;

/// An ejection that a holder grants to another node, with its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GrantedEjection {
    /// The target.
    pub target: TargetId,
    /// The time from the poll for which the ejection may be honoured, in milliseconds.
    pub lease_ms: u64,
    /// How often the target was ejected before in close succession.
    #[serde(default)]
    pub flaps: u32,
    /// Why the target is ejected.
    pub cause: SuspicionCause,
}

/// Returns the longest time for which a lease may be honoured after the holder granted it, as the
/// holder's clock measures it.
pub const fn holder_lease_period(lease_ms: u64) -> Duration {
    Duration::from_micros(lease_ms * 1_000 + lease_ms * 2 * CLOCK_DRIFT_PPM / 1_000)
}

/// The lease under which this node honours an ejection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionLease {
    /// The end of the lease on this node's clock.
    pub until: MonoTime,
    /// Why the target is ejected.
    pub cause: SuspicionCause,
}

#[derive(Debug, Default)]
struct HolderView {
    poll_number: u64,
    polled_at: MonoTime,
    answered: bool,
    unanswered_polls: u32,
    next_poll_at: MonoTime,
    leases: IndexMap<TargetId, EjectionLease>,
}

/// The leases that one node honours, by the holder of the ejections.
#[derive(Debug, Default)]
pub struct LeaseTable {
    next_number: u64,
    holders: IndexMap<NodeId, HolderView>,
}

impl LeaseTable {
    /// Handles the announcement of a holder, which is polled at once.
    pub fn handle_announcement(&mut self, now: MonoTime, holder: &NodeId) {
        let view = self.holders.entry(holder.clone()).or_default();
        view.next_poll_at = now;
        view.answered = false;
        view.unanswered_polls = 0;
    }

    /// Returns the polls that are due, as holders and poll numbers, and drops expired leases.
    pub fn due_polls(&mut self, now: MonoTime) -> Vec<(NodeId, u64)> {
        let mut polls = Vec::new();
        for (holder, view) in &mut self.holders {
            view.leases.retain(|_, lease| now < lease.until);
            if now < view.next_poll_at {
                continue;
            }
            self.next_number += 1;
            view.poll_number = self.next_number;
            view.polled_at = now;
            view.answered = false;
            view.unanswered_polls += 1;
            view.next_poll_at = now + Duration::from_millis(POLL_RETRY_MS);
            polls.push((holder.clone(), view.poll_number));
        }
        self.holders.retain(|_, view| {
            !(view.leases.is_empty()
                && (view.answered || view.unanswered_polls > MAX_UNANSWERED_POLLS))
        });
        polls
    }

    /// Handles a holder's answer; answers to earlier polls are dropped, as their time is unknown.
    ///
    /// Returns whether the answer was accepted.
    pub fn handle_grant(
        &mut self,
        now: MonoTime,
        holder: &NodeId,
        number: u64,
        ejections: &[GrantedEjection],
    ) -> bool {
        let Some(view) = self.holders.get_mut(holder) else {
            return false;
        };
        if view.poll_number != number || view.answered {
            return false;
        }
        view.answered = true;
        view.unanswered_polls = 0;
        view.next_poll_at = now + Duration::from_millis(RENEWAL_INTERVAL_MS);
        let polled_at = view.polled_at;
        view.leases = ejections
            .iter()
            .map(|ejection| {
                let lease = EjectionLease {
                    until: polled_at + Duration::from_millis(ejection.lease_ms),
                    cause: ejection.cause,
                };
                (ejection.target.clone(), lease)
            })
            .collect();
        if view.leases.is_empty() {
            self.holders.swap_remove(holder);
        }
        true
    }

    /// Returns whether no other holder is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the holder and the lease of a target's ejection, if there is one.
    pub fn find(&self, now: MonoTime, target: &TargetId) -> Option<(&NodeId, &EjectionLease)> {
        self.holders.iter().find_map(|(holder, view)| {
            let lease = view.leases.get(target)?;
            (now < lease.until).then_some((holder, lease))
        })
    }

    /// Returns the targets that are ejected at `now`.
    pub fn ejected_targets(&self, now: MonoTime) -> impl Iterator<Item = &TargetId> {
        self.holders.values().flat_map(move |view| {
            view.leases
                .iter()
                .filter(move |(_, lease)| now < lease.until)
                .map(|(target, _)| target)
        })
    }
}
