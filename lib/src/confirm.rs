//! Confirming a plan: one transaction, one outcome.
//!
//! The transaction that accepts a plan is conditional on the row versions that the plan was made
//! from, and on the absence of the plan's outcome row, which it writes. A confirm that is repeated,
//! races with another or gets no answer therefore finds the outcome that was decided first, and
//! submitting the transaction again after a lost answer has no second effect. A refusal is decided
//! in the same way. See [docs/design/configuration.md](../../docs/design/configuration.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::confirm_rows::acceptance_mutations;
use crate::ids::{OperatorId, PlanId, Revision};
use crate::object_key::ObjectKey;
use crate::plan::{Plan, PlanError, RowMap, parse_row, parse_usages};
use crate::plan_check::{IntegrityError, PlanWarning, check_usages};
use crate::platform::{CommitOutcome, Condition, Mutation, PlatformError, RowKey, Transaction};
use crate::table_layout::{
    ChangeStamp, HeadRow, ObjectRow, head_key, object_of_row, object_row_key, outcome_key, plan_key,
};
use crate::usage::UsageMap;

/// The number of failed steps after which a confirm ends without a decision.
const MAX_FAILURES: u32 = 12;

/// The shortest delay after a failed step, in milliseconds.
const RETRY_BASE_MS: u64 = 20;

/// The greatest delay after a failed step, in milliseconds.
const RETRY_CAP_MS: u64 = 1_000;

/// An object that changed after a plan had read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct StaleObject {
    /// The object.
    pub object: ObjectKey,
    /// The change that made the plan stale; none if it could not be read.
    pub changed_by: Option<ChangeStamp>,
}

/// The reason why a plan was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanRefusal {
    /// Objects changed after the plan had read them.
    Stale(Vec<StaleObject>),
    /// The configuration would have become inconsistent.
    Inconsistent(IntegrityError),
    /// Changes of other objects led to warnings that the operator has not seen.
    NewWarnings(Vec<PlanWarning>),
}

/// The outcome of a plan, of which it has exactly one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanOutcome {
    /// The plan's changes make up the revision in the stamp.
    Accepted(ChangeStamp),
    /// The plan never takes effect.
    Refused(PlanRefusal),
}

/// The result of a confirm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmResult {
    /// The plan has an outcome.
    Decided(PlanOutcome),
    /// There is no such plan, or the read was outdated and from before it was made.
    UnknownPlan,
    /// The platform gave no definite answer in time; confirming again finds the outcome.
    Undecided,
    /// A row is malformed.
    BadRow(RowKey),
}

/// The next action that the machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmAction {
    /// Read these rows and hand them in as [`ConfirmEvent::Rows`].
    Read(Vec<RowKey>),
    /// Commit this and hand in [`ConfirmEvent::Commit`].
    Commit(Transaction),
    /// Wait and hand in [`ConfirmEvent::WaitOver`].
    Wait(Duration),
    /// The confirm is over.
    Finish(ConfirmResult),
}

/// The result of the requested action.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmEvent {
    /// The rows were read.
    Rows(RowMap),
    /// The rows could not be read.
    ReadFailed,
    /// The transaction has an answer or an error.
    Commit(Result<CommitOutcome, PlatformError>),
    /// The wait is over.
    WaitOver,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ConfirmState {
    /// Reading the plan and its outcome.
    ReadPlan,
    /// Reading the head, the usages and the outcome.
    ReadCurrent,
    /// Waiting for the answer to the transaction that decides this outcome.
    Commit(PlanOutcome),
    /// Reading the outcome that was decided by another confirm, or by an earlier attempt.
    ReadOutcome,
    /// Reading the objects that made the plan stale.
    ReadStale(Vec<ObjectKey>),
    /// Writing a refusal, which no later change can invalidate.
    RefuseStale(Vec<StaleObject>),
}

/// Confirms one plan for one operator.
#[derive(Clone, Debug)]
pub struct ConfirmMachine {
    plan_id: PlanId,
    operator: OperatorId,
    unix_ms: u64,
    plan: Option<Plan>,
    state: ConfirmState,
    failures: u32,
    jitter: u64,
}

impl ConfirmMachine {
    /// Creates a machine; `unix_ms` is recorded in the audit trail, `seed` determines the jitter.
    pub const fn new(plan_id: PlanId, operator: OperatorId, unix_ms: u64, seed: u64) -> Self {
        Self {
            plan_id,
            operator,
            unix_ms,
            plan: None,
            state: ConfirmState::ReadPlan,
            failures: 0,
            jitter: seed,
        }
    }

    /// Returns the first action.
    pub fn start(&self) -> ConfirmAction {
        self.current_action()
    }

