//! The platform's stand-in: tables of rows, their feeds and an object store, with injected faults.
//!
//! Besides the platform's interface it has a control interface, which faults never affect:
//! `GET`/`PUT /control/faults` ([`PlatformFaults`]), `GET /control/counters`
//! ([`PlatformCounters`]), `PUT /control/vms` (a [`VmListDocument`]), and `PUT`/`DELETE
//! /control/rows/TABLE/KEY`, which writes and removes rows as operators and targets do.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_lib::platform::VmEntry;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu, ensure};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::platform_faults::{OutageMode, PlatformCounters, PlatformFaults};
use crate::platform_table::{MemoryTables, MemoryTransaction, RowName, ValueHistory};
use crate::platform_wire::{CallQuery, FeedQuery, PageQuery, parse_transaction, rows_answer};

/// The largest request body that the stand-in accepts.
const MAX_BODY_BYTES: usize = 256 << 20;

/// How long a call hangs during an outage with [`OutageMode::Hang`].
const HANG_DURATION: Duration = Duration::from_secs(600);

/// The seed of the random faults.
const FAULT_SEED: u64 = 7;

/// The maximum number of rows that one read returns.
const PAGE_ROWS: usize = 500;

/// The table with the VM list, which has a separate lag.
const VM_TABLE: &str = "vms";

/// An error on starting the stand-in.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The stand-in cannot listen on the address.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The reason for which a call gets no successful answer.
#[derive(Debug, Snafu)]
enum CallError {
    #[snafu(display("a fault dropped the answer"))]
    AnswerLost,
    #[snafu(display("a fault refused the call"))]
    Refused,
    #[snafu(display("the body cannot be read or parsed"))]
    BadBody,
    #[snafu(display("there is no such path or object"))]
    NotFound,
    #[snafu(display("the history of the feed was discarded"))]
    HistoryDiscarded,
    #[snafu(display("a row has a different version than expected"))]
    Conflict { body: Value },
}

/// A copy of all tables, which the store can be restored from.
#[derive(Clone, Debug)]
pub struct TablesCopy(MemoryTables);

#[derive(Debug)]
struct PlatformState {
    tables: MemoryTables,
    /// The number of times that the tables were restored from a copy.
    era: u16,
    objects: IndexMap<String, ValueHistory<Bytes>>,
    faults: PlatformFaults,
    counters: PlatformCounters,
    rng: SmallRng,
}

impl PlatformState {
    fn new() -> Self {
        Self {
            tables: MemoryTables::default(),
            era: 0,
            objects: IndexMap::new(),
            faults: PlatformFaults::default(),
            counters: PlatformCounters::default(),
            rng: SmallRng::seed_from_u64(FAULT_SEED),
        }
    }

    fn read_time(&self, table: &str) -> Instant {
        time_before_now(match table {
            VM_TABLE => self.faults.vm_list_lag_ms,
            _ => self.faults.read_lag_ms,
        })
    }

    fn write(&mut self, table: &str, key: &str, value: Option<Bytes>) {
        let name = RowName {
            table: table.to_owned(),
            key: key.to_owned(),
        };
        let transaction = MemoryTransaction {
            expected: Vec::new(),
            writes: vec![(name, value)],
        };
        let applied = self.tables.transact(transaction, Instant::now());
        applied.expect("a transaction that expects nothing is applied");
    }

    fn set_vms(&mut self, vms: &[VmEntry]) {
        let (rows, _) = self
            .tables
            .read(VM_TABLE, "", None, usize::MAX, Instant::now());
        for row in rows {
            self.write(VM_TABLE, &row.key, None);
        }
        for vm in vms {
            self.write(VM_TABLE, vm.id.as_str(), Some(to_json(vm)));
        }
    }

    fn draw_per_mille(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    fn draw_answer_loss(&mut self) -> bool {
        let lost = if self.faults.lose_next_answers > 0 {
            self.faults.lose_next_answers -= 1;
            true
        } else {
            self.draw_per_mille(self.faults.lost_answers_per_mille)
        };
        self.counters.lost_answers += u64::from(lost);
        lost
    }
}

fn time_before_now(lag_ms: u64) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_millis(lag_ms))
        .unwrap_or(now)
}

/// The stand-in's state, with a channel that signals its changes.
#[derive(Debug)]
struct SharedPlatform {
    state: Mutex<PlatformState>,
    changed: watch::Sender<()>,
}

impl SharedPlatform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        let state = self.state.lock();
        state.expect("no holder of the stand-in's state panics")
    }

    fn update<T>(&self, apply: impl FnOnce(&mut PlatformState) -> T) -> T {
        let result = apply(&mut self.lock());
        self.changed.send_replace(());
        result
    }
}

/// The content of the VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VmListDocument {
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

