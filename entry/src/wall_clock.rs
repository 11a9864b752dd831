//! Reads the wall clock, by which two starts of a process are distinguished.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time in Unix milliseconds; zero if the clock is set to a time before 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
