//! What callers, targets and the soak itself record of a soak.

use std::time::Instant;

/// A customer of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakCustomer {
    /// The customer's name.
    pub name: &'static str,
    /// All keys that any configuration of the soak contains.
    pub keys: &'static [&'static str],
    /// The highest limit that any configuration sets, in requests per second; zero for none.
    pub rate_per_s: f64,
}

/// How a request ended at its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SeenEnd {
    /// A complete answer.
    Answer {
        /// The status.
        status: u16,
        /// Whether it carries the signature header of a target.
        has_receipt: bool,
        /// Whether the body is the one that a target sends in answer to this request.
        is_own_body: bool,
    },
    /// The connection ended without a complete answer.
    Broken,
    /// The caller disconnected when its time limit was over.
    Left,
    /// No byte of the request was sent.
    NotSent,
}

/// A request as recorded by its caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The index of the customer; none if no customer ever had the key.
    pub customer: Option<usize>,
    /// The service of the route.
    pub service: &'static str,
    /// Whether it may run at most once.
    pub once: bool,
    /// The path.
    pub path: String,
    /// The index of the node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// How and when the request ended; none while the caller waits.
    pub end: Option<(SeenEnd, Instant)>,
}

/// A request as recorded by the target that ran it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// When the execution started.
    pub at: Instant,
    /// The target.
    pub target: String,
    /// The target's service.
    pub service: &'static str,
    /// The customer in the header that the fleet adds.
    pub customer: Option<String>,
    /// Whether the request carried the caller's key.
    pub has_key: bool,
    /// The path.
    pub path: String,
    /// Whether the body is empty or the one that the caller sends with this id.
    pub is_own_body: bool,
}

/// A period in which a node was killed or paused by the soak.
#[derive(Clone, Copy, Debug)]
pub struct NodeFaultPeriod {
    /// The node's index.
    pub node: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakBreach {
    /// The promise.
    pub promise: &'static str,
    /// The records of callers and targets that contradict it.
    pub seen: String,
}
