//! The datagrams between nodes: what they hold, and the proof that a node of the fleet sent them.

use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::crash_guard::CrashMessage;
use damaskloom_lib::entry_members::NodeHeartbeat;
use damaskloom_lib::ids::{CustomerId, TargetId, VmId};
use damaskloom_lib::target_balancer::TargetCode;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;

/// The length of the proof in front of a datagram, in bytes: half of an HMAC-SHA256.
const PROOF_BYTES: usize = 16;

/// What an attempt showed of a target, as it travels.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WireSign {
    /// See [`damaskloom_lib::failure_filter::FailureSignal::Good`].
    Good,
    /// See [`damaskloom_lib::failure_filter::FailureSignal::Failed`].
    Failed,
    /// See [`damaskloom_lib::failure_filter::FailureSignal::FailedAtOnce`].
    FailedAtOnce,
    /// See [`damaskloom_lib::failure_filter::FailureSignal::Late`].
    Late,
}

/// What a node admitted of a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CustomerCount {
    /// The customer.
    pub customer: CustomerId,
    /// The requests that were admitted since the node started.
    pub admitted: u64,
    /// The requests that callers bring in a second, in thousandths.
    pub demand_milli: u64,
}

/// What one node tells others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The node is there.
    Presence(NodeHeartbeat),
    /// What the node has running, and what it admitted.
    Counts {
        /// The requests that run at targets; a target that is left out has none.
        running: Vec<(TargetCode, u32)>,
        /// The targets that gave good answers since the last message to nodes of the data centre.
        goods: Vec<TargetCode>,
        /// The customers whose counts have changed.
        customers: Vec<CustomerCount>,
    },
    /// What attempts showed of targets.
    Signs(Vec<(TargetId, WireSign)>),
    /// A request that takes targets down.
    Crash(CrashMessage),
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerEnvelope {
    /// The sending node.
    pub from: VmId,
    /// When the sender started, in its own Unix milliseconds.
    pub started_at_ms: u64,
    /// The sender's number of this datagram, which grows.
    pub number: u64,
    /// The message.
    pub message: PeerMessage,
}

/// Says why a datagram was dropped.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The datagram is too short to hold a proof.
    #[snafu(display("the datagram is too short"))]
    TooShort,
    /// The sender did not prove that it belongs to the fleet.
    #[snafu(display("the proof is wrong"))]
    BadProof,
    /// The content cannot be read.
    #[snafu(display("the content cannot be read: {source}"))]
    BadContent {
        /// What the codec said.
        source: postcard::Error,
    },
}

/// Writes a datagram with its proof.
///
/// # Errors
///
/// Fails if the codec cannot write the message.
pub fn encode(secret: &SharedSecret, envelope: &PeerEnvelope) -> Result<Vec<u8>, WireError> {
    let content = postcard::to_stdvec(envelope).context(BadContentSnafu)?;
    let mut datagram = secret.authenticate(&content)[..PROOF_BYTES].to_vec();
    datagram.extend(content);
    Ok(datagram)
}

/// Reads a datagram whose proof is right.
///
/// # Errors
///
/// Fails if the proof is wrong or the content cannot be read.
pub fn decode(secret: &SharedSecret, datagram: &[u8]) -> Result<PeerEnvelope, WireError> {
    let (proof, content) = datagram
        .split_at_checked(PROOF_BYTES)
        .context(TooShortSnafu)?;
    let expected = secret.authenticate(content);
    let right: bool = expected[..PROOF_BYTES].ct_eq(proof).into();
    ensure!(right, BadProofSnafu);
    postcard::from_bytes(content).context(BadContentSnafu)
}
