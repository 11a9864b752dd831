//! The plan of the load tool: customers, their rates, and the mix of their requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ledger_check::LedgerBounds;
use crate::target_answer::REQUEST_ID_HEADER;

/// The place of the key in a request.
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
    /// The path; devices query the directory for its route.
    pub path: String,
    /// The size of the request's body, in bytes.
    pub body_bytes: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The header with the request id; if none, requests have no id.
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
    /// Returns whether a device may resend the request when its answer was lost.
    pub fn may_resend(&self) -> bool {
        self.idempotent || self.request_id_header.is_some()
    }
}

/// A period in which a customer sends a multiple of its rate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct RateSurge {
    /// The start of the period, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// The end of the period, in milliseconds since the start of the run.
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
    /// The place of the key in requests.
    pub key_placement: KeyPlacement,
    /// The requests to send per second.
    pub rate: f64,
    /// Whether arrivals are evenly spaced rather than random (Poisson).
    pub even: bool,
    /// The number of devices, which send in turn.
    pub devices: u32,
    /// The mix of requests.
    pub mix: Vec<RequestKind>,
    /// Periods with a different rate.
    pub surges: Vec<RateSurge>,
    /// The rate that the configuration allows, in requests per second; not checked if none.
    pub allowed_rate: Option<f64>,
    /// The burst that the configuration allows.
    pub allowed_burst: f64,
}

impl CustomerLoad {
    /// Returns the rate at a time since the start of the run.
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
    /// The bootstrap addresses built into devices.
    pub bootstrap: Vec<SocketAddr>,
    /// Whether devices query the directory; otherwise they send to the bootstrap addresses.
    pub directory: bool,
    /// Customers and their load.
    pub customers: Vec<CustomerLoad>,
    /// The time in which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// The timeout of a request at a device, in milliseconds.
    pub timeout_ms: u64,
    /// The maximum number of resends of a request whose answer was lost.
    pub resends: u32,
    /// The maximum number of requests in flight; further ones are dropped and reported.
    pub max_in_flight: usize,
    /// The control addresses of the targets, whose executions are merged into the ledger.
    pub targets: Vec<SocketAddr>,
    /// The bounds that the ledger checks.
    pub bounds: LedgerBounds,
    /// The seed of arrivals and of the mix.
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
