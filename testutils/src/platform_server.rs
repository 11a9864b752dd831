//! The platform's stand-in: table, object store and VM list over HTTP, with faults on demand.
//!
//! Besides the platform's interface it has a control interface, which faults never touch:
//! `GET`/`PUT /control/faults` ([`PlatformFaults`]), `GET /control/counters`
//! ([`PlatformCounters`]) and `PUT /control/vms` (a [`VmListResponse`]).

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_lib::platform::{CommitOutcome, Transaction, VmEntry};
use damaskloom_lib::platform_wire::{
    COMMIT_PATH, GET_PATH, GetRequest, GetResponse, OBJECT_PREFIX, SCAN_PATH, ScanRequest,
    ScanResponse, VM_LIST_PATH, VmListResponse,
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::platform_faults::{OutageMode, PlatformCounters, PlatformFaults};
use crate::platform_table::{MemoryTable, ValueHistory};

/// The largest request body that the stand-in accepts.
const MAX_BODY_BYTES: usize = 256 << 20;

/// How long a call hangs while the stand-in is out without refusing.
const HANG_DURATION: Duration = Duration::from_secs(600);

/// The seed of the random faults.
const FAULT_SEED: u64 = 7;

/// Says why the stand-in did not start.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Says why a call gets no ordinary answer.
#[derive(Debug, Snafu)]
enum CallError {
    #[snafu(display("the answer is lost on purpose"))]
    AnswerLost,
    #[snafu(display("the call is refused on purpose"))]
    Refused,
    #[snafu(display("the body cannot be read"))]
    BadBody,
    #[snafu(display("there is no such path or object"))]
    NotFound,
}

#[derive(Debug)]
struct PlatformState {
    table: MemoryTable,
    objects: IndexMap<String, ValueHistory<Bytes>>,
    vms: ValueHistory<Vec<VmEntry>>,
    faults: PlatformFaults,
    counters: PlatformCounters,
    rng: SmallRng,
}

impl PlatformState {
    fn new() -> Self {
        Self {
            table: MemoryTable::default(),
            objects: IndexMap::new(),
            vms: ValueHistory::default(),
            faults: PlatformFaults::default(),
            counters: PlatformCounters::default(),
            rng: SmallRng::seed_from_u64(FAULT_SEED),
        }
    }

    fn read_time(&self) -> Instant {
        before_now(self.faults.read_lag_ms)
    }

    fn draw(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    fn answer_is_lost(&mut self) -> bool {
        let lost = if self.faults.lose_next_answers > 0 {
            self.faults.lose_next_answers -= 1;
            true
        } else {
            self.draw(self.faults.lost_answers_per_mille)
        };
        self.counters.lost_answers += u64::from(lost);
        lost
    }
}

fn before_now(lag_ms: u64) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_millis(lag_ms))
        .unwrap_or(now)
}

/// A running stand-in; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    acceptor: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts a stand-in that listens on `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let state = Arc::new(Mutex::new(PlatformState::new()));
        let acceptor = tokio::spawn(accept_connections(listener, state.clone()));
        Ok(Self {
            address,
            state,
            acceptor,
        })
    }

    /// Returns the address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.state).faults = faults;
    }

    /// Sets the VM list from now on; answers follow with the lag that the faults name.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        lock(&self.state).vms.set(Instant::now(), vms);
    }

    /// Returns the calls so far.
    pub fn counters(&self) -> PlatformCounters {
        lock(&self.state).counters.clone()
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state
        .lock()
        .expect("no holder of the stand-in's state panics")
}

async fn accept_connections(listener: TcpListener, state: Arc<Mutex<PlatformState>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, state.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<Mutex<PlatformState>>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { serve_request(&state, request).await }
    });
    // A connection that breaks is the client's matter; the stand-in keeps no record of it.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers a request; an error closes the connection without an answer.
async fn serve_request(
    state: &Mutex<PlatformState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, CallError> {
    let is_control = request.uri().path().starts_with("/control/");
    let answer = if is_control {
        serve_control(state, request).await
    } else {
        serve_platform(state, request).await
    };
    match answer {
        Ok(body) => Ok(Response::new(Full::new(body))),
        Err(CallError::AnswerLost) => Err(CallError::AnswerLost),
        Err(CallError::Refused) => Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE)),
        Err(CallError::BadBody) => Ok(empty_response(StatusCode::BAD_REQUEST)),
        Err(CallError::NotFound) => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn serve_control(
    state: &Mutex<PlatformState>,
    request: Request<Incoming>,
) -> Result<Bytes, CallError> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = read_body(request).await?;
    let mut state = lock(state);
    match (method, path.as_str()) {
        (Method::GET, "/control/faults") => Ok(to_json(&state.faults)),
        (Method::PUT, "/control/faults") => {
            state.faults = from_json(&body)?;
            Ok(Bytes::new())
        }
        (Method::GET, "/control/counters") => Ok(to_json(&state.counters)),
        (Method::PUT, "/control/vms") => {
            let list: VmListResponse = from_json(&body)?;
            state.vms.set(Instant::now(), list.vms);
            Ok(Bytes::new())
        }
        _ => NotFoundSnafu.fail(),
    }
}

