//! A few nodes with epoch keepers and freshness guards, a fake network and a fake table.

use damaskloom_lib::epoch::{
    EPOCH_ROW, EpochAction, EpochKeeper, EpochMessage, EpochRow, EpochSettings, StoreCallId,
};
use damaskloom_lib::freshness::{
    FreshnessAction, FreshnessGuard, FreshnessMessage, FreshnessSettings,
};
use damaskloom_lib::ids::{Epoch, Incarnation, NodeId};
use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, PlatformError, RowKey, RowVersion, TableRow, Transaction,
};
use damaskloom_lib::registration::MemberRecord;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::fake_network::{FakeNetwork, NetworkFaults, clock_of, index_of, node_id};

/// The number of VMs. A slot is the place of one VM in the tests, whose process may be restarted.
pub const SLOTS: usize = 4;
pub const TERM_MS: u64 = 600;
pub const TICK_MS: u64 = 50;
pub const POLL_MS: u64 = 100;
pub const STORE_TIMEOUT_MS: u64 = 150;
/// The units of each budget.
pub const TOTAL: u64 = 1_001;
/// The keys of the budgets.
pub const KEYS: [&[u8]; 3] = [b"customer/a", b"customer/b", b"service/c"];

#[derive(Clone, Debug)]
pub enum Message {
    Epoch(EpochMessage),
    Freshness(FreshnessMessage),
}

pub type Answered<T> = Result<T, PlatformError>;

#[derive(Clone, Debug)]
pub enum Answer {
    Row(u64, Answered<Option<TableRow>>),
    Commit(StoreCallId, Answered<CommitOutcome>),
}

/// The table's one row, with outages, lost answers and writes that take effect late.
#[derive(Clone, Default)]
pub struct FakeStore {
    pub row: Option<TableRow>,
    pub down: bool,
    pub loses_answers: bool,
    /// Writes that take effect later, each with its time in milliseconds.
    pub late: Vec<(u64, Transaction)>,
}

impl FakeStore {
    pub fn read(&self) -> Answered<Option<TableRow>> {
        if self.down {
            let detail = "down".to_owned();
            return Err(PlatformError::Unavailable { detail });
        }
        Ok(self.row.clone())
    }

    pub fn apply(&mut self, transaction: &Transaction) -> CommitOutcome {
        let version = self.row.as_ref().map(|row| row.version);
        let holds = match &transaction.conditions[0] {
            Condition::VersionIs(_, expected) => version == Some(*expected),
            Condition::Absent(_) => version.is_none(),
        };
        if !holds {
            return CommitOutcome::Conflict(vec![RowKey::from(EPOCH_ROW)]);
        }
        if let Mutation::Put(key, value) = &transaction.mutations[0] {
            self.row = Some(TableRow {
                key: key.clone(),
                value: value.clone(),
                version: RowVersion(version.map_or(1, |version| version.0 + 1)),
            });
        }
        CommitOutcome::Committed
    }

    /// Commits a transaction; while answers are lost, `random` decides whether and when it takes
    /// effect.
    pub fn commit(
        &mut self,
        now: u64,
        random: u64,
        transaction: Transaction,
    ) -> Answered<CommitOutcome> {
        let detail = "fault".to_owned();
        if self.down {
            return Err(PlatformError::Unavailable { detail });
        }
        if !self.loses_answers {
            return Ok(self.apply(&transaction));
        }
        match random % 3 {
            0 => {
                self.apply(&transaction);
            }
            1 => self.late.push((now + random % 500, transaction)),
            _ => {}
        }
        Err(PlatformError::AnswerLost { detail })
    }
}

#[derive(Clone)]
pub struct Process {
    pub node: NodeId,
    pub keeper: EpochKeeper,
    pub guard: FreshnessGuard,
    pub paused: bool,
    pub epoch: Epoch,
}

#[derive(Clone)]
pub struct World {
    pub slots: Vec<Option<Process>>,
    pub registered: Vec<MemberRecord>,
    /// The processes that have crashed.
    pub dead: Vec<NodeId>,
    pub store: FakeStore,
    pub queue: FakeNetwork<(NodeId, NodeId, Message)>,
    pub answers: Vec<(u64, NodeId, Answer)>,
    /// The slot that receives no messages about epochs.
    pub without_epoch_messages: Option<usize>,
    pub now: u64,
}

