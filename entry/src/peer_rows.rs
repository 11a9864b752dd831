//! Rows of the store that nodes fetch from each other.
//!
//! A node that the store turns away learns from presence notes that a peer has newer rows, and
//! fetches them over HTTP. Both sides prove that they know the fleet's secret.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::table_mirror::MirrorRow;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};

use crate::caller_listener::run_helper;
use crate::entry_state::EntryState;

/// The time for which newer rows may be known of before they are fetched: the node's own feed usually
/// brings them within that time.
const OWN_FEED_TIME: Duration = Duration::from_millis(700);
/// How much later each half of a data centre's nodes asks than the half before it, which can then be
/// asked too: some times a fetch.
const FETCH_STEP: Duration = Duration::from_millis(30);
/// The longest pause after a fetch that failed; a random part of it is waited.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// The fetches that may fail one after the other before the next presence note is waited for.
const FETCH_TRIES: u32 = 12;
/// The time in which a peer must answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Carries the proof of a call or an answer, in hexadecimal digits.
const PROOF_HEADER: &str = "damaskloom-proof";

/// Which rows are fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MirrorKind {
    Routing,
    Targets,
}

impl MirrorKind {
    const fn path(self) -> &'static str {
        match self {
            Self::Routing => "/rows/routing",
            Self::Targets => "/rows/targets",
        }
    }
}

/// The rows that a peer has beyond a version.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct RowsAnswer {
    rows: Vec<MirrorRow>,
    version: u64,
    /// For how long what vanished may still have lapsed while the store was away, in milliseconds.
    lapse_left_ms: u64,
}

/// Says why a peer gave no rows.
#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("the peer was not reached: {source}"))]
    Unreached { source: std::io::Error },
    #[snafu(display("the exchange broke: {source}"))]
    Broken { source: hyper::Error },
    #[snafu(display("the answer is too large or was cut short"))]
    BadBody,
    #[snafu(display("status {status}"))]
    BadStatus { status: StatusCode },
    #[snafu(display("the proof is missing or wrong"))]
    BadProof,
    #[snafu(display("the answer cannot be read: {source}"))]
    BadContent { source: postcard::Error },
    #[snafu(display("no answer in time"))]
    TimedOut { source: tokio::time::error::Elapsed },
}

