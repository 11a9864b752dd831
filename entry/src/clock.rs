//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use damaskloom_lib::time::MonoTime;

/// Reads the monotonic clock as decisions see it.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    origin: Instant,
}

impl MonoClock {
    /// Starts a clock; its readings begin well above zero, so that a past can be expressed.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> MonoTime {
        let micros = self.origin.elapsed().as_micros();
        MonoTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX).saturating_add(1))
    }
}

/// Returns the time of day in Unix milliseconds; zero if the clock stands before 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
