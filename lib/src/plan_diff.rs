//! The changes of a plan, field by field, for operators to read.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::ConfigChange;
use crate::object_key::ObjectKey;
use crate::plan::PlanEntry;

/// The kind of an object's change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiffKind {
    /// The object is new.
    Added,
    /// Values of the object change.
    Changed,
    /// The object is removed.
    Removed,
}

impl fmt::Display for DiffKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "add",
            Self::Changed => "change",
            Self::Removed => "remove",
        })
    }
}

/// The change of one field of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FieldDiff {
    /// The field's name.
    pub field: String,
    /// The value before; none if the field did not exist.
    pub before: Option<Value>,
    /// The value after; none if the field no longer exists.
    pub after: Option<Value>,
}

/// The change of one object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ObjectDiff {
    /// The object.
    pub object: ObjectKey,
    /// The kind of the change.
    pub kind: DiffKind,
    /// The fields that change.
    pub fields: Vec<FieldDiff>,
}

impl From<&PlanEntry> for ObjectDiff {
    fn from(entry: &PlanEntry) -> Self {
        let before = entry.before.as_ref().map(object_fields);
        let is_removal = entry.after == entry.object.removal();
        let after = (!is_removal).then(|| object_fields(&entry.after));
        let kind = match (&before, &after) {
            (None, _) => DiffKind::Added,
            (Some(_), Some(_)) => DiffKind::Changed,
            (Some(_), None) => DiffKind::Removed,
        };
        Self {
            object: entry.object.clone(),
            kind,
            fields: diff_fields(&before.unwrap_or_default(), &after.unwrap_or_default()),
        }
    }
}

type FieldMap = serde_json::Map<String, Value>;

/// Returns an object's fields; a change is serialised as `{"put_KIND": {FIELDS}}`.
fn object_fields(change: &ConfigChange) -> FieldMap {
    let document = serde_json::to_value(change).unwrap_or_default();
    let fields = match document {
        Value::Object(tagged) => tagged.into_iter().next().map(|(_, fields)| fields),
        _ => None,
    };
    match fields {
        Some(Value::Object(fields)) => fields,
        _ => FieldMap::new(),
    }
}

fn diff_fields(before: &FieldMap, after: &FieldMap) -> Vec<FieldDiff> {
    let removed = before.keys().filter(|field| !after.contains_key(*field));
    after
        .keys()
        .chain(removed)
        .filter(|field| before.get(*field) != after.get(*field))
        .map(|field| FieldDiff {
            field: field.clone(),
            before: before.get(field).cloned(),
            after: after.get(field).cloned(),
        })
        .collect()
}
