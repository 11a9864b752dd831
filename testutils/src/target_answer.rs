//! The answers of the target stand-in, and their check by callers.
//!
//! An answer's body contains the nonce and the body digest of its request and ends in a marker, so
//! that a caller detects answers to other requests and truncated answers.

use std::fmt::Write;

use bytes::Bytes;

/// The request header whose value the answer echoes.
pub const NONCE_HEADER: &str = "x-nonce";
/// The answer header that says that the target did not run the request.
pub const SHED_HEADER: &str = "damaskloom-shed";
/// The answer header with the running and queued requests and the slots, as `1/2`.
pub const LOAD_HEADER: &str = "damaskloom-load";
/// The request header that names the customer.
pub const CUSTOMER_HEADER: &str = "damaskloom-customer";
/// The request header with the remaining time, in milliseconds.
pub const DEADLINE_HEADER: &str = "damaskloom-deadline-ms";
/// The request header with the request id, unless the route sets another one.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const END_MARKER: &[u8] = b"\nend\n";
const PADDING: &str = "....................................................................\n";

/// The result of checking an answer's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerCheck {
    /// The body is complete and answers this request.
    Complete,
    /// The body answers another request.
    Crossed,
    /// The end of the body is missing.
    Truncated,
}

/// Returns the FNV-1a digest of a body.
pub fn body_digest(body: &[u8]) -> u64 {
    body.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn first_line(nonce: &str, digest: Option<u64>) -> String {
    match digest {
        Some(digest) => format!("nonce={nonce} digest={digest:016x}\n"),
        None => format!("nonce={nonce} digest=unread\n"),
    }
}

/// Builds the body that answers a request, of about `size` bytes; there is no digest if the answer
/// is sent before the request's body was read.
pub fn answer_body(nonce: &str, digest: Option<u64>, target: &str, size: usize) -> Bytes {
    let mut text = first_line(nonce, digest);
    write!(text, "target={target}").expect("writing to a string succeeds");
    while text.len() + END_MARKER.len() < size {
        let remaining = size - text.len() - END_MARKER.len();
        text.push_str(&PADDING[..remaining.min(PADDING.len())]);
    }
    let mut body = text.into_bytes();
    body.extend_from_slice(END_MARKER);
    Bytes::from(body)
}

/// Checks the body of a successful answer against its request.
pub fn check_answer(body: &[u8], nonce: &str, digest: u64) -> AnswerCheck {
    let starts_with = |line: String| {
        let common = line.len().min(body.len());
        body[..common] == line.as_bytes()[..common]
    };
    if !starts_with(first_line(nonce, Some(digest))) && !starts_with(first_line(nonce, None)) {
        AnswerCheck::Crossed
    } else if !body.ends_with(END_MARKER) {
        AnswerCheck::Truncated
    } else {
        AnswerCheck::Complete
    }
}
