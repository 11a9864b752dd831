//! The path of one request: admission, body, target, sendings, answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_gateway::bodies::RequestBody;
use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crash_guard::{RequestDigest, RequestFingerprint};
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::{CustomerId, ServiceId, TargetId};
use damaskloom_lib::target_balancer::{RunningAttemptId, SelectionRequest, TargetSelection};
use damaskloom_lib::units::ByteSize;
use http::request::Parts;
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::Rng;
use sha2::{Digest, Sha256};

use crate::admission::{AdmittedRequest, admit, request_id};
use crate::caller_answer::{
    CallerBody, CallerRefusal, RefusalReason, refusal_answer, target_answer,
};
use crate::entry_state::EntryState;
use crate::log_lines::GOOD;
use crate::peer_socket::take_crash_actions;
use crate::target_call::{CallError, CallResult, CallTarget, OutgoingHead, TargetAnswer, call};
use crate::target_pool::ConnectError;

/// Bodies up to this size are taken whole, so that they can be sent again.
const WHOLE_BODY_BYTES: u64 = 1 << 20;
/// The part of the usual running time that must be left for a sending to make sense.
const LEAST_RUNNING_PART: f64 = 0.5;
/// The time after which a busy service may have room again.
const BUSY_RETRY: Duration = Duration::from_millis(200);
/// The connections beyond which tries that never reached a target end, for one request.
const MAX_UNREACHED: u32 = 6;

static OPEN_CUSTOMER: std::sync::LazyLock<CustomerId> =
    std::sync::LazyLock::new(|| "open".parse().expect("the name is a valid identifier"));

/// Serves one request of a caller.
pub async fn serve(state: Rc<EntryState>, request: Request<Incoming>) -> Response<CallerBody> {
    state.note_request();
    let (parts, body) = request.into_parts();
    let mut in_flight = InFlightGuard::new(&state, request_id(&parts));
    let result = run(&state, &parts, body, in_flight.arrival).await;
    in_flight.ended = true;
    let held = in_flight.arrival.elapsed();
    match result {
        Ok(answer) => target_answer(answer),
        Err(refusal) => {
            note_refusal(&state, &parts, refusal, held);
            refusal_answer(refusal)
        }
    }
}

fn note_refusal(state: &EntryState, parts: &Parts, refusal: CallerRefusal, held: Duration) {
    state.meters.refused(refusal.reason.label());
    let routing = state.routing.borrow();
    tracing::info!(
        request = request_id(parts),
        reason = refusal.reason.label(),
        version = routing.as_ref().map(|table| table.document().version.0),
        retry_after_ms = refusal.retry_after.map(|period| period.as_millis() as u64),
        held_ms = held.as_millis() as u64,
        "refused"
    );
}

/// Counts a request as in flight until it is dropped, which also happens when its caller leaves.
struct InFlightGuard<'a> {
    state: &'a EntryState,
    request: &'a str,
    arrival: Instant,
    ended: bool,
}

impl<'a> InFlightGuard<'a> {
    fn new(state: &'a EntryState, request: &'a str) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self {
            state,
            request,
            arrival: Instant::now(),
            ended: false,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.state.in_flight.set(self.state.in_flight.get() - 1);
        if !self.ended {
            let held_ms = self.arrival.elapsed().as_millis() as u64;
            tracing::info!(request = self.request, held_ms, "caller left");
        }
    }
}

async fn run(
    state: &Rc<EntryState>,
    parts: &Parts,
    body: Incoming,
    arrival: Instant,
) -> Result<TargetAnswer, CallerRefusal> {
    let admitted = admit(state, parts, arrival)?;
    let body = take_body(state, body, admitted.deadline).await?;
    let service = choose_service(state, &admitted);
    let fingerprint = match &body {
        SentBody::Whole(bytes) => Some(fingerprint(&admitted, parts, bytes)),
        SentBody::Stream(_) => None,
    };
    if let Some(fingerprint) = &fingerprint {
        let now = state.clock.now();
        if let Some(period) = state.crashes.borrow().check(now, fingerprint) {
            return Err(CallerRefusal::after(RefusalReason::CrashesTargets, period));
        }
    }
    let head = OutgoingHead::new(parts, admitted.customer.as_ref());
    let mut delivery = Delivery {
        state,
        admitted: &admitted,
        service: &service,
        head: &head,
        fingerprint,
        request: request_id(parts),
        tried: Vec::new(),
        sent: 0,
        unreached: 0,
        may_have_run: false,
    };
    state
        .repeats
        .borrow_mut()
        .record_request(state.clock.now(), &service);
    let result = delivery.deliver(body).await;
    if let Ok(answer) = &result {
        let (route, status) = (admitted.route.id.as_str(), answer.status().as_u16());
        state.meters.answered(route, status, arrival.elapsed());
    }
    if result.is_err() && !delivery.may_have_run {
        state.give_back_rate(admitted.customer.as_ref());
    }
    result
}

