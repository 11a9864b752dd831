//! Applies what targets say of themselves in their answers.

use damaskloom_lib::ids::TargetId;
use damaskloom_lib::target_notices::TargetNotice;
use damaskloom_lib::time::MonoTime;

use crate::entry_state::EntryState;

impl EntryState {
    /// Records what the answer to a request that was sent at `sent_at` says about its target.
    pub fn record_target_notice(&self, id: &TargetId, sent_at: MonoTime, notice: TargetNotice) {
        self.record_limit_notice(id, sent_at, notice.limit);
        let sent_ms = self.clock.now().since(sent_at).as_millis() as u64;
        if notice.is_leaving {
            let row_leaving = self.is_announced_leaving(id);
            tracing::info!(%id, row_leaving, sent_ms, "target says that it leaves");
        }
        if let Some(rest) = notice.rest {
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            tracing::info!(%id, rest_ms, sent_ms, "target asks for rest");
        }
    }

    /// Returns whether the target's row says that it leaves, or is gone.
    fn is_announced_leaving(&self, id: &TargetId) -> bool {
        let catalog = self.catalog.borrow();
        catalog
            .get(id)
            .is_none_or(|target| target.announcement.leaving)
    }
}
