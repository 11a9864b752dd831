//! Limits each customer to its rate and burst over the whole fleet.
//!
//! In any window the fleet admits at most the rate times the window plus the burst, whatever fails
//! among nodes, links and the store, since a node admits only from shares that it holds. Gateways use
//! this module; entry nodes enforce rates with [`fleet_rate`](crate::fleet_rate).
//! See [docs/design/escrow.md](../../docs/design/escrow.md).

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, BudgetView, SplitMode};
use crate::ids::{CustomerId, NodeId};
use crate::loan::{EscrowMessage, TransferSequence};
use crate::node_bucket::NodeBucket;
use crate::rate_entry::{RateEntry, send_all};
use crate::time::MonoTime;

/// The longest time that a request waits for a transfer.
pub const MAX_TRANSFER_WAIT: Duration = Duration::from_millis(500);
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The method by which the fleet enforces a customer's rate.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// Shares move to the nodes that receive the requests.
    #[default]
    Escrow,
    /// Every node has an equal, fixed share; a baseline for comparison.
    StaticShares,
}

/// Identifies a request that waits for a transfer, within one limiter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WaitTicket(pub u64);

impl fmt::Display for WaitTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The limiter's answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RateDecision {
    /// The request is within the customer's rate and burst.
    Admit,
    /// The request waits for tokens of peers; a [`LimiterAction`] with the ticket follows.
    Wait {
        /// Identifies the request in the action that follows.
        ticket: WaitTicket,
        /// The latest time of that action, provided that [`RateLimiter::tick`] is called.
        until: MonoTime,
    },
    /// The customer is over its rate and burst.
    Refuse {
        /// When a retry may succeed.
        retry_after: Duration,
    },
}

/// An action that the process performs for the limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LimiterAction {
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: EscrowMessage,
    },
    /// Admits a waiting request.
    Admit(WaitTicket),
    /// Refuses a waiting request; it did not run.
    Refuse {
        /// The request.
        ticket: WaitTicket,
        /// When a retry may succeed.
        retry_after: Duration,
    },
}

/// Limits the customers of one shard of one node.
///
/// A customer has state only from its first request or loan request on, until its bucket equals a
/// newly made one. The shard of a customer must be the same for requests and messages.
#[derive(Debug)]
pub struct RateLimiter {
    node: NodeId,
    policy: LimitPolicy,
    entries: IndexMap<CustomerId, RateEntry>,
    waiting: IndexSet<CustomerId>,
    sequence: TransferSequence,
    next_ticket: u64,
    reviewed_at: MonoTime,
}

impl RateLimiter {
    /// Makes a limiter without customers.
    ///
    /// Two limiters of one node must not exchange messages with the same peers about the same
    /// customers, since their transfer ids would be equal.
    pub fn new(node: NodeId, policy: LimitPolicy) -> Self {
        let sequence = TransferSequence::new(node.incarnation);
        Self {
            node,
            policy,
            entries: IndexMap::new(),
            waiting: IndexSet::new(),
            sequence,
            next_ticket: 0,
            reviewed_at: MonoTime::ZERO,
        }
    }

    /// Returns the number of customers with state.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no customer has state.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bucket of a customer that has state, to explain a refusal.
    pub fn bucket(&self, customer: &CustomerId) -> Option<&NodeBucket> {
        self.entries.get(customer).map(RateEntry::bucket)
    }

    /// Decides on a request; `view` is called only if the customer has no state here.
    pub fn admit(
        &mut self,
        now: MonoTime,
        customer: &CustomerId,
        view: impl FnOnce() -> BudgetView,
        actions: &mut Vec<LimiterAction>,
    ) -> RateDecision {
        let index = self.entry_index(now, customer, view);
        let entry = &mut self.entries[index];
        if entry.try_admit(now) {
            if self.policy == LimitPolicy::Escrow {
                entry.borrow(now, &mut self.sequence, actions);
            }
            return RateDecision::Admit;
        }
        if self.policy == LimitPolicy::StaticShares || !entry.may_wait(now) {
            let retry_after = entry.retry_after();
            return RateDecision::Refuse { retry_after };
        }
        self.next_ticket += 1;
        let ticket = WaitTicket(self.next_ticket);
        let until = now + MAX_TRANSFER_WAIT;
        entry.push_waiter(ticket, until);
        entry.borrow(now, &mut self.sequence, actions);
        self.waiting.insert(customer.clone());
        RateDecision::Wait { ticket, until }
    }

