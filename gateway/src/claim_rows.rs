//! Writes, reads and deletes the rows of claims without holding the registry's lock.

use std::sync::Arc;
use std::time::Duration;

use damaskloom_lib::claim_action::{ClaimAction, RowRead, RowWrite};
use damaskloom_lib::time::MonoTime;

use crate::claim_registry::{ClaimBacking, ClaimRegistry, RegistryState, RegistryStep, log_steps};
use crate::claim_store::ClaimStore;

/// The interval at which a failed deletion of a row is retried, in milliseconds.
const DELETE_RETRY_INTERVAL_MS: u64 = 1_000;

impl ClaimRegistry {
    /// Performs an action on rows; with the platform's table, the outcome is reported later.
    pub(crate) fn perform_on_rows(
        self: &Arc<Self>,
        state: &mut RegistryState,
        action: ClaimAction,
    ) -> Vec<RegistryStep> {
        let now = self.now();
        match (state.backing.clone(), action) {
            (ClaimBacking::Table(store), action) => {
                tokio::spawn(Arc::clone(self).call_store(store, action));
                Vec::new()
            }
            (ClaimBacking::Memory, ClaimAction::WriteRow { key, .. }) => {
                log_steps(state.log.row_written(now, &key, RowWrite::Committed))
            }
            (ClaimBacking::Unset, ClaimAction::WriteRow { key, .. }) => {
                log_steps(state.log.row_written(now, &key, RowWrite::Unavailable))
            }
            (ClaimBacking::Unset, ClaimAction::ReadRow { key }) => {
                log_steps(state.log.row_read(now, &key, RowRead::Failed))
            }
            (ClaimBacking::Memory | ClaimBacking::Unset, _) => Vec::new(),
        }
    }

    async fn call_store(self: Arc<Self>, store: ClaimStore, action: ClaimAction) {
        match action {
            ClaimAction::WriteRow { key, row } => {
                let outcome = store.write(&key, &row).await;
                let answered = matches!(outcome, RowWrite::Committed | RowWrite::Conflict);
                self.apply_store_result(answered, |state, now| {
                    state.log.row_written(now, &key, outcome)
                });
            }
            ClaimAction::ReadRow { key } => {
                let outcome = store.read(&key).await;
                let answered = !matches!(outcome, RowRead::Failed);
                self.apply_store_result(answered, |state, now| {
                    state.log.row_read(now, &key, outcome)
                });
            }
            ClaimAction::DeleteRow { key, ticket } => {
                let interval = Duration::from_millis(DELETE_RETRY_INTERVAL_MS);
                while store.delete(&key, &ticket).await.is_err() {
                    tokio::time::sleep(interval).await;
                }
            }
            ClaimAction::Send { .. } | ClaimAction::SendHandover { .. } => {}
        }
    }

    fn apply_store_result(
        self: &Arc<Self>,
        answered: bool,
        act: impl FnOnce(&mut RegistryState, MonoTime) -> Vec<ClaimAction>,
    ) {
        let mut state = self.lock();
        let actions = act(&mut state, self.now());
        state.record_store_status(answered);
        self.perform(&mut state, log_steps(actions));
    }

    /// Probes whether an unavailable store answers again.
    pub(crate) fn probe_store(self: &Arc<Self>, state: &RegistryState) {
        if let ClaimBacking::Table(store) = &state.backing {
            let (registry, store) = (Arc::clone(self), store.clone());
            tokio::spawn(async move {
                if store.probe().await {
                    registry.store_recovered();
                }
            });
        }
    }
}
