//! A node's state for one customer: its bucket, its demand and its waiting requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::budget::{BudgetShare, BudgetView, MICROS_PER_UNIT, MicroUnits, RefillRate};
use crate::demand_meter::{DemandMeter, headroom, scale};
use crate::escrow::Outgoing;
use crate::ids::NodeId;
use crate::lender_selector::LenderSelector;
use crate::loan::{EscrowMessage, LoanAmount, TransferId, TransferSequence};
use crate::node_bucket::{NodeBucket, TokenRequester};
use crate::rate_limiter::{LimiterAction, MAX_TRANSFER_WAIT, WaitTicket};
use crate::time::MonoTime;

const ONE_REQUEST: MicroUnits = MicroUnits(MICROS_PER_UNIT);
const RECALL_INTERVAL: Duration = Duration::from_millis(20);
const REFILL_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Below this demand a node borrows single tokens rather than refill.
const MIN_BORROWED_REFILL: RefillRate = RefillRate::from_units(4);
/// The largest part of the burst that a node borrows for its part of the demand.
const MAX_BORROWED_BURST: MicroUnits = MicroUnits::from_units(16);
/// A node with a small part of the demand borrows less refill than it needs, so that its share
/// rarely overflows while others are empty; a node with a large part borrows all that it needs.
const BORROWED_MIN_PERCENT: u64 = 75;
const BORROWED_MAX_PERCENT: u64 = 125;
const BORROWED_PERCENT_SLOPE: u64 = 2;
/// The refill that a node keeps for its own requests, in percent of its demand.
const RESERVED_PERCENT: u64 = 110;
/// A node borrows capacity for the requests that arrive in this time.
const BORROWED_HEADROOM_MS: u64 = 500;
/// A node keeps capacity for its own requests that arrive in this time.
const RESERVED_HEADROOM_MS: u64 = 250;

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: WaitTicket,
    until: MonoTime,
}

/// The bucket, the demand and the waiting requests of one customer.
#[derive(Debug)]
pub(crate) struct RateEntry {
    bucket: NodeBucket,
    meter: DemandMeter,
    waiters: VecDeque<Waiter>,
    lenders: LenderSelector,
    next_refill_request_at: MonoTime,
}

impl RateEntry {
    /// Makes an entry; `cursor` determines the first lender.
    pub fn new(bucket: NodeBucket, cursor: usize) -> Self {
        Self {
            bucket,
            meter: DemandMeter::default(),
            waiters: VecDeque::new(),
            lenders: LenderSelector::new(cursor),
            next_refill_request_at: MonoTime::ZERO,
        }
    }

    pub const fn bucket(&self) -> &NodeBucket {
        &self.bucket
    }

    pub fn is_waiting(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Returns whether the entry may be dropped without losing information.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty() && self.bucket.is_idle()
    }

    /// Spends a token at once, if there is one and no request waits for it.
    pub fn try_admit(&mut self, now: MonoTime) -> bool {
        self.meter.record(now);
        self.bucket.refresh(now);
        self.waiters.is_empty() && self.bucket.spend(ONE_REQUEST)
    }

    /// Returns whether a new request may get a token in time.
    ///
    /// While no owner has tokens to lend, only as many requests may wait as the refill serves in
    /// time.
    pub fn may_wait(&self, now: MonoTime) -> bool {
        let escrow = self.bucket.escrow();
        let terms = escrow.view().terms;
        let has_lender = escrow.owners().iter().any(|owner| owner != escrow.node());
        let has_loans = !escrow.lent_share().capacity.is_zero();
        let expected = match !self.lenders.is_exhausted(now) && (has_lender || has_loans) {
            true => terms.capacity,
            false => terms.refill.over(MAX_TRANSFER_WAIT).min(terms.capacity),
        };
        (self.waiters.len() as u64) < expected.whole_units()
    }

    fn node(&self) -> &NodeId {
        self.bucket.escrow().node()
    }

    /// Returns the time in which the customer's refill covers the missing tokens.
    pub fn retry_after(&self) -> Duration {
        let terms = self.bucket.escrow().view().terms;
        terms.refill.time_for(self.shortfall().max(ONE_REQUEST))
    }

    fn shortfall(&self) -> MicroUnits {
        MicroUnits::from_units(self.waiters.len() as u64).saturating_sub(self.bucket.level())
    }

    pub fn push_waiter(&mut self, ticket: WaitTicket, until: MonoTime) {
        self.waiters.push_back(Waiter { ticket, until });
    }

