//! A bed for the cases of this review that run as scripts: the platform's store, servers, clients and the
//! processes of the project, on loopback addresses and the real clock. Only the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<fs::File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(fs::File::create(path)?)))))
    }

    pub fn seconds(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        print!("{}", self.note(text));
    }

    /// Writes a line to the file only.
    pub fn note(&self, text: impl AsRef<str>) -> String {
        let line = format!("{:8.3} s  {}\n", self.seconds(), text.as_ref());
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
        line
    }

    /// Notes what a client sent and what it got.
    pub fn answered(&self, method: &str, path: &str, id: &str, node: &str, sent_at: f64, outcome: &Outcome) {
        let status = outcome.status.map_or_else(|| format!("no answer ({})", outcome.detail), |status| status.to_string());
        self.note(format!("{method} {path} {id} sent to {node} at {sent_at:.3} s: {status}"));
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_s(0.005);
    }
    false
}

// ---- JSON and base64 ----

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    fn skip(text: &[u8], at: &mut usize) {
        while *at < text.len() && text[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(text, at)? else { return None };
                            Self::skip(text, at);
                            *at += 1;
                            fields.push((name, Self::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::skip(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut bytes = Vec::new();
                loop {
                    match *text.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(bytes).ok()?));
                        }
                        b'\\' => {
                            let escaped = *text.get(*at + 1)?;
                            *at += 2;
                            match escaped {
                                b'n' => bytes.push(b'\n'),
                                b't' => bytes.push(b'\t'),
                                b'u' => {
                                    let code = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(code, 16).ok()?;
                                    let mut buffer = [0; 4];
                                    let sign = char::from_u32(code)?;
                                    bytes.extend(sign.encode_utf8(&mut buffer).as_bytes());
                                    *at += 4;
                                }
                                other => bytes.push(other),
                            }
                        }
                        byte => {
                            bytes.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while *at < text.len() && !b",]} \n\r\t".contains(&text[*at]) {
                    *at += 1;
                }
                match &text[start..*at] {
                    b"null" => Some(Json::Null),
                    b"true" | b"false" => Some(Json::Bool),
                    number => Some(Json::Number(std::str::from_utf8(number).ok()?.parse().ok()?)),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn items(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(BASE64[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for sign in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == sign) else { continue };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

// ---- HTTP ----

pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some()
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Head { first, headers });
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if !head.is_chunked() {
        let mut body = vec![0; head.length()];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend(&chunk[..size]);
    }
}

// ---- the platform's store ----

#[derive(Clone, Default)]
struct Tables {
    rows: BTreeMap<String, BTreeMap<String, (Option<Vec<u8>>, u64)>>,
    version: u64,
}

/// The store: versioned rows, their feed, and any number of addresses.
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started_at: Instant,
    /// What `Store-Era` says in all answers.
    era: AtomicU64,
    /// Whether all calls are answered 503 for a moment.
    is_away: AtomicBool,
}

/// A copy of all that the store held at a moment.
pub struct Copy(Tables);

/// An address at which the store can be reached until it is closed.
pub struct StoreAddress {
    pub address: SocketAddr,
    /// The number of reads of the servers' table that were answered there.
    pub answered: Arc<AtomicU64>,
    /// Whether calls there get no response.
    pub is_silent: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    listener: Option<thread::JoinHandle<()>>,
}

impl StoreAddress {
    /// Closes the listener and all connections; later ones are refused.
    pub fn close(&mut self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(listener) = self.listener.take() {
            let _ = listener.join();
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
        })
    }

    /// Sets the era that the answers name from now on.
    pub fn set_era(&self, era: u64) {
        self.era.store(era, Ordering::SeqCst);
    }

    /// Refuses all calls with 503, or serves again. Feeds that wait end.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.tables.lock().unwrap().clone())
    }

    /// Comes back from a copy: what was acknowledged since is lost, and the era is one more.
    pub fn restore(&self, copy: Copy) {
        *self.tables.lock().unwrap() = copy.0;
        self.era.fetch_add(1, Ordering::SeqCst);
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.tables.lock().unwrap().version
    }

    /// Writes or removes a row, as the operator and the servers do; the return is the ack.
    pub fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let version = tables.version;
        let rows = tables.rows.entry(table.to_owned()).or_default();
        rows.insert(key.to_owned(), (value, version));
        self.changed.notify_all();
    }

    pub fn listen(self: &Arc<Self>, ip: IpAddr) -> io::Result<StoreAddress> {
        self.listen_at(SocketAddr::new(ip, 0))
    }

    pub fn listen_at(self: &Arc<Self>, address: SocketAddr) -> io::Result<StoreAddress> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let answered = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&answered);
        let is_silent = Arc::new(AtomicBool::new(false));
        let silence = Arc::clone(&is_silent);
        let closed = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (store, is_closed, held) = (Arc::clone(self), Arc::clone(&closed), Arc::clone(&connections));
        let listener = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                held.lock().unwrap().push(stream.try_clone().expect("a socket"));
                let (store, counter, silence) = (Arc::clone(&store), Arc::clone(&counter), Arc::clone(&silence));
                thread::spawn(move || store.serve(stream, &counter, &silence));
            }
        });
        Ok(StoreAddress { address, answered, is_silent, closed, connections, listener: Some(listener) })
    }

    fn serve(&self, stream: TcpStream, answered: &AtomicU64, is_silent: &AtomicBool) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let mut writer = stream;
        while let Ok(head) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            sleep_s(0.004);
            let (status, answer) = match self.is_away.load(Ordering::SeqCst) {
                true => (503, String::new()),
                false => self.answer(head.method(), head.target(), &body),
            };
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{answer}",
                self.era.load(Ordering::SeqCst),
                answer.len()
            );
            if is_silent.load(Ordering::SeqCst) {
                // A connection on which a response is lost delivers nothing further.
                while is_silent.load(Ordering::SeqCst) {
                    sleep_s(0.05);
                }
                return;
            }
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            if head.target().contains("table=servers") {
                answered.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/v1/rows-get") => {
                let limit = text("limit").parse().unwrap_or(500).min(500);
                (200, self.rows_get(&text("table"), &text("from"), query.get("to"), limit))
            }
            ("GET", "/v1/rows-feed") => {
                let after = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0).min(30_000));
                self.rows_feed(&text("table"), after, wait)
            }
            ("POST", "/v1/rows-tx") => self.rows_tx(body),
            _ => (404, String::new()),
        }
    }

    fn envelope(&self, rows: Vec<String>, has_more: bool, version: u64) -> String {
        let now_s = self.started_at.elapsed().as_secs_f64();
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"row_version\":{version},\"now_s\":{now_s:.3}}}",
            rows.join(",")
        )
    }

    fn rows_get(&self, table: &str, from: &str, to: Option<&String>, limit: usize) -> String {
        let tables = self.tables.lock().unwrap();
        let empty = BTreeMap::new();
        let rows = tables.rows.get(table).unwrap_or(&empty);
        let mut live = rows
            .iter()
            .filter(|(key, (value, _))| {
                value.is_some() && key.as_str() >= from && to.is_none_or(|to| *key < to)
            })
            .map(|(key, row)| row_text(table, key, row));
        let page: Vec<String> = live.by_ref().take(limit).collect();
        let has_more = live.next().is_some();
        drop(live);
        self.envelope(page, has_more, tables.version)
    }

    fn rows_feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut tables = self.tables.lock().unwrap();
        loop {
            if self.is_away.load(Ordering::SeqCst) {
                return (503, String::new());
            }
            if after > tables.version {
                // A version that the store doesn't have.
                return (410, String::new());
            }
            let mut changed: Vec<(u64, String)> = tables
                .rows
                .get(table)
                .into_iter()
                .flatten()
                .filter(|(_, (_, version))| *version > after)
                .map(|(key, row)| (row.1, row_text(table, key, row)))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort();
                let rows = changed.into_iter().map(|(_, text)| text).collect();
                return (200, self.envelope(rows, false, tables.version));
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, String::new()) };
        let mut tables = self.tables.lock().unwrap();
        let mut conflicts = Vec::new();
        for entry in call.items("expected") {
            let (table, key) = (entry.text("table"), entry.text("key"));
            let held = tables.rows.get(&table).and_then(|rows| rows.get(&key));
            let live = held.filter(|(value, _)| value.is_some());
            if live.map_or(0, |(_, version)| *version) != entry.number("row_version") as u64 {
                conflicts.extend(live.map(|row| row_text(&table, &key, row)));
                if live.is_none() {
                    conflicts.push(String::new());
                }
            }
        }
        if !conflicts.is_empty() {
            conflicts.retain(|text| !text.is_empty());
            let version = tables.version;
            return (412, self.envelope(conflicts, false, version));
        }
        tables.version += 1;
        let version = tables.version;
        let writes = call.items("puts").iter().map(|entry| (entry, true));
        for (entry, is_put) in writes.chain(call.items("remove").iter().map(|entry| (entry, false))) {
            let table = entry.text("table");
            if table == "op" || table == "servers" {
                return (403, String::new());
            }
            let value = is_put.then(|| from_base64(&entry.text("value")));
            let rows = tables.rows.entry(table).or_default();
            rows.insert(entry.text("key"), (value, version));
        }
        self.changed.notify_all();
        (200, self.envelope(Vec::new(), false, version))
    }
}

