//! A token bucket that is exact to the micro-unit.

use std::time::Duration;

use crate::budget::{BudgetShare, CLOCK_DRIFT_PPM, MicroUnits};
use crate::time::MonoTime;

const PPM: u64 = 1_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// A level that grows with time and never exceeds the share's capacity.
///
/// It refills slower than the share's rate by the tolerated clock drift, so that a fast clock gains
/// nothing. Fractions of a micro-unit are carried over, so that frequent refills lose nothing.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: MicroUnits,
    remainder: u64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// Makes an empty bucket.
    pub const fn new(now: MonoTime) -> Self {
        Self {
            level: MicroUnits::ZERO,
            remainder: 0,
            refilled_at: now,
        }
    }

    /// Returns the level as of the last refill.
    pub const fn level(&self) -> MicroUnits {
        self.level
    }

    /// Adds what `share` gained until `now`, up to its capacity.
    ///
    /// A time before the last refill adds nothing.
    pub fn refill(&mut self, now: MonoTime, share: BudgetShare) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.gain(elapsed, share);
        self.clamp(share);
    }

    fn gain(&mut self, elapsed: Duration, share: BudgetShare) {
        let speed = u128::from(share.refill.0) * u128::from(PPM - CLOCK_DRIFT_PPM);
        let scale = MICROS_PER_SECOND * u128::from(PPM);
        let gained = speed * elapsed.as_micros() + u128::from(self.remainder);
        let whole = u64::try_from(gained / scale).unwrap_or(u64::MAX);
        self.remainder = u64::try_from(gained % scale).expect("the remainder is below 1e12");
        self.level = MicroUnits(self.level.0.saturating_add(whole));
    }

    /// Limits the level to the capacity of `share`, which may have become smaller.
    pub fn clamp(&mut self, share: BudgetShare) {
        if self.level >= share.capacity {
            self.level = share.capacity;
            self.remainder = 0;
        }
    }

    /// Spends `amount` if the level covers it, and returns whether it did.
    pub fn spend(&mut self, amount: MicroUnits) -> bool {
        let covered = self.level >= amount;
        if covered {
            self.level = self.level - amount;
        }
        covered
    }

    /// Adds tokens that a peer transferred, up to the capacity.
    pub fn credit(&mut self, amount: MicroUnits, share: BudgetShare) {
        self.level = self.level + amount;
        self.clamp(share);
    }
}
