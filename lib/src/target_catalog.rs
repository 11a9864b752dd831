//! The targets that announce themselves, and which of them may be sent work.
//!
//! A target keeps its announcement alive in the platform's store. It may vanish there because the
//! target left, or because the store was away and the announcement expired. After an outage, targets
//! get [`REANNOUNCE_GRACE_MS`] to announce themselves again before they count as gone. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{DataCentreId, ServiceId, TargetId};
use crate::time::MonoTime;

/// The time that a living target needs to be back after an outage of the store, in milliseconds.
///
/// The platform states about two seconds; the rest is for the way of the news.
pub const REANNOUNCE_GRACE_MS: u64 = 2_300;
const GRACE: Duration = Duration::from_millis(REANNOUNCE_GRACE_MS);

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The target's data centre.
    pub data_centre: DataCentreId,
    /// The requests that the target runs at once.
    pub slots: u32,
    /// Whether the target leaves and is to get no new work.
    pub leaving: bool,
    /// The time for which the target is still slow after its start.
    pub cold_for: Duration,
    /// The time of the target's start, in Unix milliseconds, which tells two starts apart.
    pub started_at_ms: Option<u64>,
}

/// A target as this node knows it.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// What the target said last.
    pub announcement: Announcement,
    /// When that was first seen here.
    pub first_seen_at: MonoTime,
    /// When the announcement vanished, if it did during or right after an outage of the store.
    missing_since: Option<MonoTime>,
}

/// What a change of the catalogue means for one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogChange {
    /// The target is new, or has started anew under its name.
    Started(TargetId),
    /// The target said something else of itself.
    Updated(TargetId),
    /// The target is gone.
    Removed(TargetId),
}

/// All targets that are known.
#[derive(Debug, Default)]
pub struct TargetCatalog {
    targets: IndexMap<TargetId, KnownTarget>,
    /// When the store was last found away; announcements that vanish soon after may have expired.
    unavailable_at: Option<MonoTime>,
    /// When the store was last found back after that.
    available_at: Option<MonoTime>,
}

impl TargetCatalog {
    /// Notes that the store does not answer.
    pub fn mark_store_unavailable(&mut self, now: MonoTime) {
        self.unavailable_at = Some(now);
        self.available_at = None;
    }

    /// Notes that the store answers.
    pub fn mark_store_available(&mut self, now: MonoTime) {
        if self.unavailable_at.is_some() && self.available_at.is_none() {
            self.available_at = Some(now);
        }
    }

    /// Returns for how long announcements that vanish may still have expired while the store was away;
    /// zero if what vanishes is gone.
    pub fn grace_remaining(&self, now: MonoTime) -> Duration {
        match self.grace_ends_at() {
            Some(end) if self.available_at.is_none() => end.since(now).min(GRACE),
            Some(end) => end.since(now),
            None => Duration::ZERO,
        }
    }

    /// Takes over from another node for how long vanished announcements may still have expired.
    pub fn adopt_grace(&mut self, now: MonoTime, left: Duration) {
        (self.unavailable_at, self.available_at) = if left.is_zero() {
            (
                self.unavailable_at,
                self.unavailable_at.map(|_| now - GRACE),
            )
        } else {
            (Some(now), Some(now - GRACE.saturating_sub(left)))
        };
    }

    /// Returns until when vanished announcements are taken for expired ones.
    fn grace_ends_at(&self) -> Option<MonoTime> {
        self.unavailable_at?;
        let ends = self.available_at.map(|back| back + GRACE);
        Some(ends.unwrap_or(MonoTime::from_micros(u64::MAX)))
    }

    /// Takes in what a target says of itself.
    pub fn apply_announcement(
        &mut self,
        now: MonoTime,
        id: TargetId,
        announcement: Announcement,
    ) -> Option<CatalogChange> {
        let known = KnownTarget {
            announcement,
            first_seen_at: now,
            missing_since: None,
        };
        let Some(held) = self.targets.get_mut(&id) else {
            self.targets.insert(id.clone(), known);
            return Some(CatalogChange::Started(id));
        };
        let same_start = held.announcement.started_at_ms == known.announcement.started_at_ms
            && held.announcement.address == known.announcement.address;
        let same = held.announcement == known.announcement && held.missing_since.is_none();
        *held = known;
        match (same_start, same) {
            (false, _) => Some(CatalogChange::Started(id)),
            (true, false) => Some(CatalogChange::Updated(id)),
            (true, true) => None,
        }
    }

    /// Takes in that a target's announcement is not there any more.
    pub fn remove_announcement(&mut self, now: MonoTime, id: &TargetId) -> Option<CatalogChange> {
        let may_have_expired = !self.grace_remaining(now).is_zero();
        let held = self.targets.get_mut(id)?;
        // A target that said that it leaves did not lapse.
        if may_have_expired && !held.announcement.leaving {
            held.missing_since.get_or_insert(now);
            return None;
        }
        self.targets.shift_remove(id);
        Some(CatalogChange::Removed(id.clone()))
    }

    /// Drops expired targets that did not come back in time after the outage.
    pub fn tick(&mut self, now: MonoTime) -> Vec<CatalogChange> {
        if self.grace_ends_at().is_none_or(|end| now < end) {
            return Vec::new();
        }
        (self.unavailable_at, self.available_at) = (None, None);
        let expired: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| target.missing_since.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        expired
            .into_iter()
            .inspect(|id| {
                self.targets.shift_remove(id);
            })
            .map(CatalogChange::Removed)
            .collect()
    }

    /// Returns a target.
    pub fn get(&self, id: &TargetId) -> Option<&KnownTarget> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, &KnownTarget)> {
        self.targets.iter()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
