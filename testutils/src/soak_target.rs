//! Targets of a soak: they speak the users' platform's protocol and record in the ledger what they
//! run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::HeaderMap;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::soak_ledger::SoakLedger;
use crate::soak_notices::{ReceptionRecord, SaidNotice};
use crate::soak_plan::{NAMED_LIMIT_PER_S, REST_S, TargetFault};
use crate::soak_records::RunRecord;

/// The time that a request takes without faults, in milliseconds.
const RUN_TIME_MS: u64 = 15;
/// One in this many requests succeeds at a gray target.
const GRAY_SUCCESS_ONE_IN: u64 = 5;
/// The interval at which an answer without end goes on.
const ENDLESS_WRITE_INTERVAL: Duration = Duration::from_micros(200);
/// The largest request head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Returns the body that a caller sends with a request id.
pub fn request_body(id: &str) -> Bytes {
    format!("please run {id}").into()
}

/// Returns the body of the answer to a request id.
pub fn answer_body(id: &str) -> Bytes {
    format!("answer to {id}: ").repeat(40).into()
}

/// A running target; dropping it closes its connections.
#[derive(Debug)]
pub struct SoakTarget {
    /// The target's name.
    pub id: String,
    /// The target's service.
    pub service: &'static str,
    address: SocketAddr,
    fault: watch::Sender<TargetFault>,
    /// The number of rows that were made for the store since the last start.
    writes: AtomicU64,
    /// The number of the target's start.
    start: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for SoakTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone, Debug)]
struct TargetContext {
    id: String,
    service: &'static str,
    ledger: Arc<SoakLedger>,
    fault: watch::Receiver<TargetFault>,
    start: Arc<AtomicU64>,
}

impl SoakTarget {
    /// Starts a target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start(
        id: String,
        service: &'static str,
        ledger: Arc<SoakLedger>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(TargetFault::None);
        let start = Arc::new(AtomicU64::new(1));
        let context = TargetContext {
            id: id.clone(),
            service,
            ledger,
            fault: faults,
            start: Arc::clone(&start),
        };
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let context = context.clone();
                tokio::spawn(async move {
                    // An error ends only this connection, for example when the node closes it.
                    let _ = serve(stream, context).await;
                });
            }
        });
        Ok(Self {
            id,
            service,
            address,
            fault,
            writes: AtomicU64::new(1),
            start,
            task,
        })
    }

    /// Returns the address that the target listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the target.
    pub fn set_fault(&self, fault: TargetFault) {
        self.fault.send_replace(fault);
    }

    /// Starts the target anew: it knows nothing of what it has said before.
    pub fn start_anew(&self) {
        self.start.fetch_add(1, Ordering::Relaxed);
        self.writes.store(1, Ordering::Relaxed);
    }

    /// Returns the target's next row for the store; nodes reach the target at `address`.
    pub fn next_row(&self, address: SocketAddr, state: &str) -> String {
        let writes = self.writes.fetch_add(1, Ordering::Relaxed);
        json!({
            "service": self.service, "address": address.to_string(), "zone": "near",
            "version": "v1", "concurrency": 4, "state": state, "warmup_left_s": 0,
            "sequence": writes, "born": self.start.load(Ordering::Relaxed)
        })
        .to_string()
    }
}

