//! Tracks the targets that announce themselves in the platform's store.
//!
//! A target renews its announcement in the store. The announcement is removed when the target leaves,
//! or expires while the store is unavailable. After an outage, targets get [`REANNOUNCE_GRACE_MS`] to
//! announce themselves again before they are removed here. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::ids::{DataCentreId, ServiceId, TargetId};
use crate::time::MonoTime;

/// How long a running target may take to announce itself again after an outage, in milliseconds.
///
/// The platform states two seconds; the rest is for the propagation of the change.
pub const REANNOUNCE_GRACE_MS: u64 = 2_300;
/// How long the last announcement of a target that is gone is remembered, in milliseconds: longer than
/// the age of a copy that the store is restored from.
const DEPARTED_MS: u64 = 120_000;
/// How long a target whose announcement was found outdated gets no requests unless it announces itself
/// again, in milliseconds: several times as long as announcements of a target that is gone stay valid.
pub const OUTDATED_MS: u64 = 10_000;
/// The highest number of slots that a target may announce.
const MAX_SLOTS: u32 = 10_000;
/// The longest warm-up that a target may announce, in seconds.
const MAX_WARMUP_S: u64 = 3_600;
/// How far the clocks of a target and of this VM may differ, in milliseconds: a day, as a clock may be
/// stepped, and a VM that rejects all targets serves nobody.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 86_400_000;
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
    /// The number of times that the target had written its entry since its start.
    pub writes: u64,
}

/// The reasons why an announcement cannot be a target's own.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum AnnouncementError {
    /// Nothing can listen at the address for requests.
    #[snafu(display("{address} is no address of a target"))]
    BadAddress {
        /// The announced address.
        address: SocketAddr,
    },
    /// No target runs so many requests at once; it would draw the traffic of its service.
    #[snafu(display("{slots} slots are more than {MAX_SLOTS}"))]
    TooManySlots {
        /// The announced number.
        slots: u32,
    },
    /// The warm-up is longer than any.
    #[snafu(display("a warm-up of {} s is longer than {MAX_WARMUP_S} s", warmup_left.as_secs()))]
    WarmupTooLong {
        /// The announced rest of the warm-up.
        warmup_left: Duration,
    },
    /// The target would start in the future; later starts take over addresses.
    #[snafu(display("a start at {started_at_ms} ms lies in the future"))]
    StartInFuture {
        /// The announced start, in Unix milliseconds.
        started_at_ms: u64,
    },
}

impl Announcement {
    /// Checks that a target can have written the announcement by `unix_ms`, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Names the first field that no target writes so.
    pub fn check(&self, unix_ms: u64) -> Result<(), AnnouncementError> {
        let address = self.address;
        let is_addressable = match address.ip() {
            IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
            IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
        };
        ensure!(
            is_addressable && address.port() != 0,
            BadAddressSnafu { address }
        );
        let slots = self.slots;
        ensure!(slots <= MAX_SLOTS, TooManySlotsSnafu { slots });
        let warmup_left = self.warmup_left;
        ensure!(
            warmup_left <= Duration::from_secs(MAX_WARMUP_S),
            WarmupTooLongSnafu { warmup_left }
        );
        let started_at_ms = self.started_at_ms.unwrap_or(0);
        ensure!(
            started_at_ms <= unix_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS),
            StartInFutureSnafu { started_at_ms }
        );
        Ok(())
    }

    /// Returns whether the announcement says the same as another one that the target wrote earlier or
    /// later.
    fn is_same_as(&self, other: &Self) -> bool {
        Self {
            writes: other.writes,
            ..self.clone()
        } == *other
    }

    /// Returns when in the target's life it was written; none if the target's start is unknown.
    fn stamp(&self) -> Option<AnnouncementStamp> {
        Some((self.started_at_ms?, self.writes))
    }
}

/// The start of a target and the number of its writes since; later announcements have a higher one.
type AnnouncementStamp = (u64, u64);

/// A target as this node knows it.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The target's last announcement.
    pub announcement: Announcement,
    /// When this node received it.
    pub announced_at: MonoTime,
    /// When the announcement disappeared, if it did during or right after an outage of the store.
    missing_since: Option<MonoTime>,
    /// Until when the target gets no requests, since another one was found at its address.
    outdated_until: Option<MonoTime>,
}

impl KnownTarget {
    /// Returns whether the target may get requests: it is not leaving, and its address is its own as
    /// far as is known.
    pub fn is_usable(&self) -> bool {
        !self.announcement.leaving && self.outdated_until.is_none()
    }
}

/// The part of an announcement that another target's answer at the address proves wrong.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct OutdatedAddress {
    /// The target.
    pub target: TargetId,
    /// The start of the target that had announced the address.
    pub started_at_ms: Option<u64>,
    /// The address.
    pub address: SocketAddr,
}

