//! The burn report: the error budgets of services, with their customers and causes of failures.

use damaskloom_lib::burn_budget::ErrorBudget;
use damaskloom_lib::burn_snapshot::{
    BurnCause, BurnCount, BurnSnapshot, CustomerBurn, ServiceBurn, WINDOW_COUNT, WindowCounts,
};
use damaskloom_lib::ids::ServiceId;
use serde::Serialize;

use crate::report_input::{MissingSource, ReportInput};

/// The window by whose failures causes are ordered and weighted, which is the budget's period.
const ORDER_WINDOW: usize = WINDOW_COUNT - 1;

/// One customer of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CustomerSummary {
    /// The customer's name, or `(others)`.
    pub customer: String,
    /// The requests in each window.
    pub windows: WindowCounts,
    /// The error budget of this customer's requests under the service's objective.
    pub budget: ErrorBudget,
}

/// One cause of failures of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CauseSummary {
    /// The cause.
    pub cause: BurnCause,
    /// The failures in each window.
    pub windows: WindowCounts,
    /// The cause's share of the service's failures over three days, from 0 to 1.
    pub share: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSummary {
    /// The service.
    pub service: ServiceId,
    /// The objective for the share of successful answers, in parts per million.
    pub objective_ppm: u32,
    /// The requests in each window.
    pub windows: WindowCounts,
    /// The error budget.
    pub budget: ErrorBudget,
    /// The buckets of each window, from the oldest to the newest.
    pub history: [Vec<BurnCount>; WINDOW_COUNT],
    /// The customers, with the least remaining budget first.
    pub customers: Vec<CustomerSummary>,
    /// The causes, the most frequent first.
    pub causes: Vec<CauseSummary>,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnReport {
    /// The nodes whose requests are counted.
    pub nodes: Vec<String>,
    /// The nodes and files that could not be read, whose requests are missing.
    pub missing: Vec<MissingSource>,
    /// The sources that were skipped since one of their nodes was counted already.
    pub repeated: Vec<String>,
    /// The time for which the node that started last has counted, in milliseconds.
    pub covered_ms: u64,
    /// The services, the most urgent first.
    pub services: Vec<ServiceSummary>,
}

impl From<&ReportInput> for BurnReport {
    fn from(input: &ReportInput) -> Self {
        let BurnSnapshot {
            nodes,
            covered_ms,
            services,
        } = input.sum();
        let mut services: Vec<_> = services.into_iter().map(ServiceSummary::from).collect();
        services.sort_by(|one, other| {
            let by_state = other.budget.state.cmp(&one.budget.state);
            let by_remaining = one.budget.remaining.total_cmp(&other.budget.remaining);
            by_state
                .then(by_remaining)
                .then(one.service.cmp(&other.service))
        });
        Self {
            nodes,
            missing: input.missing.clone(),
            repeated: input.repeated.clone(),
            covered_ms,
            services,
        }
    }
}

impl From<ServiceBurn> for ServiceSummary {
    fn from(burn: ServiceBurn) -> Self {
        let objective_ppm = burn.objective_ppm;
        let customers = burn.customers.into_iter();
        let mut customers: Vec<_> = customers
            .map(|customer| CustomerSummary::new(customer, objective_ppm))
            .collect();
        customers.sort_by(|one, other| {
            let by_remaining = one.budget.remaining.total_cmp(&other.budget.remaining);
            by_remaining.then(one.customer.cmp(&other.customer))
        });
        let failures = burn.windows[ORDER_WINDOW].bad.max(1) as f64;
        let causes = burn.causes.into_iter();
        let mut causes: Vec<_> = causes
            .map(|burn| CauseSummary {
                cause: burn.cause,
                windows: burn.windows,
                share: burn.windows[ORDER_WINDOW].bad as f64 / failures,
            })
            .collect();
        causes.sort_by(|one, other| {
            let by_count = other.windows[ORDER_WINDOW]
                .bad
                .cmp(&one.windows[ORDER_WINDOW].bad);
            by_count.then(one.cause.cmp(&other.cause))
        });
        Self {
            service: burn.service,
            objective_ppm,
            windows: burn.windows,
            budget: ErrorBudget::new(&burn.windows, objective_ppm),
            history: burn.history,
            customers,
            causes,
        }
    }
}

impl CustomerSummary {
    fn new(burn: CustomerBurn, objective_ppm: u32) -> Self {
        let name = burn.customer.map(|customer| customer.to_string());
        Self {
            customer: name.unwrap_or_else(|| "(others)".to_owned()),
            windows: burn.windows,
            budget: ErrorBudget::new(&burn.windows, objective_ppm),
        }
    }
}
