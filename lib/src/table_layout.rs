//! The rows of the platform's table that hold the configuration.
//!
//! | key | value | written |
//! |---|---|---|
//! | `head` | [`HeadRow`] | by each accepted plan |
//! | `object/KIND/ID` | [`ObjectRow`] | by each accepted plan that changes the object |
//! | `usage/...` | [`UsageRow`](crate::usage::UsageRow) | with the objects that it counts |
//! | `delta/REVISION` | [`ConfigDelta`](crate::config::ConfigDelta) | once, by the accepted plan |
//! | `plan/PLAN` | [`Plan`](crate::plan::Plan) | once, when the plan is made |
//! | `outcome/PLAN` | [`PlanOutcome`](crate::confirm::PlanOutcome) | once, by the first confirm that is decided |
//! | `audit/REVISION` | [`AuditRow`] | once, by the accepted plan |
//! | `operator/DIGEST` | [`OperatorRow`] | by hand or by the bootstrap operator |
//! | `snapshot` | [`SnapshotRow`] | from time to time, after the snapshot object |
//!
//! The row of a removed object stays and holds the removal, so that its version keeps increasing
//! and the change can be reported to an operator whose plan it made stale. Revisions in keys have
//! leading zeros, so that the rows are ordered by them. See
//! [docs/design/configuration.md](../../docs/design/configuration.md).

use serde::{Deserialize, Serialize};

use crate::config::ConfigChange;
use crate::ids::{OperatorId, PlanId, Revision};
use crate::key::KeyDigest;
use crate::object_key::ObjectKey;
use crate::platform::RowKey;

/// The prefix of delta rows.
pub const DELTA_PREFIX: &str = "delta/";

/// The prefix of plan rows.
pub const PLAN_PREFIX: &str = "plan/";

/// The prefix of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// The prefix of object rows.
pub const OBJECT_PREFIX: &str = "object/";

/// Returns the key of the head row.
pub fn head_key() -> RowKey {
    RowKey::from("head")
}

/// Returns the key of the row that names the newest snapshot.
pub fn snapshot_key() -> RowKey {
    RowKey::from("snapshot")
}

/// Returns the key of an object's row.
pub fn object_row_key(object: &ObjectKey) -> RowKey {
    RowKey(format!("{OBJECT_PREFIX}{object}"))
}

/// Returns the object that a row key names, if it names one.
pub fn object_of_row(key: &RowKey) -> Option<ObjectKey> {
    key.0.strip_prefix(OBJECT_PREFIX)?.parse().ok()
}

/// Returns the key of a delta's row.
pub fn delta_key(revision: Revision) -> RowKey {
    RowKey(format!("{DELTA_PREFIX}{:020}", revision.0))
}

/// Returns the key of a plan's row.
pub fn plan_key(plan: &PlanId) -> RowKey {
    RowKey(format!("{PLAN_PREFIX}{plan}"))
}

/// Returns the key of the row that holds a plan's outcome.
pub fn outcome_key(plan: &PlanId) -> RowKey {
    RowKey(format!("outcome/{plan}"))
}

/// Returns the key of a revision's audit row.
pub fn audit_key(revision: Revision) -> RowKey {
    RowKey(format!("{AUDIT_PREFIX}{:020}", revision.0))
}

/// Returns the key of the row of the operator whose credential has this digest.
pub fn operator_key(credential: &KeyDigest) -> RowKey {
    RowKey(format!("operator/{credential}"))
}

/// The revision that was accepted last.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HeadRow {
    /// The revision.
    pub revision: Revision,
}

/// The origin of an accepted change: its plan and the operator who confirmed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ChangeStamp {
    /// The plan.
    pub plan: PlanId,
    /// The operator who confirmed the plan.
    pub operator: OperatorId,
    /// The revision that the plan led to.
    pub revision: Revision,
}

/// The last change of an object: its present value, or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ObjectRow {
    /// The change.
    pub change: ConfigChange,
    /// The origin of the change.
    pub stamp: ChangeStamp,
}

/// The record of an accepted plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct AuditRow {
    /// The plan, its revision and the operator who confirmed it.
    pub stamp: ChangeStamp,
    /// The operator who made the plan.
    pub planned_by: OperatorId,
    /// The operator's note on the plan.
    pub note: String,
    /// The objects that the plan changed.
    pub objects: Vec<ObjectKey>,
    /// The confirming process's wall-clock time, in milliseconds since 1970.
    pub confirmed_unix_ms: u64,
}

/// The permissions of an operator; each role includes the preceding ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// Reads objects, plans, status and the audit trail.
    Read,
    /// Makes plans.
    Plan,
    /// Confirms plans.
    Confirm,
}

/// The operator who authenticates with a credential.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct OperatorRow {
    /// The operator.
    pub operator: OperatorId,
    /// The operator's role.
    pub role: OperatorRole,
}

/// The newest snapshot of the configuration in the object store.
///
/// A snapshot is split into parts, so that a node can load it without holding all of its text. Each
/// snapshot has a unique name, so that the parts of two processes that write at once cannot mix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotRow {
    /// The revision of the snapshot.
    pub revision: Revision,
    /// The prefix of the names of the parts.
    pub name: String,
    /// The number of parts.
    pub parts: u32,
}

impl SnapshotRow {
    /// Returns the name of a part in the object store.
    pub fn part_name(&self, part: u32) -> String {
        format!("{}/{part:06}", self.name)
    }
}

/// One part of a snapshot, which is an object of the object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotPart {
    /// The revision of the snapshot.
    pub revision: Revision,
    /// Objects of the configuration, each as the change that writes it.
    pub changes: Vec<ConfigChange>,
}
