//! The test bed: the store, entry processes, servers and clients, on loopback addresses of this run's own.

use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Fault = Box<dyn Error + Send + Sync>;

/// The key of the tenant.
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The route of bookings that may run at most once, with the site's timeout and goal.
pub const BOOKING_ROUTE: &str =
    "[\"hire-confirm\",\"hire.example\",\"/bada91/\",\"unsafe\",3,1,1,\"hiredesk\",2,false]";
/// The grace period of the first sites, in seconds.
pub const GRACE_S: f64 = 6.0;
/// The zones of the site, each with its region.
const ZONES: &str = "{\"tbs-a\": \"tbilisi\", \"tbs-b\": \"tbilisi\", \"tbs-c\": \"tbilisi\"}";
/// The port on which entry processes serve callers.
const CALLER_PORT: u16 = 8689;
const READY_PORT: u16 = 8687;
const DIRECTORY_PORT: u16 = 8682;
/// The interval at which servers write to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The lines of `record.txt`, with times since the start of the run.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
}

pub struct Bed {
    pub record: Arc<Record>,
    subnet: (u8, u8),
    folder: PathBuf,
    store: Child,
    entries: Vec<Entry>,
    proxies: Vec<StoreProxy>,
}

/// An entry process, which is started again if it ends.
pub struct Entry {
    pub name: String,
    pub child: Child,
    ip: Ipv4Addr,
    zone: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

/// Runs a case on a new test bed, and ends all processes afterwards.
pub fn run(
    folder: &str,
    case: impl FnOnce(&mut Bed) -> Result<bool, Fault>,
) -> Result<bool, Fault> {
    let record = Arc::new(Record {
        started_at: Instant::now(),
        lines: Mutex::default(),
    });
    let id = std::process::id();
    let subnet = (100 + (id % 100) as u8, ((id / 100) % 250) as u8);
    let temporary = std::env::temp_dir().join(format!("damaskloom-review-{id}"));
    fs::create_dir_all(&temporary)?;
    let address = SocketAddr::from((Ipv4Addr::new(127, subnet.0, subnet.1, 250), 8688));
    let store = Command::new("target/release/damaskloom-platform")
        .arg("--listen")
        .arg(address.to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let mut bed = Bed {
        record: Arc::clone(&record),
        subnet,
        folder: temporary.clone(),
        store,
        entries: Vec::new(),
        proxies: Vec::new(),
    };
    let outcome = bed.wait_for_store(address).and_then(|()| case(&mut bed));
    drop(bed);
    let _ = fs::remove_dir_all(&temporary);
    match &outcome {
        Ok(held) => record.line(if *held { "RULE HELD" } else { "RULE BROKEN" }),
        Err(error) => record.line(format!("NOT RUN: {error}")),
    }
    let mut text = record.lines.lock().unwrap().clone();
    text.sort_by_key(|line| {
        line[..8]
            .trim()
            .replace('.', "")
            .parse::<u64>()
            .unwrap_or(0)
    });
    fs::write(
        PathBuf::from(folder).join("record.txt"),
        text.join("\n") + "\n",
    )?;
    outcome
}

impl Drop for Bed {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.child);
        for child in entries.chain([&mut self.store]) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Bed {
    fn store_address(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.subnet.0, self.subnet.1, 250), 8688))
    }

    /// Returns the address at which an entry process reaches the store: its proxy, if it has one.
    fn store_path(&self, ip: Ipv4Addr) -> SocketAddr {
        let proxy = self.proxies.iter().find(|proxy| proxy.ip == ip);
        proxy.map_or(self.store_address(), |proxy| proxy.address)
    }

    /// Puts a proxy between the store and each of the first entry processes; called before they start.
    pub fn start_proxies(&mut self, count: u8) -> Result<(), Fault> {
        for number in 1..=count {
            let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number);
            let proxy = StoreProxy::start(ip, self.store_address())?;
            self.proxies.push(proxy);
        }
        Ok(())
    }

    /// Resets all open connections between an entry process and the store; new ones work.
    pub fn reset_store_connections(&self, index: usize) -> usize {
        self.proxies[index].reset_all()
    }

    fn wait_for_store(&self, address: SocketAddr) -> Result<(), Fault> {
        wait_until(Duration::from_secs(5), || {
            TcpStream::connect(address).is_ok()
        })
        .then_some(())
        .ok_or_else(|| "the store does not start".into())
    }

    /// Writes a row of the operator or of a server.
    pub fn write_row(&self, table: &str, key: &str, value: &str) -> Result<(), Fault> {
        write_row(self.store_address(), table, key, Some(value))
    }

    /// Starts entry processes, each in its zone.
    pub fn start_entries(&mut self, zones: &[&'static str]) -> Result<(), Fault> {
        for (index, zone) in zones.iter().enumerate() {
            let number = index as u8 + 1;
            let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number);
            let name = format!("edge-{zone}-{number}");
            let settings = self.folder.join(format!("{name}.jsonc"));
            let log = self.folder.join(format!("{name}.log"));
            fs::write(&settings, self.render_settings(&name, zone, ip, true)?)?;
            let child = start_entry(&settings, &log)?;
            self.entries.push(Entry {
                name,
                ip,
                child,
                zone,
                settings,
                log,
            });
        }
        Ok(())
    }

    /// Starts an entry process again, as the platform does after it has ended.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), Fault> {
        let entry = &self.entries[index];
        let text = self.render_settings(&entry.name, entry.zone, entry.ip, false)?;
        let entry = &mut self.entries[index];
        fs::write(&entry.settings, text)?;
        entry.child = start_entry(&entry.settings, &entry.log)?;
        Ok(())
    }

    /// Writes a configuration with the given routes of one service, and one tenant.
    pub fn write_config(&self, routes: &str) -> Result<(), Fault> {
        let config = format!(
            "{{\"version\":7,\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout_s\",\
             \"target_latency_s\",\"priority\",\"service\",\"max_attempts\",\"public\"],\"rows\":[{routes}]}},\
             \"services\":{{\"columns\":[\"name\",\"health_path\",\"max_conns\"],\
             \"rows\":[[\"hiredesk\",\"/health\",360]]}},\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
             \"header_timeout_s\":3,\"idle_timeout_s\":15}},\
             \"tenants\":{{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\
             \"rows\":[[\"kaje80\",[\"{KEY}\"],1,0,0]]}}}}"
        );
        self.write_row("op", "config", &config)
    }

    pub fn wait_ready(&self) -> Result<(), Fault> {
        for index in 0..self.entries.len() {
            if !wait_until(Duration::from_secs(15), || self.is_ready(index)) {
                return Err(format!("{} does not become ready", self.entries[index].name).into());
            }
        }
        self.record.line("all entry processes are ready");
        Ok(())
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::from((self.entries[index].ip, READY_PORT));
        get(address, "/v1/ready").is_some_and(|(status, _)| status == 200)
    }

    /// Asks an entry process's directory where to connect.
    pub fn resolve(&self, index: usize) -> Option<String> {
        let address = SocketAddr::from((self.entries[index].ip, DIRECTORY_PORT));
        let path = "/v1/resolve?name=hire.example&region=tbilisi&zone=tbs-a";
        get(address, path)
            .filter(|(status, _)| *status == 200)
            .map(|(_, body)| body)
    }

    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    pub fn entry(&mut self, index: usize) -> &mut Entry {
        &mut self.entries[index]
    }

    pub fn caller_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.entries[index].ip, CALLER_PORT))
    }

    /// Renders the template of the deploy folder like the platform.
    fn render_settings(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        is_first: bool,
    ) -> Result<String, Fault> {
        let listen = |port: u16| format!("\"{ip}:{port}\"");
        let values = [
            ("node_name|json", format!("\"{name}\"")),
            ("zone|json", format!("\"{zone}\"")),
            ("zones|json", ZONES.to_owned()),
            ("ip|json", format!("\"{ip}\"")),
            ("listen_addrs.front|json", listen(CALLER_PORT)),
            ("listen_addrs.ready|json", listen(READY_PORT)),
            ("listen_addrs.directory|json", listen(DIRECTORY_PORT)),
            ("internal_ports.0", "7360".to_owned()),
            (
                "platform.address|json",
                format!("\"{}\"", self.store_path(ip)),
            ),
            ("bootstrap", is_first.to_string()),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.cpu_cores", "1".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bounds.grace_s", GRACE_S.to_string()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.config_apply_s", "2".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "60".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.quota_window_s", "5".to_owned()),
            ("bounds.quota_excess", "0.1".to_owned()),
            ("bounds.quota_slack", "20".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/entry.jsonc.template")?;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err("the template has a field that this stand-in does not know".into());
        }
        Ok(text)
    }

    /// Starts a server of a service, which writes its row to the store until it leaves.
    pub fn start_server(
        &self,
        number: u8,
        service: &str,
        handle: impl Fn(&Request, &Server) -> Vec<u8> + Send + Sync + 'static,
    ) -> Result<Arc<Server>, Fault> {
        let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, 100 + number);
        let listener = TcpListener::bind((ip, 8080))?;
        let server = Arc::new(Server {
            id: format!("i-{number:04}"),
            record: Arc::clone(&self.record),
            store: self.store_address(),
            is_leaving: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let address = listener.local_addr()?;
        let (handle, accepting) = (Arc::new(handle), Arc::clone(&server));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let (handle, server) = (Arc::clone(&handle), Arc::clone(&accepting));
                if let Ok(stream) = stream.try_clone() {
                    server.streams.lock().unwrap().push(stream);
                }
                thread::spawn(move || serve(stream, &server, &*handle));
            }
        });
        let service = service.to_owned();
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
        let row = move |sequence: u64| {
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"tbs-a\",\
                 \"version\":\"v1\",\"concurrency\":4,\"state\":\"ready\",\"warmup_left_s\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            )
        };
        write_row(server.store, "servers", &server.id, Some(&row(1)))?;
        let writing = Arc::clone(&server);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if writing.is_leaving.load(Ordering::SeqCst)
                    || write_row(writing.store, "servers", &writing.id, Some(&row(sequence)))
                        .is_err()
                {
                    return;
                }
            }
        });
        Ok(server)
    }
}

