//! One node's part of a budget whose units are occupied, such as a target's slots.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use crate::budget::{BudgetView, MicroUnits};
use crate::escrow::{NodeEscrow, Outgoing};
use crate::ids::NodeId;
use crate::loan::{EscrowMessage, LoanAmount, TransferId, TransferSequence};
use crate::time::MonoTime;

/// The time for which a node keeps units that others wait for while its own requests need them.
const HOLD_TIME: Duration = Duration::from_millis(250);
/// The time for which a node keeps idle borrowed units that are not recalled.
const IDLE_TIME: Duration = Duration::from_millis(1_000);
/// The time for which an owner queues a loan request that it could not grant.
const REQUEST_LIFETIME: Duration = Duration::from_millis(1_000);
/// The time between two loan requests to one owner.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which a waiting request counts as demand.
const DEMAND_LIFETIME: Duration = Duration::from_millis(100);
/// The time between two recalls of one loan.
const RECALL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_QUEUED_REQUESTS: usize = 128;

/// A loan request that waits at an owner until units become free.
#[derive(Clone, Debug)]
struct QueuedRequest {
    borrower: NodeId,
    request: TransferId,
    units: u64,
    since: MonoTime,
}

/// The escrow, the units in use and the queued loan requests of one budget.
#[derive(Debug)]
pub(crate) struct NodeSlots {
    escrow: NodeEscrow,
    in_use: u64,
    busy_until: MonoTime,
    released: Arc<AtomicU64>,
    queue: VecDeque<QueuedRequest>,
    answered: IndexMap<NodeId, TransferId>,
    last_demand_at: Option<MonoTime>,
    waiting_since: Option<MonoTime>,
    recent_requests: Vec<(NodeId, MonoTime)>,
    used_at: MonoTime,
}

impl NodeSlots {
    pub fn new(now: MonoTime, escrow: NodeEscrow) -> Self {
        Self {
            escrow,
            in_use: 0,
            busy_until: MonoTime::ZERO,
            released: Arc::default(),
            queue: VecDeque::new(),
            answered: IndexMap::new(),
            last_demand_at: None,
            waiting_since: None,
            recent_requests: Vec::new(),
            used_at: now,
        }
    }

    pub const fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Returns the units that are free until `deadline`.
    pub fn free_until(&self, deadline: MonoTime) -> u64 {
        let until = deadline.max(self.busy_until);
        let held = self.escrow.share_until(until).capacity.whole_units();
        held.saturating_sub(self.in_use)
    }

    fn has_demand(&self, now: MonoTime) -> bool {
        self.last_demand_at
            .is_some_and(|at| now.since(at) < DEMAND_LIFETIME)
    }

    /// Returns whether the state may be dropped: nothing is in use, lent, borrowed or queued.
    pub fn is_idle(&self, now: MonoTime) -> bool {
        self.in_use == 0
            && self.escrow.has_no_transfers()
            && self.queue.is_empty()
            && now.since(self.used_at) >= IDLE_TIME
    }

    pub fn conforms(&self) -> bool {
        let held = self.escrow.share_until(self.busy_until).capacity;
        self.escrow.conforms() && held.whole_units() >= self.in_use
    }

    /// Counts released units, ends expired loans and drops expired requests.
    pub fn refresh(&mut self, now: MonoTime) {
        let released = self.released.swap(0, Ordering::AcqRel);
        self.in_use -= released;
        if self.in_use == 0 {
            self.busy_until = MonoTime::ZERO;
        }
        self.escrow.expire_borrowed(now);
        self.escrow.expire_lent(now);
        self.queue
            .retain(|request| now.since(request.since) < REQUEST_LIFETIME);
    }

    /// Occupies a unit until `deadline`, if the node holds a free one until then.
    pub fn occupy(&mut self, now: MonoTime, deadline: MonoTime) -> Option<Arc<AtomicU64>> {
        if self.free_until(deadline) == 0 {
            return None;
        }
        self.in_use += 1;
        self.busy_until = self.busy_until.max(deadline);
        self.used_at = now;
        self.waiting_since = None;
        Some(Arc::clone(&self.released))
    }

    /// Extends the time of the occupied units to `deadline`, if the node holds them all until then.
    pub fn extend_occupancy(&mut self, deadline: MonoTime) -> bool {
        let until = deadline.max(self.busy_until);
        let held = self.escrow.share_until(until).capacity.whole_units();
        let is_held = held >= self.in_use;
        if is_held {
            self.busy_until = until;
        }
        is_held
    }

    /// Records that callers' requests wait for units, and requests a loan from each owner that got
    /// no loan request lately.
    pub fn request_units(
        &mut self,
        now: MonoTime,
        units: u64,
        sequence: &mut TransferSequence,
    ) -> Vec<Outgoing> {
        if !self.has_demand(now) {
            self.waiting_since = None;
        }
        self.last_demand_at = Some(now);
        self.waiting_since.get_or_insert(now);
        self.used_at = now;
        self.recent_requests
            .retain(|(_, at)| now.since(*at) < REQUEST_INTERVAL);
        let not_requested: Vec<NodeId> = self
            .escrow
            .owners()
            .iter()
            .filter(|owner| *owner != self.escrow.node())
            .filter(|owner| {
                self.recent_requests
                    .iter()
                    .all(|(contacted, _)| contacted != *owner)
            })
            .cloned()
            .collect();
        let amount = MicroUnits::from_units(units);
        let requested = LoanAmount {
            capacity: amount,
            level: amount,
            ..LoanAmount::default()
        };
        let mut messages: Vec<_> = not_requested
            .into_iter()
            .map(|owner| {
                self.recent_requests.push((owner.clone(), now));
                self.escrow
                    .request_loan(now, owner, requested, false, sequence)
            })
            .collect();
        messages.extend(self.escrow.recall(now, None, RECALL_INTERVAL));
        messages
    }

