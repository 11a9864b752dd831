//! Selects the owners from which a node requests a customer's tokens next, and when it backs off.

use std::time::Duration;

use crate::ids::NodeId;
use crate::time::MonoTime;

/// The time between two loan requests to one owner, and the shortest backoff.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(10);
/// The number of failed rounds after which a new request does not wait for the next round.
const FAILED_ROUNDS_BEFORE_REFUSAL: u32 = 3;
const MAX_BACKOFF_SHIFT: u32 = 5;
/// The longest backoff with many owners.
const MAX_BACKOFF: Duration = Duration::from_millis(320);
/// With at most this many owners, the backoff is limited by the time in which the budget gains a token.
const FEW_OWNERS: usize = 6;
const FEW_OWNERS_MAX_BACKOFF: Duration = Duration::from_millis(40);

/// The state of one owner as a lender.
#[derive(Clone, Copy, Debug, Default)]
struct LenderState {
    /// When the next loan request may be sent to the owner.
    available_at: MonoTime,
    /// Whether a loan request is unanswered.
    is_answer_pending: bool,
}

/// The owners of one customer's budget, from a borrower's point of view.
///
/// A round sends a loan request to every owner once. After a round that did not bring enough, the
/// node backs off, longer each time, so that a customer over its rate costs few messages.
#[derive(Clone, Debug)]
pub(crate) struct LenderSelector {
    lenders: Vec<LenderState>,
    cursor: usize,
    backoff_until: MonoTime,
    failed_rounds: u32,
}

impl LenderSelector {
    /// Makes a selector; `cursor` determines the first lender.
    pub const fn new(cursor: usize) -> Self {
        Self {
            lenders: Vec::new(),
            cursor,
            backoff_until: MonoTime::ZERO,
            failed_rounds: 0,
        }
    }

    /// Resets the state after a change of the owners.
    pub fn reset(&mut self) {
        *self = Self::new(self.cursor);
    }

    pub fn is_backing_off(&self, now: MonoTime) -> bool {
        now < self.backoff_until
    }

    /// Returns whether so many rounds failed that a new request should not wait for the next one.
    pub fn is_exhausted(&self, now: MonoTime) -> bool {
        self.failed_rounds >= FAILED_ROUNDS_BEFORE_REFUSAL && self.is_backing_off(now)
    }

    /// Returns whether a round failed, after which parts of a token are accepted.
    pub const fn accepts_partial_tokens(&self) -> bool {
        self.failed_rounds > 0
    }

    /// Returns the indexes of the owners other than `node` that may get a loan request now, in
    /// order.
    pub fn available(&mut self, now: MonoTime, owners: &[NodeId], node: &NodeId) -> Vec<usize> {
        self.lenders.resize(owners.len(), LenderState::default());
        (0..owners.len())
            .map(|offset| (self.cursor + offset) % owners.len())
            .filter(|&index| &owners[index] != node)
            .filter(|&index| self.lenders[index].available_at <= now)
            .collect()
    }

    /// Records that a loan request was sent to an owner.
    pub fn record_request(&mut self, now: MonoTime, index: usize) {
        self.lenders[index] = LenderState {
            available_at: now + REQUEST_TIMEOUT,
            is_answer_pending: true,
        };
        self.cursor = index + 1;
    }

    /// Records that an owner answered.
    pub fn record_answer(&mut self, now: MonoTime, index: usize) {
        if let Some(lender) = self.lenders.get_mut(index) {
            *lender = LenderState {
                available_at: now + REQUEST_TIMEOUT,
                is_answer_pending: false,
            };
        }
    }

    /// Backs off if every owner got a loan request and no answer is expected any more.
    ///
    /// `token_time` is the time in which the customer's whole budget gains a token.
    pub fn record_exhausted(&mut self, now: MonoTime, token_time: Duration) {
        let is_answer_expected = self
            .lenders
            .iter()
            .any(|lender| lender.is_answer_pending && lender.available_at > now);
        if is_answer_expected {
            return;
        }
        let backoff = REQUEST_TIMEOUT * (1 << self.failed_rounds.min(MAX_BACKOFF_SHIFT));
        // With few owners, frequent loan requests find the next token for a waiting request.
        let max_backoff = match self.lenders.len() {
            0..=FEW_OWNERS => (token_time / 4).max(FEW_OWNERS_MAX_BACKOFF),
            _ => MAX_BACKOFF,
        };
        self.backoff_until = now + backoff.min(max_backoff);
        self.failed_rounds += 1;
        for lender in &mut self.lenders {
            *lender = LenderState {
                available_at: self.backoff_until,
                is_answer_pending: false,
            };
        }
    }

    /// Records that every waiting request was served.
    pub const fn record_served(&mut self) {
        self.failed_rounds /= 2;
    }
}
