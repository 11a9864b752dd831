//! One node's part of a budget that refills: a token bucket over its own and borrowed shares.
//!
//! All tokens of a node are in one bucket, since limiting what each node may hold limits the sum
//! over the fleet. See [docs/design/escrow.md](../../docs/design/escrow.md).

use crate::budget::{BudgetId, BudgetShare, BudgetView, MicroUnits, SplitMode};
use crate::escrow::{NodeEscrow, Outgoing};
use crate::ids::{Epoch, NodeId};
use crate::loan::{EscrowMessage, LoanAmount, TransferId, TransferSequence};
use crate::time::MonoTime;
use crate::token_bucket::TokenBucket;

/// The sender of a loan request.
#[derive(Clone, Debug)]
pub struct TokenRequester {
    /// The node.
    pub borrower: NodeId,
    /// The borrower's id of the request.
    pub request: TransferId,
    /// Whether the borrower accepts less than a whole token.
    pub partial: bool,
}

/// A token bucket whose size and refill follow the node's share.
#[derive(Clone, Debug)]
pub struct NodeBucket {
    escrow: NodeEscrow,
    bucket: TokenBucket,
}

impl NodeBucket {
    /// Makes the bucket with the tokens that its share gained since the node became a holder.
    pub fn new(
        now: MonoTime,
        budget: BudgetId,
        node: NodeId,
        view: BudgetView,
        mode: SplitMode,
    ) -> Self {
        let mut bucket = TokenBucket::new(view.epoch.held_since.min(now));
        let escrow = NodeEscrow::new(budget, node, view, mode);
        bucket.refill(now, escrow.share());
        Self { escrow, bucket }
    }

    /// Returns the shares and loans.
    pub const fn escrow(&self) -> &NodeEscrow {
        &self.escrow
    }

    /// Returns the tokens as of the last refresh.
    pub const fn level(&self) -> MicroUnits {
        self.bucket.level()
    }

    /// Returns whether the bucket equals a newly made one, so that it may be dropped.
    pub fn is_idle(&self) -> bool {
        self.escrow.has_no_transfers() && self.bucket.level() >= self.escrow.unlent_share().capacity
    }

    /// Refills up to `now`; each loan counts up to its end only, even if the process was paused.
    pub fn refresh(&mut self, now: MonoTime) {
        while let Some(end) = self.escrow.next_loan_end().filter(|&end| end <= now) {
            self.bucket.refill(end, self.escrow.share());
            self.escrow.expire_borrowed(end);
        }
        self.bucket.refill(now, self.escrow.share());
        self.escrow.expire_lent(now);
    }

    /// Spends `amount` if there are enough tokens, and returns whether there were.
    pub fn spend(&mut self, amount: MicroUnits) -> bool {
        self.bucket.spend(amount)
    }

    /// Switches to a newer assignment or newer terms, and gives back the loans that must end.
    pub fn adopt(&mut self, now: MonoTime, view: BudgetView) -> Vec<Outgoing> {
        self.refresh(now);
        self.escrow.adopt(view);
        let closing: Vec<_> = self
            .escrow
            .borrowed()
            .iter()
            .filter(|loan| loan.closing)
            .map(|loan| loan.request)
            .collect();
        let messages = closing
            .into_iter()
            .filter_map(|request| self.return_loan(request))
            .collect();
        self.bucket.clamp(self.escrow.share());
        messages
    }

    /// Requests a loan from `lender`; `partial` accepts less than a whole token.
    pub fn request_loan(
        &mut self,
        now: MonoTime,
        lender: NodeId,
        requested: LoanAmount,
        partial: bool,
        sequence: &mut TransferSequence,
    ) -> Outgoing {
        self.escrow
            .request_loan(now, lender, requested, partial, sequence)
    }

