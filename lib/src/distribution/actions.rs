//! What a replica is set up with, and what it asks its process to do.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigDelta, FleetConfig};
use crate::distribution_message::DistributionMessage;
use crate::ids::{DataCentreId, NodeId, Revision};
use crate::snapshot_transfer::SnapshotCursor;
use crate::time::MonoTime;

/// The number of deltas that one read of the platform asks for.
pub const DELTA_BATCH: usize = 256;

/// How a replica paces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The number of nodes of a data centre that read the head.
    pub readers: usize,
    /// The time between two readings of the head, in milliseconds.
    pub poll_interval_ms: u64,
    /// The time between two rounds of gossip, in milliseconds.
    pub gossip_interval_ms: u64,
    /// The number of peers that are told of a new revision at once.
    pub fanout: usize,
    /// The time after which an unanswered request is sent to another node, in milliseconds.
    pub pull_timeout_ms: u64,
    /// How long a starting node listens to its peers before it chooses one, in milliseconds.
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

/// A member of the fleet, as far as distribution is concerned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaPeer {
    /// The node.
    pub node: NodeId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
}

/// What the process is to do, in order.
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
    /// Load the platform's newest snapshot, unless it is not newer than this revision, and call
    /// [`snapshot_read`](super::ConfigReplica::snapshot_read).
    ReadSnapshot {
        /// The revision in force; none if there is no configuration yet.
        newer_than: Option<Revision>,
    },
    /// Build an offer with [`offer`](super::ConfigReplica::offer) from the configuration in force, and send it.
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
    /// The head was this revision, and it is in force here, at a time after `at`.
    HeadProven {
        /// The head.
        revision: Revision,
        /// When the reading started.
        at: MonoTime,
    },
}
