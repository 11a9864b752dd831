//! What a node keeps for one customer that sends requests or borrows from it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::bucket_hand::{Asker, BucketHand};
use crate::budget::{BudgetShare, BudgetView, MICROS_PER_UNIT, MicroUnits, RefillRate};
use crate::demand_meter::{DemandMeter, headroom, scale};
use crate::escrow::Outgoing;
use crate::ids::NodeId;
use crate::lender_board::LenderBoard;
use crate::loan::{EscrowMessage, LoanAmount, TransferId, TransferSequence};
use crate::rate_limiter::{LimiterAction, MAX_TRANSFER_WAIT, WaitTicket};
use crate::time::MonoTime;

const ONE_REQUEST: MicroUnits = MicroUnits(MICROS_PER_UNIT);
const RECALL_SPACING: Duration = Duration::from_millis(20);
const RATE_ASK_SPACING: Duration = Duration::from_millis(50);
/// Below this demand a node asks for single tokens in place of a part of the refill.
const LEASED_RATE_MIN: RefillRate = RefillRate::from_units(4);
const LEASED_BURST_MAX: MicroUnits = MicroUnits::from_units(16);
/// A node with little of the demand borrows less than it needs, so that its share rarely overflows
/// while others run dry; a node with much of it borrows all that it needs.
const BORROWED_MIN_PERCENT: u64 = 75;
const BORROWED_MAX_PERCENT: u64 = 125;
const BORROWED_SLOPE: u64 = 2;
const KEPT_PERCENT: u64 = 110;
const BORROWED_HEADROOM_MS: u64 = 500;
const KEPT_HEADROOM_MS: u64 = 250;

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: WaitTicket,
    until: MonoTime,
}

/// The hand, the demand and the waiting requests of one customer.
#[derive(Debug)]
pub(crate) struct RateEntry {
    hand: BucketHand,
    meter: DemandMeter,
    waiters: VecDeque<Waiter>,
    board: LenderBoard,
    rate_ask_at: MonoTime,
}

impl RateEntry {
    /// Makes an entry; `cursor` picks the home that is asked first.
    pub fn new(hand: BucketHand, cursor: usize) -> Self {
        Self {
            hand,
            meter: DemandMeter::default(),
            waiters: VecDeque::new(),
            board: LenderBoard::new(cursor),
            rate_ask_at: MonoTime::ZERO,
        }
    }

    pub const fn hand(&self) -> &BucketHand {
        &self.hand
    }

    pub fn is_waiting(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Returns whether forgetting the entry loses nothing.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty() && self.hand.is_idle()
    }

    /// Spends a token at once if there is one and nobody waits for it.
    pub fn try_admit(&mut self, now: MonoTime) -> bool {
        self.meter.record(now);
        self.hand.refresh(now);
        self.waiters.is_empty() && self.hand.spend(ONE_REQUEST)
    }

    /// Returns whether a request that just arrived may get a token in time.
    ///
    /// While no other home has tokens to spare, only as many wait as the refill serves in time.
    pub fn may_wait(&self, now: MonoTime) -> bool {
        let escrow = self.hand.escrow();
        let terms = escrow.view().terms;
        let has_lender = escrow.homes().iter().any(|home| home != escrow.node());
        let has_loans = !escrow.lent_share().capacity.is_zero();
        let expected = match !self.board.is_dry(now) && (has_lender || has_loans) {
            true => terms.capacity,
            false => terms.refill.over(MAX_TRANSFER_WAIT).min(terms.capacity),
        };
        (self.waiters.len() as u64) < expected.whole_units()
    }

    fn node(&self) -> &NodeId {
        self.hand.escrow().node()
    }

    /// Returns when the customer's refill has made up for the tokens that are missing.
    pub fn retry_after(&self) -> Duration {
        let terms = self.hand.escrow().view().terms;
        terms.refill.time_for(self.shortfall().max(ONE_REQUEST))
    }

    fn shortfall(&self) -> MicroUnits {
        MicroUnits::from_units(self.waiters.len() as u64).saturating_sub(self.hand.level())
    }

    pub fn push_waiter(&mut self, ticket: WaitTicket, until: MonoTime) {
        self.waiters.push_back(Waiter { ticket, until });
    }

