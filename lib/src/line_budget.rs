//! Limits the rate of log lines of one kind.
//!
//! Each kind of event has its own budget, so that a flood of one kind does not hide the others.
//! Suppressed lines are counted and reported in a separate line. See
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

use crate::time::MonoTime;

/// The budget of one kind of line: a token bucket that holds the lines of a few seconds.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: f64,
    tokens: f64,
    refilled_at: MonoTime,
    suppressed: u64,
}

impl LineBudget {
    /// The seconds' worth of lines that may be written at once, since faults cause bursts of lines.
    const BURST_S: f64 = 4.0;

    /// Creates a full budget.
    pub fn new(now: MonoTime, lines_per_s: f64) -> Self {
        Self {
            lines_per_s,
            tokens: lines_per_s * Self::BURST_S,
            refilled_at: now,
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written; counts it as suppressed otherwise.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.lines_per_s;
        self.tokens = (self.tokens + gained).min(self.lines_per_s * Self::BURST_S);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        } else {
            self.suppressed += 1;
        }
        allowed
    }

    /// Returns the number of lines that were suppressed since the last call.
    pub fn drain_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
