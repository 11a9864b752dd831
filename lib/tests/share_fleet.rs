//! Rate limiters of a few nodes that exchange messages over a simulated network, on virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use damaskloom_lib::budget::{BudgetId, BudgetTerms, BudgetView, EpochView, SplitMode, split};
use damaskloom_lib::ids::{CustomerId, Epoch, NodeId};
use damaskloom_lib::loan::EscrowMessage;
use damaskloom_lib::rate_limiter::{
    LimitPolicy, LimiterAction, RateDecision, RateLimiter, WaitTicket,
};
use damaskloom_lib::time::MonoTime;

use crate::escrow_network::{EscrowNetwork, node_id};

/// A node with its limiter, its clock and the epochs that it knows.
pub struct FleetNode {
    pub id: NodeId,
    pub limiter: RateLimiter,
    /// The speed of the node's clock relative to true time, in millionths.
    pub clock_ppm: u64,
    pub paused_until: u64,
    pub is_alive: bool,
    known_epoch: usize,
    settled_epoch: usize,
    held_since: BTreeMap<CustomerId, MonoTime>,
    waiting: BTreeMap<WaitTicket, (CustomerId, u64)>,
}

impl FleetNode {
    fn local_time(&self, true_micros: u64) -> MonoTime {
        const CLOCK_ORIGIN_MICROS: u64 = 100_000_000_000;
        let passed = u128::from(true_micros) * u128::from(self.clock_ppm) / 1_000_000;
        MonoTime::from_micros(CLOCK_ORIGIN_MICROS + passed as u64)
    }
}

#[derive(Clone, Copy, Default)]
pub struct FleetCounts {
    pub admitted: u64,
    pub refused: u64,
    pub waited: u64,
    pub wait_micros: u64,
}

pub struct ShareFleet {
    pub now: u64,
    pub nodes: Vec<FleetNode>,
    pub terms: BTreeMap<CustomerId, BudgetTerms>,
    pub net: EscrowNetwork,
    pub admissions: BTreeMap<CustomerId, Vec<u64>>,
    pub counts: FleetCounts,
    pub refusals: Vec<(u64, CustomerId)>,
    pub tick_micros: u64,
    policy: LimitPolicy,
    epochs: Vec<Vec<NodeId>>,
    holders: RefCell<BTreeMap<(usize, CustomerId), Vec<NodeId>>>,
    next_tick: u64,
}

impl ShareFleet {
    pub fn new(count: usize, policy: LimitPolicy, seed: u64) -> Self {
        let ids: Vec<NodeId> = (0..count).map(|index| node_id(index, 1)).collect();
        let nodes = ids.iter().map(|id| new_node(id, policy)).collect();
        Self {
            now: 0,
            nodes,
            terms: BTreeMap::new(),
            net: EscrowNetwork::new(seed),
            admissions: BTreeMap::new(),
            counts: FleetCounts::default(),
            refusals: Vec::new(),
            tick_micros: 10_000,
            policy,
            epochs: vec![ids],
            holders: RefCell::default(),
            next_tick: 0,
        }
    }

    fn holders(&self, epoch: usize, customer: &CustomerId) -> Vec<NodeId> {
        let mut holders = self.holders.borrow_mut();
        let ranked = || rank_holders(&self.epochs[epoch], customer, self.policy);
        let key = (epoch, customer.clone());
        holders.entry(key).or_insert_with(ranked).clone()
    }

    fn view(&self, index: usize, customer: &CustomerId) -> BudgetView {
        let node = &self.nodes[index];
        let holders = |epoch: usize| self.holders(epoch, customer);
        BudgetView {
            epoch: EpochView {
                epoch: Epoch(node.known_epoch as u64),
                holders: holders(node.known_epoch),
                unsettled: (node.settled_epoch..node.known_epoch)
                    .map(holders)
                    .collect(),
                held_since: node.held_since.get(customer).copied().unwrap_or_default(),
            },
            terms: self.terms[customer],
            ..BudgetView::default()
        }
    }

