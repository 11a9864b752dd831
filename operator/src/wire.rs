//! The JSON request and response bodies of the operators' API.

use std::net::SocketAddr;

use damaskloom_lib::confirm::PlanOutcome;
use damaskloom_lib::ids::{CustomerId, Epoch, OperatorId, PlanId, Revision, VmId};
use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::plan::Plan;
use damaskloom_lib::plan_check::PlanWarning;
use damaskloom_lib::plan_diff::ObjectDiff;
use damaskloom_lib::table_layout::{AuditRow, OperatorRole};
use serde::{Deserialize, Serialize};

/// A plan as it is shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanView {
    /// The plan's identifier, by which it is confirmed.
    pub id: PlanId,
    /// The operator who made the plan.
    pub planned_by: OperatorId,
    /// The operator's note.
    pub note: String,
    /// The revision that was in force when the plan was made.
    pub base_revision: Revision,
    /// The changed objects.
    pub diff: Vec<ObjectDiff>,
    /// The warnings to read before confirming.
    pub warnings: Vec<PlanWarning>,
    /// The plan's outcome; none before it is confirmed.
    #[serde(default)]
    pub outcome: Option<PlanOutcome>,
}

impl PlanView {
    /// Returns the view of a plan and its outcome.
    pub fn new(plan: &Plan, outcome: Option<PlanOutcome>) -> Self {
        Self {
            id: plan.id.clone(),
            planned_by: plan.planned_by.clone(),
            note: plan.note.clone(),
            base_revision: plan.base_revision,
            diff: plan.entries.iter().map(ObjectDiff::from).collect(),
            warnings: plan.warnings.clone(),
            outcome,
        }
    }
}

/// The newest plans, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanList {
    /// The plans.
    pub plans: Vec<PlanView>,
}

/// The response to a confirmation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfirmResponse {
    /// The plan's outcome, which is the same for each repeated confirmation.
    pub outcome: PlanOutcome,
}

/// A request for a new key of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct GrantRequest {
    /// The customer.
    pub customer: CustomerId,
}

/// A request that concerns one key, given by its digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct KeyRequest {
    /// The key's digest.
    pub digest: KeyDigest,
}

/// A new key, which is shown only in this response, and the plan that puts it into force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GrantResponse {
    /// The key.
    pub key: String,
    /// The key's digest, which identifies the key in later calls.
    pub digest: KeyDigest,
    /// The plan; the key does not work before it is confirmed.
    pub plan: PlanView,
}

/// The two plans of a key rotation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RotateResponse {
    /// The new key and the plan that puts it into force; both keys work once it is confirmed.
    pub grant: GrantResponse,
    /// The plan that withdraws the old key; it is to be confirmed when no caller uses that key.
    pub withdraw: PlanView,
}

/// The keys of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct KeyList {
    /// The keys that work.
    pub granted: Vec<KeyDigest>,
    /// The keys that were withdrawn.
    pub withdrawn: Vec<KeyDigest>,
}

/// A request for a credential of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct OperatorRequest {
    /// The operator.
    pub operator: OperatorId,
    /// The operator's role.
    pub role: OperatorRole,
}

/// An operator's new credential, which is shown only in this response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct OperatorResponse {
    /// The credential.
    pub credential: String,
    /// The credential's digest.
    pub digest: KeyDigest,
}

/// A range of the audit trail, oldest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct AuditList {
    /// The records.
    pub records: Vec<AuditRow>,
}

/// A gateway's response to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GatewayStatus {
    /// The gateway's VM.
    pub vm: VmId,
    /// The revision in force on the gateway; none before it has one.
    pub revision: Option<Revision>,
    /// The gateway's epoch; none before it has one.
    #[serde(default)]
    pub epoch: Option<Epoch>,
}

/// The result of querying one gateway.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeStatus {
    /// The address that was queried.
    pub address: SocketAddr,
    /// The gateway's response; none if there was none in time.
    pub status: Option<GatewayStatus>,
}

/// The roll-out status of the newest revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetStatus {
    /// The newest accepted revision; none if the platform did not answer.
    pub head: Option<Revision>,
    /// All gateways that were queried.
    pub nodes: Vec<NodeStatus>,
}

impl FleetStatus {
    /// Counts the gateways that have at least `revision` in force.
    pub fn nodes_at(&self, revision: Revision) -> usize {
        let statuses = self.nodes.iter().filter_map(|node| node.status.as_ref());
        statuses
            .filter(|status| status.revision >= Some(revision))
            .count()
    }

    /// Counts the gateways that did not answer.
    pub fn unresponsive_nodes(&self) -> usize {
        let unresponsive = self.nodes.iter().filter(|node| node.status.is_none());
        unresponsive.count()
    }
}

/// The body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorBody {
    /// The error code, a fixed word for scripts.
    pub code: String,
    /// A description for people.
    pub message: String,
}
