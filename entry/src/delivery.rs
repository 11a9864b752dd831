//! Delivers a request: selects targets, sends it, retries, or hands it on to another node.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_gateway::body_stream::RequestBody;
use damaskloom_lib::attempt_failure::AttemptFailure;
use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crash_guard::RequestFingerprint;
use damaskloom_lib::ids::ServiceId;
use damaskloom_lib::return_delay::return_delay;
use damaskloom_lib::target_balancer::{AttemptTime, TargetBalancer};
use damaskloom_lib::target_catalog::OutdatedAddress;
use damaskloom_lib::target_notices::TargetStart;
use damaskloom_lib::target_selection::{SelectionError, SelectionRequest, TargetSelection};
use http::request::Parts;
use http_body::Body;
use rand::Rng;

use crate::admission::{AdmittedRequest, request_id};
use crate::attempt_guards::{LimitPermit, RunningGuard};
use crate::attempt_record::{AttemptRecord, AttemptTiming, AttemptedRequest};
use crate::caller_answer::{CallerRefusal, RefusalReason};
use crate::entry_state::EntryState;
use crate::hand_on::{HandedRequest, RequestOrigin};
use crate::log_lines::SUCCESS_TARGET;
use crate::target_call::{CallTarget, OutgoingHead, TargetAnswer, call};

/// The fraction of the typical running time that must be left before the deadline for an attempt to
/// be worthwhile.
const MIN_RUNNING_TIME_RATIO: f64 = 0.5;
/// The expected wait of requests that are refused although no target's wait is known.
const UNKNOWN_WAIT: Duration = Duration::from_millis(200);
/// The number of attempts of one request that may fail before they reach a target.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 6;
/// The number of targets that accept no connection for a request before it is handed on.
const UNREACHABLE_TO_HAND_ON: u32 = 2;

/// The body of a request as it is sent to targets.
pub enum OutgoingBody {
    /// The complete body; the request can be retried.
    Buffered(Bytes),
    /// A body that is streamed as it arrives, so that it can be sent only once.
    Stream(RequestBody),
}

impl OutgoingBody {
    /// Returns the number of bytes, or how many there are at least.
    fn min_size(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64,
            Self::Stream(stream) => stream.size_hint().lower(),
        }
    }
}

/// Returns the body to send, and leaves it to be sent again if that is possible.
fn next_body(body: &mut Option<OutgoingBody>) -> Option<RequestBody> {
    match body.take()? {
        OutgoingBody::Buffered(bytes) => {
            *body = Some(OutgoingBody::Buffered(bytes.clone()));
            Some(RequestBody::buffered(bytes))
        }
        OutgoingBody::Stream(stream) => Some(stream),
    }
}

/// The request of a delivery.
pub struct DeliveryRequest<'a> {
    /// The caller's request.
    pub parts: &'a Parts,
    /// The result of its admission.
    pub admitted: &'a AdmittedRequest,
    /// The service that it goes to.
    pub service: &'a ServiceId,
    /// The head for targets.
    pub head: &'a OutgoingHead,
    /// Identifies the request across its attempts; none if its body is streamed.
    pub fingerprint: Option<RequestFingerprint>,
    /// How the request came to this node.
    pub origin: RequestOrigin,
}

/// The delivery of a request, with retries at further targets.
pub struct Delivery<'a> {
    state: &'a Rc<EntryState>,
    admitted: &'a AdmittedRequest,
    service: &'a ServiceId,
    head: &'a OutgoingHead,
    parts: &'a Parts,
    origin: RequestOrigin,
    request_id: &'a str,
    attempts: AttemptRecord<'a>,
    /// Whether the request was handed on to another node.
    is_handed_on: bool,
}

impl<'a> Delivery<'a> {
    /// Prepares the delivery of a request.
    pub fn new(state: &'a Rc<EntryState>, request: DeliveryRequest<'a>) -> Self {
        let request_id = request_id(request.parts);
        Self {
            state,
            admitted: request.admitted,
            service: request.service,
            head: request.head,
            parts: request.parts,
            origin: request.origin,
            request_id,
            attempts: AttemptRecord::new(AttemptedRequest {
                state,
                service: request.service,
                route: &request.admitted.route.id,
                objective: request.admitted.route.latency_objective,
                request_id,
                fingerprint: request.fingerprint,
            }),
            is_handed_on: false,
        }
    }

