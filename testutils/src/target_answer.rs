//! The answers of the target stand-in and their check by callers.
//!
//! An answer's body names the nonce and the body digest of its request and ends in a marker, so
//! that a caller can tell another caller's answer and a cut answer from its own whole one.

use std::fmt::Write;

use bytes::Bytes;

/// The request header whose value the answer echoes.
pub const NONCE_HEADER: &str = "x-nonce";
/// The answer header by which a target says that it did not run the request.
pub const SHED_HEADER: &str = "damaskloom-shed";
/// The answer header that reports the requests in flight and the slots, as `1/2`.
pub const LOAD_HEADER: &str = "damaskloom-load";
/// The request header that names the customer.
pub const CUSTOMER_HEADER: &str = "damaskloom-customer";
/// The request header that tells the target the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "damaskloom-deadline-ms";
/// The request header that carries the request id, unless a route names another.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const END_MARKER: &[u8] = b"\nend\n";
const PADDING: &str = "....................................................................\n";

/// What a caller finds in an answer's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerCheck {
    /// The body is whole and answers this request.
    Whole,
    /// The body answers another request.
    Crossed,
    /// The body lacks its end.
    Cut,
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

/// Makes the body that answers a request, of about `size` bytes; the digest is missing if the
/// answer is sent before the request's body was read.
pub fn answer_body(nonce: &str, digest: Option<u64>, target: &str, size: usize) -> Bytes {
    let mut text = first_line(nonce, digest);
    write!(text, "target={target}").expect("writing to a string succeeds");
    while text.len() + END_MARKER.len() < size {
        let room = size - text.len() - END_MARKER.len();
        text.push_str(&PADDING[..room.min(PADDING.len())]);
    }
    let mut body = text.into_bytes();
    body.extend_from_slice(END_MARKER);
    Bytes::from(body)
}

/// Checks the body of a good answer against the request that it should answer.
pub fn check_answer(body: &[u8], nonce: &str, digest: u64) -> AnswerCheck {
    let begins = |line: String| {
        let common = line.len().min(body.len());
        body[..common] == line.as_bytes()[..common]
    };
    if !begins(first_line(nonce, Some(digest))) && !begins(first_line(nonce, None)) {
        AnswerCheck::Crossed
    } else if !body.ends_with(END_MARKER) {
        AnswerCheck::Cut
    } else {
        AnswerCheck::Whole
    }
}
