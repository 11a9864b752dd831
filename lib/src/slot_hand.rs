//! What a node keeps for one budget whose units are occupied, such as a target's slots.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use crate::budget::{BudgetView, MicroUnits};
use crate::escrow::{EscrowHand, Outgoing};
use crate::ids::NodeId;
use crate::loan::{EscrowMessage, LoanAmount, TransferId, TransferSequence};
use crate::time::MonoTime;

/// How long a node keeps units that others wait for while it has requests for them itself.
const HOLD_TIME: Duration = Duration::from_millis(250);
/// How long a node keeps borrowed units that nobody asks back.
const IDLE_TIME: Duration = Duration::from_millis(1_000);
/// How long a home remembers an ask that it could not grant.
const ASK_LIFETIME: Duration = Duration::from_millis(1_000);
const ASK_SPACING: Duration = Duration::from_millis(500);
const DEMAND_LIFETIME: Duration = Duration::from_millis(100);
const RECALL_SPACING: Duration = Duration::from_millis(100);
const MAX_QUEUED_ASKS: usize = 128;

/// An ask that waits at a home until units come free.
#[derive(Clone, Debug)]
struct QueuedAsk {
    borrower: NodeId,
    ask: TransferId,
    units: u64,
    since: MonoTime,
}

/// The hand, the units in use and the asks of one budget.
#[derive(Debug)]
pub(crate) struct SlotHand {
    escrow: EscrowHand,
    in_use: u64,
    busy_until: MonoTime,
    released: Arc<AtomicU64>,
    queue: VecDeque<QueuedAsk>,
    answered: IndexMap<NodeId, TransferId>,
    wanted_at: Option<MonoTime>,
    waiting_since: Option<MonoTime>,
    asked_at: Vec<(NodeId, MonoTime)>,
    used_at: MonoTime,
}

