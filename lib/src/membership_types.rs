//! The settings, messages, states and actions of membership.

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
    /// The time between two rounds of probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// The time without an answer after which indirect probes are requested, in milliseconds.
    pub probe_timeout_ms: u64,
    /// The number of peers that are probed in turn in each interval.
    pub probes: usize,
    /// The number of peers that may be probed out of turn in each interval, such as suspected ones.
    pub extra_probes: usize,
    /// The number of helpers from which an indirect probe of an unresponsive peer is requested.
    pub helpers: usize,
    /// How long a peer must be unreachable before it is no candidate for membership any more, in
    /// milliseconds.
    pub give_up_ms: u64,
    /// The maximum lag of the platform's VM list, in milliseconds.
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

/// The direction of a one-way partition between this node and a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionDirection {
    /// Messages to the peer are lost.
    ToPeer,
    /// Messages from the peer are lost.
    FromPeer,
}

/// The state of a peer as one node sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The peer answers.
    Alive,
    /// The peer has answered neither this node nor the helpers.
    Suspect,
    /// The peer has answered neither this node nor the helpers in several rounds in a row.
    Unreachable,
    /// Helpers reach the peer; messages between it and this node are lost in one direction.
    #[serde(rename = "cut_one_way")]
    OneWayPartition {
        /// The direction in which messages are lost.
        direction: PartitionDirection,
    },
    /// Helpers reach the peer; messages between it and this node are lost in both directions.
    #[serde(rename = "cut_both_ways")]
    TwoWayPartition,
    /// The peer is about to stop.
    Leaving,
    /// The peer's VM has disappeared from the VM list.
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
            } => "one-way partition to the peer",
            Self::OneWayPartition {
                direction: PartitionDirection::FromPeer,
            } => "one-way partition from the peer",
            Self::TwoWayPartition => "two-way partition",
            Self::Leaving => "leaving",
            Self::Removed => "gone",
        };
        f.write_str(text)
    }
}

/// The serving status that a node reports about itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingStatus {
    /// The node serves.
    #[default]
    Serving,
    /// The node cannot prove that its configuration is fresh and refuses requests with keys.
    Fenced,
    /// The node serves, but new callers should not be directed to it.
    Leaving,
    /// The node has finished its requests and gives up its shares.
    Stopping,
}

/// An update about a member that nodes pass on with probes.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipUpdate {
    /// The node did not answer one of its peers.
    Suspect(NodeId),
    /// The node has announced that it is about to stop.
    Leaving(NodeId),
}

/// A message about membership between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipMessage {
    /// Requests an answer.
    Ping {
        /// The number of the ping, which the answer repeats.
        seq: u64,
        /// The sender's status.
        #[serde(default)]
        status: ServingStatus,
        /// The updates that the sender passes on.
        #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MembershipUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        seq: u64,
        /// The sender's status.
        #[serde(default)]
        status: ServingStatus,
        /// The updates that the sender passes on.
        #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MembershipUpdate>,
    },
    /// Requests from a helper an indirect probe of a peer that does not answer the sender.
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
    /// Reports the arrival of an indirect probe directly to the node that requested it.
    IndirectHello {
        /// The number of that node's ping.
        seq: u64,
    },
    /// Answers an indirect ping; goes to the helper.
    IndirectAck {
        /// The number of the other node's ping.
        seq: u64,
        /// The other node.
        origin: NodeId,
        /// The time since the sender last received a message from that node, in milliseconds.
        #[serde(rename = "heard_ago_ms", default)]
        last_received_ago_ms: Option<u64>,
    },
    /// Passes a peer's answer on to the node that requested the indirect probe.
    IndirectReport {
        /// The number of that node's ping.
        seq: u64,
        /// The peer that answered the helper.
        target: NodeId,
        /// The time since the peer last received a message from that node, in milliseconds.
        #[serde(rename = "heard_ago_ms", default)]
        last_received_ago_ms: Option<u64>,
    },
}

/// An action that the member list requests from its process.
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
    /// Reads the rows of registered nodes again, since a message came from an unknown node or from
    /// a later start of a known one.
    Refresh,
}