    /// Queues a loan request; it replaces an earlier one of the same borrower, and a duplicate of
    /// an answered one is ignored.
    pub fn queue_request(
        &mut self,
        now: MonoTime,
        borrower: NodeId,
        request: TransferId,
        units: u64,
    ) {
        let is_answered = self
            .answered
            .get(&borrower)
            .is_some_and(|last| *last >= request);
        if is_answered || units == 0 {
            return;
        }
        self.used_at = now;
        self.queue.retain(|queued| queued.borrower != borrower);
        if self.queue.len() < MAX_QUEUED_REQUESTS {
            self.queue.push_back(QueuedRequest {
                borrower,
                request,
                units,
                since: now,
            });
        }
    }

    /// Grants free units to queued loan requests, and recalls lent units while some still wait.
    ///
    /// While this node needs units itself, a loan request waits at most [`HOLD_TIME`] for the next
    /// free unit.
    pub fn serve_requests(
        &mut self,
        now: MonoTime,
        units_returned: bool,
        sequence: &mut TransferSequence,
    ) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        while let Some(front) = self.queue.front() {
            let own = self.escrow.unlent_share().capacity.whole_units();
            let free = self.free_until(MonoTime::ZERO).min(own);
            let is_first = self.waiting_since.is_none_or(|own| front.since <= own);
            let is_due = (units_returned && is_first) || now.since(front.since) >= HOLD_TIME;
            if free == 0 || (self.has_demand(now) && !is_due) {
                break;
            }
            let Some(request) = self.queue.pop_front() else {
                break;
            };
            let capacity = MicroUnits::from_units(request.units.min(free));
            let amount = LoanAmount {
                capacity,
                level: capacity,
                ..LoanAmount::default()
            };
            self.answered
                .insert(request.borrower.clone(), request.request);
            let grant = self
                .escrow
                .grant(now, request.borrower, request.request, amount, sequence);
            messages.push(grant);
        }
        if let Some(front) = self.queue.front() {
            let requester = front.borrower.clone();
            messages.extend(self.escrow.recall(now, Some(&requester), RECALL_INTERVAL));
        }
        messages
    }

    /// Accepts a grant and returns whether it brought units.
    pub fn accept_grant(&mut self, now: MonoTime, from: &NodeId, message: &EscrowMessage) -> bool {
        let EscrowMessage::Grant {
            request,
            grant,
            epoch,
            amount,
            ..
        } = message
        else {
            return false;
        };
        self.recent_requests
            .retain(|(contacted, _)| contacted != from);
        self.used_at = now;
        self.escrow
            .accept(now, from, *request, *grant, *epoch, *amount)
            .is_some_and(|amount| !amount.is_zero())
    }

    pub const fn escrow_mut(&mut self) -> &mut NodeEscrow {
        &mut self.escrow
    }

    pub fn adopt(&mut self, view: BudgetView) {
        self.escrow.adopt(view);
        self.recent_requests.clear();
    }

    /// Gives back loans that must end, were recalled or are idle, once their units are free.
    pub fn return_loans(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let has_demand = self.has_demand(now);
        let is_idle = now.since(self.used_at) >= IDLE_TIME;
        let to_return: Vec<TransferId> = self
            .escrow
            .borrowed()
            .iter()
            .filter(|loan| {
                let hold_time_passed = now.since(loan.accepted_at) >= HOLD_TIME;
                let is_recalled = loan.recalled && (!has_demand || hold_time_passed);
                loan.closing || is_recalled || (is_idle && !has_demand)
            })
            .map(|loan| loan.request)
            .collect();
        to_return
            .into_iter()
            .filter_map(|request| self.return_if_free(request))
            .collect()
    }

    fn return_if_free(&mut self, request: TransferId) -> Option<Outgoing> {
        let loan = self
            .escrow
            .borrowed()
            .iter()
            .find(|loan| loan.request == request)?;
        let units = loan.share.capacity.whole_units();
        let is_counted = !loan.closing && loan.ends_at >= self.busy_until;
        let held = self.escrow.share_until(self.busy_until).capacity;
        let rest = held.whole_units() - if is_counted { units } else { 0 };
        if rest < self.in_use {
            return None;
        }
        let loan = self.escrow.return_loan(request)?;
        let message = EscrowMessage::Return {
            budget: self.escrow.budget().clone(),
            grant: loan.grant,
            level: loan.share.capacity,
        };
        Some((loan.lender, message))
    }

    /// Renews the loans while their units are in use or needed.
    pub fn renew(&mut self, now: MonoTime, sequence: &mut TransferSequence) -> Vec<Outgoing> {
        if self.in_use == 0 && !self.has_demand(now) {
            return Vec::new();
        }
        self.escrow.renew(now, sequence)
    }
}