/// A change of one target in the catalogue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogChange {
    /// The target is new or has restarted under the same name.
    Started(TargetId),
    /// The target changed its announcement, or became usable or unusable.
    Updated(TargetId),
    /// The target was removed.
    Removed(TargetId),
}

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetCatalog {
    targets: IndexMap<TargetId, KnownTarget>,
    /// The target that started last of those that announced an address.
    addresses: IndexMap<SocketAddr, TargetId>,
    /// The last announcements of targets that are gone, and when they were removed.
    departed: IndexMap<TargetId, (AnnouncementStamp, MonoTime)>,
    /// Whether this node's calls to the store show an outage that goes on.
    is_store_unavailable: bool,
    /// The time in which announcements that disappear may have expired; none if they were removed.
    grace: Option<GracePeriod>,
}

/// The time after an outage or a restore of the store in which running targets announce themselves again.
#[derive(Clone, Copy, Debug)]
struct GracePeriod {
    ends_at: MonoTime,
    /// Whether the outage was the store's, as far as other nodes could be asked, and not this node's alone.
    is_confirmed: bool,
}

impl TargetCatalog {
    /// Records that the store does not answer this node.
    ///
    /// That alone opens no grace period: until the store answers, rows come from peers only, which say
    /// whether announcements may have expired.
    pub const fn mark_store_unavailable(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Returns whether an outage of the store goes on, as far as this node's calls show.
    pub const fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable
    }

    /// Ends the grace period: the store is in service, so announcements that disappear were removed.
    pub fn end_grace(&mut self, now: MonoTime) {
        self.is_store_unavailable = false;
        self.limit_grace(now, Duration::ZERO);
    }

