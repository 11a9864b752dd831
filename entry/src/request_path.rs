//! Serves one request: admission, body, delivery, answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_gateway::body_stream::RequestBody;
use damaskloom_lib::crash_guard::{RequestDigest, RequestFingerprint};
use damaskloom_lib::ids::{CustomerId, ServiceId};
use damaskloom_lib::loss_meter::RequestOutcome;
use damaskloom_lib::units::ByteSize;
use http::request::Parts;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};

use crate::admission::{AdmittedRequest, admit, request_id};
use crate::body_budget::BodyReservation;
use crate::body_collector::{CollectedBody, collect_body};
use crate::caller_answer::{
    CallerBody, CallerRefusal, RefusalReason, refusal_answer, target_answer,
};
use crate::delivery::{Delivery, DeliveryRequest, OutgoingBody};
use crate::entry_state::EntryState;
use crate::hand_on::{RequestOrigin, mark_cut_off};
use crate::target_call::{OutgoingHead, TargetAnswer};

/// Bodies with a declared length up to this size are held, so that the request can be retried; bodies
/// without a declared length are held up to eight times this size. Longer ones are passed on as they
/// arrive.
const MAX_HELD_BODY_BYTES: u64 = 1 << 20;

/// Stands for the customer in fingerprints of requests without one.
static OPEN_CUSTOMER: std::sync::LazyLock<CustomerId> =
    std::sync::LazyLock::new(|| "open".parse().expect("the name is a valid identifier"));

/// Serves one request of a caller, which may have come by way of another node.
pub async fn serve(
    state: Rc<EntryState>,
    request: Request<Incoming>,
    origin: RequestOrigin,
) -> Response<CallerBody> {
    state.record_request();
    let (parts, body) = request.into_parts();
    let mut in_flight = InFlightGuard::new(&state, request_id(&parts));
    let result = run(&state, &parts, body, in_flight.arrival, origin).await;
    in_flight.ended = true;
    let elapsed = in_flight.arrival.elapsed();
    match result {
        Ok(answer) => target_answer(answer),
        Err(refusal) => {
            record_refusal(&state, &parts, refusal, elapsed);
            let mut answer = refusal_answer(refusal);
            if origin == RequestOrigin::Peer && refusal.reason == RefusalReason::NoTarget {
                mark_cut_off(&mut answer);
            }
            answer
        }
    }
}

fn record_refusal(state: &EntryState, parts: &Parts, refusal: CallerRefusal, elapsed: Duration) {
    state.meters.record_refusal(refusal.reason.label());
    let routing = state.routing.borrow();
    tracing::info!(
        request = request_id(parts),
        reason = refusal.reason.label(),
        version = routing.as_ref().map(|table| table.document().version.0),
        retry_after_ms = refusal.retry_after.map(|period| period.as_millis() as u64),
        held_ms = elapsed.as_millis() as u64,
        "refused"
    );
}

/// Counts a request as in flight until it is dropped, which also happens when the caller
/// disconnects.
struct InFlightGuard<'a> {
    state: &'a EntryState,
    request_id: &'a str,
    arrival: Instant,
    ended: bool,
}

impl<'a> InFlightGuard<'a> {
    fn new(state: &'a EntryState, request_id: &'a str) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self {
            state,
            request_id,
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
            tracing::info!(request = self.request_id, held_ms, "caller disconnected");
        }
    }
}