/// A request that was read from a connection.
struct ReadRequest {
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

async fn serve(mut stream: TcpStream, context: TargetContext) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        let header = |name: &str| {
            let value = request.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let Some(id) = header("request-id") else {
            stream
                .write_all(&response_head(400, "-", "not-executed: 1\r\n", 0))
                .await?;
            continue;
        };
        context
            .ledger
            .record_arrival(&id, context.service, Instant::now());
        if header("expect-instance").is_some_and(|expected| expected != context.id) {
            stream.write_all(&response_head(421, &id, "", 0)).await?;
            continue;
        }
        let fault = *context.fault.borrow();
        let said = match fault {
            TargetFault::Leaves => Some(SaidNotice::Leaving),
            TargetFault::AsksForRest => Some(SaidNotice::Rest(Duration::from_secs(REST_S))),
            _ => None,
        };
        let reception = ReceptionRecord {
            request: id.clone(),
            target: context.id.clone(),
            start: context.start.load(Ordering::Relaxed),
            at: Instant::now(),
        };
        context.ledger.record_reception(reception, said);
        if fault == TargetFault::AsksForRest {
            let fields = format!("not-executed: 1\r\nretry-after: {REST_S}\r\n");
            stream
                .write_all(&response_head(503, &id, &fields, 0))
                .await?;
            continue;
        }
        context.ledger.record_run(RunRecord {
            id: id.clone(),
            at: Instant::now(),
            target: context.id.clone(),
            service: context.service,
            customer: header("tenant-name"),
            has_key: request.headers.contains_key("authorization"),
            path: request.path,
            is_own_body: request.body.is_empty() || request.body == request_body(&id),
        });
        if fault == TargetFault::Limited {
            context.ledger.record_limit_named(&context.id);
        }
        let factor = if fault == TargetFault::Slow { 10 } else { 1 };
        tokio::time::sleep(Duration::from_millis(RUN_TIME_MS * factor)).await;
        answer(&mut stream, &id, fault).await?;
    }
    Ok(())
}

async fn answer(stream: &mut TcpStream, id: &str, fault: TargetFault) -> std::io::Result<()> {
    let body = answer_body(id);
    let mut bytes = response_head(200, id, "server-seal: seal\r\n", body.len());
    bytes.extend(&body);
    match fault {
        TargetFault::Gray if !byte_sum(id).is_multiple_of(GRAY_SUCCESS_ONE_IN) => {
            stream
                .write_all(&response_head(500, id, "server-seal: seal\r\n", 0))
                .await
        }
        TargetFault::Mute => std::future::pending().await,
        TargetFault::CutsAnswers => {
            stream.write_all(&bytes[..bytes.len() / 2]).await?;
            Err(std::io::ErrorKind::ConnectionAborted.into())
        }
        TargetFault::ExtraAnswers => {
            bytes.extend_from_within(..);
            stream.write_all(&bytes).await
        }
        TargetFault::EndlessHead => {
            let head = b"HTTP/1.1 200 X\r\n";
            stream.write_all(head).await?;
            write_without_end(stream, b"x-filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n").await
        }
        TargetFault::EndlessBody => {
            let head = format!("HTTP/1.1 200 X\r\nrequest-id: {id}\r\nserver-seal: seal\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            write_without_end(stream, &body).await
        }
        TargetFault::Limited => {
            let fields = format!("server-seal: seal\r\nserver-limit: {NAMED_LIMIT_PER_S}\r\n");
            let mut bytes = response_head(200, id, &fields, body.len());
            bytes.extend(&body);
            stream.write_all(&bytes).await
        }
        TargetFault::Leaves => {
            let fields = "server-seal: seal\r\nserver-leaving: 1\r\n";
            let mut bytes = response_head(200, id, fields, body.len());
            bytes.extend(&body);
            stream.write_all(&bytes).await
        }
        TargetFault::None | TargetFault::Gray | TargetFault::Slow | TargetFault::AsksForRest => {
            stream.write_all(&bytes).await
        }
    }
}

/// Writes the same bytes until the reader closes the connection.
async fn write_without_end(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    loop {
        stream.write_all(bytes).await?;
        tokio::time::sleep(ENDLESS_WRITE_INTERVAL).await;
    }
}

fn byte_sum(id: &str) -> u64 {
    id.bytes().map(u64::from).sum()
}

fn response_head(status: u16, id: &str, more: &str, length: usize) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\nrequest-id: {id}\r\n{more}server-load: 1,0,4\r\n\
         content-length: {length}\r\n\r\n"
    )
    .into_bytes()
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<ReadRequest>> {
    let end = loop {
        let found = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(index) = found {
            break index + 4;
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let request_head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = request_head.split("\r\n");
    let path = lines.next().and_then(|line| line.split(' ').nth(1));
    let path = path.unwrap_or_default().to_owned();
    let mut headers = HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        let value = http::HeaderValue::from_str(value.trim());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    let body = Bytes::copy_from_slice(&buffer[end..end + length]);
    buffer.drain(..end + length);
    Ok(Some(ReadRequest {
        path,
        headers,
        body,
    }))
}
