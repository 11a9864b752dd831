//! Limits customers to their rates over the whole fleet, in shards by customer.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use damaskloom_lib::budget::{BudgetId, BudgetTerms, BudgetView};
use damaskloom_lib::config::Customer;
use damaskloom_lib::ids::{CustomerId, NodeId};
use damaskloom_lib::loan::EscrowMessage;
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::rate_limiter::{
    LimitPolicy, LimiterAction, RateDecision, RateLimiter, WaitTicket,
};
use damaskloom_lib::rendezvous::StableHash;
use damaskloom_lib::time::MonoTime;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::fleet_epoch::FleetEpoch;
use crate::peer_codec::PeerTopic;
use crate::peer_outbox::PeerOutbox;
use crate::tick_interval::TickInterval;

const SHARDS: usize = 16;

/// The answer to a request that waited for a transfer; on refusal, the time until a retry may
/// succeed.
type WaitAnswer = Result<(), Duration>;

#[derive(Debug)]
struct RateShard {
    limiter: RateLimiter,
    waiters: IndexMap<WaitTicket, oneshot::Sender<WaitAnswer>>,
    /// Recently replaced rates and bursts of customers, which other nodes may still use.
    replaced: IndexMap<CustomerId, ReplacedTerms>,
}

#[derive(Debug)]
struct ReplacedTerms {
    terms: Vec<BudgetTerms>,
    until: MonoTime,
}

/// The time after which no serving node uses replaced terms: a change is in force within 7 s, and a
/// node that does not receive it stops serving within its freshness term.
const REPLACED_TERMS_RETENTION_MS: u64 = 20_000;

/// Admits requests by the shares of their customers' rates that this node holds.
#[derive(Debug)]
pub struct FleetLimiter {
    clock: MonoClock,
    config: Arc<ConfigView>,
    epoch: Arc<FleetEpoch>,
    outbox: Arc<PeerOutbox>,
    tick_interval: Arc<TickInterval>,
    shards: Vec<Mutex<RateShard>>,
}

impl FleetLimiter {
    /// Makes a limiter for one node.
    pub fn new(
        node: &NodeId,
        clock: MonoClock,
        config: Arc<ConfigView>,
        epoch: Arc<FleetEpoch>,
        outbox: Arc<PeerOutbox>,
        tick_interval: Arc<TickInterval>,
    ) -> Self {
        let shard = || {
            Mutex::new(RateShard {
                limiter: RateLimiter::new(node.clone(), LimitPolicy::Escrow),
                waiters: IndexMap::new(),
                replaced: IndexMap::new(),
            })
        };
        let shards = (0..SHARDS).map(|_| shard()).collect();
        Self {
            clock,
            config,
            epoch,
            outbox,
            tick_interval,
            shards,
        }
    }

    /// Deducts one request from the customer's rate; waits for tokens of a peer if that may help.
    ///
    /// # Errors
    ///
    /// Refuses with [`Reason::RateExceeded`] if the customer is over its rate and burst, with
    /// [`Reason::KeyWithdrawn`] if it was removed, and with [`Reason::DeadlineUnmeetable`] if the
    /// wait lasts until the deadline.
    pub async fn admit(&self, customer: &CustomerId, deadline: Instant) -> Result<(), Refusal> {
        let Some(limits) = self.config.customer(customer) else {
            return Err(Refusal::not_run(Reason::KeyWithdrawn));
        };
        let (decision, answer) = self.decide(&limits);
        let retry_after = match (decision, answer) {
            (RateDecision::Admit, _) => return Ok(()),
            (RateDecision::Refuse { retry_after }, _) => retry_after,
            (RateDecision::Wait { ticket, .. }, Some(answer)) => {
                let guard = WaitGuard {
                    limiter: self,
                    customer,
                    ticket,
                };
                let waiting = self.tick_interval.count_waiting();
                let answered = tokio::time::timeout_at(deadline.into(), answer).await;
                drop(waiting);
                drop(guard);
                match answered {
                    Ok(Ok(Ok(()))) => return Ok(()),
                    Ok(Ok(Err(retry_after))) => retry_after,
                    Ok(Err(_)) | Err(_) => {
                        return Err(Refusal::not_run(Reason::DeadlineUnmeetable));
                    }
                }
            }
            (RateDecision::Wait { until, .. }, None) => until.since(self.clock.now()),
        };
        Err(Refusal::not_run(Reason::RateExceeded).with_retry_after(retry_after))
    }

    fn decide(&self, limits: &Customer) -> (RateDecision, Option<oneshot::Receiver<WaitAnswer>>) {
        let mut actions = Vec::new();
        let mut shard = self.shard(&limits.id);
        let now = self.clock.now();
        let decision = shard
            .limiter
            .admit(now, &limits.id, || self.view(limits), &mut actions);
        let answer = match decision {
            RateDecision::Wait { ticket, .. } => {
                let (sender, receiver) = oneshot::channel();
                shard.waiters.insert(ticket, sender);
                Some(receiver)
            }
            RateDecision::Admit | RateDecision::Refuse { .. } => None,
        };
        self.perform(&mut shard, actions);
        (decision, answer)
    }