    /// Handles the result of the last action and returns the next one.
    pub fn handle(&mut self, event: ConfirmEvent) -> ConfirmAction {
        match event {
            ConfirmEvent::Rows(rows) => match self.handle_rows(&rows) {
                Ok(action) => action,
                Err(PlanError::BadRow { key }) => finish(ConfirmResult::BadRow(key)),
                Err(_) => finish(ConfirmResult::Undecided),
            },
            ConfirmEvent::ReadFailed => self.retry(),
            ConfirmEvent::Commit(answer) => self.handle_commit(answer),
            ConfirmEvent::WaitOver => self.current_action(),
        }
    }

    fn current_action(&self) -> ConfirmAction {
        let outcome = outcome_key(&self.plan_id);
        match &self.state {
            ConfirmState::ReadPlan => ConfirmAction::Read(vec![plan_key(&self.plan_id), outcome]),
            ConfirmState::ReadCurrent | ConfirmState::Commit(_) => {
                let usages = self.plan.iter().flat_map(Plan::usage_keys);
                let usages = usages.map(|key| key.row_key());
                ConfirmAction::Read([outcome, head_key()].into_iter().chain(usages).collect())
            }
            ConfirmState::ReadOutcome => ConfirmAction::Read(vec![outcome]),
            ConfirmState::ReadStale(objects) => {
                ConfirmAction::Read(objects.iter().map(object_row_key).collect())
            }
            ConfirmState::RefuseStale(stale) => {
                let outcome = PlanOutcome::Refused(PlanRefusal::Stale(stale.clone()));
                ConfirmAction::Commit(self.refusal(&outcome))
            }
        }
    }

    fn handle_rows(&mut self, rows: &RowMap) -> Result<ConfirmAction, PlanError> {
        let outcome = parse_row(rows, &outcome_key(&self.plan_id))?;
        if let Some(outcome) = outcome {
            return Ok(finish(ConfirmResult::Decided(outcome)));
        }
        match self.state.clone() {
            ConfirmState::ReadPlan => match parse_row(rows, &plan_key(&self.plan_id))? {
                None => Ok(finish(ConfirmResult::UnknownPlan)),
                Some(plan) => {
                    self.plan = Some(plan);
                    self.state = ConfirmState::ReadCurrent;
                    Ok(self.current_action())
                }
            },
            ConfirmState::ReadCurrent | ConfirmState::Commit(_) => self.decide(rows),
            ConfirmState::ReadStale(objects) => self.identify_changes(objects, rows),
            // The outcome exists, so this read was outdated.
            ConfirmState::ReadOutcome | ConfirmState::RefuseStale(_) => Ok(self.retry()),
        }
    }

    /// Decides by the state that was read last; the conditions ensure that it still holds.
    fn decide(&mut self, rows: &RowMap) -> Result<ConfirmAction, PlanError> {
        let Some(plan) = &self.plan else {
            return Ok(finish(ConfirmResult::UnknownPlan));
        };
        let usages = parse_usages(rows, plan.usage_keys())?;
        let usages_after = plan.usages_after(&usages);
        let refusal = match check_usages(&usages, &usages_after) {
            Err(error) => Some(PlanRefusal::Inconsistent(error)),
            Ok(warnings) => unseen_warnings(&plan.warnings, warnings).map(PlanRefusal::NewWarnings),
        };
        let usage_conditions = usages
            .keys()
            .map(|key| unchanged_condition(rows, key.row_key()))
            .collect::<Vec<_>>();
        let (outcome, mut transaction) = match refusal {
            Some(refusal) => {
                let outcome = PlanOutcome::Refused(refusal);
                let transaction = self.refusal(&outcome);
                (outcome, transaction)
            }
            None => self.acceptance(plan, rows, &usages, &usages_after)?,
        };
        transaction.conditions.extend(usage_conditions);
        self.state = ConfirmState::Commit(outcome);
        Ok(ConfirmAction::Commit(transaction))
    }

    fn acceptance(
        &self,
        plan: &Plan,
        rows: &RowMap,
        usages: &UsageMap,
        usages_after: &UsageMap,
    ) -> Result<(PlanOutcome, Transaction), PlanError> {
        let head: HeadRow = parse_row(rows, &head_key())?.unwrap_or_default();
        let stamp = self.stamp(head.revision.next());
        let objects = plan.entries.iter().map(|entry| {
            let key = object_row_key(&entry.object);
            match entry.version {
                Some(version) => Condition::VersionIs(key, version),
                None => Condition::Absent(key),
            }
        });
        let conditions = [
            Condition::Absent(outcome_key(&self.plan_id)),
            unchanged_condition(rows, head_key()),
        ]
        .into_iter()
        .chain(objects)
        .collect();
        let changed_usages = usages_after
            .iter()
            .filter(|(key, usage)| usages.get(*key) != Some(usage));
        let mutations = acceptance_mutations(plan, &stamp, changed_usages, self.unix_ms);
        let transaction = Transaction {
            conditions,
            mutations,
        };
        Ok((PlanOutcome::Accepted(stamp), transaction))
    }

