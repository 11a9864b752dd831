//! Limits the calls per second that one node makes to the platform.
//!
//! The platform serves a fixed number of reads and writes per second to the whole fleet. Each node
//! gets a part of it, so that a burst of calls from one node cannot starve the others.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket for which calls wait in order.
#[derive(Debug)]
pub struct CallBudget {
    per_second: f64,
    burst: f64,
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    updated: Instant,
}

impl CallBudget {
    /// Makes a full budget of `per_second` calls, at least one; a burst is one second's calls.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second.max(1));
        Self {
            per_second,
            burst: per_second,
            state: Mutex::new(BudgetState {
                tokens: per_second,
                updated: now,
            }),
        }
    }

    /// Reserves a call and returns the time to wait before making it. Returns `None` and reserves
    /// nothing if the wait would exceed `max_wait`.
    pub fn reserve(&self, now: Instant, max_wait: Duration) -> Option<Duration> {
        let mut state = self.state.lock().expect("no holder of a budget panics");
        let elapsed = now.saturating_duration_since(state.updated).as_secs_f64();
        let tokens = (state.tokens + elapsed * self.per_second).min(self.burst);
        let wait = Duration::from_secs_f64(((1.0 - tokens) / self.per_second).max(0.0));
        if wait > max_wait {
            return None;
        }
        // A negative balance counts the calls that already wait.
        state.tokens = tokens - 1.0;
        state.updated = now.max(state.updated);
        Some(wait)
    }
}
