//! Each row of the outcomes table, forced.

use std::fmt::Write;

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

/// Starts one target in the given mode whose ejection the floor forbids.
async fn with_mode(mode: TargetMode) -> Fixture {
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
            "body over the bound",
            book(&fixture, &["content-length: 2000"]).await,
        ),
    ];
    for (name, answer) in rows {
        writeln!(table, "{name}: {}", answer.outcome()).expect("a string takes all text");
    }
    let large = format!(
        "GET /slots HTTP/1.1\r\nhost: g\r\nx-a: {}\r\n\r\n",
        "a".repeat(40_000)
    );
    let answer = send_raw(fixture.gateway.caller_address(), large).await;
    writeln!(table, "head over the bound: {}", answer.outcome()).expect("a string takes all text");
}

async fn target_rows(table: &mut String) {
    let modes = [
        ("cut answer", TargetMode::CloseMidBody),
        ("lost answer", TargetMode::AnswersLost),
        ("hang", TargetMode::Hang),
        ("error", TargetMode::WrongStatus(500)),
    ];
    for (name, mode) in modes {
        let fixture = with_mode(mode).await;
        let answer = book(&fixture, &["content-length: 0"]).await;
        writeln!(table, "{name}: {}", answer.outcome()).expect("a string takes all text");
    }
    let fixture = start(1, |_| {}).await;
    fixture.targets[0].set_draining(true);
    let answer = book(&fixture, &["content-length: 0"]).await;
    writeln!(table, "shed: {}", answer.outcome()).expect("a string takes all text");
}

async fn unreachable_row(table: &mut String) {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback is free");
    let address = closed.local_addr().expect("a listener has an address");
    drop(closed);
    let gateway = start_gateway(&[address], |_| {}).await;
    let fixture = Fixture {
        gateway,
        targets: Vec::new(),
    };
    let answer = book(&fixture, &["content-length: 0"]).await;
    writeln!(table, "unreachable: {}", answer.outcome()).expect("a string takes all text");
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
        writeln!(table, "{name}: {}", answer.outcome()).expect("a string takes all text");
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
    body over the bound: 413 not-run too-large
    head over the bound: 431 - -
    cut answer: 502 unknown target-broken
    lost answer: 504 unknown target-timeout
    hang: 504 unknown target-timeout
    error: 500 - -
    shed: 503 not-run target-shed
    unreachable: 502 not-run target-unreachable
    rate exceeded: 429 not-run rate-exceeded
    all targets leaving: 503 not-run no-target
    ");
}
