//! Holds the units of budgets that are occupied: slots, connections, ejectable targets.
//!
//! A unit moves to the node where a request waits for it within a round trip, and the sum of
//! occupied units never exceeds the budget. See
//! [docs/design/escrow.md](../../docs/design/escrow.md).

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use crate::budget::{BudgetId, BudgetView, SplitMode};
use crate::escrow::{EscrowHand, Outgoing};
use crate::ids::NodeId;
use crate::loan::{EscrowMessage, TransferSequence};
use crate::slot_hand::SlotHand;
use crate::time::MonoTime;

const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Occupies one unit of a budget until it is dropped.
///
/// The holder must be done at the deadline that it acquired the ticket for: cancel the request or
/// close the connection then, since the unit may be lent to another node afterwards.
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

/// What the process does for the pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction {
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: EscrowMessage,
    },
    /// Units came free: the process starts a waiting request, or lets them go idle.
    Available(BudgetId),
}

/// The occupied units of one shard of one node.
#[derive(Debug)]
pub struct SlotPool {
    node: NodeId,
    hands: IndexMap<BudgetId, SlotHand>,
    sequence: TransferSequence,
    reviewed_at: MonoTime,
}

impl SlotPool {
    /// Makes an empty pool.
    pub fn new(node: NodeId) -> Self {
        let sequence = TransferSequence::new(node.incarnation);
        Self {
            node,
            hands: IndexMap::new(),
            sequence,
            reviewed_at: MonoTime::ZERO,
        }
    }

    /// Returns the number of budgets with state.
    pub fn len(&self) -> usize {
        self.hands.len()
    }

    /// Returns whether no budget has state.
    pub fn is_empty(&self) -> bool {
        self.hands.is_empty()
    }

    /// Returns the units of a budget that this node occupies, as of the last call.
    pub fn in_use(&self, budget: &BudgetId) -> u64 {
        self.hands.get(budget).map_or(0, SlotHand::in_use)
    }

    /// Occupies a unit until `deadline`, if this node holds one for so long.
    ///
    /// `view` is called only if the budget has no state here. When this returns `None`, call
    /// [`SlotPool::want`] and try again on [`SlotAction::Available`].
    pub fn acquire(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        deadline: MonoTime,
        view: impl FnOnce() -> BudgetView,
        actions: &mut Vec<SlotAction>,
    ) -> Option<SlotTicket> {
        let index = self.hand_index(now, budget, view);
        self.settle(now, index, false, actions);
        let released = self.hands[index].occupy(now, deadline)?;
        Some(SlotTicket {
            budget: budget.clone(),
            released,
        })
    }

    fn hand_index(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        view: impl FnOnce() -> BudgetView,
    ) -> usize {
        if let Some(index) = self.hands.get_index_of(budget) {
            return index;
        }
        let node = self.node.clone();
        let escrow = EscrowHand::new(budget.clone(), node, view(), SplitMode::Homes);
        let hand = SlotHand::new(now, escrow);
        self.hands.insert_full(budget.clone(), hand).0
    }

    /// Returns the units that could be occupied until `deadline` without asking anybody.
    pub fn free_until(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        deadline: MonoTime,
        view: impl FnOnce() -> BudgetView,
    ) -> u64 {
        let index = self.hand_index(now, budget, view);
        self.hands[index].refresh(now);
        self.hands[index].free_until(deadline)
    }

    /// Says that requests wait for units; repeat it while they do.
    pub fn want(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        units: u64,
        view: impl FnOnce() -> BudgetView,
        actions: &mut Vec<SlotAction>,
    ) {
        let index = self.hand_index(now, budget, view);
        let hand = &mut self.hands[index];
        hand.refresh(now);
        send_all(hand.want(now, units, &mut self.sequence), actions);
    }

    /// Extends the time that a unit is occupied, for a connection that lives on.
    ///
    /// If this returns false, the holder must be done at the deadline that it had.
    pub fn prolong(&mut self, now: MonoTime, ticket: &SlotTicket, deadline: MonoTime) -> bool {
        self.hands.get_mut(&ticket.budget).is_some_and(|hand| {
            hand.refresh(now);
            hand.prolong(deadline)
        })
    }

