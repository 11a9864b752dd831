//! Tells callers which VMs to use.

use std::net::SocketAddr;

use bytes::Bytes;
use damaskloom_lib::config::DirectoryFormat;
use http::Response;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde::Serialize;

use crate::bodies::AnswerBody;
use crate::exchange::RequestScope;
use crate::gateway::GatewayState;
use crate::percent::percent_decode;

/// Where callers ask for entry VMs; the query names the path that they want to use.
pub const DIRECTORY_PATH: &str = "/v1/entries";

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct EntryDocument {
    address: SocketAddr,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct DirectoryDocument {
    entries: Vec<EntryDocument>,
    lifetime_ms: u64,
}

/// Returns the path that the directory query names, as in `route=/slots`.
pub fn asked_path(query: Option<&str>) -> Option<String> {
    let value = query?
        .split('&')
        .find_map(|pair| pair.strip_prefix("route="))?;
    String::from_utf8(percent_decode(value.as_bytes())).ok()
}

/// Answers a directory query in the form that the route's callers understand.
pub fn answer_directory(state: &GatewayState, scope: &RequestScope) -> Response<AnswerBody> {
    let addresses = state
        .directory
        .entries(scope.customer.as_ref(), &scope.route);
    let lifetime_ms = state.settings.directory_lifetime_ms;
    let (body, content_type) = match scope.route.directory_format {
        DirectoryFormat::Json => (json_answer(&addresses, lifetime_ms), "application/json"),
        DirectoryFormat::Lines => (line_answer(&addresses), "text/plain"),
    };
    let mut response = Response::new(AnswerBody::whole(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    let max_age = format!("private, max-age={}", lifetime_ms / 1_000);
    headers.insert(
        CACHE_CONTROL,
        HeaderValue::from_str(&max_age).expect("a number is a valid header value"),
    );
    response
}

fn json_answer(addresses: &[SocketAddr], lifetime_ms: u64) -> Bytes {
    let entries = addresses
        .iter()
        .map(|address| EntryDocument { address: *address })
        .collect();
    let document = DirectoryDocument {
        entries,
        lifetime_ms,
    };
    serde_json::to_vec(&document)
        .expect("a directory answer is always valid JSON")
        .into()
}

fn line_answer(addresses: &[SocketAddr]) -> Bytes {
    addresses
        .iter()
        .map(|address| format!("{address}\n"))
        .collect::<String>()
        .into()
}
