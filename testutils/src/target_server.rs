//! The target stand-in: a small HTTP/1.1 server that can show gray failures.
//!
//! Besides the requests that it serves, it answers `GET /healthz`, `GET /loadz`, and the control
//! requests `PUT /control/mode` (a JSON [`TargetMode`]), `PUT /control/drain` (`true` or `false`)
//! and `GET /control/executions` (a JSON list of [`ExecutionRecord`]).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::target_answer::{
    CUSTOMER_HEADER, DEADLINE_HEADER, LOAD_HEADER, NONCE_HEADER, REQUEST_ID_HEADER, SHED_HEADER,
    answer_body, body_digest,
};
use crate::target_mode::{ModeEffects, TargetMode};
use crate::target_settings::TargetSettings;
use crate::target_state::{ExecutionRecord, TargetState};
use crate::target_stream::{DuplicateFlag, TargetStream};

/// The delay before an answer is interrupted, and between attempts to listen again after a crash,
/// in milliseconds.
const SHORT_DELAY_MS: u64 = 5;

type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;
type Answer = Response<AnswerBody>;

/// Starts target stand-ins.
pub struct TargetServer;

impl TargetServer {
    /// Starts a target and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(settings: TargetSettings) -> io::Result<TargetHandle> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(TargetState::new(settings));
        let task = tokio::spawn(serve(Arc::clone(&state), listener, address));
        Ok(TargetHandle {
            address,
            state,
            task,
        })
    }
}

/// A running target; dropping it kills the target and its connections.
pub struct TargetHandle {
    address: SocketAddr,
    state: Arc<TargetState>,
    task: JoinHandle<()>,
}

impl TargetHandle {
    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target's name.
    pub fn name(&self) -> &str {
        &self.state.settings.name
    }

    /// Sets the mode, from the next request on.
    pub fn set_mode(&self, mode: TargetMode) {
        self.state.set_mode(mode);
    }

    /// Starts or ends draining; a draining target sheds new requests and fails its probe.
    pub fn set_draining(&self, draining: bool) {
        self.state.set_draining(draining);
    }

    /// Returns the number of requests that run now.
    pub fn in_flight(&self) -> u32 {
        self.state.in_flight()
    }

    /// Returns all executions so far, in the order of their start.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.executions()
    }

    /// Crashes the target; it listens again after its restart time.
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// Stops the target at once and waits until it no longer listens.
    pub async fn shutdown(mut self) {
        self.task.abort();
        // The task only ever ends by being cancelled.
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for TargetHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(state: Arc<TargetState>, listener: TcpListener, address: SocketAddr) {
    let mut listener = listener;
    loop {
        accept_until_crash(&state, listener).await;
        tokio::time::sleep(Duration::from_millis(state.settings.restart_ms)).await;
        state.restart();
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(SHORT_DELAY_MS)).await,
            }
        };
    }
}

/// Serves connections until a crash, which drops the listener and all of them.
async fn accept_until_crash(state: &Arc<TargetState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(Arc::clone(state), stream));
                }
            }
            () = state.crash.notified() => return,
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(state: Arc<TargetState>, stream: TcpStream) {
    if state.effects("").hang {
        let _held = stream;
        return std::future::pending().await;
    }
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = TargetStream::new(stream);
    let duplicate = stream.duplicate_flag();
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        let duplicate = Arc::clone(&duplicate);
        async move { handle(state, duplicate, request).await }
    });
    // An error ends only this connection, which the peer notices.
    let _ended = hyper::server::conn::http1::Builder::new()
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle(
    state: Arc<TargetState>,
    duplicate: DuplicateFlag,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    let path = request.uri().path().to_owned();
    let effects = state.effects(&path);
    duplicate.store(effects.duplicate_answers, Ordering::Relaxed);
    match path.as_str() {
        "/healthz" => Ok(health_answer(&state, &effects).await),
        "/loadz" => Ok(text_answer(StatusCode::OK, state.load_text(&effects))),
        path if path.starts_with("/control/") => control_answer(&state, request).await,
        _ => run_request(&state, &effects, request).await,
    }
}

async fn health_answer(state: &TargetState, effects: &ModeEffects) -> Answer {
    tokio::time::sleep(Duration::from_millis(state.settings.probe_ms)).await;
    let status = match effects.health_status {
        Some(status) => status_code(status),
        None if state.is_draining() => StatusCode::SERVICE_UNAVAILABLE,
        None => StatusCode::OK,
    };
    text_answer(status, "health\n")
}

async fn control_answer(state: &TargetState, request: Request<Incoming>) -> io::Result<Answer> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let result = match (method, path.as_str()) {
        (Method::GET, "/control/executions") => serde_json::to_string(&state.executions()),
        (Method::PUT, "/control/mode") => serde_json::from_slice(&body).map(|mode| {
            state.set_mode(mode);
            String::new()
        }),
        (Method::PUT, "/control/drain") => serde_json::from_slice(&body).map(|draining| {
            state.set_draining(draining);
            String::new()
        }),
        _ => return Ok(text_answer(StatusCode::NOT_FOUND, "no such control\n")),
    };
    Ok(match result {
        Ok(text) => text_answer(StatusCode::OK, text),
        Err(error) => text_answer(StatusCode::BAD_REQUEST, format!("{error}\n")),
    })
}

