//! How many log lines of one kind may be written.
//!
//! Each kind of event has its own budget, so that a flood of one does not hide the others. What was
//! left out is counted, to be told in a line of its own. See [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

use crate::time::MonoTime;

/// The budget of one kind of line: a token bucket that holds the lines of some seconds.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: f64,
    tokens: f64,
    refilled_at: MonoTime,
    suppressed: u64,
}

impl LineBudget {
    /// The seconds whose lines may come at once: faults show as bursts.
    const BURST_S: f64 = 4.0;

    /// Makes a full budget.
    pub fn new(now: MonoTime, lines_per_s: f64) -> Self {
        Self {
            lines_per_s,
            tokens: lines_per_s * Self::BURST_S,
            refilled_at: now,
            suppressed: 0,
        }
    }

    /// Takes a line; says whether it may be written, and counts it otherwise.
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

    /// Returns how many lines were left out since this was asked last.
    pub fn drain_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
