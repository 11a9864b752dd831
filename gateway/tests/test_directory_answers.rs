//! Tests the two formats of directory answers, and that keyed routes require a key.

use crate::fixture::{authorization, send, start};

#[tokio::test]
async fn test_the_format_depends_on_the_route() {
    let fixture = start(1, |_| {}).await;
    let address = fixture.gateway.caller_address();
    let json = send(
        address,
        "GET",
        "/v1/entries?route=/slots/x",
        &[&authorization()],
    )
    .await;
    let document: serde_json::Value =
        serde_json::from_slice(&json.body).expect("an answer is JSON");
    assert_eq!(document["entries"][0]["address"], address.to_string());
    assert!(
        document["lifetime_ms"]
            .as_u64()
            .is_some_and(|lifetime| lifetime <= 500)
    );
    let lines = send(address, "GET", "/v1/entries?route=%2Fice", &[]).await;
    assert_eq!(String::from_utf8_lossy(&lines.body), format!("{address}\n"));
}

#[tokio::test]
async fn test_a_keyed_route_is_listed_for_its_customers_only() {
    let fixture = start(1, |_| {}).await;
    let address = fixture.gateway.caller_address();
    let answer = send(address, "GET", "/v1/entries?route=/slots", &[]).await;
    assert_eq!(answer.outcome(), "401 not-run key-missing");
    let answer = send(address, "GET", "/v1/entries", &[]).await;
    assert_eq!(answer.outcome(), "404 not-run route-unknown");
}
