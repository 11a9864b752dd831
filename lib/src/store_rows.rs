//! Rows of the platform's store, transactions on them and their outcomes.

use bytes::Bytes;

use crate::platform::{MAX_TRANSACTION_ROWS, PlatformError};
use crate::store_version::StoreVersion;

/// The maximum size of a key in the store, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// The maximum size of a value in the store, in bytes.
const MAX_VALUE_BYTES: usize = 65_536;

/// A row of the store, or the fact that it was removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// The row's key within its table.
    pub key: String,
    /// The row's value; none if the row was removed.
    pub value: Option<Bytes>,
    /// The version at which the row was last written.
    pub version: StoreVersion,
}

/// Rows of a table, and the version of the store that they reflect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowBatch {
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// The version to continue from.
    pub version: StoreVersion,
    /// Whether there are more rows in the requested range.
    pub has_more: bool,
}

/// The outcome of reading a feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedOutcome {
    /// The changes after the requested version; empty if there were none during the wait.
    Changes(RowBatch),
    /// The store no longer has the changes after that version; the whole table must be read again.
    Forgotten,
}

/// The outcome of creating a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CreateOutcome {
    /// The row was written.
    Created,
    /// The row existed already, with this value.
    Exists(Bytes),
}

/// An atomic set of writes in one table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowTransaction {
    /// The versions that rows must have; zero means that the row must not exist.
    pub expected: Vec<(String, u64)>,
    /// The rows that are written.
    pub puts: Vec<(String, Bytes)>,
    /// The rows that are removed if they exist.
    pub removals: Vec<String>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// All writes took effect.
    Applied,
    /// No write took effect: an expected version was wrong. Holds those rows with an expected
    /// version that exist.
    Conflict(Vec<StoreRow>),
}

impl RowTransaction {
    /// Checks the transaction against the limits of the store, which would refuse it on every
    /// attempt.
    ///
    /// # Errors
    ///
    /// Fails if the transaction has too many rows, or a key or value is too large.
    pub fn check(&self) -> Result<(), PlatformError> {
        let rows = self.expected.len() + self.puts.len() + self.removals.len();
        if rows > MAX_TRANSACTION_ROWS {
            return Err(PlatformError::too_large(format!(
                "a transaction of {rows} rows, the store takes {MAX_TRANSACTION_ROWS}"
            )));
        }
        let keys = self.expected.iter().map(|(key, _)| key);
        let mut keys = keys
            .chain(self.puts.iter().map(|(key, _)| key))
            .chain(&self.removals);
        if let Some(key) = keys.find(|key| key.len() > MAX_KEY_BYTES) {
            return Err(PlatformError::too_large(format!(
                "key {key:?} has more than {MAX_KEY_BYTES} bytes"
            )));
        }
        let large = |(_, value): &&(String, Bytes)| value.len() > MAX_VALUE_BYTES;
        match self.puts.iter().find(large) {
            Some((key, value)) => Err(PlatformError::too_large(format!(
                "row {key:?} has {} bytes, the store takes {MAX_VALUE_BYTES}",
                value.len()
            ))),
            None => Ok(()),
        }
    }
}
