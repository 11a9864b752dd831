//! Refuses requests whose framing or address two implementations could interpret differently.
//!
//! The gateway frames every request anew, so a target never receives the caller's framing. An
//! ambiguous request is refused nevertheless, since its meaning cannot be known.

use damaskloom_lib::outcome::Reason;
use http::header::{CONTENT_LENGTH, HOST, HeaderMap, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Method, Version};

use crate::percent::percent_decode;

/// Checks a request head; called before anything else uses it.
///
/// # Errors
///
/// Fails with [`Reason::BadRequest`] if the length, the authority or the path is ambiguous, or if
/// the method is `CONNECT` or `TRACE`.
pub fn check_request(parts: &Parts) -> Result<(), Reason> {
    check_length(&parts.headers, parts.version)?;
    check_authority(parts)?;
    check_path(parts.uri.path())?;
    match parts.method {
        Method::CONNECT | Method::TRACE => Err(Reason::BadRequest),
        _ => Ok(()),
    }
}

fn check_length(headers: &HeaderMap, version: Version) -> Result<(), Reason> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
    if lengths > 1 || codings > 1 || (lengths > 0 && codings > 0) {
        return Err(Reason::BadRequest);
    }
    if codings > 0 && version != Version::HTTP_11 {
        return Err(Reason::BadRequest);
    }
    if let Some(length) = headers.get(CONTENT_LENGTH)
        && (length.is_empty() || !length.as_bytes().iter().all(u8::is_ascii_digit))
    {
        return Err(Reason::BadRequest);
    }
    if let Some(coding) = headers.get(TRANSFER_ENCODING)
        && !coding.as_bytes().eq_ignore_ascii_case(b"chunked")
    {
        return Err(Reason::BadRequest);
    }
    Ok(())
}

fn check_authority(parts: &Parts) -> Result<(), Reason> {
    let mut hosts = parts.headers.get_all(HOST).iter();
    let host = hosts.next();
    if hosts.next().is_some() {
        return Err(Reason::BadRequest);
    }
    let authority = parts.uri.authority();
    match (host, authority) {
        (None, None) => Err(Reason::BadRequest),
        (Some(host), Some(authority)) => {
            let same = host
                .as_bytes()
                .eq_ignore_ascii_case(authority.as_str().as_bytes());
            if same {
                Ok(())
            } else {
                Err(Reason::BadRequest)
            }
        }
        _ => Ok(()),
    }
}

/// Refuses control characters and dot segments, encoded or not; a path with dot segments may name
/// another route than it appears to.
fn check_path(path: &str) -> Result<(), Reason> {
    if !path.starts_with('/') {
        return Err(Reason::BadRequest);
    }
    let decoded = percent_decode(path.as_bytes());
    let ambiguous = decoded
        .split(|byte| matches!(byte, b'/' | b'\\'))
        .any(|segment| matches!(segment, b"." | b".."));
    let control = decoded.iter().any(u8::is_ascii_control);
    if ambiguous || control {
        Err(Reason::BadRequest)
    } else {
        Ok(())
    }
}
