//! Writes snapshots of the configuration, and deletes the deltas that they replace.

use crate::config::FleetConfig;
use crate::distribution::DELTA_BATCH;
use crate::ids::Revision;
use crate::platform::{
    CommitOutcome, Condition, MAX_TRANSACTION_ROWS, Mutation, ObjectStore, PlatformError,
    TableStore, Transaction,
};
use crate::snapshot_transfer::{SnapshotCursor, read_part};
use crate::table_layout::{DELTA_PREFIX, SnapshotPart, SnapshotRow, delta_key, snapshot_key};

use crate::config_reader::{parse_row, read_deltas, read_head, read_snapshot};

/// The size at which a part of a snapshot ends, in bytes of JSON.
const PART_BYTES: usize = 1 << 20;

/// Writes a snapshot of the newest configuration if at least `every` revisions were accepted since
/// the last one; returns its revision if one was written.
///
/// Only the deltas up to the previous snapshot are deleted, so that a node that was paused for up to
/// `every` revisions still finds the deltas that it needs. `nonce` is a random number that separates
/// the objects of two processes that write at the same time.
///
/// # Errors
///
/// Fails if the platform gives no definite answer; calling again is safe.
pub async fn write_snapshot_if_due(
    store: &(impl TableStore + ObjectStore),
    every: u64,
    nonce: u32,
) -> Result<Option<Revision>, PlatformError> {
    let held = store.get(&snapshot_key()).await?;
    let (condition, last) = match held {
        None => (Condition::Absent(snapshot_key()), Revision::default()),
        Some(row) => {
            let condition = Condition::VersionIs(row.key.clone(), row.version);
            (condition, parse_row::<SnapshotRow>(row)?.revision)
        }
    };
    if read_head(store).await?.0 < last.0 + every {
        return Ok(None);
    }
    let config = load_newest(store).await?;
    let row = write_parts(store, &config, nonce).await?;
    let value = serde_json::to_value(&row).expect("snapshot rows have text keys only");
    let transaction = Transaction {
        conditions: vec![condition],
        mutations: vec![Mutation::Put(snapshot_key(), value)],
    };
    // Another process has written a snapshot, so this one is not needed.
    if store.commit(&transaction).await? != CommitOutcome::Committed {
        return Ok(None);
    }
    delete_deltas(store, last).await?;
    Ok(Some(row.revision))
}

async fn load_newest(
    store: &(impl TableStore + ObjectStore),
) -> Result<FleetConfig, PlatformError> {
    let config = read_snapshot(store, None).await?;
    let mut config = config.unwrap_or_default();
    loop {
        let deltas = read_deltas(store, config.revision).await?;
        if deltas.is_empty() {
            return Ok(config);
        }
        for delta in deltas {
            let applied = config.apply(&delta);
            applied.map_err(|error| PlatformError::malformed(error.to_string()))?;
        }
    }
}

async fn write_parts(
    store: &impl ObjectStore,
    config: &FleetConfig,
    nonce: u32,
) -> Result<SnapshotRow, PlatformError> {
    let mut row = SnapshotRow {
        revision: config.revision,
        name: format!("snapshot/{:020}-{nonce:08x}", config.revision.0),
        parts: 0,
    };
    let mut next = Some(SnapshotCursor::START);
    while let Some(cursor) = next {
        let part = read_part(config, cursor, PART_BYTES);
        next = part.next;
        let part = SnapshotPart {
            revision: part.revision,
            changes: part.changes,
        };
        let body = serde_json::to_vec(&part).expect("snapshot parts have text keys only");
        store
            .put_object(&row.part_name(row.parts), body.into())
            .await?;
        row.parts += 1;
    }
    Ok(row)
}

/// Deletes the deltas up to and including a revision.
async fn delete_deltas(store: &impl TableStore, up_to: Revision) -> Result<(), PlatformError> {
    let end = delta_key(up_to);
    loop {
        let rows = store.scan(DELTA_PREFIX, None, DELTA_BATCH).await?;
        let old = rows.into_iter().filter(|row| row.key <= end);
        let old = old.take(MAX_TRANSACTION_ROWS);
        let mutations: Vec<Mutation> = old.map(|row| Mutation::Delete(row.key)).collect();
        if mutations.is_empty() {
            return Ok(());
        }
        let transaction = Transaction {
            conditions: Vec::new(),
            mutations,
        };
        store.commit(&transaction).await?;
    }
}
