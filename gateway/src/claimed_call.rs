//! Serves a non-idempotent request with a request id: claims the id, applies the rate limit, calls
//! a target and retains the answer.
//!
//! The claim is requested from its owner before anything else may refuse the request, so that the
//! caller's retry of a request that ran is never refused as not run. The call runs in a task of its
//! own: a caller that loses its connection can get the answer by a retry. See
//! [docs/design/at-most-once.md](../../docs/design/at-most-once.md).

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_lib::claim_message::{
    BodyFingerprint, ClaimKey, ClaimResult, RequestId, RetainedAnswer, RetainedHeader,
};
use damaskloom_lib::config::{Idempotence, Route};
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::outcome::{Execution, Reason, Refusal};
use damaskloom_lib::units::ByteSize;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, LOCATION};
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Incoming;

use crate::body_stream::{AnswerBody, BodyError, collect_body};
use crate::claim_guard::ClaimGuard;
use crate::claim_registry::{ClaimVerdict, claim_unavailable};
use crate::exchange::{RequestScope, caller_response};
use crate::forward::{OutgoingHead, TargetAnswer};
use crate::gateway::GatewayState;
use crate::service_call::{CallBody, CallOutcome, ServiceCall};

/// The largest body of a claimed request, in bytes; it is buffered since the claim includes its
/// digest.
const MAX_BODY_BYTES: u64 = 1 << 20;
/// The longest time between two frames of a request body.
const BODY_STALL_TIMEOUT_MS: u64 = 5_000;
/// The largest answer that is retained for retries, in bytes.
const MAX_RETAINED_BYTES: usize = 16 << 10;
/// The headers that a caller needs to read a retained answer.
const RETAINED_HEADERS: [HeaderName; 3] = [CONTENT_TYPE, CONTENT_ENCODING, LOCATION];
/// The customer id under which requests without a key are claimed.
const OPEN_CUSTOMER: &str = "open";

/// A request whose id must be claimed before it runs.
#[derive(Debug)]
pub struct ClaimedCall {
    state: Arc<GatewayState>,
    scope: RequestScope,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    parts: Parts,
    body: Bytes,
    arrival: Instant,
    deadline: Instant,
}

/// Returns the request id that must be claimed; `None` if the request may run more than once, or if
/// it has no id by which a retry could be recognised.
///
/// # Errors
///
/// Refuses malformed ids, and requests with two different ids; no request can have run with these.
pub fn claimed_id(route: &Route, headers: &HeaderMap) -> Result<Option<RequestId>, Refusal> {
    if route.idempotence == Idempotence::Idempotent {
        return Ok(None);
    }
    let Some(name) = &route.request_id_header else {
        return Ok(None);
    };
    let mut values = headers.get_all(name.as_str()).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|value| value != first) {
        return Err(Refusal::not_run(Reason::BadRequest));
    }
    let text = first.to_str().unwrap_or_default().to_owned();
    let id = RequestId::try_from(text).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
    Ok(Some(id))
}

/// Makes the refusal of a request whose claim was not requested: an earlier attempt may have run.
pub fn unclaimed_refusal(route: &Route, headers: &HeaderMap, reason: Reason) -> Refusal {
    match claimed_id(route, headers) {
        Ok(Some(_)) => Refusal::unknown(reason),
        Ok(None) | Err(_) => Refusal::not_run(reason),
    }
}

impl ClaimedCall {
    /// Receives the complete request.
    ///
    /// # Errors
    ///
    /// Refuses bodies that are too large, are truncated, or do not arrive in time.
    pub async fn receive(
        state: &Arc<GatewayState>,
        scope: &RequestScope,
        id: RequestId,
        parts: &Parts,
        body: Incoming,
        arrival: Instant,
    ) -> Result<Self, Refusal> {
        let deadline = arrival + Duration::from_millis(scope.route.deadline_ms);
        let limit = ByteSize(scope.route.max_body.0.min(MAX_BODY_BYTES));
        let body = receive_body(body, limit, deadline).await?;
        let customer = scope.customer.clone();
        let uri = parts.uri.path_and_query();
        let fingerprint = BodyFingerprint::of([
            scope.route.id.as_bytes(),
            parts.method.as_str().as_bytes(),
            uri.map_or("/", |uri| uri.as_str()).as_bytes(),
            &body,
        ]);
        Ok(Self {
            state: Arc::clone(state),
            scope: scope.clone(),
            key: ClaimKey {
                customer: customer.unwrap_or_else(open_customer),
                request_id: id,
            },
            fingerprint,
            parts: parts.clone(),
            body,
            arrival,
            deadline,
        })
    }

