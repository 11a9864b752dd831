//! Callers of a soak: they ask the directory, keep connections and note what they see.

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

use crate::soak_ledger::{SeenEnd, SentRequest, SoakCustomer, SoakLedger};
use crate::soak_target::{answer_body, request_body};

/// The time that a caller gives a request, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// The time that a caller gives a new connection or a directory.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 120;
/// One request in so many opens a connection although one is open.
const FRESH_ONE_IN: u32 = 12;
/// One request in so many comes with a key that nobody ever had.
const FOREIGN_ONE_IN: u32 = 40;
/// One caller in so many leaves long before its time is over.
const LEAVES_ONE_IN: u32 = 30;

/// What requests go to: a path, its service, and whether it may run once at most.
pub const ROUTES: [(&str, &str, bool); 3] = [
    ("/read/", "desk", false),
    ("/book/", "desk", true),
    ("/release/", "berth", true),
];

/// What all callers of a soak share.
#[derive(Debug)]
pub struct CallerPlan {
    /// Where the directory is asked, one address for each node.
    pub directories: Vec<SocketAddr>,
    /// Where requests go, one address for each node.
    pub nodes: Vec<SocketAddr>,
    /// The customers.
    pub customers: Vec<SoakCustomer>,
    /// Tells callers to stop.
    pub stopped: AtomicBool,
    /// What is noted.
    pub ledger: Arc<SoakLedger>,
}

struct CallerConnection {
    node: usize,
    sender: SendRequest<Full<Bytes>>,
}

/// Sends requests one after the other until the plan says to stop.
pub async fn run_caller(plan: Arc<CallerPlan>, seed: u64, name: usize) {
    let mut random = SmallRng::seed_from_u64(seed ^ (name as u64) << 32);
    let mut kept: Option<CallerConnection> = None;
    let mut number = 0;
    while !plan.stopped.load(Ordering::Relaxed) {
        number += 1;
        let fresh = random.random_ratio(1, FRESH_ONE_IN);
        let held = kept
            .take()
            .filter(|held| !fresh && !held.sender.is_closed());
        let connection = match held {
            Some(held) => Some(held),
            None => connect(&plan, &mut random).await,
        };
        if let Some(connection) = connection {
            let id = format!("s{seed}-{name}-{number}");
            kept = send(&plan, connection, &id, &mut random).await;
        }
        let pause = random.random_range(1..PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

async fn connect(plan: &CallerPlan, random: &mut SmallRng) -> Option<CallerConnection> {
    let directory = *plan.directories.choose(random)?;
    let named = tokio::time::timeout(CONNECT_TIMEOUT, ask_directory(directory)).await;
    let named = named.ok()??;
    let address = *named.choose(random)?;
    let node = plan.nodes.iter().position(|node| *node == address)?;
    Some(CallerConnection {
        node,
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

/// Asks a node where to connect.
pub async fn ask_directory(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut sender = open(directory).await?;
    let request = Request::get("/v1/resolve?name=a.example&region=region&zone=near")
        .header("host", "directory")
        .body(Full::default())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let answer: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let named = answer["addresses"].as_array()?.iter();
    Some(
        named
            .filter_map(|name| name.as_str()?.parse().ok())
            .collect(),
    )
}

/// Sends one request; returns the connection if it can be used again.
async fn send(
    plan: &CallerPlan,
    mut connection: CallerConnection,
    id: &str,
    random: &mut SmallRng,
) -> Option<CallerConnection> {
    let (prefix, service, once) = *ROUTES.choose(random)?;
    let customer = random.random_range(0..plan.customers.len());
    let foreign = random.random_ratio(1, FOREIGN_ONE_IN);
    let key = match foreign {
        true => "nobodys-key",
        false => plan.customers[customer].keys.choose(random)?,
    };
    let path = format!("{prefix}{id}");
    let request = request(&path, id, key, once);
    plan.ledger.note_sent(
        id,
        SentRequest {
            customer: (!foreign).then_some(customer),
            service,
            once,
            path,
            node: connection.node,
            sent_at: Instant::now(),
            end: None,
        },
    );
    let patience = match random.random_ratio(1, LEAVES_ONE_IN) {
        true => random.random_range(1..60),
        false => DEADLINE_MS,
    };
    let exchange = exchange(&mut connection.sender, request, id);
    let end = tokio::time::timeout(Duration::from_millis(patience), exchange).await;
    let end = end.unwrap_or(SeenEnd::Left);
    let is_whole = matches!(end, SeenEnd::Answer { .. });
    plan.ledger.note_end(id, end);
    is_whole.then_some(connection)
}

/// Makes a caller's request.
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

/// Sends one request on a connection of its own and returns the status of the answer.
pub async fn ask_once(node: SocketAddr, request: Request<Full<Bytes>>) -> Option<u16> {
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
        // The request comes back if no byte of it was written.
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
