//! Applies what targets say of themselves in their answers; see
//! [docs/design/target-notices.md](../../docs/design/target-notices.md).

use damaskloom_lib::config::Idempotence;
use damaskloom_lib::ids::{TargetId, VmId};
use damaskloom_lib::target_notices::{RestNotice, TargetNotice, TargetStart};
use damaskloom_lib::target_selection::TargetTrust;
use damaskloom_lib::time::MonoTime;

use crate::entry_state::EntryState;

impl EntryState {
    /// Records what the answer to a request that was sent at `sent_at` says about its target.
    pub fn record_target_notice(
        &self,
        start: &TargetStart,
        sent_at: MonoTime,
        notice: TargetNotice,
    ) {
        let id = &start.target;
        self.record_limit_notice(id, sent_at, notice.limit);
        if let Some(left) = notice.warmup_left {
            self.record_warmup_notice(start, sent_at, left);
        }
        if notice.is_leaving {
            self.apply_leaving(start, None);
        }
        let now = self.clock.now();
        let mut notices = self.notices.borrow_mut();
        if notice.is_staying {
            notices.record_staying(start, sent_at);
        }
        notices.record_rest(now, start, sent_at, notice.rest);
        if let RestNotice::Asked(rest) = notice.rest {
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            let granted_ms = notices.rest_left(now, id).as_millis() as u64;
            tracing::info!(%id, rest_ms, granted_ms, "target asks for rest");
        }
    }

    /// Records that a target was selected for a request.
    pub fn record_selection(&self, id: &TargetId) {
        let now = self.clock.now();
        self.notices.borrow_mut().record_selection(now, id);
    }

    /// Stops requests to a target that has said that it leaves; `from` is the peer that was answered so, or
    /// none for this node, which then tells the others.
    pub fn apply_leaving(&self, start: &TargetStart, from: Option<&VmId>) {
        let now = self.clock.now();
        let is_news = match from {
            None => self.notices.borrow_mut().record_leaving(now, start),
            Some(_) => self.notices.borrow_mut().record_told(now, start),
        };
        if !is_news {
            return;
        }
        let id = &start.target;
        let row_leaving = self.is_announced_leaving(id);
        let from = from.map_or("here", |vm| vm.as_str());
        tracing::info!(%id, from, row_leaving, "target says that it leaves");
        self.remove_leaving(start);
        self.updates_due.notify_one();
    }

    /// Returns whether this start of a target is the known one and accepts requests of this node.
    pub fn accepts_requests(&self, start: &TargetStart, idempotence: Idempotence) -> bool {
        let catalog = self.catalog.borrow();
        let known = catalog.get(&start.target);
        let is_usable = known.is_some_and(|target| {
            target.is_usable() && target.announcement.started_at_ms == start.started_at_ms
        });
        let notices = self.notices.borrow();
        is_usable
            && !self.is_evacuated(&start.target)
            && !notices.is_leaving(&start.target, start.started_at_ms)
            && (self.target_trust(idempotence)).includes(&notices, &start.target)
            && !notices.is_resting(self.clock.now(), &start.target)
    }

    /// Returns the targets that a request may go to.
    ///
    /// A request that may run only once is lost if its target stops meanwhile, so it goes to no target that may
    /// have left without this node's knowledge; see
    /// [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).
    pub fn target_trust(&self, idempotence: Idempotence) -> TargetTrust {
        let now = self.clock.now();
        let max_lag = self.settings().bounds.max_targets_lag();
        let lag = self.targets_copy.lag(now).unwrap_or_default();
        match idempotence {
            Idempotence::NonIdempotent if lag >= max_lag => TargetTrust::StayingAt(now - max_lag),
            Idempotence::Idempotent | Idempotence::NonIdempotent => TargetTrust::Known,
        }
    }

    /// Forgets what targets said that have been gone for long.
    pub fn forget_departed_targets(&self) {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let mut notices = self.notices.borrow_mut();
        notices.tick(now, |id| catalog.get(id).is_some());
    }

    /// Returns whether the target's row says that it leaves, or is gone.
    fn is_announced_leaving(&self, id: &TargetId) -> bool {
        let catalog = self.catalog.borrow();
        catalog
            .get(id)
            .is_none_or(|target| target.announcement.leaving)
    }
}
