//! Reads revisions, deltas and snapshots of the configuration from the platform.

use crate::config::{ConfigDelta, FleetConfig};
use crate::distribution::DELTA_BATCH;
use crate::ids::Revision;
use crate::platform::{ObjectStore, PlatformError, RowKey, TableRow, TableStore};
use crate::snapshot_transfer::ConfigAssembly;
use crate::table_layout::{
    DELTA_PREFIX, HeadRow, SnapshotPart, SnapshotRow, delta_key, head_key, snapshot_key,
};
use futures::{StreamExt, stream};
use serde::de::DeserializeOwned;

/// The number of parts of a snapshot that are fetched concurrently.
const PART_CONCURRENCY: usize = 4;

/// Reads the newest accepted revision; zero if there is none yet.
///
/// # Errors
///
/// Fails if the platform gives no answer or a malformed one.
pub async fn read_head(store: &impl TableStore) -> Result<Revision, PlatformError> {
    let row: Option<HeadRow> = read_row(store, head_key()).await?;
    Ok(row.unwrap_or_default().revision)
}

/// Reads the first deltas after a revision that are still in the platform's store.
///
/// # Errors
///
/// Fails if the platform gives no answer or a malformed one.
pub async fn read_deltas(
    store: &impl TableStore,
    after: Revision,
) -> Result<Vec<ConfigDelta>, PlatformError> {
    let after = delta_key(after);
    let rows = store.scan(DELTA_PREFIX, Some(&after), DELTA_BATCH).await?;
    rows.into_iter().map(parse_row).collect()
}

/// Loads the newest snapshot; `None` if it is not newer than `newer_than`.
///
/// If there is no snapshot yet, the result is the empty configuration at revision zero.
///
/// # Errors
///
/// Fails if the platform gives no answer or a malformed one, or if a part is missing.
pub async fn read_snapshot(
    store: &(impl TableStore + ObjectStore),
    newer_than: Option<Revision>,
) -> Result<Option<FleetConfig>, PlatformError> {
    let row: Option<SnapshotRow> = read_row(store, snapshot_key()).await?;
    let revision = row.as_ref().map(|row| row.revision).unwrap_or_default();
    if newer_than.is_some_and(|held| revision <= held) {
        return Ok(None);
    }
    match row {
        None => Ok(Some(FleetConfig::default())),
        Some(row) => load_parts(store, &row).await.map(Some),
    }
}

/// Loads the parts in order, so that only a few of them are in memory as JSON at any time.
async fn load_parts(
    store: &impl ObjectStore,
    row: &SnapshotRow,
) -> Result<FleetConfig, PlatformError> {
    let fetches = (0..row.parts).map(|part| fetch_part(store, row, part));
    let mut parts = stream::iter(fetches).buffered(PART_CONCURRENCY);
    let mut assembly = ConfigAssembly::default();
    let mut loaded = 0;
    while let Some(part) = parts.next().await {
        let part = part?;
        loaded += 1;
        assembly.add_part(part.revision, &part.changes, loaded == row.parts);
    }
    Ok(assembly.into_config())
}

async fn fetch_part(
    store: &impl ObjectStore,
    row: &SnapshotRow,
    part: u32,
) -> Result<SnapshotPart, PlatformError> {
    let name = row.part_name(part);
    let Some(body) = store.get_object(&name).await? else {
        return Err(PlatformError::malformed(format!(
            "object {name} is missing"
        )));
    };
    let part: SnapshotPart = serde_json::from_slice(&body)
        .map_err(|error| PlatformError::malformed(format!("object {name}: {error}")))?;
    if part.revision != row.revision {
        return Err(PlatformError::malformed(format!(
            "object {name} belongs to another snapshot"
        )));
    }
    Ok(part)
}

pub(crate) async fn read_row<T: DeserializeOwned>(
    store: &impl TableStore,
    key: RowKey,
) -> Result<Option<T>, PlatformError> {
    store.get(&key).await?.map(parse_row).transpose()
}

pub(crate) fn parse_row<T: DeserializeOwned>(row: TableRow) -> Result<T, PlatformError> {
    let key = row.key;
    serde_json::from_value(row.value)
        .map_err(|error| PlatformError::malformed(format!("row {key}: {error}")))
}
