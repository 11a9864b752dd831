//! Which homes a node asks next for a customer's tokens, and when it pauses.

use std::time::Duration;

use crate::ids::NodeId;
use crate::time::MonoTime;

const ASK_TIMEOUT: Duration = Duration::from_millis(10);
const SWEEPS_BEFORE_REFUSAL: u32 = 3;
const LONGEST_PAUSE_SHIFT: u32 = 5;
const LONGEST_PAUSE: Duration = Duration::from_millis(320);
const FEW_HOMES: usize = 6;
const FEW_HOMES_PAUSE: Duration = Duration::from_millis(40);

/// What the node knows of one home that it may borrow from.
#[derive(Clone, Copy, Debug, Default)]
struct LenderState {
    /// When the home may be asked again.
    open_at: MonoTime,
    /// Whether an ask has no answer so far.
    is_asked: bool,
}

/// The homes of one customer as a borrower sees them.
///
/// A sweep asks every home once. After a sweep that did not bring enough, the node pauses, longer
/// each time, so that a customer over its rate costs few messages.
#[derive(Clone, Debug)]
pub(crate) struct LenderBoard {
    lenders: Vec<LenderState>,
    cursor: usize,
    paused_until: MonoTime,
    sweeps: u32,
}

impl LenderBoard {
    /// Makes a board; `cursor` picks the home that is asked first.
    pub const fn new(cursor: usize) -> Self {
        Self {
            lenders: Vec::new(),
            cursor,
            paused_until: MonoTime::ZERO,
            sweeps: 0,
        }
    }

    /// Forgets everything, since the homes changed.
    pub fn reset(&mut self) {
        *self = Self::new(self.cursor);
    }

    pub fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Returns whether so many sweeps failed that a newcomer should not wait for the next one.
    pub fn is_dry(&self, now: MonoTime) -> bool {
        self.sweeps >= SWEEPS_BEFORE_REFUSAL && self.is_paused(now)
    }

    /// Returns whether a sweep failed, so that parts of a token are worth collecting.
    pub const fn collects_parts(&self) -> bool {
        self.sweeps > 0
    }

    /// Returns the homes other than `node` that may be asked now, next one first.
    pub fn open(&mut self, now: MonoTime, homes: &[NodeId], node: &NodeId) -> Vec<usize> {
        self.lenders.resize(homes.len(), LenderState::default());
        (0..homes.len())
            .map(|offset| (self.cursor + offset) % homes.len())
            .filter(|&index| &homes[index] != node)
            .filter(|&index| self.lenders[index].open_at <= now)
            .collect()
    }

    /// Notes that a home was asked.
    pub fn note_ask(&mut self, now: MonoTime, index: usize) {
        self.lenders[index] = LenderState {
            open_at: now + ASK_TIMEOUT,
            is_asked: true,
        };
        self.cursor = index + 1;
    }

    /// Notes that a home answered.
    pub fn note_answer(&mut self, now: MonoTime, index: usize) {
        if let Some(lender) = self.lenders.get_mut(index) {
            *lender = LenderState {
                open_at: now + ASK_TIMEOUT,
                is_asked: false,
            };
        }
    }

    /// Pauses if every home was asked and no answer is due.
    ///
    /// `token_time` is the time in which the whole customer gains a token.
    pub fn note_exhausted(&mut self, now: MonoTime, token_time: Duration) {
        let is_answer_due = self
            .lenders
            .iter()
            .any(|lender| lender.is_asked && lender.open_at > now);
        if is_answer_due {
            return;
        }
        let pause = ASK_TIMEOUT * (1 << self.sweeps.min(LONGEST_PAUSE_SHIFT));
        // With few homes a waiting request finds the next token by asking often.
        let longest = match self.lenders.len() {
            0..=FEW_HOMES => (token_time / 4).max(FEW_HOMES_PAUSE),
            _ => LONGEST_PAUSE,
        };
        self.paused_until = now + pause.min(longest);
        self.sweeps += 1;
        for lender in &mut self.lenders {
            *lender = LenderState {
                open_at: self.paused_until,
                is_asked: false,
            };
        }
    }

    /// Notes that every waiting request was served.
    pub const fn note_served(&mut self) {
        self.sweeps /= 2;
    }
}