impl SlotHand {
    pub fn new(now: MonoTime, escrow: EscrowHand) -> Self {
        Self {
            escrow,
            in_use: 0,
            busy_until: MonoTime::ZERO,
            released: Arc::default(),
            queue: VecDeque::new(),
            answered: IndexMap::new(),
            wanted_at: None,
            waiting_since: None,
            asked_at: Vec::new(),
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

    fn is_wanted(&self, now: MonoTime) -> bool {
        self.wanted_at
            .is_some_and(|at| now.since(at) < DEMAND_LIFETIME)
    }

    /// Returns whether forgetting the hand loses nothing.
    pub fn is_idle(&self, now: MonoTime) -> bool {
        self.in_use == 0
            && self.escrow.is_quiet()
            && self.queue.is_empty()
            && now.since(self.used_at) >= IDLE_TIME
    }

    pub fn conforms(&self) -> bool {
        let held = self.escrow.share_until(self.busy_until).capacity;
        self.escrow.conforms() && held.whole_units() >= self.in_use
    }

    /// Counts released units and ends loans whose time is over.
    pub fn refresh(&mut self, now: MonoTime) {
        let released = self.released.swap(0, Ordering::AcqRel);
        self.in_use -= released;
        if self.in_use == 0 {
            self.busy_until = MonoTime::ZERO;
        }
        self.escrow.end_borrowed(now);
        self.escrow.take_back(now);
        self.queue.retain(|ask| now.since(ask.since) < ASK_LIFETIME);
    }

    /// Occupies a unit until `deadline` if one is held for so long.
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

    /// Extends the time of the occupied units if all are held for so long.
    pub fn prolong(&mut self, deadline: MonoTime) -> bool {
        let until = deadline.max(self.busy_until);
        let held = self.escrow.share_until(until).capacity.whole_units();
        let is_held = held >= self.in_use;
        if is_held {
            self.busy_until = until;
        }
        is_held
    }

    /// Notes that requests wait for units, and asks the homes that were not asked of late.
    pub fn want(
        &mut self,
        now: MonoTime,
        units: u64,
        sequence: &mut TransferSequence,
    ) -> Vec<Outgoing> {
        if !self.is_wanted(now) {
            self.waiting_since = None;
        }
        self.wanted_at = Some(now);
        self.waiting_since.get_or_insert(now);
        self.used_at = now;
        self.asked_at.retain(|(_, at)| now.since(*at) < ASK_SPACING);
        let unasked: Vec<NodeId> = self
            .escrow
            .homes()
            .iter()
            .filter(|home| *home != self.escrow.node())
            .filter(|home| self.asked_at.iter().all(|(asked, _)| asked != *home))
            .cloned()
            .collect();
        let amount = MicroUnits::from_units(units);
        let want = LoanAmount {
            capacity: amount,
            level: amount,
            ..LoanAmount::default()
        };
        let mut messages: Vec<_> = unasked
            .into_iter()
            .map(|home| {
                self.asked_at.push((home.clone(), now));
                self.escrow.ask(now, home, want, false, sequence)
            })
            .collect();
        messages.extend(self.escrow.recall(now, None, RECALL_SPACING));
        messages
    }

    /// Queues an ask; a later ask of the same borrower replaces the earlier one, and a repeated one
    /// that was answered counts no more.
    pub fn queue_ask(&mut self, now: MonoTime, borrower: NodeId, ask: TransferId, units: u64) {
        let is_answered = self
            .answered
            .get(&borrower)
            .is_some_and(|last| *last >= ask);
        if is_answered || units == 0 {
            return;
        }
        self.used_at = now;
        self.queue.retain(|queued| queued.borrower != borrower);
        if self.queue.len() < MAX_QUEUED_ASKS {
            self.queue.push_back(QueuedAsk {
                borrower,
                ask,
                units,
                since: now,
            });
        }
    }

    /// Grants free units to queued asks, and recalls units that are lent while asks wait.
    ///
    /// While this node has requests itself, an ask waits at most the hold time for the next unit.
    pub fn serve_asks(
        &mut self,
        now: MonoTime,
        came_back: bool,
        sequence: &mut TransferSequence,
    ) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        while let Some(front) = self.queue.front() {
            let own = self.escrow.own_free().capacity.whole_units();
            let free = self.free_until(MonoTime::ZERO).min(own);
            let is_first = self.waiting_since.is_none_or(|own| front.since <= own);
            let is_due = (came_back && is_first) || now.since(front.since) >= HOLD_TIME;
            if free == 0 || (self.is_wanted(now) && !is_due) {
                break;
            }
            let Some(ask) = self.queue.pop_front() else {
                break;
            };
            let capacity = MicroUnits::from_units(ask.units.min(free));
            let amount = LoanAmount {
                capacity,
                level: capacity,
                ..LoanAmount::default()
            };
            self.answered.insert(ask.borrower.clone(), ask.ask);
            let grant = self
                .escrow
                .grant(now, ask.borrower, ask.ask, amount, sequence);
            messages.push(grant);
        }
        if let Some(front) = self.queue.front() {
            let asker = front.borrower.clone();
            messages.extend(self.escrow.recall(now, Some(&asker), RECALL_SPACING));
        }
        messages
    }

    /// Takes a grant and returns whether it brought units.
    pub fn take_grant(&mut self, now: MonoTime, from: &NodeId, message: &EscrowMessage) -> bool {
        let EscrowMessage::Grant {
            ask,
            grant,
            epoch,
            amount,
            ..
        } = message
        else {
            return false;
        };
        self.asked_at.retain(|(asked, _)| asked != from);
        self.used_at = now;
        self.escrow
            .accept(now, from, *ask, *grant, *epoch, *amount)
            .is_some_and(|amount| !amount.is_zero())
    }

    pub const fn escrow_mut(&mut self) -> &mut EscrowHand {
        &mut self.escrow
    }

    pub fn adopt(&mut self, view: BudgetView) {
        self.escrow.adopt(view);
        self.asked_at.clear();
    }

    /// Returns loans that must end, that are asked back or that are idle, as soon as they are free.
    pub fn settle_loans(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let is_wanted = self.is_wanted(now);
        let is_idle = now.since(self.used_at) >= IDLE_TIME;
        let ending: Vec<TransferId> = self
            .escrow
            .borrowed()
            .iter()
            .filter(|loan| {
                let is_held_long = now.since(loan.accepted_at) >= HOLD_TIME;
                let is_recalled = loan.recalled && (!is_wanted || is_held_long);
                loan.closing || is_recalled || (is_idle && !is_wanted)
            })
            .map(|loan| loan.ask)
            .collect();
        ending
            .into_iter()
            .filter_map(|ask| self.give_back_free(ask))
            .collect()
    }

    fn give_back_free(&mut self, ask: TransferId) -> Option<Outgoing> {
        let loan = self.escrow.borrowed().iter().find(|loan| loan.ask == ask)?;
        let units = loan.share.capacity.whole_units();
        let is_counted = !loan.closing && loan.ends_at >= self.busy_until;
        let held = self.escrow.share_until(self.busy_until).capacity;
        let rest = held.whole_units() - if is_counted { units } else { 0 };
        if rest < self.in_use {
            return None;
        }
        let loan = self.escrow.give_back(ask)?;
        let message = EscrowMessage::Return {
            budget: self.escrow.budget().clone(),
            grant: loan.grant,
            level: loan.share.capacity,
        };
        Some((loan.lender, message))
    }

    /// Renews the loans while their units are in use or wanted.
    pub fn renew(&mut self, now: MonoTime, sequence: &mut TransferSequence) -> Vec<Outgoing> {
        if self.in_use == 0 && !self.is_wanted(now) {
            return Vec::new();
        }
        self.escrow.renew(now, sequence)
    }
}
