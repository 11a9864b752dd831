//! The text output of `damaskloom-ctl`.

use std::fmt::Write;

use damaskloom_lib::confirm::{PlanOutcome, PlanRefusal, StaleObject};
use damaskloom_lib::ids::Revision;
use damaskloom_operator::wire::{
    AuditList, FleetStatus, GrantResponse, KeyList, PlanList, PlanView, RotateResponse,
};
use serde_json::Value;

use crate::ctl_table::render_table;

/// Shows a plan: its changes, warnings, and outcome or next step.
pub fn show_plan(plan: &PlanView) -> String {
    let rows: Vec<[String; 5]> = plan
        .diff
        .iter()
        .flat_map(|diff| {
            diff.fields.iter().map(|field| {
                [
                    diff.kind.to_string(),
                    diff.object.to_string(),
                    field.field.clone(),
                    show_value(field.before.as_ref()),
                    show_value(field.after.as_ref()),
                ]
            })
        })
        .collect();
    let header = ["CHANGE", "OBJECT", "FIELD", "BEFORE", "AFTER"];
    let mut text = format!("plan {} on revision {}\n\n", plan.id, plan.base_revision);
    text += &render_table(header, &rows);
    for warning in &plan.warnings {
        text += &format!("warning: {warning}\n");
    }
    match &plan.outcome {
        Some(outcome) => text += &show_outcome(outcome),
        None => text += &format!("\nnothing has changed yet; run: confirm {}\n", plan.id),
    }
    text
}

fn show_value(value: Option<&Value>) -> String {
    match value {
        None => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

/// Shows a plan's outcome.
pub fn show_outcome(outcome: &PlanOutcome) -> String {
    match outcome {
        PlanOutcome::Accepted(stamp) => format!(
            "accepted as revision {} by {}\n",
            stamp.revision, stamp.operator
        ),
        PlanOutcome::Refused(refusal) => format!("refused: {}", show_refusal(refusal)),
    }
}

fn show_refusal(refusal: &PlanRefusal) -> String {
    match refusal {
        PlanRefusal::Stale(objects) => objects.iter().map(show_stale).collect(),
        PlanRefusal::Inconsistent(error) => format!("{error}\n"),
        PlanRefusal::NewWarnings(warnings) => warnings
            .iter()
            .map(|warning| format!("the plan did not warn that {warning}\n"))
            .collect(),
    }
}

fn show_stale(stale: &StaleObject) -> String {
    match &stale.changed_by {
        Some(stamp) => format!(
            "{} was changed by {} with plan {} in revision {}\n",
            stale.object, stamp.operator, stamp.plan, stamp.revision
        ),
        None => format!("{} was changed by another plan\n", stale.object),
    }
}

/// Shows a list of plans.
pub fn show_plans(list: &PlanList) -> String {
    let rows: Vec<[String; 5]> = list
        .plans
        .iter()
        .map(|plan| {
            [
                plan.id.to_string(),
                plan.planned_by.to_string(),
                plan.diff.len().to_string(),
                short_outcome(plan.outcome.as_ref()),
                plan.note.clone(),
            ]
        })
        .collect();
    render_table(["PLAN", "BY", "OBJECTS", "OUTCOME", "NOTE"], &rows)
}

fn short_outcome(outcome: Option<&PlanOutcome>) -> String {
    match outcome {
        None => "open".to_owned(),
        Some(PlanOutcome::Accepted(stamp)) => format!("revision {}", stamp.revision),
        Some(PlanOutcome::Refused(_)) => "refused".to_owned(),
    }
}

/// Shows a new key and its plan.
pub fn show_grant(grant: &GrantResponse) -> String {
    format!(
        "key    {}\ndigest {}\nthe key is not shown again\n\n{}",
        grant.key,
        grant.digest,
        show_plan(&grant.plan)
    )
}

/// Shows the two steps of a rotation.
pub fn show_rotation(rotation: &RotateResponse) -> String {
    format!(
        "{}\nwhen no caller uses the old key any more, run: confirm {}\n",
        show_grant(&rotation.grant),
        rotation.withdraw.id
    )
}

/// Shows a customer's keys.
pub fn show_keys(list: &KeyList) -> String {
    let granted = list
        .granted
        .iter()
        .map(|key| [key.to_string(), "granted".to_owned()]);
    let withdrawn = list
        .withdrawn
        .iter()
        .map(|key| [key.to_string(), "withdrawn".to_owned()]);
    let rows: Vec<[String; 2]> = granted.chain(withdrawn).collect();
    render_table(["DIGEST", "STATE"], &rows)
}

/// Shows accepted plans.
pub fn show_audit(list: &AuditList) -> String {
    let rows: Vec<[String; 5]> = list
        .records
        .iter()
        .map(|record| {
            [
                record.stamp.revision.to_string(),
                record.stamp.operator.to_string(),
                record.stamp.plan.to_string(),
                record.objects.len().to_string(),
                record.note.clone(),
            ]
        })
        .collect();
    render_table(["REVISION", "BY", "PLAN", "OBJECTS", "NOTE"], &rows)
}

/// Shows the nodes and their revisions.
pub fn show_status(status: &FleetStatus, revision: Option<Revision>) -> String {
    let rows: Vec<[String; 4]> = status
        .nodes
        .iter()
        .map(|node| match &node.status {
            Some(answer) => [
                node.address.to_string(),
                answer.vm.to_string(),
                show_number(answer.revision),
                show_number(answer.epoch),
            ],
            None => [
                node.address.to_string(),
                "-".to_owned(),
                "no answer".to_owned(),
                "-".to_owned(),
            ],
        })
        .collect();
    let mut text = render_table(["ADDRESS", "VM", "REVISION", "EPOCH"], &rows);
    text += &show_progress(status, revision);
    text
}

/// Shows in one line how many nodes have a revision in force.
pub fn show_progress(status: &FleetStatus, revision: Option<Revision>) -> String {
    let mut text = String::new();
    let Some(revision) = revision else {
        return "the platform does not answer, so the newest revision is not known\n".to_owned();
    };
    let (up_to_date, all) = (status.nodes_at(revision), status.nodes.len());
    let _ = write!(text, "revision {revision}: {up_to_date} of {all} nodes");
    match status.unresponsive_nodes() {
        0 => text + "\n",
        unresponsive => text + &format!(", {unresponsive} without an answer\n"),
    }
}

fn show_number(number: Option<impl ToString>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}