    /// Sends one request of `customer` to a node; returns whether it was admitted, if that is
    /// decided at once.
    pub fn request(&mut self, index: usize, customer: &CustomerId) -> Option<bool> {
        let is_down = !self.nodes[index].is_alive || self.nodes[index].paused_until > self.now;
        if is_down {
            return None;
        }
        let is_known = self.nodes[index].limiter.bucket(customer).is_some();
        let view = (!is_known).then(|| self.view(index, customer));
        let view = || view.expect("the customer has no state yet");
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        let now = node.local_time(self.now);
        let decision = node.limiter.admit(now, customer, view, &mut actions);
        let verdict = match decision {
            RateDecision::Admit => {
                self.record_admission(customer.clone());
                Some(true)
            }
            RateDecision::Refuse { .. } => {
                self.record_refusal(customer.clone());
                Some(false)
            }
            RateDecision::Wait { ticket, .. } => {
                let waiting = (customer.clone(), self.now);
                self.nodes[index].waiting.insert(ticket, waiting);
                self.counts.waited += 1;
                None
            }
        };
        self.perform(index, actions);
        verdict
    }

    fn record_admission(&mut self, customer: CustomerId) {
        self.counts.admitted += 1;
        self.admissions.entry(customer).or_default().push(self.now);
    }

    fn record_refusal(&mut self, customer: CustomerId) {
        self.counts.refused += 1;
        self.refusals.push((self.now, customer));
    }

    fn perform(&mut self, index: usize, actions: Vec<LimiterAction>) {
        for action in actions {
            match action {
                LimiterAction::Send { to, message } => self.send(index, to, message),
                LimiterAction::Admit(ticket) => {
                    let waiting = self.nodes[index].waiting.remove(&ticket);
                    let (customer, since) = waiting.expect("a ticket is answered once");
                    self.counts.wait_micros += self.now - since;
                    self.record_admission(customer);
                }
                LimiterAction::Refuse { ticket, .. } => {
                    let waiting = self.nodes[index].waiting.remove(&ticket);
                    let (customer, _) = waiting.expect("a ticket is answered once");
                    self.record_refusal(customer);
                }
            }
        }
    }

    fn send(&mut self, index: usize, to: NodeId, message: EscrowMessage) {
        let target = self.nodes.iter().position(|node| node.id.vm == to.vm);
        let link = (index, target.expect("messages go to nodes of the fleet"));
        let from = self.nodes[index].id.clone();
        self.net.send(self.now, link, from, message);
    }

    /// Runs the fleet for the given time.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        loop {
            let next_message = self.net.next_at();
            let next = next_message.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if next_message.is_some_and(|at| at <= self.now) {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    fn deliver(&mut self) {
        let Some((index, from, message)) = self.net.pop() else {
            return;
        };
        let node = &self.nodes[index];
        if !node.is_alive {
            return;
        }
        if node.paused_until > self.now {
            self.net.defer(node.paused_until, index, from, message);
            return;
        }
        let BudgetId::CustomerRate(customer) = message.budget() else {
            return;
        };
        let is_known = self.nodes[index].limiter.bucket(customer).is_some();
        let view = (!is_known).then(|| self.view(index, customer));
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        let now = node.local_time(self.now);
        node.limiter
            .handle(now, &from, &message, || view, &mut actions);
        self.perform(index, actions);
    }

    fn tick(&mut self) {
        self.next_tick = self.now + self.tick_micros;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.is_alive || node.paused_until > self.now {
                continue;
            }
            let mut actions = Vec::new();
            let now = node.local_time(self.now);
            node.limiter.tick(now, &mut actions);
            self.perform(index, actions);
        }
    }

