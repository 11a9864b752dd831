//! Loans of shares between nodes, and the messages that carry them.
//!
//! The giver debits its share before a grant is sent. A grant is taken once, for the ask that it
//! answers, and a return counts once, for the grant that it ends. So a lost, late or repeated
//! message can leave a part of the budget unused for a while, but never in two hands. See
//! [docs/design/escrow.md](../../docs/design/escrow.md).

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::budget::{BudgetId, BudgetShare, CLOCK_DRIFT_PPM, MicroUnits, RefillRate};
use crate::ids::{Epoch, Incarnation, NodeId};
use crate::time::MonoTime;

/// What a lender waits in addition to the term, so that a borrower with a slow clock has stopped.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1);
const PPM: u32 = 1_000_000;

/// Numbers an ask or a grant; a process never uses a number twice, nor does its successor.
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

/// Draws the transfer numbers of one process.
#[derive(Clone, Debug)]
pub struct TransferSequence(u64);

impl TransferSequence {
    const INCARNATION_SHIFT: u32 = 40;

    /// Starts above every number that an earlier incarnation can have drawn.
    pub const fn new(incarnation: Incarnation) -> Self {
        Self(incarnation.0 << Self::INCARNATION_SHIFT)
    }

    /// Draws the next number.
    pub const fn next_id(&mut self) -> TransferId {
        self.0 += 1;
        TransferId(self.0)
    }
}

/// What a transfer moves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct LoanAmount {
    /// The part of the refill.
    pub refill: RefillRate,
    /// The part of the capacity.
    pub capacity: MicroUnits,
    /// The tokens; at most the capacity.
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

    /// Returns whether nothing is moved.
    pub const fn is_zero(&self) -> bool {
        self.refill.is_zero() && self.capacity.is_zero()
    }
}

/// What nodes tell each other to move shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EscrowMessage {
    /// Asks a home to lend a part of its share.
    #[serde(rename = "ask")]
    LoanRequest {
        /// The budget.
        budget: BudgetId,
        /// The asker's number, which the grant repeats.
        #[serde(rename = "ask")]
        request: TransferId,
        /// What would help.
        #[serde(rename = "want")]
        requested: LoanAmount,
        /// Whether less than a whole token helps.
        #[serde(default)]
        partial: bool,
    },
    /// Answers an ask; a zero amount says that nothing can be spared.
    Grant {
        /// The budget.
        budget: BudgetId,
        /// The number of the ask.
        #[serde(rename = "ask")]
        request: TransferId,
        /// The lender's number of the loan.
        grant: TransferId,
        /// The epoch that the lender held its share in.
        epoch: Epoch,
        /// What is lent.
        amount: LoanAmount,
    },
    /// Asks to extend a loan by a term.
    Renew {
        /// The budget.
        budget: BudgetId,
        /// The asker's number, which the answer repeats.
        #[serde(rename = "ask")]
        request: TransferId,
        /// The loan.
        grant: TransferId,
    },
    /// Extends a loan to a term after the renewal was asked for.
    Renewed {
        /// The budget.
        budget: BudgetId,
        /// The number of the renewal.
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
        /// The tokens that come back.
        level: MicroUnits,
    },
    /// Asks a borrower to end a loan that it does not need.
    Recall {
        /// The budget.
        budget: BudgetId,
        /// The loan.
        grant: TransferId,
    },
}

impl EscrowMessage {
    /// Returns the budget that the message is about.
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

/// A part of a node's own share that a borrower may act on.
#[derive(Clone, Debug)]
pub(crate) struct LentLoan {
    pub grant: TransferId,
    pub borrower: NodeId,
    pub share: BudgetShare,
    pub ends_at: MonoTime,
    pub recalled_at: Option<MonoTime>,
}

/// A part of another node's share that this node may act on until the loan ends.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLoan {
    /// The borrower's number of the loan; lenders may number their grants alike.
    pub request: TransferId,
    pub grant: TransferId,
    pub lender: NodeId,
    pub share: BudgetShare,
    pub accepted_at: MonoTime,
    pub ends_at: MonoTime,
    /// Whether the loan is of use beyond the tokens that came with it.
    pub is_lasting: bool,
    pub recalled: bool,
    /// The loan must end because its lender's share became smaller.
    pub closing: bool,
}

/// An ask or a renewal without an answer so far.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub request: TransferId,
    pub lender: NodeId,
    pub sent_at: MonoTime,
    /// The ask of the loan that is to be extended.
    pub renews: Option<TransferId>,
}

/// Returns when a lender may act on a loan's share again.
///
/// The borrower counts the term from before the grant was made, on a clock that may be slow while
/// the lender's is fast; three times the drift covers both.
pub(crate) fn reclaim_time(granted_at: MonoTime, term: Duration) -> MonoTime {
    let drift = term * (3 * CLOCK_DRIFT_PPM as u32) / PPM;
    granted_at + term + drift + RECLAIM_MARGIN
}
