//! The JSON bodies of the operators' API.

use std::net::SocketAddr;

use damaskloom_lib::confirm::PlanOutcome;
use damaskloom_lib::ids::{CustomerId, Epoch, OperatorId, PlanId, Revision, VmId};
use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::plan::Plan;
use damaskloom_lib::plan_check::PlanWarning;
use damaskloom_lib::plan_diff::ObjectDiff;
use damaskloom_lib::table_layout::{AuditRow, OperatorRole};
use serde::{Deserialize, Serialize};

/// A plan as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanView {
    /// The plan's name, to confirm it by.
    pub id: PlanId,
    /// The operator who made the plan.
    pub planned_by: OperatorId,
    /// The operator's note.
    pub note: String,
    /// The revision that was in force when the plan was made.
    pub base_revision: Revision,
    /// What changes.
    pub diff: Vec<ObjectDiff>,
    /// What to know before confirming.
    pub warnings: Vec<PlanWarning>,
    /// The plan's outcome; none if it was not confirmed.
    #[serde(default)]
    pub outcome: Option<PlanOutcome>,
}

impl PlanView {
    /// Makes the view of a plan and its outcome.
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

/// What a confirm decided, or found decided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfirmResponse {
    /// The plan's one outcome.
    pub outcome: PlanOutcome,
}

/// Asks for a key of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct GrantRequest {
    /// The customer.
    pub customer: CustomerId,
}

/// Names a key by its digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct KeyRequest {
    /// The key's digest.
    pub digest: KeyDigest,
}

/// A new key, which is shown this once, and the plan that makes it work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GrantResponse {
    /// The key.
    pub key: String,
    /// The key's digest, by which it is withdrawn.
    pub digest: KeyDigest,
    /// The plan; the key does not work before it is confirmed.
    pub plan: PlanView,
}

/// A new key beside an old one, and the plans of the two steps of a rotation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RotateResponse {
    /// The new key and the plan that makes it work; both keys work after it.
    pub grant: GrantResponse,
    /// The plan that withdraws the old key, to confirm when no caller uses it any more.
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

/// Asks for a credential of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct OperatorRequest {
    /// The operator.
    pub operator: OperatorId,
    /// What the operator may do.
    pub role: OperatorRole,
}

/// An operator's credential, which is shown this once.
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

/// What a gateway says of itself at `GET /v1/status`.
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

/// What was learned of one gateway.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeStatus {
    /// The address that was asked.
    pub address: SocketAddr,
    /// The gateway's answer; none if it gave none in time.
    pub status: Option<GatewayStatus>,
}

/// How far the newest revision has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetStatus {
    /// The revision that was accepted last; none if the platform did not answer.
    pub head: Option<Revision>,
    /// All gateways that were asked.
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
    pub fn silent_nodes(&self) -> usize {
        let silent = self.nodes.iter().filter(|node| node.status.is_none());
        silent.count()
    }
}

/// Why a call failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorBody {
    /// A fixed word for scripts.
    pub code: String,
    /// A sentence for people.
    pub message: String,
}
