//! What callers record of each request that they sent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How one sending of a request ended at its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// A whole answer to the request arrived with this status.
    Answered(u16),
    /// The fleet refused the request.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The value of the `damaskloom-execution` header.
        execution: String,
        /// The value of the `damaskloom-reason` header.
        reason: String,
    },
    /// An answer to another request arrived.
    Crossed,
    /// A part of the answer arrived and looked whole.
    CutLooksWhole,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent.
    Lost,
    /// The answer did not arrive in time.
    TimedOut,
    /// The load tool had too many requests in flight to send this one.
    Dropped,
}

impl CallOutcome {
    /// Returns whether the fleet said that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { execution, .. } if execution == "not-run")
    }

    /// Returns whether the fleet refused the request for the reason.
    pub fn is_refused_for(&self, wanted: &str) -> bool {
        matches!(self, Self::Refused { reason, .. } if reason == wanted)
    }

    /// Returns whether the caller got a whole good answer.
    pub fn is_good(&self) -> bool {
        matches!(self, Self::Answered(200..=299))
    }

    /// Returns whether the caller cannot know whether the request ran.
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut)
    }
}

/// One sending of a request, as its caller saw it; times are Unix microseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRecord {
    /// Names the request; all its sendings and executions carry it.
    pub nonce: String,
    /// The customer whose key was sent.
    pub customer: String,
    /// The path without the query.
    pub path: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request carried a request id.
    pub has_request_id: bool,
    /// Counts the sendings of the request, from 0.
    pub attempt: u32,
    /// The entry that the request was sent to.
    pub entry: Option<SocketAddr>,
    /// When the request was due to be sent for the first time.
    pub intended_micros: u64,
    /// When this sending began.
    pub sent_micros: u64,
    /// When this sending ended.
    pub ended_micros: u64,
    /// The digest of the request's body.
    pub body_digest: u64,
    /// How this sending ended.
    pub outcome: CallOutcome,
}
