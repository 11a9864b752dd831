//! Loans of shares between nodes, and the messages that transfer them.
//!
//! The lender debits its share before it sends a grant. A grant is accepted once, for the request
//! that it answers, and a return counts once, for the grant that it ends. So a lost, late or
//! duplicate message can leave a part of the budget unused for a while, but two nodes never use the
//! same part. See
//! [docs/design/escrow.md](../../docs/design/escrow.md).

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, BudgetShare, CLOCK_DRIFT_PPM, MicroUnits, RefillRate};
use crate::ids::{Epoch, Incarnation, NodeId};
use crate::time::MonoTime;

/// The time that a lender waits beyond the term and the clock drift, so that a borrower with a slow
/// clock has stopped using the loan.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1);
const PPM: u32 = 1_000_000;

/// Identifies a loan request or a grant of one VM; no id is used twice, not even after a restart.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TransferId(pub u64);

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Generates the transfer ids of one process.
#[derive(Clone, Debug)]
pub struct TransferSequence(u64);

impl TransferSequence {
    const INCARNATION_SHIFT: u32 = 40;

    /// Starts above every id that an earlier incarnation can have generated.
    pub const fn new(incarnation: Incarnation) -> Self {
        Self(incarnation.0 << Self::INCARNATION_SHIFT)
    }

    /// Returns the next id.
    pub const fn next_id(&mut self) -> TransferId {
        self.0 += 1;
        TransferId(self.0)
    }
}

/// The amount that a transfer moves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct LoanAmount {
    /// The refill per second.
    pub refill: RefillRate,
    /// The capacity.
    pub capacity: MicroUnits,
    /// The tokens, at most the capacity.
    pub level: MicroUnits,
}

impl LoanAmount {
    /// Returns the share that the amount moves.
    pub const fn share(&self) -> BudgetShare {
        BudgetShare {
            refill: self.refill,
            capacity: self.capacity,
        }
    }

    /// Returns whether neither refill nor capacity is moved.
    pub const fn is_zero(&self) -> bool {
        self.refill.is_zero() && self.capacity.is_zero()
    }
}

/// A message between nodes that transfers shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EscrowMessage {
    /// Requests a loan of a part of an owner's share.
    #[serde(rename = "ask")]
    LoanRequest {
        /// The budget.
        budget: BudgetId,
        /// The borrower's id of the request, which the grant repeats.
        #[serde(rename = "ask")]
        request: TransferId,
        /// The amount that is missing.
        #[serde(rename = "want")]
        requested: LoanAmount,
        /// Whether the borrower accepts less than a whole token.
        #[serde(default)]
        partial: bool,
    },
    /// Answers a loan request; a zero amount means that nothing can be lent.
    Grant {
        /// The budget.
        budget: BudgetId,
        /// The id of the request.
        #[serde(rename = "ask")]
        request: TransferId,
        /// The lender's id of the loan.
        grant: TransferId,
        /// The epoch by which the lender holds its share.
        epoch: Epoch,
        /// The amount that is lent.
        amount: LoanAmount,
    },
    /// Requests the extension of a loan.
    Renew {
        /// The budget.
        budget: BudgetId,
        /// The borrower's id of the renewal, which the answer repeats.
        #[serde(rename = "ask")]
        request: TransferId,
        /// The loan.
        grant: TransferId,
    },
    /// Extends a loan to one term after the renewal was requested.
    Renewed {
        /// The budget.
        budget: BudgetId,
        /// The id of the renewal.
        #[serde(rename = "ask")]
        request: TransferId,
        /// The loan.
        grant: TransferId,
    },
    /// Ends a loan early.
    Return {
        /// The budget.
        budget: BudgetId,
        /// The loan.
        grant: TransferId,
        /// The tokens that are given back.
        level: MicroUnits,
    },
    /// Requests the return of a loan that its borrower does not need.
    Recall {
        /// The budget.
        budget: BudgetId,
        /// The loan.
        grant: TransferId,
    },
}

impl EscrowMessage {
    /// Returns the budget that the message concerns.
    pub const fn budget(&self) -> &BudgetId {
        match self {
            Self::LoanRequest { budget, .. }
            | Self::Grant { budget, .. }
            | Self::Renew { budget, .. }
            | Self::Renewed { budget, .. }
            | Self::Return { budget, .. }
            | Self::Recall { budget, .. } => budget,
        }
    }
}

/// A part of a node's own share that a borrower may use.
#[derive(Clone, Debug)]
pub(crate) struct LentLoan {
    pub grant: TransferId,
    pub borrower: NodeId,
    pub share: BudgetShare,
    pub ends_at: MonoTime,
    pub recalled_at: Option<MonoTime>,
}

/// A part of another node's share that this node may use until the loan ends.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLoan {
    /// The borrower's id of the loan; the grant ids of two lenders may be equal.
    pub request: TransferId,
    pub grant: TransferId,
    pub lender: NodeId,
    pub share: BudgetShare,
    pub accepted_at: MonoTime,
    pub ends_at: MonoTime,
    /// Whether the loan is useful beyond the tokens that came with it: it refills, or its units are
    /// occupied.
    pub is_lasting: bool,
    pub recalled: bool,
    /// The loan must end because its lender's share became smaller.
    pub closing: bool,
}

/// A loan request or a renewal that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub request: TransferId,
    pub lender: NodeId,
    pub sent_at: MonoTime,
    /// The request id of the loan to extend, for a renewal.
    pub renews: Option<TransferId>,
}

/// Returns when a lender may use a loan's share again.
///
/// The borrower counts the term from before the grant was made. Its clock may be slow while the
/// lender's is fast; three times the drift covers both.
pub(crate) fn reclaim_time(granted_at: MonoTime, term: Duration) -> MonoTime {
    let drift = term * (3 * CLOCK_DRIFT_PPM as u32) / PPM;
    granted_at + term + drift + RECLAIM_MARGIN
}
