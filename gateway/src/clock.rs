//! The process's monotonic clock, which gives the time to the state machines of the library.

use std::time::Duration;

use damaskloom_lib::time::MonoTime;
use nix::time::{ClockId, clock_gettime};

/// Converts readings of the system's clock to [`MonoTime`].
///
/// The clock counts the time for which the VM is suspended, unlike the one of [`std::time::Instant`]: leases,
/// shares and deadlines run out meanwhile, so a node that wakes up must not act on them.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    origin: Duration,
    read: fn() -> Duration,
}

impl MonoClock {
    /// Makes a clock whose readings start at zero now.
    pub fn start() -> Self {
        Self::from_source(time_since_boot)
    }

    /// Makes a clock over another source of time, which never goes back; its readings start at zero now.
    pub fn from_source(read: fn() -> Duration) -> Self {
        Self {
            origin: read(),
            read,
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> MonoTime {
        let elapsed = (self.read)().saturating_sub(self.origin).as_micros();
        MonoTime::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

/// Reads the time since the system started, with that for which it was suspended.
pub fn time_since_boot() -> Duration {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(reading.expect("Linux has this clock since 2.6.39"))
}
