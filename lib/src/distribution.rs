//! Distribution of the configuration: every node applies every revision in order and never reverts
//! to an earlier one.
//!
//! A [`ConfigReplica`] tracks which revision its node has in force. It learns of newer ones from
//! the platform's head and from peers' stamps, pulls the deltas in between, and installs a whole
//! configuration if it has none or if the deltas are no longer kept. It does not hold the
//! configuration itself: the process applies the [`ReplicaAction::Apply`] and
//! [`ReplicaAction::Install`] actions, in order, to its only copy. See
//! [docs/design/distribution.md](../../docs/design/distribution.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::config::{ConfigDelta, FleetConfig};
use crate::delta_log::DeltaLog;
pub use crate::distribution_message::DistributionMessage;
use crate::head_poll::HeadPoller;
use crate::ids::{DataCentreId, NodeId, Revision};
use crate::rendezvous::{StableHash, rank_members};
use crate::snapshot_transfer::{SnapshotCursor, read_part};
use crate::time::MonoTime;

mod actions;
mod gossip;
mod pull;
mod steps;
mod transfer;

pub use actions::{DELTA_BATCH, ReplicaAction, ReplicaPeer, ReplicaSettings};
use pull::{PullSource, PullState};
use transfer::SnapshotPull;

/// Keeps one node's configuration up to date and helps its peers to do so.
#[derive(Clone, Debug)]
pub struct ConfigReplica {
    node: NodeId,
    data_centre: DataCentreId,
    settings: ReplicaSettings,
    seed: u64,
    draws: u64,
    started: MonoTime,
    revision: Option<Revision>,
    known_head: Revision,
    /// Whether the platform or a peer has reported a revision.
    is_head_known: bool,
    ready: bool,
    generation: u64,
    log: DeltaLog,
    peers: IndexMap<NodeId, DataCentreId>,
    peer_revisions: IndexMap<NodeId, Option<Revision>>,
    poller: HeadPoller,
    /// The newest head that was read and is not in force here yet, and when the read started.
    unproven_head: Option<(Revision, MonoTime)>,
    pulls: PullState,
    snapshot: Option<SnapshotPull>,
    transfers: u64,
    next_gossip: MonoTime,
    gossip_rounds: u64,
}

impl ConfigReplica {
    /// Creates the replica of a node without a configuration; `seed` determines its random choices.
    pub fn new(now: MonoTime, member: ReplicaPeer, settings: ReplicaSettings, seed: u64) -> Self {
        let interval = Duration::from_millis(settings.poll_interval_ms);
        Self {
            node: member.node,
            data_centre: member.data_centre,
            settings,
            seed,
            draws: 0,
            started: now,
            revision: None,
            known_head: Revision::default(),
            is_head_known: false,
            ready: false,
            generation: 0,
            log: DeltaLog::default(),
            peers: IndexMap::new(),
            peer_revisions: IndexMap::new(),
            poller: HeadPoller::new(now, interval),
            unproven_head: None,
            pulls: PullState::new(now),
            snapshot: None,
            transfers: 0,
            next_gossip: now,
            gossip_rounds: 0,
        }
    }

    /// Returns the node as its peers know it.
    pub fn member(&self) -> ReplicaPeer {
        ReplicaPeer {
            node: self.node.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// Returns the revision in force; none before the first.
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the newest revision that the node knows of.
    pub const fn known_head(&self) -> Revision {
        self.known_head
    }

    /// Returns whether the node has caught up at least once; it must not serve before.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Sets the other members of the fleet.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = ReplicaPeer>) {
        self.peers = peers
            .into_iter()
            .filter(|peer| peer.node != self.node)
            .map(|peer| (peer.node, peer.data_centre))
            .collect();
        let peers = &self.peers;
        self.peer_revisions
            .retain(|node, _| peers.contains_key(node));
        self.poller.retain_readers(|node| peers.contains_key(node));
        let local = self.peers.iter().filter(|(_, at)| **at == self.data_centre);
        let members: Vec<StableHash> = [&self.node]
            .into_iter()
            .chain(local.map(|(node, _)| node))
            .map(|node| StableHash::of(node.vm.as_bytes()))
            .collect();
        let key = StableHash::of(self.data_centre.as_bytes());
        let ranking = rank_members(key, &members);
        let rank = ranking.iter().position(|index| *index == 0);
        self.poller
            .set_rank(rank.unwrap_or_default(), self.settings.readers);
    }

    /// Reads the head, gossips and pulls, each when it is due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ReplicaAction> {
        let mut actions = Vec::new();
        let jitter = self.draw();
        if self.poller.start_read(now, jitter) {
            actions.push(ReplicaAction::ReadHead);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + Duration::from_millis(self.settings.gossip_interval_ms);
            self.gossip(&mut actions);
        }
        self.pull(now, &mut actions);
        actions
    }