/// A running stand-in; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    shared: Arc<SharedPlatform>,
    acceptor: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts a stand-in that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (changed, _) = watch::channel(());
        let shared = Arc::new(SharedPlatform {
            state: Mutex::new(PlatformState::new()),
            changed,
        });
        let acceptor = tokio::spawn(accept_connections(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            acceptor,
        })
    }

    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start_local() -> Result<Self, ServerError> {
        Self::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Returns the address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.update(|state| state.faults = faults);
    }

    /// Sets the VM list; answers show it after the lag that the faults set.
    pub fn set_vms(&self, vms: &[VmEntry]) {
        self.shared.update(|state| state.set_vms(vms));
    }

    /// Writes a row, as operators and targets do, regardless of faults.
    pub fn put(&self, table: &str, key: &str, value: impl Into<Bytes>) {
        let value = Some(value.into());
        self.shared.update(|state| state.write(table, key, value));
    }

    /// Removes a row, regardless of faults.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.update(|state| state.write(table, key, None));
    }

    /// Returns a row's bytes; none if there is no such row.
    pub fn get(&self, table: &str, key: &str) -> Option<Bytes> {
        let now = Instant::now();
        let state = self.shared.lock();
        let (rows, _) = state.tables.read(table, key, None, 1, now);
        let row = rows.into_iter().find(|row| row.key == key)?;
        row.value
    }

    /// Returns the newest version of the tables.
    pub fn newest_version(&self) -> u64 {
        self.shared.lock().tables.version()
    }

    /// Returns a copy of all tables.
    pub fn copy_tables(&self) -> TablesCopy {
        TablesCopy(self.shared.lock().tables.clone())
    }

    /// Restores the tables from a copy: what was written since is lost, its versions are given out
    /// again, and the era rises by one.
    pub fn restore_tables(&self, copy: &TablesCopy) {
        self.shared.update(|state| {
            state.tables = copy.0.clone();
            state.era += 1;
        });
    }

    /// Returns the counters of the calls so far.
    pub fn counters(&self) -> PlatformCounters {
        self.shared.lock().counters.clone()
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<SharedPlatform>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&shared)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<SharedPlatform>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { serve_request(&shared, request).await }
    });
    // Errors of a connection concern only its client; the stand-in doesn't record them.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers a request; an error closes the connection without an answer.
async fn serve_request(
    shared: &SharedPlatform,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, CallError> {
    let is_control = request.uri().path().starts_with("/control/");
    let answer = if is_control {
        serve_control(shared, request).await
    } else {
        serve_platform(shared, request).await
    };
    let mut response = match answer {
        Ok(body) => response(StatusCode::OK, body),
        Err(CallError::AnswerLost) => return Err(CallError::AnswerLost),
        Err(CallError::Refused) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        Err(CallError::BadBody) => empty_response(StatusCode::BAD_REQUEST),
        Err(CallError::NotFound) => empty_response(StatusCode::NOT_FOUND),
        Err(CallError::HistoryDiscarded) => empty_response(StatusCode::GONE),
        Err(CallError::Conflict { body }) => {
            response(StatusCode::PRECONDITION_FAILED, to_json(&body))
        }
    };
    let era = shared.lock().era;
    response.headers_mut().insert("store-era", (era + 1).into());
    Ok(response)
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    response(status, Bytes::new())
}

async fn serve_control(
    shared: &SharedPlatform,
    request: Request<Incoming>,
) -> Result<Bytes, CallError> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = read_body(request).await?;
    match (method, path.as_str()) {
        (Method::GET, "/control/faults") => Ok(to_json(&shared.lock().faults)),
        (Method::PUT, "/control/faults") => {
            let faults = from_json(&body)?;
            shared.update(|state| state.faults = faults);
            Ok(Bytes::new())
        }
        (Method::GET, "/control/counters") => Ok(to_json(&shared.lock().counters)),
        (Method::PUT, "/control/vms") => {
            let list: VmListDocument = from_json(&body)?;
            shared.update(|state| state.set_vms(&list.vms));
            Ok(Bytes::new())
        }
        (method @ (Method::PUT | Method::DELETE), path) => {
            let row = path.strip_prefix("/control/rows/");
            let row = row.and_then(|row| row.split_once('/'));
            let (table, key) = row.ok_or(CallError::NotFound)?;
            let value = (method == Method::PUT).then_some(body);
            shared.update(|state| state.write(table, key, value));
            Ok(Bytes::new())
        }
        _ => NotFoundSnafu.fail(),
    }
}

