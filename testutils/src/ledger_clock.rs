//! The clock of the ledger, comparable between the processes of one machine.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static ORIGIN: LazyLock<(Instant, u64)> = LazyLock::new(|| {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (Instant::now(), since_epoch.as_micros() as u64)
});

/// Returns the microseconds since the Unix epoch; monotonic within a process.
pub fn unix_micros() -> u64 {
    let (origin, base) = *ORIGIN;
    base + origin.elapsed().as_micros() as u64
}