fn row_text(table: &str, key: &str, (value, version): &(Option<Vec<u8>>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{}\"", to_base64(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{rest},\"row_version\":{version}}}")
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
            decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---- servers ----

/// The time after which a server answers a long request whose body it has not read.
const EARLY_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// The time from the beginning of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_s: f64,
    pub server: String,
    pub id: String,
    pub target: String,
    pub tenant: String,
    pub from: IpAddr,
}

/// What all servers of a case share.
pub struct Fleet {
    pub record: Record,
    pub runs: Mutex<Vec<Run>>,
    /// The machines from which no server can be reached: their connections are closed.
    pub cut: Mutex<Vec<IpAddr>>,
    /// Bodies longer than this are refused before they are read; the server reads on slowly.
    pub early_above: usize,
    /// The bytes of such a body that a server reads at a time, and the pause between.
    pub read_slowly: Option<(usize, Duration)>,
    pub work: Duration,
    /// The path of the request that crashes each server that begins to run it.
    pub crashing_path: String,
}

#[derive(Clone)]
pub struct ServerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: IpAddr,
    pub slots: u32,
    /// The port, or 0 for a free one.
    pub port: u16,
}

/// A running server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Unix milliseconds of its start.
    pub born: u64,
    /// The sequence of its last heartbeat.
    pub sequence: AtomicU64,
    /// The sequence of the last heartbeat that the store has acknowledged.
    pub acknowledged: AtomicU64,
    /// Whether its heartbeats don't reach the store.
    is_partitioned: AtomicBool,
    spec: ServerSpec,
    /// Whether it has left: its row is gone, and it says so in its answers.
    left: AtomicBool,
    /// Whether it has ended: its connections are closed.
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
}

