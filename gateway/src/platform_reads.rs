//! Reads of the platform that take several calls.

use std::sync::Arc;

use damaskloom_lib::config_reader;
use damaskloom_lib::epoch_types::EPOCH_ROW;
use damaskloom_lib::ids::Revision;
use damaskloom_lib::platform::{PlatformError, RowKey, TableRow, TableStore};
use damaskloom_lib::registration::{MEMBER_ROW_PREFIX, MemberRecord};
use damaskloom_platform::client::PlatformClient;
use serde::de::DeserializeOwned;

/// The number of rows that one scan requests.
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
    let epoch = RowKey::from(EPOCH_ROW);
    let (revision, epoch) = tokio::try_join!(config_reader::read_head(client), client.get(&epoch))?;
    Ok(HeadReading { revision, epoch })
}

/// Reads all registered members.
///
/// # Errors
///
/// Fails if they cannot be read or parsed.
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