    fn entry_index(
        &mut self,
        now: MonoTime,
        customer: &CustomerId,
        view: impl FnOnce() -> BudgetView,
    ) -> usize {
        if let Some(index) = self.entries.get_index_of(customer) {
            return index;
        }
        let mode = match self.policy {
            LimitPolicy::Escrow => SplitMode::Owners,
            LimitPolicy::StaticShares => SplitMode::Static,
        };
        let budget = BudgetId::CustomerRate(customer.clone());
        let bucket = NodeBucket::new(now, budget, self.node.clone(), view(), mode);
        let entry = RateEntry::new(bucket, first_lender(&self.node, customer));
        self.entries.insert_full(customer.clone(), entry).0
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, customer: &CustomerId, ticket: WaitTicket) {
        if let Some(entry) = self.entries.get_mut(customer) {
            entry.cancel(ticket);
        }
    }

    /// Handles a message from a peer; `view` returns `None` for a customer that is not configured.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: &EscrowMessage,
        view: impl FnOnce() -> Option<BudgetView>,
        actions: &mut Vec<LimiterAction>,
    ) {
        let BudgetId::CustomerRate(customer) = message.budget() else {
            return;
        };
        let is_known = self.entries.contains_key(customer);
        let is_request = matches!(message, EscrowMessage::LoanRequest { .. });
        let index = match (is_known, is_request) {
            (true, _) => self.entry_index(now, customer, BudgetView::default),
            (false, true) => match view() {
                Some(view) => self.entry_index(now, customer, || view),
                None => return,
            },
            (false, false) => return,
        };
        let customer = customer.clone();
        self.apply(now, index, from, message, actions);
        self.advance(now, &customer, actions);
    }

    fn apply(
        &mut self,
        now: MonoTime,
        index: usize,
        from: &NodeId,
        message: &EscrowMessage,
        actions: &mut Vec<LimiterAction>,
    ) {
        let entry = &mut self.entries[index];
        let sequence = &mut self.sequence;
        match message {
            EscrowMessage::LoanRequest { .. } => {
                entry.lend(now, from.clone(), message, sequence, actions);
            }
            EscrowMessage::Grant { .. } => entry.accept_grant(now, from, message),
            EscrowMessage::Renew { request, grant, .. } => {
                entry.bucket_mut().refresh(now);
                let escrow = entry.bucket_mut().escrow_mut();
                send_all(escrow.extend(now, from, *request, *grant), actions);
            }
            EscrowMessage::Renewed { request, grant, .. } => {
                entry.bucket_mut().refresh(now);
                let escrow = entry.bucket_mut().escrow_mut();
                escrow.record_extension(now, from, *request, *grant);
            }
            EscrowMessage::Return { grant, level, .. } => {
                entry.bucket_mut().accept_return(now, from, *grant, *level);
            }
            EscrowMessage::Recall { grant, .. } => {
                entry.bucket_mut().escrow_mut().record_recall(from, *grant);
            }
        }
    }

    fn advance(&mut self, now: MonoTime, customer: &CustomerId, actions: &mut Vec<LimiterAction>) {
        let Some(entry) = self.entries.get_mut(customer) else {
            return;
        };
        entry.advance(now, &mut self.sequence, actions);
        if !entry.is_waiting() {
            self.waiting.swap_remove(customer);
        }
    }

    /// Refuses requests that waited too long, requests, renews and returns loans, and drops the
    /// state of idle customers.
    ///
    /// A tick every 5 to 10 ms keeps waits short; without waiting requests it costs little.
    pub fn tick(&mut self, now: MonoTime, actions: &mut Vec<LimiterAction>) {
        let waiting: Vec<_> = self.waiting.iter().cloned().collect();
        for customer in &waiting {
            self.advance(now, customer, actions);
        }
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        for entry in self.entries.values_mut() {
            entry.advance(now, &mut self.sequence, actions);
            entry.review_loans(now, &mut self.sequence, actions);
        }
        self.entries.retain(|_, entry| !entry.is_idle());
    }

    /// Switches to newer terms or a newer assignment of a customer that has state.
    ///
    /// A customer without state needs no call: its state is made from the view at its first use.
    pub fn adopt(
        &mut self,
        now: MonoTime,
        customer: &CustomerId,
        view: BudgetView,
        actions: &mut Vec<LimiterAction>,
    ) {
        if let Some(entry) = self.entries.get_mut(customer) {
            entry.adopt(now, view, actions);
        }
        self.advance(now, customer, actions);
    }

    /// Returns the customers with state; call [`RateLimiter::adopt`] for each after a change.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.entries.keys()
    }

    /// Returns whether the node may acknowledge the epoch in use.
    pub fn conforms(&self) -> bool {
        self.entries
            .values()
            .all(|entry| entry.bucket().escrow().conforms())
    }
}

fn first_lender(node: &NodeId, customer: &CustomerId) -> usize {
    let mut hasher = DefaultHasher::new();
    (node, customer).hash(&mut hasher);
    (hasher.finish() % 1_024) as usize
}
