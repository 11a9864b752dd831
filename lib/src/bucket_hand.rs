//! One node's hand in a budget that refills: a token bucket over own and borrowed shares.
//!
//! All tokens of a hand are in one bucket, since the sum over the fleet is bounded by what each
//! hand may hold. See [docs/design/escrow.md](../../docs/design/escrow.md).

use crate::budget::{BudgetId, BudgetShare, BudgetView, MicroUnits, SplitMode};
use crate::escrow::{EscrowHand, Outgoing};
use crate::ids::{Epoch, NodeId};
use crate::loan::{EscrowMessage, LoanAmount, TransferId, TransferSequence};
use crate::time::MonoTime;
use crate::token_bucket::TokenBucket;

/// Who asks for a loan.
#[derive(Clone, Debug)]
pub struct Asker {
    /// The node.
    pub borrower: NodeId,
    /// The node's number of the ask.
    pub ask: TransferId,
    /// Whether less than a whole token helps.
    pub partial: bool,
}

/// A hand whose tokens are spent and refill.
#[derive(Clone, Debug)]
pub struct BucketHand {
    hand: EscrowHand,
    bucket: TokenBucket,
}

impl BucketHand {
    /// Makes the hand with what its share gained since the node became a holder.
    pub fn new(
        now: MonoTime,
        budget: BudgetId,
        node: NodeId,
        view: BudgetView,
        mode: SplitMode,
    ) -> Self {
        let mut bucket = TokenBucket::new(view.epoch.held_since.min(now));
        let hand = EscrowHand::new(budget, node, view, mode);
        bucket.refill(now, hand.share());
        Self { hand, bucket }
    }

    /// Returns the shares and loans.
    pub const fn escrow(&self) -> &EscrowHand {
        &self.hand
    }

    /// Returns the tokens as of the last refresh.
    pub const fn level(&self) -> MicroUnits {
        self.bucket.level()
    }

    /// Returns whether the hand is as a newly made one would be, so that it may be forgotten.
    pub fn is_idle(&self) -> bool {
        self.hand.is_quiet() && self.bucket.level() >= self.hand.own_free().capacity
    }

    /// Refills up to `now`, ending each loan at its time even if the process was paused.
    pub fn refresh(&mut self, now: MonoTime) {
        while let Some(end) = self.hand.next_end().filter(|&end| end <= now) {
            self.bucket.refill(end, self.hand.share());
            self.hand.end_borrowed(end);
        }
        self.bucket.refill(now, self.hand.share());
        self.hand.take_back(now);
    }

    /// Spends `amount` if the hand holds it.
    pub fn spend(&mut self, amount: MicroUnits) -> bool {
        self.bucket.take(amount)
    }

    /// Acts on a newer assignment or newer terms; loans that must end are returned.
    pub fn adopt(&mut self, now: MonoTime, view: BudgetView) -> Vec<Outgoing> {
        self.refresh(now);
        self.hand.adopt(view);
        let closing: Vec<_> = self
            .hand
            .borrowed()
            .iter()
            .filter(|loan| loan.closing)
            .map(|loan| loan.ask)
            .collect();
        let messages = closing
            .into_iter()
            .filter_map(|ask| self.give_back(ask))
            .collect();
        self.bucket.bound(self.hand.share());
        messages
    }

    /// Asks `lender` for a loan; `partial` says that less than a whole token helps.
    pub fn ask(
        &mut self,
        now: MonoTime,
        lender: NodeId,
        want: LoanAmount,
        partial: bool,
        sequence: &mut TransferSequence,
    ) -> Outgoing {
        self.hand.ask(now, lender, want, partial, sequence)
    }

