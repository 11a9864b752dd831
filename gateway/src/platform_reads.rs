//! Reads of the platform that take several calls.

use std::sync::Arc;

use damaskloom_lib::config::{ConfigDelta, FleetConfig};
use damaskloom_lib::epoch_types::EPOCH_ROW;
use damaskloom_lib::ids::Revision;
use damaskloom_lib::platform::{PlatformError, RowKey, TableRow, TableStore};
use damaskloom_lib::registration::{MEMBER_ROW_PREFIX, MemberRecord};
use damaskloom_lib::table_layout::{HeadRow, head_key};
use damaskloom_platform::client::PlatformClient;
use damaskloom_platform::config_reader;
use serde::de::DeserializeOwned;

/// The rows that one scan asks for.
const SCAN_ROWS: usize = 500;

/// The newest revision and the newest assignment, read together.
#[derive(Clone, Debug)]
pub struct HeadReading {
    /// The newest accepted revision.
    pub revision: Revision,
    /// The row of the newest assignment.
    pub epoch: Option<TableRow>,
}

fn parse<T: DeserializeOwned>(row: TableRow) -> Result<T, PlatformError> {
    serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
        detail: format!("row {}: {error}", row.key),
    })
}

/// Reads the head and the assignment.
///
/// # Errors
///
/// Fails if either cannot be read.
pub async fn read_head(client: &PlatformClient) -> Result<HeadReading, PlatformError> {
    let (head, epoch) = (head_key(), RowKey::from(EPOCH_ROW));
    let (head, epoch) = tokio::try_join!(client.get(&head), client.get(&epoch))?;
    let revision = match head {
        Some(row) => parse::<HeadRow>(row)?.revision,
        None => Revision::default(),
    };
    Ok(HeadReading { revision, epoch })
}

/// Reads the deltas that follow a revision.
///
/// # Errors
///
/// Fails if they cannot be read or understood.
pub async fn read_deltas(
    client: &PlatformClient,
    after: Revision,
) -> Result<Vec<ConfigDelta>, PlatformError> {
    config_reader::read_deltas(client, after).await
}

/// Loads the newest snapshot; an empty configuration if there is none, nothing if it is not newer.
///
/// # Errors
///
/// Fails if a part cannot be read or understood.
pub async fn read_snapshot(
    client: &PlatformClient,
    newer_than: Option<Revision>,
) -> Result<Option<FleetConfig>, PlatformError> {
    config_reader::read_snapshot(client, newer_than).await
}

/// Reads all registered members.
///
/// # Errors
///
/// Fails if they cannot be read or understood.
pub async fn read_members(client: &PlatformClient) -> Result<Vec<MemberRecord>, PlatformError> {
    let mut members: Vec<MemberRecord> = Vec::new();
    let mut after: Option<RowKey> = None;
    loop {
        let rows = client
            .scan(MEMBER_ROW_PREFIX, after.as_ref(), SCAN_ROWS)
            .await?;
        let full = rows.len() == SCAN_ROWS;
        after = rows.last().map(|row| row.key.clone());
        for row in rows {
            members.push(parse(row)?);
        }
        if !full {
            return Ok(members);
        }
    }
}

/// A client that tasks share.
pub type SharedClient = Arc<PlatformClient>;
