//! Manages the units of budgets that are occupied: slots, connections, ejectable targets.
//!
//! A free unit moves within one round trip to the node where a request waits for it, and the sum of
//! occupied units never exceeds the budget. See
//! [docs/design/escrow.md](../../docs/design/escrow.md).

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use crate::budget::{BudgetId, BudgetView, SplitMode};
use crate::escrow::{NodeEscrow, Outgoing};
use crate::ids::NodeId;
use crate::loan::{EscrowMessage, TransferSequence};
use crate::node_slots::NodeSlots;
use crate::time::MonoTime;

/// The interval at which loans and loan requests are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Occupies one unit of a budget until it is dropped.
///
/// At the deadline for which the ticket was acquired, its user must cancel the request or close the
/// connection, since the unit may be lent to another node afterwards.
pub struct SlotTicket {
    budget: BudgetId,
    released: Arc<AtomicU64>,
}

impl SlotTicket {
    /// Returns the budget.
    pub const fn budget(&self) -> &BudgetId {
        &self.budget
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        self.released.fetch_add(1, Ordering::AcqRel);
    }
}

impl fmt::Debug for SlotTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SlotTicket").field(&self.budget).finish()
    }
}

/// An action that the process performs for the pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction {
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: EscrowMessage,
    },
    /// Units became free: the process may start a waiting request.
    Available(BudgetId),
}

/// The occupied units of one shard of one node.
#[derive(Debug)]
pub struct SlotPool {
    node: NodeId,
    budgets: IndexMap<BudgetId, NodeSlots>,
    sequence: TransferSequence,
    reviewed_at: MonoTime,
}

impl SlotPool {
    /// Makes an empty pool.
    pub fn new(node: NodeId) -> Self {
        let sequence = TransferSequence::new(node.incarnation);
        Self {
            node,
            budgets: IndexMap::new(),
            sequence,
            reviewed_at: MonoTime::ZERO,
        }
    }

    /// Returns the number of budgets with state.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Returns whether no budget has state.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Returns the units of a budget that this node occupies, as of the last call.
    pub fn in_use(&self, budget: &BudgetId) -> u64 {
        self.budgets.get(budget).map_or(0, NodeSlots::in_use)
    }

    /// Occupies a unit until `deadline`, if this node holds a free one until then.
    ///
    /// `view` is called only if the budget has no state here. When this returns `None`, call
    /// [`SlotPool::request_units`] and try again on [`SlotAction::Available`].
    pub fn acquire(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        deadline: MonoTime,
        view: impl FnOnce() -> BudgetView,
        actions: &mut Vec<SlotAction>,
    ) -> Option<SlotTicket> {
        let index = self.budget_index(now, budget, view);
        self.settle(now, index, false, actions);
        let released = self.budgets[index].occupy(now, deadline)?;
        Some(SlotTicket {
            budget: budget.clone(),
            released,
        })
    }

    fn budget_index(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        view: impl FnOnce() -> BudgetView,
    ) -> usize {
        if let Some(index) = self.budgets.get_index_of(budget) {
            return index;
        }
        let node = self.node.clone();
        let escrow = NodeEscrow::new(budget.clone(), node, view(), SplitMode::Owners);
        let slots = NodeSlots::new(now, escrow);
        self.budgets.insert_full(budget.clone(), slots).0
    }

    /// Returns the units that can be occupied until `deadline` without a loan.
    pub fn free_until(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        deadline: MonoTime,
        view: impl FnOnce() -> BudgetView,
    ) -> u64 {
        let index = self.budget_index(now, budget, view);
        self.budgets[index].refresh(now);
        self.budgets[index].free_until(deadline)
    }

    /// Requests loans because callers' requests wait for units; call it again while they wait.
    pub fn request_units(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        units: u64,
        view: impl FnOnce() -> BudgetView,
        actions: &mut Vec<SlotAction>,
    ) {
        let index = self.budget_index(now, budget, view);
        let slots = &mut self.budgets[index];
        slots.refresh(now);
        send_all(slots.request_units(now, units, &mut self.sequence), actions);
    }

    /// Extends the time for which a unit is occupied, for a connection that stays open.
    ///
    /// If this returns false, the previous deadline still applies.
    pub fn extend_occupancy(
        &mut self,
        now: MonoTime,
        ticket: &SlotTicket,
        deadline: MonoTime,
    ) -> bool {
        self.budgets.get_mut(&ticket.budget).is_some_and(|slots| {
            slots.refresh(now);
            slots.extend_occupancy(deadline)
        })
    }

