//! Delays between the attempts of a call.

use std::time::Duration;

/// Exponential backoff with full jitter.
///
/// The jitter keeps the nodes of a fleet from calling all at once when the platform recovers.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    base: Duration,
    cap: Duration,
    attempt: u32,
}

impl RetryBackoff {
    /// Makes a backoff whose first delay is at most `base`, and no delay exceeds `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            attempt: 0,
        }
    }

    /// Returns the delay before the next attempt; `drawn` is a random number from 0 to 1.
    pub fn next_delay(&mut self, drawn: f64) -> Duration {
        let bound = self
            .base
            .saturating_mul(1_u32 << self.attempt.min(16))
            .min(self.cap);
        self.attempt += 1;
        bound.mul_f64(drawn.clamp(0.0, 1.0))
    }
}
