//! Tracks the targets that announce themselves in the platform's store.
//!
//! A target renews its announcement in the store. The announcement is removed when the target leaves,
//! or expires while the store is unavailable. After an outage, targets get [`REANNOUNCE_GRACE_MS`] to
//! announce themselves again before they are removed here. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{DataCentreId, ServiceId, TargetId};
use crate::time::MonoTime;

/// How long a running target may take to announce itself again after an outage, in milliseconds.
///
/// The platform states two seconds; the rest is for the propagation of the change.
pub const REANNOUNCE_GRACE_MS: u64 = 2_300;
const GRACE: Duration = Duration::from_millis(REANNOUNCE_GRACE_MS);

/// A target's entry in the store, written by the target itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The target's data centre.
    pub data_centre: DataCentreId,
    /// The maximum number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target is leaving and gets no new requests.
    pub leaving: bool,
    /// How long the target is still slow after its start.
    pub warmup_left: Duration,
    /// The time of the target's start, in Unix milliseconds, which distinguishes two starts.
    pub started_at_ms: Option<u64>,
}

/// A target as this node knows it.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The target's last announcement.
    pub announcement: Announcement,
    /// When this node received it.
    pub announced_at: MonoTime,
    /// When the announcement disappeared, if it did during or right after an outage of the store.
    missing_since: Option<MonoTime>,
}

/// A change of one target in the catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogChange {
    /// The target is new or has restarted under the same name.
    Started(TargetId),
    /// The target changed its announcement.
    Updated(TargetId),
    /// The target was removed.
    Removed(TargetId),
}

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetCatalog {
    targets: IndexMap<TargetId, KnownTarget>,
    /// When the store last became unavailable; announcements that disappear soon after may have expired.
    unavailable_at: Option<MonoTime>,
    /// When the store became available again after that.
    available_at: Option<MonoTime>,
}

impl TargetCatalog {
    /// Records that the store does not answer.
    pub fn mark_store_unavailable(&mut self, now: MonoTime) {
        self.unavailable_at = Some(now);
        self.available_at = None;
    }

    /// Records that the store answers.
    pub fn mark_store_available(&mut self, now: MonoTime) {
        if self.unavailable_at.is_some() && self.available_at.is_none() {
            self.available_at = Some(now);
        }
    }

    /// Returns how long announcements that disappear may still be due to an outage of the store; zero if
    /// their targets are removed at once.
    pub fn grace_remaining(&self, now: MonoTime) -> Duration {
        match self.grace_ends_at() {
            Some(end) if self.available_at.is_none() => end.since(now).min(GRACE),
            Some(end) => end.since(now),
            None => Duration::ZERO,
        }
    }

    /// Adopts the remaining grace period of another node.
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

    /// Returns the end of the grace period in which missing announcements are assumed to have expired.
    fn grace_ends_at(&self) -> Option<MonoTime> {
        self.unavailable_at?;
        let end = self.available_at.map(|available| available + GRACE);
        Some(end.unwrap_or(MonoTime::from_micros(u64::MAX)))
    }

    /// Adds or updates a target by its announcement; `None` if nothing has changed.
    pub fn apply_announcement(
        &mut self,
        now: MonoTime,
        id: TargetId,
        announcement: Announcement,
    ) -> Option<CatalogChange> {
        let known = KnownTarget {
            announcement,
            announced_at: now,
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

    /// Handles the disappearance of a target's announcement from the store; `None` if the target is
    /// kept or unknown.
    pub fn remove_announcement(&mut self, now: MonoTime, id: &TargetId) -> Option<CatalogChange> {
        let may_have_expired = !self.grace_remaining(now).is_zero();
        let held = self.targets.get_mut(id)?;
        // The announcement of a leaving target was removed, it did not expire.
        if may_have_expired && !held.announcement.leaving {
            held.missing_since.get_or_insert(now);
            return None;
        }
        self.targets.shift_remove(id);
        Some(CatalogChange::Removed(id.clone()))
    }

    /// Removes targets that did not announce themselves again in time after an outage.
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
