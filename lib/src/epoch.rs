//! Epochs: the numbered assignment of shares to member incarnations.
//!
//! One row of the table holds the newest assignment. Any member may propose the next one, by a
//! transaction that is conditional on the row's version; the loser reads back. All members tell each
//! other who has entered, and an epoch is settled once every member of the one before has entered it
//! or provably stopped. Only a settled epoch has a successor. See
//! [docs/design/epochs.md](../../docs/design/epochs.md).

use std::time::Duration;

use indexmap::IndexSet;

use crate::entry_tally::EntryTally;
pub use crate::epoch_types::{EPOCH_ROW, EpochAction, EpochMessage, EpochRow, EpochSettings};
use crate::ids::{Epoch, NodeId};
use crate::platform::{
    CommitOutcome, Condition, Mutation, PlatformError, RowKey, RowVersion, TableRow, Transaction,
};
use crate::registration::MemberRecord;
use crate::rendezvous::{StableHash, top_members};
use crate::share_basis::ShareBasis;
use crate::time::MonoTime;

const PROPOSER_RANKS: usize = 8;

/// What the keeper waits for from the store.
#[derive(Clone, Debug)]
enum StoreCall {
    Idle,
    Reading { since: MonoTime },
    Committing { since: MonoTime, row: Box<EpochRow> },
}

/// What the keeper knows of the row in the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RowState {
    Unknown,
    Absent,
    At(RowVersion),
}

/// Keeps the node in the newest epoch and proposes the next one when the members change.
#[derive(Clone, Debug)]
pub struct EpochKeeper {
    settings: EpochSettings,
    node: NodeId,
    seed: StableHash,
    current: Option<EpochRow>,
    nodes: Vec<NodeId>,
    row_state: RowState,
    call: StoreCall,
    /// Whether a proposal may have taken effect without an answer.
    unsure: bool,
    next_read: MonoTime,
    tally: EntryTally,
    settled: bool,
    candidates: Vec<MemberRecord>,
    differs_since: Option<MonoTime>,
    next_gossip: MonoTime,
    gossip_round: u64,
}

impl EpochKeeper {
    /// Makes a keeper that has entered no epoch; the seed decides which peers are told first.
    pub fn new(settings: EpochSettings, node: NodeId, seed: u64) -> Self {
        Self {
            settings,
            node,
            seed: StableHash(seed),
            current: None,
            nodes: Vec::new(),
            row_state: RowState::Unknown,
            call: StoreCall::Idle,
            unsure: false,
            next_read: MonoTime::ZERO,
            tally: EntryTally::default(),
            settled: false,
            candidates: Vec::new(),
            differs_since: None,
            next_gossip: MonoTime::ZERO,
            gossip_round: 0,
        }
    }

    /// Returns the entered epoch, or zero if there is none yet.
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

    /// Returns the nodes of the epoch before the entered one.
    pub fn previous(&self) -> &[NodeId] {
        self.current.as_ref().map_or(&[], |row| &row.previous)
    }

