//! Monotonic time for the decision modules.
//!
//! Decision modules never read a clock. The process reads its monotonic clock right before the action
//! that a time limit protects and passes the reading in, so that a process that was paused cannot act
//! on outdated state.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of one process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Readings of different processes must not be compared: processes may exchange durations only.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a reading from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a reading from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
