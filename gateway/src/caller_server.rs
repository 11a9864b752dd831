//! Accepts callers' connections, serves HTTP/1.1 and HTTP/2 on them, and closes them.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;

use crate::body_stream::AnswerBody;
use crate::caller_connection::CallerConnection;
use crate::exchange::serve;
use crate::gateway::GatewayState;
use crate::head_inspector::InspectedStream;

/// The time that requests in flight have to finish after a key of their connection was withdrawn.
const WITHDRAWN_GRACE_MS: u64 = 1_000;
/// The delay after a failed accept, for instance when no file descriptors are left.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;
/// The maximum number of open streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 128;

/// Accepts callers until `stop` is set, then waits until the last request is answered completely.
pub async fn run_caller_server(
    state: Arc<GatewayState>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(state.settings.max_connections));
    let tracker = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stop) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        // Above the limit, connections are closed at once, since any answer would need memory.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let (state, stop) = (Arc::clone(&state), stop.clone());
        tracker.spawn(async move {
            state.meters.connection_opened();
            serve_connection(&state, stream, peer.ip(), stop).await;
            state.meters.connection_closed();
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection(
    state: &Arc<GatewayState>,
    stream: TcpStream,
    peer: IpAddr,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let stream = InspectedStream::new(stream);
    let caller = Arc::new(CallerConnection::new(stream.log(), peer));
    let builder = connection_builder(state);
    let service = service_fn(|request| answer(state, &caller, request));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut revisions = state.config.subscribe();
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = wait_for_stop(&mut stop), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            Ok(()) = revisions.changed() => {
                if caller.has_withdrawn_key(&state.config) {
                    connection.as_mut().graceful_shutdown();
                    // A stream could continue for a long time with the withdrawn key.
                    let grace = Duration::from_millis(WITHDRAWN_GRACE_MS);
                    let _ = tokio::time::timeout(grace, connection.as_mut()).await;
                    return;
                }
            }
        }
    }
}

/// Waits for the planned stop; the sender exists as long as the process.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopping| *stopping).await.is_ok();
}

fn connection_builder(state: &GatewayState) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(state.settings.head_timeout_ms))
        .max_buf_size(state.settings.max_head_bytes)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(state.settings.max_head_bytes).unwrap_or(u32::MAX));
    builder
}

fn answer(
    state: &Arc<GatewayState>,
    caller: &Arc<CallerConnection>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<AnswerBody>, Infallible>> + use<> {
    let (state, caller) = (Arc::clone(state), Arc::clone(caller));
    async move { Ok(serve(&state, &caller, request).await) }
}
