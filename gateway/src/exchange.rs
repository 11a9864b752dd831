//! Serves one request: checks its key and route, limits its rate, calls a target and answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_lib::config::{Idempotence, Route, RouteAccess};
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::key_table::KeyStatus;
use damaskloom_lib::outcome::{Reason, Refusal};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::body_stream::{
    AnswerBody, AnswerStream, BodyError, MAX_BUFFERED_BODY_BYTES, RequestBody, collect_body,
};
use crate::caller_connection::{CallerConnection, FramingVerdict};
use crate::claimed_call::{ClaimedCall, claimed_id, unclaimed_refusal};
use crate::directory_answer::{DIRECTORY_PATH, answer_directory};
use crate::forward::{AttemptError, LOAD_HEADER, OutgoingHead, TargetAnswer};
use crate::gateway::GatewayState;
use crate::key_removal::remove_key;
use crate::refusal_answer::refusal_answer;
use crate::request_check::check_request;
use crate::service_call::{CallBody, CallOutcome, ServiceCall};

/// The longest time between two frames of a request body.
const BODY_STALL_TIMEOUT_MS: u64 = 5_000;

/// The route and the customer of a request.
#[derive(Clone, Debug)]
pub struct RequestScope {
    /// The route that matched.
    pub route: Arc<Route>,
    /// The customer that the request's key belongs to; `None` on open routes without a key.
    pub customer: Option<CustomerId>,
}

