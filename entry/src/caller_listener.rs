//! The listeners of a node: callers' requests, readiness, the directory and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::ids::DataCentreId;
use damaskloom_platform::entry_calls::{
    DIRECTORY_PATH, READY_PATH, directory_answer, requested_data_centre,
};
use futures::FutureExt;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::entry_state::EntryState;
use crate::hand_on::RequestOrigin;
use crate::request_path::serve;

/// The idle timeout of connections for the directory, readiness, metrics and peers' rows, and of
/// callers' connections while there is no configuration.
const AUXILIARY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The delay after a failed accept, for instance when file descriptors run out.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);
/// The read buffer of a caller's connection, in bytes: enough for a head and a typical body.
pub const CALLER_BUFFER_BYTES: usize = 32 << 10;

/// The read buffer of other connections, in bytes.
const AUXILIARY_BUFFER_BYTES: usize = 8 << 10;

/// Serves callers until `stopped` becomes true; then connections close after their current request.
pub async fn serve_callers(
    state: Rc<EntryState>,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
) {
    let serve = |stream| {
        let drain_guard = DrainGuard::new(&state);
        tokio::task::spawn_local(serve_caller(drain_guard, stream, stopped.clone()));
    };
    let mut stopping = stopped.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                tracing::warn!(%error, "failed to accept caller connection");
                tokio::time::sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }
    // Callers whose connections wait to be accepted may have sent requests already.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve(stream);
    }
}

/// Makes a planned stop wait until the guard is dropped: for a caller's connection, or for the answer to a
/// node that handed a request on.
#[derive(Debug)]
pub struct DrainGuard(Rc<EntryState>);

impl DrainGuard {
    /// Counts as an open connection.
    pub fn new(state: &Rc<EntryState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn serve_caller(
    drain_guard: DrainGuard,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "caller disconnected before it was served");
        return;
    }
    let state = &drain_guard.0;
    let idle = state
        .routing
        .borrow()
        .as_ref()
        .map_or(AUXILIARY_IDLE_TIMEOUT, |table| {
            table.document().limits.idle_timeout
        });
    let has_served = Cell::new(false);
    let service = service_fn(|request| {
        has_served.set(true);
        let state = Rc::clone(state);
        async move {
            let mut response = serve(Rc::clone(&state), request, RequestOrigin::Caller).await;
            if state.is_leaving() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // hyper's timeout for a head includes the wait for the next request.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(CALLER_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopped.wait_for(|stopped| *stopped) => {
            // On a new connection, the answer to the first request announces the close.
            if has_served.get() {
                connection.as_mut().graceful_shutdown();
            }
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "caller connection ended");
    }
}

/// Serves the platform's readiness checks.
pub async fn serve_readiness(state: Rc<EntryState>, listener: TcpListener) {
    serve_auxiliary(listener, AUXILIARY_BUFFER_BYTES, move |request| {
        let (status, text) = match (request.uri().path(), state.is_ready()) {
            (READY_PATH, true) => (StatusCode::OK, "ready"),
            (READY_PATH, false) => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            _ => (StatusCode::NOT_FOUND, "unknown path"),
        };
        std::future::ready(text_answer(status, text))
    })
    .await;
}

/// Serves the directory, from which callers learn where to connect.
pub async fn serve_directory(state: Rc<EntryState>, listener: TcpListener) {
    serve_auxiliary(listener, AUXILIARY_BUFFER_BYTES, move |request| {
        std::future::ready(answer_directory(&state, &request))
    })
    .await;
}

/// Serves the metrics.
pub async fn serve_metrics(state: Rc<EntryState>, listener: TcpListener) {
    serve_auxiliary(listener, AUXILIARY_BUFFER_BYTES, move |request| {
        let answer = match (request.uri().path(), state.encode_metrics()) {
            (METRICS_PATH, Ok(text)) => Response::new(Full::new(Bytes::from(text))),
            (METRICS_PATH, Err(error)) => {
                tracing::error!(%error, "failed to encode metrics");
                text_answer(StatusCode::INTERNAL_SERVER_ERROR, "metrics not written")
            }
            _ => text_answer(StatusCode::NOT_FOUND, "unknown path"),
        };
        std::future::ready(answer)
    })
    .await;
}

fn answer_directory(state: &EntryState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != DIRECTORY_PATH {
        return text_answer(StatusCode::NOT_FOUND, "unknown path");
    }
    let own = state.settings().data_centre.clone();
    let requested = request.uri().query().and_then(requested_data_centre);
    let requested = requested.and_then(|name| name.parse::<DataCentreId>().ok());
    let entries = state.entries_of(&requested.unwrap_or(own));
    if entries.is_empty() {
        return text_answer(StatusCode::SERVICE_UNAVAILABLE, "no node serves");
    }
    let addresses: Vec<_> = entries.iter().map(|node| node.address).collect();
    let body = directory_answer(&addresses, state.directory_lifetime());
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn text_answer(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Serves a listener for auxiliary calls with short answers.
pub async fn serve_auxiliary<F, B>(
    listener: TcpListener,
    max_buffer_bytes: usize,
    answer: impl Fn(Request<Incoming>) -> F + 'static,
) where
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept connection");
                tokio::time::sleep(ACCEPT_ERROR_DELAY).await;
                continue;
            }
        };
        let answer = Rc::clone(&answer);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answered = answer(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(AUXILIARY_IDLE_TIMEOUT)
                .max_buf_size(max_buffer_bytes)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
}