pub fn record(node: NodeId) -> MemberRecord {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        node,
        data_centre: "dc-1".parse().unwrap(),
        peer_address: address,
        caller_address: address,
        token: 0,
    }
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            slots: (0..SLOTS).map(|_| None).collect(),
            registered: (0..SLOTS).map(|slot| record(node_id(slot))).collect(),
            dead: Vec::new(),
            store: FakeStore::default(),
            queue: FakeNetwork::new(5),
            answers: Vec::new(),
            without_epoch_messages: None,
            now: 0,
        };
        (0..SLOTS).for_each(|slot| world.start(slot));
        world.set_all_candidates();
        world.run(1_000);
        world
    }

    pub fn start(&mut self, slot: usize) {
        let freshness = FreshnessSettings {
            term_ms: TERM_MS,
            ping_interval_ms: TICK_MS - 1,
            ..FreshnessSettings::default()
        };
        let epochs = EpochSettings {
            propose_delay_ms: TICK_MS,
            gossip_interval_ms: TICK_MS - 1,
            settled_gossip_interval_ms: 2 * TICK_MS,
            store_timeout_ms: STORE_TIMEOUT_MS,
            read_retry_ms: 100,
            safe_term_ms: freshness.safe_term().as_millis() as u64 + 1,
            ..EpochSettings::default()
        };
        let node = self.registered[slot].node.clone();
        self.slots[slot] = Some(Process {
            keeper: EpochKeeper::new(epochs, node.clone(), slot as u64),
            guard: FreshnessGuard::new(freshness, node.clone(), slot as u64),
            node,
            paused: false,
            epoch: Epoch(0),
        });
    }

    pub fn crash(&mut self, slot: usize) {
        let process = self.slots[slot].take();
        self.dead.extend(process.map(|process| process.node));
    }

    pub fn restart(&mut self, slot: usize) {
        self.crash(slot);
        let node = &mut self.registered[slot].node;
        node.incarnation = Incarnation(node.incarnation.0 + 1);
        self.start(slot);
    }

    /// Sets the candidates for membership of one node; any set must be safe.
    pub fn set_candidates(&mut self, slot: usize, mask: u8) {
        let is_candidate = |record: &&MemberRecord| mask >> index_of(&record.node) & 1 == 1;
        let candidates: Vec<_> = self
            .registered
            .iter()
            .filter(is_candidate)
            .cloned()
            .collect();
        if let Some(process) = &mut self.slots[slot] {
            process.keeper.set_candidates(candidates);
        }
    }

    pub fn set_all_candidates(&mut self) {
        let up = (0..SLOTS).filter(|slot| self.slots[*slot].is_some());
        let mask = up.fold(0, |mask, slot| mask | 1 << slot);
        (0..SLOTS).for_each(|slot| self.set_candidates(slot, mask));
    }

    pub fn act(&mut self, slot: usize, actions: Vec<EpochAction>) {
        let Some(process) = &mut self.slots[slot] else {
            return;
        };
        let node = process.node.clone();
        for action in actions {
            match action {
                EpochAction::Entered(epoch) => {
                    assert!(epoch > process.epoch, "{epoch} after {}", process.epoch);
                    process.epoch = epoch;
                    let members = process.keeper.nodes().to_vec();
                    process.guard.set_epoch(epoch, members);
                }
                EpochAction::Settled(_) | EpochAction::Superseded(_) => {}
                EpochAction::ReadRow => {
                    let answer = Answer::Row(self.now, self.store.read());
                    let due = self.now + self.queue.draw() % 80;
                    self.answers.push((due, node.clone(), answer));
                }
                EpochAction::Commit { call, transaction } => {
                    let random = self.queue.draw();
                    let outcome = self.store.commit(self.now, random, transaction);
                    // Some outcomes arrive long after the keeper has dropped the call.
                    let late = random.is_multiple_of(7).then_some(2 * STORE_TIMEOUT_MS);
                    let due = self.now + random % 80 + late.unwrap_or(0);
                    let answer = Answer::Commit(call, outcome);
                    self.answers.push((due, node.clone(), answer));
                }
                EpochAction::Send { to, message } => {
                    let index = index_of(&to);
                    let flight = (node.clone(), to, Message::Epoch(message));
                    self.queue.send(self.now, slot, index, flight);
                }
            }
        }
    }

    pub fn send_freshness(&mut self, slot: usize, actions: Vec<FreshnessAction>) {
        let node = self.registered[slot].node.clone();
        for FreshnessAction::Send { to, message } in actions {
            let index = index_of(&to);
            let flight = (node.clone(), to, Message::Freshness(message));
            self.queue.send(self.now, slot, index, flight);
        }
    }

    /// Returns the process if this start of it runs; callers defer messages to a paused one.
    pub fn running(&mut self, node: &NodeId) -> Option<&mut Process> {
        let process = self.slots[index_of(node)].as_mut();
        process.filter(|process| process.node == *node)
    }

    pub fn deliver_messages(&mut self) {
        let without_epoch_messages = self.without_epoch_messages;
        for flight in self.queue.arrivals(self.now) {
            let (from, to, message) = flight.message.clone();
            let clock = clock_of(flight.to, self.now);
            let Some(process) = self.running(&to) else {
                continue;
            };
            if process.paused {
                self.queue.in_flight.push(flight);
                continue;
            }
            match message {
                Message::Epoch(_) if without_epoch_messages == Some(flight.to) => {}
                Message::Epoch(message) => {
                    let actions = process.keeper.handle(&from, message);
                    self.act(flight.to, actions);
                }
                Message::Freshness(message) => {
                    let actions = process.guard.handle(clock, &from, message);
                    self.send_freshness(flight.to, actions);
                }
            }
        }
    }

    pub fn deliver_answers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .answers
            .extract_if(.., |entry| entry.0 <= now)
            .collect();
        for (due, node, answer) in due {
            let slot = index_of(&node);
            let Some(process) = self.running(&node) else {
                continue;
            };
            if process.paused {
                self.answers.push((due, node, answer));
                continue;
            }
            let actions = match answer {
                Answer::Row(started, read) => {
                    if let Ok(Some(row)) = &read {
                        let shown: EpochRow = serde_json::from_value(row.value.clone()).unwrap();
                        process
                            .guard
                            .record_read(clock_of(slot, started), shown.epoch);
                    }
                    process.keeper.on_row(read)
                }
                Answer::Commit(call, outcome) => process.keeper.on_commit(call, outcome),
            };
            self.act(slot, actions);
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        let late: Vec<_> = self
            .store
            .late
            .extract_if(.., |entry| entry.0 <= now)
            .collect();
        for (_, transaction) in late {
            self.store.apply(&transaction);
        }
        self.deliver_messages();
        self.deliver_answers();
        for slot in 0..SLOTS {
            let Some(process) = self.slots[slot].as_mut().filter(|process| !process.paused) else {
                continue;
            };
            let clock = clock_of(slot, self.now);
            let pings = process.guard.tick(clock);
            let mut actions = process.keeper.tick(clock);
            if slot < 2 && self.now.is_multiple_of(POLL_MS) {
                actions.push(EpochAction::ReadRow);
            }
            self.send_freshness(slot, pings);
            self.act(slot, actions);
        }
    }

    pub fn run(&mut self, duration: u64) {
        (0..duration / TICK_MS).for_each(|_| self.tick());
    }

    /// Returns the units of a budget that all running processes may use now.
    pub fn used(&self, key: &[u8]) -> u64 {
        let running = self.slots.iter().enumerate();
        let used = running.filter_map(|(slot, process)| {
            let process = process.as_ref().filter(|process| !process.paused)?;
            let state = process.guard.check_shares(clock_of(slot, self.now));
            let basis = process.keeper.basis();
            let share = basis.share_of(key, TOTAL, 2, &process.node);
            Some(if state.allows_work() { share } else { 0 })
        });
        used.sum()
    }

    pub fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Run(ticks) => {
                for _ in 0..ticks {
                    self.tick();
                    for key in KEYS {
                        let used = self.used(key);
                        prop_assert!(used <= TOTAL, "{used} of {TOTAL} in use at {}", self.now);
                    }
                }
            }
            Step::SetCandidates(slot, mask) => self.set_candidates(slot, mask),
            Step::Crash(slot) => self.crash(slot),
            Step::Restart(slot) => self.restart(slot),
            Step::Pause(slot, paused) => {
                if let Some(process) = &mut self.slots[slot] {
                    process.paused = paused;
                }
            }
            Step::ReportStopped(slot) => {
                let dead = self.dead.clone();
                if let Some(process) = &mut self.slots[slot] {
                    process.keeper.set_stopped_nodes(dead);
                }
            }
            Step::BlockLink(from, to) => {
                self.queue.blocked_links.insert((from, to));
            }
            Step::Heal => self.queue.blocked_links.clear(),
            Step::Store {
                down,
                loses_answers,
            } => {
                self.store.down = down;
                self.store.loses_answers = loses_answers;
            }
            Step::Faults(faults) => self.queue.faults = faults,
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    Run(u64),
    SetCandidates(usize, u8),
    Crash(usize),
    Restart(usize),
    Pause(usize, bool),
    ReportStopped(usize),
    BlockLink(usize, usize),
    Heal,
    Store { down: bool, loses_answers: bool },
    Faults(NetworkFaults),
}

