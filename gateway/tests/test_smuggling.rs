//! Tests that requests that two implementations could interpret differently reach no target.

use crate::fixture::{KEY, send_raw, start};

/// Request heads that are refused, each with the name of its fault.
const AMBIGUOUS: &[(&str, &str)] = &[
    (
        "two lengths",
        "POST /book HTTP/1.1\r\nhost: g\r\ncontent-length: 3\r\ncontent-length: 4\r\n",
    ),
    (
        "length and coding",
        "POST /book HTTP/1.1\r\nhost: g\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n",
    ),
    (
        "signed length",
        "POST /book HTTP/1.1\r\nhost: g\r\ncontent-length: +3\r\n",
    ),
    (
        "listed length",
        "POST /book HTTP/1.1\r\nhost: g\r\ncontent-length: 3, 4\r\n",
    ),
    (
        "unknown coding",
        "POST /book HTTP/1.1\r\nhost: g\r\ntransfer-encoding: xchunked\r\n",
    ),
    (
        "coding twice",
        "POST /book HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked, chunked\r\n",
    ),
    (
        "coding in 1.0",
        "POST /book HTTP/1.0\r\nhost: g\r\ntransfer-encoding: chunked\r\n",
    ),
    (
        "space before colon",
        "POST /book HTTP/1.1\r\nhost: g\r\ncontent-length : 3\r\n",
    ),
    (
        "folded line",
        "POST /book HTTP/1.1\r\nhost: g\r\nx-a: b\r\n c\r\ncontent-length: 3\r\n",
    ),
    ("two hosts", "GET /slots HTTP/1.1\r\nhost: g\r\nhost: h\r\n"),
    ("no host", "GET /slots HTTP/1.1\r\n"),
    (
        "other authority",
        "GET http://other/slots HTTP/1.1\r\nhost: g\r\n",
    ),
    ("dot segments", "GET /ice/../slots HTTP/1.1\r\nhost: g\r\n"),
    (
        "encoded dot segments",
        "GET /ice/%2e%2e/slots HTTP/1.1\r\nhost: g\r\n",
    ),
    (
        "backslash segments",
        "GET /ice/..%5cslots HTTP/1.1\r\nhost: g\r\n",
    ),
    (
        "encoded line break",
        "GET /slots%0d%0a HTTP/1.1\r\nhost: g\r\n",
    ),
    ("tunnel", "CONNECT g:80 HTTP/1.1\r\nhost: g:80\r\n"),
    ("trace", "TRACE /slots HTTP/1.1\r\nhost: g\r\n"),
];

#[tokio::test]
async fn test_ambiguous_requests_reach_no_target() {
    let fixture = start(1, |_| {}).await;
    let address = fixture.gateway.caller_address();
    for (name, head) in AMBIGUOUS {
        let request = format!("{head}connection: close\r\nx-api-key: {KEY}\r\n\r\nabc");
        let answer = send_raw(address, request).await;
        assert_eq!(answer.status, 400, "{name}: {}", answer.head);
        assert!(
            fixture.targets[0].executions().is_empty(),
            "{name} reached the target"
        );
    }
}

#[tokio::test]
async fn test_a_second_request_inside_a_body_is_not_run() {
    let fixture = start(1, |_| {}).await;
    let inner = format!("GET /slots/inner HTTP/1.1\r\nhost: g\r\nx-api-key: {KEY}\r\n\r\n");
    let request = format!(
        "POST /book HTTP/1.1\r\nhost: g\r\nconnection: close\r\nx-api-key: {KEY}\r\n\
         content-length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let answer = send_raw(fixture.gateway.caller_address(), request).await;
    assert_eq!(answer.status, 200);
    let paths: Vec<String> = fixture.targets[0]
        .executions()
        .into_iter()
        .map(|record| record.path)
        .collect();
    assert_eq!(paths, ["/book"]);
}
