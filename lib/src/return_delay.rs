//! Determines when callers whose requests were refused for lack of capacity may come back.

use std::time::Duration;

use crate::routing::PriorityRank;

/// The minimum and the maximum delay of requests of the highest priority, before jitter.
const MIN_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_millis(2_000);
/// The fraction by which the delay grows with each rank, so that urgent requests come back first.
const RANK_STEP: f64 = 0.5;
/// The rank from which on the delay grows no further.
const MAX_RANK: u32 = 4;

/// Returns the delay after which a refused request may be sent again.
///
/// `expected_wait` is the time until a target is expected to have a free slot: a caller that comes
/// back sooner would be refused again. `drawn`, a random number from 0 to 1, spreads the callers that
/// were refused at the same time.
pub fn return_delay(expected_wait: Duration, priority: PriorityRank, drawn: f64) -> Duration {
    let rank = f64::from(priority.0.min(MAX_RANK));
    let spread = 0.75 + drawn.clamp(0.0, 1.0) / 2.0;
    let delay = expected_wait.clamp(MIN_DELAY, MAX_DELAY);
    delay.mul_f64((1.0 + rank * RANK_STEP) * spread)
}
