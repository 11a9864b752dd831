//! Moving averages of a figure by route.

use indexmap::IndexMap;

use crate::ids::RouteId;

/// The number of values from which on an average is known.
const MIN_VALUES: u32 = 8;
/// The weight of a new value in an average of many.
const SMOOTHING_FACTOR: f64 = 0.02;
/// The maximum number of routes with an average; the oldest one is forgotten first.
const MAX_ROUTES: usize = 1_024;

/// A moving average that starts as the plain mean of the first values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    mean: f64,
    values: u32,
}

impl MovingAverage {
    pub(crate) fn record(&mut self, value: f64) {
        self.values = self.values.saturating_add(1);
        let weight = (1.0 / f64::from(self.values)).max(SMOOTHING_FACTOR);
        self.mean += (value - self.mean) * weight;
    }

    /// Returns the average, or none before the first value.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.values > 0).then_some(self.mean)
    }
}

/// The averages of a bounded number of routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteAverages {
    routes: IndexMap<RouteId, MovingAverage>,
}

impl RouteAverages {
    pub(crate) fn record(&mut self, route: &RouteId, value: f64) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.shift_remove_index(0);
        }
        self.routes.entry(route.clone()).or_default().record(value);
    }

    /// Returns the average of a route once it is known.
    pub(crate) fn known(&self, route: &RouteId) -> Option<f64> {
        let average = self.routes.get(route)?;
        (average.values >= MIN_VALUES).then_some(average.mean)
    }
}
