//! The checks of one request: its attempts at callers against its executions at targets.

use crate::ledger_breach::LedgerBreach;
use crate::ledger_record::{CallOutcome, CallRecord};
use crate::target_state::ExecutionRecord;

/// The attempts and executions of a request, in order of time.
#[derive(Default)]
pub(crate) struct RequestHistory<'a> {
    pub calls: Vec<&'a CallRecord>,
    pub executions: Vec<&'a ExecutionRecord>,
}

pub(crate) fn check_runs(history: &RequestHistory<'_>, breaches: &mut Vec<LedgerBreach>) {
    let Some(call) = history.calls.first() else {
        return;
    };
    // Without a request id, the fleet sees each attempt as a new request, so that each may run.
    let may_run =
        |call: &&&CallRecord| !call.outcome.is_not_run() && call.outcome != CallOutcome::NotSent;
    let allowed_runs = match call.has_request_id {
        true => 1,
        false => history.calls.iter().filter(may_run).count().max(1),
    };
    if !call.idempotent && history.executions.len() > allowed_runs {
        let targets = history.executions.iter().map(|run| run.target.clone());
        breaches.push(LedgerBreach::RanTwice {
            nonce: call.nonce.clone(),
            targets: targets.collect(),
        });
    }
    let changed = history
        .executions
        .iter()
        .find(|run| run.finished && run.body_digest != call.body_digest && !run.body_unread);
    if let Some(run) = changed {
        breaches.push(LedgerBreach::ChangedBody {
            nonce: call.nonce.clone(),
            target: run.target.clone(),
        });
    }
}

pub(crate) fn check_answers(history: &RequestHistory<'_>, breaches: &mut Vec<LedgerBreach>) {
    for call in &history.calls {
        let (nonce, customer) = (call.nonce.clone(), call.customer.clone());
        match call.outcome {
            CallOutcome::Crossed => breaches.push(LedgerBreach::CrossedAnswer { nonce, customer }),
            CallOutcome::CutLooksWhole => {
                breaches.push(LedgerBreach::CutAnswer { nonce, customer });
            }
            _ => {}
        }
    }
}

/// Finds a false refusal as not run.
///
/// Each execution needs an attempt that started before it and was not refused as not run. Besides,
/// once a non-idempotent request with an id has started to run, no resend may be refused as not
/// run: its caller would conclude that it should send a new request.
pub(crate) fn check_not_run(history: &RequestHistory<'_>, breaches: &mut Vec<LedgerBreach>) {
    for call in &history.calls {
        let CallOutcome::Refused { reason, .. } = &call.outcome else {
            continue;
        };
        let is_claimed = !call.idempotent && call.has_request_id;
        let false_for = history.executions.iter().find_map(|run| {
            let ran_before = run.started_micros <= call.ended_micros;
            match has_cause(run, history) {
                false => Some((run, false)),
                true => (is_claimed && ran_before).then_some((run, true)),
            }
        });
        let Some((run, is_resend)) = false_for.filter(|_| call.outcome.is_not_run()) else {
            continue;
        };
        let (nonce, reason) = (call.nonce.clone(), reason.clone());
        let target = run.target.clone();
        breaches.push(match is_resend {
            false => LedgerBreach::FalseNotRun {
                nonce,
                reason,
                target,
            },
            true => LedgerBreach::ResendNotRun {
                nonce,
                reason,
                target,
            },
        });
        return;
    }
}

fn has_cause(run: &ExecutionRecord, history: &RequestHistory<'_>) -> bool {
    history.calls.iter().any(|call| {
        let may_run = !call.outcome.is_not_run() && call.outcome != CallOutcome::NotSent;
        may_run && call.sent_micros <= run.started_micros
    })
}

/// Returns the start and end of the time in which a call was certainly admitted, if it was.
pub(crate) fn admission(call: &CallRecord, history: &RequestHistory<'_>) -> Option<(u64, u64)> {
    let admitted = match &call.outcome {
        CallOutcome::Answered(_) | CallOutcome::Crossed | CallOutcome::CutLooksWhole => true,
        // A resend that finds the request's claim is refused without a new admission.
        CallOutcome::Refused { reason, .. } if reason.starts_with("request-id") => false,
        CallOutcome::Refused { .. } => !call.outcome.is_not_run(),
        CallOutcome::NotSent | CallOutcome::Lost | CallOutcome::TimedOut | CallOutcome::Dropped => {
            false
        }
    };
    let first_run = history.executions.first();
    match (history.calls.len(), first_run) {
        (1, Some(run)) => Some((call.sent_micros, run.started_micros.max(call.sent_micros))),
        _ if admitted && (call.attempt == 0 || call.idempotent) => {
            Some((call.sent_micros, call.ended_micros))
        }
        _ => None,
    }
}
