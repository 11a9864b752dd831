//! Tracks one node's part of one budget: its own share and the loans that it gave and took.
//!
//! A node may use its own share, less what it lent, plus what it borrowed. Loans expire, so that a
//! share that a crashed or unreachable borrower held returns to its owner without the store.
//! See [docs/design/escrow.md](../../docs/design/escrow.md).

use std::time::Duration;

use crate::budget::{BudgetId, BudgetShare, BudgetView, SplitMode, owner_count};
use crate::ids::{Epoch, NodeId};
use crate::loan::{
    BorrowedLoan, EscrowMessage, LentLoan, LoanAmount, PendingRequest, TransferId,
    TransferSequence, reclaim_time,
};
use crate::time::MonoTime;

/// A message with its receiver.
pub type Outgoing = (NodeId, EscrowMessage);

/// One node's share of one budget, with its loans.
///
/// It does not track use. Its user keeps the tokens of a refilling share, or the number of occupied
/// units, within [`NodeEscrow::share`].
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
    /// Makes the escrow of `node` without loans.
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

    /// Returns the node that the escrow belongs to.
    pub const fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the assignment and terms in use.
    pub const fn view(&self) -> &BudgetView {
        &self.view
    }

    /// Returns the epoch in use.
    pub const fn epoch(&self) -> Epoch {
        self.view.epoch.epoch
    }

    /// Returns the budget's owners, which lend; none for a static split.
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

    /// Returns the share that the node may use now.
    pub fn share(&self) -> BudgetShare {
        self.share_until(MonoTime::ZERO)
    }

    /// Returns the share that the node may use until `deadline` if no message arrives meanwhile.
    pub fn share_until(&self, deadline: MonoTime) -> BudgetShare {
        self.borrowed
            .iter()
            .filter(|loan| !loan.closing && loan.ends_at >= deadline)
            .fold(self.unlent_share(), |share, loan| share.plus(loan.share))
    }

    /// Returns the sum of the shares that are lent.
    pub fn lent_share(&self) -> BudgetShare {
        self.lent
            .iter()
            .fold(BudgetShare::default(), |sum, loan| sum.plus(loan.share))
    }

    /// Returns the lender of each borrowed loan.
    pub fn lenders(&self) -> impl Iterator<Item = &NodeId> {
        self.borrowed.iter().map(|loan| &loan.lender)
    }

    pub(crate) fn borrowed(&self) -> &[BorrowedLoan] {
        &self.borrowed
    }

    /// Returns whether there are no loans and no unanswered requests.
    pub fn has_no_transfers(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty() && self.pending_requests.is_empty()
    }

    /// Returns whether every loan fits the shares of the newest epoch.
    ///
    /// A node acknowledges an epoch only when all its escrows conform.
    pub fn conforms(&self) -> bool {
        self.own_share.covers(self.lent_share()) && self.borrowed.iter().all(|loan| !loan.closing)
    }

    /// Switches to a newer assignment or newer terms; ignores older ones.
    ///
    /// Loans from a lender whose share became smaller must end, since the lender may have left and
    /// its share may be assigned to another node.
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

    /// Returns when the next borrowed loan ends.
    pub fn next_loan_end(&self) -> Option<MonoTime> {
        self.borrowed.iter().map(|loan| loan.ends_at).min()
    }

    /// Removes borrowed loans that have ended at `now`.
    pub fn expire_borrowed(&mut self, now: MonoTime) {
        self.borrowed.retain(|loan| loan.ends_at > now);
    }

    /// Reclaims lent loans that have ended on any borrower's clock, and drops requests whose answer
    /// would come too late.
    pub fn expire_lent(&mut self, now: MonoTime) {
        let term = self.budget.loan_term();
        self.lent.retain(|loan| loan.ends_at > now);
        self.pending_requests
            .retain(|request| request.sent_at + term > now);
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

    /// Lends `amount` in answer to a request; the share is debited before the message is sent.
    ///
    /// Panics if `amount` exceeds the unlent share.
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
            "a loan must fit the unlent part of the lender's own share"
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

    /// Accepts a grant once, if it answers a pending request and has not ended.
    ///
    /// A grant of an earlier epoch is ignored, since its lender may have left and its share may be
    /// assigned to another node.
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

    /// Requests an extension of the lasting loans that are in the second half of their term.
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

    /// Extends a loan that this node lent, unless its own share no longer covers its loans.
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

    /// Extends a borrowed loan; the term counts from when the renewal was sent.
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

    /// Removes the borrowed loan that answered `request`.
    pub(crate) fn return_loan(&mut self, request: TransferId) -> Option<BorrowedLoan> {
        let index = self
            .borrowed
            .iter()
            .position(|loan| loan.request == request)?;
        Some(self.borrowed.swap_remove(index))
    }

    /// Ends a loan that its borrower gave back and returns its share; `None` for a duplicate.
    pub fn accept_return(&mut self, borrower: &NodeId, grant: TransferId) -> Option<BudgetShare> {
        let index = self
            .lent
            .iter()
            .position(|loan| loan.grant == grant && &loan.borrower == borrower)?;
        Some(self.lent.swap_remove(index).share)
    }

    /// Marks a borrowed loan as recalled by its lender.
    pub fn record_recall(&mut self, lender: &NodeId, grant: TransferId) {
        let loan = self
            .borrowed
            .iter_mut()
            .find(|loan| loan.grant == grant && &loan.lender == lender);
        if let Some(loan) = loan {
            loan.recalled = true;
        }
    }

    /// Recalls the loans of all borrowers except `requester`, which return what they do not need.
    ///
    /// A loan is recalled at most once per `interval`.
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
