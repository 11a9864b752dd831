//! Baseline rates of failures, rejections and slow answers of a service, by customer and route.
//!
//! An outcome is tested against the higher of two rates: that of the customer and that of the
//! route. A customer whose own requests fail, and a route that fails on every target, thus raise
//! only their own baseline.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::{AttemptOutcome, AttemptScope};
use crate::ids::{CustomerId, RouteId};
use crate::population::{LatencyPopulation, RateEstimate};
use crate::sequential_test::{Alternative, ScorePair, log_likelihood_ratio};

const ASSUMED_FAILURE_RATE: f32 = 0.005;
const ASSUMED_REJECTION_RATE: f32 = 0.02;
const ASSUMED_SLOW_RATE: f32 = 0.02;
const MAX_CUSTOMERS: usize = 512;
const MAX_ROUTES: usize = 256;

#[derive(Debug)]
struct RouteBaseline {
    failures: RateEstimate,
    rejections: RateEstimate,
    slowness: RateEstimate,
    latencies: LatencyPopulation,
}

impl Default for RouteBaseline {
    fn default() -> Self {
        Self {
            failures: RateEstimate::new(ASSUMED_FAILURE_RATE),
            rejections: RateEstimate::new(ASSUMED_REJECTION_RATE),
            slowness: RateEstimate::new(ASSUMED_SLOW_RATE),
            latencies: LatencyPopulation::default(),
        }
    }
}

#[derive(Debug)]
struct CustomerBaseline {
    failures: RateEstimate,
    rejections: RateEstimate,
}

impl Default for CustomerBaseline {
    fn default() -> Self {
        Self {
            failures: RateEstimate::new(ASSUMED_FAILURE_RATE),
            rejections: RateEstimate::new(ASSUMED_REJECTION_RATE),
        }
    }
}

/// The baselines of one service as observed by one node.
#[derive(Debug, Default)]
pub(crate) struct ServiceBaseline {
    routes: IndexMap<RouteId, RouteBaseline>,
    customers: IndexMap<CustomerId, CustomerBaseline>,
}

impl ServiceBaseline {
    /// Returns the latency above which an answer of the route is slow, or `None` while unknown.
    pub(crate) fn slow_threshold(&self, route: &RouteId) -> Option<Duration> {
        self.routes.get(route)?.latencies.slow_threshold()
    }

    /// Tests an outcome for failure and, unless it failed, for rejection; returns both scores.
    pub(crate) fn test_failure(
        &mut self,
        scope: &AttemptScope,
        outcome: AttemptOutcome,
    ) -> (ScorePair, ScorePair) {
        let customer = bounded_entry(&mut self.customers, &scope.customer, MAX_CUSTOMERS);
        let route = bounded_entry(&mut self.routes, &scope.route, MAX_ROUTES);
        let failed = outcome.is_failure();
        let null_rate = customer.failures.rate().max(route.failures.rate());
        let failure = ScorePair::of(null_rate, failed);
        customer.failures.record(failed);
        route.failures.record(failed);
        if failed {
            return (failure, ScorePair::default());
        }
        let rejected = outcome == AttemptOutcome::Rejected;
        let null_rate = customer.rejections.rate().max(route.rejections.rate());
        let rejection = ScorePair::of(null_rate, rejected);
        customer.rejections.record(rejected);
        route.rejections.record(rejected);
        (failure, rejection)
    }

    /// Returns whether an answer is slow, and its score in nats.
    pub(crate) fn test_latency(&mut self, route: &RouteId, latency: Duration) -> (bool, f32) {
        let baseline = bounded_entry(&mut self.routes, route, MAX_ROUTES);
        let threshold = baseline.latencies.slow_threshold();
        baseline.latencies.record(latency);
        let Some(threshold) = threshold else {
            return (false, 0.0);
        };
        let slow = latency > threshold;
        let score = slowness_score(baseline.slowness.rate(), slow);
        baseline.slowness.record(slow);
        (slow, score)
    }

    /// Returns the score of a pending attempt that is late, in nats.
    ///
    /// Only its first time late is recorded, since the population counts requests.
    pub(crate) fn test_overdue(&mut self, route: &RouteId, is_first: bool) -> f32 {
        let baseline = bounded_entry(&mut self.routes, route, MAX_ROUTES);
        let score = slowness_score(baseline.slowness.rate(), true);
        if is_first {
            baseline.slowness.record(true);
        }
        score
    }
}

fn slowness_score(null_rate: f64, slow: bool) -> f32 {
    log_likelihood_ratio(Alternative::Strong, null_rate, slow) as f32
}

fn bounded_entry<'a, K: Clone + Eq + std::hash::Hash, V: Default>(
    map: &'a mut IndexMap<K, V>,
    key: &K,
    capacity: usize,
) -> &'a mut V {
    if !map.contains_key(key) && map.len() >= capacity {
        map.shift_remove_index(0);
    }
    map.entry(key.clone()).or_default()
}
