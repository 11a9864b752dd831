//! Makes one attempt of a request at one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_gateway::answer_check::is_final_status;
use damaskloom_gateway::body_stream::RequestBody;
use damaskloom_gateway::hop_headers::remove_hop_headers;
use damaskloom_lib::attempt_failure::AttemptFailure;
use damaskloom_lib::balanced_target::ReportedLoad;
use damaskloom_lib::ids::{CustomerId, TargetId};
use damaskloom_lib::target_limits::LimitNotice;
use damaskloom_lib::target_notices::{RestNotice, TargetNotice};
use damaskloom_lib::units::ByteSize;
use damaskloom_platform::header_names::{
    ANSWER_SIGNATURE, CUSTOMER, EXPECTED_TARGET, FLEET_FIELDS, NOT_RUN, REQUEST_ID, TIME_LEFT_MS,
    idle_seconds, is_target_leaving, named_limit, reported_load, requested_rest, warmup_left,
};
use http::header::{
    AUTHORIZATION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderValue,
};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::body_collector::{CollectedBody, collect_body};
use crate::hand_on::HAND_ON_HEADER;
use crate::streamed_body::StreamedBody;
use crate::target_pool::{ConnectionLease, TargetPool};

/// Answers up to this size are buffered before they are passed on, so that a truncated one can
/// still be replaced by a retry; larger ones are streamed.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;

/// The maximum size of the body of a target's refusal that is read to reuse the connection, in bytes.
const MAX_REFUSAL_BODY_BYTES: usize = 8 << 10;
/// The time in which the body of a target's refusal must arrive for its connection to be reused. The
/// request waits for it, and the body usually comes with the head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// A target's answer: buffered if it is small, otherwise streamed.
#[derive(Debug)]
pub enum TargetAnswer {
    /// The answer is complete.
    Buffered(Response<Bytes>),
    /// The body is read from the connection while it is passed on.
    Stream(Response<StreamedBody>),
}

impl TargetAnswer {
    /// Returns the size of the body, or how much of it there is at least.
    pub fn min_body_size(&self) -> ByteSize {
        let bytes = match self {
            Self::Buffered(response) => response.body().len(),
            // Streamed answers of unknown length are longer than what is buffered.
            Self::Stream(response) => usize::try_from(response.body().size_hint().lower())
                .unwrap_or(usize::MAX)
                .max(MAX_BUFFERED_ANSWER_BYTES),
        };
        ByteSize(bytes as u64)
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Buffered(response) => response.status(),
            Self::Stream(response) => response.status(),
        }
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub struct CallResult {
    /// The answer, or why there is none.
    pub answer: Result<TargetAnswer, AttemptFailure>,
    /// What was learned besides the answer.
    pub report: CallReport,
}

/// What an attempt shows besides its answer, as far as it came.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallReport {
    /// Whether a connection was opened for the attempt.
    pub connected: bool,
    /// The load that the target reported with its answer.
    pub load: Option<ReportedLoad>,
    /// What the head of the answer says about the target.
    pub notice: TargetNotice,
}

/// The method, path and headers that all attempts of a request share.
#[derive(Debug)]
pub struct OutgoingHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl OutgoingHead {
    /// Makes the head for targets, without the caller's key, hop-by-hop headers and headers that
    /// only the fleet may set.
    pub fn new(parts: &Parts, customer: Option<&CustomerId>) -> Self {
        let mut headers = parts.headers.clone();
        remove_hop_headers(&mut headers);
        for name in [AUTHORIZATION, CONTENT_LENGTH, EXPECT] {
            headers.remove(name);
        }
        headers.remove(HAND_ON_HEADER);
        for name in FLEET_FIELDS {
            headers.remove(name);
        }
        if let Some(customer) = customer {
            let value = HeaderValue::from_bytes(customer.as_bytes());
            headers.insert(CUSTOMER, value.expect("ids are valid header values"));
        }
        let uri = parts
            .uri
            .path_and_query()
            .map_or_else(|| Uri::from_static("/"), |path| path.clone().into());
        Self {
            method: parts.method.clone(),
            uri,
            headers,
        }
    }

    fn request(
        &self,
        target: &TargetId,
        deadline: Instant,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let time_left = deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIME_LEFT_MS, left_ms.into());
        let target = HeaderValue::from_bytes(target.as_bytes());
        headers.insert(
            EXPECTED_TARGET,
            target.expect("ids are valid header values"),
        );
        request
    }

    /// Returns the caller's id of the request for log lines; `-` if there is none.
    fn request_id(&self) -> &str {
        let id = self.headers.get(REQUEST_ID);
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Returns whether an answer echoes this request's id.
    fn is_echoed_by(&self, answer: &HeaderMap) -> bool {
        self.headers.get(REQUEST_ID) == answer.get(REQUEST_ID)
    }
}

/// The target of an attempt.
pub struct CallTarget<'a> {
    /// The target.
    pub id: &'a TargetId,
    /// The pool of connections to it.
    pub pool: Rc<TargetPool>,
    /// The number of connections that this node may open to it.
    pub connections: u32,
    /// Returns whether the target accepts requests of this node now.
    pub accepts: &'a dyn Fn() -> bool,
}

/// Sends the request to a target and waits until the deadline for its answer.
pub async fn call(
    target: &CallTarget<'_>,
    head: &OutgoingHead,
    body: RequestBody,
    deadline: Instant,
) -> CallResult {
    let mut report = CallReport::default();
    let exchange = exchange(target, head, body, deadline, &mut report);
    let answer = tokio::time::timeout_at(deadline.into(), exchange).await;
    CallResult {
        answer: answer.unwrap_or(Err(AttemptFailure::TimedOut)),
        report,
    }
}

