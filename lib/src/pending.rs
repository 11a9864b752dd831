//! Attempts that a target has not answered yet.
//!
//! A target that accepts requests and never answers produces no outcome for as long as the
//! deadline. A pending attempt therefore counts as late as soon as it has taken longer than a slow
//! answer, and again for each further such time up to a bound: a slot that stays blocked could have
//! given that many answers.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::AttemptScope;
use crate::ids::RouteId;
use crate::time::MonoTime;

/// The most times that one pending attempt counts as late.
pub const MAX_OVERDUE_COUNT: u32 = 12;

/// Names an attempt of one node.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AttemptId(u64);

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub struct PendingAttempt {
    /// What the attempt is for.
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

    /// Returns the attempts that have become late once more, given the slow threshold of a route.
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
