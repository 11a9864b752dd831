//! The records of callers: one for each attempt of a request.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How an attempt ended at its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// A complete answer to the request arrived with this status.
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
    /// A truncated answer arrived and seemed complete.
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
    /// Returns whether the fleet refused the request as not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { execution, .. } if execution == "not-run")
    }

    /// Returns whether the fleet refused the request for this reason.
    pub fn is_refused_for(&self, wanted: &str) -> bool {
        matches!(self, Self::Refused { reason, .. } if reason == wanted)
    }

    /// Returns whether the caller received a complete, successful answer.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered(200..=299))
    }

    /// Returns whether the caller cannot know whether the request ran.
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut)
    }
}

/// An attempt, as recorded by its caller; times are Unix microseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRecord {
    /// Identifies the request; all its attempts and executions carry it.
    pub nonce: String,
    /// The customer whose key was sent.
    pub customer: String,
    /// The path without the query.
    pub path: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request carried a request id.
    pub has_request_id: bool,
    /// The number of the attempt of this request, from 0.
    pub attempt: u32,
    /// The entry that the request was sent to.
    pub entry: Option<SocketAddr>,
    /// The time at which the first attempt was due.
    pub intended_micros: u64,
    /// The start of this attempt.
    pub sent_micros: u64,
    /// The end of this attempt.
    pub ended_micros: u64,
    /// The digest of the request's body.
    pub body_digest: u64,
    /// The outcome of this attempt.
    pub outcome: CallOutcome,
}
