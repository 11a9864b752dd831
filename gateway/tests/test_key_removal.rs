//! Tests that no target receives a key, wherever a request has it.

use damaskloom_gateway::key_removal::{KeyPlaces, remove_key};
use http::Request;
use http::request::Parts;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::fixture::{KEY, send, start};

const CASES: u32 = 2_000;

/// A place in which a request may have its key.
#[derive(Clone, Debug)]
enum Place {
    Bearer,
    Basic,
    Header(&'static str),
    Query(&'static str),
    EncodedQuery,
    Cookie(&'static str),
    OtherHeader,
    Referer,
    Nominated,
}

fn place() -> impl Strategy<Value = Place> {
    prop_oneof![
        Just(Place::Bearer),
        Just(Place::Basic),
        prop_oneof![Just("x-api-key"), Just("X-Api-Key"), Just("X-API-KEY")]
            .prop_map(Place::Header),
        prop_oneof![Just("api_key"), Just("API_KEY"), Just("api%5fkey")].prop_map(Place::Query),
        Just(Place::EncodedQuery),
        prop_oneof![Just("api_key"), Just("Api_Key")].prop_map(Place::Cookie),
        Just(Place::OtherHeader),
        Just(Place::Referer),
        Just(Place::Nominated),
    ]
}

fn percent_encode(text: &str) -> String {
    text.bytes().map(|byte| format!("%{byte:02x}")).collect()
}

fn request(places: &[Place], key: &str) -> Parts {
    let mut builder = Request::builder();
    let mut query = vec!["day=monday".to_owned()];
    for place in places {
        builder = match place {
            Place::Bearer => builder.header("authorization", format!("Bearer {key}")),
            Place::Basic => builder.header("Authorization", format!("basic  {key}")),
            Place::Header(name) => builder.header(*name, format!(" {key}")),
            Place::Cookie(name) => builder.header("cookie", format!("a=b; {name}={key};c=d")),
            Place::OtherHeader => builder.header("x-note", format!("sent with {key}.")),
            Place::Referer => builder.header(
                "referer",
                format!("http://g/?api_key={}", percent_encode(key)),
            ),
            Place::Nominated => builder
                .header("connection", "keep-alive, x-old")
                .header("x-old", key),
            Place::Query(name) => {
                query.push(format!("{name}={key}"));
                builder
            }
            Place::EncodedQuery => {
                query.push(format!("api_key={}", percent_encode(key)));
                builder
            }
        };
    }
    let uri = format!("/slots?{}", query.join("&"));
    builder
        .uri(uri)
        .body(())
        .expect("the parts are valid")
        .into_parts()
        .0
}

fn presents_key(place: &Place) -> bool {
    !matches!(
        place,
        Place::OtherHeader | Place::Referer | Place::Nominated
    )
}

#[test]
fn test_a_key_is_removed_from_every_place() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let strategy = (
        proptest::collection::vec(place(), 1..6),
        "[a-zA-Z0-9-]{8,24}",
    );
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |(mut places, key)| {
            if !places.iter().any(presents_key) {
                places.push(Place::Bearer);
            }
            let mut parts = request(&places, &key);
            let found = remove_key(&mut parts, &KeyPlaces::default());
            prop_assert!(matches!(found, Ok(Some(_))), "{found:?}");
            let left = format!("{} {:?}", parts.uri, parts.headers);
            prop_assert!(!left.contains(&key), "{left}");
            prop_assert!(!left.contains(&percent_encode(&key)), "{left}");
            prop_assert_eq!(parts.uri.query(), Some("day=monday"));
            Ok(())
        })
        .unwrap();
}

#[tokio::test]
async fn test_no_byte_of_a_key_reaches_a_target() {
    let fixture = start(1, |_| {}).await;
    let path = format!("/slots?day=1&api_key={KEY}");
    let headers = [
        &format!("Authorization: Bearer {KEY}")[..],
        &format!("X-API-Key: {KEY}"),
        &format!("x-api-key: {KEY}"),
        &format!("cookie: lang=mn; api_key={KEY}"),
        &format!("x-copy: {KEY}"),
    ];
    let answer = send(fixture.gateway.caller_address(), "GET", &path, &headers).await;
    assert_eq!(answer.status, 200);
    let record = fixture.targets[0].executions().remove(0);
    assert!(!record.head.contains(KEY), "{}", record.head);
    assert!(record.head.contains("lang=mn"), "{}", record.head);
}

#[tokio::test]
async fn test_trailers_are_not_forwarded() {
    let fixture = start(1, |_| {}).await;
    let request = format!(
        "POST /slots HTTP/1.1\r\nhost: g\r\nconnection: close\r\nx-api-key: {KEY}\r\n\
         transfer-encoding: chunked\r\ntrailer: x-late\r\n\r\n3\r\nabc\r\n0\r\nx-late: {KEY}\r\n\r\n"
    );
    let answer = crate::fixture::send_raw(fixture.gateway.caller_address(), request).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
    let record = fixture.targets[0].executions().remove(0);
    assert!(!record.head.contains(KEY), "{}", record.head);
}

#[tokio::test]
async fn test_different_keys_are_refused() {
    let fixture = start(1, |_| {}).await;
    let headers = [
        &format!("authorization: Bearer {KEY}")[..],
        "x-api-key: another-key-99",
    ];
    let answer = send(fixture.gateway.caller_address(), "GET", "/slots", &headers).await;
    assert_eq!(answer.outcome(), "400 not-run key-ambiguous");
}