    /// Handles a message from a peer about a customer's shares.
    pub fn handle(&self, from: &NodeId, message: &EscrowMessage) {
        let BudgetId::CustomerRate(customer) = message.budget() else {
            return;
        };
        let mut actions = Vec::new();
        let mut shard = self.shard(customer);
        let now = self.clock.now();
        let view = || {
            self.config
                .customer(customer)
                .map(|limits| self.view(&limits))
        };
        shard.limiter.handle(now, from, message, view, &mut actions);
        self.perform(&mut shard, actions);
    }

    /// Ends waits and renews loans; called every few milliseconds.
    pub fn tick(&self) {
        for shard in &self.shards {
            let mut shard = shard.lock().expect("no holder of a shard panics");
            let mut actions = Vec::new();
            let now = self.clock.now();
            shard.limiter.tick(now, &mut actions);
            for customer in shard.settled_customers(now) {
                shard.replaced.swap_remove(&customer);
                self.adopt(&mut shard, &customer, &mut actions);
            }
            self.perform(&mut shard, actions);
        }
    }

    /// Applies the configuration and the assignment in force.
    pub fn refresh(&self) {
        for shard in &self.shards {
            let mut shard = shard.lock().expect("no holder of a shard panics");
            let customers: Vec<CustomerId> = shard.limiter.customers().cloned().collect();
            let mut actions = Vec::new();
            for customer in customers {
                self.record_replaced_terms(&mut shard, &customer);
                self.adopt(&mut shard, &customer, &mut actions);
            }
            self.perform(&mut shard, actions);
        }
    }

    /// Returns whether all shares conform to the newest assignment, so that it can be acknowledged.
    pub fn conforms(&self) -> bool {
        self.shards.iter().all(|shard| {
            shard
                .lock()
                .expect("no holder of a shard panics")
                .limiter
                .conforms()
        })
    }

    /// Records the terms that a customer's bucket used, if the configuration changed them.
    fn record_replaced_terms(&self, shard: &mut RateShard, customer: &CustomerId) {
        let Some(bucket) = shard.limiter.bucket(customer) else {
            return;
        };
        let old = bucket.escrow().view().terms;
        let new = self.terms(customer);
        if (old.refill, old.capacity) == (new.refill, new.capacity) {
            return;
        }
        let until = self.clock.now() + Duration::from_millis(REPLACED_TERMS_RETENTION_MS);
        let replaced = shard
            .replaced
            .entry(customer.clone())
            .or_insert(ReplacedTerms {
                terms: Vec::new(),
                until,
            });
        replaced.terms.push(old);
        replaced.until = until;
    }

    fn adopt(
        &self,
        shard: &mut RateShard,
        customer: &CustomerId,
        actions: &mut Vec<LimiterAction>,
    ) {
        let budget = BudgetId::CustomerRate(customer.clone());
        let mut view = self.epoch.view(&budget, self.terms(customer));
        if let Some(replaced) = shard.replaced.get(customer) {
            view.unsettled_terms.clone_from(&replaced.terms);
        }
        shard
            .limiter
            .adopt(self.clock.now(), customer, view, actions);
    }

    /// Returns a customer's terms; a removed customer has no rate to lend or to spend.
    fn terms(&self, customer: &CustomerId) -> BudgetTerms {
        let revision = self.config.revision();
        match self.config.customer(customer) {
            Some(limits) => BudgetTerms::from_rate(revision, limits.rate, limits.burst),
            None => BudgetTerms {
                revision,
                ..BudgetTerms::default()
            },
        }
    }

    fn view(&self, limits: &Customer) -> BudgetView {
        let terms = BudgetTerms::from_rate(self.config.revision(), limits.rate, limits.burst);
        self.epoch
            .view(&BudgetId::CustomerRate(limits.id.clone()), terms)
    }

    fn shard(&self, customer: &CustomerId) -> MutexGuard<'_, RateShard> {
        let index = StableHash::of(customer.as_bytes()).0 as usize % SHARDS;
        self.shards[index]
            .lock()
            .expect("no holder of a shard panics")
    }

    fn perform(&self, shard: &mut RateShard, actions: Vec<LimiterAction>) {
        for action in actions {
            match action {
                LimiterAction::Send { to, message } => {
                    self.outbox.send(&to, PeerTopic::Shares, &message);
                }
                LimiterAction::Admit(ticket) => shard.answer(ticket, Ok(())),
                LimiterAction::Refuse {
                    ticket,
                    retry_after,
                } => {
                    shard.answer(ticket, Err(retry_after));
                }
            }
        }
    }
}

impl RateShard {
    fn settled_customers(&self, now: MonoTime) -> Vec<CustomerId> {
        let settled = self
            .replaced
            .iter()
            .filter(|(_, replaced)| now >= replaced.until);
        settled.map(|(customer, _)| customer.clone()).collect()
    }

    fn answer(&mut self, ticket: WaitTicket, answer: WaitAnswer) {
        if let Some(waiter) = self.waiters.swap_remove(&ticket) {
            // The caller may have disconnected; its token is spent nevertheless.
            let _ = waiter.send(answer);
        }
    }
}

/// Ends the wait of a request whose caller disconnected or whose deadline has passed.
struct WaitGuard<'a> {
    limiter: &'a FleetLimiter,
    customer: &'a CustomerId,
    ticket: WaitTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut shard = self.limiter.shard(self.customer);
        if shard.waiters.swap_remove(&self.ticket).is_some() {
            shard.limiter.cancel(self.customer, self.ticket);
        }
    }
}
