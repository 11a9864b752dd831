//! Tests the answers of the gateway when targets answer, fail, or do not answer.

use damaskloom_testutils::target_answer::{AnswerCheck, body_digest, check_answer};
use damaskloom_testutils::target_mode::TargetMode;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::{Fixture, RawAnswer, authorization, send, start, start_gateway};

async fn slots(fixture: &Fixture, id: &str) -> RawAnswer {
    let headers = [&authorization()[..], &format!("x-request-id: {id}")];
    send(
        fixture.gateway.caller_address(),
        "GET",
        "/slots/today",
        &headers,
    )
    .await
}

async fn book(fixture: &Fixture, id: &str) -> RawAnswer {
    let headers = [
        &authorization()[..],
        &format!("x-request-id: {id}"),
        "content-length: 0",
    ];
    send(fixture.gateway.caller_address(), "POST", "/book", &headers).await
}

/// Opens a connection on which one request is served, and keeps it open.
async fn served_connection(fixture: &Fixture) -> TcpStream {
    let address = fixture.gateway.caller_address();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET /slots HTTP/1.1\r\nhost: g\r\n{}\r\n\r\n",
        authorization()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = [0; 4096];
    let length = stream.read(&mut buffer).await.unwrap();
    assert!(buffer[..length].starts_with(b"HTTP/1.1 200"));
    stream
}

fn executions(fixture: &Fixture) -> usize {
    fixture
        .targets
        .iter()
        .map(|target| target.executions().len())
        .sum()
}

#[tokio::test]
async fn test_the_customer_header_is_set_and_cannot_be_forged() {
    let fixture = start(1, |_| {}).await;
    let headers = [&authorization()[..], "damaskloom-customer: somebody-else"];
    let answer = send(fixture.gateway.caller_address(), "GET", "/slots", &headers).await;
    assert_eq!(answer.status, 200);
    let customer = fixture.targets[0].executions()[0].customer.clone();
    assert_eq!(customer.as_deref(), Some("border-post"));
}

#[tokio::test]
async fn test_a_lost_answer_is_retried_only_if_the_request_is_idempotent() {
    let fixture = start(2, |config| config["services"][0]["floor"] = Value::from(2)).await;
    fixture
        .targets
        .iter()
        .for_each(|target| target.set_mode(TargetMode::CloseMidBody));
    assert_eq!(
        slots(&fixture, "a").await.outcome(),
        "502 unknown target-broken"
    );
    let before = executions(&fixture);
    assert_eq!(
        book(&fixture, "b").await.outcome(),
        "502 unknown target-broken"
    );
    assert_eq!(executions(&fixture), before + 1);
}

#[tokio::test]
async fn test_a_missing_answer_is_reported_as_unknown_at_the_deadline() {
    let fixture = start(1, |_| {}).await;
    fixture.targets[0].set_mode(TargetMode::AnswersLost);
    assert_eq!(
        book(&fixture, "c").await.outcome(),
        "504 unknown target-timeout"
    );
    assert_eq!(executions(&fixture), 1);
}

/// A target that sends its answer twice leaves bytes on the connection, which the next request
/// could receive as its answer.
#[tokio::test]
async fn test_a_duplicate_answer_never_reaches_the_next_caller() {
    let fixture = start(1, |_| {}).await;
    fixture.targets[0].set_mode(TargetMode::DuplicateAnswers);
    for index in 0..20 {
        let nonce = format!("dup-{index}");
        let headers = [&authorization()[..], &format!("x-nonce: {nonce}")];
        let answer = send(fixture.gateway.caller_address(), "GET", "/slots", &headers).await;
        let check = check_answer(&answer.body, &nonce, body_digest(b""));
        assert!(
            answer.status != 200 || check == AnswerCheck::Complete,
            "{nonce}: {check:?}"
        );
    }
}

#[tokio::test]
async fn test_retries_add_at_most_a_tenth_to_the_load_of_a_failing_service() {
    let fixture = start(4, |config| config["services"][0]["floor"] = Value::from(4)).await;
    fixture
        .targets
        .iter()
        .for_each(|target| target.set_mode(TargetMode::CloseMidBody));
    const OFFERED: usize = 100;
    for index in 0..OFFERED {
        slots(&fixture, &format!("dead-{index}")).await;
    }
    assert!(
        executions(&fixture) <= OFFERED + OFFERED / 10,
        "{}",
        executions(&fixture)
    );
}

#[tokio::test]
async fn test_a_withdrawn_key_is_refused_on_the_open_connection() {
    use damaskloom_lib::config::{ConfigChange, ConfigDelta, KeyGrant, KeyState};
    use damaskloom_lib::ids::Revision;
    use damaskloom_lib::key::RawKey;

    let fixture = start(1, |_| {}).await;
    let mut stream = served_connection(&fixture).await;

    let grant = KeyGrant {
        digest: RawKey::new(crate::fixture::KEY).digest(),
        customer: "border-post".parse().unwrap(),
        state: KeyState::Withdrawn,
    };
    let delta = ConfigDelta {
        revision: Revision(2),
        changes: vec![ConfigChange::PutKey(grant)],
    };
    fixture.gateway.state.config.apply(&delta).unwrap();

    // The idle connection is closed, and the key is refused on a new connection.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert_eq!(
        slots(&fixture, "d").await.outcome(),
        "401 not-run key-withdrawn"
    );
    assert_eq!(executions(&fixture), 1);
}

/// The caller may be retrying a request that ran before its key was withdrawn, so the refusal must
/// not claim that it did not run.
#[tokio::test]
async fn test_a_retry_with_a_withdrawn_key_is_refused_as_unknown() {
    let fixture = start(1, |_| {}).await;
    let key = format!("x-api-key: {}", crate::fixture::WITHDRAWN_KEY);
    let headers = [&key[..], "x-request-id: sent-before", "content-length: 0"];
    let answer = send(fixture.gateway.caller_address(), "POST", "/book", &headers).await;
    assert_eq!(answer.outcome(), "401 unknown key-withdrawn");
}

#[tokio::test]
async fn test_removing_a_customer_closes_its_idle_connections() {
    use damaskloom_lib::config::{ConfigChange, ConfigDelta};
    use damaskloom_lib::ids::Revision;

    let fixture = start(1, |_| {}).await;
    let mut stream = served_connection(&fixture).await;
    let changes = vec![
        ConfigChange::RemoveKey(damaskloom_lib::key::RawKey::new(crate::fixture::KEY).digest()),
        ConfigChange::RemoveCustomer("border-post".parse().unwrap()),
    ];
    let delta = ConfigDelta {
        revision: Revision(2),
        changes,
    };
    fixture.gateway.state.config.apply(&delta).unwrap();
    // The read ends only when the gateway closes the connection.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert_eq!(slots(&fixture, "gone").await.status, 401);
}

/// Guards against an answer with a status that does not exist, as a target in trouble may write it, that the gateway
/// passes on: 000, above 599, or another protocol that nobody asked for.
#[tokio::test]
async fn an_answer_with_an_undefined_status_is_not_passed_on() {
    for status in ["000", "099", "101", "600", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port is available");
        let address = listener.local_addr().expect("a bound address");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut head = [0; 4096];
                let _ = stream.read(&mut head).await;
                let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        let gateway = start_gateway(&[address], |_| {}).await;
        let key = authorization();
        let headers = [&key[..], "x-request-id: a", "content-length: 0"];
        let answer = send(gateway.caller_address(), "POST", "/book", &headers).await;
        assert_eq!(answer.status, 502, "{status}: {}", answer.head);
    }
}