async fn run_request(
    state: &Arc<TargetState>,
    effects: &ModeEffects,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    if effects.hang {
        return std::future::pending().await;
    }
    let (parts, incoming) = request.into_parts();
    let mut record = new_record(&state.settings.name, &parts);
    let body = match effects.answer_early {
        true => Bytes::new(),
        false => read_body(incoming, &mut record).await?,
    };
    record.body_digest = body_digest(&body);
    record.body_unread = effects.answer_early;
    if effects.fail_fast {
        state.record_start(record);
        return Ok(text_answer(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"));
    }
    let Some(_slot) = state.acquire_slot(remaining_time(&parts.headers)).await else {
        return Ok(shed_answer(state, effects));
    };
    let index = state.record_start(record.clone());
    crash_if_marked(state, effects, &record.path, &body).await;
    sleep_unless_zero(state.service_time(effects)).await;
    state.record_finish(index);
    sleep_unless_zero(effects.answer_delay).await;
    if effects.drop_answers {
        return std::future::pending().await;
    }
    Ok(execution_answer(state, effects, &record))
}

/// Sleeps, unless the time is zero: the runtime's timer would round it up.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn new_record(target: &str, parts: &http::request::Parts) -> ExecutionRecord {
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    let mut record = ExecutionRecord {
        target: target.to_owned(),
        request_id: text(REQUEST_ID_HEADER),
        nonce: text(NONCE_HEADER),
        customer: text(CUSTOMER_HEADER),
        path: parts.uri.path().to_owned(),
        head: format!("{} {}\n", parts.method, parts.uri),
        body_digest: 0,
        body_unread: false,
        started_micros: 0,
        finished: false,
    };
    add_headers(&mut record.head, &parts.headers);
    record
}

fn add_headers(head: &mut String, headers: &HeaderMap) {
    for (name, value) in headers {
        head.push_str(name.as_str());
        head.push_str(": ");
        head.push_str(&String::from_utf8_lossy(value.as_bytes()));
        head.push('\n');
    }
}

async fn read_body(mut incoming: Incoming, record: &mut ExecutionRecord) -> io::Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        match frame.map_err(io::Error::other)?.into_data() {
            Ok(data) => body.extend_from_slice(&data),
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    add_headers(&mut record.head, &trailers);
                }
            }
        }
    }
    Ok(body.freeze())
}

fn remaining_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

async fn crash_if_marked(state: &TargetState, effects: &ModeEffects, path: &str, body: &[u8]) {
    let Some(marker) = effects.crash_marker.as_deref() else {
        return;
    };
    let marked = path.contains(marker)
        || body
            .windows(marker.len().max(1))
            .any(|window| window == marker.as_bytes());
    if marked {
        state.crash.notify_one();
        std::future::pending().await
    }
}

fn execution_answer(
    state: &TargetState,
    effects: &ModeEffects,
    record: &ExecutionRecord,
) -> Answer {
    let status = match effects.status {
        Some(status) => status_code(status),
        None if state.draw_error(effects) => StatusCode::INTERNAL_SERVER_ERROR,
        None => StatusCode::OK,
    };
    let nonce = record.nonce.as_deref().unwrap_or_default();
    let settings = &state.settings;
    let digest = (!record.body_unread).then_some(record.body_digest);
    let body = answer_body(nonce, digest, &settings.name, settings.answer_bytes);
    let length = body.len();
    let mut answer = match effects.close_mid_body {
        true => Response::new(interrupted_body(body)),
        false => Response::new(full_body(body)),
    };
    *answer.status_mut() = status;
    answer.headers_mut().insert("content-length", length.into());
    add_load(&mut answer, state, effects);
    answer
}

fn shed_answer(state: &TargetState, effects: &ModeEffects) -> Answer {
    let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    answer
        .headers_mut()
        .insert(SHED_HEADER, http::HeaderValue::from_static("true"));
    add_load(&mut answer, state, effects);
    answer
}

fn add_load(answer: &mut Answer, state: &TargetState, effects: &ModeEffects) {
    let load = state.load_text(effects).parse();
    let load = load.expect("digits and a slash are a header value");
    answer.headers_mut().insert(LOAD_HEADER, load);
}

fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(full_body(text.into()));
    *answer.status_mut() = status;
    answer
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn full_body(body: Bytes) -> AnswerBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a body that fails after its first half, which makes the server close the connection.
fn interrupted_body(body: Bytes) -> AnswerBody {
    let half = body.slice(..body.len() / 2);
    let frames = futures::stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) if !half.is_empty() => Some((Ok(Frame::data(half)), Some(Bytes::new()))),
            Some(_) => {
                // The delay lets the first half be sent before the connection is closed.
                tokio::time::sleep(Duration::from_millis(SHORT_DELAY_MS)).await;
                Some((
                    Err(io::Error::other("closed in the middle of the body")),
                    None,
                ))
            }
            None => None,
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
