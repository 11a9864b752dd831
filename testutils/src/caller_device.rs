//! A caller's device with the firmware of old devices.
//!
//! It queries the directory at any of its bootstrap addresses, caches the answer for its lifetime,
//! reuses connections, goes on to the next entry of the list when one fails, and resends a request
//! with the same request id when its answer was lost.

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
/// The delay before the next directory query after no directory answered.
const DIRECTORY_RETRY_DELAY_MS: u64 = 500;
const MAX_IDLE_CONNECTIONS: usize = 8;
const EXECUTION_HEADER: &str = "damaskloom-execution";
const REASON_HEADER: &str = "damaskloom-reason";
/// The reasons of refusals after which a device goes on to the next entry of its list.
const NEXT_ENTRY_REASONS: [&str; 2] = ["node-leaving", "node-stale"];

pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// The settings of a device.
#[derive(Clone, Debug)]
pub struct DeviceSettings {
    /// The customer that owns the device.
    pub customer: String,
    /// The customer's key.
    pub key: Option<String>,
    /// The place of the key in requests.
    pub key_placement: KeyPlacement,
    /// The bootstrap addresses built into the device.
    pub bootstrap: Vec<SocketAddr>,
    /// Whether it queries the directory; otherwise it sends to the bootstrap addresses.
    pub directory: bool,
    /// The timeout of a request.
    pub timeout: Duration,
    /// The maximum number of resends of a request.
    pub resends: u32,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct DeviceRequest {
    /// The kind of request.
    pub kind: RequestKind,
    /// Identifies the request; also used as the request id.
    pub nonce: String,
    /// The body.
    pub body: Bytes,
    /// The time at which it is due, in Unix microseconds.
    pub intended_micros: u64,
}

/// A device.
pub struct CallerDevice {
    settings: DeviceSettings,
    lists: AsyncMutex<IndexMap<String, EntryList>>,
    idle: Mutex<Vec<(SocketAddr, Connection)>>,
}

impl CallerDevice {
    /// Creates a device without directory answers and connections.
    pub fn new(settings: DeviceSettings) -> Self {
        Self {
            settings,
            lists: AsyncMutex::new(IndexMap::new()),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request, resends it if its answer was lost, and returns the record of each attempt.
    pub async fn call(&self, request: &DeviceRequest) -> Vec<CallRecord> {
        let mut records = Vec::new();
        for attempt in 0..=self.settings.resends {
            let record = self.send_once(request, attempt).await;
            let resend = self.should_resend(request, &record).await;
            records.push(record);
            if !resend {
                break;
            }
        }
        records
    }

    async fn should_resend(&self, request: &DeviceRequest, record: &CallRecord) -> bool {
        let is_leaving = NEXT_ENTRY_REASONS
            .iter()
            .any(|reason| record.outcome.is_refused_for(reason));
        let failed = record.outcome.is_lost() || record.outcome == CallOutcome::NotSent;
        if (failed || is_leaving)
            && let Some(entry) = record.entry
        {
            self.skip_entry(&request.kind.path, entry).await;
        }
        match record.outcome.is_lost() {
            true => request.kind.may_resend(),
            false => failed || is_leaving,
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
            let idle = self.remove_idle(entry);
            let is_reused = idle.is_some();
            let connection = match idle {
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
                // The reused connection was closed before anything was sent on it.
                Err(error) if is_reused && error.message().is_some() => {}
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
        self.store_idle(entry, connection);
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
            AnswerCheck::Complete => CallOutcome::Answered(status),
            AnswerCheck::Crossed => CallOutcome::Crossed,
            AnswerCheck::Truncated => CallOutcome::CutLooksWhole,
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

    /// Returns the entry to send to; queries the directory if no cached answer is valid.
    async fn entry(&self, path: &str) -> Option<SocketAddr> {
        let mut lists = self.lists.lock().await;
        let now = Instant::now();
        let cached = lists.get(path).and_then(|list| list.current(now));
        if cached.is_some() || lists.get(path).is_some_and(|list| list.is_unavailable(now)) {
            return cached;
        }
        let list = match self.settings.directory {
            true => self.query_directory(path).await,
            false => EntryList::new(self.settings.bootstrap.clone(), now, Duration::from_secs(1)),
        };
        let entry = list.current(Instant::now());
        lists.insert(path.to_owned(), list);
        entry
    }

    async fn skip_entry(&self, path: &str, failed: SocketAddr) {
        if let Some(list) = self.lists.lock().await.get_mut(path) {
            list.skip_entry(failed);
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(entry, _)| *entry != failed);
    }

    async fn query_directory(&self, path: &str) -> EntryList {
        for entry in &self.settings.bootstrap {
            let query = self.query_entry(path, *entry);
            let limit = Duration::from_millis(DIRECTORY_TIMEOUT_MS);
            if let Ok(Some(list)) = tokio::time::timeout(limit, query).await {
                return list;
            }
        }
        let delay = Duration::from_millis(DIRECTORY_RETRY_DELAY_MS);
        EntryList::new(Vec::new(), Instant::now(), delay)
    }

    async fn query_entry(&self, path: &str, entry: SocketAddr) -> Option<EntryList> {
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

    fn remove_idle(&self, entry: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, connection)| !connection.is_closed());
        let index = idle
            .iter()
            .rposition(|(other, connection)| *other == entry && connection.is_ready())?;
        Some(idle.swap_remove(index).1)
    }

    fn store_idle(&self, entry: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((entry, connection));
        }
    }
}

/// Opens a connection, with a timeout of one second.
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