    /// Handles a message from a peer.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: DistributionMessage,
    ) -> Vec<ReplicaAction> {
        let mut actions = Vec::new();
        match message {
            DistributionMessage::HeadStamp { revision, reading } => {
                self.handle_stamp(now, from, revision, reading, &mut actions)
            }
            DistributionMessage::DeltaRequest { after } => {
                actions.push(self.answer_deltas(from, after));
            }
            DistributionMessage::Deltas {
                after,
                deltas,
                revision,
            } => {
                self.record_peer_revision(from, revision);
                self.handle_deltas(now, from, after, &deltas, revision, &mut actions);
            }
            DistributionMessage::SnapshotRequest { transfer, cursor } => {
                actions.push(ReplicaAction::OfferSnapshot {
                    to: from.clone(),
                    transfer,
                    cursor,
                });
            }
            offer @ DistributionMessage::SnapshotOffer { .. } => {
                self.handle_offer(now, from, offer, &mut actions);
            }
        }
        actions
    }

    /// Handles a read of the platform's head; none if it failed.
    pub fn head_read(&mut self, now: MonoTime, head: Option<Revision>) -> Vec<ReplicaAction> {
        let mut actions = Vec::new();
        let started = self.poller.finish_read(now, &self.node, head.is_some());
        let Some(head) = head else {
            return actions;
        };
        // A head that is older than the revision in force is outdated and proves nothing.
        if let Some(at) = started.filter(|_| Some(head) >= self.revision) {
            self.unproven_head = Some((head, at));
        }
        self.record_head(head);
        self.update_readiness(now, &mut actions);
        // The reading has just shown that the platform has the deltas.
        if self.is_behind() && self.pulls.is_idle() && self.wants_deltas() {
            self.pull_from(now, PullSource::Store, &mut actions);
        }
        actions
    }

    /// Handles a read of deltas from the platform; none if it failed.
    pub fn deltas_read(
        &mut self,
        now: MonoTime,
        deltas: Option<Vec<ConfigDelta>>,
    ) -> Vec<ReplicaAction> {
        let mut actions = Vec::new();
        self.pulls.finish(&PullSource::Store);
        match deltas.as_deref() {
            // The platform no longer keeps the deltas in between, so a snapshot is needed.
            Some([first, ..]) if self.revision.map(Revision::next) < Some(first.revision) => {
                self.pulls.needs_snapshot = true;
            }
            Some([]) if self.is_behind() => self.pulls.record_refusal(),
            _ => {}
        }
        let deltas = deltas.unwrap_or_default();
        self.apply_deltas(now, &deltas, &mut actions);
        self.pull(now, &mut actions);
        actions
    }

    /// Handles a read of the platform's newest snapshot, which is at revision zero if the platform
    /// has none; none if the read failed or the snapshot is not newer.
    pub fn snapshot_read(
        &mut self,
        now: MonoTime,
        config: Option<FleetConfig>,
    ) -> Vec<ReplicaAction> {
        let mut actions = Vec::new();
        self.pulls.finish(&PullSource::Store);
        self.pulls.record_snapshot_attempt(self.revision.is_some());
        if let Some(config) = config {
            self.install(now, config, &mut actions);
        }
        self.pull(now, &mut actions);
        actions
    }

    /// Builds the answer to [`ReplicaAction::OfferSnapshot`] from the configuration in force.
    pub fn offer(
        &self,
        config: &FleetConfig,
        transfer: u64,
        cursor: SnapshotCursor,
    ) -> DistributionMessage {
        let part_bytes = self.settings.part_bytes;
        let part = self.revision.map(|_| read_part(config, cursor, part_bytes));
        DistributionMessage::SnapshotOffer {
            transfer,
            cursor,
            generation: self.generation,
            revision: part.as_ref().map(|part| part.revision),
            next: part.as_ref().and_then(|part| part.next),
            changes: part.map(|part| part.changes).unwrap_or_default(),
        }
    }

    fn answer_deltas(&self, to: &NodeId, after: Revision) -> ReplicaAction {
        ReplicaAction::Send {
            to: to.clone(),
            message: DistributionMessage::Deltas {
                after,
                deltas: self.log.after(after),
                revision: self.revision,
            },
        }
    }

    fn draw(&mut self) -> StableHash {
        self.draws += 1;
        StableHash(self.seed).with(StableHash(self.draws))
    }

    fn draw_index(&mut self, length: usize) -> usize {
        let draw = self.draw().0 % u64::try_from(length.max(1)).unwrap_or(1);
        usize::try_from(draw).unwrap_or_default()
    }
}
