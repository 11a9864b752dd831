//! The messages between nodes about the configuration.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigChange, ConfigDelta};
use crate::ids::{NodeId, Revision};
use crate::snapshot_transfer::SnapshotCursor;

/// The greatest size of the deltas in one message, in bytes of JSON, unless a single one is larger.
pub const MAX_DELTAS_BYTES: usize = 192 << 10;

/// Names one successful reading of the platform's head.
///
/// Readings are distinguished by number rather than by age, so that an old one that spreads slowly
/// is never taken for a new one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HeadReading {
    /// The node that read.
    pub reader: NodeId,
    /// The number of the reading on that node.
    pub number: u64,
}

/// A message between two nodes about the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DistributionMessage {
    /// Announces the revision in force on the sender; a node with a newer one answers with its own
    /// stamp.
    HeadStamp {
        /// The revision in force on the sender; none before it has one.
        #[serde(default)]
        revision: Option<Revision>,
        /// The newest reading of the platform's head that the sender made or received.
        #[serde(default)]
        reading: Option<HeadReading>,
    },
    /// Requests the deltas after a revision.
    DeltaRequest {
        /// The revision.
        after: Revision,
    },
    /// Carries the requested deltas, in order.
    Deltas {
        /// The revision after which they were requested.
        after: Revision,
        /// The deltas; empty if the sender does not keep the one that follows `after`.
        #[serde(default)]
        deltas: Vec<ConfigDelta>,
        /// The revision in force on the sender.
        #[serde(default)]
        revision: Option<Revision>,
    },
    /// Requests a part of the receiver's whole configuration.
    SnapshotRequest {
        /// The requesting node's number of the transfer, which each part repeats.
        transfer: u64,
        /// Where the part starts.
        cursor: SnapshotCursor,
    },
    /// Carries a part of the sender's whole configuration.
    SnapshotOffer {
        /// The number of the transfer.
        transfer: u64,
        /// Where the part starts.
        cursor: SnapshotCursor,
        /// The number of whole configurations that the sender has installed.
        generation: u64,
        /// The revision that the part was read at; none if the sender has no configuration.
        #[serde(default)]
        revision: Option<Revision>,
        /// The objects of the part, each as the change that writes it.
        #[serde(default)]
        changes: Vec<ConfigChange>,
        /// Where the next part starts; none after the last part.
        #[serde(default)]
        next: Option<SnapshotCursor>,
    },
}
