//! Plans: the changes that an operator's intent leads to, shown before anything takes effect.
//!
//! A [`PlanBuilder`] lists the rows that it needs, is supplied with them, and builds a [`Plan`]
//! that records the row versions it was made from. A
//! [`ConfirmMachine`](crate::confirm::ConfirmMachine) confirms the plan. See
//! [docs/design/configuration.md](../../docs/design/configuration.md).

use indexmap::{IndexMap, IndexSet};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::config::ConfigChange;
use crate::ids::{OperatorId, PlanId, Revision};
use crate::object_key::ObjectKey;
use crate::plan_check::{IntegrityError, PlanWarning, check_object, check_usages};
use crate::platform::{RowKey, RowVersion, TableRow};
use crate::table_layout::{HeadRow, ObjectRow, head_key, object_row_key};
use crate::usage::{UsageKey, UsageMap, UsageRow, apply_usage, touched_usages};

/// The greatest number of objects that one plan changes.
pub const MAX_PLAN_CHANGES: usize = 500;

/// The greatest size of a plan's changes as JSON, which bounds deltas and messages too.
pub const MAX_PLAN_BYTES: usize = 192 << 10;

/// The longest note on a plan, in bytes.
pub const MAX_NOTE_BYTES: usize = 1_024;

/// The changes that an operator requests, each with the object's whole new value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Intent {
    /// The changes, at most one for each object.
    pub changes: Vec<ConfigChange>,
    /// The reason for the changes, for the audit trail.
    #[serde(default)]
    pub note: String,
}

/// One object that a plan changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanEntry {
    /// The object.
    pub object: ObjectKey,
    /// The version of the object's row that the plan was made from; none if there was no row.
    pub version: Option<RowVersion>,
    /// The object before the plan; none if it does not exist.
    pub before: Option<ConfigChange>,
    /// The change.
    pub after: ConfigChange,
}

/// The changes of an intent, with the state that they were derived from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Plan {
    /// The plan's name.
    pub id: PlanId,
    /// The operator who made the plan.
    pub planned_by: OperatorId,
    /// The operator's note.
    pub note: String,
    /// The revision that was in force when the plan was made.
    pub base_revision: Revision,
    /// The objects that the plan changes.
    pub entries: Vec<PlanEntry>,
    /// The warnings that the operator was shown.
    pub warnings: Vec<PlanWarning>,
    /// The planning process's wall-clock time, in milliseconds since 1970.
    pub planned_unix_ms: u64,
}

impl Plan {
    /// Returns the usage rows that the plan reads and writes.
    pub fn usage_keys(&self) -> IndexSet<UsageKey> {
        let objects = self
            .entries
            .iter()
            .flat_map(|entry| entry.before.iter().chain([&entry.after]));
        objects.flat_map(touched_usages).collect()
    }

    /// Returns the usages after the plan.
    pub fn usages_after(&self, before: &UsageMap) -> UsageMap {
        let mut after = before.clone();
        for entry in &self.entries {
            apply_usage(&mut after, entry.before.as_ref(), &entry.after);
        }
        after
    }
}

/// The reason why an intent leads to no plan.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlanError {
    /// The configuration already matches the intent.
    #[snafu(display("there is nothing to change"))]
    Unchanged,
    /// The intent is over [`MAX_PLAN_CHANGES`], [`MAX_PLAN_BYTES`] or [`MAX_NOTE_BYTES`].
    #[snafu(display(
        "a plan has at most {MAX_PLAN_CHANGES} changes of {MAX_PLAN_BYTES} bytes together \
         and a note of {MAX_NOTE_BYTES} bytes"
    ))]
    TooLarge,
    /// The intent changes an object twice.
    #[snafu(display("{object} is changed twice"))]
    ChangedTwice {
        /// The object.
        object: ObjectKey,
    },
    /// An object has a value that is not allowed.
    #[snafu(display("{object} is not valid: {detail}"))]
    InvalidObject {
        /// The object.
        object: ObjectKey,
        /// What is wrong.
        detail: &'static str,
    },
    /// The configuration would be inconsistent.
    #[snafu(display("{source}"))]
    Inconsistent {
        /// What would be inconsistent.
        source: IntegrityError,
    },
    /// A row of the table is malformed.
    #[snafu(display("row {key} is malformed"))]
    BadRow {
        /// The row's key.
        key: RowKey,
    },
}

/// The rows that were read; `None` for a row that does not exist.
pub type RowMap = IndexMap<RowKey, Option<TableRow>>;

/// Builds a plan from an intent and the rows that it depends on.
#[derive(Clone, Debug)]
pub struct PlanBuilder {
    intent: Intent,
    rows: RowMap,
}

impl PlanBuilder {
    /// Creates a builder without rows.
    ///
    /// # Errors
    ///
    /// Fails if the intent is too large, changes an object twice or holds a value that is not
    /// allowed.
    pub fn new(intent: Intent) -> Result<Self, PlanError> {
        check_size(&intent.changes, &intent.note)?;
        let mut objects = IndexSet::new();
        for change in &intent.changes {
            let object = ObjectKey::from(change);
            if let Err(detail) = check_object(change) {
                return InvalidObjectSnafu { object, detail }.fail();
            }
            ensure!(objects.insert(object.clone()), ChangedTwiceSnafu { object });
        }
        Ok(Self {
            intent,
            rows: RowMap::new(),
        })
    }

