//! Which homes a node asks next for a customer's tokens, and when it pauses.

use std::time::Duration;

use crate::ids::NodeId;
use crate::time::MonoTime;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(10);
const FAILED_ROUNDS_BEFORE_REFUSAL: u32 = 3;
const MAX_BACKOFF_SHIFT: u32 = 5;
const MAX_BACKOFF: Duration = Duration::from_millis(320);
const FEW_OWNERS: usize = 6;
const FEW_OWNERS_MAX_BACKOFF: Duration = Duration::from_millis(40);

/// What the node knows of one home that it may borrow from.
#[derive(Clone, Copy, Debug, Default)]
struct LenderState {
    /// When the home may be asked again.
    available_at: MonoTime,
    /// Whether an ask has no answer so far.
    is_answer_pending: bool,
}

/// The homes of one customer as a borrower sees them.
///
/// A sweep asks every home once. After a sweep that did not bring enough, the node pauses, longer
/// each time, so that a customer over its rate costs few messages.
#[derive(Clone, Debug)]
pub(crate) struct LenderSelector {
    lenders: Vec<LenderState>,
    cursor: usize,
    backoff_until: MonoTime,
    failed_rounds: u32,
}

impl LenderSelector {
    /// Makes a board; `cursor` picks the home that is asked first.
    pub const fn new(cursor: usize) -> Self {
        Self {
            lenders: Vec::new(),
            cursor,
            backoff_until: MonoTime::ZERO,
            failed_rounds: 0,
        }
    }

    /// Forgets everything, since the homes changed.
    pub fn reset(&mut self) {
        *self = Self::new(self.cursor);
    }

    pub fn is_backing_off(&self, now: MonoTime) -> bool {
        now < self.backoff_until
    }

    /// Returns whether so many sweeps failed that a newcomer should not wait for the next one.
    pub fn is_exhausted(&self, now: MonoTime) -> bool {
        self.failed_rounds >= FAILED_ROUNDS_BEFORE_REFUSAL && self.is_backing_off(now)
    }

    /// Returns whether a sweep failed, so that parts of a token are worth collecting.
    pub const fn accepts_partial_tokens(&self) -> bool {
        self.failed_rounds > 0
    }

    /// Returns the homes other than `node` that may be asked now, next one first.
    pub fn available(&mut self, now: MonoTime, owners: &[NodeId], node: &NodeId) -> Vec<usize> {
        self.lenders.resize(owners.len(), LenderState::default());
        (0..owners.len())
            .map(|offset| (self.cursor + offset) % owners.len())
            .filter(|&index| &owners[index] != node)
            .filter(|&index| self.lenders[index].available_at <= now)
            .collect()
    }

    /// Notes that a home was asked.
    pub fn record_request(&mut self, now: MonoTime, index: usize) {
        self.lenders[index] = LenderState {
            available_at: now + REQUEST_TIMEOUT,
            is_answer_pending: true,
        };
        self.cursor = index + 1;
    }

    /// Notes that a home answered.
    pub fn record_answer(&mut self, now: MonoTime, index: usize) {
        if let Some(lender) = self.lenders.get_mut(index) {
            *lender = LenderState {
                available_at: now + REQUEST_TIMEOUT,
                is_answer_pending: false,
            };
        }
    }

    /// Pauses if every home was asked and no answer is due.
    ///
    /// `token_time` is the time in which the whole customer gains a token.
    pub fn record_exhausted(&mut self, now: MonoTime, token_time: Duration) {
        let is_answer_expected = self
            .lenders
            .iter()
            .any(|lender| lender.is_answer_pending && lender.available_at > now);
        if is_answer_expected {
            return;
        }
        let backoff = REQUEST_TIMEOUT * (1 << self.failed_rounds.min(MAX_BACKOFF_SHIFT));
        // With few homes a waiting request finds the next token by asking often.
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

    /// Notes that every waiting request was served.
    pub const fn record_served(&mut self) {
        self.failed_rounds /= 2;
    }
}