fn proof(secret: &SharedSecret, parts: [&[u8]; 3]) -> String {
    let mut message = Vec::new();
    for part in parts {
        message.extend((part.len() as u64).to_be_bytes());
        message.extend(part);
    }
    let digest = secret.authenticate(message);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn is_proven(headers: &http::HeaderMap, expected: &str) -> bool {
    let shown = headers.get(PROOF_HEADER);
    shown.is_some_and(|shown| shown.as_bytes().ct_eq(expected.as_bytes()).into())
}

/// Answers peers that ask for rows, until the task is ended.
pub async fn run_rows(state: Rc<EntryState>, listener: TcpListener) {
    run_helper(listener, move |request| {
        std::future::ready(answer_rows(&state, &request))
    })
    .await;
}

fn answer_rows(state: &EntryState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let refuse = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    let secret = state.secret.borrow().clone();
    let Some(secret) = secret else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let asked = request.uri().to_string();
    let expected = proof(&secret, [b"ask", asked.as_bytes(), b""]);
    if !is_proven(request.headers(), &expected) {
        return refuse(StatusCode::FORBIDDEN);
    }
    let mirror = match request.uri().path() {
        path if path == MirrorKind::Routing.path() => &state.routing_mirror,
        path if path == MirrorKind::Targets.path() => &state.target_mirror,
        _ => return refuse(StatusCode::NOT_FOUND),
    };
    let after = request.uri().query().and_then(|query| query.parse().ok());
    let now = state.clock.now();
    let answer = {
        let mirror = mirror.borrow();
        RowsAnswer {
            rows: mirror.changes_after(after.unwrap_or(0)),
            version: mirror.version(),
            lapse_left_ms: state.catalog.borrow().grace_remaining(now).as_millis() as u64,
        }
    };
    let Ok(body) = postcard::to_stdvec(&answer) else {
        return refuse(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let shown = proof(&secret, [b"answer", asked.as_bytes(), &body]);
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let shown = header::HeaderValue::from_str(&shown).expect("digits are a valid header value");
    response.headers_mut().insert(PROOF_HEADER, shown);
    response
}

/// Fetches rows that peers have and this node lacks, until the task is ended.
///
/// Whoever has fetched rows tells its data centre, so that the next ones ask it: a change reaches `n`
/// nodes in about `log n` steps, and no node answers many at a time.
pub async fn run_fetches(state: Rc<EntryState>) {
    loop {
        state.peer_newer.notified().await;
        if state.follows_store() {
            tokio::time::sleep(OWN_FEED_TIME).await;
        } else {
            tokio::time::sleep(FETCH_STEP * state.rollout_step()).await;
        }
        // Side by side, so that trouble with one table does not hold up the other.
        tokio::join!(
            fetch_newer(&state, MirrorKind::Routing),
            fetch_newer(&state, MirrorKind::Targets)
        );
    }
}

async fn fetch_newer(state: &EntryState, kind: MirrorKind) {
    for _ in 0..FETCH_TRIES {
        let Some(peer) = newer_peer(state, kind) else {
            return;
        };
        match fetch(state, kind, peer).await {
            // The peer's newest row is known here as a part of a newer reading.
            Ok(0) => return,
            Ok(_) => state.presence_due.notify_one(),
            Err(error) => {
                tracing::warn!(%peer, %error, "rows not fetched from peer");
                let part = rand::rng().random_range(0.2..1.0);
                tokio::time::sleep(FETCH_PAUSE.mul_f64(part)).await;
            }
        }
    }
}

/// Chooses a peer that has newer rows, by chance so that no peer is asked by all; a near one if there
/// is any.
fn newer_peer(state: &EntryState, kind: MirrorKind) -> Option<SocketAddr> {
    let settings = state.settings();
    let held = match kind {
        MirrorKind::Routing => state.routing_mirror.borrow().newest_row_version(),
        MirrorKind::Targets => state.target_mirror.borrow().newest_row_version(),
    };
    let members = state.members.borrow();
    let newer = members
        .responsive(state.clock.now())
        .filter_map(|(_, node)| {
            let note = node.heartbeat.as_ref()?;
            let theirs = match kind {
                MirrorKind::Routing => note.routing_version,
                MirrorKind::Targets => note.targets_version,
            };
            let near = note.data_centre == settings.data_centre;
            (theirs > held).then_some((near, node.ip))
        });
    let (near, far): (Vec<_>, Vec<_>) = newer.partition(|(near, _)| *near);
    let asked = if near.is_empty() { far } else { near };
    let (_, ip) = asked.choose(&mut rand::rng())?;
    Some(SocketAddr::new(*ip, settings.peer_port))
}

async fn fetch(
    state: &EntryState,
    kind: MirrorKind,
    peer: SocketAddr,
) -> Result<usize, FetchError> {
    let mirror = match kind {
        MirrorKind::Routing => &state.routing_mirror,
        MirrorKind::Targets => &state.target_mirror,
    };
    let secret = state.secret.borrow().clone();
    let Some(secret) = secret else {
        return Ok(0);
    };
    let after = mirror.borrow().version();
    let asked = format!("{}?{after}", kind.path());
    let answer = tokio::time::timeout(FETCH_TIMEOUT, ask(&secret, peer, &asked));
    let answer = answer.await.context(TimedOutSnafu)??;
    let news = mirror.borrow_mut().apply(answer.rows, answer.version);
    tracing::info!(%peer, what = kind.path(), rows = news.len(), "rows fetched from peer");
    match kind {
        MirrorKind::Routing => state.take_routing_rows(&news),
        MirrorKind::Targets => {
            let left = Duration::from_millis(answer.lapse_left_ms);
            let now = state.clock.now();
            state.catalog.borrow_mut().adopt_grace(now, left);
            state.take_target_rows(&news);
            if answer.version > 0 {
                state.set_targets_known();
            }
        }
    }
    Ok(news.len())
}

async fn ask(
    secret: &SharedSecret,
    peer: SocketAddr,
    asked: &str,
) -> Result<RowsAnswer, FetchError> {
    let stream = TcpStream::connect(peer).await.context(UnreachedSnafu)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(BrokenSnafu)?;
    let connection = tokio::task::spawn_local(connection);
    let shown = proof(secret, [b"ask", asked.as_bytes(), b""]);
    let request = Request::builder()
        .uri(asked)
        .header(header::HOST, peer.to_string())
        .header(PROOF_HEADER, shown)
        .body(Empty::<Bytes>::new())
        .expect("the parts of the call are valid");
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    let status = response.status();
    ensure!(status == StatusCode::OK, BadStatusSnafu { status });
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.ok().context(BadBodySnafu)?.to_bytes();
    connection.abort();
    let expected = proof(secret, [b"answer", asked.as_bytes(), &body]);
    ensure!(is_proven(&parts.headers, &expected), BadProofSnafu);
    postcard::from_bytes(&body).context(BadContentSnafu)
}
