//! A gateway with simulated targets, and a caller that sends exact bytes.

use std::net::SocketAddr;

use damaskloom_gateway::process::GatewayProcess;
use damaskloom_gateway::settings::GatewaySettings;
use damaskloom_lib::config::FleetConfig;
use damaskloom_lib::key::RawKey;
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_settings::{ServiceTime, TargetSettings};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The key of the fixture's one customer.
pub const KEY: &str = "k-4f1d0c9be27a";
/// A key that was withdrawn.
pub const WITHDRAWN_KEY: &str = "k-withdrawn-77";

/// A gateway and its targets, which stop when the fixture is dropped.
pub struct Fixture {
    pub gateway: GatewayProcess,
    pub targets: Vec<TargetHandle>,
}

/// A change to the configuration document before the gateway starts.
pub type ConfigEdit = fn(&mut Value);

/// Starts `count` targets and a gateway that uses them.
pub async fn start(count: usize, edit: ConfigEdit) -> Fixture {
    let mut targets = Vec::new();
    for index in 0..count {
        let settings = TargetSettings {
            name: format!("t{index}"),
            slots: 4,
            service_time: ServiceTime::Fixed(1.0),
            restart_ms: 50,
            ..TargetSettings::default()
        };
        targets.push(
            TargetServer::start(settings)
                .await
                .expect("a loopback port is available"),
        );
    }
    let addresses: Vec<SocketAddr> = targets.iter().map(TargetHandle::address).collect();
    let gateway = start_gateway(&addresses, edit).await;
    Fixture { gateway, targets }
}

/// Starts a gateway whose targets have the given addresses.
pub async fn start_gateway(addresses: &[SocketAddr], edit: ConfigEdit) -> GatewayProcess {
    GatewayProcess::start(settings("vm-1", "khatgal", addresses, edit))
        .await
        .expect("a loopback port is available")
}

/// Returns the settings of a gateway whose targets have the given addresses.
pub fn settings(
    vm: &str,
    data_centre: &str,
    addresses: &[SocketAddr],
    edit: ConfigEdit,
) -> GatewaySettings {
    let mut document = config_document(addresses);
    edit(&mut document);
    let config: FleetConfig = serde_json::from_value(document).expect("the fixture is valid");
    let settings = json!({
        "vm": vm, "data_centre": data_centre,
        "caller_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "directory_lifetime_ms": 500, "max_head_bytes": 16384, "config": config,
    });
    GatewaySettings::parse(settings.to_string(), "test").expect("valid settings")
}

fn config_document(addresses: &[SocketAddr]) -> Value {
    let targets: Vec<Value> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({"id": format!("t{index}"), "service": "convoy-desk", "address": address,
                   "data_centre": "khatgal", "slots": 4, "connections": 100})
        })
        .collect();
    json!({
        "revision": 1,
        "customers": [{"id": "border-post", "rate": "1000/s", "burst": 1000}],
        "keys": [
            {"digest": RawKey::new(KEY).digest(), "customer": "border-post", "state": "granted"},
            {"digest": RawKey::new(WITHDRAWN_KEY).digest(), "customer": "border-post", "state": "withdrawn"},
        ],
        "routes": [
            {"id": "slots", "path_prefix": "/slots", "service": "convoy-desk", "access": "keyed",
             "idempotence": "idempotent", "deadline_ms": 800},
            {"id": "book", "path_prefix": "/book", "service": "convoy-desk", "access": "keyed",
             "request_id_header": "x-request-id", "deadline_ms": 800, "max_body": "1KiB"},
            {"id": "ice", "path_prefix": "/ice", "service": "convoy-desk", "access": "open",
             "idempotence": "idempotent", "deadline_ms": 800, "directory_format": "lines"},
        ],
        "services": [{"id": "convoy-desk", "floor": 1}],
        "targets": targets,
    })
}

/// An answer as it was received.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Returns a header's value; the case of its name is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status, execution and reason in one line, for comparison in tests.
    pub fn outcome(&self) -> String {
        let field = |name| self.header(name).unwrap_or("-");
        format!(
            "{} {} {}",
            self.status,
            field("damaskloom-execution"),
            field("damaskloom-reason")
        )
    }
}

/// Sends exact bytes on a new connection and reads until the gateway closes it.
pub async fn send_raw(address: SocketAddr, request: impl AsRef<[u8]>) -> RawAnswer {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the gateway listens");
    stream
        .write_all(request.as_ref())
        .await
        .expect("the gateway reads");
    let mut raw = Vec::new();
    // A reset after the answer is treated as the end of the stream.
    let _ = stream.read_to_end(&mut raw).await;
    parse_answer(&raw)
}

/// Sends a request for a path with the given extra header lines.
pub async fn send(address: SocketAddr, method: &str, path: &str, headers: &[&str]) -> RawAnswer {
    let extra: String = headers.iter().map(|line| format!("{line}\r\n")).collect();
    let request =
        format!("{method} {path} HTTP/1.1\r\nhost: gate\r\nconnection: close\r\n{extra}\r\n");
    send_raw(address, request).await
}

fn parse_answer(raw: &[u8]) -> RawAnswer {
    let split = raw.windows(4).position(|window| window == b"\r\n\r\n");
    let (head, body) = match split {
        Some(end) => (&raw[..end], raw[end + 4..].to_vec()),
        None => (raw, Vec::new()),
    };
    let head = String::from_utf8_lossy(head).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    RawAnswer { status, head, body }
}

/// Returns the `Authorization` line with the fixture's key.
pub fn authorization() -> String {
    format!("authorization: Bearer {KEY}")
}
