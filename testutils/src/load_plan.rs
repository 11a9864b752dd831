//! What the load tool is to send: customers, their rates, and the mix of their requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ledger_check::LedgerBounds;
use crate::target_answer::REQUEST_ID_HEADER;

/// Where a customer's devices put their key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyPlacement {
    /// `Authorization: Bearer KEY`.
    #[default]
    Bearer,
    /// `Authorization: KEY`.
    Authorization,
    /// A header of this name.
    Header(String),
    /// A query parameter of this name.
    Query(String),
}

/// One kind of request in a customer's mix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct RequestKind {
    /// The share of this kind, relative to the other kinds.
    pub weight: u32,
    /// The request method.
    pub method: String,
    /// The path; its route is what devices ask the directory for.
    pub path: String,
    /// The size of the request's body, in bytes.
    pub body_bytes: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The header that carries the request id; none sends none.
    pub request_id_header: Option<String>,
}

impl Default for RequestKind {
    fn default() -> Self {
        Self {
            weight: 1,
            method: "GET".to_owned(),
            path: "/".to_owned(),
            body_bytes: 0,
            idempotent: true,
            request_id_header: Some(REQUEST_ID_HEADER.to_owned()),
        }
    }
}

impl RequestKind {
    /// Returns whether a device may send the request again when its answer was lost.
    pub fn may_resend(&self) -> bool {
        self.idempotent || self.request_id_header.is_some()
    }
}

/// A stretch of time in which a customer sends a multiple of its rate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct RateSurge {
    /// The begin, in milliseconds since the start.
    pub from_ms: u64,
    /// The end, in milliseconds since the start.
    pub to_ms: u64,
    /// The factor on the rate.
    pub factor: f64,
}

/// One customer's load and what it is entitled to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct CustomerLoad {
    /// The customer's name.
    pub id: String,
    /// The customer's key; open routes need none.
    pub key: Option<String>,
    /// Where the key stands in requests.
    pub key_placement: KeyPlacement,
    /// The requests that are sent per second.
    pub rate: f64,
    /// Whether arrivals are evenly spaced rather than random (Poisson).
    pub even: bool,
    /// The devices that send in turn.
    pub devices: u32,
    /// The mix of requests.
    pub mix: Vec<RequestKind>,
    /// Stretches with a different rate.
    pub surges: Vec<RateSurge>,
    /// The rate that the configuration allows, in requests per second; none is not checked.
    pub allowed_rate: Option<f64>,
    /// The burst that the configuration allows.
    pub allowed_burst: f64,
}

impl CustomerLoad {
    /// Returns the rate at a time since the start.
    pub fn rate_at(&self, elapsed: Duration) -> f64 {
        let millis = elapsed.as_millis() as u64;
        let surges = self.surges.iter();
        let factors = surges
            .filter(|surge| (surge.from_ms..surge.to_ms).contains(&millis))
            .map(|surge| surge.factor);
        self.rate * factors.product::<f64>()
    }
}

/// A run of the load tool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct LoadPlan {
    /// The addresses that devices know from their making.
    pub bootstrap: Vec<SocketAddr>,
    /// Whether devices ask the directory; otherwise they use the bootstrap addresses themselves.
    pub directory: bool,
    /// Customers and their load.
    pub customers: Vec<CustomerLoad>,
    /// The time for which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// The time after which a device gives an answer up, in milliseconds.
    pub timeout_ms: u64,
    /// How often a device sends a request again when its answer was lost.
    pub resends: u32,
    /// The requests in flight beyond which new ones are dropped and reported.
    pub max_in_flight: usize,
    /// The control addresses of the targets, whose executions are merged into the ledger.
    pub targets: Vec<SocketAddr>,
    /// The bounds that the ledger checks.
    pub bounds: LedgerBounds,
    /// The seed of arrivals and picks.
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            bootstrap: Vec::new(),
            directory: true,
            customers: Vec::new(),
            duration_ms: 10_000,
            timeout_ms: 10_000,
            resends: 2,
            max_in_flight: 20_000,
            targets: Vec::new(),
            bounds: LedgerBounds::default(),
            seed: 1,
        }
    }
}
