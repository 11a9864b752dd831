//! Tests of the target stand-in, whose modes inject failures, and of callers' devices, which behave
//! like old ones.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_testutils::caller_device::{CallerDevice, DeviceRequest, DeviceSettings};
use damaskloom_testutils::ledger_clock::unix_micros;
use damaskloom_testutils::ledger_record::CallOutcome;
use damaskloom_testutils::load_plan::{CustomerLoad, KeyPlacement, LoadPlan, RequestKind};
use damaskloom_testutils::load_runner::LoadRunner;
use damaskloom_testutils::target_answer::{answer_body, body_digest};
use damaskloom_testutils::target_mode::TargetMode;
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_settings::{ServiceTime, TargetSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const GENEROUS_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

async fn start_target(settings: TargetSettings) -> TargetHandle {
    TargetServer::start(settings)
        .await
        .expect("loopback has a free port")
}

fn fast_settings() -> TargetSettings {
    TargetSettings {
        service_time: ServiceTime::Fixed(0.0),
        probe_ms: 0,
        restart_ms: 1,
        ..TargetSettings::default()
    }
}

fn device(bootstrap: Vec<SocketAddr>, directory: bool, timeout: Duration) -> CallerDevice {
    CallerDevice::new(DeviceSettings {
        customer: "acme".to_owned(),
        key: Some("k-1".to_owned()),
        key_placement: KeyPlacement::Bearer,
        bootstrap,
        directory,
        timeout,
        resends: 2,
    })
}

fn request(nonce: &str, method: &str, path: &str, has_id: bool) -> DeviceRequest {
    DeviceRequest {
        kind: RequestKind {
            method: method.to_owned(),
            path: path.to_owned(),
            idempotent: method == "GET",
            request_id_header: has_id.then(|| "x-request-id".to_owned()),
            ..RequestKind::default()
        },
        nonce: nonce.to_owned(),
        body: match method {
            "GET" => Bytes::new(),
            _ => Bytes::from_static(b"one place in the convoy"),
        },
        intended_micros: unix_micros(),
    }
}

async fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server listens");
    let text = format!("{request} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the server reads");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the answer is text");
    answer
}

/// Starts a server that answers each request with the script's result; `None` closes the
/// connection. Also returns the requests that it received.
async fn start_scripted_server(
    mut script: impl FnMut(&str) -> Option<String> + Send + 'static,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let requests = Arc::clone(&seen);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accepting works");
            let mut buffer = vec![0; 4096];
            while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                let answer = script(&text);
                requests.lock().expect("no test panicked").push(text);
                match answer {
                    Some(answer) => stream.write_all(answer.as_bytes()).await.expect("it reads"),
                    None => break,
                }
            }
        }
    });
    (address, seen)
}