/// Passes connections of one entry process on to the store.
struct StoreProxy {
    ip: Ipv4Addr,
    address: SocketAddr,
    links: Arc<Mutex<Vec<(TcpStream, TcpStream)>>>,
}

impl StoreProxy {
    fn start(ip: Ipv4Addr, store: SocketAddr) -> Result<Self, Fault> {
        let listener = TcpListener::bind((ip, 8700))?;
        let address = listener.local_addr()?;
        let links: Arc<Mutex<Vec<(TcpStream, TcpStream)>>> = Arc::default();
        let held = Arc::clone(&links);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(store) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                if let (Ok(near), Ok(far)) = (near.try_clone(), far.try_clone()) {
                    held.lock().unwrap().push((near, far));
                }
                for (mut from, to) in [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))]
                    .into_iter()
                    .filter_map(|(from, to)| Some((from.ok()?, to.ok()?)))
                {
                    thread::spawn(move || {
                        let mut to = to;
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Write);
                    });
                }
            }
        });
        Ok(Self { ip, address, links })
    }

    /// Ends all connections. Bytes on their way are lost; both sides notice at once.
    fn reset_all(&self) -> usize {
        let links: Vec<_> = self.links.lock().unwrap().drain(..).collect();
        for (near, far) in &links {
            let _ = near.shutdown(Shutdown::Both);
            let _ = far.shutdown(Shutdown::Both);
        }
        links.len()
    }
}

