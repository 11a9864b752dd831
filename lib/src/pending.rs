//! Attempts that a target has not answered yet.
//!
//! A target that accepts requests and never answers produces no outcome until the deadline. A
//! pending attempt therefore counts as late once it exceeds the slow threshold, and again for each
//! further multiple of it up to a limit: the blocked slot could have given that many answers.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::AttemptScope;
use crate::ids::RouteId;
use crate::time::MonoTime;

/// The maximum number of times that one pending attempt counts as late.
pub const MAX_OVERDUE_COUNT: u32 = 12;

/// The identifier of an attempt, unique on one node and service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AttemptId(u64);

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub struct PendingAttempt {
    /// The target, route and customer of the attempt.
    pub scope: AttemptScope,
    /// When the attempt started.
    pub started: MonoTime,
    /// How many times the attempt has counted as late.
    pub overdue_count: u32,
}

/// The pending attempts of one node on one service.
#[derive(Debug, Default)]
pub struct PendingTable {
    next_id: u64,
    attempts: IndexMap<AttemptId, PendingAttempt>,
}

impl PendingTable {
    /// Adds an attempt that starts now.
    pub fn insert(&mut self, now: MonoTime, scope: AttemptScope) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let attempt = PendingAttempt {
            scope,
            started: now,
            overdue_count: 0,
        };
        self.attempts.insert(id, attempt);
        id
    }

    /// Removes an attempt that ended.
    pub fn remove(&mut self, id: AttemptId) -> Option<PendingAttempt> {
        self.attempts.swap_remove(&id)
    }

    /// Counts and returns the attempts that have become late once more.
    ///
    /// `threshold_of` returns the slow threshold of a route, if it is known.
    pub fn mark_overdue(
        &mut self,
        now: MonoTime,
        threshold_of: impl Fn(&RouteId) -> Option<Duration>,
    ) -> Vec<PendingAttempt> {
        self.attempts
            .values_mut()
            .filter(|attempt| attempt.overdue_count < MAX_OVERDUE_COUNT)
            .filter_map(|attempt| {
                let threshold = threshold_of(&attempt.scope.route)?;
                let due = attempt.started + threshold * (attempt.overdue_count + 1);
                (now >= due).then(|| {
                    attempt.overdue_count += 1;
                    attempt.clone()
                })
            })
            .collect()
    }
}
