//! The time of day, by which two starts of a process are told apart.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in Unix milliseconds; zero if the clock stands before 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
