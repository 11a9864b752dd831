//! What gateways tell each other about claims of request ids.

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

/// Says why a header's value is no request id.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RequestIdError {
    /// The value is empty or too long.
    #[snafu(display("a request id has 1 to {MAX_REQUEST_ID_BYTES} bytes, this one has {length}"))]
    BadLength {
        /// The length of the rejected value, in bytes.
        length: usize,
    },
    /// The value holds a byte that is no visible ASCII character.
    #[snafu(display("a request id consists of visible ASCII characters"))]
    BadByte,
}

/// A caller's name for a request, which its resends carry too.
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

/// What a claim is for: request ids of different customers have nothing to do with each other.
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

/// The digest of a request's method, path and body: a resend has the same one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct BodyFingerprint(pub [u64; 2]);

impl BodyFingerprint {
    /// Digests the parts of a request; each part's length counts, so that parts cannot run together.
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

/// Names one sending of a request by the gateway that asks for its claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimTicket {
    /// The gateway.
    pub holder: NodeId,
    /// Counts the gateway's claims.
    pub number: u64,
}

/// The durable record of a claim: the row's value, and what a copy holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimRow {
    /// The sending that the claim was first recorded for.
    pub ticket: ClaimTicket,
    /// The digest of the request.
    pub fingerprint: BodyFingerprint,
}

/// A header line of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RetainedHeader {
    /// The header's name.
    pub name: String,
    /// The header's value.
    #[serde(with = "crate::byte_text")]
    pub value: Bytes,
}

/// A target's answer that is kept for resends.
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
    /// Returns the bytes that the answer takes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        let headers: usize = headers.sum();
        headers + self.body.len()
    }
}

/// How the run that a claim allowed has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The target answered.
    Answered(RetainedAnswer),
    /// The request may have run, and no answer can be kept.
    Unknown,
    /// The request certainly did not run and will not: its id may be claimed again.
    NotRun,
}

/// What became of the first sending of a request, for a resend.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FirstClaim {
    /// It is in flight.
    Busy,
    /// It was answered.
    Answered(RetainedAnswer),
    /// It ran or may have run; its answer is not kept.
    Spent,
    /// It had other content.
    Reused,
}

/// What a node knows of a claim, for the node that becomes its home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TransferredClaim {
    /// What is claimed.
    pub key: ClaimKey,
    /// The durable record.
    pub row: ClaimRow,
    /// Whether the record is in the platform's table.
    #[serde(default)]
    pub in_store: bool,
    /// The answer, if it is kept.
    #[serde(default)]
    pub answer: Option<RetainedAnswer>,
    /// The claim's age, in milliseconds.
    pub age_ms: u64,
}

/// A node that died without handing its claims over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RemovedNode {
    /// The node.
    pub node: NodeId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// How long ago it was found gone, in milliseconds.
    pub age_ms: u64,
}

/// A message between gateways about claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMessage {
    /// To the home: asks for leave to run a request.
    Claim {
        /// The epoch by which the home and the copy holder were found.
        epoch: Epoch,
        /// What is claimed.
        key: ClaimKey,
        /// The sending that is to run.
        ticket: ClaimTicket,
        /// The digest of the request.
        fingerprint: BodyFingerprint,
        /// The node of another data centre that keeps the claim's copy while the store is out.
        #[serde(default, rename = "copy")]
        copy_holder: Option<NodeId>,
    },
    /// From the home: the sending may run.
    Granted {
        /// What is claimed.
        key: ClaimKey,
        /// The sending.
        ticket: ClaimTicket,
    },
    /// From the home: another sending was first.
    Duplicate {
        /// What is claimed.
        key: ClaimKey,
        /// The sending that is too late.
        ticket: ClaimTicket,
        /// What became of the first one.
        first: FirstClaim,
    },
    /// From the home: no leave can be given now.
    Unavailable {
        /// What is claimed.
        key: ClaimKey,
        /// The sending.
        ticket: ClaimTicket,
        /// Whether an earlier sending may have run, as far as the home knows.
        execution: Execution,
    },
    /// To the home: the run has ended.
    Complete {
        /// What was claimed.
        key: ClaimKey,
        /// The sending that ran.
        ticket: ClaimTicket,
        /// How it ended.
        result: ClaimResult,
    },
    /// From the home: the end was noted.
    Completed {
        /// The sending.
        ticket: ClaimTicket,
    },
    /// From the home to the copy holder: keep this claim.
    Copy {
        /// The epoch in which the sender is the home.
        epoch: Epoch,
        /// What is claimed.
        key: ClaimKey,
        /// The record.
        row: ClaimRow,
    },
    /// From the copy holder: the claim is kept.
    CopyAck {
        /// What is claimed.
        key: ClaimKey,
        /// The ticket of the record.
        ticket: ClaimTicket,
    },
    /// From the copy holder: the sender is no longer the home, or the id was claimed before.
    CopyRefused {
        /// What is claimed.
        key: ClaimKey,
        /// The ticket of the record.
        ticket: ClaimTicket,
    },
    /// To the members of the last epoch: send what I am the home of now.
    HandoverRequest {
        /// The epoch that has begun.
        epoch: Epoch,
    },
    /// To a new home: all that the sender knows, which claims nothing under older epochs any more.
    Handover {
        /// The epoch that has begun.
        epoch: Epoch,
        /// The claims whose home the receiver is.
        claims: Vec<TransferredClaim>,
        /// The nodes that are known to have died with their claims.
        #[serde(default, rename = "gone")]
        lost: Vec<RemovedNode>,
        /// For how long the sender has not known what was lost before it joined, if it does not,
        /// in milliseconds.
        #[serde(default, rename = "uninformed_ms")]
        losses_unknown_ms: Option<u64>,
    },
}
