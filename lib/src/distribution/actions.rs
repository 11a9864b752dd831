//! The settings of a replica, and the actions that it requests from its process.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigDelta, FleetConfig};
use crate::distribution_message::DistributionMessage;
use crate::ids::{DataCentreId, NodeId, Revision};
use crate::snapshot_transfer::SnapshotCursor;
use crate::time::MonoTime;

/// The greatest number of deltas in one read of the platform.
pub const DELTA_BATCH: usize = 256;

/// Settings of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The number of nodes in each data centre that read the head at each interval.
    pub readers: usize,
    /// The time between two reads of the head, in milliseconds.
    pub poll_interval_ms: u64,
    /// The time between two rounds of gossip, in milliseconds.
    pub gossip_interval_ms: u64,
    /// The number of peers that a new revision is announced to at once.
    pub fanout: usize,
    /// The time after which an unanswered request is sent to another node, in milliseconds.
    pub pull_timeout_ms: u64,
    /// How long a starting node waits for its peers' stamps before it selects one, in milliseconds.
    pub listen_ms: u64,
    /// The size at which a part of a snapshot ends, in bytes of JSON.
    pub part_bytes: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            readers: 2,
            poll_interval_ms: 1_000,
            gossip_interval_ms: 1_000,
            fanout: 3,
            pull_timeout_ms: 500,
            listen_ms: 500,
            part_bytes: 64 << 10,
        }
    }
}

/// A member of the fleet as distribution needs it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaPeer {
    /// The node.
    pub node: NodeId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
}

/// An action that the replica requests from its process; actions must be performed in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: DistributionMessage,
    },
    /// Read the platform's head and call [`head_read`](super::ConfigReplica::head_read).
    ReadHead,
    /// Read at most [`DELTA_BATCH`] deltas from the platform and call
    /// [`deltas_read`](super::ConfigReplica::deltas_read).
    ReadDeltas {
        /// The revision after which the deltas start.
        after: Revision,
    },
    /// Load the platform's newest snapshot if it is newer than this revision, and call
    /// [`snapshot_read`](super::ConfigReplica::snapshot_read).
    ReadSnapshot {
        /// The revision in force; none if there is no configuration yet.
        newer_than: Option<Revision>,
    },
    /// Build an offer with [`offer`](super::ConfigReplica::offer) from the configuration in force,
    /// and send it.
    OfferSnapshot {
        /// The receiver.
        to: NodeId,
        /// The number of the transfer.
        transfer: u64,
        /// Where the part starts.
        cursor: SnapshotCursor,
    },
    /// Put a whole configuration into force.
    Install(FleetConfig),
    /// Put a delta into force.
    Apply(ConfigDelta),
    /// At some time after `at`, the head was this revision, which is in force here.
    HeadProven {
        /// The head.
        revision: Revision,
        /// When the read of the head started.
        at: MonoTime,
    },
}
