//! Detects whether a node carries callers' traffic or receives single requests only.
//!
//! Nodes that carry traffic report to each other often; a single request must not start that.

use std::time::Duration;

use crate::time::MonoTime;

/// The request rate from which on a node carries traffic: far above single tests of a node, far
/// below the load of any node that callers are routed to.
const CARRYING_THRESHOLD_PER_S: f64 = 3.0;
/// The time constant of the average, in seconds.
const WINDOW_S: f64 = 1.0;
/// The time for which a node counts as carrying traffic after its rate fell, in milliseconds:
/// several report intervals.
const RETENTION_MS: u64 = 2_000;

/// A decaying average of a node's request rate.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    per_s: f64,
    recorded_at: MonoTime,
    carried_at: Option<MonoTime>,
}

impl TrafficMeter {
    /// Counts a request.
    pub fn record(&mut self, now: MonoTime) {
        let elapsed = now.since(self.recorded_at).as_secs_f64();
        self.per_s = self.per_s * (-elapsed / WINDOW_S).exp() + 1.0 / WINDOW_S;
        self.recorded_at = now;
        if self.per_s >= CARRYING_THRESHOLD_PER_S {
            self.carried_at = Some(now);
        }
    }

    /// Returns whether the node carries traffic.
    pub fn is_carrying(&self, now: MonoTime) -> bool {
        let retention = Duration::from_millis(RETENTION_MS);
        self.carried_at.is_some_and(|at| now.since(at) < retention)
    }
}