    /// Returns whether every member of the epoch before has entered this one or is gone.
    pub const fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns what shares are divided between; a node that is no member has none.
    pub fn basis(&self) -> ShareBasis<'_> {
        match &self.current {
            Some(row) if !self.settled => ShareBasis::Moving {
                from: &row.previous,
                to: &self.nodes,
            },
            Some(_) | None => ShareBasis::Settled(&self.nodes),
        }
    }

    /// Sets the nodes that should be members: registered, not leaving, not given up.
    ///
    /// A registered start proves that earlier starts on its VM have stopped, since a process binds
    /// its peer listener before it registers.
    pub fn set_candidates(&mut self, candidates: impl IntoIterator<Item = MemberRecord>) {
        self.candidates = candidates.into_iter().collect();
        self.candidates
            .sort_unstable_by(|a, b| a.node.vm.cmp(&b.node.vm));
    }

    /// Takes note that nodes have stopped for good: their VMs were in the list and are not any more.
    pub fn set_gone(&mut self, gone: impl IntoIterator<Item = NodeId>) {
        self.tally.stop(gone);
    }

    /// Takes a row that was read from the table, whether or not the keeper asked for it.
    ///
    /// A row of an earlier epoch than the entered one is an answer from the past and is ignored.
    pub fn on_row(&mut self, answer: Result<Option<TableRow>, PlatformError>) -> Vec<EpochAction> {
        if matches!(self.call, StoreCall::Reading { .. }) {
            self.call = StoreCall::Idle;
        }
        match answer {
            Ok(None) if self.current.is_none() => {
                self.unsure = false;
                self.row_state = RowState::Absent;
                Vec::new()
            }
            Ok(Some(row)) => match serde_json::from_value::<EpochRow>(row.value) {
                Ok(read) if read.epoch >= self.epoch() => {
                    self.unsure = false;
                    self.take_row(read, RowState::At(row.version))
                }
                Ok(_) | Err(_) => Vec::new(),
            },
            Ok(None) | Err(_) => Vec::new(),
        }
    }

    /// Takes the outcome of a transaction.
    pub fn on_commit(&mut self, outcome: Result<CommitOutcome, PlatformError>) -> Vec<EpochAction> {
        let call = std::mem::replace(&mut self.call, StoreCall::Idle);
        // Whatever the outcome, the version that the proposal was based on is not the newest now,
        // or may not be: the next proposal starts with a read.
        self.row_state = RowState::Unknown;
        match (call, outcome) {
            (StoreCall::Committing { row, .. }, Ok(CommitOutcome::Committed)) => {
                self.take_row(*row, RowState::Unknown)
            }
            (StoreCall::Committing { .. }, Err(PlatformError::Unavailable { .. })) => Vec::new(),
            _ => {
                self.unsure = true;
                Vec::new()
            }
        }
    }

    /// Handles a message of a peer.
    pub fn handle(&mut self, from: &NodeId, message: EpochMessage) -> Vec<EpochAction> {
        match message {
            EpochMessage::Digest {
                epoch,
                entered,
                settled,
            } => self.handle_digest(from, epoch, &entered, settled),
            EpochMessage::Query { epoch } if epoch < self.epoch() => self.send_row(from),
            EpochMessage::Query { .. } => Vec::new(),
            EpochMessage::Row { row } => self.take_row(row, RowState::Unknown),
        }
    }

    /// Settles the epoch, proposes the next one and tells peers, each when it is due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<EpochAction> {
        let mut actions = Vec::new();
        self.give_up_call(now);
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
        let mine = self.epoch();
        if epoch < mine {
            return self.send_row(from);
        }
        if epoch > mine {
            let message = EpochMessage::Query { epoch: mine };
            return vec![send(from, message)];
        }
        let Some(row) = &self.current else {
            return Vec::new();
        };
        self.tally.merge(&row.previous, entered);
        if row.previous.contains(from) {
            self.tally.enter(from.clone());
        }
        if settled && !self.settled {
            return self.set_settled();
        }
        let peer_lacks = if self.settled {
            !settled
        } else {
            self.tally.knows_more(&row.previous, entered)
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
                self.tally.words(&row.previous)
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
    fn take_row(&mut self, row: EpochRow, state: RowState) -> Vec<EpochAction> {
        let mine = self.epoch();
        if row.epoch >= mine && state != RowState::Unknown {
            self.row_state = state;
        }
        if row.epoch <= mine {
            return Vec::new();
        }
        if state == RowState::Unknown {
            self.row_state = RowState::Unknown;
        }
        self.nodes = row.nodes();
        self.tally.restart();
        if row.previous.contains(&self.node) {
            self.tally.enter(self.node.clone());
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
        let alone = row.previous.is_empty();
        self.current = Some(row);
        let mut actions = vec![EpochAction::Entered(epoch)];
        actions.extend(superseded);
        if alone {
            actions.extend(self.set_settled());
        }
        actions
    }

    fn set_settled(&mut self) -> Vec<EpochAction> {
        self.settled = true;
        vec![EpochAction::AllAcknowledged(self.epoch())]
    }

    /// Settles the epoch when no member of the one before can use its share of that one.
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
            .tally
            .is_complete(now, &row.previous, superseded, safe_term);
        if complete {
            return self.set_settled();
        }
        Vec::new()
    }

    fn give_up_call(&mut self, now: MonoTime) {
        let timeout = Duration::from_millis(self.settings.store_timeout_ms);
        let since = match &self.call {
            StoreCall::Idle => return,
            StoreCall::Reading { since } | StoreCall::Committing { since, .. } => *since,
        };
        if now.since(since) >= timeout {
            self.call = StoreCall::Idle;
            self.row_state = RowState::Unknown;
            self.unsure = true;
        }
    }

    /// Reads the row, unless a call is under way or the last read was a moment ago.
    fn read(&mut self, now: MonoTime) -> Vec<EpochAction> {
        if now < self.next_read || !matches!(self.call, StoreCall::Idle) {
            return Vec::new();
        }
        self.next_read = now + Duration::from_millis(self.settings.read_retry_ms);
        self.call = StoreCall::Reading { since: now };
        vec![EpochAction::ReadRow]
    }

    fn propose(&mut self, now: MonoTime) -> Vec<EpochAction> {
        if self.unsure {
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
        if now.since(since) < self.propose_delay() || !matches!(self.call, StoreCall::Idle) {
            return Vec::new();
        }
        let condition = match self.row_state {
            RowState::Unknown => return self.read(now),
            RowState::Absent => Condition::Absent(RowKey::from(EPOCH_ROW)),
            RowState::At(version) => Condition::VersionIs(RowKey::from(EPOCH_ROW), version),
        };
        let row = EpochRow {
            epoch: self.epoch().next(),
            members: self.candidates.clone(),
            previous: self.nodes.clone(),
        };
        let value = serde_json::to_value(&row).expect("rows are plain data");
        self.call = StoreCall::Committing {
            since: now,
            row: Box::new(row),
        };
        vec![EpochAction::Commit(Transaction {
            conditions: vec![condition],
            mutations: vec![Mutation::Put(RowKey::from(EPOCH_ROW), value)],
        })]
    }

    /// Returns whether more than half of the members that have not stopped stay members.
    ///
    /// A node that has the store and has lost its peers must not vote them all out.
    fn keeps_majority(&self) -> bool {
        let there = self
            .nodes
            .iter()
            .filter(|node| !self.tally.has_stopped(node));
        let kept = |node: &&NodeId| {
            let mut candidates = self.candidates.iter();
            candidates.any(|candidate| candidate.node.vm == node.vm)
        };
        let count = there.clone().count();
        count == 0 || there.filter(kept).count() * 2 > count
    }

    /// Orders the proposers by rendezvous hashing, so that they rarely race.
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
            self.settings.calm_gossip_interval_ms
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
