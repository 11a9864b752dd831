//! Messages between gateways about claims of request ids.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

use crate::ids::{CustomerId, DataCentreId, Epoch, NodeId};
use crate::outcome::Execution;
use crate::platform::RowKey;

/// The longest request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// The reason why a header value is not a valid request id.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RequestIdError {
    /// The value is empty or too long.
    #[snafu(display("a request id has 1 to {MAX_REQUEST_ID_BYTES} bytes, this one has {length}"))]
    BadLength {
        /// The length of the rejected value, in bytes.
        length: usize,
    },
    /// The value contains a byte that is not a visible ASCII character.
    #[snafu(display("a request id consists of visible ASCII characters"))]
    BadByte,
}

/// A caller's id of a request, which its retries carry too.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(String);

impl TryFrom<String> for RequestId {
    type Error = RequestIdError;

    fn try_from(raw: String) -> Result<Self, RequestIdError> {
        let length = raw.len();
        ensure!(
            (1..=MAX_REQUEST_ID_BYTES).contains(&length),
            BadLengthSnafu { length }
        );
        ensure!(
            raw.bytes().all(|byte| byte.is_ascii_graphic()),
            BadByteSnafu
        );
        Ok(Self(raw))
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The key of a claim; the request ids of different customers are independent.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimKey {
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The request id.
    pub request_id: RequestId,
}

impl ClaimKey {
    /// Returns the key of the claim's row in the platform's table.
    pub fn row_key(&self) -> RowKey {
        RowKey(format!("claim/{}/{}", self.customer, self.request_id))
    }
}

/// The digest of a request's method, path and body, which is the same for a retry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct BodyFingerprint(pub [u64; 2]);

impl BodyFingerprint {
    /// Digests the parts of a request, each with its length so that the boundaries count.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        let word = |from: usize| {
            let bytes = digest[from..from + 8].try_into();
            u64::from_le_bytes(bytes.expect("the slice has eight bytes"))
        };
        Self([word(0), word(8)])
    }
}

/// Identifies one attempt of a request, by the gateway that requests its claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimTicket {
    /// The gateway.
    pub holder: NodeId,
    /// The sequence number of the gateway's claim.
    pub number: u64,
}

/// The durable record of a claim, as the row's value or as a copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimRow {
    /// The attempt for which the claim was first recorded.
    pub ticket: ClaimTicket,
    /// The digest of the request.
    pub fingerprint: BodyFingerprint,
}

/// A header line of a retained answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RetainedHeader {
    /// The header's name.
    pub name: String,
    /// The header's value.
    #[serde(with = "crate::byte_text")]
    pub value: Bytes,
}

/// A target's answer that is retained for retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RetainedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The header lines that a caller needs to read the body.
    #[serde(default)]
    pub headers: Vec<RetainedHeader>,
    /// The whole body.
    #[serde(with = "crate::byte_text")]
    pub body: Bytes,
}

impl RetainedAnswer {
    /// Returns the size of the answer's headers and body, in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        let headers: usize = headers.sum();
        headers + self.body.len()
    }
}

/// The result of a granted request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The target answered.
    Answered(RetainedAnswer),
    /// The request may have run, and there is no answer to retain.
    Unknown,
    /// The request certainly did not run and will not: its id may be claimed again.
    NotRun,
}

/// The state of the first attempt of a request, for a retry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FirstClaim {
    /// The first attempt is in flight.
    Busy,
    /// The first attempt was answered.
    Answered(RetainedAnswer),
    /// The first attempt ran or may have run; no answer is retained.
    Spent,
    /// The first attempt had other content.
    Reused,
}

/// A claim as one node knows it, for the node that becomes its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TransferredClaim {
    /// The key of the claim.
    pub key: ClaimKey,
    /// The durable record.
    pub row: ClaimRow,
    /// Whether the record is in the platform's table.
    #[serde(default)]
    pub in_store: bool,
    /// The answer, if it is retained.
    #[serde(default)]
    pub answer: Option<RetainedAnswer>,
    /// The claim's age, in milliseconds.
    pub age_ms: u64,
}

/// A node that stopped without handing over its claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LostNode {
    /// The node.
    pub node: NodeId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// The time since the loss was detected, in milliseconds.
    pub age_ms: u64,
}

/// A message between gateways about claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMessage {
    /// To the owner: requests a claim, which must be granted before the request runs.
    Claim {
        /// The epoch by which the owner and the copy holder were selected.
        epoch: Epoch,
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt that is to run.
        ticket: ClaimTicket,
        /// The digest of the request.
        fingerprint: BodyFingerprint,
        /// The node in another data centre that keeps a copy while the store is unavailable.
        #[serde(default, rename = "copy")]
        copy_holder: Option<NodeId>,
    },
    /// From the owner: the attempt may run.
    Granted {
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt.
        ticket: ClaimTicket,
    },
    /// From the owner: another attempt was first.
    Duplicate {
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt that was too late.
        ticket: ClaimTicket,
        /// The state of the first attempt.
        first: FirstClaim,
    },
    /// From the owner: no claim can be granted now.
    Unavailable {
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt.
        ticket: ClaimTicket,
        /// Whether an earlier attempt may have run, as far as the owner knows.
        execution: Execution,
    },
    /// To the owner: reports the result.
    Complete {
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt that was granted.
        ticket: ClaimTicket,
        /// The result.
        result: ClaimResult,
    },
    /// From the owner: the result was recorded.
    Completed {
        /// The attempt.
        ticket: ClaimTicket,
    },
    /// From the owner to the copy holder: asks to keep a copy of the claim.
    Copy {
        /// The epoch in which the sender is the owner.
        epoch: Epoch,
        /// The key of the claim.
        key: ClaimKey,
        /// The durable record.
        row: ClaimRow,
    },
    /// From the copy holder: the copy is kept.
    CopyAck {
        /// The key of the claim.
        key: ClaimKey,
        /// The ticket of the record.
        ticket: ClaimTicket,
    },
    /// From the copy holder: the copy is not kept, since the epochs differ, the id was claimed
    /// before, or the log is full.
    CopyRefused {
        /// The key of the claim.
        key: ClaimKey,
        /// The ticket of the record.
        ticket: ClaimTicket,
    },
    /// To the members of earlier epochs: requests a handover of the claims that the sender owns
    /// now.
    HandoverRequest {
        /// The epoch that has begun.
        epoch: Epoch,
    },
    /// To a new owner: all that the sender knows. The sender grants no claims of older epochs any
    /// more.
    Handover {
        /// The epoch that has begun.
        epoch: Epoch,
        /// The claims that the receiver owns.
        claims: Vec<TransferredClaim>,
        /// The nodes that are known to have stopped without a handover.
        #[serde(default, rename = "gone")]
        lost: Vec<LostNode>,
        /// The time since the sender joined, in milliseconds, if it does not know what was lost
        /// before.
        #[serde(default, rename = "uninformed_ms")]
        losses_unknown_ms: Option<u64>,
    },
}