    /// Returns the rows that are still needed; supplying them may lead to further ones.
    ///
    /// # Errors
    ///
    /// Fails if a supplied row is malformed.
    pub fn missing_rows(&self) -> Result<Vec<RowKey>, PlanError> {
        let changes = self.all_changes()?;
        let objects = changes.iter().map(|change| object_row_key(&change.into()));
        let usages = self.usage_keys(&changes)?;
        let usages = usages.iter().map(UsageKey::row_key);
        let needed: IndexSet<RowKey> = [head_key()]
            .into_iter()
            .chain(objects)
            .chain(usages)
            .collect();
        Ok(needed
            .into_iter()
            .filter(|key| !self.rows.contains_key(key))
            .collect())
    }

    /// Supplies rows that were read.
    pub fn supply(&mut self, rows: RowMap) {
        self.rows.extend(rows);
    }

    /// Builds the plan once no rows are missing.
    ///
    /// # Errors
    ///
    /// Fails if nothing would change or the configuration would be inconsistent.
    pub fn build(
        &self,
        id: PlanId,
        planned_by: OperatorId,
        planned_unix_ms: u64,
    ) -> Result<Plan, PlanError> {
        let head: HeadRow = parse_row(&self.rows, &head_key())?.unwrap_or_default();
        let mut plan = Plan {
            id,
            planned_by,
            note: self.intent.note.clone(),
            base_revision: head.revision,
            entries: self.entries()?,
            warnings: Vec::new(),
            planned_unix_ms,
        };
        ensure!(!plan.entries.is_empty(), UnchangedSnafu);
        check_size(plan.entries.iter().map(|entry| &entry.after), &plan.note)?;
        let usages = parse_usages(&self.rows, plan.usage_keys())?;
        plan.warnings =
            check_usages(&usages, &plan.usages_after(&usages)).context(InconsistentSnafu)?;
        Ok(plan)
    }

    fn entries(&self) -> Result<Vec<PlanEntry>, PlanError> {
        let mut entries = Vec::new();
        for after in self.all_changes()? {
            let object = ObjectKey::from(&after);
            let before = self.value_before(&object)?;
            if before.as_ref() == Some(&after) || before.is_none() && after == object.removal() {
                continue;
            }
            let row = self.rows.get(&object_row_key(&object));
            entries.push(PlanEntry {
                version: row.and_then(Option::as_ref).map(|row| row.version),
                object,
                before,
                after,
            });
        }
        Ok(entries)
    }

    /// Returns the intent's changes with the removal of the keys of removed customers, so that the
    /// keys do not work again if a customer of the same name is created later.
    fn all_changes(&self) -> Result<Vec<ConfigChange>, PlanError> {
        let mut changes = self.intent.changes.clone();
        let mut objects: IndexSet<ObjectKey> = changes.iter().map(ObjectKey::from).collect();
        for change in &self.intent.changes {
            let ConfigChange::RemoveCustomer(customer) = change else {
                continue;
            };
            let usage_key = UsageKey::Customer(customer.clone()).row_key();
            let usage: UsageRow = parse_row(&self.rows, &usage_key)?.unwrap_or_default();
            for digest in usage.granted_keys.iter().chain(&usage.withdrawn_keys) {
                if objects.insert(ObjectKey::Key(*digest)) {
                    changes.push(ConfigChange::RemoveKey(*digest));
                }
            }
        }
        Ok(changes)
    }

    fn usage_keys(&self, changes: &[ConfigChange]) -> Result<IndexSet<UsageKey>, PlanError> {
        let mut keys = IndexSet::new();
        for change in changes {
            keys.extend(touched_usages(change));
            if let Some(before) = self.value_before(&change.into())? {
                keys.extend(touched_usages(&before));
            }
        }
        Ok(keys)
    }

    fn value_before(&self, object: &ObjectKey) -> Result<Option<ConfigChange>, PlanError> {
        let row: Option<ObjectRow> = parse_row(&self.rows, &object_row_key(object))?;
        Ok(row
            .map(|row| row.change)
            .filter(|change| *change != object.removal()))
    }
}

fn check_size<'a>(
    changes: impl IntoIterator<Item = &'a ConfigChange>,
    note: &str,
) -> Result<(), PlanError> {
    let (mut count, mut bytes) = (0, 0);
    for change in changes {
        count += 1;
        bytes += serde_json::to_vec(change).map_or(usize::MAX, |json| json.len());
        ensure!(
            count <= MAX_PLAN_CHANGES && bytes <= MAX_PLAN_BYTES,
            TooLargeSnafu
        );
    }
    ensure!(note.len() <= MAX_NOTE_BYTES, TooLargeSnafu);
    Ok(())
}

/// Parses the row of `key`, or returns none if it does not exist or was not read.
///
/// # Errors
///
/// Fails if the row is malformed.
pub fn parse_row<T: DeserializeOwned>(rows: &RowMap, key: &RowKey) -> Result<Option<T>, PlanError> {
    let Some(Some(row)) = rows.get(key) else {
        return Ok(None);
    };
    match T::deserialize(&row.value) {
        Ok(value) => Ok(Some(value)),
        Err(_) => BadRowSnafu { key: key.clone() }.fail(),
    }
}

/// Parses usage rows; a row that does not exist stands for zero usage.
///
/// # Errors
///
/// Fails if a row is malformed.
pub fn parse_usages(
    rows: &RowMap,
    keys: impl IntoIterator<Item = UsageKey>,
) -> Result<UsageMap, PlanError> {
    keys.into_iter()
        .map(|key| {
            let usage = parse_row(rows, &key.row_key())?.unwrap_or_default();
            Ok((key, usage))
        })
        .collect()
}