impl Server {
    /// What it says of itself in the store.
    pub fn row(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrency\":{},\"state\":\"{state}\",\"warmup_left_s\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.spec.service, self.address, self.spec.zone, self.spec.slots, self.born
        )
    }

    /// Registers again after the store has lost its row.
    pub fn write_again(&self) {
        let sequence = self.sequence.load(Ordering::SeqCst);
        self.store.write("servers", &self.id, Some(self.row("ready", sequence).into_bytes()));
    }

    /// Is cut off from the store; returns its next heartbeat, which the cut holds up.
    pub fn partition(&self) -> String {
        self.is_partitioned.store(true, Ordering::SeqCst);
        self.row("ready", self.sequence.load(Ordering::SeqCst) + 1)
    }

    /// Reaches the store again; returns the sequence of the next heartbeat once the store has acknowledged it.
    pub fn rejoin(&self) -> u64 {
        self.is_partitioned.store(false, Ordering::SeqCst);
        let before = self.acknowledged.load(Ordering::SeqCst);
        while self.acknowledged.load(Ordering::SeqCst) == before {
            sleep_s(0.005);
        }
        self.acknowledged.load(Ordering::SeqCst)
    }

    /// Crashes: new connections are refused, and what it runs is lost. Its row expires.
    pub fn crash(&self) {
        self.end();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Leaves without a word before: the row is removed, and it serves on until it ends.
    pub fn leave(&self) {
        self.left.store(true, Ordering::SeqCst);
        self.store.write("servers", &self.id, None);
    }

    /// Ends the server; what it runs is lost.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Starts a server: it registers in the store and serves until it is ended.
pub fn start_server(fleet: &Arc<Fleet>, store: &Arc<Store>, spec: ServerSpec) -> io::Result<Arc<Server>> {
    let listener = TcpListener::bind(SocketAddr::new(spec.ip, spec.port))?;
    let address = listener.local_addr()?;
    let born = unix_ms();
    let server = Arc::new(Server {
        id: spec.id.clone(),
        address,
        born,
        sequence: AtomicU64::new(1),
        acknowledged: AtomicU64::new(1),
        is_partitioned: AtomicBool::new(false),
        spec: spec.clone(),
        left: AtomicBool::new(false),
        ended: AtomicBool::new(false),
        connections: Mutex::default(),
        store: Arc::clone(store),
    });
    store.write("servers", &server.id, Some(server.row("ready", 1).into_bytes()));
    let beating = Arc::clone(&server);
    thread::spawn(move || {
        for sequence in 2.. {
            sleep_s(1.5);
            if beating.left.load(Ordering::SeqCst) {
                return;
            }
            if beating.ended.load(Ordering::SeqCst) {
                // Three check-in intervals of silence.
                sleep_s(3.0);
                beating.store.write("servers", &beating.id, None);
                return;
            }
            beating.sequence.store(sequence, Ordering::SeqCst);
            if beating.is_partitioned.load(Ordering::SeqCst) {
                continue;
            }
            beating.store.write("servers", &beating.id, Some(beating.row("ready", sequence).into_bytes()));
            beating.acknowledged.store(sequence, Ordering::SeqCst);
        }
    });
    let (fleet, accepting) = (Arc::clone(fleet), Arc::clone(&server));
    thread::spawn(move || {
        let running = Arc::new(AtomicU64::new(0));
        for stream in listener.incoming().flatten() {
            if accepting.ended.load(Ordering::SeqCst) {
                return;
            }
            let (Ok(held), Ok(closing)) = (stream.try_clone(), stream.try_clone()) else { continue };
            accepting.connections.lock().unwrap().push(held);
            let (fleet, server, running) = (Arc::clone(&fleet), Arc::clone(&accepting), Arc::clone(&running));
            thread::spawn(move || {
                let _ = serve_server(&fleet, &server, server.spec.slots, &running, stream);
                let _ = closing.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    Ok(server)
}

fn serve_server(fleet: &Fleet, server: &Server, slots: u32, running: &AtomicU64, stream: TcpStream) -> io::Result<()> {
    let id = server.id.as_str();
    let from = stream.peer_addr()?.ip();
    let is_cut = || fleet.cut.lock().unwrap().contains(&from);
    if is_cut() {
        return Ok(());
    }
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let head = read_head(&mut reader)?;
        if is_cut() {
            return Ok(());
        }
        let request_id = head.header("request-id").unwrap_or("").to_owned();
        let load = |count: u64| format!("{count},0,{slots}");
        let leaving = if server.left.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let mut answer = |status: &str, extra: &str, body: &str| {
            let text = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nKeep-Alive: timeout=10\r\nServer-Load: {}\r\n{leaving}{extra}Content-Length: {}\r\n\r\n{body}",
                load(running.load(Ordering::SeqCst)),
                body.len()
            );
            writer.write_all(text.as_bytes())
        };
        if head.header("expect-instance").is_some_and(|expected| expected != id) {
            read_body(&mut reader, &head)?;
            answer("421 Misdirected Request", &format!("Instance-Id: {id}\r\nNot-Executed: 1\r\n"), "")?;
            continue;
        }
        if head.length() > fleet.early_above {
            thread::sleep(EARLY_ANSWER_DELAY);
            answer("413 Content Too Large", &format!("Server-Seal: {id}.{request_id}\r\n"), "too long\n")?;
            fleet.record.line(format!("server {id} answers {request_id} with 413 before it has read the body"));
            let (piece, pause) = fleet.read_slowly.unwrap_or((head.length(), Duration::ZERO));
            let mut left = head.length();
            let mut buffer = vec![0; piece];
            while left > 0 {
                let wanted = left.min(piece);
                reader.read_exact(&mut buffer[..wanted])?;
                left -= wanted;
                thread::sleep(pause);
            }
            fleet.record.line(format!("server {id} has read the body of {request_id} to its end"));
            continue;
        }
        read_body(&mut reader, &head)?;
        if head.target() == "/health" {
            answer("200 OK", &format!("Instance-Id: {id}\r\n"), "")?;
            continue;
        }
        if running.fetch_add(1, Ordering::SeqCst) >= u64::from(slots) {
            running.fetch_sub(1, Ordering::SeqCst);
            fleet.record.note(format!("server {id} turns {request_id} away: it is full"));
            answer("503 Service Unavailable", "Not-Executed: 1\r\n", "")?;
            continue;
        }
        fleet.record.note(format!("server {id} begins {} {request_id} from {from}", head.target()));
        fleet.runs.lock().unwrap().push(Run {
            at_s: fleet.record.seconds(),
            server: id.to_owned(),
            id: request_id.clone(),
            target: head.target().to_owned(),
            tenant: head.header("tenant-name").unwrap_or("").to_owned(),
            from,
        });
        if head.target() == fleet.crashing_path {
            thread::sleep(CRASH_DELAY);
            server.crash();
            return Ok(());
        }
        thread::sleep(fleet.work);
        running.fetch_sub(1, Ordering::SeqCst);
        answer("200 OK", &format!("Server-Seal: {id}.{request_id}\r\n"), &format!("done {request_id} at {id}\n"))?;
    }
}

// ---- clients ----

/// What a client got: the status and the time that it took, or why there is none.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub status: Option<u16>,
    pub took_s: f64,
    pub detail: String,
}

pub struct Call<'a> {
    pub node: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub id: String,
    pub deadline_ms: u64,
}

impl Call<'_> {
    pub fn head(&self, length: usize) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {length}\r\n\r\n",
            self.method, self.path, self.id, self.deadline_ms, self.key
        )
    }

    /// Sends the request on a new connection and waits for its answer until its time budget ends.
    pub fn send(&self) -> Outcome {
        self.send_with_body(&[])
    }

    /// Does the same with a body.
    pub fn send_with_body(&self, body: &[u8]) -> Outcome {
        let start = Instant::now();
        let result = self.exchange(body);
        let took_s = start.elapsed().as_secs_f64();
        match result {
            Ok((status, detail)) => Outcome { status: Some(status), took_s, detail },
            Err(error) => Outcome { status: None, took_s, detail: format!("{:?}", error.kind()) },
        }
    }

    fn exchange(&self, body: &[u8]) -> io::Result<(u16, String)> {
        let budget = Duration::from_millis(self.deadline_ms);
        let stream = TcpStream::connect_timeout(&self.node, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(budget))?;
        (&stream).write_all(self.head(body.len()).as_bytes())?;
        (&stream).write_all(body)?;
        let mut reader = BufReader::new(&stream);
        let head = read_head(&mut reader)?;
        let body = read_body(&mut reader, &head)?;
        Ok((head.status(), String::from_utf8_lossy(&body).trim().to_owned()))
    }
}

pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst) << 20 | u64::from(std::process::id() & 0xf_ffff))
}

// ---- a proxy between machines ----

/// Passes datagrams and connections to a machine on, unless they are cut: then datagrams are dropped, and
/// connections hang.
pub struct PeerProxy {
    pub is_cut: Arc<AtomicBool>,
}

impl PeerProxy {
    pub fn start(reached_at: SocketAddr, machine: SocketAddr) -> io::Result<Self> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let datagrams = UdpSocket::bind(reached_at)?;
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            let mut buffer = vec![0; 1 << 16];
            // The machine sees the address of the sender, as without a proxy.
            let mut senders: HashMap<IpAddr, UdpSocket> = HashMap::new();
            while let Ok((length, from)) = datagrams.recv_from(&mut buffer) {
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                let sender = senders.entry(from.ip()).or_insert_with(|| {
                    UdpSocket::bind(SocketAddr::new(from.ip(), 0)).expect("a loopback address")
                });
                let _ = sender.send_to(&buffer[..length], machine);
            }
        });
        let listener = TcpListener::bind(reached_at)?;
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            let mut hanging = Vec::new();
            for stream in listener.incoming().flatten() {
                if cut.load(Ordering::SeqCst) {
                    hanging.push(stream);
                } else if let Ok(other) = TcpStream::connect(machine) {
                    copy_both_ways(stream, other);
                }
            }
        });
        Ok(Self { is_cut })
    }
}