    /// Lends at most `requested` of what is free besides what `reserved` keeps for this node.
    ///
    /// Unless the borrower accepts parts, it gets whole tokens, so that two borrowers do not end up
    /// with half a token each. Tokens that the remaining share could not hold go with the loan.
    pub fn lend(
        &mut self,
        now: MonoTime,
        requester: TokenRequester,
        requested: LoanAmount,
        reserved: LoanAmount,
        sequence: &mut TransferSequence,
    ) -> (LoanAmount, Outgoing) {
        self.refresh(now);
        let amount = self.amount_to_lend(requested, requester.partial, reserved);
        let message =
            self.escrow
                .grant(now, requester.borrower, requester.request, amount, sequence);
        let debited = self.bucket.spend(amount.level);
        assert!(debited, "a loan carries at most the lender's tokens");
        self.bucket.clamp(self.escrow.share());
        (amount, message)
    }

    fn amount_to_lend(
        &self,
        requested: LoanAmount,
        partial: bool,
        reserved: LoanAmount,
    ) -> LoanAmount {
        let free = self.escrow.unlent_share();
        let total = self.escrow.share();
        let level = self.bucket.level();
        let spare_refill = total
            .refill
            .saturating_sub(reserved.refill)
            .min(free.refill);
        let spare_level = level.saturating_sub(reserved.level).min(free.capacity);
        let refill = requested.refill.min(spare_refill);
        let requested_level = match requested.level.min(spare_level) {
            level if partial => level,
            level => MicroUnits::from_units(level.whole_units()),
        };
        if refill.is_zero() && requested_level.is_zero() {
            return LoanAmount::default();
        }
        let requested_capacity = if refill.is_zero() {
            requested_level
        } else {
            requested.capacity
        };
        // Refill that stays here needs capacity for one token, or it overflows.
        let is_refill_left = !refill.is_zero() && refill < free.refill;
        let room_for_one = MicroUnits::from_units(u64::from(is_refill_left));
        let spare_capacity = total
            .capacity
            .saturating_sub(reserved.capacity.max(room_for_one))
            .min(free.capacity);
        let capacity = requested_capacity.min(spare_capacity).max(requested_level);
        let room = total.capacity.saturating_sub(level);
        let displaced = capacity.saturating_sub(room).min(level);
        LoanAmount {
            refill,
            capacity,
            level: requested_level.max(displaced),
        }
    }

    /// Accepts a grant and returns its amount, or `None` if the grant is not valid any more.
    pub fn accept(
        &mut self,
        now: MonoTime,
        lender: &NodeId,
        request: TransferId,
        grant: TransferId,
        epoch: Epoch,
        amount: LoanAmount,
    ) -> Option<LoanAmount> {
        self.refresh(now);
        let amount = self
            .escrow
            .accept(now, lender, request, grant, epoch, amount)?;
        self.bucket.credit(amount.level, self.escrow.share());
        Some(amount)
    }

    /// Gives back the loan that answered `request`, with the tokens that the remaining share cannot
    /// hold.
    pub fn return_loan(&mut self, request: TransferId) -> Option<Outgoing> {
        let loan = self.escrow.return_loan(request)?;
        let rest = self.escrow.share();
        let surplus = self.bucket.level().saturating_sub(rest.capacity);
        let message = EscrowMessage::Return {
            budget: self.escrow.budget().clone(),
            grant: loan.grant,
            level: surplus.min(loan.share.capacity),
        };
        self.bucket.clamp(rest);
        Some((loan.lender, message))
    }

    /// Ends a loan that a borrower returned, and credits the tokens that came with it.
    pub fn accept_return(
        &mut self,
        now: MonoTime,
        borrower: &NodeId,
        grant: TransferId,
        level: MicroUnits,
    ) {
        self.refresh(now);
        if let Some(share) = self.escrow.accept_return(borrower, grant) {
            self.bucket
                .credit(level.min(share.capacity), self.escrow.share());
        }
    }

    /// Returns the shares and loans, for messages that move no tokens.
    pub(crate) const fn escrow_mut(&mut self) -> &mut NodeEscrow {
        &mut self.escrow
    }

    /// Returns the loans, by request id, without which the share still covers `needed`.
    pub(crate) fn surplus_loans(&self, needed: BudgetShare) -> Vec<TransferId> {
        let mut share = self.escrow.share();
        let mut surplus = Vec::new();
        for loan in self.escrow.borrowed() {
            let rest = share.minus(loan.share);
            if rest.covers(needed) {
                share = rest;
                surplus.push(loan.request);
            }
        }
        surplus
    }
}
