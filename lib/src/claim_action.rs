//! What a claim log wants done, how it is told the outcome, and its bounds.

use std::time::Duration;

use crate::claim_message::{ClaimKey, ClaimMessage, ClaimRow, ClaimTicket};
use crate::ids::NodeId;

/// The bounds of a claim log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// The time for which a claim is kept; devices must not resend after it.
    pub retention: Duration,
    /// The time after which a claim without a result no longer counts as in flight.
    pub in_flight_timeout: Duration,
    /// The time within which the copy holder must answer.
    pub copy_timeout: Duration,
    /// The claims that are kept; beyond it new ones are refused, and none is forgotten.
    pub max_claims: usize,
    /// The largest answer that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// The answers that are kept altogether, in bytes; beyond it the oldest are dropped.
    pub max_retained_bytes: usize,
    /// The claims that a tick writes to a store that has come back.
    pub flush_batch: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            in_flight_timeout: Duration::from_secs(30),
            copy_timeout: Duration::from_millis(250),
            max_claims: 100_000,
            max_answer_bytes: 16 << 10,
            max_retained_bytes: 32 << 20,
            flush_batch: 20,
        }
    }
}

/// What a claim log wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Send a message to a peer, or hand it back in if the peer is this node.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// Write the claim's row if it is absent, and report with [`ClaimLog::row_written`](crate::claim_log::ClaimLog::row_written).
    WriteRow {
        /// What is claimed.
        key: ClaimKey,
        /// The row's value.
        row: ClaimRow,
    },
    /// Read the claim's row and report with [`ClaimLog::row_read`](crate::claim_log::ClaimLog::row_read).
    ReadRow {
        /// What is claimed.
        key: ClaimKey,
    },
    /// Read the row of an expired claim and, if it still has the claim's ticket, delete it on
    /// condition of the version that was read, so that a delayed delete cannot hit a later claim.
    DeleteRow {
        /// What was claimed.
        key: ClaimKey,
        /// The ticket of the row.
        ticket: ClaimTicket,
    },
    /// Make a handover with [`ClaimLog::handover`](crate::claim_log::ClaimLog::handover) and send it.
    SendHandover {
        /// The new home.
        to: NodeId,
    },
}

/// How a conditional write of a claim's row ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowWrite {
    /// The row was written.
    Committed,
    /// The row existed.
    Conflict,
    /// The write certainly had no effect.
    Unavailable,
    /// The write may have taken effect.
    AnswerLost,
}

/// How the read of a claim's row ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowRead {
    /// The row exists.
    Found(ClaimRow),
    /// The row does not exist.
    Absent,
    /// The store did not answer.
    Failed,
}
