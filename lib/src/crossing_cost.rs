//! The cost of sending a request to a target in another data centre, learned from the bytes of its route.
//!
//! A link between data centres is paid for by the byte, so an answer of 90 kB costs eighteen times as much there as
//! one of 5 kB. The operators state what a byte costs. See [docs/design/picking.md](../../docs/design/picking.md).

use crate::ids::RouteId;
use crate::route_average::RouteAverages;
use crate::units::ByteSize;

/// The cost of a crossing, whatever its size: its latency, its heads and often a connection of its own.
const MIN_COST: f64 = 0.06;
/// The maximum cost of a crossing. It is below that of a failure that is retried, so that a target elsewhere is
/// preferred to a failing one nearby.
const MAX_COST: f64 = 0.25;

/// The cost of crossing data centres for one request, as a fraction of the request's value.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CrossingCost(f64);

impl CrossingCost {
    /// Returns the cost as a number.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Returns whether a request is small enough to go to another data centre only to learn a target's state.
    pub fn allows_trials(self) -> bool {
        self.0 <= MIN_COST
    }
}

impl Default for CrossingCost {
    /// The cost of a request of unknown size.
    fn default() -> Self {
        Self(MIN_COST)
    }
}

/// The bytes of the routes of one service, in both directions.
#[derive(Clone, Debug, Default)]
pub struct RouteSizes {
    averages: RouteAverages,
}

impl RouteSizes {
    /// Records the bodies of a request and its answer together.
    pub fn record(&mut self, route: &RouteId, bytes: ByteSize) {
        self.averages.record(route, bytes.0 as f64);
    }

    /// Returns the cost of crossing data centres for a request of the route; `cost_per_kb` is that of 1,000 bytes, as
    /// a fraction of a request's value.
    pub fn crossing_cost(&self, route: &RouteId, cost_per_kb: f64) -> CrossingCost {
        let cost = self
            .averages
            .known(route)
            .map_or(MIN_COST, |bytes| bytes / 1_000.0 * cost_per_kb);
        CrossingCost(cost.clamp(MIN_COST, MAX_COST))
    }
}
