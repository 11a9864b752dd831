//! One node's hand in one budget: its own share, what it lent and what it borrowed.
//!
//! A node acts on its own share less what it lent plus what it borrowed. Shares move by loans of
//! bounded time, so that what a dead or cut-off borrower held comes back to its home without the
//! store. See [docs/design/escrow.md](../../docs/design/escrow.md).

use std::time::Duration;

use crate::budget::{BudgetId, BudgetShare, BudgetView, SplitMode, owner_count};
use crate::ids::{Epoch, NodeId};
use crate::loan::{
    BorrowedLoan, EscrowMessage, LentLoan, LoanAmount, PendingRequest, TransferId,
    TransferSequence, reclaim_time,
};
use crate::time::MonoTime;

/// A message and the node that it goes to.
pub type Outgoing = (NodeId, EscrowMessage);

/// One node's hand in one budget.
///
/// The hand knows shares and loans only. Whoever owns it keeps the level of a refilling share, or
/// the number of occupied units, within [`NodeEscrow::share`].
#[derive(Clone, Debug)]
pub struct NodeEscrow {
    budget: BudgetId,
    node: NodeId,
    mode: SplitMode,
    view: BudgetView,
    own_share: BudgetShare,
    lent: Vec<LentLoan>,
    borrowed: Vec<BorrowedLoan>,
    pending_requests: Vec<PendingRequest>,
}

impl NodeEscrow {
    /// Makes the hand of `node` with no loans.
    pub fn new(budget: BudgetId, node: NodeId, view: BudgetView, mode: SplitMode) -> Self {
        let own_share = view.share_of(&node, mode);
        Self {
            budget,
            node,
            mode,
            view,
            own_share,
            lent: Vec::new(),
            borrowed: Vec::new(),
            pending_requests: Vec::new(),
        }
    }

    /// Returns the budget.
    pub const fn budget(&self) -> &BudgetId {
        &self.budget
    }

    /// Returns the node whose hand it is.
    pub const fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the assignment and terms that the hand acts on.
    pub const fn view(&self) -> &BudgetView {
        &self.view
    }

    /// Returns the epoch that the hand acts on.
    pub const fn epoch(&self) -> Epoch {
        self.view.epoch.epoch
    }

    /// Returns the budget's homes, which lend.
    pub fn owners(&self) -> &[NodeId] {
        let holders = &self.view.epoch.holders;
        match self.mode {
            SplitMode::Owners => &holders[..owner_count(&self.view.terms, holders.len())],
            SplitMode::Static => &[],
        }
    }

    /// Returns the node's own share less what it lent.
    pub fn unlent_share(&self) -> BudgetShare {
        self.own_share.minus(self.lent_share())
    }

    /// Returns what the node may act on now.
    pub fn share(&self) -> BudgetShare {
        self.share_until(MonoTime::ZERO)
    }

    /// Returns what the node may act on until `deadline`, whatever is lost meanwhile.
    pub fn share_until(&self, deadline: MonoTime) -> BudgetShare {
        self.borrowed
            .iter()
            .filter(|loan| !loan.closing && loan.ends_at >= deadline)
            .fold(self.unlent_share(), |share, loan| share.plus(loan.share))
    }

    /// Returns what all borrowers may act on.
    pub fn lent_share(&self) -> BudgetShare {
        self.lent
            .iter()
            .fold(BudgetShare::default(), |sum, loan| sum.plus(loan.share))
    }

    /// Returns the lender of each loan that the node may act on.
    pub fn lenders(&self) -> impl Iterator<Item = &NodeId> {
        self.borrowed.iter().map(|loan| &loan.lender)
    }

    pub(crate) fn borrowed(&self) -> &[BorrowedLoan] {
        &self.borrowed
    }

    /// Returns whether the hand holds no loan and waits for no answer.
    pub fn has_no_transfers(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty() && self.pending_requests.is_empty()
    }

    /// Returns whether every loan fits the share of the newest epoch.
    ///
    /// A node acknowledges an epoch only when all its hands conform.
    pub fn conforms(&self) -> bool {
        self.own_share.covers(self.lent_share()) && self.borrowed.iter().all(|loan| !loan.closing)
    }

