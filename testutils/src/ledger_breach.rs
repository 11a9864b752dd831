//! The promises that a run can break.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One broken promise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerBreach {
    /// A non-idempotent request ran more than once.
    RanTwice {
        /// The nonce of the request.
        nonce: String,
        /// The targets that ran it, in order of time.
        targets: Vec<String>,
    },
    /// A caller received the answer to another request.
    CrossedAnswer {
        /// The nonce of the request.
        nonce: String,
        /// The customer that sent the request.
        customer: String,
    },
    /// A caller received a truncated answer that seemed complete.
    CutAnswer {
        /// The nonce of the request.
        nonce: String,
        /// The customer that sent the request.
        customer: String,
    },
    /// A target received a caller's key outside the body.
    KeyLeaked {
        /// The customer whose key it is.
        customer: String,
        /// The target.
        target: String,
        /// The request's path.
        path: String,
    },
    /// A request that was refused as not run did run.
    FalseNotRun {
        /// The nonce of the request.
        nonce: String,
        /// The reason of the refusal.
        reason: String,
        /// The target that ran it.
        target: String,
    },
    /// A resend of a non-idempotent request was refused as not run after the request had run.
    ResendNotRun {
        /// The nonce of the request.
        nonce: String,
        /// The reason of the refusal.
        reason: String,
        /// The target that ran it.
        target: String,
    },
    /// A request ran with a body that differs from the one that its caller sent.
    ChangedBody {
        /// The nonce of the request.
        nonce: String,
        /// The target that ran it.
        target: String,
    },
    /// A request ran for a customer other than the one whose key it carried.
    WrongCustomer {
        /// The nonce of the request.
        nonce: String,
        /// The customer in the header that the target received.
        #[serde(rename = "told")]
        run_as: String,
        /// The customer whose key the request carried.
        #[serde(rename = "sent")]
        sent_as: String,
    },
    /// A request that was sent after its key stopped working ran.
    WithdrawnKeyRan {
        /// The nonce of the request.
        nonce: String,
        /// The customer whose key was withdrawn.
        customer: String,
        /// How long after the withdrawal it was sent, in milliseconds.
        after_ms: u64,
    },
    /// More requests of a customer were admitted than its rate and burst allow.
    OverAdmission {
        /// The customer.
        customer: String,
        /// The length of the worst window, in milliseconds.
        window_ms: u64,
        /// The requests admitted in it.
        admitted: u64,
        /// The requests that the rate and the burst allow in it.
        allowed: u64,
    },
    /// More requests within their customer's rate were refused because of the rate than the bound
    /// allows.
    WrongRefusals {
        /// The customer.
        customer: String,
        /// The wrong refusals.
        refused: u64,
        /// The requests that the customer sent.
        sent: u64,
    },
}

impl LedgerBreach {
    /// Returns the broken promise, by which breaches are counted.
    pub const fn promise(&self) -> &'static str {
        match self {
            Self::RanTwice { .. } => "a non-idempotent request runs at most once",
            Self::CrossedAnswer { .. } => "a caller gets the answer to its own request",
            Self::CutAnswer { .. } => "a cut answer does not look whole",
            Self::KeyLeaked { .. } => "no target sees a key",
            Self::FalseNotRun { .. } => "a refusal as not run is true",
            Self::ResendNotRun { .. } => "a resend of what ran is not refused as not run",
            Self::ChangedBody { .. } => "a request runs as it was sent",
            Self::WrongCustomer { .. } => "a request runs for its key's customer only",
            Self::WithdrawnKeyRan { .. } => "a withdrawn key stops working in time",
            Self::OverAdmission { .. } => "no customer gets more than its rate and burst",
            Self::WrongRefusals { .. } => "requests within the rate are not refused for it",
        }
    }
}

impl fmt::Display for LedgerBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanTwice { nonce, targets } => write!(
                f,
                "request {nonce} ran {} times, on {}, and may run at most once",
                targets.len(),
                targets.join(", ")
            ),
            Self::CrossedAnswer { nonce, customer } => {
                write!(
                    f,
                    "{customer}'s request {nonce} got another request's answer"
                )
            }
            Self::CutAnswer { nonce, customer } => write!(
                f,
                "{customer}'s request {nonce} got a cut answer that looked whole"
            ),
            Self::KeyLeaked {
                customer,
                target,
                path,
            } => write!(f, "target {target} saw {customer}'s key, on {path}"),
            Self::FalseNotRun {
                nonce,
                reason,
                target,
            } => write!(
                f,
                "request {nonce} was refused as not run ({reason}) and ran on {target}"
            ),
            Self::ResendNotRun {
                nonce,
                reason,
                target,
            } => write!(
                f,
                "request {nonce} ran on {target}, then its resend was refused as not run ({reason})"
            ),
            Self::ChangedBody { nonce, target } => write!(
                f,
                "request {nonce} ran on {target} with other content than was sent"
            ),
            Self::WrongCustomer {
                nonce,
                run_as,
                sent_as,
            } => write!(
                f,
                "request {nonce} ran in the name of {run_as} with the key of {sent_as}"
            ),
            Self::WithdrawnKeyRan {
                nonce,
                customer,
                after_ms,
            } => write!(
                f,
                "request {nonce} ran, sent {after_ms} ms after {customer}'s key was withdrawn"
            ),
            Self::OverAdmission {
                customer,
                window_ms,
                admitted,
                allowed,
            } => write!(
                f,
                "{customer} got {admitted} requests in {window_ms} ms, {allowed} are allowed"
            ),
            Self::WrongRefusals {
                customer,
                refused,
                sent,
            } => write!(
                f,
                "{refused} of {customer}'s {sent} requests were refused for the rate, within the rate"
            ),
        }
    }
}