    /// Restarts the process on a VM without its state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].id.incarnation.0 + 1;
        let id = node_id(index, incarnation);
        let newest = self.epochs.len() - 1;
        let mut node = new_node(&id, self.policy);
        node.clock_ppm = self.nodes[index].clock_ppm;
        node.known_epoch = newest;
        node.settled_epoch = self
            .nodes
            .iter()
            .map(|n| n.settled_epoch)
            .min()
            .unwrap_or(0);
        self.nodes[index] = node;
    }

    /// Writes an epoch with the processes that are alive; no node knows it yet.
    pub fn write_epoch(&mut self) {
        let alive = self.nodes.iter().filter(|node| node.is_alive);
        self.epochs
            .push(alive.map(|node| node.id.clone()).collect());
    }

    /// Informs a node of the newest epoch.
    pub fn learn_epoch(&mut self, index: usize) {
        self.nodes[index].known_epoch = self.epochs.len() - 1;
        self.adopt(index);
    }

    /// Informs a node that every live member uses the newest epoch, if that is so.
    pub fn learn_settled(&mut self, index: usize) {
        let newest = self.epochs.len() - 1;
        let is_settled = self.nodes.iter().filter(|node| node.is_alive).all(|node| {
            let is_earlier = node.known_epoch == newest;
            is_earlier && node.limiter.conforms()
        });
        if !is_settled || self.nodes[index].settled_epoch == newest {
            return;
        }
        let customers: Vec<_> = self.terms.keys().cloned().collect();
        let known = self.nodes[index].settled_epoch;
        for customer in customers {
            let share = |epoch: usize| {
                let holders = self.holders(epoch, &customer);
                let terms = &self.terms[&customer];
                split(terms, &holders, &self.nodes[index].id, SplitMode::Owners)
            };
            let grew = (known..newest).any(|epoch| !share(epoch).covers(share(newest)));
            if grew {
                let node = &mut self.nodes[index];
                let now = node.local_time(self.now);
                node.held_since.insert(customer, now);
            }
        }
        self.nodes[index].settled_epoch = newest;
        self.adopt(index);
    }

    /// Passes a node's current views and terms to its limiter.
    pub fn adopt(&mut self, index: usize) {
        let customers: Vec<_> = self.nodes[index].limiter.customers().cloned().collect();
        for customer in customers {
            let view = self.view(index, &customer);
            let mut actions = Vec::new();
            let node = &mut self.nodes[index];
            let now = node.local_time(self.now);
            node.limiter.adopt(now, &customer, view, &mut actions);
            self.perform(index, actions);
        }
    }

    /// Returns the number of admitted requests that a single bucket with these terms would refuse.
    pub fn over_admitted(&self, customer: &CustomerId, terms: &BudgetTerms) -> u64 {
        let empty = Vec::new();
        let times = self.admissions.get(customer).unwrap_or(&empty);
        reference_refusals(times, terms).len() as u64
    }
}

/// Returns the arrivals that a single bucket for the whole fleet would refuse.
pub fn reference_refusals(times: &[u64], terms: &BudgetTerms) -> Vec<u64> {
    const SCALE: u128 = 1_000_000;
    let capacity = u128::from(terms.capacity.0) * SCALE;
    let one = SCALE * SCALE;
    let (mut level, mut last) = (capacity, 0);
    let mut refused = Vec::new();
    for &at in times {
        level = capacity.min(level + u128::from(terms.refill.0) * u128::from(at - last));
        last = at;
        match level.checked_sub(one) {
            Some(rest) => level = rest,
            None => refused.push(at),
        }
    }
    refused
}

fn new_node(id: &NodeId, policy: LimitPolicy) -> FleetNode {
    FleetNode {
        id: id.clone(),
        limiter: RateLimiter::new(id.clone(), policy),
        clock_ppm: 1_000_000,
        paused_until: 0,
        is_alive: true,
        known_epoch: 0,
        settled_epoch: 0,
        held_since: BTreeMap::new(),
        waiting: BTreeMap::new(),
    }
}

fn rank_holders(members: &[NodeId], customer: &CustomerId, policy: LimitPolicy) -> Vec<NodeId> {
    let mut holders = members.to_vec();
    if policy == LimitPolicy::Escrow {
        holders.sort_by_key(|node| {
            let mut hasher = DefaultHasher::new();
            (&node.vm, customer).hash(&mut hasher);
            hasher.finish()
        });
    }
    holders
}