    /// Counts a ticket that was dropped and hands its unit on if another node waits for it.
    pub fn reclaim(&mut self, now: MonoTime, budget: &BudgetId, actions: &mut Vec<SlotAction>) {
        if let Some(index) = self.hands.get_index_of(budget) {
            self.settle(now, index, false, actions);
        }
    }

    fn settle(
        &mut self,
        now: MonoTime,
        index: usize,
        came_back: bool,
        actions: &mut Vec<SlotAction>,
    ) {
        let hand = &mut self.hands[index];
        hand.refresh(now);
        send_all(hand.settle_loans(now), actions);
        let grants = hand.serve_asks(now, came_back, &mut self.sequence);
        send_all(grants, actions);
    }

    /// Takes a message from a peer; `view` returns `None` for a budget that is not configured.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: &EscrowMessage,
        view: impl FnOnce() -> Option<BudgetView>,
        actions: &mut Vec<SlotAction>,
    ) {
        let budget = message.budget();
        let index = match (self.hands.get_index_of(budget), message) {
            (Some(index), _) => index,
            (None, EscrowMessage::Ask { .. }) => match view() {
                Some(view) => self.hand_index(now, budget, || view),
                None => return,
            },
            (None, _) => return,
        };
        let came_back = self.apply(now, index, from, message, actions);
        self.settle(now, index, came_back, actions);
    }

    /// Applies a message and returns whether units came back to their home.
    fn apply(
        &mut self,
        now: MonoTime,
        index: usize,
        from: &NodeId,
        message: &EscrowMessage,
        actions: &mut Vec<SlotAction>,
    ) -> bool {
        let hand = &mut self.hands[index];
        hand.refresh(now);
        match message {
            EscrowMessage::Ask { ask, want, .. } => {
                let units = want.capacity.whole_units();
                hand.queue_ask(now, from.clone(), *ask, units);
            }
            EscrowMessage::Grant { budget, .. } => {
                if hand.take_grant(now, from, message) {
                    actions.push(SlotAction::Available(budget.clone()));
                }
            }
            EscrowMessage::Renew { ask, grant, .. } => {
                let renewed = hand.escrow_mut().extend(now, from, *ask, *grant);
                send_all(renewed, actions);
            }
            EscrowMessage::Renewed { ask, grant, .. } => {
                hand.escrow_mut().extended(now, from, *ask, *grant);
            }
            EscrowMessage::Return { budget, grant, .. } => {
                let is_back = hand.escrow_mut().take_return(from, *grant).is_some();
                if is_back {
                    actions.push(SlotAction::Available(budget.clone()));
                }
                return is_back;
            }
            EscrowMessage::Recall { grant, .. } => {
                hand.escrow_mut().note_recall(from, *grant);
            }
        }
        false
    }

    /// Renews and returns loans, serves asks that waited long enough, forgets idle budgets.
    pub fn tick(&mut self, now: MonoTime, actions: &mut Vec<SlotAction>) {
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        for index in 0..self.hands.len() {
            self.settle(now, index, false, actions);
            let renewals = self.hands[index].renew(now, &mut self.sequence);
            send_all(renewals, actions);
        }
        self.hands.retain(|_, hand| !hand.is_idle(now));
    }

    /// Acts on newer terms or a newer assignment of a budget that has state.
    pub fn adopt(
        &mut self,
        now: MonoTime,
        budget: &BudgetId,
        view: BudgetView,
        actions: &mut Vec<SlotAction>,
    ) {
        if let Some(index) = self.hands.get_index_of(budget) {
            self.hands[index].adopt(view);
            self.settle(now, index, false, actions);
        }
    }

    /// Returns the budgets with state, whose views must be brought up to date after a change.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.hands.keys()
    }

    /// Returns whether the node may acknowledge the epoch that it acts on.
    pub fn conforms(&self) -> bool {
        self.hands.values().all(SlotHand::conforms)
    }
}

fn send_all(messages: impl IntoIterator<Item = Outgoing>, actions: &mut Vec<SlotAction>) {
    actions.extend(
        messages
            .into_iter()
            .map(|(to, message)| SlotAction::Send { to, message }),
    );
}
