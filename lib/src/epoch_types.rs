//! The settings, stored row, messages and actions of epochs.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, NodeId};
use crate::platform::Transaction;
use crate::registration::MemberRecord;

/// The key of the row that holds the newest assignment.
pub const EPOCH_ROW: &str = "epoch";

const DEFAULT_PROPOSE_DELAY_MS: u64 = 300;
const DEFAULT_GOSSIP_INTERVAL_MS: u64 = 200;
const DEFAULT_SETTLED_GOSSIP_INTERVAL_MS: u64 = 5_000;
const DEFAULT_GOSSIP_PEERS: usize = 3;
const DEFAULT_STORE_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_SAFE_TERM_MS: u64 = 10_100;
const DEFAULT_READ_RETRY_MS: u64 = 500;

/// Settings of the epoch keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct EpochSettings {
    /// How long changes of the members are collected before they are proposed, in milliseconds; the
    /// second-ranked proposer waits twice as long, and so on.
    pub propose_delay_ms: u64,
    /// The time between two rounds of gossip until the epoch is settled, in milliseconds.
    pub gossip_interval_ms: u64,
    /// The time between two rounds of gossip in a settled epoch, in milliseconds.
    #[serde(rename = "calm_gossip_interval_ms")]
    pub settled_gossip_interval_ms: u64,
    /// The number of peers of one round of gossip.
    pub gossip_peers: usize,
    /// The time after which an unanswered call to the store is dropped, in milliseconds.
    pub store_timeout_ms: u64,
    /// The shortest time between two reads of the row, in milliseconds.
    pub read_retry_ms: u64,
    /// The time after which an unreachable member has provably stopped using its shares, in
    /// milliseconds: the freshness guard's
    /// [safe term](crate::freshness::FreshnessSettings::safe_term).
    pub safe_term_ms: u64,
}

impl Default for EpochSettings {
    fn default() -> Self {
        Self {
            propose_delay_ms: DEFAULT_PROPOSE_DELAY_MS,
            gossip_interval_ms: DEFAULT_GOSSIP_INTERVAL_MS,
            settled_gossip_interval_ms: DEFAULT_SETTLED_GOSSIP_INTERVAL_MS,
            gossip_peers: DEFAULT_GOSSIP_PEERS,
            store_timeout_ms: DEFAULT_STORE_TIMEOUT_MS,
            read_retry_ms: DEFAULT_READ_RETRY_MS,
            safe_term_ms: DEFAULT_SAFE_TERM_MS,
        }
    }
}

/// The assignment as the table holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EpochRow {
    /// The epoch's number.
    pub epoch: Epoch,
    /// The members, ordered by VM.
    pub members: Vec<MemberRecord>,
    /// The members of the previous epoch, which was settled when this one was proposed.
    pub previous: Vec<NodeId>,
}

impl EpochRow {
    /// Returns the members' nodes, in order.
    pub fn nodes(&self) -> Vec<NodeId> {
        let nodes = self.members.iter().map(|member| member.node.clone());
        nodes.collect()
    }
}

/// A message about epochs between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EpochMessage {
    /// Announces the epoch that the sender has entered, and the members known to have entered it.
    Digest {
        /// The sender's epoch.
        epoch: Epoch,
        /// One bit for each member of the previous epoch, in order, from the lowest bit.
        #[serde(default)]
        entered: Vec<u32>,
        /// Whether the epoch is settled.
        #[serde(default)]
        settled: bool,
    },
    /// Requests the row of a later epoch than the sender's.
    Query {
        /// The sender's epoch.
        epoch: Epoch,
    },
    /// Carries a row that the sender has entered.
    Row {
        /// The row.
        row: EpochRow,
    },
}

/// The number of a call to the table, so that a late outcome is not taken for that of another call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCallId(pub u64);

impl StoreCallId {
    /// Returns the number that follows this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// An action that the keeper requests from its process.
///
/// The actions must be performed in order: an entered epoch applies before later messages are sent.
#[derive(Clone, Debug, PartialEq)]
pub enum EpochAction {
    /// The node has entered an epoch. Until it is settled, a share is the smaller of those of both
    /// epochs.
    Entered(Epoch),
    /// Every member of the previous epoch has entered this one or has stopped.
    Settled(Epoch),
    /// A later start on this VM is a member: this process must stop.
    Superseded(NodeId),
    /// Reads the row [`EPOCH_ROW`] and gives it to [`on_row`](crate::epoch::EpochKeeper::on_row).
    ReadRow,
    /// Commits the transaction and gives the outcome to
    /// [`on_commit`](crate::epoch::EpochKeeper::on_commit).
    Commit {
        /// The number of the call, which is handed in with the outcome.
        call: StoreCallId,
        /// The transaction.
        transaction: Transaction,
    },
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: EpochMessage,
    },
}