    /// Counts dropped tickets, and lends their units if another node waits for them.
    pub fn reclaim(&mut self, now: MonoTime, budget: &BudgetId, actions: &mut Vec<SlotAction>) {
        if let Some(index) = self.budgets.get_index_of(budget) {
            self.settle(now, index, false, actions);
        }
    }

    fn settle(
        &mut self,
        now: MonoTime,
        index: usize,
        units_returned: bool,
        actions: &mut Vec<SlotAction>,
    ) {
        let slots = &mut self.budgets[index];
        slots.refresh(now);
        send_all(slots.return_loans(now), actions);
        let grants = slots.serve_requests(now, units_returned, &mut self.sequence);
        send_all(grants, actions);
    }

    /// Handles a message from a peer; `view` returns `None` for a budget that is not configured.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: &EscrowMessage,
        view: impl FnOnce() -> Option<BudgetView>,
        actions: &mut Vec<SlotAction>,
    ) {
        let budget = message.budget();
        let index = match (self.budgets.get_index_of(budget), message) {
            (Some(index), _) => index,
            (None, EscrowMessage::LoanRequest { .. }) => match view() {
                Some(view) => self.budget_index(now, budget, || view),
                None => return,
            },
            (None, _) => return,
        };
        let units_returned = self.apply(now, index, from, message, actions);
        self.settle(now, index, units_returned, actions);
    }

    /// Applies a message and returns whether a borrower returned units.
    fn apply(
        &mut self,
        now: MonoTime,
        index: usize,
        from: &NodeId,
        message: &EscrowMessage,
        actions: &mut Vec<SlotAction>,
    ) -> bool {
        let slots = &mut self.budgets[index];
        slots.refresh(now);
        match message {
            EscrowMessage::LoanRequest {
                request, requested, ..
            } => {
                let units = requested.capacity.whole_units();
                slots.queue_request(now, from.clone(), *request, units);
            }
            EscrowMessage::Grant { budget, .. } => {
                if slots.accept_grant(now, from, message) {
                    actions.push(SlotAction::Available(budget.clone()));
                }
            }
            EscrowMessage::Renew { request, grant, .. } => {
                let renewed = slots.escrow_mut().extend(now, from, *request, *grant);
                send_all(renewed, actions);
            }
            EscrowMessage::Renewed { request, grant, .. } => {
                slots
                    .escrow_mut()
                    .record_extension(now, from, *request, *grant);
            }
            EscrowMessage::Return { budget, grant, .. } => {
                let is_returned = slots.escrow_mut().accept_return(from, *grant).is_some();
                if is_returned {
                    actions.push(SlotAction::Available(budget.clone()));
                }
                return is_returned;
            }
            EscrowMessage::Recall { grant, .. } => {
                slots.escrow_mut().record_recall(from, *grant);
            }
        }
        false
    }

    /// Renews and returns loans, serves loan requests that waited long enough, drops idle budgets.
    pub fn tick(&mut self, now: MonoTime, actions: &mut Vec<SlotAction>) {
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        for index in 0..self.budgets.len() {
            self.settle(now, index, false, actions);
            let renewals = self.budgets[index].renew(now, &mut self.sequence);
            send_all(renewals, actions);
        }
        self.budgets.retain(|_, slots| !slots.is_idle(now));
    }

    /// Switches to newer terms or a newer assignment of a budget that has state.
    pub fn adopt(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        view: BudgetView,
        actions: &mut Vec<SlotAction>,
    ) {
        if let Some(index) = self.budgets.get_index_of(budget) {
            self.budgets[index].adopt(view);
            self.settle(now, index, false, actions);
        }
    }

    /// Returns the budgets with state; call [`SlotPool::adopt`] for each after a change.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.budgets.keys()
    }

    /// Returns whether the node may acknowledge the epoch in use.
    pub fn conforms(&self) -> bool {
        self.budgets.values().all(NodeSlots::conforms)
    }
}

fn send_all(messages: impl IntoIterator<Item = Outgoing>, actions: &mut Vec<SlotAction>) {
    actions.extend(
        messages
            .into_iter()
            .map(|(to, message)| SlotAction::Send { to, message }),
    );
}
