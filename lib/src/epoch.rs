//! Epochs: the numbered assignment of shares to member incarnations.
//!
//! One row of the table holds the newest assignment. Any member may propose the next one by a
//! transaction that is conditional on the row's version; a proposer whose transaction fails reads
//! the row back. Members gossip about which members have entered. An epoch is settled once every
//! member of the previous one has entered it or provably stopped. Only a settled epoch has a
//! successor. See [docs/design/epochs.md](../../docs/design/epochs.md).

use std::time::Duration;

use indexmap::IndexSet;

use crate::epoch_entry_tracker::EpochEntryTracker;
use crate::epoch_store::StoreCaller;
pub use crate::epoch_types::{
    EPOCH_ROW, EpochAction, EpochMessage, EpochRow, EpochSettings, StoreCallId,
};
use crate::ids::{Epoch, NodeId};
use crate::platform::{CommitOutcome, Mutation, PlatformError, RowKey, TableRow, Transaction};
use crate::registration::MemberRecord;
use crate::rendezvous::{StableHash, top_members};
use crate::share_basis::ShareBasis;
use crate::time::MonoTime;

/// The number of ranked proposers; all others wait as long as one rank behind the last of them.
const PROPOSER_RANKS: usize = 8;

/// Keeps the node in the newest epoch and proposes the next one when the members change.
#[derive(Clone, Debug)]
pub struct EpochKeeper {
    settings: EpochSettings,
    node: NodeId,
    seed: StableHash,
    current: Option<EpochRow>,
    nodes: Vec<NodeId>,
    store: StoreCaller,
    tracker: EpochEntryTracker,
    settled: bool,
    candidates: Vec<MemberRecord>,
    differs_since: Option<MonoTime>,
    next_gossip: MonoTime,
    gossip_round: u64,
}

impl EpochKeeper {
    /// Creates a keeper that has entered no epoch; the seed determines the order of gossip peers.
    pub fn new(settings: EpochSettings, node: NodeId, seed: u64) -> Self {
        Self {
            settings,
            node,
            seed: StableHash(seed),
            current: None,
            nodes: Vec::new(),
            store: StoreCaller::default(),
            tracker: EpochEntryTracker::default(),
            settled: false,
            candidates: Vec::new(),
            differs_since: None,
            next_gossip: MonoTime::ZERO,
            gossip_round: 0,
        }
    }

    /// Returns the entered epoch, or zero before the first.
    pub fn epoch(&self) -> Epoch {
        self.current.as_ref().map_or(Epoch(0), |row| row.epoch)
    }

    /// Returns the members of the entered epoch.
    pub fn members(&self) -> &[MemberRecord] {
        self.current.as_ref().map_or(&[], |row| &row.members)
    }

    /// Returns the nodes of the entered epoch, in the order of the members.
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Returns the nodes of the epoch that precedes the entered one.
    pub fn previous(&self) -> &[NodeId] {
        self.current.as_ref().map_or(&[], |row| &row.previous)
    }

