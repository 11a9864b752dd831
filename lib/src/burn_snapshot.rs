//! The burn counts that a node serves at `GET /v1/burn`, and the merging of several nodes' counts.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, DataCentreId, ServiceId, TargetId};

/// The number of windows over which burn is counted.
pub const WINDOW_COUNT: usize = 4;

/// A span of time, up to now, over which burn is counted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnWindow {
    /// Five minutes.
    FiveMinutes,
    /// One hour.
    OneHour,
    /// Six hours.
    SixHours,
    /// Three days, the period that the error budget is for.
    ThreeDays,
}

impl BurnWindow {
    /// All windows, from the shortest to the longest; counts are in the same order.
    pub const ALL: [Self; WINDOW_COUNT] = [
        Self::FiveMinutes,
        Self::OneHour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the window's length.
    pub const fn length(self) -> Duration {
        match self {
            Self::FiveMinutes => Duration::from_secs(300),
            Self::OneHour => Duration::from_secs(3_600),
            Self::SixHours => Duration::from_secs(6 * 3_600),
            Self::ThreeDays => Duration::from_secs(72 * 3_600),
        }
    }
}

impl fmt::Display for BurnWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FiveMinutes => "5 min",
            Self::OneHour => "1 h",
            Self::SixHours => "6 h",
            Self::ThreeDays => "3 d",
        })
    }
}

/// The requests of one span of time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct BurnCount {
    /// The requests that count towards the objective.
    pub total: u64,
    /// The requests among them that failed.
    pub bad: u64,
}

impl BurnCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// Counts for each window, in the order of [`BurnWindow::ALL`].
pub type WindowCounts = [BurnCount; WINDOW_COUNT];

/// The cause of a failed request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnCause {
    /// The target that failed the request, if one was involved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// The data centre of the target, or of the node that refused the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
    /// The reason for the refusal or the kind of failure, such as `status-500`.
    pub reason: String,
}

/// The failures of one cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CauseBurn {
    /// The cause.
    pub cause: BurnCause,
    /// The failures in each window.
    pub windows: WindowCounts,
}

/// One customer's requests to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CustomerBurn {
    /// The customer, or `None` for all that are not counted separately.
    #[serde(default)]
    pub customer: Option<CustomerId>,
    /// The requests in each window.
    pub windows: WindowCounts,
}

/// One service's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceId,
    /// The objective, in parts per million of successful answers.
    pub objective_ppm: u32,
    /// The requests in each window.
    pub windows: WindowCounts,
    /// The requests in the buckets of each window, from the oldest to the newest, for plots.
    #[serde(default)]
    pub history: [Vec<BurnCount>; WINDOW_COUNT],
    /// Customers, in no particular order.
    #[serde(default)]
    pub customers: Vec<CustomerBurn>,
    /// Causes of failures, in no particular order.
    #[serde(default)]
    pub causes: Vec<CauseBurn>,
}

/// The counts of one node, or the sum of several.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnSnapshot {
    /// The nodes that the counts are from.
    pub nodes: Vec<String>,
    /// The time for which the most recently started node has counted, in milliseconds.
    #[serde(default)]
    pub covered_ms: u64,
    /// The services.
    #[serde(default)]
    pub services: Vec<ServiceBurn>,
}

impl BurnSnapshot {
    /// Adds the counts of other nodes, or of another shard of the same node.
    pub fn merge(&mut self, other: Self) {
        self.covered_ms = match self.nodes.is_empty() {
            true => other.covered_ms,
            false => self.covered_ms.min(other.covered_ms),
        };
        for node in other.nodes {
            if !self.nodes.contains(&node) {
                self.nodes.push(node);
            }
        }
        for service in other.services {
            let existing = self.services.iter_mut();
            match existing
                .into_iter()
                .find(|existing| existing.service == service.service)
            {
                Some(existing) => existing.merge(service),
                None => self.services.push(service),
            }
        }
    }
}

impl ServiceBurn {
    fn merge(&mut self, other: Self) {
        // While a change of the objective spreads, nodes differ; the stricter objective is used.
        self.objective_ppm = self.objective_ppm.max(other.objective_ppm);
        add_windows(&mut self.windows, &other.windows);
        for (existing, added) in self.history.iter_mut().zip(other.history) {
            add_history(existing, &added);
        }
        for customer in other.customers {
            let mut existing = self.customers.iter_mut();
            match existing.find(|existing| existing.customer == customer.customer) {
                Some(existing) => add_windows(&mut existing.windows, &customer.windows),
                None => self.customers.push(customer),
            }
        }
        for cause in other.causes {
            let mut existing = self.causes.iter_mut();
            match existing.find(|existing| existing.cause == cause.cause) {
                Some(existing) => add_windows(&mut existing.windows, &cause.windows),
                None => self.causes.push(cause),
            }
        }
    }
}

fn add_windows(existing: &mut WindowCounts, added: &WindowCounts) {
    for (existing, added) in existing.iter_mut().zip(added) {
        existing.add(*added);
    }
}

/// Adds buckets by age; the newest are last in both.
fn add_history(existing: &mut Vec<BurnCount>, added: &[BurnCount]) {
    let missing = added.len().saturating_sub(existing.len());
    existing.splice(..0, std::iter::repeat_n(BurnCount::default(), missing));
    for (existing, added) in existing.iter_mut().rev().zip(added.iter().rev()) {
        existing.add(*added);
    }
}
