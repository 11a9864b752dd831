//! The process's monotonic clock, which gives the time to the state machines of the library.

use std::time::Instant;

use damaskloom_lib::time::MonoTime;

/// Converts readings of the system's monotonic clock to [`MonoTime`].
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    origin: Instant,
}

impl MonoClock {
    /// Makes a clock whose readings start at zero now.
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
