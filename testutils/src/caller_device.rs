//! A caller's device as it was sold years ago.
//!
//! It asks the directory at any address that it knows, keeps the answer for its lifetime, keeps
//! connections alive, follows the list when an entry fails, and sends a request again with the same
//! request id when its answer was lost.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Builder;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::sync::Mutex as AsyncMutex;

use crate::caller_directory::EntryList;
use crate::ledger_clock::unix_micros;
use crate::ledger_record::{CallOutcome, CallRecord};
use crate::load_plan::{KeyPlacement, RequestKind};
use crate::target_answer::{AnswerCheck, NONCE_HEADER, body_digest, check_answer};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const DIRECTORY_TIMEOUT_MS: u64 = 2_000;
/// The time for which a device does not ask again after no directory answered.
const DIRECTORY_PAUSE_MS: u64 = 500;
const MAX_IDLE_CONNECTIONS: usize = 8;
const EXECUTION_HEADER: &str = "damaskloom-execution";
const REASON_HEADER: &str = "damaskloom-reason";
/// Refusals after which a device goes on to the next entry of its list.
const FOLLOW_REASONS: [&str; 2] = ["node-leaving", "node-stale"];

pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// What a device is made with.
#[derive(Clone, Debug)]
pub struct DeviceSettings {
    /// The customer that owns the device.
    pub customer: String,
    /// The customer's key.
    pub key: Option<String>,
    /// Where the key stands in requests.
    pub key_placement: KeyPlacement,
    /// The addresses that the device knows from its making.
    pub bootstrap: Vec<SocketAddr>,
    /// Whether it asks the directory.
    pub directory: bool,
    /// The time after which it gives an answer up.
    pub timeout: Duration,
    /// How often it sends a request again.
    pub resends: u32,
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct DeviceRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// Names it; also the request id.
    pub nonce: String,
    /// Its body.
    pub body: Bytes,
    /// When it is due, in Unix microseconds.
    pub intended_micros: u64,
}

/// One device.
pub struct CallerDevice {
    settings: DeviceSettings,
    lists: AsyncMutex<IndexMap<String, EntryList>>,
    idle: Mutex<Vec<(SocketAddr, Connection)>>,
}

