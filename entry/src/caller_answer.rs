//! The answers that callers get.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_platform::header_names::retry_after_value;
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::target_call::TargetAnswer;
use crate::target_pool::ConnectionLease;

/// Why a request ends without an answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request is ambiguous or malformed.
    BadRequest,
    /// No key, or one that no customer holds.
    UnknownKey,
    /// No route of the host begins the path.
    UnknownRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The customer is over its rate.
    RateExceeded,
    /// The node has no configuration yet.
    NotConfigured,
    /// No target takes work.
    NoTarget,
    /// The service is too busy for the request to be answered in time.
    Overloaded,
    /// The request took several targets down.
    CrashesTargets,
    /// The connection to the target or its answer broke; the request may have run.
    TargetBroke,
    /// No answer came in time; the request may have run.
    TargetTimeout,
}

impl RefusalReason {
    /// Names the reason in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownKey => "unknown-key",
            Self::UnknownRoute => "unknown-route",
            Self::BodyTooLarge => "body-too-large",
            Self::RateExceeded => "rate-exceeded",
            Self::NotConfigured => "not-configured",
            Self::NoTarget => "no-target",
            Self::Overloaded => "overloaded",
            Self::CrashesTargets => "crashes-targets",
            Self::TargetBroke => "target-broke",
            Self::TargetTimeout => "target-timeout",
        }
    }

    /// Returns the status; only some of them promise that the request has not run.
    const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::NotConfigured | Self::NoTarget | Self::Overloaded | Self::CrashesTargets => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TargetBroke => StatusCode::BAD_GATEWAY,
            Self::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A request that ends without an answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// The time after which the request may do better.
    pub retry_after: Option<Duration>,
}

impl From<RefusalReason> for CallerRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl CallerRefusal {
    /// Tells the caller when to come back.
    pub fn after(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum CallerBody {
    /// The whole body.
    Buffered(Option<Bytes>),
    /// A target's body as it comes; the connection closes if it is dropped before its end.
    Stream(Incoming, Option<ConnectionLease>),
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(body, lease) => {
                let frame = Pin::new(body).poll_frame(cx);
                if let Poll::Ready(None) = frame
                    && let Some(lease) = lease.take()
                {
                    lease.release(None);
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(body, _) => body.size_hint(),
        }
    }
}

/// Makes the answer for a refusal.
pub fn refusal_answer(refusal: CallerRefusal) -> Response<CallerBody> {
    let text = Bytes::from_static(refusal.reason.label().as_bytes());
    let mut response = Response::new(CallerBody::Buffered(Some(text)));
    *response.status_mut() = refusal.reason.status();
    if let Some(period) = refusal.retry_after {
        let value = retry_after_value(period);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Passes a target's answer on.
pub fn target_answer(answer: TargetAnswer) -> Response<CallerBody> {
    match answer {
        TargetAnswer::Buffered(response) => {
            let (mut parts, bytes) = response.into_parts();
            parts.headers.remove(CONTENT_LENGTH);
            let body = CallerBody::Buffered((!bytes.is_empty()).then_some(bytes));
            Response::from_parts(parts, body)
        }
        TargetAnswer::Stream(response, lease) => {
            response.map(|body| CallerBody::Stream(body, Some(lease)))
        }
    }
}