fn copy_both_ways(left: TcpStream, right: TcpStream) {
    let pairs = [
        (left.try_clone().expect("a socket"), right.try_clone().expect("a socket")),
        (right, left),
    ];
    for (mut from, mut to) in pairs {
        thread::spawn(move || {
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(std::net::Shutdown::Both);
        });
    }
}

// ---- the project's processes ----

/// The addresses of a case: a free part of the loopback network.
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    pub fn choose() -> Self {
        let seed = unix_ms() ^ u64::from(std::process::id()) << 7;
        Self { second: 20 + (seed % 200) as u8, third: 1 + (seed / 200 % 250) as u8 }
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }
}

/// The bounds of a small deployment, as its sheet states them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub grace_s: f64,
    pub config_apply_s: f64,
}

pub struct Entry {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Bed {
    pub record: Record,
    folder: PathBuf,
    root: PathBuf,
    ports: [u16; 4],
    bounds: Bounds,
}

impl Bed {
    pub fn new(record: Record, folder: PathBuf, root: PathBuf, network: &Network, bounds: Bounds) -> io::Result<Self> {
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(TcpListener::bind(SocketAddr::new(network.ip(1), 0))?);
        }
        let port = |index: usize| held[index].local_addr().map(|address| address.port());
        let ports = [port(0)?, port(1)?, port(2)?, port(3)?];
        Ok(Self { record, folder, root, ports, bounds })
    }

