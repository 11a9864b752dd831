//! The actions of a claim log, their outcomes, and its limits.

use std::time::Duration;

use crate::claim_message::{ClaimKey, ClaimMessage, ClaimRow, ClaimTicket};
use crate::ids::NodeId;

/// The limits of a claim log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// The time for which a claim is kept; callers must not retry after it.
    pub retention: Duration,
    /// The time after which a claim without a result no longer counts as in flight.
    pub in_flight_timeout: Duration,
    /// The time within which the copy holder must answer.
    pub copy_timeout: Duration,
    /// The largest number of claims; beyond it new ones are refused, and none is dropped.
    pub max_claims: usize,
    /// The largest answer that is retained, in bytes.
    pub max_answer_bytes: usize,
    /// The total size of retained answers, in bytes; beyond it the oldest are dropped.
    pub max_retained_bytes: usize,
    /// The largest number of claims that a tick writes to a store that has recovered.
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

/// An action that the process performs for the claim log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Sends a message to a peer, or passes it to
    /// [`ClaimLog::handle`](crate::claim_log::ClaimLog::handle) if the receiver is this node.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// Writes the claim's row if it is absent, and reports the outcome with
    /// [`ClaimLog::row_written`](crate::claim_log::ClaimLog::row_written).
    WriteRow {
        /// What is claimed.
        key: ClaimKey,
        /// The row's value.
        row: ClaimRow,
    },
    /// Reads the claim's row and reports the outcome with
    /// [`ClaimLog::row_read`](crate::claim_log::ClaimLog::row_read).
    ReadRow {
        /// What is claimed.
        key: ClaimKey,
    },
    /// Reads the row of an expired claim and, if it still has the claim's ticket, deletes it on
    /// condition of the version that was read, so that a delayed delete cannot remove a later
    /// claim.
    DeleteRow {
        /// What was claimed.
        key: ClaimKey,
        /// The ticket of the row.
        ticket: ClaimTicket,
    },
    /// Makes a handover with [`ClaimLog::handover`](crate::claim_log::ClaimLog::handover) and sends
    /// it.
    SendHandover {
        /// The new owner.
        to: NodeId,
    },
}

/// The outcome of a conditional write of a claim's row.
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

/// The outcome of a read of a claim's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowRead {
    /// The row exists.
    Found(ClaimRow),
    /// The row does not exist.
    Absent,
    /// The store did not answer.
    Failed,
}
