//! Whether a node carries callers' traffic, or gets single requests only.
//!
//! Nodes that carry traffic tell each other often what they do; that must not begin with every
//! single request that reaches a node.

use std::time::Duration;

use crate::time::MonoTime;

/// The requests per second from which on a node carries traffic: far above single tests of a node,
/// far below the part of any node that callers are sent to.
const CARRYING_THRESHOLD_PER_S: f64 = 3.0;
/// The time over which requests are averaged, in seconds.
const WINDOW_S: f64 = 1.0;
/// The time for which a node still counts as carrying traffic, in milliseconds: some reports.
const RETENTION_MS: u64 = 2_000;

/// Averages a node's requests.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    per_s: f64,
    recorded_at: MonoTime,
    carried_at: Option<MonoTime>,
}

impl TrafficMeter {
    /// Notes a request.
    pub fn record(&mut self, now: MonoTime) {
        let elapsed = now.since(self.recorded_at).as_secs_f64();
        self.per_s = self.per_s * (-elapsed / WINDOW_S).exp() + 1.0 / WINDOW_S;
        self.recorded_at = now;
        if self.per_s >= CARRYING_THRESHOLD_PER_S {
            self.carried_at = Some(now);
        }
    }

    /// Says whether the node carries traffic.
    pub fn is_carrying(&self, now: MonoTime) -> bool {
        let retention = Duration::from_millis(RETENTION_MS);
        self.carried_at.is_some_and(|at| now.since(at) < retention)
    }
}
