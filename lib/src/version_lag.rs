//! Measures for how long a node has known of a version that it does not have yet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::store_version::StoreVersion;
use crate::time::MonoTime;

/// The maximum number of versions whose announcements are kept.
const MAX_PENDING: usize = 32;

/// The announced versions that a node does not have yet.
///
/// Each version has a time of its own, so that a node that follows a series of changes closely does
/// not seem to lag behind the first of them.
#[derive(Debug, Default)]
pub struct VersionLag {
    /// Increasing versions, with the times of their announcements.
    pending: VecDeque<(StoreVersion, MonoTime)>,
    reached: StoreVersion,
}

impl VersionLag {
    /// Records that a peer has a version; returns whether this node knew of no missing one before.
    pub fn announce(&mut self, now: MonoTime, version: StoreVersion) -> bool {
        let newest = self
            .pending
            .back()
            .map_or(self.reached, |(version, _)| *version);
        if version <= newest {
            return false;
        }
        let was_current = self.pending.is_empty();
        let is_full = self.pending.len() >= MAX_PENDING;
        match self.pending.back_mut() {
            // The time of the older announcement is kept, so that the lag is never underestimated.
            Some(last) if is_full => last.0 = version,
            _ => self.pending.push_back((version, now)),
        }
        was_current
    }

    /// Records that this node has everything up to a version.
    pub fn record_reached(&mut self, version: StoreVersion) {
        self.reached = self.reached.max(version);
        while self
            .pending
            .front()
            .is_some_and(|(version, _)| *version <= self.reached)
        {
            self.pending.pop_front();
        }
    }

    /// Returns for how long this node has known of a version that it does not have; none if it has
    /// all versions that it knows of.
    pub fn lag(&self, now: MonoTime) -> Option<Duration> {
        self.pending
            .front()
            .map(|(_, announced_at)| now.since(*announced_at))
    }
}