    /// Lends at most `want` of what is free besides what `keep` reserves for this node.
    ///
    /// Unless the borrower collects parts, it gets whole tokens, so that two borrowers do not end
    /// with half a token each. Tokens that the rest of the share could not hold go with the loan.
    pub fn lend(
        &mut self,
        now: MonoTime,
        asker: Asker,
        want: LoanAmount,
        keep: LoanAmount,
        sequence: &mut TransferSequence,
    ) -> (LoanAmount, Outgoing) {
        self.refresh(now);
        let amount = self.amount_to_lend(want, asker.partial, keep);
        let message = self
            .hand
            .grant(now, asker.borrower, asker.ask, amount, sequence);
        let debited = self.bucket.take(amount.level);
        assert!(debited, "a loan's level is at most the lender's level");
        self.bucket.bound(self.hand.share());
        (amount, message)
    }

    fn amount_to_lend(&self, want: LoanAmount, partial: bool, keep: LoanAmount) -> LoanAmount {
        let free = self.hand.own_free();
        let total = self.hand.share();
        let level = self.bucket.level();
        let spare_refill = total.refill.saturating_sub(keep.refill).min(free.refill);
        let spare_level = level.saturating_sub(keep.level).min(free.capacity);
        let refill = want.refill.min(spare_refill);
        let asked_level = match want.level.min(spare_level) {
            level if partial => level,
            level => MicroUnits::from_units(level.whole_units()),
        };
        if refill.is_zero() && asked_level.is_zero() {
            return LoanAmount::default();
        }
        let wanted_capacity = if refill.is_zero() {
            asked_level
        } else {
            want.capacity
        };
        // Refill that stays here needs room for a token, or it is lost.
        let is_refill_left = !refill.is_zero() && refill < free.refill;
        let room_for_one = MicroUnits::from_units(u64::from(is_refill_left));
        let spare_capacity = total
            .capacity
            .saturating_sub(keep.capacity.max(room_for_one))
            .min(free.capacity);
        let capacity = wanted_capacity.min(spare_capacity).max(asked_level);
        let room = total.capacity.saturating_sub(level);
        let displaced = capacity.saturating_sub(room).min(level);
        LoanAmount {
            refill,
            capacity,
            level: asked_level.max(displaced),
        }
    }

    /// Takes a grant; returns what it brought, or `None` if it does not count.
    pub fn accept(
        &mut self,
        now: MonoTime,
        lender: &NodeId,
        ask: TransferId,
        grant: TransferId,
        epoch: Epoch,
        amount: LoanAmount,
    ) -> Option<LoanAmount> {
        self.refresh(now);
        let amount = self.hand.accept(now, lender, ask, grant, epoch, amount)?;
        self.bucket.credit(amount.level, self.hand.share());
        Some(amount)
    }

    /// Gives the loan back that answered `ask`, with the tokens that the rest of the hand can't hold.
    pub fn give_back(&mut self, ask: TransferId) -> Option<Outgoing> {
        let loan = self.hand.give_back(ask)?;
        let rest = self.hand.share();
        let surplus = self.bucket.level().saturating_sub(rest.capacity);
        let message = EscrowMessage::Return {
            budget: self.hand.budget().clone(),
            grant: loan.grant,
            level: surplus.min(loan.share.capacity),
        };
        self.bucket.bound(rest);
        Some((loan.lender, message))
    }

    /// Takes a loan back that a borrower returned.
    pub fn take_return(
        &mut self,
        now: MonoTime,
        borrower: &NodeId,
        grant: TransferId,
        level: MicroUnits,
    ) {
        self.refresh(now);
        if let Some(share) = self.hand.take_return(borrower, grant) {
            self.bucket
                .credit(level.min(share.capacity), self.hand.share());
        }
    }

    /// Returns the shares and loans for messages that move no tokens.
    pub(crate) const fn escrow_mut(&mut self) -> &mut EscrowHand {
        &mut self.hand
    }

    /// Returns the asks of loans without which the hand still covers `needed`.
    pub(crate) fn surplus_loans(&self, needed: BudgetShare) -> Vec<TransferId> {
        let mut share = self.hand.share();
        let mut surplus = Vec::new();
        for loan in self.hand.borrowed() {
            let rest = share.minus(loan.share);
            if rest.covers(needed) {
                share = rest;
                surplus.push(loan.ask);
            }
        }
        surplus
    }
}
