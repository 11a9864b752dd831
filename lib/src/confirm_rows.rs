//! The rows that are written when a plan is accepted.

use crate::config::ConfigDelta;
use crate::confirm::{PlanOutcome, to_json};
use crate::plan::Plan;
use crate::platform::Mutation;
use crate::table_layout::{
    AuditRow, ChangeStamp, HeadRow, ObjectRow, audit_key, delta_key, head_key, object_row_key,
    outcome_key,
};
use crate::usage::{UsageKey, UsageRow};

/// Returns the writes that put an accepted plan in force as the revision in `stamp`.
pub(crate) fn acceptance_mutations<'a>(
    plan: &Plan,
    stamp: &ChangeStamp,
    usages: impl Iterator<Item = (&'a UsageKey, &'a UsageRow)>,
    unix_ms: u64,
) -> Vec<Mutation> {
    let revision = stamp.revision;
    let delta = ConfigDelta {
        revision,
        changes: plan
            .entries
            .iter()
            .map(|entry| entry.after.clone())
            .collect(),
    };
    let audit = AuditRow {
        stamp: stamp.clone(),
        planned_by: plan.planned_by.clone(),
        note: plan.note.clone(),
        objects: plan
            .entries
            .iter()
            .map(|entry| entry.object.clone())
            .collect(),
        confirmed_unix_ms: unix_ms,
    };
    let outcome = PlanOutcome::Accepted(stamp.clone());
    let single_rows = [
        Mutation::Put(head_key(), to_json(&HeadRow { revision })),
        Mutation::Put(delta_key(revision), to_json(&delta)),
        Mutation::Put(outcome_key(&plan.id), to_json(&outcome)),
        Mutation::Put(audit_key(revision), to_json(&audit)),
    ];
    let objects = plan.entries.iter().map(|entry| {
        let row = ObjectRow {
            change: entry.after.clone(),
            stamp: stamp.clone(),
        };
        Mutation::Put(object_row_key(&entry.object), to_json(&row))
    });
    let usages = usages.map(|(key, usage)| Mutation::Put(key.row_key(), to_json(usage)));
    single_rows
        .into_iter()
        .chain(objects)
        .chain(usages)
        .collect()
}
