//! The leases under which a node honours the ejections of others.
//!
//! A lease is counted from the moment at which this node *asked* for it, on this node's clock. The
//! holder counts from its later answer, on its own clock and with a margin for drift, so that it
//! never frees a unit while a lease on it may still be honoured, however late the answer arrives.
//! See [docs/design/ejection.md](../../docs/design/ejection.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, TargetId};
use crate::time::MonoTime;
use crate::verdict::SuspicionCause;

/// The time for which an ejection is honoured after the poll that it answers.
pub const EJECTION_LEASE_MS: u64 = 3_000;
/// The time between the polls of a holder whose leases are honoured.
pub const RENEWAL_INTERVAL_MS: u64 = 1_000;
/// The drift between two clocks that leases allow for, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 10_000;
/// The time between polls that get no answer.
const POLL_RETRY_MS: u64 = 250;
const MAX_UNANSWERED_POLLS: u32 = 20;

/// An ejection that a holder lets another node honour.
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
    /// What speaks against the target.
    pub cause: SuspicionCause,
}

/// Returns the longest time for which a lease may be honoured after the holder granted it, as the
/// holder's clock measures it.
pub const fn holder_lease_period(lease_ms: u64) -> Duration {
    Duration::from_micros(lease_ms * 1_000 + lease_ms * 2 * CLOCK_DRIFT_PPM / 1_000)
}

/// An ejection as this node honours it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionLease {
    /// The reading of this node's clock at which the lease ends.
    pub until: MonoTime,
    /// What speaks against the target.
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

/// The leases that one node honours, by the node that holds the units.
#[derive(Debug, Default)]
pub struct LeaseTable {
    next_number: u64,
    holders: IndexMap<NodeId, HolderView>,
}

impl LeaseTable {
    /// Notes that a holder has ejections to ask for.
    pub fn handle_announcement(&mut self, now: MonoTime, holder: &NodeId) {
        let view = self.holders.entry(holder.clone()).or_default();
        view.next_poll_at = now;
        view.answered = false;
        view.unanswered_polls = 0;
    }

    /// Returns the polls to send now: each holder with the number of its poll.
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

    /// Takes in a holder's answer; answers to older polls are dropped, since their time is unknown.
    ///
    /// Returns whether the answer was taken.
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

    /// Returns whether no other node's ejections are known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the holder and lease under which a target is ejected, if it is.
    pub fn find(&self, now: MonoTime, target: &TargetId) -> Option<(&NodeId, &EjectionLease)> {
        self.holders.iter().find_map(|(holder, view)| {
            let lease = view.leases.get(target)?;
            (now < lease.until).then_some((holder, lease))
        })
    }

    /// Returns the targets that are ejected now.
    pub fn ejected_targets(&self, now: MonoTime) -> impl Iterator<Item = &TargetId> {
        self.holders.values().flat_map(move |view| {
            view.leases
                .iter()
                .filter(move |(_, lease)| now < lease.until)
                .map(|(target, _)| target)
        })
    }
}
