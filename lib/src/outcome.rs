//! The refusals that callers get instead of a target's answer.
//!
//! A refusal states whether the request was executed, why it was refused and when a retry may succeed.
//! The table of all outcomes is in [docs/outcomes.md](../../docs/outcomes.md).

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a target executed the request.
///
/// [`Execution::NotRun`] is a guarantee: it is used only while no byte of the request can have reached
/// a target, or when the target itself reported that it did not execute the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No target executed the request.
    NotRun,
    /// A target executed the request completely.
    Ran,
    /// A target may have executed the request.
    Unknown,
}

impl Execution {
    /// Returns the value of the `damaskloom-execution` response header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => ($text:literal, $status:literal),)+) => {
        /// The reason for a refusal.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)+
        }

        impl Reason {
            /// Every reason, in the order of the outcomes table.
            pub const ALL: &[Reason] = &[$(Self::$name,)+];

            /// Returns the value of the `damaskloom-reason` response header.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }

            /// Returns the HTTP status that goes with the reason.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }
        }
    };
}

reasons! {
    /// The request is malformed or ambiguous, for example with two content lengths.
    BadRequest => ("bad-request", 400),
    /// The route needs a key and the request has none.
    KeyMissing => ("key-missing", 401),
    /// The request has several different keys.
    KeyAmbiguous => ("key-ambiguous", 400),
    /// The key was never granted.
    KeyUnknown => ("key-unknown", 401),
    /// The key was withdrawn.
    KeyWithdrawn => ("key-withdrawn", 401),
    /// No route matches.
    RouteUnknown => ("route-unknown", 404),
    /// The request or one of its parts exceeds a size limit.
    TooLarge => ("too-large", 413),
    /// The customer has exceeded its rate and burst.
    RateExceeded => ("rate-exceeded", 429),
    /// The customer's queue is full.
    QueueFull => ("queue-full", 503),
    /// The request cannot be served before its deadline.
    DeadlineUnmeetable => ("deadline-unmeetable", 503),
    /// The service has no target that accepts requests.
    NoTarget => ("no-target", 503),
    /// Every target that was tried reported that it shed the request.
    TargetShed => ("target-shed", 503),
    /// The fingerprint of the request has crashed targets.
    CrashSuspected => ("crash-suspected", 503),
    /// The node has no recent proof that its configuration is current.
    NodeStale => ("node-stale", 503),
    /// The node is stopping.
    NodeLeaving => ("node-leaving", 503),
    /// The target could not be reached.
    TargetUnreachable => ("target-unreachable", 502),
    /// The target broke the connection or the protocol before its answer was complete.
    TargetBroken => ("target-broken", 502),
    /// The target did not answer in time.
    TargetTimeout => ("target-timeout", 504),
    /// The request id was used by an earlier request whose answer is not retained.
    RequestIdSpent => ("request-id-spent", 409),
    /// A request with the same id is in flight.
    RequestIdBusy => ("request-id-busy", 409),
    /// The request id was used with different content.
    RequestIdReused => ("request-id-reused", 422),
    /// The claim for the request id could not be made durable.
    ClaimUnavailable => ("claim-unavailable", 503),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The answer that a caller gets instead of a target's.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Whether a target executed the request.
    pub execution: Execution,
    /// The reason for the refusal.
    pub reason: Reason,
    /// The time after which a retry may succeed, if it is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was certainly not executed.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            execution: Execution::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have been executed.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            execution: Execution::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Adds the time after which a retry may succeed.
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
