//! Claim logs of a few nodes over a network that loses, duplicates and reorders messages.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use damaskloom_lib::claim_action::{ClaimAction, ClaimLimits, RowRead, RowWrite};
use damaskloom_lib::claim_client::{
    ClaimAssignment, ClaimClient, ClaimClientAction, ClaimDecision, ClaimTimes,
};
use damaskloom_lib::claim_log::ClaimLog;
use damaskloom_lib::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimRow, ClaimTicket, RequestId,
    RetainedAnswer,
};
use damaskloom_lib::ids::{DataCentreId, Epoch, Incarnation, NodeId};
use damaskloom_lib::outcome::Execution;
use damaskloom_lib::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const VMS: usize = 4;
const DATA_CENTRES: usize = 2;
const REQUESTS: usize = 3;

pub fn node(vm: usize, incarnation: u64) -> NodeId {
    NodeId {
        vm: format!("vm{vm}")
            .parse()
            .expect("the name is an identifier"),
        incarnation: Incarnation(incarnation),
    }
}

pub fn data_centre(vm: usize) -> DataCentreId {
    let name = format!("dc{}", vm % DATA_CENTRES);
    name.parse().expect("the name is an identifier")
}

pub fn key(request: usize) -> ClaimKey {
    ClaimKey {
        customer: "acme".parse().expect("the name is an identifier"),
        request_id: RequestId::try_from(format!("r{request}")).expect("the id is short"),
    }
}

pub fn fingerprint(content: usize) -> BodyFingerprint {
    BodyFingerprint::of([content.to_le_bytes().as_slice()])
}

type Member = (NodeId, usize);

struct FleetNode {
    id: NodeId,
    vm: usize,
    log: ClaimLog,
    client: ClaimClient,
    epoch: usize,
    granted: Vec<(ClaimTicket, usize, usize)>,
    requested: HashMap<ClaimTicket, (usize, usize)>,
}

enum StoreCall {
    Write(NodeId, ClaimKey, ClaimRow),
    Read(NodeId, ClaimKey),
    Delete(ClaimKey, ClaimTicket),
    /// A write that takes effect after its answer was reported lost.
    Late(ClaimKey, ClaimRow),
}

/// The fleet with the results of its history.
pub struct ClaimFleet {
    rng: SmallRng,
    /// The percentage of fault events that take place.
    fault_percent: u32,
    now: MonoTime,
    nodes: Vec<Option<FleetNode>>,
    starts: Vec<u64>,
    epochs: Vec<Vec<Member>>,
    network: Vec<(NodeId, NodeId, ClaimMessage)>,
    store: BTreeMap<ClaimKey, ClaimRow>,
    store_up: bool,
    /// Whether messages are lost and duplicated: 1 of 10 each, or none.
    losses: u32,
    requests: usize,
    calls: Vec<StoreCall>,
    first_sent: HashMap<usize, MonoTime>,
    pub executions: HashMap<usize, Vec<usize>>,
    pub false_not_run: u32,
}