    pub fn cancel(&mut self, ticket: WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Serves waiting requests, then asks for what is missing and returns what is not needed.
    pub fn pump(
        &mut self,
        now: MonoTime,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        self.hand.refresh(now);
        self.serve_waiters(now, actions);
        self.borrow(now, sequence, actions);
        self.settle_loans(now, actions);
    }

    fn serve_waiters(&mut self, now: MonoTime, actions: &mut Vec<LimiterAction>) {
        let mut is_served = false;
        while let Some(waiter) = self.waiters.front().copied() {
            if waiter.until <= now {
                let retry_after = self.retry_after();
                let ticket = waiter.ticket;
                actions.push(LimiterAction::Refuse {
                    ticket,
                    retry_after,
                });
            } else if self.hand.spend(ONE_REQUEST) {
                actions.push(LimiterAction::Admit(waiter.ticket));
                is_served = self.waiters.len() == 1;
            } else {
                return;
            }
            self.waiters.pop_front();
        }
        if is_served {
            self.board.note_served();
        }
    }

    /// Asks homes for missing tokens, and for refill if the demand exceeds what the hand gains.
    pub fn borrow(
        &mut self,
        now: MonoTime,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        let tokens = self.shortfall();
        let refill = self.missing_refill(now);
        if (tokens.is_zero() && refill.is_zero()) || self.board.is_paused(now) {
            return;
        }
        if !tokens.is_zero() {
            let recalls = self.hand.escrow_mut().recall(now, None, RECALL_SPACING);
            send_all(recalls, actions);
        }
        let homes = self.hand.escrow().homes().to_vec();
        let node = self.node().clone();
        let open = self.board.open(now, &homes, &node);
        if open.is_empty() {
            if !tokens.is_zero() {
                let terms = self.hand.escrow().view().terms;
                let token_time = terms.refill.time_for(ONE_REQUEST);
                self.board.note_exhausted(now, token_time);
            }
            return;
        }
        let terms = self.hand.escrow().view().terms;
        let part = |missing: u64, total: u64| {
            let home_part = (total / homes.len().max(1) as u64).max(1);
            usize::try_from(missing.div_ceil(home_part)).unwrap_or(usize::MAX)
        };
        // A first sweep asks ever more homes for whole tokens, a second one collects parts.
        let partial = self.board.collects_parts();
        let tried = homes.len() - open.len();
        let token_fanout = match (tokens.is_zero(), partial) {
            (true, _) => 0,
            (false, true) => open.len(),
            (false, false) => part(tokens.0, terms.capacity.0).max(tried).min(open.len()),
        };
        let refill_fanout = part(refill.0, terms.refill.0).min(open.len());
        let want = self.want(now, tokens, token_fanout, refill, refill_fanout);
        if !refill.is_zero() {
            self.rate_ask_at = now + RATE_ASK_SPACING;
        }
        for &index in open.iter().take(token_fanout.max(refill_fanout)) {
            self.board.note_ask(now, index);
            let lender = homes[index].clone();
            let message = self.hand.ask(now, lender, want, partial, sequence);
            send_all([message], actions);
        }
    }

    fn want(
        &self,
        now: MonoTime,
        tokens: MicroUnits,
        token_fanout: usize,
        refill: RefillRate,
        refill_fanout: usize,
    ) -> LoanAmount {
        let each = |amount: u64, fanout: usize| amount.div_ceil(fanout.max(1) as u64);
        let level = MicroUnits(each(tokens.0, token_fanout).next_multiple_of(MICROS_PER_UNIT));
        if refill.is_zero() {
            return LoanAmount {
                refill,
                capacity: level,
                level,
            };
        }
        let demand = self.meter.rate(now);
        let terms = self.hand.escrow().view().terms;
        let part = u128::from(terms.capacity.0) * u128::from(demand.0.min(terms.refill.0))
            / u128::from(terms.refill.0.max(1));
        let burst = MicroUnits(part as u64).min(LEASED_BURST_MAX);
        let target = headroom(demand, BORROWED_HEADROOM_MS, ONE_REQUEST + ONE_REQUEST).max(burst);
        let missing = target.saturating_sub(self.hand.escrow().share().capacity);
        let capacity = MicroUnits(each(missing.0, refill_fanout));
        LoanAmount {
            refill: RefillRate(each(refill.0, refill_fanout)),
            capacity: capacity.max(level),
            level: level.max(MicroUnits(capacity.0 / 2)),
        }
    }

    fn missing_refill(&self, now: MonoTime) -> RefillRate {
        let demand = self.meter.rate(now);
        let share = self.hand.escrow().share();
        let has_enough = self.hand.level().0 > share.capacity.0 / 2;
        let total = self.hand.escrow().view().terms.refill;
        if demand < LEASED_RATE_MIN || now < self.rate_ask_at || has_enough {
            return RefillRate::ZERO;
        }
        let part_percent = demand.0.saturating_mul(100) / total.0.max(1);
        let percent = BORROWED_MIN_PERCENT + BORROWED_SLOPE * part_percent;
        let wanted = scale(demand, percent.min(BORROWED_MAX_PERCENT)).min(total);
        let missing = wanted.saturating_sub(share.refill);
        if missing.0 < demand.0 / 16 {
            return RefillRate::ZERO;
        }
        missing
    }

    /// Takes a grant and notes whether its home has more to lend.
    pub fn take_grant(&mut self, now: MonoTime, lender: &NodeId, message: &EscrowMessage) {
        let EscrowMessage::Grant {
            ask,
            grant,
            epoch,
            amount,
            ..
        } = message
        else {
            return;
        };
        let accepted = self.hand.accept(now, lender, *ask, *grant, *epoch, *amount);
        let homes = self.hand.escrow().homes();
        let index = homes.iter().position(|home| home == lender);
        if let (Some(index), Some(_)) = (index, accepted) {
            self.board.note_answer(now, index);
        }
    }

    /// Answers an ask with what this node does not need itself.
    pub fn lend(
        &mut self,
        now: MonoTime,
        borrower: NodeId,
        message: &EscrowMessage,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        let EscrowMessage::Ask {
            ask, want, partial, ..
        } = message
        else {
            return;
        };
        let needed = self.needed(now, KEPT_PERCENT);
        let keep = LoanAmount {
            refill: needed.refill,
            capacity: needed.capacity,
            level: MicroUnits::from_units(self.waiters.len() as u64),
        };
        let asker = Asker {
            borrower: borrower.clone(),
            ask: *ask,
            partial: *partial,
        };
        let (amount, reply) = self.hand.lend(now, asker, *want, keep, sequence);
        send_all([reply], actions);
        if amount.level < want.level || amount.refill < want.refill {
            let escrow = self.hand.escrow_mut();
            send_all(escrow.recall(now, Some(&borrower), RECALL_SPACING), actions);
        }
    }

    fn needed(&self, now: MonoTime, percent: u64) -> BudgetShare {
        let demand = self.meter.rate(now);
        BudgetShare {
            refill: scale(demand, percent),
            capacity: headroom(demand, KEPT_HEADROOM_MS, ONE_REQUEST),
        }
    }

    /// Returns loans of spent tokens at once, and recalled loans that are not needed.
    ///
    /// A home cannot refill the capacity that it lent, so capacity that holds no token goes back
    /// even while requests wait.
    pub fn settle_loans(&mut self, now: MonoTime, actions: &mut Vec<LimiterAction>) {
        for ask in self.ending_loans(now) {
            send_all(self.hand.give_back(ask), actions);
        }
    }

    fn ending_loans(&self, now: MonoTime) -> Vec<TransferId> {
        let escrow = self.hand.escrow();
        if escrow.borrowed().is_empty() {
            return Vec::new();
        }
        let needed = match self.meter.yields_to_peers(now) {
            true => BudgetShare::default(),
            false => self.needed(now, KEPT_PERCENT),
        };
        let surplus = self.hand.surplus_loans(needed);
        let mut capacity = escrow.share().capacity;
        let level = self.hand.level();
        let mut ending = Vec::new();
        for loan in escrow.borrowed() {
            let rest = capacity.saturating_sub(loan.share.capacity);
            let is_spent = loan.share.refill.is_zero() && rest >= level;
            let is_idle = self.waiters.is_empty()
                && (loan.share.refill.is_zero() || loan.recalled && surplus.contains(&loan.ask));
            if is_spent || is_idle {
                capacity = rest;
                ending.push(loan.ask);
            }
        }
        ending
    }

    /// Renews the loans while requests arrive and returns them once none do.
    pub fn review_loans(
        &mut self,
        now: MonoTime,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        if self.hand.escrow().borrowed().is_empty() {
            return;
        }
        if self.meter.rate(now).is_zero() && !self.is_waiting() {
            for ask in self.hand.surplus_loans(BudgetShare::default()) {
                send_all(self.hand.give_back(ask), actions);
            }
        }
        let escrow = self.hand.escrow_mut();
        send_all(escrow.renew(now, sequence), actions);
    }

    /// Acts on a newer assignment or newer terms.
    pub fn adopt(&mut self, now: MonoTime, view: BudgetView, actions: &mut Vec<LimiterAction>) {
        send_all(self.hand.adopt(now, view), actions);
        self.board.reset();
    }

    pub const fn hand_mut(&mut self) -> &mut BucketHand {
        &mut self.hand
    }
}

pub(crate) fn send_all(
    messages: impl IntoIterator<Item = Outgoing>,
    actions: &mut Vec<LimiterAction>,
) {
    actions.extend(
        messages
            .into_iter()
            .map(|(to, message)| LimiterAction::Send { to, message }),
    );
}
