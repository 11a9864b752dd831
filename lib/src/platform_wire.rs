//! The bodies and paths of the platform's HTTP interface.
//!
//! The client and the stand-in share these types, so that neither can drift from the other. See
//! [docs/design/platform.md](../../docs/design/platform.md).

use serde::{Deserialize, Serialize};

use crate::platform::{RowKey, TableRow, VmEntry};

/// The path that reads one row; takes a [`GetRequest`], answers a [`GetResponse`].
pub const GET_PATH: &str = "/v1/table/get";

/// The path that reads a range of rows; takes a [`ScanRequest`], answers a [`ScanResponse`].
pub const SCAN_PATH: &str = "/v1/table/scan";

/// The path that commits a [`Transaction`](crate::platform::Transaction); answers a
/// [`CommitOutcome`](crate::platform::CommitOutcome).
pub const COMMIT_PATH: &str = "/v1/table/commit";

/// The prefix of object paths; the object's name follows.
pub const OBJECT_PREFIX: &str = "/v1/objects/";

/// The path of the VM list; answers a [`VmListResponse`].
pub const VM_LIST_PATH: &str = "/v1/vms";

/// Asks for one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GetRequest {
    /// The row's key.
    pub key: RowKey,
}

/// Holds the row that was asked for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GetResponse {
    /// The row, or none if there is no such row.
    pub row: Option<TableRow>,
}

/// Asks for the rows of a key range.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ScanRequest {
    /// The prefix that the keys share.
    pub prefix: String,
    /// The key after which the rows start.
    #[serde(default)]
    pub after: Option<RowKey>,
    /// The greatest number of rows.
    pub limit: usize,
}

/// Holds the rows of a key range, sorted by key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ScanResponse {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// Holds the VMs that the platform knows of.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VmListResponse {
    /// The VMs.
    pub vms: Vec<VmEntry>,
}
