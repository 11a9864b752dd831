//! Runs the library's plan builder and confirmation state machine against the platform's table.

use damaskloom_lib::confirm::{ConfirmAction, ConfirmEvent, ConfirmMachine, ConfirmResult};
use damaskloom_lib::plan::{PlanBuilder, RowMap};
use damaskloom_lib::platform::{PlatformError, RowKey, TableStore};
use futures::{StreamExt, TryStreamExt, stream};

use crate::api_error::ApiError;

/// The number of rows that one call reads concurrently.
const READ_CONCURRENCY: usize = 8;

/// Reads rows. The reads are not one consistent snapshot, since transactions check the versions.
pub(crate) async fn read_rows(
    store: &impl TableStore,
    keys: Vec<RowKey>,
) -> Result<RowMap, PlatformError> {
    let reads = keys.into_iter().map(|key| async move {
        let row = store.get(&key).await?;
        Ok((key, row))
    });
    stream::iter(reads)
        .buffer_unordered(READ_CONCURRENCY)
        .try_collect()
        .await
}

/// Reads rows until the builder has all that it needs.
pub(crate) async fn fill_builder(
    store: &impl TableStore,
    builder: &mut PlanBuilder,
) -> Result<(), ApiError> {
    loop {
        let missing = builder.missing_rows()?;
        if missing.is_empty() {
            return Ok(());
        }
        builder.supply(read_rows(store, missing).await?);
    }
}

/// Runs a confirmation to its result.
pub(crate) async fn run_confirm(
    store: &impl TableStore,
    mut machine: ConfirmMachine,
) -> ConfirmResult {
    let mut action = machine.start();
    loop {
        let event = match action {
            ConfirmAction::Finish(result) => return result,
            ConfirmAction::Read(keys) => match read_rows(store, keys).await {
                Ok(rows) => ConfirmEvent::Rows(rows),
                Err(_) => ConfirmEvent::ReadFailed,
            },
            ConfirmAction::Commit(transaction) => {
                ConfirmEvent::Commit(store.commit(&transaction).await)
            }
            ConfirmAction::Wait(delay) => {
                tokio::time::sleep(delay).await;
                ConfirmEvent::WaitOver
            }
        };
        action = machine.handle(event);
    }
}
