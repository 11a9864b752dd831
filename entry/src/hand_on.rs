//! Hands requests on to another node, if this one reaches no target; see
//! [docs/design/cut-off-nodes.md](../../docs/design/cut-off-nodes.md).
//!
//! The helper gets the caller's request as it came, with a code under the fleet's secret. It serves it
//! like one of its own callers, but never hands it on again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use damaskloom_gateway::body_stream::RequestBody;
use damaskloom_gateway::hop_headers::remove_hop_headers;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::attempt_failure::AttemptFailure;
use damaskloom_lib::ids::{ServiceId, VmId};
use damaskloom_platform::header_names::{REQUEST_ID, TIME_LEFT_MS, time_left_ms};
use http::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, Response, Uri, Version};
use hyper::body::Incoming;
use indexmap::IndexMap;
use rand::seq::SliceRandom;

use crate::caller_answer::CallerBody;
use crate::entry_state::EntryState;
use crate::peer_rows::{has_proof, proof};
use crate::target_call::{TargetAnswer, receive_body};

/// The header with the authentication code of a request that is handed on, in hexadecimal digits.
pub const HAND_ON_HEADER: HeaderName = HeaderName::from_static("damaskloom-hand-on");
/// The value of the header in a helper's refusal that says that it reaches no target either.
const CUT_OFF_MARK: &str = "cut-off";
/// The number of connections that a node may open to a helper: more than the requests that an entry
/// node has in flight.
const MAX_HELPER_CONNECTIONS: u32 = 256;

/// How a request came to this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// A caller sent it.
    Caller,
    /// Another node handed it on.
    Peer,
}

/// A request that this node could hand on.
#[derive(Debug)]
pub struct HandedRequest<'a> {
    /// The caller's request.
    pub parts: &'a Parts,
    /// The service that it goes to.
    pub service: &'a ServiceId,
    /// The caller's id of it.
    pub request_id: &'a str,
    /// The time by which the caller must have its answer.
    pub deadline: Instant,
}

/// Returns whether a request to the peers' listener was handed on by a node that has the secret.
pub fn is_handed_on(secret: &SharedSecret, parts: &Parts) -> bool {
    let expected = hand_on_proof(secret, parts, time_left_ms(&parts.headers));
    has_proof(&parts.headers, &HAND_ON_HEADER, &expected)
}

fn hand_on_proof(secret: &SharedSecret, parts: &Parts, left_ms: Option<u64>) -> String {
    let field = |name| {
        let value: Option<&HeaderValue> = parts.headers.get(name);
        value.map_or(&b""[..], HeaderValue::as_bytes)
    };
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let request_target = format!("{} {path} {}", parts.method, left_ms.unwrap_or(0));
    let names = [field(HOST), b" ", field(REQUEST_ID)].concat();
    proof(secret, [b"hand on", request_target.as_bytes(), &names])
}

impl EntryState {
    /// Returns the nodes to hand a request for a service on to, with their addresses: nodes that callers
    /// are directed to, first those of this node's data centre.
    fn helpers(&self, service: &ServiceId) -> IndexMap<VmId, SocketAddr> {
        let now = self.clock.now();
        if self.members.borrow().serving(now).next().is_none() {
            return IndexMap::new();
        }
        let settings = self.settings();
        let mut ranked = IndexMap::new();
        for mut entries in [self.entries_of(&settings.data_centre), self.all_entries()] {
            entries.shuffle(&mut rand::rng());
            for node in entries {
                let address = SocketAddr::new(node.address.ip(), settings.peer_port);
                ranked.entry(node.vm).or_insert(address);
            }
        }
        ranked.shift_remove(&settings.vm);
        let choice = self.helper_choice.borrow();
        let chosen = choice.choose(now, service, ranked.keys().cloned());
        let with_address = |helper: VmId| {
            let address = ranked[&helper];
            (helper, address)
        };
        chosen.into_iter().map(with_address).collect()
    }

    /// Hands a request on to a node that reaches targets; `next_body` returns the body for each helper
    /// as long as it can be sent. Returns none if there is no such node; no target was reached then.
    ///
    /// # Errors
    ///
    /// Fails if the connection to the helper or its answer fails once the request was sent; the request
    /// may have run.
    pub async fn hand_on(
        &self,
        request: &HandedRequest<'_>,
        mut next_body: impl FnMut() -> Option<RequestBody>,
    ) -> Option<Result<TargetAnswer, AttemptFailure>> {
        let secret = self.secret.borrow().clone()?;
        let mut unsent: Option<RequestBody> = None;
        for (helper, address) in self.helpers(request.service) {
            let pool = self.helper_pools.pool(&helper, address);
            let left = request.deadline.saturating_duration_since(Instant::now());
            let Ok(mut lease) = pool.acquire(MAX_HELPER_CONNECTIONS, left).await else {
                tracing::info!(request = request.request_id, %helper, "helper not reached");
                continue;
            };
            let body = unsent.take().or_else(&mut next_body)?;
            let outgoing = outgoing_request(&secret, request, body);
            let exchange = lease.sender().try_send_request(outgoing);
            let response = match tokio::time::timeout_at(request.deadline.into(), exchange).await {
                Ok(Ok(response)) => response,
                Ok(Err(mut error)) => match error.take_message() {
                    // No byte of the request was written.
                    Some(message) => {
                        unsent = Some(message.into_body());
                        continue;
                    }
                    None => return Some(Err(AttemptFailure::Broken)),
                },
                Err(_) => return Some(Err(AttemptFailure::TimedOut)),
            };
            if is_helper_cut_off(&response) {
                tracing::info!(request = request.request_id, %helper, "helper is cut off too");
                let mut choice = self.helper_choice.borrow_mut();
                choice.record_cut_off(self.clock.now(), helper, request.service.clone());
                continue;
            }
            tracing::info!(
                request = request.request_id,
                %helper,
                status = response.status().as_u16(),
                "request handed on"
            );
            let answer = receive_body(request.request_id, response, lease, request.deadline);
            let answer = tokio::time::timeout_at(request.deadline.into(), answer).await;
            return Some(answer.unwrap_or(Err(AttemptFailure::TimedOut)));
        }
        None
    }
}

/// Marks the refusal of a request that was handed on as one by a node that reaches no target either.
pub fn mark_cut_off(response: &mut Response<CallerBody>) {
    let mark = HeaderValue::from_static(CUT_OFF_MARK);
    response.headers_mut().insert(HAND_ON_HEADER, mark);
}

fn is_helper_cut_off(response: &Response<Incoming>) -> bool {
    let mark = response.headers().get(HAND_ON_HEADER);
    mark.is_some_and(|mark| mark == CUT_OFF_MARK)
}

fn outgoing_request(
    secret: &SharedSecret,
    request: &HandedRequest<'_>,
    body: RequestBody,
) -> Request<RequestBody> {
    let parts = request.parts;
    let mut headers: HeaderMap = parts.headers.clone();
    remove_hop_headers(&mut headers);
    for name in [CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    let left: Duration = request.deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIME_LEFT_MS, left_ms.into());
    let code = hand_on_proof(secret, parts, Some(left_ms));
    let code = HeaderValue::from_str(&code).expect("digits are a valid header value");
    headers.insert(HAND_ON_HEADER, code);
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = parts.method.clone();
    *outgoing.uri_mut() = parts
        .uri
        .path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| path.clone().into());
    *outgoing.version_mut() = Version::HTTP_11;
    *outgoing.headers_mut() = headers;
    outgoing
}
