//! How a desk has the rows of its claims written, read and deleted, beside its lock.

use std::sync::Arc;
use std::time::Duration;

use damaskloom_lib::claim_action::{ClaimAction, RowRead, RowWrite};
use damaskloom_lib::time::MonoTime;

use crate::claim_desk::{ClaimBacking, ClaimDesk, DeskState, DeskStep, log_steps};
use crate::claim_store::ClaimStore;

/// The interval at which the deletion of a row is tried again, in milliseconds.
const FORGET_RETRY_MS: u64 = 1_000;

impl ClaimDesk {
    /// Performs an action on rows; the outcome comes back later, but for claims in memory.
    pub(crate) fn store(
        self: &Arc<Self>,
        desk: &mut DeskState,
        action: ClaimAction,
    ) -> Vec<DeskStep> {
        let now = self.now();
        match (desk.backing.clone(), action) {
            (ClaimBacking::Table(store), action) => {
                tokio::spawn(Arc::clone(self).call_store(store, action));
                Vec::new()
            }
            (ClaimBacking::Memory, ClaimAction::WriteRow { key, .. }) => {
                log_steps(desk.log.row_written(now, &key, RowWrite::Committed))
            }
            (ClaimBacking::Closed, ClaimAction::WriteRow { key, .. }) => {
                log_steps(desk.log.row_written(now, &key, RowWrite::Unavailable))
            }
            (ClaimBacking::Closed, ClaimAction::ReadRow { key }) => {
                log_steps(desk.log.row_read(now, &key, RowRead::Failed))
            }
            (ClaimBacking::Memory | ClaimBacking::Closed, _) => Vec::new(),
        }
    }

    async fn call_store(self: Arc<Self>, store: ClaimStore, action: ClaimAction) {
        match action {
            ClaimAction::WriteRow { key, row } => {
                let outcome = store.write(&key, &row).await;
                let answered = matches!(outcome, RowWrite::Committed | RowWrite::Conflict);
                self.after_store(answered, |desk, now| {
                    desk.log.row_written(now, &key, outcome)
                });
            }
            ClaimAction::ReadRow { key } => {
                let outcome = store.read(&key).await;
                let answered = !matches!(outcome, RowRead::Failed);
                self.after_store(answered, |desk, now| desk.log.row_read(now, &key, outcome));
            }
            ClaimAction::DeleteRow { key, ticket } => {
                let pause = Duration::from_millis(FORGET_RETRY_MS);
                while store.forget(&key, &ticket).await.is_err() {
                    tokio::time::sleep(pause).await;
                }
            }
            ClaimAction::Send { .. } | ClaimAction::SendHandover { .. } => {}
        }
    }

    fn after_store(
        self: &Arc<Self>,
        answered: bool,
        act: impl FnOnce(&mut DeskState, MonoTime) -> Vec<ClaimAction>,
    ) {
        let mut desk = self.lock();
        let actions = act(&mut desk, self.now());
        desk.note_store(answered);
        self.settle(&mut desk, log_steps(actions));
    }

    /// Tries whether a store that was out answers again.
    pub(crate) fn probe_store(self: &Arc<Self>, desk: &DeskState) {
        if let ClaimBacking::Table(store) = &desk.backing {
            let (desk, store) = (Arc::clone(self), store.clone());
            tokio::spawn(async move {
                if store.probe().await {
                    desk.store_recovered();
                }
            });
        }
    }
}