/// The body of a request on its way to targets.
enum SentBody {
    /// The whole body, which can be sent again.
    Whole(Bytes),
    /// A body that is passed on as it comes, once.
    Stream(RequestBody),
}

async fn take_body(
    state: &EntryState,
    body: Incoming,
    deadline: Instant,
) -> Result<SentBody, CallerRefusal> {
    let limit = state
        .routing
        .borrow()
        .as_ref()
        .map_or(WHOLE_BODY_BYTES, |table| {
            table.document().limits.max_body_bytes
        });
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > limit) {
        return Err(RefusalReason::BodyTooLarge.into());
    }
    if body.is_end_stream() {
        return Ok(SentBody::Whole(Bytes::new()));
    }
    if announced.is_some_and(|length| length > WHOLE_BODY_BYTES) {
        return Ok(SentBody::Stream(RequestBody::stream(body, ByteSize(limit))));
    }
    let bound = usize::try_from(limit.min(WHOLE_BODY_BYTES * 8)).unwrap_or(usize::MAX);
    let whole = Limited::new(body, bound).collect();
    match tokio::time::timeout_at(deadline.into(), whole).await {
        Ok(Ok(whole)) => Ok(SentBody::Whole(whole.to_bytes())),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RefusalReason::BodyTooLarge.into())
        }
        // The caller broke off or stalled; nothing was sent to anybody.
        Ok(Err(_)) | Err(_) => Err(RefusalReason::BadRequest.into()),
    }
}

fn choose_service(state: &EntryState, admitted: &AdmittedRequest) -> ServiceId {
    let destinations = &admitted.route.destinations;
    let turn = match destinations.as_slice() {
        [_] => 0,
        _ => {
            let mut splits = state.splits.borrow_mut();
            let split = splits.entry(admitted.route.id.clone()).or_default();
            split.next(destinations)
        }
    };
    destinations[turn].service.clone()
}

fn fingerprint(admitted: &AdmittedRequest, parts: &Parts, body: &[u8]) -> RequestFingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    RequestFingerprint {
        customer: admitted.customer.as_ref().unwrap_or(&OPEN_CUSTOMER).clone(),
        route: admitted.route.id.clone(),
        digest: RequestDigest::of(
            parts.method.as_str().as_bytes(),
            path.as_bytes(),
            &Sha256::digest(body),
        ),
    }
}

/// A request on its way through one or more targets.
struct Delivery<'a> {
    state: &'a Rc<EntryState>,
    admitted: &'a AdmittedRequest,
    service: &'a ServiceId,
    head: &'a OutgoingHead,
    fingerprint: Option<RequestFingerprint>,
    request: &'a str,
    tried: Vec<TargetId>,
    /// The sendings that reached a target.
    sent: u32,
    /// The tries that reached none.
    unreached: u32,
    may_have_run: bool,
}

