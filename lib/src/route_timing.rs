//! Learns how long the requests of each route run at the targets of one service.
//!
//! Routes that share a service may differ in their running times by a multiple, so an answer is late, or
//! an error immediate, only by the measure of its own route. Until this node has enough answers of a
//! route, the operators' latency objective stands in. See
//! [docs/design/detection.md](../../docs/design/detection.md).

use std::time::Duration;

use crate::ids::RouteId;
use crate::route_average::{MovingAverage, RouteAverages};

/// An answer is late after this many typical running times: beyond the usual spread of running times.
const LATE_FACTOR: f64 = 4.0;
/// The minimum time after which an answer is late, in milliseconds.
const MIN_LATE_MS: u64 = 250;
/// The running time of a service that is assumed before its first answer, in milliseconds.
const INITIAL_RUNNING_MS: f64 = 120.0;

/// The running times of one service, over all routes and by route.
#[derive(Debug, Default)]
pub struct RouteTimings {
    all_ms: MovingAverage,
    routes_ms: RouteAverages,
}

impl RouteTimings {
    /// Records the running time of a success.
    pub fn record(&mut self, route: &RouteId, taken: Duration) {
        let taken_ms = taken.as_secs_f64() * 1_000.0;
        self.all_ms.record(taken_ms);
        self.routes_ms.record(route, taken_ms);
    }

    /// Returns the typical running time over all routes.
    pub fn typical(&self) -> Duration {
        let mean_ms = self.all_ms.mean().unwrap_or(INITIAL_RUNNING_MS);
        Duration::from_secs_f64(mean_ms / 1_000.0)
    }

    /// Returns the typical running time of a route, or that of the service if it is not known yet.
    pub fn typical_of(&self, route: &RouteId) -> Duration {
        self.known(route).unwrap_or_else(|| self.typical())
    }

    /// Returns the time after which an answer of the route counts as late; `objective` is the route's
    /// latency objective.
    pub fn late_threshold(&self, route: &RouteId, objective: Duration) -> Duration {
        self.known(route)
            .map_or(objective, |typical| typical.mul_f64(LATE_FACTOR))
            .max(Duration::from_millis(MIN_LATE_MS))
    }

    /// Returns the typical running time over all routes, or none before the first answer.
    pub(crate) fn known_typical(&self) -> Option<Duration> {
        let mean_ms = self.all_ms.mean()?;
        Some(Duration::from_secs_f64(mean_ms / 1_000.0))
    }

    pub(crate) fn known(&self, route: &RouteId) -> Option<Duration> {
        let mean_ms = self.routes_ms.known(route)?;
        Some(Duration::from_secs_f64(mean_ms / 1_000.0))
    }
}
