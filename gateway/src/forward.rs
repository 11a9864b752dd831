//! Sends a request to one target and receives its answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use damaskloom_lib::config::{Route, Target};
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::units::ByteSize;
use http::header::{
    CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http::request::Parts;
use http::{Method, Request, Response, Uri, Version};
use http_body::Body;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;

use crate::answer_check::is_final_status;
use crate::body_stream::{MAX_BUFFERED_BODY_BYTES, RequestBody, collect_body};
use crate::claim_guard::ClaimGuard;
use crate::hop_headers::remove_hop_headers;
use crate::slot_lease::SlotLease;
use crate::target_pool::{AcquireError, ConnectionLease, TargetPool};

/// Header with the customer's id, which the target receives instead of the key.
pub const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("damaskloom-customer");
/// Header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("damaskloom-deadline-ms");
/// Header by which a target states that it did not run the request.
pub const SHED_HEADER: HeaderName = HeaderName::from_static("damaskloom-shed");
/// Header by which a target reports its load, as `in-flight/slots`.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("damaskloom-load");

const RESERVED_PREFIX: &str = "damaskloom-";

/// The way in which an attempt failed, which also decides whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// No slot or connection is free; nothing was sent.
    Busy,
    /// The target accepted no connection; nothing was sent.
    Unreachable,
    /// The claim has expired; nothing was sent.
    ClaimExpired,
    /// A pooled connection was closed before anything was sent on it.
    StaleConnection,
    /// The target stated that it did not run the request.
    Shed,
    /// The connection failed, or the answer was invalid, after bytes were sent.
    Broken,
    /// No complete answer arrived before the deadline.
    Timeout,
    /// The caller's request body failed after bytes were sent.
    CallerBody,
}

impl AttemptError {
    /// Returns whether the target certainly did not run the request.
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::Unreachable
            | Self::ClaimExpired
            | Self::StaleConnection
            | Self::Shed => true,
            Self::Broken | Self::Timeout | Self::CallerBody => false,
        }
    }
}

/// An answer of a target: buffered if it is small, else streamed.
#[derive(Debug)]
pub enum TargetAnswer {
    /// The answer is complete, and its connection was returned to the pool.
    Buffered(Response<Bytes>),
    /// The head has arrived; the body is still to be read.
    Stream(Response<Incoming>, ConnectionLease),
}

impl TargetAnswer {
    /// Returns the headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        match self {
            Self::Buffered(response) => response.headers(),
            Self::Stream(response, _) => response.headers(),
        }
    }

    /// Returns the numeric status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Buffered(response) => response.status().as_u16(),
            Self::Stream(response, _) => response.status().as_u16(),
        }
    }
}

/// The request head that every attempt sends.
#[derive(Debug)]
pub struct OutgoingHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    request_id: Option<(HeaderName, HeaderValue)>,
    claim: Option<Arc<ClaimGuard>>,
}

impl OutgoingHead {
    /// Makes the head for targets from a caller's head without its key.
    pub fn new(parts: &Parts, route: &Route, customer: Option<&CustomerId>) -> Self {
        let mut headers = parts.headers.clone();
        remove_hop_headers(&mut headers);
        remove_reserved_headers(&mut headers);
        for name in [CONTENT_LENGTH, EXPECT, HOST] {
            headers.remove(name);
        }
        if let Some(customer) = customer {
            let value = HeaderValue::from_bytes(customer.as_bytes());
            headers.insert(CUSTOMER_HEADER, value.expect("ids are valid header values"));
        }
        let uri = parts
            .uri
            .path_and_query()
            .map_or_else(|| Uri::from_static("/"), |path| path.clone().into());
        let request_id = route.request_id_header.as_ref().and_then(|name| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = parts.headers.get(&name)?.clone();
            Some((name, value))
        });
        Self {
            method: parts.method.clone(),
            uri,
            headers,
            request_id,
            claim: None,
        }
    }

    /// Makes every attempt check the request's claim before it sends anything.
    pub fn with_claim(mut self, claim: Arc<ClaimGuard>) -> Self {
        self.claim = Some(claim);
        self
    }

    /// Returns the caller's request id, if the route names a header for it and the caller sent it.
    pub fn request_id(&self) -> Option<&HeaderValue> {
        self.request_id.as_ref().map(|(_, value)| value)
    }

    fn request(
        &self,
        target: &Target,
        deadline: Instant,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let host = HeaderValue::from_str(&target.address.to_string());
        headers.insert(HOST, host.expect("an address is a valid header value"));
        let remaining = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        headers.insert(
            DEADLINE_HEADER,
            u64::try_from(remaining).unwrap_or(u64::MAX).into(),
        );
        request
    }

    /// Returns whether an answer carries the id of another request.
    fn answers_other_request(&self, answer: &HeaderMap) -> bool {
        self.request_id
            .as_ref()
            .and_then(|(name, value)| answer.get(name).map(|echo| echo != value))
            .unwrap_or(false)
    }
}