async fn serve_platform(
    shared: &SharedPlatform,
    request: Request<Incoming>,
) -> Result<Bytes, CallError> {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = read_body(request).await?;
    let delay = apply_call_faults(shared).await?;
    tokio::time::sleep(delay).await;
    let query = CallQuery::parse(uri.query().unwrap_or_default());
    match (method, uri.path()) {
        (Method::GET, "/v1/rows-get") => Ok(serve_page(&mut shared.lock(), &query.page_query())),
        (Method::GET, "/v1/rows-feed") => serve_feed(shared, &query.feed_query()).await,
        (Method::POST, "/v1/rows-tx") => {
            let transaction = parse_transaction(&body).ok_or(CallError::BadBody)?;
            shared.update(|state| serve_transaction(state, transaction))
        }
        (method, path) => shared.update(|state| serve_object(state, &method, path, body)),
    }
}

/// Applies the faults that act before a call takes effect; returns the delay of its answer.
async fn apply_call_faults(shared: &SharedPlatform) -> Result<Duration, CallError> {
    let hangs = {
        let mut state = shared.lock();
        let refused = state.faults.outage == OutageMode::Refuse
            || state.faults.refused_per_mille > 0 && {
                let per_mille = state.faults.refused_per_mille;
                state.draw_per_mille(per_mille)
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
    Ok(Duration::from_millis(shared.lock().faults.delay_ms))
}

fn serve_page(state: &mut PlatformState, query: &PageQuery) -> Bytes {
    let single = format!("{}\0", query.from);
    match (query.table.as_str(), &query.before) {
        (VM_TABLE, _) => state.counters.vm_lists += 1,
        (_, Some(before)) if *before == single => state.counters.gets += 1,
        _ => state.counters.scans += 1,
    }
    let at = state.read_time(&query.table);
    let limit = query.limit.min(PAGE_ROWS);
    let (rows, has_more) = state.tables.read(
        &query.table,
        &query.from,
        query.before.as_deref(),
        limit,
        at,
    );
    to_json(&rows_answer(
        &query.table,
        rows,
        has_more,
        state.tables.version(),
    ))
}

async fn serve_feed(shared: &SharedPlatform, query: &FeedQuery) -> Result<Bytes, CallError> {
    shared.lock().counters.feeds += 1;
    let era = shared.lock().era;
    let mut feed = shared.changed.subscribe();
    let end = tokio::time::Instant::now() + query.wait;
    loop {
        let (rows, version, faults) = {
            let state = shared.lock();
            // Connections do not survive the store that they were made to.
            ensure!(state.era == era, AnswerLostSnafu);
            let rows = state.tables.changes(&query.table, query.after);
            (rows, state.tables.version(), state.faults.clone())
        };
        match faults.outage {
            OutageMode::Refuse => return RefusedSnafu.fail(),
            // The feed is answered after the outage if the caller still waits.
            OutageMode::Hang => {}
            OutageMode::None if faults.forgetful || query.after > version => {
                return HistoryDiscardedSnafu.fail();
            }
            OutageMode::None if !rows.is_empty() => {
                return Ok(to_json(&rows_answer(&query.table, rows, false, version)));
            }
            OutageMode::None => {}
        }
        if tokio::time::timeout_at(end, feed.changed()).await.is_err() {
            return Ok(to_json(&rows_answer(&query.table, rows, false, version)));
        }
    }
}

fn serve_transaction(
    state: &mut PlatformState,
    transaction: MemoryTransaction,
) -> Result<Bytes, CallError> {
    let outcome = state.tables.transact(transaction, Instant::now());
    match &outcome {
        Ok(()) => state.counters.commits += 1,
        Err(_) => state.counters.conflicts += 1,
    }
    if state.draw_answer_loss() {
        return AnswerLostSnafu.fail();
    }
    let version = state.tables.version();
    match outcome {
        Ok(()) => Ok(to_json(&json!({ "row_version": version }))),
        Err(rows) => ConflictSnafu {
            body: rows_answer("", rows, false, version),
        }
        .fail(),
    }
}

fn serve_object(
    state: &mut PlatformState,
    method: &Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, CallError> {
    if let (&Method::PUT, Some(name)) = (method, path.strip_prefix("/v1/blob-put/")) {
        state.counters.object_writes += 1;
        let history = state.objects.entry(name.to_owned()).or_default();
        history.set(Instant::now(), body);
        return match state.draw_answer_loss() {
            true => AnswerLostSnafu.fail(),
            false => Ok(Bytes::new()),
        };
    }
    let name = path.strip_prefix("/v1/blob-get/");
    let name = name.filter(|_| method == Method::GET);
    let name = name.ok_or(CallError::NotFound)?;
    state.counters.object_reads += 1;
    let at = time_before_now(state.faults.read_lag_ms);
    let history = state.objects.get(name);
    let object = history.and_then(|history| history.as_of(at));
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
    tracing::info!(address = %server.address(), "platform stand-in is listening");
    std::future::pending().await
}
