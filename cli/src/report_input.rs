//! Collects burn snapshots from a running fleet and from files.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::burn_snapshot::BurnSnapshot;
use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use tokio::net::TcpStream;

const FETCH_TIMEOUT_MS: u64 = 3_000;
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
const BURN_PATH: &str = "/v1/burn";

/// The error of a source that gave no snapshot.
#[derive(Debug, Snafu)]
pub enum InputError {
    /// The connection to the node failed.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The exchange with the node failed.
    #[snafu(display("broken exchange: {source}"))]
    Exchange {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The answer's body is incomplete or too large.
    #[snafu(display("unreadable answer: {source}"))]
    Body {
        /// The error of the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The node answered with an error status.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The node did not answer in time.
    #[snafu(display("no answer within {FETCH_TIMEOUT_MS} ms"))]
    Timeout,
    /// The file cannot be read.
    #[snafu(display("cannot be read: {source}"))]
    Read {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The document is not a snapshot.
    #[snafu(display("no burn snapshot: {source}"))]
    Parse {
        /// The error of the parser, with the position.
        source: serde_json::Error,
    },
}

/// A source that gave no snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MissingSource {
    /// The address or the file.
    pub source: String,
    /// The error message.
    pub cause: String,
}

/// The snapshots collected from all sources.
#[derive(Debug, Default)]
pub struct ReportInput {
    /// The snapshots; each node is contained in at most one.
    pub snapshots: Vec<BurnSnapshot>,
    /// The sources that gave no snapshot.
    pub missing: Vec<MissingSource>,
    /// The sources that were skipped since one of their nodes was counted already.
    pub repeated: Vec<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum SnapshotFile {
    Many(Vec<BurnSnapshot>),
    One(BurnSnapshot),
}

impl ReportInput {
    /// Fetches the snapshots of gateways concurrently.
    pub async fn fetch(&mut self, gateways: &[SocketAddr]) {
        let fetches = gateways.iter().map(|gateway| fetch_with_timeout(*gateway));
        let results = join_all(fetches).await;
        for (gateway, result) in gateways.iter().zip(results) {
            self.add(gateway.to_string(), result.map(|snapshot| vec![snapshot]));
        }
    }

    /// Reads a file that holds one snapshot or a list of them.
    pub fn read(&mut self, path: impl AsRef<Path>) {
        let path = path.as_ref();
        self.add(path.display().to_string(), read_file(path));
    }

    fn add(&mut self, source: String, result: Result<Vec<BurnSnapshot>, InputError>) {
        match result {
            Ok(snapshots) => {
                for snapshot in snapshots {
                    self.add_snapshot(&source, snapshot);
                }
            }
            Err(error) => self.missing.push(MissingSource {
                source,
                cause: error.to_string(),
            }),
        }
    }

    fn add_snapshot(&mut self, source: &str, snapshot: BurnSnapshot) {
        let mut counted = self.snapshots.iter().flat_map(|known| &known.nodes);
        match counted.any(|node| snapshot.nodes.contains(node)) {
            true => self.repeated.push(source.to_owned()),
            false => self.snapshots.push(snapshot),
        }
    }

    /// Returns the sum of all snapshots.
    pub fn sum(&self) -> BurnSnapshot {
        let mut sum = BurnSnapshot::default();
        for snapshot in &self.snapshots {
            sum.merge(snapshot.clone());
        }
        sum
    }
}

fn read_file(path: &Path) -> Result<Vec<BurnSnapshot>, InputError> {
    let text = std::fs::read(path).context(ReadSnafu)?;
    Ok(match serde_json::from_slice(&text).context(ParseSnafu)? {
        SnapshotFile::Many(snapshots) => snapshots,
        SnapshotFile::One(snapshot) => vec![snapshot],
    })
}

async fn fetch_with_timeout(gateway: SocketAddr) -> Result<BurnSnapshot, InputError> {
    let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
    match tokio::time::timeout(limit, fetch(gateway)).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu.fail(),
    }
}

async fn fetch(gateway: SocketAddr) -> Result<BurnSnapshot, InputError> {
    let stream = TcpStream::connect(gateway).await.context(ConnectSnafu)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut connection, driver) = handshake.await.context(ExchangeSnafu)?;
    tokio::spawn(driver);
    let request = Request::builder()
        .uri(BURN_PATH)
        .header("host", gateway.to_string())
        .body(Empty::<Bytes>::new())
        .expect("a path and an address make a valid request");
    let answer = connection.send_request(request).await;
    let answer = answer.context(ExchangeSnafu)?;
    let status = answer.status();
    ensure!(status.is_success(), StatusSnafu { status });
    let body = Limited::new(answer.into_body(), MAX_SNAPSHOT_BYTES).collect();
    let body = body.await.map_err(|source| InputError::Body { source })?;
    serde_json::from_slice(&body.to_bytes()).context(ParseSnafu)
}
