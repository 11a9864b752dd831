//! Records the attempts of a request: what they show about their targets, and how the request may go on.

use std::rc::Rc;
use std::time::Duration;

use damaskloom_lib::attempt_failure::{AttemptFailure, PathEvidence};
use damaskloom_lib::balanced_target::{CapacityRefusal, ReportedLoad};
use damaskloom_lib::crash_guard::RequestFingerprint;
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::{RouteId, ServiceId, TargetId};
use damaskloom_lib::service_room::{AttemptEnd, WaitSample};
use damaskloom_lib::target_balancer::AttemptTime;
use damaskloom_lib::target_selection::PoolLoad;
use damaskloom_lib::units::ByteSize;

use crate::entry_state::EntryState;
use crate::log_lines::SUCCESS_TARGET;
use crate::target_call::CallResult;

/// The wait that was expected of an attempt before it was sent.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedWait {
    /// The wait at the selected target.
    pub predicted: Duration,
    /// The load of all targets.
    pub pool: PoolLoad,
}

/// How long an attempt took, and how long it might have taken.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTiming {
    /// How long it took.
    pub elapsed: Duration,
    /// Whether the answer had been counted as late before the attempt ended.
    pub was_late: bool,
    /// The time that it had.
    pub allowed: AttemptTime,
    /// The wait that was expected before it was sent.
    pub wait: ExpectedWait,
}

/// The request whose attempts are recorded.
pub struct AttemptedRequest<'a> {
    /// The state of the process.
    pub state: &'a Rc<EntryState>,
    /// The service that the request goes to.
    pub service: &'a ServiceId,
    /// The request's route.
    pub route: &'a RouteId,
    /// The latency objective of the route.
    pub objective: Duration,
    /// The caller's id of the request, for log lines.
    pub request_id: &'a str,
    /// Identifies the request across its attempts; none if its body is streamed.
    pub fingerprint: Option<RequestFingerprint>,
}

/// The attempts of a request so far.
pub struct AttemptRecord<'a> {
    request: AttemptedRequest<'a>,
    /// The targets that failed.
    pub tried: Vec<TargetId>,
    /// The number of attempts that reached a target, the expected one or another.
    pub arrivals: u32,
    /// The number of attempts that failed before they reached a target.
    pub undelivered: u32,
    /// The number of targets that accepted no connection.
    pub unreachable: u32,
    /// The size of the request's body, or how much of it there is at least.
    pub request_bytes: u64,
    /// Whether an attempt may have run the request.
    pub may_have_run: bool,
}

impl<'a> AttemptRecord<'a> {
    /// Starts the record of a request that was not sent yet.
    pub const fn new(request: AttemptedRequest<'a>) -> Self {
        Self {
            request,
            tried: Vec::new(),
            arrivals: 0,
            undelivered: 0,
            unreachable: 0,
            request_bytes: 0,
            may_have_run: false,
        }
    }

    /// Returns whether no attempt was made yet.
    pub const fn is_unsent(&self) -> bool {
        self.arrivals == 0 && self.undelivered == 0
    }

    /// Records the outcome of an attempt in the state of its target and in the metrics.
    pub fn record_outcome(&mut self, id: &TargetId, result: &CallResult, timing: AttemptTiming) {
        let (state, service) = (self.request.state, self.request.service);
        let elapsed = timing.elapsed;
        let now = state.clock.now();
        if let Some(load) = result.report.load {
            state.with_balancer(service, |balancer| {
                balancer.record_load_report(now, id, load)
            });
        }
        let failure = match &result.answer {
            Ok(answer) if answer.status().is_server_error() => AttemptFailure::ServerError,
            Ok(answer) => {
                self.record_arrival();
                state.record_path_answer(service);
                self.record_completion();
                if !timing.was_late {
                    state.apply_signal(service, id, FailureSignal::Good);
                }
                let route = self.request.route;
                let bytes = ByteSize(self.request_bytes + answer.min_body_size().0);
                state.with_balancer(service, |balancer| {
                    balancer.record_running_time(route, elapsed);
                    balancer.record_size(route, bytes);
                });
                self.record_wait(AttemptEnd::Answered, timing);
                state.meters.record_completed_attempt();
                tracing::info!(
                    target: SUCCESS_TARGET,
                    request = self.request.request_id,
                    by = %id,
                    status = answer.status().as_u16(),
                    taken_ms = elapsed.as_millis() as u64,
                    "answered"
                );
                return;
            }
            Err(failure) => *failure,
        };
        if failure.is_arrival() {
            self.record_arrival();
        } else {
            self.undelivered += 1;
        }
        if failure == AttemptFailure::Unreachable {
            self.unreachable += 1;
        }
        self.may_have_run |= failure.may_have_run();
        self.record_evidence(id, failure, result.report.load, timing);
        let broke_fresh = failure == AttemptFailure::Broken && result.report.connected;
        if broke_fresh && state.is_path_evidence(service) {
            state.record_refused_connect(id);
        }
        let error = failure.label();
        state.meters.record_failed_attempt(id.as_str(), error);
        if failure != AttemptFailure::Stale {
            self.tried.push(id.clone());
        }
        tracing::info!(
            request = self.request.request_id,
            to = %id,
            error,
            taken_ms = elapsed.as_millis() as u64,
            "attempt failed"
        );
    }

