//! Callers of a soak: query the directory, reuse connections and record the end of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;

use crate::soak_ledger::SoakLedger;
use crate::soak_records::{SeenEnd, SentRequest, SoakCustomer};
use crate::soak_target::{answer_body, request_body};

/// The deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// The timeout of a new connection and of a directory query.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest interval between two requests of a caller, in milliseconds.
const MAX_REQUEST_INTERVAL_MS: u64 = 120;
/// One in this many requests opens a new connection although one is open.
const NEW_CONNECTION_ONE_IN: u32 = 12;
/// One in this many callers keeps the address that it got from the directory.
const KEPT_ADDRESS_ONE_IN: usize = 3;
/// One in this many requests carries a key that no customer ever had.
const UNKNOWN_KEY_ONE_IN: u32 = 40;
/// In one of this many requests the caller disconnects long before the deadline.
const EARLY_DISCONNECT_ONE_IN: u32 = 30;

/// The routes: path prefix, service, and whether a request may run at most once.
pub const ROUTES: [(&str, &str, bool); 3] = [
    ("/read/", "desk", false),
    ("/book/", "desk", true),
    ("/release/", "berth", true),
];

/// The state that all callers of a soak share.
#[derive(Debug)]
pub struct CallerPlan {
    /// The directory addresses, one for each node.
    pub directories: Vec<SocketAddr>,
    /// The addresses for requests, one for each node.
    pub nodes: Vec<SocketAddr>,
    /// The customers.
    pub customers: Vec<SoakCustomer>,
    /// Set when callers shall stop.
    pub stopped: AtomicBool,
    /// Records requests and their ends.
    pub ledger: Arc<SoakLedger>,
}

struct CallerConnection {
    node: usize,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Sends requests one after the other until the plan is stopped.
pub async fn run_caller(plan: Arc<CallerPlan>, seed: u64, caller: usize) {
    let mut random = SmallRng::seed_from_u64(seed ^ (caller as u64) << 32);
    let mut idle: Option<CallerConnection> = None;
    // Some callers hold an old answer of the directory, as long as the node accepts connections.
    let keeps_address = caller.is_multiple_of(KEPT_ADDRESS_ONE_IN);
    let mut kept: Option<(usize, SocketAddr)> = None;
    let mut number = 0;
    while !plan.stopped.load(Ordering::Relaxed) {
        number += 1;
        let opens_new = random.random_ratio(1, NEW_CONNECTION_ONE_IN);
        let reused = idle
            .take()
            .filter(|reused| !opens_new && !reused.sender.is_closed());
        let connection = match reused {
            Some(reused) => Some(reused),
            None => connect(&plan, kept, &mut random).await,
        };
        if keeps_address {
            kept = connection.as_ref().map(|open| (open.node, open.address));
        }
        if let Some(connection) = connection {
            let id = format!("s{seed}-{caller}-{number}");
            idle = send_on(&plan, connection, &id, &mut random).await;
        }
        let interval = random.random_range(1..MAX_REQUEST_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(interval)).await;
    }
}

async fn connect(
    plan: &CallerPlan,
    kept: Option<(usize, SocketAddr)>,
    random: &mut SmallRng,
) -> Option<CallerConnection> {
    if let Some((node, address)) = kept {
        return Some(CallerConnection {
            node,
            address,
            sender: open(address).await?,
        });
    }
    let directory = *plan.directories.choose(random)?;
    let addresses = tokio::time::timeout(CONNECT_TIMEOUT, query_directory(directory)).await;
    let addresses = addresses.ok()??;
    let address = *addresses.choose(random)?;
    let node = plan.nodes.iter().position(|node| *node == address)?;
    Some(CallerConnection {
        node,
        address,
        sender: open(address).await?,
    })
}

async fn open(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Queries the directory of a node; returns the addresses to connect to.
pub async fn query_directory(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut sender = open(directory).await?;
    let request = Request::get("/v1/resolve?name=a.example&region=region&zone=near")
        .header("host", "directory")
        .body(Full::default())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let answer: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let addresses = answer["addresses"].as_array()?.iter();
    Some(
        addresses
            .filter_map(|address| address.as_str()?.parse().ok())
            .collect(),
    )
}

/// Sends one request; returns the connection if it can be reused.
async fn send_on(
    plan: &CallerPlan,
    mut connection: CallerConnection,
    id: &str,
    random: &mut SmallRng,
) -> Option<CallerConnection> {
    let (prefix, service, once) = *ROUTES.choose(random)?;
    let customer = random.random_range(0..plan.customers.len());
    let has_unknown_key = random.random_ratio(1, UNKNOWN_KEY_ONE_IN);
    let key = match has_unknown_key {
        true => "nobodys-key",
        false => plan.customers[customer].keys.choose(random)?,
    };
    let path = format!("{prefix}{id}");
    let request = request(&path, id, key, once);
    plan.ledger.record_sent(
        id,
        SentRequest {
            customer: (!has_unknown_key).then_some(customer),
            service,
            once,
            path,
            node: connection.node,
            sent_at: Instant::now(),
            end: None,
        },
    );
    let time_limit = match random.random_ratio(1, EARLY_DISCONNECT_ONE_IN) {
        true => random.random_range(1..60),
        false => DEADLINE_MS,
    };
    let exchange = exchange(&mut connection.sender, request, id);
    let end = tokio::time::timeout(Duration::from_millis(time_limit), exchange).await;
    let end = end.unwrap_or(SeenEnd::Left);
    let is_complete = matches!(end, SeenEnd::Answer { .. });
    plan.ledger.record_end(id, end);
    is_complete.then_some(connection)
}

/// Builds a caller's request.
pub fn request(path: &str, id: &str, key: &str, once: bool) -> Request<Full<Bytes>> {
    let body = if once { request_body(id) } else { Bytes::new() };
    Request::builder()
        .method(if once { Method::POST } else { Method::GET })
        .uri(path)
        .header("host", "a.example")
        .header("request-id", id)
        .header("deadline-ms", DEADLINE_MS.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(body))
        .expect("the parts of the request are valid")
}

/// Sends one request on a new connection and returns the status of the answer.
pub async fn send_once(node: SocketAddr, request: Request<Full<Bytes>>) -> Option<u16> {
    let mut sender = open(node).await?;
    let response = sender.send_request(request).await.ok()?;
    Some(response.status().as_u16())
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
) -> SeenEnd {
    if sender.ready().await.is_err() {
        return SeenEnd::NotSent;
    }
    match sender.try_send_request(request).await {
        Ok(response) => read_answer(response, id).await,
        // hyper hands the request back if no byte of it was written.
        Err(mut error) => match error.take_message() {
            Some(_) => SeenEnd::NotSent,
            None => SeenEnd::Broken,
        },
    }
}

async fn read_answer(response: Response<Incoming>, id: &str) -> SeenEnd {
    let (parts, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => SeenEnd::Answer {
            status: parts.status.as_u16(),
            has_receipt: parts.headers.contains_key("server-seal"),
            is_own_body: body.to_bytes() == answer_body(id),
        },
        Err(_) => SeenEnd::Broken,
    }
}