impl Delivery<'_> {
    async fn deliver(&mut self, body: SentBody) -> Result<TargetAnswer, CallerRefusal> {
        let mut body = Some(body);
        // The answer of a target that failed, which the caller gets if no other does better.
        let mut failed: Option<TargetAnswer> = None;
        loop {
            let (sending, kept) = match body.take() {
                Some(SentBody::Whole(bytes)) => (
                    RequestBody::whole(bytes.clone()),
                    Some(SentBody::Whole(bytes)),
                ),
                Some(SentBody::Stream(stream)) => (stream, None),
                None => return failed.ok_or_else(|| self.give_up(CallError::Broken)),
            };
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(refusal) => return failed.ok_or(refusal),
            };
            body = kept;
            let error = match self.send(&choice, sending).await {
                Ok(answer) if answer.status().is_server_error() => {
                    if !self.may_repeat(None) {
                        return Ok(answer);
                    }
                    failed = Some(answer);
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if !self.may_repeat(Some(error)) {
                return failed.ok_or_else(|| self.give_up(error));
            }
        }
    }

    fn idempotence(&self) -> Idempotence {
        self.admitted.route.idempotence
    }

    fn choose(&self) -> Result<TargetSelection, CallerRefusal> {
        let now = self.state.clock.now();
        let left = self
            .admitted
            .deadline
            .saturating_duration_since(Instant::now());
        let request = SelectionRequest {
            idempotence: self.idempotence(),
            tried: &self.tried,
            seed: rand::rng().random(),
        };
        let boards = self.state.boards.borrow();
        let board = boards.get(self.service);
        let choice = board.and_then(|board| Some((board, board.select(now, &request)?)));
        let Some((board, choice)) = choice else {
            return Err(self.refuse(RefusalReason::NoTarget));
        };
        let least = board.typical_running_time().mul_f64(LEAST_RUNNING_PART);
        if choice.expected_wait + least > left {
            return Err(self.refuse(RefusalReason::Overloaded));
        }
        Ok(choice)
    }

    /// Refuses; a repeat that was not sent says nothing of the sendings before it.
    fn refuse(&self, reason: RefusalReason) -> CallerRefusal {
        if self.may_have_run {
            RefusalReason::TargetBroke.into()
        } else {
            CallerRefusal::after(reason, BUSY_RETRY)
        }
    }

    fn give_up(&self, error: CallError) -> CallerRefusal {
        match error {
            CallError::TimedOut => RefusalReason::TargetTimeout.into(),
            CallError::Broken | CallError::Spoilt => RefusalReason::TargetBroke.into(),
            CallError::Full => self.refuse(RefusalReason::Overloaded),
            CallError::Connect(_) | CallError::Stale | CallError::WrongTarget => {
                self.refuse(RefusalReason::NoTarget)
            }
        }
    }

    async fn send(
        &mut self,
        choice: &TargetSelection,
        body: RequestBody,
    ) -> Result<TargetAnswer, CallError> {
        let id = &choice.target;
        let state = self.state;
        let address = {
            let catalog = state.catalog.borrow();
            let target = catalog.get(id).expect("boards hold known targets only");
            target.announcement.address
        };
        let target = CallTarget {
            id,
            pool: state.pools.pool(id, address),
            connections: self.connection_limit(),
        };
        self.note_picked(choice);
        let running = RunningGuard::begin(state, self.service, id);
        let result = call(&target, self.head, body, self.admitted.deadline).await;
        if result.connected {
            state.meters.connected();
        }
        let (taken, was_late) = running.end();
        self.judge(id, &result, taken, was_late);
        result.answer
    }

    fn note_picked(&self, choice: &TargetSelection) {
        tracing::info!(
            target: GOOD,
            request = self.request,
            route = %self.admitted.route.id,
            customer = self.admitted.customer.as_ref().map(|customer| customer.as_str()),
            version = self.admitted.version.0,
            to = %choice.target,
            of = choice.candidates,
            tried = self.tried.len(),
            failing = choice.failing_probability,
            load = choice.load,
            wait_ms = choice.expected_wait.as_millis() as u64,
            "target picked"
        );
    }

    /// Returns the connections that this node may open to a target of the service.
    ///
    /// All nodes that may carry traffic together keep to what a target accepts.
    fn connection_limit(&self) -> u32 {
        let table = self.state.routing.borrow();
        let rule = table
            .as_ref()
            .and_then(|table| table.document().services.get(self.service));
        let nodes = self.state.members.borrow().iter().count() + 1;
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        rule.map_or(1, |rule| (rule.connections / nodes).max(1))
    }

    /// Takes what a sending showed into what is believed of its target.
    fn judge(&mut self, id: &TargetId, result: &CallResult, taken: Duration, was_late: bool) {
        let (state, service) = (self.state, self.service);
        let now = state.clock.now();
        if let Some(load) = result.load {
            state.with_board(service, |board| board.record_load_report(now, id, load));
        }
        let error = match &result.answer {
            Ok(answer) if answer.status().is_server_error() => {
                self.sent += 1;
                self.may_have_run = true;
                self.observe_failure(id, taken);
                "server-error"
            }
            Ok(answer) => {
                self.note_completed();
                if !was_late {
                    state.observe(service, id, FailureSignal::Good);
                }
                state.with_board(service, |board| board.record_running_time(taken));
                state.meters.sent();
                tracing::info!(
                    target: GOOD,
                    request = self.request,
                    by = %id,
                    status = answer.status().as_u16(),
                    taken_ms = taken.as_millis() as u64,
                    "answered"
                );
                return;
            }
            Err(error) => {
                self.judge_error(id, *error, taken, was_late);
                error.label()
            }
        };
        state.meters.sending_failed(id.as_str(), error);
        if !matches!(&result.answer, Err(CallError::Stale)) {
            self.tried.push(id.clone());
        }
        tracing::info!(
            request = self.request,
            to = %id,
            error,
            taken_ms = taken.as_millis() as u64,
            "sending failed"
        );
    }

    fn judge_error(&mut self, id: &TargetId, error: CallError, taken: Duration, was_late: bool) {
        let (state, service) = (self.state, self.service);
        let now = state.clock.now();
        match error {
            CallError::Connect(ConnectError::Unreachable) => {
                self.unreached += 1;
                state.with_board(service, |board| board.mark_unreachable(now, id));
                let actions = state.crashes.borrow_mut().record_unreachable(now, id);
                take_crash_actions(state, actions);
            }
            CallError::Connect(ConnectError::NoConnection) | CallError::Stale => {
                self.unreached += 1;
            }
            CallError::WrongTarget => {
                self.unreached += 1;
                state.with_board(service, |board| board.mark_unreachable(now, id));
            }
            CallError::Full => {
                self.sent += 1;
                state.with_board(service, |board| board.mark_full(now, id));
            }
            CallError::Broken | CallError::Spoilt | CallError::TimedOut => {
                self.sent += 1;
                self.may_have_run = true;
                if !was_late {
                    self.observe_failure(id, taken);
                }
                if error == CallError::Broken
                    && let Some(fingerprint) = &self.fingerprint
                {
                    state
                        .crashes
                        .borrow_mut()
                        .record_lost_connection(now, fingerprint, id);
                }
            }
        }
    }

    fn observe_failure(&self, id: &TargetId, taken: Duration) {
        let sign = self
            .state
            .with_board(self.service, |board| board.classify_failure(taken));
        if let Some(sign) = sign {
            self.state.observe(self.service, id, sign);
        }
    }

    fn note_completed(&self) {
        if let Some(fingerprint) = &self.fingerprint {
            let now = self.state.clock.now();
            let actions = self
                .state
                .crashes
                .borrow_mut()
                .record_success(now, fingerprint);
            take_crash_actions(self.state, actions);
        }
    }

    /// Says whether the request is sent again after an error, or after a server's own failure.
    fn may_repeat(&mut self, error: Option<CallError>) -> bool {
        let not_run = error.is_some_and(CallError::is_not_run);
        let idempotent = self.idempotence() == Idempotence::Idempotent;
        if !(not_run || idempotent) || Instant::now() >= self.admitted.deadline {
            return false;
        }
        if self.unreached >= MAX_UNREACHED || self.sent >= self.admitted.route.max_attempts {
            return false;
        }
        // Only a request that reached a target before makes the next one an extra arrival.
        if self.sent == 0 {
            return true;
        }
        let now = self.state.clock.now();
        let allowed = self.state.repeats.borrow_mut().try_spend(now, self.service);
        if allowed {
            self.state.meters.repeated();
        }
        tracing::info!(
            request = self.request,
            sent = self.sent,
            error = error.map_or("server-error", CallError::label),
            allowed,
            "repeat decided"
        );
        allowed
    }
}

/// Counts a request as running at a target until it is dropped.
struct RunningGuard<'a> {
    state: &'a EntryState,
    service: &'a ServiceId,
    target: TargetId,
    running: Option<RunningAttemptId>,
}

impl<'a> RunningGuard<'a> {
    fn begin(state: &'a EntryState, service: &'a ServiceId, target: &TargetId) -> Self {
        let now = state.clock.now();
        let running = state.with_board(service, |board| board.start_attempt(now, target));
        Self {
            state,
            service,
            target: target.clone(),
            running,
        }
    }

    fn end(mut self) -> (Duration, bool) {
        self.finish()
    }

    fn finish(&mut self) -> (Duration, bool) {
        let Some(running) = self.running.take() else {
            return (Duration::ZERO, false);
        };
        let now = self.state.clock.now();
        let ended = self.state.with_board(self.service, |board| {
            board.finish_attempt(now, &self.target, running)
        });
        ended.unwrap_or_default()
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}