    fn record_arrival(&mut self) {
        self.arrivals += 1;
        if self.arrivals > 1 {
            let now = self.request.state.clock.now();
            let mut budget = self.request.state.repeat_budget.borrow_mut();
            budget.record_repeat(now, self.request.service);
        }
    }

    /// Records what a failure shows about the target.
    fn record_evidence(
        &self,
        id: &TargetId,
        failure: AttemptFailure,
        load: Option<ReportedLoad>,
        timing: AttemptTiming,
    ) {
        let (state, service) = (self.request.state, self.request.service);
        let now = state.clock.now();
        self.record_crash_evidence(id, failure);
        match failure.path_evidence() {
            PathEvidence::None => {}
            PathEvidence::Answered => state.record_path_answer(service),
            PathEvidence::FailedOnTheWay => {
                state.record_path_failure(service, id);
                if !state.is_path_evidence(service) {
                    return;
                }
            }
        }
        match failure {
            // A wrong target was recorded with the address that the request was sent to.
            AttemptFailure::NoConnection
            | AttemptFailure::Stale
            | AttemptFailure::Withdrawn
            | AttemptFailure::WrongTarget => {}
            AttemptFailure::Unreachable => {
                state.with_balancer(service, |balancer| balancer.mark_unreachable(now, id));
                state.record_refused_connect(id);
            }
            AttemptFailure::Full => {
                let by_rank = state.admits_by_rank();
                let refusal = state.with_balancer(service, |balancer| match by_rank {
                    true => balancer.record_refusal(now, id),
                    false => balancer.mark_full(now, id),
                });
                if refusal == Some(CapacityRefusal::Full) {
                    self.record_wait(AttemptEnd::Full(load), timing);
                }
            }
            AttemptFailure::ServerError => self.record_failure(id, timing),
            AttemptFailure::Broken | AttemptFailure::InvalidAnswer | AttemptFailure::TimedOut => {
                if failure == AttemptFailure::TimedOut {
                    self.record_wait(AttemptEnd::TimedOut, timing);
                }
                if !timing.was_late {
                    self.record_failure(id, timing);
                }
            }
        }
    }

    /// Records what a failure shows of a crash of the target. The check that follows tells it from a failure
    /// of the path, whatever is known of the path so far.
    fn record_crash_evidence(&self, id: &TargetId, failure: AttemptFailure) {
        let state = self.request.state;
        let now = state.clock.now();
        let mut guard = state.crash_guard.borrow_mut();
        let actions = match (failure, &self.request.fingerprint) {
            (AttemptFailure::Unreachable, _) => guard.record_failed_connect(now, id),
            (AttemptFailure::Broken, Some(fingerprint)) => {
                guard.record_lost_connection(now, fingerprint, id)
            }
            _ => return,
        };
        drop(guard);
        state.apply_crash_actions(actions);
    }

    fn record_failure(&self, id: &TargetId, timing: AttemptTiming) {
        let (state, service) = (self.request.state, self.request.service);
        let signal = state.with_balancer(service, |balancer| {
            balancer.classify_failure(self.request.route, timing.elapsed, timing.allowed)
        });
        if let Some(signal) = signal.flatten() {
            state.apply_signal(service, id, signal);
        }
    }

    fn record_wait(&self, end: AttemptEnd, timing: AttemptTiming) {
        let sample = WaitSample {
            route: self.request.route,
            objective: self.request.objective,
            predicted: timing.wait.predicted,
            pool: timing.wait.pool,
            elapsed: timing.elapsed,
            end,
        };
        self.request
            .state
            .record_wait(self.request.service, &sample);
    }

    fn record_completion(&self) {
        let state = self.request.state;
        if let Some(fingerprint) = &self.request.fingerprint {
            let now = state.clock.now();
            let mut guard = state.crash_guard.borrow_mut();
            let actions = guard.record_success(now, fingerprint);
            drop(guard);
            state.apply_crash_actions(actions);
        }
    }
}
