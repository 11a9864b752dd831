//! Lets nodes fetch rows of the store from each other, over the listener that also takes requests
//! which they hand on.
//!
//! A node that does not read the store learns from heartbeats that a peer has newer rows, and
//! fetches them over HTTP. Both sides prove that they know the fleet's secret. A node whose own calls to the
//! store have failed asks in the same way what others read of it.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::ids::VmId;
use damaskloom_lib::row_fetch::{
    FETCH_TIMEOUT_MS, FetchEnd, FetchStep, NewerPeer, OwnFeed, PeerRank, RowFetcher, initial_delay,
};
use damaskloom_lib::store_health::StoreReading;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::table_mirror::{MirrorRow, RowExtent, TableMirror};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::header::HeaderName;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};

use crate::caller_answer::CallerBody;
use crate::caller_listener::{CALLER_BUFFER_BYTES, DrainGuard, serve_auxiliary};
use crate::entry_state::EntryState;
use crate::hand_on::{HAND_ON_HEADER, RequestOrigin, is_handed_on};
use crate::request_path::serve;
use crate::table_copy::TableKind;

/// The timeout for a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(FETCH_TIMEOUT_MS);
/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The path at which a peer says what it reads of the store; the build before answers 404.
const READING_PATH: &str = "/store/reading";
/// The header with the authentication code of a request or an answer, in hexadecimal digits.
const PROOF_HEADER: HeaderName = HeaderName::from_static("damaskloom-proof");

/// The phases of a fetch, for log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FetchPhase {
    Connect,
    AwaitHead,
    ReadBody,
}

/// The progress of a fetch: its phase, and how long the phases before it took.
#[derive(Debug)]
struct FetchProgress {
    started_at: Instant,
    phase: Cell<FetchPhase>,
    connect: Cell<Option<Duration>>,
    head: Cell<Option<Duration>>,
}

impl FetchProgress {
    fn start() -> Self {
        Self {
            started_at: Instant::now(),
            phase: Cell::new(FetchPhase::Connect),
            connect: Cell::default(),
            head: Cell::default(),
        }
    }

    fn set_connected(&self) {
        self.connect.set(Some(self.started_at.elapsed()));
        self.phase.set(FetchPhase::AwaitHead);
    }

    fn set_head_received(&self) {
        self.head.set(Some(self.started_at.elapsed()));
        self.phase.set(FetchPhase::ReadBody);
    }

    fn connect_ms(&self) -> Option<u64> {
        self.connect.get().map(|period| period.as_millis() as u64)
    }

    /// The time from the start of the fetch to the head of the answer.
    fn head_ms(&self) -> Option<u64> {
        self.head.get().map(|period| period.as_millis() as u64)
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

/// The rows of a peer that are newer than the requested version.
///
/// A [`RowExtent`] follows, except in an answer to a node of the build before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RowsAnswer {
    /// The rows, removed ones included.
    pub rows: Vec<MirrorRow>,
    /// The version that the rows lead to.
    pub version: StoreVersion,
    /// The rest of the grace period of targets whose rows may have expired during an outage of the
    /// store, in milliseconds.
    pub grace_left_ms: u64,
}

/// The query of a request for rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RowsQuery {
    /// Rows after a version, as the build before asks for them: it takes them for all changes.
    ChangesAfter(StoreVersion),
    /// Rows after a version, with what they stand for. The build before cannot read the query and
    /// answers with all rows of its copy.
    After(StoreVersion),
}

impl RowsQuery {
    const AFTER: &'static str = "after=";

    fn parse(query: &str) -> Option<Self> {
        let version = |text: &str| text.parse::<u64>().ok().map(StoreVersion::from);
        match query.strip_prefix(Self::AFTER) {
            Some(text) => version(text).map(Self::After),
            None => version(query).map(Self::ChangesAfter),
        }
    }
}

impl fmt::Display for RowsQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ChangesAfter(version) => write!(f, "{}", u64::from(*version)),
            Self::After(version) => write!(f, "{}{}", Self::AFTER, u64::from(*version)),
        }
    }
}

/// The reasons why a request to a peer fails.
#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("cannot connect to the peer: {source}"))]
    Unreachable { source: std::io::Error },
    #[snafu(display("the exchange failed: {source}"))]
    Broken { source: hyper::Error },
    #[snafu(display("the answer is too large or truncated"))]
    BadBody,
    #[snafu(display("status {status}"))]
    BadStatus { status: StatusCode },
    #[snafu(display("the authentication code is missing or wrong"))]
    BadProof,
    #[snafu(display("the answer cannot be decoded: {source}"))]
    BadContent { source: postcard::Error },
    #[snafu(display("no answer in time"))]
    TimedOut { source: tokio::time::error::Elapsed },
}

