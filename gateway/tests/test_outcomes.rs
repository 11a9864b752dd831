//! Produces each outcome of the table in docs/outcomes.md.

use std::fmt::Write;

use damaskloom_gateway::claim_fleet::ClaimFleet;
use damaskloom_lib::ids::Epoch;
use damaskloom_lib::outcome::Reason;
use damaskloom_testutils::target_mode::TargetMode;
use serde_json::Value;

use crate::fixture::{
    ConfigEdit, Fixture, RawAnswer, WITHDRAWN_KEY, authorization, send, send_raw, start,
    start_gateway,
};

async fn get(fixture: &Fixture, path: &str, headers: &[&str]) -> RawAnswer {
    send(fixture.gateway.caller_address(), "GET", path, headers).await
}

async fn book(fixture: &Fixture, headers: &[&str]) -> RawAnswer {
    let authorization = authorization();
    let mut lines = vec![&authorization[..]];
    lines.extend_from_slice(headers);
    send(fixture.gateway.caller_address(), "POST", "/book", &lines).await
}

/// Starts one target in the given mode; the floor of the service prevents its ejection.
async fn start_in_mode(mode: TargetMode) -> Fixture {
    let fixture = start(1, |_| {}).await;
    fixture.targets[0].set_mode(mode);
    fixture
}

async fn head_rows(table: &mut String) {
    let fixture = start(1, |_| {}).await;
    let key = authorization();
    let unknown = "authorization: Bearer k-never-granted";
    let withdrawn = format!("authorization: Bearer {WITHDRAWN_KEY}");
    let rows = [
        ("no key", get(&fixture, "/slots", &[]).await),
        (
            "two keys",
            get(&fixture, "/slots", &[&key, "x-api-key: another-key"]).await,
        ),
        ("unknown key", get(&fixture, "/slots", &[unknown]).await),
        (
            "withdrawn key",
            get(&fixture, "/slots", &[&withdrawn]).await,
        ),
        ("unknown route", get(&fixture, "/nowhere", &[&key]).await),
        ("dot segments", get(&fixture, "/slots/..", &[&key]).await),
        ("open route, no key", get(&fixture, "/ice", &[]).await),
        (
            "body over the limit",
            book(&fixture, &["content-length: 2000"]).await,
        ),
    ];
    for (name, answer) in rows {
        writeln!(table, "{name}: {}", answer.outcome()).expect("writing to a string cannot fail");
    }
    let large = format!(
        "GET /slots HTTP/1.1\r\nhost: g\r\nx-a: {}\r\n\r\n",
        "a".repeat(40_000)
    );
    let answer = send_raw(fixture.gateway.caller_address(), large).await;
    writeln!(table, "head over the limit: {}", answer.outcome())
        .expect("writing to a string cannot fail");
}

async fn target_rows(table: &mut String) {
    let modes = [
        ("truncated answer", TargetMode::CloseMidBody),
        ("lost answer", TargetMode::AnswersLost),
        ("hang", TargetMode::Hang),
        ("error", TargetMode::WrongStatus(500)),
    ];
    for (name, mode) in modes {
        let fixture = start_in_mode(mode).await;
        let answer = book(&fixture, &["content-length: 0"]).await;
        writeln!(table, "{name}: {}", answer.outcome()).expect("writing to a string cannot fail");
    }
    let fixture = start(1, |_| {}).await;
    fixture.targets[0].set_draining(true);
    let answer = book(&fixture, &["content-length: 0"]).await;
    writeln!(table, "shed: {}", answer.outcome()).expect("writing to a string cannot fail");
}

async fn unreachable_row(table: &mut String) {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = closed.local_addr().expect("a listener has an address");
    drop(closed);
    let gateway = start_gateway(&[address], |_| {}).await;
    let fixture = Fixture {
        gateway,
        targets: Vec::new(),
    };
    let answer = book(&fixture, &["content-length: 0"]).await;
    writeln!(table, "unreachable: {}", answer.outcome()).expect("writing to a string cannot fail");
}

async fn capacity_rows(table: &mut String) {
    let edits: [(&str, ConfigEdit); 2] = [
        ("rate exceeded", |config| {
            config["customers"][0]["burst"] = Value::from(0)
        }),
        ("all targets leaving", |config| {
            config["targets"][0]["state"] = Value::from("leaving")
        }),
    ];
    for (name, edit) in edits {
        let fixture = start(1, edit).await;
        let answer = book(&fixture, &["content-length: 0"]).await;
        writeln!(table, "{name}: {}", answer.outcome()).expect("writing to a string cannot fail");
    }
}