impl CallerDevice {
    /// Makes a device that knows nothing but its settings.
    pub fn new(settings: DeviceSettings) -> Self {
        Self {
            settings,
            lists: AsyncMutex::new(IndexMap::new()),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request, again where its answer was lost, and records each sending.
    pub async fn call(&self, request: &DeviceRequest) -> Vec<CallRecord> {
        let mut records = Vec::new();
        for attempt in 0..=self.settings.resends {
            let record = self.send_once(request, attempt).await;
            let again = self.sends_again(request, &record).await;
            records.push(record);
            if !again {
                break;
            }
        }
        records
    }

    async fn sends_again(&self, request: &DeviceRequest, record: &CallRecord) -> bool {
        let follows = FOLLOW_REASONS
            .iter()
            .any(|reason| record.outcome.is_refused_for(reason));
        let failed = record.outcome.is_lost() || record.outcome == CallOutcome::NotSent;
        if (failed || follows)
            && let Some(entry) = record.entry
        {
            self.follow(&request.kind.path, entry).await;
        }
        match record.outcome.is_lost() {
            true => request.kind.may_resend(),
            false => failed || follows,
        }
    }

    async fn send_once(&self, request: &DeviceRequest, attempt: u32) -> CallRecord {
        let sent_micros = match attempt {
            0 => request.intended_micros,
            _ => unix_micros(),
        };
        let digest = body_digest(&request.body);
        let entry = self.entry(&request.kind.path).await;
        let outcome = match entry {
            Some(entry) => self.exchange_in_time(request, digest, entry).await,
            None => CallOutcome::NotSent,
        };
        CallRecord {
            nonce: request.nonce.clone(),
            customer: self.settings.customer.clone(),
            path: request.kind.path.clone(),
            idempotent: request.kind.idempotent,
            has_request_id: request.kind.request_id_header.is_some(),
            attempt,
            entry,
            intended_micros: request.intended_micros,
            sent_micros,
            ended_micros: unix_micros(),
            body_digest: digest,
            outcome,
        }
    }

    async fn exchange_in_time(
        &self,
        request: &DeviceRequest,
        digest: u64,
        entry: SocketAddr,
    ) -> CallOutcome {
        let exchange = self.exchange(request, digest, entry);
        match tokio::time::timeout(self.settings.timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::TimedOut,
        }
    }

    async fn exchange(
        &self,
        request: &DeviceRequest,
        digest: u64,
        entry: SocketAddr,
    ) -> CallOutcome {
        loop {
            let kept = self.take_idle(entry);
            let was_kept = kept.is_some();
            let connection = match kept {
                Some(connection) => Some(connection),
                None => connect(entry).await,
            };
            let Some(mut connection) = connection else {
                return CallOutcome::NotSent;
            };
            let message = self.message(request, entry);
            match connection.try_send_request(message).await {
                Ok(answer) => {
                    return self
                        .read_answer(request, digest, entry, connection, answer)
                        .await;
                }
                // The kept connection had ended before anything was sent on it.
                Err(error) if was_kept && error.message().is_some() => {}
                Err(error) if error.message().is_some() => return CallOutcome::NotSent,
                Err(_) => return CallOutcome::Lost,
            }
        }
    }

    async fn read_answer(
        &self,
        request: &DeviceRequest,
        digest: u64,
        entry: SocketAddr,
        connection: Connection,
        answer: http::Response<hyper::body::Incoming>,
    ) -> CallOutcome {
        let (parts, body) = answer.into_parts();
        let Ok(body) = body.collect().await else {
            return CallOutcome::Lost;
        };
        self.keep_idle(entry, connection);
        let status = parts.status.as_u16();
        if let Some(execution) = header_text(&parts.headers, EXECUTION_HEADER) {
            let reason = header_text(&parts.headers, REASON_HEADER).unwrap_or_default();
            return CallOutcome::Refused {
                status,
                execution,
                reason,
            };
        }
        if !parts.status.is_success() {
            return CallOutcome::Answered(status);
        }
        match check_answer(&body.to_bytes(), &request.nonce, digest) {
            AnswerCheck::Whole => CallOutcome::Answered(status),
            AnswerCheck::Crossed => CallOutcome::Crossed,
            AnswerCheck::Cut => CallOutcome::CutLooksWhole,
        }
    }

    fn message(&self, request: &DeviceRequest, entry: SocketAddr) -> Request<Full<Bytes>> {
        let kind = &request.kind;
        let uri = match (&self.settings.key_placement, &self.settings.key) {
            (KeyPlacement::Query(name), Some(key)) => {
                let mark = if kind.path.contains('?') { '&' } else { '?' };
                format!("{}{mark}{name}={key}", kind.path)
            }
            _ => kind.path.clone(),
        };
        let mut builder = Request::builder()
            .method(kind.method.as_str())
            .uri(uri)
            .header("host", entry.to_string())
            .header(NONCE_HEADER, &request.nonce);
        if let Some(name) = &kind.request_id_header {
            builder = builder.header(name, &request.nonce);
        }
        self.add_key(builder)
            .body(Full::new(request.body.clone()))
            .expect("the plan's methods, paths and headers are valid")
    }

    fn add_key(&self, builder: Builder) -> Builder {
        let Some(key) = &self.settings.key else {
            return builder;
        };
        match &self.settings.key_placement {
            KeyPlacement::Bearer => builder.header("authorization", format!("Bearer {key}")),
            KeyPlacement::Authorization => builder.header("authorization", key),
            KeyPlacement::Header(name) => builder.header(name, key),
            KeyPlacement::Query(_) => builder,
        }
    }

    /// Returns the entry to send to, asking the directory when no kept answer serves.
    async fn entry(&self, path: &str) -> Option<SocketAddr> {
        let mut lists = self.lists.lock().await;
        let now = Instant::now();
        let kept = lists.get(path).and_then(|list| list.current(now));
        if kept.is_some() || lists.get(path).is_some_and(|list| list.is_failure(now)) {
            return kept;
        }
        let list = match self.settings.directory {
            true => self.ask_directory(path).await,
            false => EntryList::new(self.settings.bootstrap.clone(), now, Duration::from_secs(1)),
        };
        let entry = list.current(Instant::now());
        lists.insert(path.to_owned(), list);
        entry
    }

    async fn follow(&self, path: &str, failed: SocketAddr) {
        if let Some(list) = self.lists.lock().await.get_mut(path) {
            list.follow(failed);
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(entry, _)| *entry != failed);
    }

    async fn ask_directory(&self, path: &str) -> EntryList {
        for entry in &self.settings.bootstrap {
            let ask = self.ask_entry(path, *entry);
            let limit = Duration::from_millis(DIRECTORY_TIMEOUT_MS);
            if let Ok(Some(list)) = tokio::time::timeout(limit, ask).await {
                return list;
            }
        }
        let pause = Duration::from_millis(DIRECTORY_PAUSE_MS);
        EntryList::new(Vec::new(), Instant::now(), pause)
    }

    async fn ask_entry(&self, path: &str, entry: SocketAddr) -> Option<EntryList> {
        let mut connection = connect(entry).await?;
        let builder = Request::builder()
            .uri(format!("/v1/entries?route={path}"))
            .header("host", entry.to_string());
        let message = self.add_key(builder).body(Full::default()).ok()?;
        let answer = connection.send_request(message).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        EntryList::parse(&body, Instant::now())
    }

    fn take_idle(&self, entry: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, connection)| !connection.is_closed());
        let place = idle
            .iter()
            .rposition(|(kept, connection)| *kept == entry && connection.is_ready())?;
        Some(idle.swap_remove(place).1)
    }

    fn keep_idle(&self, entry: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((entry, connection));
        }
    }
}

/// Opens a connection, or gives up after a second.
pub(crate) async fn connect(entry: SocketAddr) -> Option<Connection> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = tokio::time::timeout(limit, TcpStream::connect(entry)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (connection, driver) = handshake.await.ok()?;
    tokio::spawn(driver);
    Some(connection)
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}