pub fn step() -> impl Strategy<Value = Step> {
    let store = |(down, loses_answers)| Step::Store {
        down,
        loses_answers,
    };
    let faults = (0_u64..6, 0_u64..6, 0_u64..300).prop_map(|(drop, duplicate, delay)| {
        Step::Faults(NetworkFaults {
            drop_one_in: if drop == 0 { 0 } else { drop + 1 },
            duplicate_one_in: duplicate,
            max_delay: delay,
        })
    });
    prop_oneof![
        6 => (1_u64..8).prop_map(Step::Run),
        3 => (0..SLOTS, 1_u8..16).prop_map(|(slot, mask)| Step::SetCandidates(slot, mask)),
        1 => (0..SLOTS).prop_map(Step::Crash),
        1 => (0..SLOTS).prop_map(Step::Restart),
        2 => (0..SLOTS, any::<bool>()).prop_map(|(slot, paused)| Step::Pause(slot, paused)),
        1 => (0..SLOTS).prop_map(Step::ReportStopped),
        2 => (0..SLOTS, 0..SLOTS).prop_map(|(from, to)| Step::BlockLink(from, to)),
        1 => Just(Step::Heal),
        1 => (any::<bool>(), any::<bool>()).prop_map(store),
        1 => faults,
    ]
}
