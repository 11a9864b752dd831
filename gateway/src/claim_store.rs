//! The rows of claims in the platform's table.

use std::sync::Arc;

use damaskloom_lib::claim_action::{RowRead, RowWrite};
use damaskloom_lib::claim_message::{ClaimKey, ClaimRow, ClaimTicket};
use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, PlatformError, RowKey, TableRow, TableStore, Transaction,
};
use damaskloom_platform::client::{ClientSettings, PlatformClient};

/// The time limit of one call, in milliseconds; a write and the read that follows a lost answer
/// have to fit into the time for which a request waits for its claim.
const CALL_TIMEOUT_MS: u64 = 250;
/// The largest number of reads that a node makes for claims per second.
const READS_PER_SECOND: u32 = 20;
/// The largest number of writes that a node makes for claims per second; claims beyond it are held
/// by two nodes instead.
const WRITES_PER_SECOND: u32 = 8;
/// The row that is read to find out whether the store has recovered; it need not exist.
const PROBE_ROW: &str = "claim-probe";

/// Returns the settings of a platform client for claims.
pub const fn claim_client_settings() -> ClientSettings {
    ClientSettings {
        attempt_timeout_ms: CALL_TIMEOUT_MS,
        call_timeout_ms: CALL_TIMEOUT_MS,
        backoff_base_ms: 50,
        backoff_cap_ms: 100,
        reads_per_second: READS_PER_SECOND,
        writes_per_second: WRITES_PER_SECOND,
    }
}

/// Writes, reads and deletes the rows of claims.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    client: Arc<PlatformClient>,
}

impl ClaimStore {
    /// Makes a store on a platform client, which should have [`claim_client_settings`].
    pub const fn new(client: Arc<PlatformClient>) -> Self {
        Self { client }
    }

    /// Writes a claim's row if it is absent.
    pub async fn write(&self, key: &ClaimKey, row: &ClaimRow) -> RowWrite {
        let value = serde_json::to_value(row).expect("a claim's row is always valid JSON");
        let transaction = Transaction {
            conditions: vec![Condition::Absent(key.row_key())],
            mutations: vec![Mutation::Put(key.row_key(), value)],
        };
        match self.client.commit(&transaction).await {
            Ok(CommitOutcome::Committed) => RowWrite::Committed,
            Ok(CommitOutcome::Conflict(_)) => RowWrite::Conflict,
            Err(PlatformError::Unavailable { .. } | PlatformError::TooLarge { .. }) => {
                RowWrite::Unavailable
            }
            Err(PlatformError::AnswerLost { .. } | PlatformError::Malformed { .. }) => {
                RowWrite::AnswerLost
            }
        }
    }

    /// Reads a claim's row; a malformed row counts as a failed read.
    pub async fn read(&self, key: &ClaimKey) -> RowRead {
        match self.client.get(&key.row_key()).await {
            Ok(Some(row)) => claim_row(row).map_or(RowRead::Failed, RowRead::Found),
            Ok(None) => RowRead::Absent,
            Err(_) => RowRead::Failed,
        }
    }

    /// Deletes the row of an expired claim, unless a later claim wrote it.
    ///
    /// # Errors
    ///
    /// Fails if the platform gave no definite answer; the row may still exist.
    pub async fn delete(&self, key: &ClaimKey, ticket: &ClaimTicket) -> Result<(), PlatformError> {
        let Some(row) = self.client.get(&key.row_key()).await? else {
            return Ok(());
        };
        let version = row.version;
        if claim_row(row).is_none_or(|row| row.ticket != *ticket) {
            return Ok(());
        }
        let transaction = Transaction {
            conditions: vec![Condition::VersionIs(key.row_key(), version)],
            mutations: vec![Mutation::Delete(key.row_key())],
        };
        // A conflict means that another node has deleted the row.
        self.client.commit(&transaction).await.map(|_outcome| ())
    }

    /// Returns whether the store answers.
    pub async fn probe(&self) -> bool {
        self.client.get(&RowKey::from(PROBE_ROW)).await.is_ok()
    }
}

fn claim_row(row: TableRow) -> Option<ClaimRow> {
    serde_json::from_value(row.value).ok()
}
