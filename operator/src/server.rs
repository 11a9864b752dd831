//! The HTTP listener of the API.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::api::{ApiCall, ApiReply, OperatorApi};
use crate::api_error::ApiError;

/// The largest request body that is accepted.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The time limit for receiving a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest number of connections that are served at once.
const MAX_CONNECTIONS: usize = 256;

/// The error of a server that cannot start.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A server whose listener is bound.
#[derive(Debug)]
pub struct OperatorServer {
    listener: TcpListener,
    address: SocketAddr,
    api: Arc<OperatorApi>,
}

impl OperatorServer {
    /// Binds the address that the API's settings name.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(api: OperatorApi) -> Result<Self, ServerError> {
        let address = api.settings().listen;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        Ok(Self {
            listener,
            address,
            api: Arc::new(api),
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `stop` resolves, then closes the listener and finishes the requests in flight.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let (stopping, stopped) = watch::channel(());
        let mut connections = JoinSet::new();
        let mut stop = std::pin::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                accepted = self.listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                    if let Ok((stream, _)) = accepted {
                        let api = self.api.clone();
                        connections.spawn(serve_connection(stream, api, stopped.clone()));
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
        drop(self.listener);
        drop(stopping);
        while connections.join_next().await.is_some() {}
    }
}

async fn serve_connection(
    stream: TcpStream,
    api: Arc<OperatorApi>,
    mut stopped: watch::Receiver<()>,
) {
    let service = service_fn(move |request| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(serve_request(&api, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The connection has ended; an error needs no handling, since only this client sees it.
        _ = connection.as_mut() => return,
        _ = stopped.changed() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn serve_request(api: &OperatorApi, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let reply = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let call = ApiCall {
                method: parts.method,
                path: parts.uri.path().to_owned(),
                query: parts.uri.query().map(str::to_owned),
                headers: parts.headers,
                body: body.to_bytes(),
            };
            api.serve(call).await
        }
        Err(_) => ApiReply::from(ApiError::BadRequest {
            detail: "the body is too large or was cut short".to_owned(),
        }),
    };
    to_response(reply)
}

fn to_response(reply: ApiReply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if reply.status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    }
    response
}