async fn exchange(
    target: &CallTarget<'_>,
    head: &OutgoingHead,
    body: RequestBody,
    deadline: Instant,
    report: &mut CallReport,
) -> Result<TargetAnswer, AttemptFailure> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let mut lease = target
        .pool
        .acquire(target.connections, time_left)
        .await
        .map_err(AttemptFailure::from)?;
    report.connected = lease.is_fresh();
    // The target may have begun to leave while the request waited for a connection.
    if !(target.accepts)() {
        lease.release(None);
        return Err(AttemptFailure::Withdrawn);
    }
    let request = head.request(target.id, deadline, body);
    let response = lease.sender().try_send_request(request).await;
    // The library returns the request only if no byte of it was written.
    let response = response.map_err(|mut error| match error.take_message() {
        Some(_) => AttemptFailure::Stale,
        None => AttemptFailure::Broken,
    })?;
    report.load = reported_load(response.headers());
    report.notice = target_notice(head, target.id, &response);
    receive_answer(head, response, lease, deadline).await
}

/// Reads what an answer says about its target. An answer to another request or of another target says
/// nothing, and neither does a success without its signature.
fn target_notice(
    head: &OutgoingHead,
    target: &TargetId,
    response: &Response<Incoming>,
) -> TargetNotice {
    let (status, headers) = (response.status(), response.headers());
    if status == StatusCode::MISDIRECTED_REQUEST || !head.is_echoed_by(headers) {
        return TargetNotice::default();
    }
    let is_own = !status.is_success() || headers.contains_key(ANSWER_SIGNATURE);
    TargetNotice {
        limit: limit_notice(target, headers),
        is_leaving: is_own && is_target_leaving(headers),
        rest: rest_notice(target, status, headers),
        warmup_left: warmup_left(headers).filter(|_| is_own),
        is_staying: status.is_success() && is_own && !is_target_leaving(headers),
    }
}

/// Reads what an answer says about rest; any other answer than a refusal asks for none.
fn rest_notice(target: &TargetId, status: StatusCode, headers: &HeaderMap) -> RestNotice {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return RestNotice::NotAsked;
    }
    match requested_rest(headers) {
        Ok(Some(rest)) => RestNotice::Asked(rest),
        Ok(None) => RestNotice::Unknown,
        Err(error) => {
            tracing::warn!(id = %target, %error, "invalid rest of a target ignored");
            RestNotice::Unknown
        }
    }
}

/// Reads what an answer says about its target's limit. Without its signature, an answer may be the
/// target's and spoilt on the way, so it does not show that there is no limit.
fn limit_notice(target: &TargetId, headers: &HeaderMap) -> LimitNotice {
    match named_limit(headers) {
        Ok(Some(rate)) => LimitNotice::Limited(rate),
        Ok(None) if headers.contains_key(ANSWER_SIGNATURE) => LimitNotice::Unlimited,
        Ok(None) => LimitNotice::Unknown,
        Err(error) => {
            tracing::warn!(id = %target, %error, "invalid limit of a target ignored");
            LimitNotice::Unknown
        }
    }
}

async fn receive_answer(
    head: &OutgoingHead,
    response: Response<Incoming>,
    lease: ConnectionLease,
    deadline: Instant,
) -> Result<TargetAnswer, AttemptFailure> {
    let headers = response.headers();
    // A faulty target may repeat its refusal of an earlier request.
    if !head.is_echoed_by(headers) {
        return Err(AttemptFailure::InvalidAnswer);
    }
    // What such an answer says about its request, its target's refusal included, is not believed.
    if !is_final_status(response.status()) {
        return Err(AttemptFailure::InvalidAnswer);
    }
    if let Some(error) = refusal_error(response.status(), headers) {
        // The connection can be reused once a short body is read; otherwise it closes.
        let idle = idle_time(headers);
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BODY_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await {
            lease.release(idle);
        }
        return Err(error);
    }
    let is_spoilt = response.status().is_success()
        && (!headers.contains_key(ANSWER_SIGNATURE) || headers.contains_key(CONTENT_ENCODING));
    if is_spoilt {
        return Err(AttemptFailure::InvalidAnswer);
    }
    receive_body(head.request_id(), response, lease, deadline).await
}

/// Receives the body of an answer: small ones completely, larger ones are streamed.
///
/// # Errors
///
/// Fails if the body ends early, or has no length and is too large.
pub async fn receive_body(
    request_id: &str,
    mut response: Response<Incoming>,
    lease: ConnectionLease,
    deadline: Instant,
) -> Result<TargetAnswer, AttemptFailure> {
    let idle = idle_time(response.headers());
    remove_hop_headers(response.headers_mut());
    let length = response.body().size_hint().exact();
    if length.is_some_and(|length| length > MAX_BUFFERED_ANSWER_BYTES as u64) {
        let stream = response.map(|body| StreamedBody::new(body, lease, deadline, request_id));
        return Ok(TargetAnswer::Stream(stream));
    }
    let (parts, mut body) = response.into_parts();
    let collected = collect_body(&mut body, |bytes| bytes <= MAX_BUFFERED_ANSWER_BYTES).await;
    let Ok(CollectedBody::Whole(bytes)) = collected else {
        return Err(AttemptFailure::Broken);
    };
    lease.release(idle);
    Ok(TargetAnswer::Buffered(Response::from_parts(parts, bytes)))
}

fn refusal_error(status: StatusCode, headers: &HeaderMap) -> Option<AttemptFailure> {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Some(AttemptFailure::WrongTarget),
        _ if headers.contains_key(NOT_RUN) => Some(AttemptFailure::Full),
        _ => None,
    }
}

fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    idle_seconds(headers).map(Duration::from_secs)
}
