//! Manages the slots of targets that this node holds or borrows, in shards by target.

use std::sync::{Arc, Mutex, MutexGuard};

use damaskloom_lib::budget::{BudgetId, BudgetTerms, BudgetView};
use damaskloom_lib::config::Target;
use damaskloom_lib::ids::{NodeId, TargetId};
use damaskloom_lib::loan::EscrowMessage;
use damaskloom_lib::rendezvous::StableHash;
use damaskloom_lib::slot_pool::{SlotAction, SlotPool, SlotTicket};
use damaskloom_lib::time::MonoTime;

use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::fleet_epoch::FleetEpoch;
use crate::peer_codec::PeerTopic;
use crate::peer_outbox::PeerOutbox;

const SHARDS: usize = 16;

/// Assigns slots of targets; the whole fleet never occupies more slots than a target has.
#[derive(Debug)]
pub struct SlotRegistry {
    clock: MonoClock,
    config: Arc<ConfigView>,
    epoch: Arc<FleetEpoch>,
    outbox: Arc<PeerOutbox>,
    shards: Vec<Mutex<SlotPool>>,
}

impl SlotRegistry {
    /// Makes a registry for one node.
    pub fn new(
        node: &NodeId,
        clock: MonoClock,
        config: Arc<ConfigView>,
        epoch: Arc<FleetEpoch>,
        outbox: Arc<PeerOutbox>,
    ) -> Self {
        let shards = (0..SHARDS)
            .map(|_| Mutex::new(SlotPool::new(node.clone())))
            .collect();
        Self {
            clock,
            config,
            epoch,
            outbox,
            shards,
        }
    }

    /// Occupies a slot until `deadline`, if this node holds a free one until then.
    pub fn acquire(&self, target: &Target, deadline: MonoTime) -> Option<SlotTicket> {
        let budget = slot_budget(&target.id);
        let mut actions = Vec::new();
        let mut pool = self.shard(&target.id);
        let view = || self.view(&budget, target);
        let ticket = pool.acquire(self.clock.now(), &budget, deadline, view, &mut actions);
        drop(pool);
        self.perform(actions);
        ticket
    }

    /// Requests a slot of a target from peers.
    pub fn request_slot(&self, target: &Target) {
        let budget = slot_budget(&target.id);
        let mut actions = Vec::new();
        let mut pool = self.shard(&target.id);
        let view = || self.view(&budget, target);
        pool.request_units(self.clock.now(), &budget, 1, view, &mut actions);
        drop(pool);
        self.perform(actions);
    }

    /// Lends slots that became free to peers that wait for them.
    pub fn reclaim(&self, target: &TargetId) {
        let mut actions = Vec::new();
        self.shard(target)
            .reclaim(self.clock.now(), &slot_budget(target), &mut actions);
        self.perform(actions);
    }

    /// Handles a message from a peer; returns the target of which a slot may have become available.
    pub fn handle(&self, from: &NodeId, message: &EscrowMessage) -> Option<TargetId> {
        let BudgetId::TargetSlots(id) = message.budget() else {
            return None;
        };
        let mut actions = Vec::new();
        let mut pool = self.shard(id);
        let view = || {
            self.config
                .target(id)
                .map(|target| self.view(message.budget(), &target))
        };
        pool.handle(self.clock.now(), from, message, view, &mut actions);
        drop(pool);
        self.perform(actions).then(|| id.clone())
    }

    /// Renews and returns loans.
    pub fn tick(&self) {
        for shard in &self.shards {
            let mut actions = Vec::new();
            let mut pool = shard.lock().expect("no holder of a shard panics");
            pool.tick(self.clock.now(), &mut actions);
            drop(pool);
            self.perform(actions);
        }
    }

    /// Applies the configuration and the assignment in force.
    pub fn refresh(&self) {
        for shard in &self.shards {
            let mut actions = Vec::new();
            let mut pool = shard.lock().expect("no holder of a shard panics");
            let budgets: Vec<BudgetId> = pool.budgets().cloned().collect();
            for budget in budgets {
                let BudgetId::TargetSlots(id) = &budget else {
                    continue;
                };
                let view = match self.config.target(id) {
                    Some(target) => self.view(&budget, &target),
                    // A removed target has no slots.
                    None => self.epoch.view(&budget, self.terms(0)),
                };
                pool.adopt(self.clock.now(), &budget, view, &mut actions);
            }
            drop(pool);
            self.perform(actions);
        }
    }

    /// Returns whether all slots conform to the newest assignment, so that it can be acknowledged.
    pub fn conforms(&self) -> bool {
        self.shards.iter().all(|shard| {
            shard
                .lock()
                .expect("no holder of a shard panics")
                .conforms()
        })
    }

    fn terms(&self, slots: u32) -> BudgetTerms {
        BudgetTerms::from_units(self.config.revision(), slots)
    }

    fn view(&self, budget: &BudgetId, target: &Target) -> BudgetView {
        self.epoch.view(budget, self.terms(target.slots))
    }

    fn shard(&self, target: &TargetId) -> MutexGuard<'_, SlotPool> {
        let index = StableHash::of(target.as_bytes()).0 as usize % SHARDS;
        self.shards[index]
            .lock()
            .expect("no holder of a shard panics")
    }

    /// Sends messages to peers; returns whether a slot may have become available here.
    fn perform(&self, actions: Vec<SlotAction>) -> bool {
        let mut available = false;
        for action in actions {
            match action {
                SlotAction::Send { to, message } => {
                    self.outbox.send(&to, PeerTopic::Shares, &message);
                }
                SlotAction::Available(_) => available = true,
            }
        }
        available
    }
}

fn slot_budget(target: &TargetId) -> BudgetId {
    BudgetId::TargetSlots(target.clone())
}
