//! Learns how long the requests of each route run at the targets of one service.
//!
//! Routes that share a service may differ in their running times by a multiple, so an answer is late, or
//! an error immediate, only by the measure of its own route. Until this node has enough answers of a
//! route, the operators' latency objective stands in. See
//! [docs/design/detection.md](../../docs/design/detection.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::RouteId;

/// An answer is late after this many typical running times: beyond the usual spread of running times.
const LATE_FACTOR: f64 = 4.0;
/// The minimum time after which an answer is late, in milliseconds.
const MIN_LATE_MS: u64 = 250;
/// The number of answers from which on a route's running time is known.
const MIN_ANSWERS: u32 = 8;
/// The weight of a new answer in a moving average of many.
const SMOOTHING_FACTOR: f64 = 0.02;
/// The maximum number of routes with learned times; the oldest one is forgotten first.
const MAX_ROUTES: usize = 1_024;
/// The running time of a service that is assumed before its first answer, in milliseconds.
const INITIAL_RUNNING_MS: f64 = 120.0;

/// A moving average of running times that starts as the plain mean of the first ones.
#[derive(Clone, Copy, Debug, Default)]
struct RunningAverage {
    mean_ms: f64,
    answers: u32,
}

impl RunningAverage {
    fn record(&mut self, taken: Duration) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(SMOOTHING_FACTOR);
        self.mean_ms += (taken.as_secs_f64() * 1_000.0 - self.mean_ms) * weight;
    }
}

/// The running times of one service, over all routes and by route.
#[derive(Debug, Default)]
pub struct RouteTimings {
    all: RunningAverage,
    routes: IndexMap<RouteId, RunningAverage>,
}

impl RouteTimings {
    /// Records the running time of a success.
    pub fn record(&mut self, route: &RouteId, taken: Duration) {
        self.all.record(taken);
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.shift_remove_index(0);
        }
        self.routes.entry(route.clone()).or_default().record(taken);
    }

    /// Returns the typical running time over all routes.
    pub fn typical(&self) -> Duration {
        let mean_ms = if self.all.answers == 0 {
            INITIAL_RUNNING_MS
        } else {
            self.all.mean_ms
        };
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

    fn known(&self, route: &RouteId) -> Option<Duration> {
        let average = self.routes.get(route)?;
        (average.answers >= MIN_ANSWERS).then(|| Duration::from_secs_f64(average.mean_ms / 1_000.0))
    }
}