    /// Acts on a newer assignment or newer terms from now on.
    ///
    /// Loans from a lender whose share became smaller must end: the lender may be gone, and its
    /// share assigned anew.
    pub fn adopt(&mut self, view: BudgetView) {
        let is_older = view.epoch.epoch < self.view.epoch.epoch
            || view.terms.revision < self.view.terms.revision;
        if is_older {
            return;
        }
        let share_of =
            |view: &BudgetView, node: &NodeId| view.epoch.share_of(node, &view.terms, self.mode);
        for loan in &mut self.borrowed {
            let shrank = !share_of(&view, &loan.lender).covers(share_of(&self.view, &loan.lender));
            loan.closing |= shrank;
        }
        self.own_share = share_of(&view, &self.node);
        self.view = view;
    }

    /// Returns when the next loan ends that this node borrowed.
    pub fn next_loan_end(&self) -> Option<MonoTime> {
        self.borrowed.iter().map(|loan| loan.ends_at).min()
    }

    /// Stops acting on borrowed loans that ended before `now`.
    pub fn expire_borrowed(&mut self, now: MonoTime) {
        self.borrowed.retain(|loan| loan.ends_at > now);
    }

    /// Takes back lent loans that certainly ended, and forgets asks that can't be answered.
    pub fn expire_lent(&mut self, now: MonoTime) {
        let term = self.budget.loan_term();
        self.lent.retain(|loan| loan.ends_at > now);
        self.pending_requests
            .retain(|request| request.sent_at + term > now);
    }

    /// Asks `lender` for a loan; `partial` says that less than a whole token helps.
    pub fn request_loan(
        &mut self,
        now: MonoTime,
        lender: NodeId,
        requested: LoanAmount,
        partial: bool,
        sequence: &mut TransferSequence,
    ) -> Outgoing {
        let request = self.add_pending(now, lender.clone(), None, sequence);
        let budget = self.budget.clone();
        let message = EscrowMessage::LoanRequest {
            budget,
            request,
            requested,
            partial,
        };
        (lender, message)
    }

    fn add_pending(
        &mut self,
        now: MonoTime,
        lender: NodeId,
        renews: Option<TransferId>,
        sequence: &mut TransferSequence,
    ) -> TransferId {
        let request = sequence.next_id();
        self.pending_requests.push(PendingRequest {
            request,
            lender,
            sent_at: now,
            renews,
        });
        request
    }

    /// Lends `amount`, which must be free, in answer to an ask; the debit comes first.
    pub fn grant(
        &mut self,
        now: MonoTime,
        borrower: NodeId,
        request: TransferId,
        amount: LoanAmount,
        sequence: &mut TransferSequence,
    ) -> Outgoing {
        assert!(
            self.unlent_share().covers(amount.share()) && amount.level <= amount.capacity,
            "a loan is cut from the free part of the lender's own share"
        );
        let grant = sequence.next_id();
        if !amount.is_zero() {
            self.lent.push(LentLoan {
                grant,
                borrower: borrower.clone(),
                share: amount.share(),
                ends_at: reclaim_time(now, self.budget.loan_term()),
                recalled_at: None,
            });
        }
        let message = EscrowMessage::Grant {
            budget: self.budget.clone(),
            request,
            grant,
            epoch: self.epoch(),
            amount,
        };
        (borrower, message)
    }

    /// Takes a grant, once, if it answers a pending ask and has not ended.
    ///
    /// A grant out of an earlier epoch is not taken, since its lender may be gone and its share
    /// assigned anew.
    pub fn accept(
        &mut self,
        now: MonoTime,
        lender: &NodeId,
        request: TransferId,
        grant: TransferId,
        epoch: Epoch,
        amount: LoanAmount,
    ) -> Option<LoanAmount> {
        let pending = self.remove_pending(lender, request)?;
        let ends_at = pending.sent_at + self.budget.loan_term();
        if pending.renews.is_some() || ends_at <= now || epoch < self.epoch() {
            return None;
        }
        if !amount.is_zero() {
            self.borrowed.push(BorrowedLoan {
                request,
                grant,
                lender: lender.clone(),
                share: amount.share(),
                accepted_at: now,
                ends_at,
                is_lasting: !amount.refill.is_zero() || self.view.terms.refill.is_zero(),
                recalled: false,
                closing: false,
            });
        }
        Some(amount)
    }

    fn remove_pending(&mut self, lender: &NodeId, request: TransferId) -> Option<PendingRequest> {
        let index = self
            .pending_requests
            .iter()
            .position(|pending| pending.request == request && &pending.lender == lender)?;
        Some(self.pending_requests.swap_remove(index))
    }