    pub fn cancel(&mut self, ticket: WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Serves waiting requests, then borrows what is missing and gives back what is not needed.
    pub fn advance(
        &mut self,
        now: MonoTime,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        self.bucket.refresh(now);
        self.serve_waiters(now, actions);
        self.borrow(now, sequence, actions);
        self.return_loans(now, actions);
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
            } else if self.bucket.spend(ONE_REQUEST) {
                actions.push(LimiterAction::Admit(waiter.ticket));
                is_served = self.waiters.len() == 1;
            } else {
                return;
            }
            self.waiters.pop_front();
        }
        if is_served {
            self.lenders.record_served();
        }
    }

    /// Requests missing tokens from owners, and refill if the demand exceeds the share's refill.
    pub fn borrow(
        &mut self,
        now: MonoTime,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        let tokens = self.shortfall();
        let refill = self.missing_refill(now);
        if (tokens.is_zero() && refill.is_zero()) || self.lenders.is_backing_off(now) {
            return;
        }
        if !tokens.is_zero() {
            let recalls = self.bucket.escrow_mut().recall(now, None, RECALL_INTERVAL);
            send_all(recalls, actions);
        }
        let owners = self.bucket.escrow().owners().to_vec();
        let node = self.node().clone();
        let available = self.lenders.available(now, &owners, &node);
        if available.is_empty() {
            if !tokens.is_zero() {
                let terms = self.bucket.escrow().view().terms;
                let token_time = terms.refill.time_for(ONE_REQUEST);
                self.lenders.record_exhausted(now, token_time);
            }
            return;
        }
        let terms = self.bucket.escrow().view().terms;
        let owners_needed = |missing: u64, total: u64| {
            let owner_share = (total / owners.len().max(1) as u64).max(1);
            usize::try_from(missing.div_ceil(owner_share)).unwrap_or(usize::MAX)
        };
        // The first round requests whole tokens from more and more owners; later rounds accept parts.
        let partial = self.lenders.accepts_partial_tokens();
        let contacted = owners.len() - available.len();
        let token_fanout = match (tokens.is_zero(), partial) {
            (true, _) => 0,
            (false, true) => available.len(),
            (false, false) => owners_needed(tokens.0, terms.capacity.0)
                .max(contacted)
                .min(available.len()),
        };
        let refill_fanout = owners_needed(refill.0, terms.refill.0).min(available.len());
        let requested = self.amount_to_request(now, tokens, token_fanout, refill, refill_fanout);
        if !refill.is_zero() {
            self.next_refill_request_at = now + REFILL_REQUEST_INTERVAL;
        }
        for &index in available.iter().take(token_fanout.max(refill_fanout)) {
            self.lenders.record_request(now, index);
            let lender = owners[index].clone();
            let message = self
                .bucket
                .request_loan(now, lender, requested, partial, sequence);
            send_all([message], actions);
        }
    }

    fn amount_to_request(
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
        let terms = self.bucket.escrow().view().terms;
        let part = u128::from(terms.capacity.0) * u128::from(demand.0.min(terms.refill.0))
            / u128::from(terms.refill.0.max(1));
        let burst = MicroUnits(part as u64).min(MAX_BORROWED_BURST);
        let target = headroom(demand, BORROWED_HEADROOM_MS, ONE_REQUEST + ONE_REQUEST).max(burst);
        let missing = target.saturating_sub(self.bucket.escrow().share().capacity);
        let capacity = MicroUnits(each(missing.0, refill_fanout));
        LoanAmount {
            refill: RefillRate(each(refill.0, refill_fanout)),
            capacity: capacity.max(level),
            level: level.max(MicroUnits(capacity.0 / 2)),
        }
    }

    fn missing_refill(&self, now: MonoTime) -> RefillRate {
        let demand = self.meter.rate(now);
        let share = self.bucket.escrow().share();
        let has_enough = self.bucket.level().0 > share.capacity.0 / 2;
        let total = self.bucket.escrow().view().terms.refill;
        if demand < MIN_BORROWED_REFILL || now < self.next_refill_request_at || has_enough {
            return RefillRate::ZERO;
        }
        let demand_percent = demand.0.saturating_mul(100) / total.0.max(1);
        let percent = BORROWED_MIN_PERCENT + BORROWED_PERCENT_SLOPE * demand_percent;
        let target_refill = scale(demand, percent.min(BORROWED_MAX_PERCENT)).min(total);
        let missing = target_refill.saturating_sub(share.refill);
        if missing.0 < demand.0 / 16 {
            return RefillRate::ZERO;
        }
        missing
    }

    /// Accepts a grant and records that its lender answered.
    pub fn accept_grant(&mut self, now: MonoTime, lender: &NodeId, message: &EscrowMessage) {
        let EscrowMessage::Grant {
            request,
            grant,
            epoch,
            amount,
            ..
        } = message
        else {
            return;
        };
        let accepted = self
            .bucket
            .accept(now, lender, *request, *grant, *epoch, *amount);
        let owners = self.bucket.escrow().owners();
        let index = owners.iter().position(|owner| owner == lender);
        if let (Some(index), Some(_)) = (index, accepted) {
            self.lenders.record_answer(now, index);
        }
    }

    /// Answers a loan request with what this node does not need itself.
    pub fn lend(
        &mut self,
        now: MonoTime,
        borrower: NodeId,
        message: &EscrowMessage,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        let EscrowMessage::LoanRequest {
            request,
            requested,
            partial,
            ..
        } = message
        else {
            return;
        };
        let needed = self.needed(now, RESERVED_PERCENT);
        let reserved = LoanAmount {
            refill: needed.refill,
            capacity: needed.capacity,
            level: MicroUnits::from_units(self.waiters.len() as u64),
        };
        let requester = TokenRequester {
            borrower: borrower.clone(),
            request: *request,
            partial: *partial,
        };
        let (amount, reply) = self
            .bucket
            .lend(now, requester, *requested, reserved, sequence);
        send_all([reply], actions);
        if amount.level < requested.level || amount.refill < requested.refill {
            let escrow = self.bucket.escrow_mut();
            send_all(
                escrow.recall(now, Some(&borrower), RECALL_INTERVAL),
                actions,
            );
        }
    }

    fn needed(&self, now: MonoTime, percent: u64) -> BudgetShare {
        let demand = self.meter.rate(now);
        BudgetShare {
            refill: scale(demand, percent),
            capacity: headroom(demand, RESERVED_HEADROOM_MS, ONE_REQUEST),
        }
    }

    /// Gives back loans whose tokens are spent, and recalled loans that are not needed.
    ///
    /// An owner cannot refill capacity that it lent, so capacity without tokens is given back even
    /// while requests wait.
    pub fn return_loans(&mut self, now: MonoTime, actions: &mut Vec<LimiterAction>) {
        for request in self.loans_to_return(now) {
            send_all(self.bucket.return_loan(request), actions);
        }
    }

    fn loans_to_return(&self, now: MonoTime) -> Vec<TransferId> {
        let escrow = self.bucket.escrow();
        if escrow.borrowed().is_empty() {
            return Vec::new();
        }
        let needed = match self.meter.yields_to_peers(now) {
            true => BudgetShare::default(),
            false => self.needed(now, RESERVED_PERCENT),
        };
        let surplus = self.bucket.surplus_loans(needed);
        let mut capacity = escrow.share().capacity;
        let level = self.bucket.level();
        let mut to_return = Vec::new();
        for loan in escrow.borrowed() {
            let rest = capacity.saturating_sub(loan.share.capacity);
            let is_spent = loan.share.refill.is_zero() && rest >= level;
            let is_idle = self.waiters.is_empty()
                && (loan.share.refill.is_zero()
                    || loan.recalled && surplus.contains(&loan.request));
            if is_spent || is_idle {
                capacity = rest;
                to_return.push(loan.request);
            }
        }
        to_return
    }

    /// Renews the loans while requests arrive, and gives them back once none do.
    pub fn review_loans(
        &mut self,
        now: MonoTime,
        sequence: &mut TransferSequence,
        actions: &mut Vec<LimiterAction>,
    ) {
        if self.bucket.escrow().borrowed().is_empty() {
            return;
        }
        if self.meter.rate(now).is_zero() && !self.is_waiting() {
            for request in self.bucket.surplus_loans(BudgetShare::default()) {
                send_all(self.bucket.return_loan(request), actions);
            }
        }
        let escrow = self.bucket.escrow_mut();
        send_all(escrow.renew(now, sequence), actions);
    }

    /// Switches to a newer assignment or newer terms.
    pub fn adopt(&mut self, now: MonoTime, view: BudgetView, actions: &mut Vec<LimiterAction>) {
        send_all(self.bucket.adopt(now, view), actions);
        self.lenders.reset();
    }

    pub const fn bucket_mut(&mut self) -> &mut NodeBucket {
        &mut self.bucket
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