async fn run(
    state: &Rc<EntryState>,
    parts: &Parts,
    body: Incoming,
    arrival: Instant,
    origin: RequestOrigin,
) -> Result<TargetAnswer, CallerRefusal> {
    let admitted = admit(state, parts, arrival)?;
    let mut reservation = BodyReservation::new(&state.body_budget);
    let deadline = admitted.deadline.timer_end(&state.clock);
    let body = receive_body(state, body, &mut reservation, deadline).await?;
    let service = select_service(state, &admitted);
    let fingerprint = match &body {
        OutgoingBody::Buffered(bytes) => Some(fingerprint(&admitted, parts, bytes)),
        OutgoingBody::Stream(_) => None,
    };
    if let Some(fingerprint) = &fingerprint {
        let now = state.clock.now();
        if let Some(period) = state.crash_guard.borrow().check(now, fingerprint) {
            return Err(CallerRefusal::after(RefusalReason::CrashesTargets, period));
        }
    }
    let head = OutgoingHead::new(parts, admitted.customer.as_ref());
    let request = DeliveryRequest {
        parts,
        admitted: &admitted,
        service: &service,
        head: &head,
        fingerprint,
        origin,
    };
    let mut delivery = Delivery::new(state, request);
    state
        .repeat_budget
        .borrow_mut()
        .record_request(state.clock.now(), &service);
    let result = delivery.deliver(body).await;
    if !delivery.is_handed_on() {
        let served = matches!(&result, Ok(answer) if !answer.status().is_server_error());
        let outcome = if served {
            RequestOutcome::Served
        } else {
            RequestOutcome::Lost
        };
        state.record_request_outcome(&service, outcome);
    }
    if let Ok(answer) = &result {
        let (route, status) = (admitted.route.id.as_str(), answer.status().as_u16());
        state.meters.record_answer(route, status, arrival.elapsed());
    }
    // The helper counts a request that was handed on.
    if delivery.is_handed_on() || (result.is_err() && !delivery.may_have_run()) {
        state.refund_rate(admitted.customer.as_ref());
    }
    result
}

/// Receives a body: short ones completely, as far as there is memory for them. Longer ones are passed on
/// as they arrive.
async fn receive_body(
    state: &EntryState,
    mut body: Incoming,
    reservation: &mut BodyReservation<'_>,
    deadline: Instant,
) -> Result<OutgoingBody, CallerRefusal> {
    let limit = state
        .routing
        .borrow()
        .as_ref()
        .map_or(MAX_HELD_BODY_BYTES, |table| {
            table.document().limits.max_body_bytes
        });
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > limit) {
        return Err(RefusalReason::BodyTooLarge.into());
    }
    if body.is_end_stream() {
        return Ok(OutgoingBody::Buffered(Bytes::new()));
    }
    if declared_length.is_some_and(|length| length > MAX_HELD_BODY_BYTES) {
        let stream = RequestBody::stream(body, ByteSize(limit));
        return Ok(OutgoingBody::Stream(stream));
    }
    let max_bytes = limit.min(MAX_HELD_BODY_BYTES * 8);
    let max_held_bytes = state.settings().machine.max_held_body_bytes();
    let collected = collect_body(&mut body, |bytes| {
        bytes as u64 <= max_bytes && reservation.grow_to(bytes, max_held_bytes)
    });
    match tokio::time::timeout_at(deadline.into(), collected).await {
        Ok(Ok(CollectedBody::Whole(bytes))) => Ok(OutgoingBody::Buffered(bytes)),
        Ok(Ok(CollectedBody::Start(start))) if start.len() as u64 > limit => {
            Err(RefusalReason::BodyTooLarge.into())
        }
        Ok(Ok(CollectedBody::Start(start))) => {
            tracing::info!(
                bytes = start.len(),
                held_bytes = state.body_budget.held_bytes(),
                "body passed on as it arrives"
            );
            let stream = RequestBody::stream_from(start, body, ByteSize(limit));
            Ok(OutgoingBody::Stream(stream))
        }
        // The caller disconnected or stalled; nothing was sent to a target.
        Ok(Err(_)) | Err(_) => Err(RefusalReason::BadRequest.into()),
    }
}

fn select_service(state: &EntryState, admitted: &AdmittedRequest) -> ServiceId {
    let destinations = &admitted.route.destinations;
    let index = match destinations.as_slice() {
        [_] => 0,
        _ => {
            let mut splits = state.splits.borrow_mut();
            let split = splits.entry(admitted.route.id.clone()).or_default();
            split.next(destinations)
        }
    };
    destinations[index].service.clone()
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