/// Sends the request to a target and waits for its answer until `deadline`.
///
/// # Errors
///
/// Fails if no complete and valid answer arrived; [`AttemptError::is_not_run`] returns whether the
/// request certainly did not run.
pub async fn attempt(
    pool: &Arc<TargetPool>,
    target: &Target,
    head: &OutgoingHead,
    body: RequestBody,
    deadline: Instant,
    slot: SlotLease,
) -> Result<TargetAnswer, AttemptError> {
    let exchange = send_and_receive(pool, target, head, body, deadline, slot);
    match tokio::time::timeout_at(deadline.into(), exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(AttemptError::Timeout),
    }
}

async fn send_and_receive(
    pool: &Arc<TargetPool>,
    target: &Target,
    head: &OutgoingHead,
    body: RequestBody,
    deadline: Instant,
    slot: SlotLease,
) -> Result<TargetAnswer, AttemptError> {
    let mut lease = pool.acquire(slot).await.map_err(|error| match error {
        AcquireError::LimitReached => AttemptError::Busy,
        AcquireError::Unreachable => AttemptError::Unreachable,
    })?;
    let request = head.request(target, deadline, body);
    if head.claim.as_ref().is_some_and(|claim| !claim.begin_send()) {
        return Err(AttemptError::ClaimExpired);
    }
    let response = match lease.sender().try_send_request(request).await {
        Ok(response) => response,
        Err(error) => return Err(send_error(error)),
    };
    if !is_final_status(response.status()) {
        return Err(AttemptError::Broken);
    }
    if response.headers().contains_key(SHED_HEADER) && response.status().as_u16() == 503 {
        return Err(AttemptError::Shed);
    }
    if head.answers_other_request(response.headers()) {
        return Err(AttemptError::Broken);
    }
    receive(response, lease, head.method == Method::HEAD).await
}

fn send_error(mut error: TrySendError<Request<RequestBody>>) -> AttemptError {
    // hyper returns the request only if no byte of it was written.
    if error.take_message().is_some() {
        AttemptError::StaleConnection
    } else if error.error().is_user() {
        AttemptError::CallerBody
    } else {
        AttemptError::Broken
    }
}

async fn receive(
    mut response: Response<Incoming>,
    lease: ConnectionLease,
    is_head: bool,
) -> Result<TargetAnswer, AttemptError> {
    let bodiless = is_head || matches!(response.status().as_u16(), 204 | 304);
    let chunked = response.headers().contains_key(TRANSFER_ENCODING);
    let length = response.body().size_hint().exact();
    if length.is_none() && !chunked && !bodiless {
        // Without a length, a truncated answer cannot be distinguished from a complete one.
        return Err(AttemptError::Broken);
    }
    remove_hop_headers(response.headers_mut());
    remove_reserved_headers_except_load(response.headers_mut());
    match length {
        Some(length) if length <= MAX_BUFFERED_BODY_BYTES || bodiless => {
            let (parts, body) = response.into_parts();
            let limit = ByteSize(MAX_BUFFERED_BODY_BYTES);
            // `attempt` limits the time of the whole exchange.
            let stall = std::time::Duration::MAX;
            let bytes = collect_body(body, limit, stall)
                .await
                .map_err(|_| AttemptError::Broken)?;
            lease.return_to_pool();
            Ok(TargetAnswer::Buffered(Response::from_parts(parts, bytes)))
        }
        _ => Ok(TargetAnswer::Stream(response, lease)),
    }
}

/// Removes headers that only the fleet may set, so that neither callers nor targets can forge them.
fn remove_reserved_headers(headers: &mut HeaderMap) {
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(RESERVED_PREFIX))
        .cloned()
        .collect();
    reserved
        .into_iter()
        .for_each(|name| drop(headers.remove(name)));
}

fn remove_reserved_headers_except_load(headers: &mut HeaderMap) {
    let load = headers.remove(LOAD_HEADER);
    remove_reserved_headers(headers);
    if let Some(load) = load {
        headers.insert(LOAD_HEADER, load);
    }
}