    /// Renders the template of the deploy file as the platform does.
    pub fn render(&self, entry: &Entry, zone: &str, zones: &[&str], store: SocketAddr, is_first: bool) -> io::Result<()> {
        let mut text = fs::read_to_string(self.root.join("deploy/entry.jsonc.template"))?;
        let quoted = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"area\"")).collect();
        let directory = SocketAddr::new(entry.front.ip(), self.ports[2]);
        let values = [
            ("node_name|json", quoted(&entry.name)),
            ("zone|json", quoted(&zone)),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("ip|json", quoted(&entry.ip)),
            ("listen_addrs.front|json", quoted(&entry.front)),
            ("listen_addrs.ready|json", quoted(&entry.ready)),
            ("listen_addrs.directory|json", quoted(&directory)),
            ("internal_ports.0", self.ports[3].to_string()),
            ("platform.address|json", quoted(&store)),
            ("bootstrap", is_first.to_string()),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.cpu_cores", "1".to_owned()),
            ("limits.link_mbps", "1000".to_owned()),
            ("bounds.grace_s", self.bounds.grace_s.to_string()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.config_apply_s", self.bounds.config_apply_s.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "64".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.quota_window_s", "5".to_owned()),
            ("bounds.quota_excess", "0.1".to_owned()),
            ("bounds.quota_slack", "20".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other("the template has a placeholder that this bed does not know"));
        }
        // A machine's connections come from its own address; on loopback that has to be said.
        let text = text.replacen("\n{\n", &format!("\n{{\n  \"target_source\": \"{}\",\n", entry.ip), 1);
        fs::write(&entry.settings, text)
    }

    /// Returns the port for traffic between machines.
    pub fn peer_port(&self) -> u16 {
        self.ports[3]
    }

    pub fn entry(&self, name: &str, ip: IpAddr) -> Entry {
        self.entry_behind(name, ip, ip)
    }

    /// Makes an entry that others reach at another address than the one that it sends from, so that a proxy
    /// can stand between.
    pub fn entry_behind(&self, name: &str, ip: IpAddr, reached_at: IpAddr) -> Entry {
        Entry {
            name: name.to_owned(),
            ip,
            front: SocketAddr::new(reached_at, self.ports[0]),
            ready: SocketAddr::new(reached_at, self.ports[1]),
            settings: self.folder.join(format!("{name}.jsonc")),
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self, entry: &mut Entry) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&entry.log)?;
        let child = Command::new(self.root.join("target/release/damaskloom-entry"))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("DAMASKLOOM_SETTINGS", &entry.settings)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone()?))
            .stdout(Stdio::from(log))
            .spawn()?;
        // The script ends the processes listed here, should this program be ended itself.
        let pids = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        writeln!(pids?, "{}", child.id())?;
        self.record.line(format!("process {} started", entry.name));
        entry.child = Some(child);
        Ok(())
    }
}