    /// Returns whether the request was handed on to another node.
    pub const fn is_handed_on(&self) -> bool {
        self.is_handed_on
    }

    /// Returns whether a target may have run the request.
    pub const fn may_have_run(&self) -> bool {
        self.attempts.may_have_run
    }

    /// Sends the request to targets until one answers, or hands it on.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if there is no answer.
    pub async fn deliver(&mut self, body: OutgoingBody) -> Result<TargetAnswer, CallerRefusal> {
        self.attempts.request_bytes = body.min_size();
        let mut body = Some(body);
        // The error answer of a target, which is returned to the caller if no retry succeeds.
        let mut failed_answer: Option<TargetAnswer> = None;
        loop {
            if self.is_stopping_too_soon() {
                return failed_answer
                    .ok_or_else(|| self.refuse(RefusalReason::Stopping, Duration::ZERO));
            }
            if let Some(result) = self.hand_on(&mut body).await {
                return result;
            }
            if body.is_none() {
                return failed_answer.ok_or_else(|| self.final_refusal(AttemptFailure::Broken));
            }
            let selection = match self.select_target() {
                Ok(selection) => selection,
                Err(refusal) => return failed_answer.ok_or(refusal),
            };
            let permit = LimitPermit::reserve(self.state, &selection.target);
            self.state.record_selection(&selection.target);
            self.state.record_trial(self.service, &selection);
            if !selection.permit_wait.is_zero() {
                tokio::time::sleep(selection.permit_wait).await;
                if !permit.is_valid(self.service) {
                    continue;
                }
            }
            let attempt_body = next_body(&mut body).expect("the body was checked above");
            let failure = match self.send(&selection, permit, attempt_body).await {
                Ok(answer) if answer.status().is_server_error() => {
                    if !self.may_retry(AttemptFailure::ServerError) {
                        return Ok(answer);
                    }
                    failed_answer = Some(answer);
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if !self.may_retry(failure) {
                return failed_answer.ok_or_else(|| self.final_refusal(failure));
            }
        }
    }

    /// Hands the request on to another node if this node reaches no target, or as it seems to this
    /// request none, and nothing has reached a target yet. Returns none if this node sends it itself.
    async fn hand_on(
        &mut self,
        body: &mut Option<OutgoingBody>,
    ) -> Option<Result<TargetAnswer, CallerRefusal>> {
        let is_cut_off = self.state.is_cut_off_from(self.service);
        let is_needed = is_cut_off || self.attempts.unreachable >= UNREACHABLE_TO_HAND_ON;
        if !is_needed || self.attempts.arrivals > 0 {
            return None;
        }
        if self.origin == RequestOrigin::Peer {
            // The node that handed the request on has other helpers to ask.
            return Some(Err(self.refuse(RefusalReason::NoTarget, UNKNOWN_WAIT)));
        }
        let handed = HandedRequest {
            parts: self.parts,
            service: self.service,
            request_id: self.request_id,
            deadline: self.admitted.deadline.timer_end(&self.state.clock),
        };
        let answer = self.state.hand_on(&handed, || next_body(body)).await;
        let Some(answer) = answer else {
            let is_over = is_cut_off || body.is_none();
            return is_over.then(|| Err(self.refuse(RefusalReason::NoTarget, UNKNOWN_WAIT)));
        };
        self.is_handed_on = true;
        Some(answer.map_err(|failure| {
            self.attempts.may_have_run |= failure.may_have_run();
            self.final_refusal(failure)
        }))
    }

    /// Returns whether a planned stop may cut off an attempt that starts now, at a target or a helper.
    fn is_stopping_too_soon(&self) -> bool {
        let deadline = self.admitted.deadline.expires_at();
        let plan = self.state.stop_plan();
        plan.is_some_and(|plan| !plan.allows(deadline))
    }

    fn idempotence(&self) -> Idempotence {
        self.admitted.route.idempotence
    }

    fn select_target(&self) -> Result<TargetSelection, CallerRefusal> {
        let now = self.state.clock.now();
        let time_left = self.admitted.deadline.time_left(&self.state.clock);
        let limits = self.state.limits.borrow();
        let notices = self.state.notices.borrow();
        let evacuations = self.state.evacuations.borrow();
        let balancers = self.state.balancers.borrow();
        let Some(balancer) = balancers.get(self.service) else {
            return Err(self.refuse(RefusalReason::NoTarget, UNKNOWN_WAIT));
        };
        let cost_per_kb = self.state.settings().costs.crossing_per_kb;
        let request = SelectionRequest {
            idempotence: self.idempotence(),
            tried: &self.attempts.tried,
            limits: &limits,
            notices: &notices,
            trust: self.state.target_trust(self.idempotence()),
            evacuations: &evacuations,
            crossing: balancer
                .sizes()
                .crossing_cost(&self.admitted.route.id, cost_per_kb),
            seed: rand::rng().random(),
            spread: self.state.cost_spread(self.service),
        };
        let selection = balancer
            .select(now, &request)
            .map_err(|error| match error {
                SelectionError::NoTarget => self.refuse(RefusalReason::NoTarget, UNKNOWN_WAIT),
                SelectionError::Untrusted => {
                    self.refuse(RefusalReason::OutdatedTargets, UNKNOWN_WAIT)
                }
                SelectionError::Evacuated => self.refuse(RefusalReason::Evacuated, UNKNOWN_WAIT),
                SelectionError::Resting(wait) => self.refuse(RefusalReason::TargetsResting, wait),
                SelectionError::Limited(wait) => {
                    self.refuse(RefusalReason::TargetsLimited, wait.unwrap_or(UNKNOWN_WAIT))
                }
            })?;
        let typical = balancer.timings().typical();
        if self.attempts.is_unsent()
            && let Some(wait) =
                (self.state).refuse_for_room(self.service, self.admitted, &selection, typical)
        {
            return Err(self.refuse(RefusalReason::Overloaded, wait));
        }
        let min_running_time = balancer
            .timings()
            .typical_of(&self.admitted.route.id)
            .mul_f64(MIN_RUNNING_TIME_RATIO);
        let is_too_late = selection.expected_wait + min_running_time > time_left;
        // With several ranks, the policy has checked the deadline by running times that include no wait.
        if is_too_late && !self.state.has_several_ranks(self.service) {
            return Err(self.refuse(RefusalReason::Overloaded, selection.expected_wait));
        }
        Ok(selection)
    }

    /// Returns the time after which an answer to this request is late.
    fn late_threshold(&self, balancer: &TargetBalancer) -> Duration {
        let route = &self.admitted.route;
        balancer
            .timings()
            .late_threshold(&route.id, route.latency_objective)
    }

    /// Returns the time that an attempt which starts now may take.
    fn attempt_time(&self) -> AttemptTime {
        let threshold = self
            .state
            .with_balancer(self.service, |balancer| self.late_threshold(balancer));
        AttemptTime {
            until_deadline: self.admitted.deadline.time_left(&self.state.clock),
            until_late: threshold.unwrap_or(self.admitted.route.latency_objective),
        }
    }

    /// Makes the refusal for a request that is not sent (again). If an earlier attempt may have
    /// run, the refusal does not claim that the request did not run.
    fn refuse(&self, reason: RefusalReason, expected_wait: Duration) -> CallerRefusal {
        if self.attempts.may_have_run {
            RefusalReason::TargetBroke.into()
        } else {
            let drawn = rand::rng().random();
            let delay = return_delay(expected_wait, self.admitted.priority, drawn);
            CallerRefusal::after(reason, delay)
        }
    }

    fn final_refusal(&self, failure: AttemptFailure) -> CallerRefusal {
        match failure {
            AttemptFailure::TimedOut => RefusalReason::TargetTimeout.into(),
            AttemptFailure::Broken
            | AttemptFailure::InvalidAnswer
            | AttemptFailure::ServerError => RefusalReason::TargetBroke.into(),
            AttemptFailure::Full => self.refuse(RefusalReason::Overloaded, UNKNOWN_WAIT),
            AttemptFailure::NoConnection
            | AttemptFailure::Unreachable
            | AttemptFailure::Stale
            | AttemptFailure::Withdrawn
            | AttemptFailure::WrongTarget => self.refuse(RefusalReason::NoTarget, UNKNOWN_WAIT),
        }
    }

    async fn send(
        &mut self,
        selection: &TargetSelection,
        permit: LimitPermit<'_>,
        body: RequestBody,
    ) -> Result<TargetAnswer, AttemptFailure> {
        let id = &selection.target;
        let state = self.state;
        let (address, started_at_ms) = {
            let catalog = state.catalog.borrow();
            let target = catalog.get(id).expect("balancers hold known targets only");
            let announcement = &target.announcement;
            (announcement.address, announcement.started_at_ms)
        };
        let start = TargetStart {
            target: id.clone(),
            started_at_ms,
        };
        let target = CallTarget {
            id,
            pool: state.target_pools.pool(id, address),
            connections: self.connection_limit(),
            accepts: &|| {
                state.accepts_requests(&start, self.idempotence()) && state.take_send_permit(id)
            },
        };
        self.log_selection(selection);
        let allowed = self.attempt_time();
        let running = RunningGuard::begin(state, self.service, id, allowed.until_late);
        let expected_wait = state.expected_wait(self.service, &self.admitted.route, selection);
        let sent_at = state.clock.now();
        permit.spend();
        let result = call(
            &target,
            self.head,
            body,
            self.admitted.deadline.timer_end(&state.clock),
        )
        .await;
        if result.report.connected {
            state.meters.record_connection();
        }
        let (elapsed, was_late) = running.end();
        let timing = AttemptTiming {
            elapsed,
            was_late,
            allowed,
            wait: expected_wait,
        };
        if result
            .answer
            .as_ref()
            .is_err_and(|failure| !failure.is_arrival())
        {
            state.limits.borrow_mut().refund(state.clock.now(), id);
        }
        state.record_target_notice(&start, sent_at, result.report.notice);
        if matches!(result.answer, Err(AttemptFailure::WrongTarget)) {
            state.record_wrong_target(OutdatedAddress {
                target: id.clone(),
                started_at_ms,
                address,
            });
        }
        self.attempts.record_outcome(id, &result, timing);
        result.answer
    }

    fn log_selection(&self, selection: &TargetSelection) {
        tracing::info!(
            target: SUCCESS_TARGET,
            request = self.request_id,
            route = %self.admitted.route.id,
            customer = self.admitted.customer.as_ref().map(|customer| customer.as_str()),
            version = self.admitted.version.0,
            to = %selection.target,
            of = selection.candidates,
            tried = self.attempts.tried.len(),
            failing = selection.failing_probability,
            load = selection.load,
            trial = selection.is_trial,
            floor = selection.keeps_floor,
            wait_ms = selection.expected_wait.as_millis() as u64,
            "target selected"
        );
    }

    /// Returns the number of connections that this node may open to a target of the service.
    ///
    /// The limit of the service is divided among all known nodes, so that together they stay within
    /// what a target accepts.
    fn connection_limit(&self) -> u32 {
        let table = self.state.routing.borrow();
        let rule = table
            .as_ref()
            .and_then(|table| table.document().services.get(self.service));
        let nodes = self.state.members.borrow().iter().count() + 1;
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        rule.map_or(1, |rule| (rule.connections / nodes).max(1))
    }

    /// Decides whether the request is retried after a failure.
    fn may_retry(&mut self, failure: AttemptFailure) -> bool {
        let idempotent = self.idempotence() == Idempotence::Idempotent;
        if (failure.may_have_run() && !idempotent)
            || self.admitted.deadline.has_passed(&self.state.clock)
        {
            return false;
        }
        if self.attempts.undelivered >= MAX_UNDELIVERED_ATTEMPTS
            || self.attempts.arrivals >= self.admitted.route.max_attempts
        {
            return false;
        }
        // The retry budget bounds extra load on targets; attempts that reached no target cause
        // none.
        if self.attempts.arrivals == 0 {
            return true;
        }
        let now = self.state.clock.now();
        let value = self.state.repeat_value(self.service, self.admitted);
        let allowed = self
            .state
            .repeat_budget
            .borrow_mut()
            .try_spend(now, self.service, value);
        if allowed {
            self.state.meters.record_retry();
        } else {
            let rank = self.admitted.priority;
            self.state.meters.record_refused_repeat(rank);
        }
        tracing::info!(
            request = self.request_id,
            sent = self.attempts.arrivals,
            error = failure.label(),
            allowed,
            "retry decided"
        );
        allowed
    }
}
