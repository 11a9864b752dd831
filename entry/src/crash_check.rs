//! Checks whether a target that has lost the connection of a request has crashed; see
//! [docs/design/crashing-requests.md](../../docs/design/crashing-requests.md).

use std::rc::Rc;
use std::time::Duration;

use damaskloom_lib::crash_guard::{CheckResult, CrashAction};
use damaskloom_lib::ids::TargetId;

use crate::entry_state::EntryState;
use crate::path_watch::{connects_to_any, draw_targets};

/// The number of other targets of the service that are connected to if a target is unreachable.
const COMPARED_TARGETS: usize = 3;

/// A check of a target that is due after a delay.
#[derive(Debug)]
pub struct DueCheck {
    target: TargetId,
    delay: Duration,
}

impl EntryState {
    /// Performs the actions of the crash guard.
    pub fn apply_crash_actions(&self, actions: Vec<CrashAction>) {
        for action in actions {
            match action {
                CrashAction::Send { message, .. } => {
                    self.pending_crash_messages.borrow_mut().push(message);
                    self.updates_due.notify_one();
                }
                CrashAction::Check { target, delay } => {
                    let check = DueCheck { target, delay };
                    self.pending_crash_checks.borrow_mut().push(check);
                    self.crash_checks_due.notify_one();
                }
                CrashAction::Blocked(fingerprint) => {
                    tracing::warn!(
                        customer = %fingerprint.customer,
                        route = %fingerprint.route,
                        digest = %fingerprint.digest,
                        "request crashes targets and is refused"
                    );
                }
                // While the target is down, failing connections already keep requests away from it.
                CrashAction::Exempt { .. } => {}
            }
        }
    }
}

/// Checks the targets that the crash guard doubts, until the task is cancelled.
pub async fn run_crash_checks(state: Rc<EntryState>) {
    loop {
        state.crash_checks_due.notified().await;
        for check in state.pending_crash_checks.take() {
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move { run_check(&state, check).await });
        }
    }
}

async fn run_check(state: &EntryState, check: DueCheck) {
    tokio::time::sleep(check.delay).await;
    let target = &check.target;
    let started_at = state.clock.now();
    let result = check_target(state, target).await;
    tracing::info!(id = %target, ?result, "target checked after a lost connection");
    let now = state.clock.now();
    let mut guard = state.crash_guard.borrow_mut();
    let actions = guard.record_check(now, target, started_at, result);
    drop(guard);
    state.apply_crash_actions(actions);
}

async fn check_target(state: &EntryState, target: &TargetId) -> CheckResult {
    let known = state.catalog.borrow().get(target).cloned();
    let Some(announced) = known.map(|known| known.announcement) else {
        return CheckResult::Unknown;
    };
    if state
        .target_pools
        .accepts_connection(announced.address)
        .await
    {
        return CheckResult::Up;
    }
    let service = &announced.service;
    let others = draw_targets(state, service, Some(target), COMPARED_TARGETS);
    match connects_to_any(state, &others).await {
        true => CheckResult::Down,
        false => CheckResult::Unknown,
    }
}
