//! A stand-in of the platform's store of versioned rows, with a feed of changes and faults.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the store does to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Answers.
    #[default]
    None,
    /// Turns calls away without an effect.
    Busy,
    /// Makes writes take effect and hangs up without an answer.
    LosesWriteAnswers,
    /// Has forgotten its history, so that feeds must read their table anew.
    Forgetful,
}

#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    /// Rows by table and key; removed rows stay as markers.
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
    fault: StoreFault,
}

/// A running store; dropping it ends it.
#[derive(Debug)]
pub struct RowStore {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for RowStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<StoreState>) -> MutexGuard<'_, StoreState> {
    state.lock().expect("no holder of the store's lock panics")
}

impl RowStore {
    /// Starts a store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(StoreState::default()));
        let (changed, _) = watch::channel(0);
        let task = tokio::spawn(accept(listener, Arc::clone(&state), changed.clone()));
        Ok(Self {
            address,
            state,
            changed,
            task,
        })
    }

    /// Returns where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the store does to calls from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
        self.changed.send_modify(|_| {});
    }

    /// Writes a row, as operators and targets do, whatever the fault.
    pub fn put(&self, table: &str, key: &str, value: impl Into<Vec<u8>>) {
        self.write(table, key, Some(value.into()));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let version = lock(&self.state).write(table, key, value);
        self.changed.send_replace(version);
    }

    /// Returns a row's bytes.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        row.value.clone()
    }
}

impl StoreState {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.version += 1;
        let row = StoredRow {
            value,
            version: self.version,
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
        self.version
    }

    fn wire_row(table: &str, key: &str, row: &StoredRow) -> Value {
        json!({
            "table": table, "part": "", "key": key, "row_version": row.version,
            "value": row.value.as_ref().map(|value| BASE64.encode(value)),
            "deleted": row.value.is_none(),
        })
    }

    fn read(&self, table: &str, from: &str, to: Option<&str>, limit: usize) -> Value {
        let inside = self.rows.iter().filter(|((owner, key), row)| {
            let before = to.is_none_or(|to| key.as_str() < to);
            owner == table && key.as_str() >= from && before && row.value.is_some()
        });
        let rows: Vec<Value> = inside
            .map(|((_, key), row)| Self::wire_row(table, key, row))
            .collect();
        json!({
            "has_more": rows.len() > limit,
            "rows": rows[..rows.len().min(limit)],
            "row_version": self.version, "now_s": 0.0,
        })
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let mut rows: Vec<(&String, &StoredRow)> = self
            .rows
            .iter()
            .filter(|((owner, _), row)| owner == table && row.version > after)
            .map(|((_, key), row)| (key, row))
            .collect();
        rows.sort_by_key(|(_, row)| row.version);
        rows.into_iter()
            .map(|(key, row)| Self::wire_row(table, key, row))
            .collect()
    }

    fn transact(&mut self, body: &Value) -> (StatusCode, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let name = |row: &Value| {
            let text = |field: &str| row[field].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let conflict = list("expected").iter().any(|row| {
            let held = self.rows.get(&name(row)).filter(|row| row.value.is_some());
            held.map_or(0, |row| row.version) != row["row_version"].as_u64().unwrap_or(0)
        });
        if conflict {
            let expected = list("expected");
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let (table, key) = name(row);
                    let held = self.rows.get(&(table.clone(), key.clone()))?;
                    Some(Self::wire_row(&table, &key, held))
                })
                .collect();
            let answer = json!({ "rows": rows, "row_version": self.version });
            return (StatusCode::PRECONDITION_FAILED, answer);
        }
        for row in list("puts") {
            let (table, key) = name(&row);
            let value = row["value"].as_str().unwrap_or_default();
            self.write(&table, &key, BASE64.decode(value).ok());
        }
        for row in list("remove") {
            let (table, key) = name(&row);
            self.write(&table, &key, None);
        }
        (StatusCode::OK, json!({ "row_version": self.version }))
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<StoreState>>, changed: watch::Sender<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (state, changed) = (Arc::clone(&state), changed.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| serve(&state, &changed, request));
            // A caller that hangs up, or a lost answer, ends the connection.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Ends a connection without an answer.
#[derive(Debug)]
struct HangUp;

impl std::fmt::Display for HangUp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost on purpose")
    }
}

impl std::error::Error for HangUp {}

async fn serve(
    state: &Mutex<StoreState>,
    changed: &watch::Sender<u64>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, HangUp> {
    let fault = lock(state).fault;
    if fault == StoreFault::Busy {
        return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
    }
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map(|(_, value)| decode(value))
    };
    let table = field("table").unwrap_or_default();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/rows-get") => {
            let from = field("from").unwrap_or_default();
            let limit = field("limit").and_then(|limit| limit.parse().ok());
            let to = field("to");
            let read = lock(state).read(&table, &from, to.as_deref(), limit.unwrap_or(500));
            Ok(answer(StatusCode::OK, &read))
        }
        (&Method::GET, "/v1/rows-feed") => {
            let number = |name| field(name).and_then(|text| text.parse::<u64>().ok());
            let after = number("after").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            Ok(feed(state, changed, &table, after, wait).await)
        }
        (&Method::POST, "/v1/rows-tx") => {
            let body = request.into_body().collect().await.map_err(|_| HangUp)?;
            let body = serde_json::from_slice(&body.to_bytes()).map_err(|_| HangUp)?;
            let (status, outcome) = lock(state).transact(&body);
            changed.send_modify(|_| {});
            if fault == StoreFault::LosesWriteAnswers {
                return Err(HangUp);
            }
            Ok(answer(status, &outcome))
        }
        _ => Ok(answer(StatusCode::NOT_FOUND, &Value::Null)),
    }
}

async fn feed(
    state: &Mutex<StoreState>,
    changed: &watch::Sender<u64>,
    table: &str,
    after: u64,
    wait: Duration,
) -> Response<Full<Bytes>> {
    let mut news = changed.subscribe();
    let end = tokio::time::Instant::now() + wait;
    loop {
        let (rows, version, fault) = {
            let state = lock(state);
            (state.changes(table, after), state.version, state.fault)
        };
        match fault {
            StoreFault::Forgetful => return answer(StatusCode::GONE, &Value::Null),
            StoreFault::Busy => return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            StoreFault::None | StoreFault::LosesWriteAnswers => {}
        }
        let waited =
            !rows.is_empty() || tokio::time::timeout_at(end, news.changed()).await.is_err();
        if waited {
            let body = json!({ "rows": rows, "row_version": version, "now_s": 0.0 });
            return answer(StatusCode::OK, &body);
        }
    }
}

fn answer(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}

/// Decodes a value of a query.
fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = bytes
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escaped.unwrap_or(bytes[index]));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