/// Sends a booking of `length` bytes with a request id.
async fn book_as(fixture: &Fixture, id: &str, length: usize) -> RawAnswer {
    let address = fixture.gateway.caller_address();
    let body = "b".repeat(length);
    let key = authorization();
    let head = format!(
        "POST /book HTTP/1.1\r\nhost: g\r\nconnection: close\r\n{key}\r\nx-request-id: {id}\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    send_raw(address, head).await
}

async fn claim_rows(table: &mut String) {
    let fixture = start(1, |_| {}).await;
    let id = ["x-request-id: a", "x-request-id: b", "content-length: 0"];
    let mut rows = vec![
        ("two request ids", book(&fixture, &id).await),
        (
            "request id too long",
            book_as(&fixture, &"i".repeat(129), 0).await,
        ),
        ("first attempt", book_as(&fixture, "r-1", 1).await),
        ("retry, answer retained", book_as(&fixture, "r-1", 1).await),
        ("other content", book_as(&fixture, "r-1", 2).await),
    ];
    fixture.targets[0].set_mode(TargetMode::AnswersLost);
    let (first, busy) = tokio::join!(book_as(&fixture, "r-2", 1), async {
        while fixture.targets[0].in_flight() == 0 {
            tokio::task::yield_now().await;
        }
        book_as(&fixture, "r-2", 1).await
    });
    rows.push(("retry while it runs", busy));
    rows.push(("first attempt, answer lost", first));
    rows.push(("retry after that", book_as(&fixture, "r-2", 1).await));
    let claims = &fixture.gateway.state.claims;
    claims.enter_epoch(ClaimFleet::new(Epoch(1), []), []);
    rows.push(("no claim owner", book_as(&fixture, "r-3", 1).await));
    for (name, answer) in rows {
        let retry_after = answer.header("retry-after").unwrap_or("-");
        writeln!(table, "{name}: {} {retry_after}", answer.outcome())
            .expect("writing to a string cannot fail");
    }
}

#[tokio::test]
async fn test_outcomes_of_claims() {
    let mut table = String::new();
    claim_rows(&mut table).await;
    insta::assert_snapshot!(table, @r"
    two request ids: 400 not-run bad-request -
    request id too long: 400 not-run bad-request -
    first attempt: 200 - - -
    retry, answer retained: 200 - - -
    other content: 422 not-run request-id-reused -
    retry while it runs: 409 unknown request-id-busy 1
    first attempt, answer lost: 504 unknown target-timeout -
    retry after that: 409 unknown request-id-spent -
    no claim owner: 503 unknown claim-unavailable 1
    ");
}

/// The first target runs a read and truncates its answer; the second one sheds the retry. The
/// refusal must report the execution as unknown, although the last attempt did not run.
#[tokio::test]
async fn a_shed_retry_does_not_hide_an_attempt_that_may_have_run() {
    let fixture = start(2, |_| {}).await;
    let key = authorization();
    let headers = [&key[..]];
    // The retry budget grows with the number of requests.
    for _ in 0..30 {
        assert_eq!(get(&fixture, "/slots", &headers).await.status, 200);
    }
    for target in &fixture.targets {
        target.set_mode(TargetMode::CloseMidBody);
    }
    let executions = || -> usize {
        let targets = fixture.targets.iter();
        targets.map(|target| target.executions().len()).sum()
    };
    let read = get(&fixture, "/slots", &headers);
    let shed_next = async {
        while executions() == 30 {
            tokio::task::yield_now().await;
        }
        for target in &fixture.targets {
            target.set_draining(true);
        }
    };
    let (answer, ()) = tokio::join!(read, shed_next);
    assert_eq!(answer.header("damaskloom-execution"), Some("unknown"));
}

/// Each reason has a row with its status in docs/outcomes.md.
#[test]
fn every_reason_is_documented() {
    let page = include_str!("../../docs/outcomes.md");
    for reason in Reason::ALL {
        let row = format!("| `{reason}` | {} |", reason.status());
        assert!(page.contains(&row), "no row `{row}`");
    }
}

#[tokio::test]
async fn test_outcomes_table() {
    let mut table = String::new();
    head_rows(&mut table).await;
    target_rows(&mut table).await;
    unreachable_row(&mut table).await;
    capacity_rows(&mut table).await;
    insta::assert_snapshot!(table, @r"
    no key: 401 not-run key-missing
    two keys: 400 not-run key-ambiguous
    unknown key: 401 not-run key-unknown
    withdrawn key: 401 not-run key-withdrawn
    unknown route: 404 not-run route-unknown
    dot segments: 400 not-run bad-request
    open route, no key: 200 - -
    body over the limit: 413 not-run too-large
    head over the limit: 431 - -
    truncated answer: 502 unknown target-broken
    lost answer: 504 unknown target-timeout
    hang: 504 unknown target-timeout
    error: 500 - -
    shed: 503 not-run target-shed
    unreachable: 502 not-run target-unreachable
    rate exceeded: 429 not-run rate-exceeded
    all targets leaving: 503 not-run no-target
    ");
}
