//! The datagrams between nodes, and their authentication.

use std::net::IpAddr;

use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::copy_age::TableReading;
use damaskloom_lib::crash_guard::CrashMessage;
use damaskloom_lib::entry_members::{MessageStream, NodeHeartbeat};
use damaskloom_lib::ids::{CustomerId, TargetId, VmId};
use damaskloom_lib::loss_meter::ServiceLoss;
use damaskloom_lib::message_relay::RelayScope;
use damaskloom_lib::target_balancer::TargetCode;
use damaskloom_lib::target_catalog::OutdatedAddress;
use damaskloom_lib::target_limits::LimitStatement;
use damaskloom_lib::target_notices::TargetStart;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;

/// The length of the authentication tag at the start of a datagram, in bytes: a truncated
/// HMAC-SHA256.
const TAG_BYTES: usize = 16;

/// A signal about a target, as it is encoded in datagrams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WireSignal {
    /// See [`damaskloom_lib::failure_filter::FailureSignal::Good`].
    Good,
    /// See [`damaskloom_lib::failure_filter::FailureSignal::Failed`].
    Failed,
    /// See [`damaskloom_lib::failure_filter::FailureSignal::FailedAtOnce`].
    FailedAtOnce,
    /// See [`damaskloom_lib::failure_filter::FailureSignal::Late`].
    Late,
}

/// The requests of a customer at one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CustomerCount {
    /// The customer.
    pub customer: CustomerId,
    /// The number of requests admitted since the node started.
    pub admitted: u64,
    /// The arrival rate of the customer's requests, in thousandths of a request a second.
    pub demand_milli: u64,
}

/// What a node says of its last readings of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TableReadings {
    /// The routing; none if the node has not read it from the store.
    pub routing: Option<TableReading>,
    /// The targets; none if the node has not read them from the store.
    pub targets: Option<TableReading>,
}

/// The messages that nodes send to each other.
///
/// The order of the variants and of their fields is the encoding. Nodes of the build before read every
/// message but those that are new since then, which they drop; see
/// [docs/DEVELOPERS.md](../../docs/DEVELOPERS.md).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The node's heartbeat.
    Heartbeat(NodeHeartbeat),
    /// The node's running and admitted requests.
    Counts {
        /// The number of requests that this node has running at each target; targets without any
        /// are omitted.
        running: Vec<(TargetCode, u32)>,
        /// The targets that answered successfully since the last message to the nodes of the data
        /// centre.
        successes: Vec<TargetCode>,
        /// The customers whose counts have changed.
        customers: Vec<CustomerCount>,
    },
    /// Signals about targets.
    Signals(Vec<(TargetId, WireSignal)>),
    /// A message about a request that crashes targets.
    Crash(CrashMessage),
    /// The limits that targets name.
    Limits(Vec<LimitStatement>),
    /// The targets at whose addresses other targets answered.
    Outdated(Vec<OutdatedAddress>),
    /// The targets that have said in answers that they leave.
    Leaving(Vec<TargetStart>),
    /// The services of which the node loses requests, with its requests since its last such message.
    Losses(Vec<ServiceLoss>),
    /// The sender relays messages to the nodes of its data centre.
    Relays,
    /// A message that the receiver is to forward to the nodes of its data centre.
    Relay {
        /// The nodes that the message is for.
        scope: RelayScope,
        /// The address of the node that the message is from.
        origin_ip: IpAddr,
        /// The origin's datagram with its authentication tag.
        datagram: Vec<u8>,
    },
    /// A forwarded message, which is never forwarded again.
    Relayed {
        /// The address of the node that the message is from.
        origin_ip: IpAddr,
        /// The origin's datagram with its authentication tag.
        datagram: Vec<u8>,
    },
    /// The sender has read the store.
    Readings(TableReadings),
}

impl PeerMessage {
    /// Returns the name of the message's kind, as metrics show it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Counts { .. } => "counts",
            Self::Signals(_) => "signals",
            Self::Crash(_) => "crash",
            Self::Limits(_) => "limits",
            Self::Outdated(_) => "outdated",
            Self::Leaving(_) => "leaving",
            Self::Losses(_) => "losses",
            Self::Relays => "relays",
            Self::Relay { .. } => "relay",
            Self::Relayed { .. } => "relayed",
            Self::Readings(_) => "readings",
        }
    }

    /// Returns the stream in which the message is checked for order.
    pub fn stream(&self) -> MessageStream {
        match self {
            Self::Heartbeat(_) => MessageStream::Heartbeats,
            Self::Counts { .. } => MessageStream::Counts,
            _ => MessageStream::Updates,
        }
    }
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerEnvelope {
    /// The sending node.
    pub from: VmId,
    /// When the sender started, in Unix milliseconds of its clock.
    pub started_at_ms: u64,
    /// The sequence number of the datagram, which increases with every datagram of the sender.
    pub sequence: u64,
    /// The message.
    pub message: PeerMessage,
}

/// The reasons why a datagram is dropped.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The datagram is too short to hold an authentication tag.
    #[snafu(display("the datagram is too short"))]
    TooShort,
    /// The authentication tag is wrong.
    #[snafu(display("the authentication tag is wrong"))]
    BadTag,
    /// The content cannot be decoded.
    #[snafu(display("the content cannot be decoded: {source}"))]
    BadContent {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// Encodes a datagram with its authentication tag.
///
/// # Errors
///
/// Fails if the codec cannot encode the message.
pub fn encode(secret: &SharedSecret, envelope: &PeerEnvelope) -> Result<Vec<u8>, WireError> {
    let content = postcard::to_stdvec(envelope).context(BadContentSnafu)?;
    let mut datagram = secret.authenticate(&content)[..TAG_BYTES].to_vec();
    datagram.extend(content);
    Ok(datagram)
}

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// Fails if the authentication tag is wrong or the content cannot be decoded.
pub fn decode(secret: &SharedSecret, datagram: &[u8]) -> Result<PeerEnvelope, WireError> {
    let (tag, content) = datagram
        .split_at_checked(TAG_BYTES)
        .context(TooShortSnafu)?;
    let expected = secret.authenticate(content);
    let is_valid: bool = expected[..TAG_BYTES].ct_eq(tag).into();
    ensure!(is_valid, BadTagSnafu);
    postcard::from_bytes(content).context(BadContentSnafu)
}