    /// Records that the store answers. After an outage a grace period begins, which other nodes are to confirm.
    pub fn mark_store_available(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.is_store_unavailable) {
            self.open_grace(now);
        }
    }

    /// Records that the store was restored from a copy: targets that announced themselves since the copy
    /// was made are running, and will do so again. The restore may be older than this node's reading, so
    /// other nodes are to confirm the grace period.
    pub fn mark_store_restored(&mut self, now: MonoTime) {
        self.is_store_unavailable = false;
        self.open_grace(now);
    }

    fn open_grace(&mut self, now: MonoTime) {
        self.grace = Some(GracePeriod {
            ends_at: now + GRACE,
            is_confirmed: false,
        });
    }

    /// Returns how long announcements that disappear may still be due to an outage of the store; zero if
    /// their targets are removed at once.
    pub fn grace_remaining(&self, now: MonoTime) -> Duration {
        let grace = self.grace.as_ref();
        grace.map_or(Duration::ZERO, |grace| grace.ends_at.since(now))
    }

    /// Returns whether a grace period goes on which other nodes are still to confirm. It must not be handed
    /// on until then.
    pub fn is_grace_unconfirmed(&self, now: MonoTime) -> bool {
        let is_confirmed = self.grace.is_none_or(|grace| grace.is_confirmed);
        !is_confirmed && !self.grace_remaining(now).is_zero()
    }

    /// Shortens the grace period by what another node says of the store: it has answered that node for
    /// some time without an outage, so announcements that expired before have had that time to return.
    pub fn apply_reading(&mut self, now: MonoTime, answering_for: Duration) {
        self.limit_grace(now, GRACE.saturating_sub(answering_for));
        self.confirm_grace();
    }

    /// Records that no other node can say more of the grace period.
    pub const fn confirm_grace(&mut self) {
        if let Some(grace) = &mut self.grace {
            grace.is_confirmed = true;
        }
    }

    fn limit_grace(&mut self, now: MonoTime, left: Duration) {
        if let Some(grace) = &mut self.grace {
            grace.ends_at = grace.ends_at.min(now + left);
        }
    }

    /// Adopts the remaining grace period of a node whose rows are applied. One without a grace period may
    /// know of no outage, so it does not end that of this node.
    pub fn adopt_grace(&mut self, now: MonoTime, left: Duration) {
        if left > self.grace_remaining(now) {
            self.grace = Some(GracePeriod {
                ends_at: now + left,
                is_confirmed: true,
            });
        }
    }

    /// Adds or updates a target by its announcement; `None` if nothing has changed.
    pub fn apply_announcement(
        &mut self,
        now: MonoTime,
        id: TargetId,
        announcement: Announcement,
    ) -> Option<CatalogChange> {
        let mut known = KnownTarget {
            announcement,
            announced_at: now,
            missing_since: None,
            outdated_until: None,
        };
        let Some(held) = self.targets.get_mut(&id) else {
            self.targets.insert(id.clone(), known);
            return Some(CatalogChange::Started(id));
        };
        let was_usable = held.is_usable();
        let same_start = held.announcement.started_at_ms == known.announcement.started_at_ms
            && held.announcement.address == known.announcement.address;
        if same_start && known.announcement.writes <= held.announcement.writes {
            // The announcement is not newer than the one that was found outdated.
            known.outdated_until = held.outdated_until;
        }
        // A renewed row that says that the target is cold says so from now on.
        let is_cold_again = !known.announcement.warmup_left.is_zero()
            && known.announcement.writes > held.announcement.writes;
        let same = held.announcement.is_same_as(&known.announcement)
            && !is_cold_again
            && held.missing_since.is_none()
            && was_usable == known.is_usable();
        *held = known;
        match (same_start, same) {
            (false, _) => Some(CatalogChange::Started(id)),
            (true, false) => Some(CatalogChange::Updated(id)),
            (true, true) => None,
        }
    }

    /// Records that another target answered at a target's address; returns whether that was news.
    ///
    /// The target gets no requests until it announces itself again, or for [`OUTDATED_MS`].
    pub fn mark_outdated(&mut self, now: MonoTime, outdated: &OutdatedAddress) -> bool {
        let Some(held) = self.targets.get_mut(&outdated.target) else {
            return false;
        };
        let announcement = &held.announcement;
        let is_current = announcement.started_at_ms == outdated.started_at_ms
            && announcement.address == outdated.address;
        if !is_current || held.outdated_until.is_some() {
            return false;
        }
        held.outdated_until = Some(now + Duration::from_millis(OUTDATED_MS));
        true
    }

    /// Records which target announced an address last, and returns another target whose announcement
    /// of the same address is thereby outdated.
    pub fn claim_address(&mut self, id: &TargetId) -> Option<OutdatedAddress> {
        let claimed = &self.targets.get(id)?.announcement;
        let (address, started_at_ms) = (claimed.address, claimed.started_at_ms);
        let holder = self.addresses.get(&address).filter(|holder| *holder != id);
        let holder = holder.and_then(|holder| Some((holder.clone(), self.targets.get(holder)?)));
        let Some((holder, held)) = holder.filter(|(_, held)| held.announcement.address == address)
        else {
            self.addresses.insert(address, id.clone());
            return None;
        };
        let held_since = held.announcement.started_at_ms;
        // Without both starts, only an answer from the address tells whose it is.
        let (newer, older) = match (started_at_ms?, held_since?) {
            (own, held) if own > held => (id, (holder, held_since)),
            (own, held) if own < held => (&holder, (id.clone(), started_at_ms)),
            _ => return None,
        };
        self.addresses.insert(address, newer.clone());
        Some(OutdatedAddress {
            target: older.0,
            started_at_ms: older.1,
            address,
        })
    }

    /// Adds or updates a target by its announcement in a store that was restored from a copy; `None` if
    /// nothing has changed.
    ///
    /// The announcement may be older than the last one that was received: a target that has begun to
    /// leave or is gone since then gets no requests by it.
    pub fn apply_restored(
        &mut self,
        now: MonoTime,
        id: TargetId,
        announcement: Announcement,
    ) -> Option<CatalogChange> {
        let held = self.targets.get_mut(&id);
        let newest = match &held {
            Some(held) => held.announcement.stamp(),
            None => self.departed.get(&id).map(|(stamp, _)| *stamp),
        };
        let is_older = match (announcement.stamp(), newest) {
            (Some(stamp), Some(newest)) => stamp < newest || (held.is_none() && stamp == newest),
            _ => false,
        };
        if !is_older {
            return self.apply_announcement(now, id, announcement);
        }
        if let Some(held) = held {
            held.missing_since = None;
        }
        None
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
        self.remove(now, id);
        Some(CatalogChange::Removed(id.clone()))
    }

    fn remove(&mut self, now: MonoTime, id: &TargetId) {
        let removed = self.targets.shift_remove(id);
        if let Some(target) = &removed {
            let address = target.announcement.address;
            if self.addresses.get(&address) == Some(id) {
                self.addresses.swap_remove(&address);
            }
        }
        if let Some(stamp) = removed.and_then(|target| target.announcement.stamp()) {
            self.departed.insert(id.clone(), (stamp, now));
        }
    }

    /// Removes targets that did not announce themselves again in time after an outage, and makes
    /// targets usable again whose announcements were found outdated long ago.
    pub fn tick(&mut self, now: MonoTime) -> Vec<CatalogChange> {
        let mut changes = self.end_outdated(now);
        changes.extend(self.remove_missing(now));
        changes
    }

    fn end_outdated(&mut self, now: MonoTime) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for (id, target) in &mut self.targets {
            if target.outdated_until.is_some_and(|until| now >= until) {
                target.outdated_until = None;
                changes.push(CatalogChange::Updated(id.clone()));
            }
        }
        changes
    }

    fn remove_missing(&mut self, now: MonoTime) -> Vec<CatalogChange> {
        let departed_period = Duration::from_millis(DEPARTED_MS);
        self.departed
            .retain(|_, (_, removed_at)| now.since(*removed_at) < departed_period);
        if self.grace.take_if(|grace| now >= grace.ends_at).is_none() {
            return Vec::new();
        }
        let expired: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| target.missing_since.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        expired
            .into_iter()
            .inspect(|id| self.remove(now, id))
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

    /// Returns the number of targets whose announcements were found outdated.
    pub fn outdated_count(&self) -> usize {
        let targets = self.targets.values();
        targets
            .filter(|target| target.outdated_until.is_some())
            .count()
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
