//! Converts a refusal to an HTTP response for the caller.

use damaskloom_lib::outcome::Refusal;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::body_stream::AnswerBody;

/// Header that states whether the request ran: `not-run`, `ran` or `unknown`.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("damaskloom-execution");
/// Header with the reason of the refusal.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("damaskloom-reason");

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct RefusalDocument {
    execution: &'static str,
    reason: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

/// Makes the response for a refusal.
pub fn refusal_answer(refusal: Refusal) -> Response<AnswerBody> {
    let document = RefusalDocument {
        execution: refusal.execution.as_str(),
        reason: refusal.reason.as_str(),
        retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis()),
    };
    let body = serde_json::to_vec(&document).expect("a refusal is always valid JSON");
    let mut response = Response::new(AnswerBody::buffered(body));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).expect("reasons carry valid statuses");
    let headers = response.headers_mut();
    headers.insert(
        EXECUTION_HEADER,
        HeaderValue::from_static(document.execution),
    );
    headers.insert(REASON_HEADER, HeaderValue::from_static(document.reason));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(delay) = refusal.retry_after {
        // Retry-After has whole seconds; rounding down would lead to another refusal.
        let seconds = delay.as_millis().div_ceil(1_000);
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX)),
        );
    }
    response
}