/// A server of a service.
pub struct Server {
    pub id: String,
    pub record: Arc<Record>,
    store: SocketAddr,
    is_leaving: AtomicBool,
    has_exited: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Removes the server's row, without a report that it drains; the server goes on serving.
    pub fn leave(&self) -> Result<(), Fault> {
        self.is_leaving.store(true, Ordering::SeqCst);
        write_row(self.store, "servers", &self.id, None)
    }

    /// Ends the server with all its connections.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Makes a success; a server that leaves says so.
    pub fn success(&self, id: &str) -> Vec<u8> {
        let body = format!("done {id}");
        let leaving = if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.07\r\n{leaving}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

impl Entry {
    pub fn signal(&self, name: &str) -> Result<(), Fault> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| "the signal was not sent".into())
    }

    /// Returns whether the process reads the store for others, as its log says.
    pub fn is_reader(&self) -> bool {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let mut changes = text
            .lines()
            .filter(|line| line.contains("store reader role changed"));
        let last = changes.next_back();
        last.is_some_and(|line| line.contains("\"is_reader\":true"))
    }

    /// Returns the resident memory of the process, in MB.
    pub fn memory_mb(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1_024 / 1_000_000)
    }
}

fn start_entry(settings: &PathBuf, log: &PathBuf) -> Result<Child, Fault> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new("target/release/damaskloom-entry")
        .env_clear()
        .env("DAMASKLOOM_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()?;
    Ok(child)
}

