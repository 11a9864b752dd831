//! The interface to the platform: its transactional table, its object store and its VM list.
//!
//! These are the only traits of the library, since only here a process calls external systems. See
//! [docs/design/platform.md](../../docs/design/platform.md).

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{DataCentreId, VmId};

/// The key of a row, such as `customer/acme`; keys are ordered by their text.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RowKey(pub String);

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for RowKey {
    fn from(key: &str) -> Self {
        Self(key.to_owned())
    }
}

/// The version of a row; each write increases it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row as it was read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TableRow {
    /// The row's key.
    pub key: RowKey,
    /// The row's value: a JSON document.
    pub value: serde_json::Value,
    /// The version that the read saw.
    pub version: RowVersion,
}

/// A condition that must hold for a transaction to commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row exists with this version.
    VersionIs(RowKey, RowVersion),
    /// The row does not exist.
    Absent(RowKey),
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// Writes the row, whether it exists or not.
    Put(RowKey, serde_json::Value),
    /// Deletes the row if it exists.
    Delete(RowKey),
}

/// A set of writes that takes effect atomically.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub mutations: Vec<Mutation>,
}

/// The platform's definite answer to a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes took effect.
    Committed,
    /// No write took effect, since the conditions on these rows failed.
    Conflict(Vec<RowKey>),
}

/// The reason why the platform gave no definite answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The call was refused or never sent, so it had no effect.
    #[snafu(display("the platform is unavailable: {detail}"))]
    Unavailable {
        /// A description of the failure.
        detail: String,
    },
    /// The call may have taken effect; read back before retrying.
    #[snafu(display("the platform's answer was lost: {detail}"))]
    AnswerLost {
        /// A description of the failure.
        detail: String,
    },
    /// The call is beyond the platform's limits; it was not sent, and every retry would be refused.
    #[snafu(display("the platform does not take the call: {detail}"))]
    TooLarge {
        /// What is too large.
        detail: String,
    },
    /// The platform's answer is malformed.
    #[snafu(display("the platform's answer is malformed: {detail}"))]
    Malformed {
        /// A description of the failure.
        detail: String,
    },
}

impl PlatformError {
    /// Creates the error of a call that had no effect.
    pub fn unavailable(detail: impl Into<String>) -> Self {
        Self::Unavailable {
            detail: detail.into(),
        }
    }

    /// Creates the error of a call that may have had an effect.
    pub fn answer_lost(detail: impl Into<String>) -> Self {
        Self::AnswerLost {
            detail: detail.into(),
        }
    }

    /// Creates the error of a call beyond the platform's limits.
    pub fn too_large(detail: impl Into<String>) -> Self {
        Self::TooLarge {
            detail: detail.into(),
        }
    }

    /// Creates the error of a malformed answer.
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self::Malformed {
            detail: detail.into(),
        }
    }
}

/// The greatest number of rows that one transaction may name.
pub const MAX_TRANSACTION_ROWS: usize = 100;

/// The platform's transactional table.
pub trait TableStore: Send + Sync {
    /// Reads one row.
    fn get(
        &self,
        key: &RowKey,
    ) -> impl Future<Output = Result<Option<TableRow>, PlatformError>> + Send;

    /// Reads at most `limit` rows whose keys start with `prefix` and sort after `after`.
    fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, PlatformError>> + Send;

    /// Commits a transaction.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>> + Send;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get_object(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Writes a whole object.
    fn put_object(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// The platform's plans for a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// A VM as the platform's lagging list shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VmEntry {
    /// The VM's name.
    pub id: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// The address of the VM's peer listener.
    pub peer_address: SocketAddr,
    /// The platform's plans for the VM.
    pub state: VmState,
}

/// The platform's list of VMs, which lags.
pub trait VmList: Send + Sync {
    /// Reads the list.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, PlatformError>> + Send;
}