/// Serves a caller's request.
pub async fn serve(
    state: &Arc<GatewayState>,
    connection: &Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let framing = connection.check_framing();
    let mut response = match framing {
        FramingVerdict::Ambiguous => refuse(state, Refusal::not_run(Reason::BadRequest)),
        FramingVerdict::Clear | FramingVerdict::LastRequest => {
            serve_framed(state, connection, request).await
        }
    };
    if framing != FramingVerdict::Clear {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(state: &GatewayState, refusal: Refusal) -> Response<AnswerBody> {
    state.meters.refused(&refusal);
    refusal_answer(refusal)
}

async fn serve_framed(
    state: &Arc<GatewayState>,
    connection: &Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrival = Instant::now();
    let (mut parts, body) = request.into_parts();
    let scope = match admit_head(state, connection, &mut parts) {
        Ok(scope) => scope,
        Err(refusal) => return refuse(state, refusal),
    };
    if parts.uri.path() == DIRECTORY_PATH {
        return answer_directory(state, &scope, connection.peer());
    }
    match run(state, &scope, &parts, body, arrival).await {
        Ok(response) => response,
        Err(refusal) => {
            state.record_refusal(&scope, &refusal);
            refusal_answer(refusal)
        }
    }
}

/// Checks the head, removes the key from it and finds the route and the customer.
fn admit_head(
    state: &GatewayState,
    connection: &CallerConnection,
    parts: &mut Parts,
) -> Result<RequestScope, Refusal> {
    check_request(parts).map_err(Refusal::not_run)?;
    let is_directory = parts.uri.path() == DIRECTORY_PATH;
    let key = remove_key(parts, &state.settings.key_places).map_err(Refusal::not_run)?;
    let route = if is_directory {
        crate::directory_answer::requested_path(parts.uri.query())
            .and_then(|path| state.config.route(&path))
    } else {
        state.config.route(parts.uri.path())
    };
    let route = route.ok_or(Refusal::not_run(Reason::RouteUnknown))?;
    let digest = key.map(|key| key.digest());
    let customer = admit_key(state, connection, &route, digest.as_ref())
        .map_err(|reason| key_refusal(&route, parts, reason))?;
    if route.access == RouteAccess::Keyed && !state.may_serve_keyed() {
        return Err(unclaimed_refusal(&route, &parts.headers, Reason::NodeStale));
    }
    Ok(RequestScope { route, customer })
}

/// Finds the customer of a key and records the key for the connection.
fn admit_key(
    state: &GatewayState,
    connection: &CallerConnection,
    route: &Route,
    digest: Option<&KeyDigest>,
) -> Result<Option<CustomerId>, Reason> {
    let customer = check_key(state, route.access, digest)?;
    let (Some(_), Some(digest)) = (&customer, digest) else {
        return Ok(customer);
    };
    connection.record_key(*digest);
    // A withdrawal before the key was recorded did not close this connection, so check again.
    check_key(state, route.access, Some(digest))
}

/// Makes the refusal of a request because of its key.
///
/// The caller may be retrying a request that ran while the key was valid, so a refusal for an
/// invalid key reports the execution as unknown. A request without a key was never admitted.
fn key_refusal(route: &Route, parts: &Parts, reason: Reason) -> Refusal {
    match reason {
        Reason::KeyWithdrawn | Reason::KeyUnknown => {
            unclaimed_refusal(route, &parts.headers, reason)
        }
        _ => Refusal::not_run(reason),
    }
}

fn check_key(
    state: &GatewayState,
    access: RouteAccess,
    digest: Option<&KeyDigest>,
) -> Result<Option<CustomerId>, Reason> {
    let status = digest.map(|digest| state.config.key_status(digest));
    match (access, status) {
        (_, Some(KeyStatus::Granted(customer))) => Ok(Some(customer)),
        (RouteAccess::Open, _) => Ok(None),
        (RouteAccess::Keyed, None) => Err(Reason::KeyMissing),
        (RouteAccess::Keyed, Some(KeyStatus::Withdrawn)) => Err(Reason::KeyWithdrawn),
        (RouteAccess::Keyed, Some(KeyStatus::Unknown)) => Err(Reason::KeyUnknown),
    }
}

async fn run(
    state: &Arc<GatewayState>,
    scope: &RequestScope,
    parts: &Parts,
    body: Incoming,
    arrival: Instant,
) -> Result<Response<AnswerBody>, Refusal> {
    let deadline = arrival + Duration::from_millis(scope.route.deadline_ms);
    let length = content_length(parts);
    if length.is_some_and(|length| length > scope.route.max_body.0) {
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    if let Some(id) = claimed_id(&scope.route, &parts.headers)? {
        let call = ClaimedCall::receive(state, scope, id, parts, body, arrival);
        return call.await?.run().await;
    }
    if let Some(customer) = &scope.customer {
        state.rates.admit(customer, deadline).await?;
    }
    let body = receive_body(scope, body, length).await?;
    let head = OutgoingHead::new(parts, &scope.route, scope.customer.as_ref());
    let call = ServiceCall {
        state,
        scope,
        parts,
        head: &head,
        deadline,
        idempotent: scope.route.idempotence == Idempotence::Idempotent,
    };
    match call.run(body).await {
        CallOutcome::Answer(answer, target) => {
            state.record_answer(scope, &target, answer.status(), arrival);
            Ok(caller_response(answer))
        }
        CallOutcome::Refused(refusal) => Err(refusal),
    }
}

fn content_length(parts: &Parts) -> Option<u64> {
    parts
        .headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Buffers small bodies, so that a slow caller occupies no slot and a retry can send them again.
async fn receive_body(
    scope: &RequestScope,
    body: Incoming,
    length: Option<u64>,
) -> Result<CallBody, Refusal> {
    use http_body::Body;
    if body.is_end_stream() {
        return Ok(CallBody::Buffered(Bytes::new()));
    }
    if length.is_none_or(|length| length > MAX_BUFFERED_BODY_BYTES) {
        return Ok(CallBody::Stream(RequestBody::stream(
            body,
            scope.route.max_body,
        )));
    }
    let stall = Duration::from_millis(BODY_STALL_TIMEOUT_MS);
    match collect_body(body, scope.route.max_body, stall).await {
        Ok(bytes) => Ok(CallBody::Buffered(bytes)),
        Err(BodyError::TooLarge { .. }) => Err(Refusal::not_run(Reason::TooLarge)),
        Err(BodyError::Truncated | BodyError::Stalled) => Err(Refusal::not_run(Reason::BadRequest)),
    }
}

/// Converts a target's answer to the response for the caller.
pub(crate) fn caller_response(answer: TargetAnswer) -> Response<AnswerBody> {
    match answer {
        TargetAnswer::Buffered(response) => {
            let (mut parts, bytes) = response.into_parts();
            parts.headers.remove(LOAD_HEADER);
            Response::from_parts(parts, AnswerBody::buffered(bytes))
        }
        TargetAnswer::Stream(response, lease) => {
            let (mut parts, body) = response.into_parts();
            parts.headers.remove(LOAD_HEADER);
            Response::from_parts(parts, AnswerBody::Stream(AnswerStream::start(body, lease)))
        }
    }
}

/// Returns the refusal for a request whose last attempt failed.
pub fn attempt_refusal(error: AttemptError) -> Refusal {
    match error {
        AttemptError::Busy => Refusal::not_run(Reason::DeadlineUnmeetable),
        AttemptError::Unreachable | AttemptError::StaleConnection => {
            Refusal::not_run(Reason::TargetUnreachable)
        }
        // This attempt did not run, but the claim's owner may have dropped the record of an earlier
        // one that did.
        AttemptError::ClaimExpired => Refusal::unknown(Reason::ClaimUnavailable),
        AttemptError::Shed => Refusal::not_run(Reason::TargetShed),
        AttemptError::Broken => Refusal::unknown(Reason::TargetBroken),
        AttemptError::Timeout => Refusal::unknown(Reason::TargetTimeout),
        AttemptError::CallerBody => Refusal::unknown(Reason::BadRequest),
    }
}