async fn serve_platform(
    state: &Mutex<PlatformState>,
    request: Request<Incoming>,
) -> Result<Bytes, CallError> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = read_body(request).await?;
    let delay = admit_call(state).await?;
    tokio::time::sleep(delay).await;
    let mut state = lock(state);
    match (method, path.as_str()) {
        (Method::POST, GET_PATH) => serve_get(&mut state, &body),
        (Method::POST, SCAN_PATH) => serve_scan(&mut state, &body),
        (Method::POST, COMMIT_PATH) => serve_commit(&mut state, &body),
        (Method::GET, VM_LIST_PATH) => Ok(serve_vm_list(&mut state)),
        (method, path) => {
            let name = path.strip_prefix(OBJECT_PREFIX);
            serve_object(&mut state, &method, name, body)
        }
    }
}

/// Applies the faults that hit a call before it takes effect; returns the delay to wait.
async fn admit_call(state: &Mutex<PlatformState>) -> Result<Duration, CallError> {
    let hangs = {
        let mut state = lock(state);
        let refused = state.faults.outage == OutageMode::Refuse
            || state.faults.refused_per_mille > 0 && {
                let per_mille = state.faults.refused_per_mille;
                state.draw(per_mille)
            };
        let hangs = state.faults.outage == OutageMode::Hang;
        state.counters.failed += u64::from(refused || hangs);
        if refused {
            return RefusedSnafu.fail();
        }
        hangs
    };
    if hangs {
        tokio::time::sleep(HANG_DURATION).await;
        return AnswerLostSnafu.fail();
    }
    Ok(Duration::from_millis(lock(state).faults.delay_ms))
}

fn serve_get(state: &mut PlatformState, body: &[u8]) -> Result<Bytes, CallError> {
    let request: GetRequest = from_json(body)?;
    state.counters.gets += 1;
    let row = state.table.get(&request.key, state.read_time());
    Ok(to_json(&GetResponse { row }))
}

fn serve_scan(state: &mut PlatformState, body: &[u8]) -> Result<Bytes, CallError> {
    let request: ScanRequest = from_json(body)?;
    state.counters.scans += 1;
    let rows = state.table.scan(
        &request.prefix,
        request.after.as_ref(),
        request.limit,
        state.read_time(),
    );
    Ok(to_json(&ScanResponse { rows }))
}

fn serve_commit(state: &mut PlatformState, body: &[u8]) -> Result<Bytes, CallError> {
    let transaction: Transaction = from_json(body)?;
    let outcome = state.table.commit(&transaction, Instant::now());
    match outcome {
        CommitOutcome::Committed => state.counters.commits += 1,
        CommitOutcome::Conflict(_) => state.counters.conflicts += 1,
    }
    if state.answer_is_lost() {
        return AnswerLostSnafu.fail();
    }
    Ok(to_json(&outcome))
}

fn serve_vm_list(state: &mut PlatformState) -> Bytes {
    state.counters.vm_lists += 1;
    let at = before_now(state.faults.vm_list_lag_ms);
    let vms = state.vms.as_of(at).cloned().unwrap_or_default();
    to_json(&VmListResponse { vms })
}

fn serve_object(
    state: &mut PlatformState,
    method: &Method,
    name: Option<&str>,
    body: Bytes,
) -> Result<Bytes, CallError> {
    let name = name.ok_or(CallError::NotFound)?;
    if method == Method::PUT {
        state.counters.object_writes += 1;
        let history = state.objects.entry(name.to_owned()).or_default();
        history.set(Instant::now(), body);
        return match state.answer_is_lost() {
            true => AnswerLostSnafu.fail(),
            false => Ok(Bytes::new()),
        };
    }
    state.counters.object_reads += 1;
    let at = state.read_time();
    let object = state
        .objects
        .get(name)
        .and_then(|history| history.as_of(at));
    object.cloned().ok_or(CallError::NotFound)
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, CallError> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let collected = body.collect().await.map_err(|_| CallError::BadBody)?;
    Ok(collected.to_bytes())
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::BadBody)
}

fn to_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value)
        .expect("the stand-in's answers have text keys only")
        .into()
}

/// Runs a stand-in until the process is stopped.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn run_platform(address: SocketAddr) -> Result<Infallible, ServerError> {
    let server = PlatformServer::start(address).await?;
    tracing::info!(address = %server.address(), "platform stand-in listens");
    std::future::pending().await
}
