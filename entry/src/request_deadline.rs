//! The deadline of a request, which also passes while the VM is suspended.

use std::time::{Duration, Instant};

use damaskloom_gateway::clock::MonoClock;
use damaskloom_lib::time::MonoTime;

/// The time by which the caller must have its answer.
///
/// Timers stand still while the VM is suspended, so they are set anew from this deadline before each step.
#[derive(Clone, Copy, Debug)]
pub struct RequestDeadline {
    expires_at: MonoTime,
}

impl RequestDeadline {
    /// Makes the deadline of a request that has `left` from now on.
    pub fn after(clock: &MonoClock, left: Duration) -> Self {
        Self {
            expires_at: clock.now() + left,
        }
    }

    /// Returns when the deadline passes.
    pub const fn expires_at(&self) -> MonoTime {
        self.expires_at
    }

    /// Returns the time that is left; zero once the deadline has passed.
    pub fn time_left(&self, clock: &MonoClock) -> Duration {
        self.expires_at.since(clock.now())
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(&self, clock: &MonoClock) -> bool {
        self.time_left(clock).is_zero()
    }

    /// Returns when a timer has to end that starts now.
    pub fn timer_end(&self, clock: &MonoClock) -> Instant {
        Instant::now() + self.time_left(clock)
    }
}
