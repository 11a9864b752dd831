//! What membership looks like between peers and to the process.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

const DEFAULT_PROBE_INTERVAL_MS: u64 = 1_000;
const DEFAULT_PROBE_TIMEOUT_MS: u64 = 300;
const DEFAULT_PROBES: usize = 1;
const DEFAULT_EXTRA_PROBES: usize = 4;
const DEFAULT_HELPERS: usize = 3;
const DEFAULT_GIVE_UP_MS: u64 = 5_000;
const DEFAULT_LIST_LAG_MS: u64 = 60_000;

/// Settings of membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// How often peers are probed, in milliseconds.
    pub probe_interval_ms: u64,
    /// After what time without an answer others are asked to probe, in milliseconds.
    pub probe_timeout_ms: u64,
    /// How many peers are probed in turn each interval.
    pub probes: usize,
    /// How many more peers, of which something was heard, are probed each interval.
    pub extra_probes: usize,
    /// How many others are asked to probe a peer that does not answer.
    pub helpers: usize,
    /// How long a peer must be unreachable before it should be no member, in milliseconds.
    pub give_up_ms: u64,
    /// How far the VM list lags at most, in milliseconds.
    pub list_lag_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: DEFAULT_PROBE_INTERVAL_MS,
            probe_timeout_ms: DEFAULT_PROBE_TIMEOUT_MS,
            probes: DEFAULT_PROBES,
            extra_probes: DEFAULT_EXTRA_PROBES,
            helpers: DEFAULT_HELPERS,
            give_up_ms: DEFAULT_GIVE_UP_MS,
            list_lag_ms: DEFAULT_LIST_LAG_MS,
        }
    }
}

/// Which direction of a path between two nodes is cut.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionDirection {
    /// The peer does not hear this node.
    ToPeer,
    /// This node does not hear the peer.
    FromPeer,
}

/// What a node knows of a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The peer answers.
    Alive,
    /// The peer has failed to answer this node and the others that were asked.
    Suspect,
    /// The peer answered nobody that was asked, several times in a row.
    Unreachable,
    /// Others reach the peer; the path from or to this node is cut in one direction.
    #[serde(rename = "cut_one_way")]
    OneWayPartition {
        /// The direction that is cut.
        direction: PartitionDirection,
    },
    /// Others reach the peer; this node and the peer hear nothing from each other.
    #[serde(rename = "cut_both_ways")]
    TwoWayPartition,
    /// The peer is about to stop.
    Leaving,
    /// The peer's VM was in the VM list and is not any more.
    #[serde(rename = "gone")]
    Removed,
}

impl fmt::Display for PeerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Unreachable => "unreachable",
            Self::OneWayPartition {
                direction: PartitionDirection::ToPeer,
            } => "cut towards the peer",
            Self::OneWayPartition {
                direction: PartitionDirection::FromPeer,
            } => "cut from the peer",
            Self::TwoWayPartition => "cut both ways",
            Self::Leaving => "leaving",
            Self::Removed => "gone",
        };
        f.write_str(text)
    }
}

/// What a node says about its own work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingStatus {
    /// The node serves.
    #[default]
    Serving,
    /// The node cannot prove that its configuration is fresh, and refuses keyed work.
    Fenced,
    /// The node serves, and callers should not be sent to it any more.
    Leaving,
    /// The node has finished its work and gives up its shares.
    Stopping,
}

/// What a node passes on about another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipUpdate {
    /// The node did not answer somebody.
    Suspect(NodeId),
    /// The node has said that it is about to stop.
    Leaving(NodeId),
}

/// What nodes tell each other about membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipMessage {
    /// Asks for an answer.
    Ping {
        /// Comes back in the answer.
        seq: u64,
        /// What the sender says about itself.
        #[serde(default)]
        status: ServingStatus,
        /// What the sender passes on.
        #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MembershipUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        seq: u64,
        /// What the sender says about itself.
        #[serde(default)]
        status: ServingStatus,
        /// What the sender passes on.
        #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MembershipUpdate>,
    },
    /// Asks a helper to probe a peer that does not answer the sender.
    PingRequest {
        /// The number of the sender's ping.
        seq: u64,
        /// The peer.
        target: NodeId,
    },
    /// Probes a peer for another node.
    IndirectPing {
        /// The number of the other node's ping.
        seq: u64,
        /// The other node.
        origin: NodeId,
    },
    /// Tells the node that asked for an indirect probe, directly, that it arrived.
    IndirectHello {
        /// The number of that node's ping.
        seq: u64,
    },
    /// Answers an indirect ping to the helper.
    IndirectAck {
        /// The number of the other node's ping.
        seq: u64,
        /// The other node.
        origin: NodeId,
        /// How long ago the sender last heard from that node, in milliseconds.
        #[serde(rename = "heard_ago_ms", default)]
        last_received_ago_ms: Option<u64>,
    },
    /// Passes the answer on to the node that asked.
    IndirectReport {
        /// The number of that node's ping.
        seq: u64,
        /// The peer that answered the helper.
        target: NodeId,
        /// How long ago the peer last heard from the node that asked, in milliseconds.
        #[serde(rename = "heard_ago_ms", default)]
        last_received_ago_ms: Option<u64>,
    },
}

/// What the member list wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: MembershipMessage,
    },
    /// The state of a peer has changed.
    Changed {
        /// The peer.
        node: NodeId,
        /// The state before.
        from: PeerState,
        /// The state now.
        to: PeerState,
    },
    /// A node that is not known, or a later start of a known one, has sent something: read the rows of
    /// registered nodes again.
    Refresh,
}