    /// Runs the request, at most once over all retries of its caller.
    ///
    /// # Errors
    ///
    /// The refusal's execution is `unknown` unless no request with this id can have run.
    pub async fn run(self) -> Result<Response<AnswerBody>, Refusal> {
        let run = tokio::spawn(self.claim_and_run());
        run.await.unwrap_or_else(|_| Err(claim_unavailable()))
    }

    async fn claim_and_run(self) -> Result<Response<AnswerBody>, Refusal> {
        let claims = &self.state.claims;
        let claim = claims.claim(self.key.clone(), self.fingerprint, self.deadline);
        let guard = match claim.await? {
            ClaimVerdict::Run(guard) => guard,
            ClaimVerdict::Answer(answer) => return Ok(self.repeat_answer(answer)),
        };
        // On an error the guard is dropped, which releases the claim: nothing was sent.
        if let Some(customer) = &self.scope.customer {
            self.state.rates.admit(customer, self.deadline).await?;
        }
        self.call_service(guard).await
    }

    /// Answers with a retained answer.
    ///
    /// It is counted as an answer, but not towards the service level, where it was counted before.
    fn repeat_answer(&self, answer: RetainedAnswer) -> Response<AnswerBody> {
        let service = self.scope.route.service.as_str();
        let meters = &self.state.meters;
        meters.answered(service, answer.status, self.arrival.elapsed());
        retained_response(answer)
    }

    async fn call_service(self, guard: Arc<ClaimGuard>) -> Result<Response<AnswerBody>, Refusal> {
        let head = OutgoingHead::new(&self.parts, &self.scope.route, self.scope.customer.as_ref());
        let head = head.with_claim(Arc::clone(&guard));
        let call = ServiceCall {
            state: &self.state,
            scope: &self.scope,
            parts: &self.parts,
            head: &head,
            deadline: self.deadline,
            idempotent: false,
        };
        match call.run(CallBody::Buffered(self.body)).await {
            CallOutcome::Answer(answer, target) => {
                guard.end(claim_result(&answer));
                let status = answer.status();
                self.state
                    .record_answer(&self.scope, &target, status, self.arrival);
                Ok(caller_response(answer))
            }
            CallOutcome::Refused(refusal) => {
                guard.end(match refusal.execution {
                    Execution::NotRun => ClaimResult::NotRun,
                    Execution::Ran | Execution::Unknown => ClaimResult::Unknown,
                });
                Err(refusal)
            }
        }
    }
}

async fn receive_body(
    body: Incoming,
    limit: ByteSize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let stall = Duration::from_millis(BODY_STALL_TIMEOUT_MS);
    let collect = collect_body(body, limit, stall);
    match tokio::time::timeout_at(deadline.into(), collect).await {
        Ok(Ok(bytes)) => Ok(bytes),
        // No request with this content can have been admitted.
        Ok(Err(BodyError::TooLarge { .. })) => Err(Refusal::not_run(Reason::TooLarge)),
        // This may be the retry of a request that ran.
        Ok(Err(BodyError::Truncated | BodyError::Stalled)) | Err(_) => {
            Err(Refusal::unknown(Reason::BadRequest))
        }
    }
}

fn open_customer() -> CustomerId {
    OPEN_CUSTOMER
        .parse()
        .expect("the name is a valid identifier")
}

/// Returns the result that retries get; an answer that is large or streamed is not retained.
fn claim_result(answer: &TargetAnswer) -> ClaimResult {
    let TargetAnswer::Buffered(response) = answer else {
        return ClaimResult::Unknown;
    };
    let headers = RETAINED_HEADERS.iter().filter_map(|name| {
        let value = response.headers().get(name)?;
        Some(RetainedHeader {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
    });
    let retained = RetainedAnswer {
        status: response.status().as_u16(),
        headers: headers.collect(),
        body: response.body().clone(),
    };
    match retained.size() <= MAX_RETAINED_BYTES {
        true => ClaimResult::Answered(retained),
        false => ClaimResult::Unknown,
    }
}

fn retained_response(answer: RetainedAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(answer.body));
    // The values were received from a target, but a peer that sends invalid ones must not cause a
    // panic.
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