impl Entry {
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Asks the readiness address as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            (&stream).write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(&stream))?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Returns the last line with a text that the process has logged.
    pub fn last_logged(&self, text: &str) -> Option<String> {
        let log = fs::read_to_string(&self.log).ok()?;
        log.lines().rfind(|line| line.contains(text)).map(str::to_owned)
    }

    /// Returns whether the process has logged a text.
    pub fn has_logged(&self, text: &str) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The names and the folder that the script hands over: `CASE_FOLDER`, `ROOT`, `WORK_FOLDER`, `TROUBLE`.
pub struct Script {
    pub record: Record,
    pub work: PathBuf,
    pub root: PathBuf,
    pub has_trouble: bool,
}

impl Script {
    pub fn read() -> io::Result<Self> {
        let path = |name: &str| std::env::var_os(name).map(PathBuf::from).ok_or_else(|| io::Error::other(name.to_owned()));
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        
        Ok(Self {
            record: Record::create(&path("CASE_FOLDER")?.join("record.txt"))?,
            work: path("WORK_FOLDER")?,
            root: path("ROOT")?,
            has_trouble,
        })
    }
}

/// Starts entry processes, spread over zones, and waits until all are ready.
pub fn start_entries(bed: &Bed, network: &Network, zones: &[&str], count: u8, store: SocketAddr) -> io::Result<Option<Vec<Entry>>> {
    let mut entries = Vec::new();
    for index in 0..count {
        let zone = zones[usize::from(index) % zones.len()];
        let name = format!("edge-{zone}-{}", 1 + usize::from(index) / zones.len());
        let mut entry = bed.entry(&name, network.ip(10 + index));
        bed.render(&entry, zone, zones, store, true)?;
        bed.start(&mut entry)?;
        entries.push(entry);
    }
    if !wait_for(15.0, || entries.iter().all(Entry::is_ready)) {
        bed.record.line("not all processes became ready");
        return Ok(None);
    }
    bed.record.line("all processes are ready");
    Ok(Some(entries))
}

/// Sends bookings, some through each machine at once, and waits for their answers.
pub fn send_all(record: &Record, entries: &[Entry], each: usize, method: &'static str, path: &'static str, key: &'static str) -> Vec<thread::JoinHandle<(String, String, Outcome)>> {
    (0..each)
        .flat_map(|_| entries)
        .map(|entry| {
            let (node, name) = (entry.front, entry.name.clone());
            let record = record.clone();
            thread::spawn(move || {
                let sent_at = record.seconds();
                let call = Call { node, method, path, key, id: next_id(), deadline_ms: 1_200 };
                let outcome = call.send();
                record.answered(method, path, &call.id, &name, sent_at, &outcome);
                (name, call.id, outcome)
            })
        })
        .collect()
}
