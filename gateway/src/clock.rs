//! The process's monotonic clock, as the decision modules take it.

use std::time::Instant;

use damaskloom_lib::time::MonoTime;

/// Turns the system's monotonic clock into [`MonoTime`] readings.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    origin: Instant,
}

impl MonoClock {
    /// Starts a clock whose readings count from now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> MonoTime {
        let elapsed = self.origin.elapsed().as_micros();
        MonoTime::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}
