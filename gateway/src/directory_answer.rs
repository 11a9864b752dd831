//! Answers directory queries: which VMs a caller should connect to.

use std::net::IpAddr;

use bytes::Bytes;
use damaskloom_lib::config::DirectoryFormat;
use damaskloom_lib::directory::{DirectoryAnswer, DirectoryQuery};
use damaskloom_lib::rendezvous::StableHash;
use http::Response;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};

use crate::body_stream::AnswerBody;
use crate::exchange::RequestScope;
use crate::gateway::GatewayState;
use crate::percent::percent_decode;

/// The path of directory queries; the query string names the path that the caller will request.
pub const DIRECTORY_PATH: &str = "/v1/entries";
const MILLIS_PER_SECOND: u64 = 1_000;

/// Returns the path that the directory query names, as in `route=/slots`.
pub fn requested_path(query: Option<&str>) -> Option<String> {
    let value = query?
        .split('&')
        .find_map(|pair| pair.strip_prefix("route="))?;
    String::from_utf8(percent_decode(value.as_bytes())).ok()
}

/// Answers a directory query in the format of the route.
pub fn answer_directory(
    state: &GatewayState,
    scope: &RequestScope,
    caller: IpAddr,
) -> Response<AnswerBody> {
    let answer = state.directory.answer(&DirectoryQuery {
        customer: scope.customer.as_ref(),
        route: Some(&scope.route.id),
        data_centre: Some(&state.settings.data_centre),
        caller_seed: StableHash::of(caller.to_string()).0,
    });
    let (body, content_type) = match scope.route.directory_format {
        DirectoryFormat::Json => (json_answer(&answer), "application/json"),
        DirectoryFormat::Lines => (line_answer(&answer), "text/plain"),
    };
    let mut response = Response::new(AnswerBody::buffered(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    let max_age = format!(
        "private, max-age={}",
        answer.lifetime_ms / MILLIS_PER_SECOND
    );
    headers.insert(
        CACHE_CONTROL,
        HeaderValue::from_str(&max_age).expect("a number is a valid header value"),
    );
    response
}

fn json_answer(answer: &DirectoryAnswer) -> Bytes {
    serde_json::to_vec(answer)
        .expect("a directory answer is always valid JSON")
        .into()
}

fn line_answer(answer: &DirectoryAnswer) -> Bytes {
    answer
        .entries
        .iter()
        .map(|entry| format!("{}\n", entry.address))
        .collect::<String>()
        .into()
}