    /// Returns whether every member of the previous epoch has entered this one or has stopped.
    pub const fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns the nodes that shares are divided between; a node that is not a member has no share.
    pub fn basis(&self) -> ShareBasis<'_> {
        match &self.current {
            Some(row) if !self.settled => ShareBasis::Moving {
                from: &row.previous,
                to: &self.nodes,
            },
            Some(_) | None => ShareBasis::Settled(&self.nodes),
        }
    }

    /// Sets the nodes that should be members: registered, not stopping and not long unreachable.
    ///
    /// A registered start proves that earlier starts on its VM have stopped, since a process binds
    /// its peer listener before it registers.
    pub fn set_candidates(&mut self, candidates: impl IntoIterator<Item = MemberRecord>) {
        self.candidates = candidates.into_iter().collect();
        self.candidates
            .sort_unstable_by(|a, b| a.node.vm.cmp(&b.node.vm));
    }

    /// Records that nodes have stopped for good, since their VMs have disappeared from the VM list.
    pub fn set_stopped_nodes(&mut self, stopped: impl IntoIterator<Item = NodeId>) {
        self.tracker.record_stopped(stopped);
    }

    /// Handles a row that was read from the table, whether or not the keeper requested it.
    ///
    /// A row of an earlier epoch than the entered one is an outdated answer and is ignored.
    pub fn on_row(&mut self, answer: Result<Option<TableRow>, PlatformError>) -> Vec<EpochAction> {
        self.store.finish_read();
        match answer {
            Ok(None) if self.current.is_none() => {
                self.store.record_absent();
                Vec::new()
            }
            Ok(Some(row)) => match serde_json::from_value::<EpochRow>(row.value) {
                Ok(read) if read.epoch >= self.epoch() => {
                    let actions = self.enter_row(read);
                    self.store.record_version(row.version);
                    actions
                }
                Ok(_) | Err(_) => Vec::new(),
            },
            Ok(None) | Err(_) => Vec::new(),
        }
    }

    /// Handles the outcome of a call's transaction.
    pub fn on_commit(
        &mut self,
        call: StoreCallId,
        outcome: Result<CommitOutcome, PlatformError>,
    ) -> Vec<EpochAction> {
        let committed = self.store.finish_commit(call, outcome);
        committed.map_or_else(Vec::new, |row| self.enter_row(row))
    }

    /// Handles a message from a peer.
    pub fn handle(&mut self, from: &NodeId, message: EpochMessage) -> Vec<EpochAction> {
        match message {
            EpochMessage::Digest {
                epoch,
                entered,
                settled,
            } => self.handle_digest(from, epoch, &entered, settled),
            EpochMessage::Query { epoch } if epoch < self.epoch() => self.send_row(from),
            EpochMessage::Query { .. } => Vec::new(),
            EpochMessage::Row { row } => self.enter_row(row),
        }
    }

    /// Settles the epoch, proposes the next one and gossips with peers, each when it is due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<EpochAction> {
        let mut actions = Vec::new();
        let timeout = Duration::from_millis(self.settings.store_timeout_ms);
        self.store.expire_call(now, timeout);
        actions.extend(self.settle(now));
        actions.extend(self.propose(now));
        actions.extend(self.gossip(now));
        actions
    }

    fn handle_digest(
        &mut self,
        from: &NodeId,
        epoch: Epoch,
        entered: &[u32],
        settled: bool,
    ) -> Vec<EpochAction> {
        let own_epoch = self.epoch();
        if epoch < own_epoch {
            return self.send_row(from);
        }
        if epoch > own_epoch {
            let message = EpochMessage::Query { epoch: own_epoch };
            return vec![send(from, message)];
        }
        let Some(row) = &self.current else {
            return Vec::new();
        };
        self.tracker.merge(&row.previous, entered);
        if row.previous.contains(from) {
            self.tracker.record_entered(from.clone());
        }
        if settled && !self.settled {
            return self.set_settled();
        }
        let peer_lacks = if self.settled {
            !settled
        } else {
            self.tracker.knows_more_than(&row.previous, entered)
        };
        if peer_lacks {
            return vec![send(from, self.digest(row))];
        }
        Vec::new()
    }

    fn digest(&self, row: &EpochRow) -> EpochMessage {
        EpochMessage::Digest {
            epoch: row.epoch,
            entered: if self.settled {
                Vec::new()
            } else {
                self.tracker.entered_bitmap(&row.previous)
            },
            settled: self.settled,
        }
    }

    fn send_row(&self, to: &NodeId) -> Vec<EpochAction> {
        let row = self.current.clone();
        row.map(|row| send(to, EpochMessage::Row { row }))
            .into_iter()
            .collect()
    }

    /// Enters the row's epoch if it is later than the entered one.
    fn enter_row(&mut self, row: EpochRow) -> Vec<EpochAction> {
        if row.epoch <= self.epoch() {
            return Vec::new();
        }
        self.store.forget_version();
        self.nodes = row.nodes();
        self.tracker.restart();
        if row.previous.contains(&self.node) {
            self.tracker.record_entered(self.node.clone());
        }
        self.settled = false;
        self.differs_since = None;
        self.next_gossip = MonoTime::ZERO;
        let epoch = row.epoch;
        let newer = self
            .nodes
            .iter()
            .find(|node| node.vm == self.node.vm && node.incarnation > self.node.incarnation);
        let superseded = newer.cloned().map(EpochAction::Superseded);
        let is_first = row.previous.is_empty();
        self.current = Some(row);
        let mut actions = vec![EpochAction::Entered(epoch)];
        actions.extend(superseded);
        if is_first {
            actions.extend(self.set_settled());
        }
        actions
    }

    fn set_settled(&mut self) -> Vec<EpochAction> {
        self.settled = true;
        vec![EpochAction::Settled(self.epoch())]
    }

    /// Settles the epoch when no member of the previous one can use its share of that one.
    fn settle(&mut self, now: MonoTime) -> Vec<EpochAction> {
        let Some(row) = self.current.as_ref().filter(|_| !self.settled) else {
            return Vec::new();
        };
        let (candidates, nodes) = (&self.candidates, &self.nodes);
        let superseded = |old: &NodeId| {
            let registered = candidates.iter().map(|record| &record.node);
            let replaces = |new: &NodeId| new.vm == old.vm && new.incarnation > old.incarnation;
            registered.chain(nodes).any(replaces)
        };
        let safe_term = Duration::from_millis(self.settings.safe_term_ms);
        let complete = self
            .tracker
            .is_complete(now, &row.previous, superseded, safe_term);
        if complete {
            return self.set_settled();
        }
        Vec::new()
    }

    fn read(&mut self, now: MonoTime) -> Vec<EpochAction> {
        let retry = Duration::from_millis(self.settings.read_retry_ms);
        let started = self.store.start_read(now, retry);
        started
            .then_some(EpochAction::ReadRow)
            .into_iter()
            .collect()
    }

    fn propose(&mut self, now: MonoTime) -> Vec<EpochAction> {
        if self.store.is_outcome_unknown() {
            return self.read(now);
        }
        let may_propose = self.settled || self.current.is_none();
        let is_candidate = self
            .candidates
            .iter()
            .any(|record| record.node == self.node);
        let differs = self.members() != self.candidates;
        if !(may_propose && is_candidate && differs && self.keeps_majority()) {
            self.differs_since = None;
            return Vec::new();
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.since(since) < self.propose_delay() || !self.store.is_idle() {
            return Vec::new();
        }
        let Some(condition) = self.store.condition() else {
            return self.read(now);
        };
        let row = EpochRow {
            epoch: self.epoch().next(),
            members: self.candidates.clone(),
            previous: self.nodes.clone(),
        };
        let value = serde_json::to_value(&row).expect("rows are plain data");
        let transaction = Transaction {
            conditions: vec![condition],
            mutations: vec![Mutation::Put(RowKey::from(EPOCH_ROW), value)],
        };
        let call = self.store.start_commit(now, row);
        vec![EpochAction::Commit { call, transaction }]
    }

    /// Returns whether more than half of the members that have not stopped stay members.
    ///
    /// A node that reaches the store but not its peers must not remove them all.
    fn keeps_majority(&self) -> bool {
        let present = self
            .nodes
            .iter()
            .filter(|node| !self.tracker.has_stopped(node));
        let kept = |node: &&NodeId| {
            let mut candidates = self.candidates.iter();
            candidates.any(|candidate| candidate.node.vm == node.vm)
        };
        let count = present.clone().count();
        count == 0 || present.filter(kept).count() * 2 > count
    }

    /// Returns the delay by the node's rank in rendezvous order, so that proposers rarely race.
    fn propose_delay(&self) -> Duration {
        let hashes: Vec<_> = self
            .candidates
            .iter()
            .map(|record| StableHash::of(record.node.vm.as_bytes()))
            .collect();
        let top = top_members(StableHash(self.epoch().0), &hashes, PROPOSER_RANKS);
        let rank = top
            .iter()
            .position(|index| self.candidates[*index].node == self.node)
            .unwrap_or(PROPOSER_RANKS);
        Duration::from_millis(self.settings.propose_delay_ms) * (1 + rank as u32)
    }

    fn gossip(&mut self, now: MonoTime) -> Vec<EpochAction> {
        let Some(row) = self.current.as_ref().filter(|_| now >= self.next_gossip) else {
            return Vec::new();
        };
        let interval_ms = if self.settled {
            self.settings.settled_gossip_interval_ms
        } else {
            self.settings.gossip_interval_ms
        };
        self.next_gossip = now + Duration::from_millis(interval_ms);
        self.gossip_round += 1;
        let peers: IndexSet<_> = self.nodes.iter().chain(&row.previous).collect();
        let peers: Vec<_> = peers
            .into_iter()
            .filter(|peer| **peer != self.node)
            .collect();
        let hashes: Vec<_> = peers
            .iter()
            .map(|peer| StableHash::of(peer.vm.as_bytes()))
            .collect();
        let round = self.seed.with(StableHash(self.gossip_round));
        let digest = self.digest(row);
        top_members(round, &hashes, self.settings.gossip_peers)
            .into_iter()
            .map(|index| send(peers[index], digest.clone()))
            .collect()
    }
}

fn send(to: &NodeId, message: EpochMessage) -> EpochAction {
    let to = to.clone();
    EpochAction::Send { to, message }
}