    fn refusal(&self, outcome: &PlanOutcome) -> Transaction {
        let key = outcome_key(&self.plan_id);
        Transaction {
            conditions: vec![Condition::Absent(key.clone())],
            mutations: vec![Mutation::Put(key, to_json(outcome))],
        }
    }

    fn stamp(&self, revision: Revision) -> ChangeStamp {
        ChangeStamp {
            plan: self.plan_id.clone(),
            operator: self.operator.clone(),
            revision,
        }
    }

    fn handle_commit(&mut self, answer: Result<CommitOutcome, PlatformError>) -> ConfirmAction {
        match answer {
            Ok(CommitOutcome::Committed) => match &self.state {
                ConfirmState::Commit(outcome) => finish(ConfirmResult::Decided(outcome.clone())),
                ConfirmState::RefuseStale(stale) => {
                    let refusal = PlanRefusal::Stale(stale.clone());
                    finish(ConfirmResult::Decided(PlanOutcome::Refused(refusal)))
                }
                _ => finish(ConfirmResult::Undecided),
            },
            Ok(CommitOutcome::Conflict(keys)) => self.handle_conflict(&keys),
            // The outcome row, which is read next, shows whether the write took effect.
            Err(_) => {
                self.state = ConfirmState::ReadCurrent;
                self.retry()
            }
        }
    }

    fn handle_conflict(&mut self, keys: &[RowKey]) -> ConfirmAction {
        // The outcome row is checked first: if an earlier attempt for the same plan took effect,
        // its writes have changed the other rows.
        if keys.contains(&outcome_key(&self.plan_id)) {
            self.state = ConfirmState::ReadOutcome;
            return self.current_action();
        }
        let objects: Vec<ObjectKey> = keys.iter().filter_map(object_of_row).collect();
        if objects.is_empty() {
            self.state = ConfirmState::ReadCurrent;
            return self.retry();
        }
        self.state = ConfirmState::ReadStale(objects);
        self.current_action()
    }

    /// Identifies the changes that made the plan stale; reads again while reads lag behind them.
    fn identify_changes(
        &mut self,
        objects: Vec<ObjectKey>,
        rows: &RowMap,
    ) -> Result<ConfirmAction, PlanError> {
        let mut stale = Vec::new();
        for object in objects {
            let key = object_row_key(&object);
            let version = rows
                .get(&key)
                .and_then(Option::as_ref)
                .map(|row| row.version);
            let is_newer = version > self.planned_version(&object);
            let row: Option<ObjectRow> = parse_row(rows, &key)?.filter(|_| is_newer);
            stale.push(StaleObject {
                object,
                changed_by: row.map(|row| row.stamp),
            });
        }
        let is_identified = stale.iter().all(|object| object.changed_by.is_some());
        if !is_identified && self.failures < MAX_FAILURES / 2 {
            return Ok(self.retry());
        }
        self.state = ConfirmState::RefuseStale(stale);
        Ok(self.current_action())
    }

    fn planned_version(&self, object: &ObjectKey) -> Option<crate::platform::RowVersion> {
        let entries = &self.plan.as_ref()?.entries;
        let entry = entries.iter().find(|entry| &entry.object == object)?;
        entry.version
    }

    fn retry(&mut self) -> ConfirmAction {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            return finish(ConfirmResult::Undecided);
        }
        ConfirmAction::Wait(self.next_delay())
    }

    /// Returns an exponentially growing delay, shortened at random by up to half.
    fn next_delay(&mut self) -> Duration {
        // The multiplier and increment are Knuth's for a 64-bit linear congruential generator.
        self.jitter = self
            .jitter
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let bound = (RETRY_BASE_MS << self.failures.min(16)).min(RETRY_CAP_MS);
        let reduction = (self.jitter >> 33) % (bound / 2 + 1);
        Duration::from_millis(bound - reduction)
    }
}

const fn finish(result: ConfirmResult) -> ConfirmAction {
    ConfirmAction::Finish(result)
}

/// Returns the condition that a row has not changed since it was read.
fn unchanged_condition(rows: &RowMap, key: RowKey) -> Condition {
    match rows.get(&key) {
        Some(Some(row)) => Condition::VersionIs(key, row.version),
        _ => Condition::Absent(key),
    }
}

fn unseen_warnings(seen: &[PlanWarning], found: Vec<PlanWarning>) -> Option<Vec<PlanWarning>> {
    let unseen: Vec<PlanWarning> = found
        .into_iter()
        .filter(|warning| !seen.iter().any(|known| warning.is_covered_by(known)))
        .collect();
    (!unseen.is_empty()).then_some(unseen)
}

pub(crate) fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("configuration rows have text keys only")
}