/// Returns the authentication code of a message in three parts.
pub fn proof(secret: &SharedSecret, parts: [&[u8]; 3]) -> String {
    let mut message = Vec::new();
    for part in parts {
        message.extend((part.len() as u64).to_be_bytes());
        message.extend(part);
    }
    let digest = secret.authenticate(message);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether a header holds the expected authentication code.
pub fn has_proof(headers: &http::HeaderMap, name: &HeaderName, expected: &str) -> bool {
    let proof_value = headers.get(name);
    proof_value.is_some_and(|proof_value| proof_value.as_bytes().ct_eq(expected.as_bytes()).into())
}

/// Serves rows to peers, and the requests that they hand on, until the task is cancelled.
pub async fn serve_peers(state: Rc<EntryState>, listener: TcpListener) {
    serve_auxiliary(listener, CALLER_BUFFER_BYTES, move |request| {
        let state = Rc::clone(&state);
        async move {
            if request.headers().contains_key(HAND_ON_HEADER) {
                answer_handed_on(state, request).await
            } else {
                let (parts, body) = answer_peer(&state, &request).into_parts();
                Response::from_parts(parts, CallerBody::Buffered(Some(body)))
            }
        }
    })
    .await;
}

async fn answer_handed_on(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let (parts, body) = request.into_parts();
    let secret = state.secret.borrow().clone();
    if !secret.is_some_and(|secret| is_handed_on(&secret, &parts)) {
        tracing::warn!("request without a valid code of a node refused");
        let mut response = Response::new(CallerBody::Buffered(None));
        *response.status_mut() = StatusCode::FORBIDDEN;
        return response;
    }
    let drain_guard = DrainGuard::new(&state);
    let request = Request::from_parts(parts, body);
    let response = serve(state, request, RequestOrigin::Peer).await;
    response.map(|body| CallerBody::HandedOn {
        body: Box::new(body),
        drain_guard,
    })
}

fn answer_peer(state: &EntryState, request: &Request<Incoming>) -> Response<Bytes> {
    let refuse = |status| {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        response
    };
    let secret = state.secret.borrow().clone();
    let Some(secret) = secret else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let request_target = request.uri().to_string();
    let expected = proof(&secret, [b"ask", request_target.as_bytes(), b""]);
    if !has_proof(request.headers(), &PROOF_HEADER, &expected) {
        return refuse(StatusCode::FORBIDDEN);
    }
    let query = request.uri().query().and_then(RowsQuery::parse);
    let query = query.unwrap_or(RowsQuery::ChangesAfter(StoreVersion::default()));
    let now = state.clock.now();
    let body = match request.uri().path() {
        READING_PATH => encode_reading(state),
        path if path == TableKind::Routing.path() => {
            encode_rows(state, &state.routing_copy.mirror.borrow(), query)
        }
        // A peer that applies these rows takes over the grace period with them.
        path if path == TableKind::Targets.path()
            && state.catalog.borrow().is_grace_unconfirmed(now) =>
        {
            return refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        path if path == TableKind::Targets.path() => {
            encode_rows(state, &state.targets_copy.mirror.borrow(), query)
        }
        _ => return refuse(StatusCode::NOT_FOUND),
    };
    let Ok(body) = body else {
        return refuse(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let proof_value = proof(&secret, [b"answer", request_target.as_bytes(), &body]);
    let mut response = Response::new(Bytes::from(body));
    let proof_value =
        header::HeaderValue::from_str(&proof_value).expect("digits are a valid header value");
    response.headers_mut().insert(PROOF_HEADER, proof_value);
    response
}

fn encode_reading(state: &EntryState) -> Result<Vec<u8>, postcard::Error> {
    let interval = state.settings().bounds.announcement_interval();
    let health = *state.store_health.borrow();
    postcard::to_stdvec(&health.reading(state.clock.now(), interval))
}

fn encode_rows(
    state: &EntryState,
    mirror: &TableMirror,
    query: RowsQuery,
) -> Result<Vec<u8>, postcard::Error> {
    let (RowsQuery::ChangesAfter(after) | RowsQuery::After(after)) = query;
    let now = state.clock.now();
    let answer = RowsAnswer {
        rows: mirror.changes_after(after),
        version: mirror.version(),
        grace_left_ms: state.catalog.borrow().grace_remaining(now).as_millis() as u64,
    };
    match query {
        RowsQuery::ChangesAfter(_) => postcard::to_stdvec(&answer),
        RowsQuery::After(_) => postcard::to_stdvec(&(answer, mirror.extent_after(after))),
    }
}

fn decode_rows(body: &[u8]) -> Result<(RowsAnswer, RowExtent), postcard::Error> {
    let (answer, rest) = postcard::take_from_bytes::<RowsAnswer>(body)?;
    // The build before answers with all rows of its copy, and nothing more.
    let extent = if rest.is_empty() {
        RowExtent::Table {
            unchanged: Vec::new(),
        }
    } else {
        postcard::from_bytes(rest)?
    };
    Ok((answer, extent))
}

/// Fetches rows of a table from peers that have newer ones, until the task is cancelled.
///
/// A node that has fetched rows sends a heartbeat to its data centre, so that the next nodes fetch
/// from it: a change reaches `n` nodes in about `log n` steps, and no node serves many at a time.
pub async fn run_row_fetches(state: Rc<EntryState>, kind: TableKind) {
    let mut fetcher = RowFetcher::default();
    let mut running = FuturesUnordered::new();
    let copy = state.table_copy(kind);
    loop {
        let newer_peers = newer_peers(&state, kind);
        let apply_time = state.settings().bounds.apply_time(kind);
        let is_overdue = copy
            .age
            .borrow()
            .is_feed_overdue(state.clock.now(), apply_time);
        let is_answered = state.store_health.borrow().is_last_call_answered() && !is_overdue;
        let feed = match (state.follows_store(), is_answered) {
            (false, _) => OwnFeed::None,
            (true, true) => OwnFeed::Answered,
            (true, false) => OwnFeed::Failed,
        };
        let initial_delay = initial_delay(feed, state.rollout_step());
        let seed = rand::rng().random();
        let step = fetcher.step(state.clock.now(), &newer_peers, initial_delay, seed);
        let wait = match step {
            FetchStep::Idle => {
                running.clear();
                None
            }
            FetchStep::Start(peer) => {
                if !running.is_empty() {
                    tracing::info!(%peer, what = kind.path(), unanswered = running.len(), "another peer asked for rows");
                }
                running.push(run_fetch(&state, kind, peer));
                continue;
            }
            FetchStep::WaitUntil(due) => Some(due.since(state.clock.now())),
            FetchStep::AwaitFetch => None,
        };
        let due = async {
            match wait {
                Some(wait) => tokio::time::sleep(wait).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some((peer, end)) = running.next() => {
                let jitter = rand::rng().random();
                fetcher.record_end(state.clock.now(), &peer, end, jitter);
            }
            () = due => {}
            () = copy.newer_known.notified() => {}
        }
    }
}

/// Fetches rows from a peer, applies them and logs the outcome.
async fn run_fetch(state: &EntryState, kind: TableKind, peer: VmId) -> (VmId, FetchEnd) {
    let Some(address) = state.peer_address(&peer) else {
        return (peer, FetchEnd::Failed);
    };
    let progress = FetchProgress::start();
    let end = match fetch(state, kind, address, &progress).await {
        Ok(0) => FetchEnd::Unchanged,
        Ok(_) => {
            state.heartbeat_due.notify_one();
            FetchEnd::Applied
        }
        Err(error) => {
            tracing::warn!(
                %peer,
                what = kind.path(),
                %error,
                step = ?progress.phase.get(),
                connect_ms = progress.connect_ms(),
                head_ms = progress.head_ms(),
                taken_ms = progress.elapsed_ms(),
                in_flight = state.in_flight.get(),
                loop_delay_ms = state.loop_delay.get().as_millis() as u64,
                "failed to fetch rows from peer"
            );
            FetchEnd::Failed
        }
    };
    (peer, end)
}

/// Returns the peers that announced newer rows.
fn newer_peers(state: &EntryState, kind: TableKind) -> Vec<NewerPeer> {
    let settings = state.settings();
    let own_version = state.table_copy(kind).mirror.borrow().version();
    let now = state.clock.now();
    let members = state.members.borrow();
    let newer = members.iter().filter_map(|(vm, node)| {
        let heartbeat = node.heartbeat.as_ref()?;
        let rank = match (node.is_responsive(now), &heartbeat.data_centre) {
            (true, centre) if *centre == settings.data_centre => PeerRank::Local,
            (true, _) => PeerRank::Remote,
            (false, _) => PeerRank::Unresponsive,
        };
        let vm = vm.clone();
        (kind.version(heartbeat) > own_version).then_some(NewerPeer { vm, rank })
    });
    newer.collect()
}

async fn fetch(
    state: &EntryState,
    kind: TableKind,
    peer: SocketAddr,
    progress: &FetchProgress,
) -> Result<usize, FetchError> {
    let copy = state.table_copy(kind);
    let secret = state.secret.borrow().clone();
    let Some(secret) = secret else {
        return Ok(0);
    };
    let before = copy.mirror.borrow().version();
    let request_target = format!("{}?{}", kind.path(), RowsQuery::After(before));
    let body = tokio::time::timeout(
        FETCH_TIMEOUT,
        exchange(&secret, peer, &request_target, progress),
    );
    let body = body.await.context(TimedOutSnafu)??;
    let (answer, extent) = decode_rows(&body).context(BadContentSnafu)?;
    let version = answer.version;
    let changed_rows = copy.apply_answer(state.clock.now(), answer.rows, version, &extent);
    let removed = changed_rows.iter().filter(|row| row.value.is_none());
    tracing::info!(
        %peer,
        what = kind.path(),
        rows = changed_rows.len(),
        removed = removed.count(),
        after = before.version(),
        version = version.version(),
        extent = extent.label(),
        connect_ms = progress.connect_ms(),
        head_ms = progress.head_ms(),
        taken_ms = progress.elapsed_ms(),
        known_ms = copy.ended_lag_ms(),
        in_flight = state.in_flight.get(),
        loop_delay_ms = state.loop_delay.get().as_millis() as u64,
        "rows fetched from peer"
    );
    match kind {
        TableKind::Routing => state.apply_routing_rows(&changed_rows),
        TableKind::Targets => {
            let left = Duration::from_millis(answer.grace_left_ms);
            let now = state.clock.now();
            state.catalog.borrow_mut().adopt_grace(now, left);
            let is_restored = version.era() > before.era();
            state.apply_target_rows(&changed_rows, is_restored);
            if !version.is_zero() {
                state.set_targets_known();
            }
        }
    }
    Ok(changed_rows.len())
}

/// What a peer says of its reading of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerReading {
    /// The store answers it.
    Answering(StoreReading),
    /// The store does not answer it now.
    NotAnswering,
    /// It is of the build before, which cannot say.
    Unsupported,
}

/// Asks a peer what it reads of the store; none if it does not answer in time.
pub async fn ask_reading(
    secret: &SharedSecret,
    peer: SocketAddr,
    timeout: Duration,
) -> Option<PeerReading> {
    let progress = FetchProgress::start();
    let body = tokio::time::timeout(timeout, exchange(secret, peer, READING_PATH, &progress));
    let reading = match body.await.context(TimedOutSnafu).flatten() {
        Err(FetchError::BadStatus {
            status: StatusCode::NOT_FOUND,
        }) => return Some(PeerReading::Unsupported),
        body => body.and_then(|body| decode_reading(&body)),
    };
    match reading {
        Ok(reading) => Some(reading.map_or(PeerReading::NotAnswering, PeerReading::Answering)),
        Err(error) => {
            tracing::info!(%peer, %error, "peer does not say what it reads of the store");
            None
        }
    }
}

fn decode_reading(body: &[u8]) -> Result<Option<StoreReading>, FetchError> {
    postcard::from_bytes(body).context(BadContentSnafu)
}

/// Sends a request to a peer and returns the body of its answer.
async fn exchange(
    secret: &SharedSecret,
    peer: SocketAddr,
    request_target: &str,
    progress: &FetchProgress,
) -> Result<Bytes, FetchError> {
    let stream = TcpStream::connect(peer).await.context(UnreachableSnafu)?;
    progress.set_connected();
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(BrokenSnafu)?;
    let connection = tokio::task::spawn_local(connection);
    let proof_value = proof(secret, [b"ask", request_target.as_bytes(), b""]);
    let request = Request::builder()
        .uri(request_target)
        .header(header::HOST, peer.to_string())
        .header(PROOF_HEADER, proof_value)
        .body(Empty::<Bytes>::new())
        .expect("the parts of the request are valid");
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    progress.set_head_received();
    let status = response.status();
    ensure!(status == StatusCode::OK, BadStatusSnafu { status });
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.ok().context(BadBodySnafu)?.to_bytes();
    connection.abort();
    let expected = proof(secret, [b"answer", request_target.as_bytes(), &body]);
    ensure!(
        has_proof(&parts.headers, &PROOF_HEADER, &expected),
        BadProofSnafu
    );
    Ok(body)
}
