//! What nodes tell each other about the configuration.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigChange, ConfigDelta};
use crate::ids::{NodeId, Revision};
use crate::snapshot_transfer::SnapshotCursor;

/// The greatest size of the deltas in one message, as JSON, unless a single one is larger.
pub const MAX_DELTAS_BYTES: usize = 192 << 10;

/// Names one successful reading of the platform's head.
///
/// Readings are told apart by number rather than by age, so that word of an old one that goes round
/// slowly never passes for a new one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HeadReading {
    /// The node that read.
    pub reader: NodeId,
    /// The number of the reading on that node.
    pub number: u64,
}

/// A message of the configuration's topic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DistributionMessage {
    /// Says what the sender has in force; a node that has more answers with its own stamp.
    HeadStamp {
        /// The revision in force on the sender; none before it has one.
        #[serde(default)]
        revision: Option<Revision>,
        /// The newest reading of the platform's head that the sender made or heard of.
        #[serde(default)]
        reading: Option<HeadReading>,
    },
    /// Asks for the deltas after a revision.
    DeltaRequest {
        /// The revision.
        after: Revision,
    },
    /// Holds the deltas that were asked for, in order.
    Deltas {
        /// The revision that they were asked for after.
        after: Revision,
        /// The deltas; none if the sender does not keep the one that follows `after` any more.
        #[serde(default)]
        deltas: Vec<ConfigDelta>,
        /// The revision in force on the sender.
        #[serde(default)]
        revision: Option<Revision>,
    },
    /// Asks for a part of the sender's whole configuration.
    SnapshotRequest {
        /// The receiver's number of the transfer, which comes back with each part.
        transfer: u64,
        /// Where the part starts.
        cursor: SnapshotCursor,
    },
    /// Holds a part of the sender's whole configuration.
    SnapshotOffer {
        /// The number of the transfer.
        transfer: u64,
        /// Where the part starts.
        cursor: SnapshotCursor,
        /// The sender's count of configurations that it took over whole.
        generation: u64,
        /// The revision that the part was read at; none if the sender has no configuration.
        #[serde(default)]
        revision: Option<Revision>,
        /// The objects of the part, each as the change that puts it there.
        #[serde(default)]
        changes: Vec<ConfigChange>,
        /// Where the next part starts; none after the last part.
        #[serde(default)]
        next: Option<SnapshotCursor>,
    },
}
