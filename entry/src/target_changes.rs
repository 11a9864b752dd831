//! Applies changes of targets to the catalogue, the balancers and the connections: rows of the store, and
//! addresses that are another target's by now.

use damaskloom_lib::ids::{TargetId, VmId};
use damaskloom_lib::table_mirror::MirrorRow;
use damaskloom_lib::target_balancer::TargetBalancer;
use damaskloom_lib::target_catalog::{
    Announcement, AnnouncementError, CatalogChange, KnownTarget, OutdatedAddress,
};
use damaskloom_lib::target_notices::TargetStart;
use damaskloom_lib::target_trial::ServiceFloor;
use damaskloom_lib::time::MonoTime;
use damaskloom_platform::column_table::DocumentError;
use damaskloom_platform::target_reader::read_announcement;
use snafu::Snafu;

use crate::entry_state::EntryState;
use crate::wall_clock::unix_ms;

/// The reasons why a row names no target to use.
#[derive(Debug, Snafu)]
enum TargetRowError {
    /// The row cannot be read.
    #[snafu(transparent)]
    Unreadable {
        /// The reader's error.
        source: DocumentError,
    },
    /// No target writes such a row.
    #[snafu(transparent)]
    Implausible {
        /// What is wrong.
        source: AnnouncementError,
    },
}

fn read_checked(value: &[u8]) -> Result<Announcement, TargetRowError> {
    let announcement = read_announcement(value)?;
    announcement.check(unix_ms())?;
    Ok(announcement)
}

impl EntryState {
    /// Applies changed rows of the targets' table, which may be older than those before if the store
    /// was restored from a copy.
    pub fn apply_target_rows(&self, changed_rows: &[MirrorRow], is_restored: bool) {
        let now = self.clock.now();
        for row in changed_rows {
            let Ok(id) = row.key.parse::<TargetId>() else {
                tracing::warn!(row = %row.key, "invalid target row");
                continue;
            };
            let change = match row.value.as_deref().map(read_checked) {
                Some(Ok(announcement)) if is_restored => {
                    self.catalog
                        .borrow_mut()
                        .apply_restored(now, id, announcement)
                }
                Some(Ok(announcement)) => {
                    self.catalog
                        .borrow_mut()
                        .apply_announcement(now, id, announcement)
                }
                Some(Err(error)) => {
                    tracing::warn!(row = %row.key, %error, "invalid target row");
                    self.catalog.borrow_mut().remove_announcement(now, &id)
                }
                None => self.catalog.borrow_mut().remove_announcement(now, &id),
            };
            if let Some(change) = change {
                self.apply_catalog_change(now, &change);
                match &change {
                    CatalogChange::Started(id) => self.apply_row_warmup(id, true),
                    CatalogChange::Updated(id) => self.apply_row_warmup(id, false),
                    CatalogChange::Removed(_) => {}
                }
                if let CatalogChange::Started(id) = &change {
                    let outdated = self.catalog.borrow_mut().claim_address(id);
                    if let Some(outdated) = outdated {
                        self.apply_outdated(&outdated, None);
                    }
                }
            }
        }
    }

    /// Records that another target answered at a target's address, and tells the other nodes.
    pub fn record_wrong_target(&self, outdated: OutdatedAddress) {
        if self.apply_outdated(&outdated, None) {
            self.pending_outdated.borrow_mut().push(outdated);
            self.updates_due.notify_one();
        }
    }

    /// Stops requests to a target whose address is another one's by now; `from` is the peer that found
    /// it, or none for this node. Returns whether that was news.
    pub fn apply_outdated(&self, outdated: &OutdatedAddress, from: Option<&VmId>) -> bool {
        let now = self.clock.now();
        let is_news = self.catalog.borrow_mut().mark_outdated(now, outdated);
        if is_news {
            let from = from.map_or("here", |vm| vm.as_str());
            tracing::info!(id = %outdated.target, address = %outdated.address, from, "target address outdated");
            let change = CatalogChange::Updated(outdated.target.clone());
            self.apply_catalog_change(now, &change);
        }
        is_news
    }

    /// Removes targets that did not announce themselves again after an outage of the store.
    pub fn remove_expired_targets(&self) {
        let now = self.clock.now();
        let expired = self.catalog.borrow_mut().tick(now);
        for change in expired {
            self.apply_catalog_change(now, &change);
        }
    }

    /// Removes a target that has said that it leaves from the candidates, if the given start of it is the
    /// known one.
    pub fn remove_leaving(&self, start: &TargetStart) {
        let id = &start.target;
        let known = self
            .catalog
            .borrow()
            .get(id)
            .map(|target| target.announcement.started_at_ms);
        if known == Some(start.started_at_ms) {
            let now = self.clock.now();
            self.apply_catalog_change(now, &CatalogChange::Updated(id.clone()));
        }
    }

    fn apply_catalog_change(&self, now: MonoTime, change: &CatalogChange) {
        let (id, started) = match change {
            CatalogChange::Started(id) => (id, true),
            CatalogChange::Updated(id) => (id, false),
            CatalogChange::Removed(id) => (id, false),
        };
        let catalog = self.catalog.borrow();
        let mut balancers = self.balancers.borrow_mut();
        let known = catalog.get(id);
        if let Some(target) = known.filter(|_| started) {
            let started_at_ms = target.announcement.started_at_ms;
            let mut notices = self.notices.borrow_mut();
            notices.end_earlier_starts(id, started_at_ms);
        }
        let notices = self.notices.borrow();
        let is_leaving = |target: &KnownTarget| {
            let announcement = &target.announcement;
            announcement.leaving || notices.is_leaving(id, announcement.started_at_ms)
        };
        let row = self.targets_copy.mirror.borrow().version().version();
        let Some(target) = known.filter(|target| target.is_usable() && !is_leaving(target)) else {
            let why = match known {
                Some(target) if is_leaving(target) => "leaving",
                Some(_) => "outdated",
                None => "gone",
            };
            tracing::info!(id = %id, why, row, "target removed");
            balancers
                .values_mut()
                .for_each(|balancer| balancer.remove(id));
            self.target_pools.remove(id);
            self.limits.borrow_mut().remove(id);
            return;
        };
        let announcement = &target.announcement;
        if started {
            balancers
                .values_mut()
                .for_each(|balancer| balancer.remove(id));
            self.target_pools.remove(id);
            self.limits.borrow_mut().remove(id);
        }
        let settings = self.settings();
        let balancer = balancers
            .entry(announcement.service.clone())
            .or_insert_with(|| TargetBalancer::new(&settings.vm, settings.data_centre.clone()));
        balancer.set_floor(ServiceFloor::new(settings.bounds.min_target_share));
        if !balancer.contains(id) {
            if self.targets_known.get() {
                tracing::info!(id = %id, service = %announcement.service, row, "target added");
            }
            let centre = announcement.data_centre.clone();
            balancer.insert(
                now,
                id.clone(),
                centre,
                announcement.slots,
                announcement.warmup_left,
            );
        } else {
            let age = now.since(target.announced_at);
            let left = announcement.warmup_left.saturating_sub(age);
            balancer.set_warmup(now, id, left);
        }
    }
}
