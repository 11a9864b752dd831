//! Removes a caller's key from a request, so that no target receives it.
//!
//! A request may have its key in several places. The key is removed from every configured place,
//! and then every other part of the head that still contains it is dropped too, for instance a
//! `Referer` that repeats the query. See [docs/design/keys.md](../../docs/design/keys.md).

use bytes::Bytes;
use damaskloom_lib::key::RawKey;
use damaskloom_lib::outcome::Reason;
use http::header::{AUTHORIZATION, CONNECTION, COOKIE, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::uri::{PathAndQuery, Uri};

use crate::percent::percent_decode;

/// The minimum length of a key; shorter ones are never granted, and are not searched for outside
/// the configured places.
pub const MIN_KEY_BYTES: usize = 8;

/// The places of a request head in which a key is accepted.
#[derive(Clone, Debug)]
pub struct KeyPlaces {
    /// Header fields whose whole value is the key.
    pub headers: Vec<HeaderName>,
    /// Query parameters whose value is the key.
    pub query_parameters: Vec<String>,
    /// Cookies whose value is the key.
    pub cookies: Vec<String>,
}

impl Default for KeyPlaces {
    fn default() -> Self {
        Self {
            headers: vec![HeaderName::from_static("x-api-key")],
            query_parameters: vec!["api_key".to_owned()],
            cookies: vec!["api_key".to_owned()],
        }
    }
}

/// Removes the key from a request head and returns it.
///
/// # Errors
///
/// Fails with [`Reason::KeyAmbiguous`] if the request has different keys, and with
/// [`Reason::BadRequest`] if the path contains the key, from where it cannot be removed.
pub fn remove_key(parts: &mut Parts, places: &KeyPlaces) -> Result<Option<RawKey>, Reason> {
    let mut found = Vec::new();
    remove_authorization(&mut parts.headers, &mut found);
    remove_key_headers(&mut parts.headers, &places.headers, &mut found);
    remove_cookies(&mut parts.headers, &places.cookies, &mut found);
    remove_query_parameters(&mut parts.uri, &places.query_parameters, &mut found)?;
    remove_nominated(&mut parts.headers);

    let Some(first) = found.first().cloned() else {
        return Ok(None);
    };
    for key in &found {
        remove_other_copies(parts, key)?;
    }
    if found.iter().any(|key| *key != first) {
        return Err(Reason::KeyAmbiguous);
    }
    Ok(Some(RawKey::new(first)))
}

fn remove_authorization(headers: &mut HeaderMap, found: &mut Vec<Vec<u8>>) {
    for value in headers.get_all(AUTHORIZATION) {
        let raw = value.as_bytes().trim_ascii();
        let key = match raw.iter().position(|byte| *byte == b' ') {
            Some(space) => raw[space..].trim_ascii(),
            None => raw,
        };
        push_key(key, found);
    }
    headers.remove(AUTHORIZATION);
}

fn remove_key_headers(headers: &mut HeaderMap, names: &[HeaderName], found: &mut Vec<Vec<u8>>) {
    for name in names {
        for value in headers.get_all(name) {
            push_key(value.as_bytes().trim_ascii(), found);
        }
        headers.remove(name);
    }
}

fn remove_cookies(headers: &mut HeaderMap, names: &[String], found: &mut Vec<Vec<u8>>) {
    if !headers.contains_key(COOKIE) {
        return;
    }
    let mut kept: Vec<Vec<u8>> = Vec::new();
    for value in headers.get_all(COOKIE) {
        for pair in value.as_bytes().split(|byte| *byte == b';') {
            let pair = pair.trim_ascii();
            match cookie_value(pair, names) {
                Some(key) => push_key(&percent_decode(key), found),
                None if pair.is_empty() => {}
                None => kept.push(pair.to_vec()),
            }
        }
    }
    headers.remove(COOKIE);
    if let Ok(value) = HeaderValue::from_bytes(&kept.join(&b"; "[..]))
        && !kept.is_empty()
    {
        headers.insert(COOKIE, value);
    }
}

fn cookie_value<'a>(pair: &'a [u8], names: &[String]) -> Option<&'a [u8]> {
    let equals = pair.iter().position(|byte| *byte == b'=')?;
    let name = pair[..equals].trim_ascii();
    names
        .iter()
        .any(|known| known.as_bytes().eq_ignore_ascii_case(name))
        .then(|| pair[equals + 1..].trim_ascii())
}

fn remove_query_parameters(
    uri: &mut Uri,
    names: &[String],
    found: &mut Vec<Vec<u8>>,
) -> Result<(), Reason> {
    let Some(query) = uri.query() else {
        return Ok(());
    };
    let mut kept = Vec::new();
    for pair in query.split('&') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let name = percent_decode(name.as_bytes());
        if names
            .iter()
            .any(|known| known.as_bytes().eq_ignore_ascii_case(&name))
        {
            push_key(&percent_decode(value.as_bytes()), found);
        } else {
            kept.push(pair);
        }
    }
    let kept = kept.join("&");
    replace_query(uri, &kept)
}

fn replace_query(uri: &mut Uri, query: &str) -> Result<(), Reason> {
    let mut path_and_query = uri.path().to_owned();
    if !query.is_empty() {
        path_and_query.push('?');
        path_and_query.push_str(query);
    }
    let path_and_query = PathAndQuery::from_maybe_shared(Bytes::from(path_and_query))
        .map_err(|_| Reason::BadRequest)?;
    let mut parts = uri.clone().into_parts();
    parts.path_and_query = Some(path_and_query);
    *uri = Uri::from_parts(parts).map_err(|_| Reason::BadRequest)?;
    Ok(())
}

/// Removes the fields that `Connection` nominates, which are not forwarded.
fn remove_nominated(headers: &mut HeaderMap) {
    let nominated: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect();
    for name in nominated {
        headers.remove(name);
    }
}

fn remove_other_copies(parts: &mut Parts, key: &[u8]) -> Result<(), Reason> {
    if key.len() < MIN_KEY_BYTES {
        return Ok(());
    }
    if has_key(parts.uri.path().as_bytes(), key) {
        return Err(Reason::BadRequest);
    }
    if let Some(query) = parts.uri.query()
        && has_key(query.as_bytes(), key)
    {
        let kept: Vec<&str> = query
            .split('&')
            .filter(|pair| !has_key(pair.as_bytes(), key))
            .collect();
        let kept = kept.join("&");
        replace_query(&mut parts.uri, &kept)?;
    }
    let names_with_key: Vec<HeaderName> = parts
        .headers
        .iter()
        .filter(|(name, value)| name_has_key(name, key) || has_key(value.as_bytes(), key))
        .map(|(name, _)| name.clone())
        .collect();
    for name in names_with_key {
        parts.headers.remove(name);
    }
    Ok(())
}

fn name_has_key(name: &HeaderName, key: &[u8]) -> bool {
    contains(name.as_str().as_bytes(), &key.to_ascii_lowercase())
}

fn has_key(haystack: &[u8], key: &[u8]) -> bool {
    contains(haystack, key)
        || (haystack.contains(&b'%') && contains(&percent_decode(haystack), key))
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}

fn push_key(key: &[u8], found: &mut Vec<Vec<u8>>) {
    if !key.is_empty() {
        found.push(key.to_vec());
    }
}
