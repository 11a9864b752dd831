//! One attempt of one request at one target.

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

use crate::body_stream::{MAX_BUFFERED_BODY_BYTES, RequestBody, collect_body};
use crate::claim_guard::ClaimGuard;
use crate::hop_headers::remove_hop_headers;
use crate::slot_lease::SlotLease;
use crate::target_pool::{AcquireError, ConnectionLease, TargetPool};

/// Names the customer to the target, in place of the key.
pub const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("damaskloom-customer");
/// Tells the target how long the caller still waits, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("damaskloom-deadline-ms");
/// A target's statement that it did not run the request.
pub const SHED_HEADER: HeaderName = HeaderName::from_static("damaskloom-shed");
/// A target's report of its load, as `in-flight/slots`.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("damaskloom-load");

const RESERVED_PREFIX: &str = "damaskloom-";

/// Says how an attempt failed, and thereby whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// No slot or connection is free; nothing was sent.
    Busy,
    /// The target accepted no connection; nothing was sent.
    Unreachable,
    /// The claim was granted too long ago; nothing was sent.
    ClaimExpired,
    /// A kept connection was closed before anything was sent on it.
    StaleConnection,
    /// The target said that it did not run the request.
    Shed,
    /// The connection or the protocol broke after bytes were sent.
    Broken,
    /// No complete answer came in time.
    Timeout,
    /// The caller's own body failed after bytes were sent.
    CallerBody,
}

impl AttemptError {
    /// Says whether it is certain that the target did not run the request.
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

/// An answer of a target: whole if it is small, else still coming.
#[derive(Debug)]
pub enum TargetAnswer {
    /// The answer is complete, and the connection is back in its pool.
    Buffered(Response<Bytes>),
    /// The answer's body is still coming.
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

/// The parts of a caller's request that every attempt sends.
#[derive(Debug)]
pub struct OutgoingHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    request_id: Option<(HeaderName, HeaderValue)>,
    claim: Option<Arc<ClaimGuard>>,
}

impl OutgoingHead {
    /// Makes the head for targets from a caller's head, whose key was removed.
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

    /// Makes every attempt ask the claim of the request before it sends anything.
    pub fn with_claim(mut self, claim: Arc<ClaimGuard>) -> Self {
        self.claim = Some(claim);
        self
    }

    /// Returns the caller's request id, if the route names a header for it and it was sent.
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

    /// Says whether an answer names another request than this one.
    fn answers_other_request(&self, answer: &HeaderMap) -> bool {
        self.request_id
            .as_ref()
            .and_then(|(name, value)| answer.get(name).map(|echo| echo != value))
            .unwrap_or(false)
    }
}

/// Sends the request to one target and waits for its answer.
///
/// # Errors
///
/// The error says how far the request may have come; see [`AttemptError::is_not_run`].
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
    if response.headers().contains_key(SHED_HEADER) && response.status().as_u16() == 503 {
        return Err(AttemptError::Shed);
    }
    if head.answers_other_request(response.headers()) {
        return Err(AttemptError::Broken);
    }
    receive(response, lease, head.method == Method::HEAD).await
}

fn send_error(mut error: TrySendError<Request<RequestBody>>) -> AttemptError {
    // The library returns the request only if no byte of it was written.
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
    let bodiless = is_head || matches!(response.status().as_u16(), 100..=199 | 204 | 304);
    let chunked = response.headers().contains_key(TRANSFER_ENCODING);
    let length = response.body().size_hint().exact();
    if length.is_none() && !chunked && !bodiless {
        // Without a length, an answer that was cut short looks like a whole one.
        return Err(AttemptError::Broken);
    }
    remove_hop_headers(response.headers_mut());
    remove_reserved_headers_except_load(response.headers_mut());
    match length {
        Some(length) if length <= MAX_BUFFERED_BODY_BYTES || bodiless => {
            let (parts, body) = response.into_parts();
            let limit = ByteSize(MAX_BUFFERED_BODY_BYTES);
            // The caller of this function bounds the whole exchange.
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

/// Removes headers that only the fleet may set, so that nobody can pose as it.
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
