//! The answers to callers: refusals by this node and answers passed on from targets.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_platform::header_names::retry_after_value;
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};

use crate::caller_listener::DrainGuard;
use crate::streamed_body::{StreamError, StreamedBody};
use crate::target_call::TargetAnswer;

/// The reasons why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request is ambiguous or malformed.
    BadRequest,
    /// The key is missing, or no customer has it.
    UnknownKey,
    /// No route of the host matches the path.
    UnknownRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The customer exceeds its rate limit.
    RateExceeded,
    /// The node has no configuration yet.
    NotConfigured,
    /// Peers have had a newer configuration for too long.
    OutdatedConfiguration,
    /// Changes of targets have been missing for too long to send a request that may run only once.
    OutdatedTargets,
    /// No target accepts requests.
    NoTarget,
    /// All targets of the service are in data centres that operators evacuate.
    Evacuated,
    /// This process may end before the request's deadline; other nodes serve.
    Stopping,
    /// The service is too busy to answer the request in time.
    Overloaded,
    /// All targets have limits that leave no room for the request soon.
    TargetsLimited,
    /// All targets have asked this node for some time without requests.
    TargetsResting,
    /// The request has crashed several targets.
    CrashesTargets,
    /// The connection to the target or its answer failed; the request may have run.
    TargetBroke,
    /// No answer arrived in time; the request may have run.
    TargetTimeout,
}

impl RefusalReason {
    /// Returns the name of the reason in answers, log lines and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownKey => "unknown-key",
            Self::UnknownRoute => "unknown-route",
            Self::BodyTooLarge => "body-too-large",
            Self::RateExceeded => "rate-exceeded",
            Self::NotConfigured => "not-configured",
            Self::OutdatedConfiguration => "outdated-configuration",
            Self::OutdatedTargets => "outdated-targets",
            Self::NoTarget => "no-target",
            Self::Evacuated => "evacuated",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::TargetsLimited => "targets-limited",
            Self::TargetsResting => "targets-resting",
            Self::CrashesTargets => "crashes-targets",
            Self::TargetBroke => "target-broke",
            Self::TargetTimeout => "target-timeout",
        }
    }

    /// Returns the status. Requests that may have run get 502 or 504, which do not promise that the
    /// request has not run.
    const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::NotConfigured
            | Self::OutdatedConfiguration
            | Self::OutdatedTargets
            | Self::NoTarget
            | Self::Evacuated
            | Self::Stopping
            | Self::Overloaded
            | Self::TargetsLimited
            | Self::TargetsResting
            | Self::CrashesTargets => StatusCode::SERVICE_UNAVAILABLE,
            Self::TargetBroke => StatusCode::BAD_GATEWAY,
            Self::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The refusal of a request, or its end without a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time after which a retry by the caller may succeed.
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
    /// Makes a refusal that states when the caller may retry.
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
    /// The complete body.
    Buffered(Option<Bytes>),
    /// A target's body that is passed on while it arrives.
    Stream(StreamedBody),
    /// The body of an answer to a node that handed the request on.
    HandedOn {
        /// The body.
        body: Box<Self>,
        /// Makes a planned stop wait until the body was sent.
        drain_guard: DrainGuard,
    },
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(body) => Pin::new(body).poll_frame(cx),
            Self::HandedOn { body, .. } => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream(body) => body.is_end_stream(),
            Self::HandedOn { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(body) => body.size_hint(),
            Self::HandedOn { body, .. } => body.size_hint(),
        }
    }
}

/// Makes the HTTP answer of a refusal.
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

/// Makes the answer that passes on a target's answer.
pub fn target_answer(answer: TargetAnswer) -> Response<CallerBody> {
    match answer {
        TargetAnswer::Buffered(response) => {
            let (mut parts, bytes) = response.into_parts();
            parts.headers.remove(CONTENT_LENGTH);
            let body = CallerBody::Buffered((!bytes.is_empty()).then_some(bytes));
            Response::from_parts(parts, body)
        }
        TargetAnswer::Stream(response) => response.map(CallerBody::Stream),
    }
}
