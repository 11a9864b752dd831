//! Slot pools of a few nodes that exchange messages over a simulated network, on virtual time.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use damaskloom_lib::budget::{BudgetId, BudgetTerms, BudgetView, EpochView};
use damaskloom_lib::ids::{Epoch, NodeId, Revision};
use damaskloom_lib::slot_pool::{SlotAction, SlotPool, SlotTicket};
use damaskloom_lib::time::MonoTime;

use crate::escrow_network::{EscrowNetwork, node_id};

/// A unit in use, with its deadline by the node's own clock.
pub struct HeldSlot {
    pub ticket: SlotTicket,
    pub deadline: MonoTime,
}

pub struct SlotNode {
    pub id: NodeId,
    pub pool: SlotPool,
    /// The speed of the node's clock relative to true time, in millionths.
    pub clock_ppm: u64,
    pub paused_until: u64,
    pub held: Vec<HeldSlot>,
}

impl SlotNode {
    pub fn local_time(&self, true_micros: u64) -> MonoTime {
        let passed = u128::from(true_micros) * u128::from(self.clock_ppm) / 1_000_000;
        MonoTime::from_micros(passed as u64)
    }
}

pub struct SlotFleet {
    pub now: u64,
    pub nodes: Vec<SlotNode>,
    pub net: EscrowNetwork,
    pub tick_micros: u64,
    /// The nodes and budgets whose units became free.
    pub available: Vec<(usize, BudgetId)>,
    views: BTreeMap<BudgetId, BudgetView>,
    next_tick: u64,
}

impl SlotFleet {
    pub fn new(count: usize, targets: usize, slots: u32, seed: u64) -> Self {
        let nodes: Vec<SlotNode> = (0..count)
            .map(|index| SlotNode {
                id: node_id(index, 1),
                pool: SlotPool::new(node_id(index, 1)),
                clock_ppm: 1_000_000,
                paused_until: 0,
                held: Vec::new(),
            })
            .collect();
        let views = (0..targets)
            .map(|target| {
                let budget = budget(target);
                let mut holders: Vec<_> = nodes.iter().map(|node| node.id.clone()).collect();
                holders.sort_by_key(|node| {
                    let mut hasher = DefaultHasher::new();
                    (node, &budget).hash(&mut hasher);
                    hasher.finish()
                });
                let epoch = EpochView {
                    epoch: Epoch(1),
                    holders,
                    ..EpochView::default()
                };
                let terms = BudgetTerms::from_units(Revision(1), slots);
                (
                    budget,
                    BudgetView {
                        epoch,
                        terms,
                        ..BudgetView::default()
                    },
                )
            })
            .collect();
        Self {
            now: 0,
            nodes,
            net: EscrowNetwork::new(seed),
            tick_micros: 10_000,
            available: Vec::new(),
            views,
            next_tick: 0,
        }
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.nodes[index].paused_until > self.now
    }

    /// Occupies a unit for a time, or requests one.
    pub fn acquire(&mut self, index: usize, budget: &BudgetId, span: u64) -> bool {
        self.acquire_or_request(index, budget, span, true)
    }

    /// Occupies a unit for a time if the node holds a free one.
    pub fn try_acquire(&mut self, index: usize, budget: &BudgetId, span: u64) -> bool {
        self.acquire_or_request(index, budget, span, false)
    }

    fn acquire_or_request(
        &mut self,
        index: usize,
        budget: &BudgetId,
        span: u64,
        requests_unit: bool,
    ) -> bool {
        let deadline = self.nodes[index].local_time(self.now + span);
        let now = self.nodes[index].local_time(self.now);
        let view = || self.views[budget].clone();
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        let ticket = node.pool.acquire(now, budget, deadline, view, &mut actions);
        let is_held = ticket.is_some();
        if let Some(ticket) = ticket {
            node.held.push(HeldSlot { ticket, deadline });
        } else if requests_unit {
            node.pool.request_units(now, budget, 1, view, &mut actions);
        }
        self.perform(index, actions);
        is_held
    }

    /// Requests a unit for a waiting request.
    pub fn request_units(&mut self, index: usize, budget: &BudgetId) {
        let now = self.nodes[index].local_time(self.now);
        let view = || self.views[budget].clone();
        let mut actions = Vec::new();
        let pool = &mut self.nodes[index].pool;
        pool.request_units(now, budget, 1, view, &mut actions);
        self.perform(index, actions);
    }

    /// Drops a ticket and lets the pool lend its unit.
    pub fn release(&mut self, index: usize, position: usize) {
        let held = self.nodes[index].held.swap_remove(position);
        let budget = held.ticket.budget().clone();
        drop(held);
        let now = self.nodes[index].local_time(self.now);
        let mut actions = Vec::new();
        self.nodes[index].pool.reclaim(now, &budget, &mut actions);
        self.perform(index, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<SlotAction>) {
        for action in actions {
            match action {
                SlotAction::Send { to, message } => {
                    let target = self.nodes.iter().position(|node| node.id == to);
                    let link = (index, target.expect("messages go to nodes of the fleet"));
                    let from = self.nodes[index].id.clone();
                    self.net.send(self.now, link, from, message);
                }
                SlotAction::Available(budget) => self.available.push((index, budget)),
            }
        }
    }

    /// Runs the fleet for the given time; requests end at their deadlines.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        loop {
            let message_at = self.net.next_at();
            let next = message_at.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if message_at.is_some_and(|at| at <= self.now) {
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
        if self.is_paused(index) {
            let at = self.nodes[index].paused_until;
            self.net.defer(at, index, from, message);
            return;
        }
        let view = || Some(self.views[message.budget()].clone());
        let node = &mut self.nodes[index];
        let now = node.local_time(self.now);
        let mut actions = Vec::new();
        node.pool.handle(now, &from, &message, view, &mut actions);
        self.perform(index, actions);
    }

    fn tick(&mut self) {
        self.next_tick = self.now + self.tick_micros;
        for index in 0..self.nodes.len() {
            if self.is_paused(index) {
                continue;
            }
            let node = &mut self.nodes[index];
            let now = node.local_time(self.now);
            node.held.retain(|held| held.deadline > now);
            let mut actions = Vec::new();
            node.pool.tick(now, &mut actions);
            self.perform(index, actions);
        }
    }

    /// Returns the units of a budget that running requests occupy; those of a paused node end at
    /// their deadlines.
    pub fn occupied(&self, budget: &BudgetId) -> usize {
        let running = |node: &SlotNode| {
            let now = node.local_time(self.now);
            let is_running = |held: &&HeldSlot| held.deadline > now;
            let held = node.held.iter().filter(is_running);
            held.filter(|held| held.ticket.budget() == budget).count()
        };
        self.nodes.iter().map(running).sum()
    }
}

pub fn budget(target: usize) -> BudgetId {
    let name = format!("target-{target}");
    BudgetId::TargetSlots(name.parse().expect("the name is an id"))
}