fn ok_response(body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

/// Returns a port that refuses connections as long as the socket is kept.
fn closed_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("sockets can be made");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

#[tokio::test]
async fn each_mode_gives_callers_its_outcome() {
    let success = CallOutcome::Answered(200);
    for (mode, method, expected, executions) in [
        (TargetMode::Healthy, "POST", success.clone(), 1),
        (
            TargetMode::ErrorShare(1.0),
            "GET",
            CallOutcome::Answered(500),
            1,
        ),
        (
            TargetMode::WrongStatus(404),
            "GET",
            CallOutcome::Answered(404),
            1,
        ),
        (TargetMode::FailFast, "GET", CallOutcome::Answered(500), 1),
        (TargetMode::Hang, "POST", CallOutcome::TimedOut, 0),
        (TargetMode::AnswersLost, "POST", CallOutcome::TimedOut, 1),
        (TargetMode::CloseMidBody, "POST", CallOutcome::Lost, 1),
        (
            TargetMode::CrashOn("convoy".to_owned()),
            "POST",
            CallOutcome::Lost,
            1,
        ),
        (TargetMode::AnswerEarly, "POST", success.clone(), 1),
        (TargetMode::LoadStuckAtZero, "POST", success.clone(), 1),
        (TargetMode::LateAnswers(1), "POST", success, 1),
    ] {
        let target = start_target(fast_settings()).await;
        target.set_mode(mode.clone());
        let timeout = match expected {
            CallOutcome::TimedOut => SHORT_TIMEOUT,
            _ => GENEROUS_TIMEOUT,
        };
        let device = device(vec![target.address()], false, timeout);
        let records = device.call(&request("a", method, "/x", false)).await;
        assert_eq!(records[0].outcome, expected, "{mode:?}");
        assert_eq!(target.executions().len(), executions, "{mode:?}");
        target.shutdown().await;
    }
}

#[tokio::test]
async fn duplicate_answers_never_reach_the_next_request() {
    let target = start_target(fast_settings()).await;
    target.set_mode(TargetMode::DuplicateAnswers);
    let device = device(vec![target.address()], false, GENEROUS_TIMEOUT);
    for index in 0..20 {
        let records = device
            .call(&request(&format!("r{index}"), "GET", "/x", true))
            .await;
        let crossed = records
            .iter()
            .any(|record| record.outcome == CallOutcome::Crossed);
        assert!(!crossed, "request {index}");
    }
}

#[tokio::test]
async fn a_full_target_sheds_without_running() {
    let target = start_target(TargetSettings {
        slots: 1,
        queue: 0,
        service_time: ServiceTime::Fixed(GENEROUS_TIMEOUT.as_millis() as f64),
        ..fast_settings()
    })
    .await;
    let address = target.address();
    let running = tokio::spawn(async move { send_raw(address, "GET /long").await });
    while target.in_flight() == 0 {
        tokio::task::yield_now().await;
    }
    let shed = send_raw(address, "GET /second").await;
    assert!(shed.starts_with("HTTP/1.1 503"), "{shed}");
    assert!(shed.contains("damaskloom-shed: true"), "{shed}");
    assert!(shed.contains("damaskloom-load: 1/1"), "{shed}");
    assert_eq!(target.executions().len(), 1);
    running.abort();
}

#[tokio::test]
async fn control_requests_change_mode_and_draining() {
    let target = start_target(fast_settings()).await;
    let address = target.address();
    target.set_mode(TargetMode::WrongStatus(500));
    assert!(
        send_raw(address, "GET /healthz")
            .await
            .starts_with("HTTP/1.1 200")
    );
    target.set_mode(TargetMode::HealthStatus(503));
    assert!(
        send_raw(address, "GET /healthz")
            .await
            .starts_with("HTTP/1.1 503")
    );
    assert!(
        send_raw(address, "GET /x")
            .await
            .starts_with("HTTP/1.1 200")
    );
    target.set_draining(true);
    assert!(
        send_raw(address, "GET /x")
            .await
            .contains("damaskloom-shed: true")
    );
    assert!(
        send_raw(address, "GET /control/executions")
            .await
            .contains("\"/x\"")
    );
}

#[tokio::test]
async fn a_device_caches_the_list_and_goes_on_to_the_next_entry() {
    let target = start_target(fast_settings()).await;
    let (_socket, closed) = closed_port();
    let address = target.address();
    let (directory, queries) = start_scripted_server(move |_| {
        ok_response(&format!(
            "{{\"entries\":[{{\"address\":\"{closed}\"}},{{\"address\":\"{address}\"}}],\
             \"lifetime_ms\":600000}}"
        ))
    })
    .await;
    let device = device(vec![directory], true, GENEROUS_TIMEOUT);
    let first = device.call(&request("a", "POST", "/book", false)).await;
    let outcomes: Vec<_> = first.iter().map(|record| record.outcome.clone()).collect();
    assert_eq!(outcomes, [CallOutcome::NotSent, CallOutcome::Answered(200)]);
    let second = device.call(&request("b", "POST", "/book", false)).await;
    assert_eq!(second.len(), 1);
    let queries = queries.lock().expect("no test panicked");
    assert_eq!(queries.len(), 1);
    assert!(queries[0].starts_with("GET /v1/entries?route=/book HTTP/1.1"));
    assert!(queries[0].contains("authorization: Bearer k-1"));
}

#[tokio::test]
async fn a_request_with_a_lost_answer_is_resent_with_the_same_id() {
    let (dropper, dropped) = start_scripted_server(|_| None).await;
    let target = start_target(fast_settings()).await;
    let address = target.address();
    let (directory, _) =
        start_scripted_server(move |_| ok_response(&format!("{dropper}\n{address}\n"))).await;
    let caller = device(vec![directory], true, GENEROUS_TIMEOUT);
    let records = caller.call(&request("a", "POST", "/book", true)).await;
    let outcomes: Vec<_> = records
        .iter()
        .map(|record| record.outcome.clone())
        .collect();
    assert_eq!(outcomes, [CallOutcome::Lost, CallOutcome::Answered(200)]);
    assert!(dropped.lock().expect("no test panicked")[0].contains("x-request-id: a\r\n"));
    assert_eq!(target.executions()[0].request_id.as_deref(), Some("a"));

    let caller = device(vec![directory], true, GENEROUS_TIMEOUT);
    let records = caller.call(&request("b", "POST", "/book", false)).await;
    assert_eq!(
        records.len(),
        1,
        "without an id a resend would be a second booking"
    );
}

#[tokio::test]
async fn crossed_and_truncated_answers_are_distinguished() {
    let digest = body_digest(b"");
    let whole = answer_body("a", Some(digest), "t", 200);
    let whole = String::from_utf8(whole.to_vec()).expect("answers are text");
    for (nonce, body, expected) in [
        ("a", whole.clone(), CallOutcome::Answered(200)),
        ("b", whole.clone(), CallOutcome::Crossed),
        ("a", whole[..150].to_owned(), CallOutcome::CutLooksWhole),
        ("a", String::new(), CallOutcome::CutLooksWhole),
    ] {
        let (server, _) = start_scripted_server(move |_| ok_response(&body)).await;
        let device = device(vec![server], false, GENEROUS_TIMEOUT);
        let records = device.call(&request(nonce, "GET", "/x", true)).await;
        assert_eq!(records[0].outcome, expected);
    }
}

#[tokio::test]
async fn slow_answers_delay_no_request() {
    let target = start_target(TargetSettings {
        mode: TargetMode::Hang,
        ..fast_settings()
    })
    .await;
    let mut plan = LoadPlan {
        bootstrap: vec![target.address()],
        directory: false,
        duration_ms: 295,
        timeout_ms: 1_000,
        resends: 0,
        customers: vec![CustomerLoad {
            id: "acme".to_owned(),
            rate: 100.0,
            even: true,
            mix: vec![RequestKind::default()],
            ..CustomerLoad::default()
        }],
        ..LoadPlan::default()
    };
    let report = LoadRunner::run(&plan).await;
    assert_eq!(report.total.requests, 29);
    assert_eq!(report.total.outcomes["timed out"], 29);

    target.set_mode(TargetMode::Healthy);
    plan.max_in_flight = 0;
    let report = LoadRunner::run(&plan).await;
    assert_eq!(report.total.outcomes["dropped by the load tool"], 29);
}