impl ClaimFleet {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (fault_percent, requests) = (rng.random_range(0..=100), rng.random_range(1..=REQUESTS));
        let mut fleet = Self {
            fault_percent,
            rng,
            now: MonoTime::from_millis(1_000_000),
            nodes: Vec::new(),
            starts: vec![0; VMS],
            epochs: Vec::new(),
            network: Vec::new(),
            store: BTreeMap::new(),
            store_up: true,
            losses: 1,
            requests,
            calls: Vec::new(),
            first_sent: HashMap::new(),
            executions: HashMap::new(),
            false_not_run: 0,
        };
        fleet.nodes = (0..VMS).map(|vm| Some(new_node(vm, 0))).collect();
        fleet
            .epochs
            .push((0..VMS).map(|vm| (node(vm, 0), vm)).collect());
        for vm in 0..VMS {
            fleet.learn_epoch(vm);
        }
        fleet
    }

    /// Runs a history of random events, then delivers all remaining messages and calls.
    pub fn run(&mut self, events: usize) {
        for _ in 0..events {
            self.random_event();
        }
        for _ in 0..40 {
            self.advance(50);
            while !self.network.is_empty() || !self.calls.is_empty() {
                self.deliver();
                self.store_call();
            }
            (0..VMS).for_each(|vm| self.run_granted(vm));
        }
    }

    fn random_event(&mut self) {
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..100) {
            0..16 => self.send(vm),
            16..30 => self.settle(),
            30..55 => self.deliver(),
            55..65 => self.store_call(),
            65..72 => self.run_granted(vm),
            72..80 => {
                let millis = self.rng.random_range(1..200);
                self.advance(millis);
            }
            _ if self.rng.random_range(0..100) < self.fault_percent => self.fault(vm),
            _ => {}
        }
    }

    /// Delivers most of the pending messages and calls, without losses.
    fn settle(&mut self) {
        self.losses = 0;
        for _ in 0..10 {
            (0..4).for_each(|_| self.deliver());
            self.store_call();
        }
        let vm = self.rng.random_range(0..VMS);
        self.run_granted(vm);
        self.losses = 1;
    }

    fn fault(&mut self, vm: usize) {
        match self.rng.random_range(0..24) {
            0..3 => self.crash(vm),
            20..24 => self.replace(vm),
            3..5 => self.restart(vm),
            5..8 => self.change_epoch(),
            8..12 => self.learn_epoch(vm),
            12..15 => self.report_lost(vm),
            15..20 => self.toggle_store(),
            _ => {
                let millis = self.rng.random_range(1_000..30_000);
                self.advance(millis);
            }
        }
    }

    fn send(&mut self, vm: usize) {
        let request = self.rng.random_range(0..self.requests);
        let content = usize::from(self.rng.random_range(0..10) == 0);
        let now = self.now;
        let first = *self.first_sent.entry(request).or_insert(now);
        // Callers retry for less than the time for which claims are kept.
        if now.since(first) > ClaimLimits::default().retention / 3 {
            return;
        }
        let Some(node) = &mut self.nodes[vm] else {
            return;
        };
        let members = &self.epochs[node.epoch];
        let assignment = assign(node.epoch, members, request);
        let (ticket, actions) =
            node.client
                .claim(now, key(request), fingerprint(content), assignment);
        node.requested.insert(ticket, (request, content));
        self.client_actions(vm, actions);
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.network.len());
        let (from, to, message) = match self.rng.random_range(0..10) {
            0 if self.losses > 0 => {
                self.network.swap_remove(index);
                return;
            }
            1 if self.losses > 0 => self.network[index].clone(),
            _ => self.network.swap_remove(index),
        };
        let now = self.now;
        let Some(vm) = self.vm_of(&to) else {
            return;
        };
        let node = self.nodes[vm].as_mut().expect("the node is alive");
        let to_client = node.client.handle(now, message.clone());
        let to_log = node.log.handle(now, &from, message);
        self.client_actions(vm, to_client);
        self.log_actions(vm, to_log);
    }

    fn vm_of(&self, id: &NodeId) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(|node| node.id == *id))
    }

    fn client_actions(&mut self, vm: usize, actions: Vec<ClaimClientAction>) {
        for action in actions {
            let node = self.nodes[vm].as_mut().expect("the node is alive");
            match action {
                ClaimClientAction::Send { to, message } => {
                    self.network.push((node.id.clone(), to, message));
                }
                ClaimClientAction::Decide { ticket, decision } => {
                    let (request, content) = node.requested[&ticket];
                    match decision {
                        ClaimDecision::Run => node.granted.push((ticket, request, content)),
                        ClaimDecision::Refuse(_) | ClaimDecision::Answer(_) => {}
                    }
                }
            }
        }
    }

    fn log_actions(&mut self, vm: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            let node = self.nodes[vm].as_ref().expect("the node is alive");
            let id = node.id.clone();
            match action {
                ClaimAction::Send { to, message } => {
                    self.check_not_run(&message);
                    self.network.push((id, to, message));
                }
                ClaimAction::WriteRow { key, row } => {
                    self.calls.push(StoreCall::Write(id, key, row));
                }
                ClaimAction::ReadRow { key } => self.calls.push(StoreCall::Read(id, key)),
                ClaimAction::DeleteRow { key, ticket } => {
                    self.calls.push(StoreCall::Delete(key, ticket));
                }
                ClaimAction::SendHandover { to } => {
                    let members = &self.epochs[node.epoch];
                    let epoch = node.epoch;
                    let message = node.log.handover(self.now, |held| {
                        (0..REQUESTS).any(|request| {
                            *held == key(request) && assign(epoch, members, request).owner == to
                        })
                    });
                    self.network.push((id, to, message));
                }
            }
        }
    }

    /// Counts an answer "not run" for a request that had already run.
    fn check_not_run(&mut self, message: &ClaimMessage) {
        let ClaimMessage::Unavailable {
            key: refused,
            execution: Execution::NotRun,
            ..
        } = message
        else {
            return;
        };
        let ran = self
            .executions
            .keys()
            .any(|request| key(*request) == *refused);
        self.false_not_run += u32::from(ran);
    }

    fn store_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.calls.len());
        let draw = self.rng.random_range(0..10);
        match self.calls.swap_remove(index) {
            StoreCall::Write(id, key, row) => {
                let outcome = self.write_row(&key, row, draw);
                if let Some(vm) = self.vm_of(&id) {
                    let node = self.nodes[vm].as_mut().expect("the node is alive");
                    let actions = node.log.row_written(self.now, &key, outcome);
                    self.log_actions(vm, actions);
                }
            }
            StoreCall::Read(id, key) => {
                let outcome = match (self.store_up && draw > 0, self.store.get(&key)) {
                    (false, _) => RowRead::Failed,
                    (true, Some(row)) => RowRead::Found(row.clone()),
                    (true, None) => RowRead::Absent,
                };
                if let Some(vm) = self.vm_of(&id) {
                    let node = self.nodes[vm].as_mut().expect("the node is alive");
                    let actions = node.log.row_read(self.now, &key, outcome);
                    self.log_actions(vm, actions);
                }
            }
            StoreCall::Delete(key, ticket) if self.store_up => {
                if self.store.get(&key).is_some_and(|row| row.ticket == ticket) {
                    self.store.remove(&key);
                }
            }
            StoreCall::Delete(..) => {}
            StoreCall::Late(key, row) => {
                self.store.entry(key).or_insert(row);
            }
        }
    }

    fn write_row(&mut self, key: &ClaimKey, row: ClaimRow, draw: u32) -> RowWrite {
        if !self.store_up {
            return RowWrite::Unavailable;
        }
        if draw == 0 {
            self.calls.push(StoreCall::Late(key.clone(), row));
            return RowWrite::AnswerLost;
        }
        let outcome = match self.store.contains_key(key) {
            true => RowWrite::Conflict,
            false => RowWrite::Committed,
        };
        self.store.entry(key.clone()).or_insert(row);
        match draw {
            1 | 2 => RowWrite::AnswerLost,
            _ => outcome,
        }
    }

    fn run_granted(&mut self, vm: usize) {
        let draw = self.rng.random_range(0..10);
        let Some(node) = &mut self.nodes[vm] else {
            return;
        };
        let Some((ticket, request, content)) = node.granted.pop() else {
            return;
        };
        let runs = draw > 1 && node.client.may_run(self.now, &ticket);
        let result = match (runs, draw) {
            (false, _) => ClaimResult::NotRun,
            (true, 2 | 3) => ClaimResult::Unknown,
            (true, _) => ClaimResult::Answered(RetainedAnswer {
                status: 200,
                headers: Vec::new(),
                body: "booked".into(),
            }),
        };
        if runs {
            self.executions.entry(request).or_default().push(content);
        }
        let actions = node.client.complete(self.now, &ticket, result);
        self.client_actions(vm, actions);
    }

    fn crash(&mut self, vm: usize) {
        self.nodes[vm] = None;
    }

    fn restart(&mut self, vm: usize) {
        if self.nodes[vm].is_none() {
            self.starts[vm] += 1;
            let mut node = new_node(vm, self.starts[vm]);
            node.epoch = self.epochs.len() - 1;
            self.nodes[vm] = Some(node);
        }
    }

    /// Crashes or restarts at most one node, and informs most nodes of a new assignment.
    fn replace(&mut self, vm: usize) {
        match self.rng.random_range(0..3) {
            0 => self.crash(vm),
            1 => self.restart(vm),
            _ => {}
        }
        self.change_epoch();
        for vm in 0..VMS {
            if self.rng.random_range(0..8) > 0 {
                self.learn_epoch(vm);
                self.report_lost(vm);
            }
        }
    }

    /// Writes a new assignment, if the store is available.
    fn change_epoch(&mut self) {
        let live: Vec<Member> = self
            .nodes
            .iter()
            .flatten()
            .map(|node| (node.id.clone(), node.vm))
            .collect();
        if self.store_up && !live.is_empty() {
            self.epochs.push(live);
        }
    }

    fn learn_epoch(&mut self, vm: usize) {
        let latest = self.epochs.len() - 1;
        let Some(node) = &mut self.nodes[vm] else {
            return;
        };
        if !self.epochs[latest].iter().any(|(id, _)| *id == node.id) {
            return;
        }
        // The epoch before the first has no members.
        let sources: Vec<_> = match latest {
            0 => Vec::new(),
            _ => self.epochs[node.epoch.min(latest - 1)..latest].concat(),
        };
        let sources = sources.into_iter().filter(|(id, _)| *id != node.id);
        let sources = sources.map(|(id, vm)| (id, data_centre(vm)));
        let epoch = Epoch(latest as u64 + 1);
        node.epoch = latest;
        let actions = node.log.enter_epoch(self.now, epoch, sources);
        self.log_actions(vm, actions);
    }

    fn report_lost(&mut self, vm: usize) {
        let members: Vec<Member> = self.epochs.concat();
        let lost = members.iter().filter(|(id, _)| self.vm_of(id).is_none());
        let lost: Vec<NodeId> = lost.map(|(id, _)| id.clone()).collect();
        if let Some(node) = &mut self.nodes[vm] {
            lost.iter()
                .for_each(|id| node.log.source_lost(self.now, id));
        }
    }

    fn toggle_store(&mut self) {
        self.store_up = !self.store_up;
        if self.store_up {
            let nodes = self.nodes.iter_mut().flatten();
            nodes.for_each(|node| node.log.store_recovered());
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for vm in 0..VMS {
            // A node that is paused does not tick.
            let is_paused = self.rng.random_range(0..5) == 0;
            if let Some(node) = self.nodes[vm].as_mut().filter(|_| !is_paused) {
                let to_client = node.client.tick(self.now);
                let to_log = node.log.tick(self.now);
                self.client_actions(vm, to_client);
                self.log_actions(vm, to_log);
            }
        }
    }
}

fn new_node(vm: usize, incarnation: u64) -> FleetNode {
    let id = node(vm, incarnation);
    FleetNode {
        log: ClaimLog::new(id.clone(), ClaimLimits::default()),
        client: ClaimClient::new(id.clone(), ClaimTimes::default()),
        id,
        vm,
        epoch: 0,
        granted: Vec::new(),
        requested: HashMap::new(),
    }
}

fn assign(epoch: usize, members: &[Member], request: usize) -> ClaimAssignment {
    let first = (request * 7 + epoch) % members.len();
    let (owner, owner_vm) = &members[first];
    let others = members.iter().cycle().skip(first).take(members.len());
    let mut others = others.filter(|(_, vm)| data_centre(*vm) != data_centre(*owner_vm));
    ClaimAssignment {
        epoch: Epoch(epoch as u64 + 1),
        owner: owner.clone(),
        copy_holder: others.next().map(|(id, _)| id.clone()),
    }
}