pub fn wait_until(limit: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_so() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Writes a row, or removes it if there is no value.
fn write_row(store: SocketAddr, table: &str, key: &str, value: Option<&str>) -> Result<(), Fault> {
    let mut stream = TcpStream::connect(store)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let method = if value.is_some() { "PUT" } else { "DELETE" };
    let value = value.unwrap_or("");
    let head = format!(
        "{method} /control/rows/{table}/{key} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        value.len()
    );
    stream.write_all(format!("{head}{value}").as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream)).ok_or("the store does not answer")?;
    (200..300)
        .contains(&answer.status())
        .then_some(())
        .ok_or_else(|| format!("the store answered {}", answer.status()).into())
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let answer = read_message(&mut BufReader::new(stream))?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Some((answer.status(), body))
}

/// A request or an answer, read whole.
pub struct Request {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or("-")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length, or none if it does not arrive whole.
pub fn read_message(reader: &mut impl BufRead) -> Option<Request> {
    let mut start = String::new();
    reader.read_line(&mut start).ok().filter(|read| *read > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Request {
        start: start.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length: usize = message
        .header("content-length")
        .map_or(Some(0), |length| length.parse().ok())?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn serve(
    stream: TcpStream,
    server: &Server,
    handle: &(dyn Fn(&Request, &Server) -> Vec<u8> + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let (id, own) = (request.id(), server.id.as_str());
        let answer = if request.header("expect-instance") == Some(own) {
            handle(&request, server)
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {own}\r\n\
                 Content-Length: 0\r\n\r\n"
            )
            .into_bytes()
        };
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn new_id() -> String {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// The head of a client's booking, up to its framing.
pub fn booking_head(id: &str, path: &str, budget_ms: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: hire.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {budget_ms}\r\n\
         Authorization: Bearer {KEY}\r\n"
    )
}

/// Sends a booking on a connection and waits for the answer: its status, or none if the connection ends
/// without a complete one.
pub fn book(stream: &mut TcpStream, id: &str, path: &str, budget_ms: u32) -> Option<u16> {
    let body = format!("book {id}");
    let head = booking_head(id, path, budget_ms);
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(u64::from(budget_ms) + 1_000)))
        .ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let answer = read_message(&mut reader)?;
    let is_own = answer.header("request-id") == Some(id) || answer.status() >= 300;
    is_own.then(|| answer.status())
}