    /// Asks to extend the lasting loans that are in the second half of their term.
    pub fn renew(&mut self, now: MonoTime, sequence: &mut TransferSequence) -> Vec<Outgoing> {
        let term = self.budget.loan_term();
        let due: Vec<_> = self
            .borrowed
            .iter()
            .filter(|loan| !loan.closing && loan.is_lasting)
            .filter(|loan| loan.ends_at.since(now) < term / 2)
            .map(|loan| (loan.lender.clone(), loan.request, loan.grant))
            .collect();
        let mut messages = Vec::new();
        for (lender, loan, grant) in due {
            let is_requested = self.pending_requests.iter().any(|pending| {
                pending.renews == Some(loan) && now.since(pending.sent_at) < term / 8
            });
            if is_requested {
                continue;
            }
            let request = self.add_pending(now, lender.clone(), Some(loan), sequence);
            let budget = self.budget.clone();
            messages.push((
                lender,
                EscrowMessage::Renew {
                    budget,
                    request,
                    grant,
                },
            ));
        }
        messages
    }

    /// Extends a loan that this node lent, unless it was recalled or its share is gone.
    pub fn extend(
        &mut self,
        now: MonoTime,
        borrower: &NodeId,
        request: TransferId,
        grant: TransferId,
    ) -> Option<Outgoing> {
        let fits = self.own_share.covers(self.lent_share());
        let loan = self
            .lent
            .iter_mut()
            .find(|loan| loan.grant == grant && &loan.borrower == borrower)?;
        if !fits {
            return None;
        }
        loan.ends_at = loan.ends_at.max(reclaim_time(now, self.budget.loan_term()));
        let budget = self.budget.clone();
        let message = EscrowMessage::Renewed {
            budget,
            request,
            grant,
        };
        Some((borrower.clone(), message))
    }

    /// Notes that the lender extended a loan, counted from when the renewal was sent.
    pub fn record_extension(
        &mut self,
        now: MonoTime,
        lender: &NodeId,
        request: TransferId,
        grant: TransferId,
    ) {
        let Some(pending) = self.remove_pending(lender, request) else {
            return;
        };
        let ends_at = pending.sent_at + self.budget.loan_term();
        let loan = self
            .borrowed
            .iter_mut()
            .filter(|loan| loan.grant == grant && &loan.lender == lender)
            .find(|loan| Some(loan.request) == pending.renews && loan.ends_at > now);
        if let Some(loan) = loan {
            loan.ends_at = loan.ends_at.max(ends_at);
        }
    }

    /// Stops acting on the loan that answered `ask`.
    pub(crate) fn return_loan(&mut self, request: TransferId) -> Option<BorrowedLoan> {
        let index = self
            .borrowed
            .iter()
            .position(|loan| loan.request == request)?;
        Some(self.borrowed.swap_remove(index))
    }

    /// Ends a loan that came back and returns its share; a repeated return ends nothing.
    pub fn accept_return(&mut self, borrower: &NodeId, grant: TransferId) -> Option<BudgetShare> {
        let index = self
            .lent
            .iter()
            .position(|loan| loan.grant == grant && &loan.borrower == borrower)?;
        Some(self.lent.swap_remove(index).share)
    }

    /// Notes that a lender wants a loan back.
    pub fn record_recall(&mut self, lender: &NodeId, grant: TransferId) {
        let loan = self
            .borrowed
            .iter_mut()
            .find(|loan| loan.grant == grant && &loan.lender == lender);
        if let Some(loan) = loan {
            loan.recalled = true;
        }
    }

    /// Asks the borrowers of this node's share, except `asker`, to end what they do not need.
    ///
    /// A loan is recalled again after `spacing`.
    pub fn recall(
        &mut self,
        now: MonoTime,
        requester: Option<&NodeId>,
        interval: Duration,
    ) -> Vec<Outgoing> {
        let budget = &self.budget;
        self.lent
            .iter_mut()
            .filter(|loan| Some(&loan.borrower) != requester)
            .filter(|loan| loan.recalled_at.is_none_or(|at| now.since(at) >= interval))
            .map(|loan| {
                loan.recalled_at = Some(now);
                let message = EscrowMessage::Recall {
                    budget: budget.clone(),
                    grant: loan.grant,
                };
                (loan.borrower.clone(), message)
            })
            .collect()
    }
}
