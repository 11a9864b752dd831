//! The results of a run of the load tool.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::ledger_check::LedgerVerdict;
use crate::ledger_record::{CallOutcome, CallRecord};

const HIGHEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// The reasons of refusals that the caller caused.
const CALLER_REASONS: [&str; 8] = [
    "bad-request",
    "key-missing",
    "key-ambiguous",
    "key-unknown",
    "key-withdrawn",
    "route-unknown",
    "too-large",
    "rate-exceeded",
];

/// Latencies of successful answers, measured from the time at which their requests were due, in
/// microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LatencySummary {
    /// The number of successful answers.
    pub count: u64,
    /// The median.
    pub p50_micros: u64,
    /// The 90th percentile.
    pub p90_micros: u64,
    /// The 99th percentile.
    pub p99_micros: u64,
    /// The 99.9th percentile.
    pub p999_micros: u64,
    /// The largest.
    pub max_micros: u64,
}

impl From<&Histogram<u64>> for LatencySummary {
    fn from(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_micros: histogram.value_at_quantile(0.5),
            p90_micros: histogram.value_at_quantile(0.9),
            p99_micros: histogram.value_at_quantile(0.99),
            p999_micros: histogram.value_at_quantile(0.999),
            max_micros: histogram.max(),
        }
    }
}

/// The results of one customer, or of all together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CustomerReport {
    /// The requests that were due.
    pub requests: u64,
    /// The requests whose final answer was complete and successful.
    #[serde(rename = "good")]
    pub successes: u64,
    /// The requests that were resent.
    pub resent: u64,
    /// The requests that were finally refused for a reason that the caller did not cause.
    pub refused_by_fleet: u64,
    /// The number of requests for each final outcome; refusals are split by reason.
    pub outcomes: BTreeMap<String, u64>,
    /// The latencies of successful answers.
    pub latency: LatencySummary,
}

impl CustomerReport {
    /// Returns the ratio of successful answers to requests; 1 without requests.
    pub fn success_ratio(&self) -> f64 {
        match self.requests {
            0 => 1.0,
            requests => self.successes as f64 / requests as f64,
        }
    }
}

/// The report of one run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReport {
    /// All customers together.
    pub total: CustomerReport,
    /// Each customer.
    pub customers: BTreeMap<String, CustomerReport>,
    /// The customer with the lowest success ratio, or among equals with the largest 99th
    /// percentile.
    pub worst_served: Option<String>,
    /// The result of the ledger's checks; none before the targets' records were merged.
    pub verdict: Option<LedgerVerdict>,
    /// All attempts, for the ledger.
    #[serde(skip)]
    pub calls: Vec<CallRecord>,
}

struct ReportBuilder {
    report: CustomerReport,
    histogram: Histogram<u64>,
}

impl Default for ReportBuilder {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS);
        Self {
            report: CustomerReport::default(),
            histogram: histogram.expect("the bounds and digits are valid"),
        }
    }
}

impl ReportBuilder {
    fn add(&mut self, last: &CallRecord) {
        let report = &mut self.report;
        report.requests += 1;
        report.resent += u64::from(last.attempt > 0);
        *report
            .outcomes
            .entry(outcome_name(&last.outcome))
            .or_default() += 1;
        if let CallOutcome::Refused { reason, .. } = &last.outcome {
            report.refused_by_fleet += u64::from(!CALLER_REASONS.contains(&reason.as_str()));
        }
        if last.outcome.is_success() {
            report.successes += 1;
            let latency = last.ended_micros.saturating_sub(last.intended_micros);
            self.histogram.saturating_record(latency);
        }
    }

    fn finish(mut self) -> CustomerReport {
        self.report.latency = LatencySummary::from(&self.histogram);
        self.report
    }
}

fn outcome_name(outcome: &CallOutcome) -> String {
    match outcome {
        CallOutcome::Answered(status) => format!("answered {status}"),
        CallOutcome::Refused {
            execution, reason, ..
        } => format!("refused {reason} ({execution})"),
        CallOutcome::Crossed => "crossed answer".to_owned(),
        CallOutcome::CutLooksWhole => "cut answer that looked whole".to_owned(),
        CallOutcome::NotSent => "not sent".to_owned(),
        CallOutcome::Lost => "lost".to_owned(),
        CallOutcome::TimedOut => "timed out".to_owned(),
        CallOutcome::Dropped => "dropped by the load tool".to_owned(),
    }
}

impl LoadReport {
    /// Builds a report from the attempts of each request, in their order.
    pub fn from_calls(requests: impl IntoIterator<Item = Vec<CallRecord>>) -> Self {
        let mut total = ReportBuilder::default();
        let mut customers: BTreeMap<String, ReportBuilder> = BTreeMap::new();
        let mut calls = Vec::new();
        for attempts in requests {
            let Some(last) = attempts.last() else {
                continue;
            };
            total.add(last);
            customers
                .entry(last.customer.clone())
                .or_default()
                .add(last);
            calls.extend(attempts);
        }
        let customers: BTreeMap<String, CustomerReport> = customers
            .into_iter()
            .map(|(id, builder)| (id, builder.finish()))
            .collect();
        Self {
            total: total.finish(),
            worst_served: worst_served(&customers),
            customers,
            verdict: None,
            calls,
        }
    }
}

fn worst_served(customers: &BTreeMap<String, CustomerReport>) -> Option<String> {
    let worst = customers.iter().min_by(|(_, one), (_, other)| {
        let by_share = one.success_ratio().total_cmp(&other.success_ratio());
        by_share.then(other.latency.p99_micros.cmp(&one.latency.p99_micros))
    });
    worst.map(|(id, _)| id.clone())
}

impl fmt::Display for CustomerReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |micros: u64| micros as f64 / 1e3;
        write!(
            f,
            "{:>8} requests  {:>8.4}% good  p50 {:.2} ms  p99 {:.2} ms  max {:.2} ms",
            self.requests,
            self.success_ratio() * 100.0,
            millis(self.latency.p50_micros),
            millis(self.latency.p99_micros),
            millis(self.latency.max_micros),
        )?;
        for (outcome, count) in &self.outcomes {
            write!(f, "\n             {count:>8} {outcome}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<12} {}", "all", self.total)?;
        for (id, customer) in &self.customers {
            writeln!(f, "{id:<12} {customer}")?;
        }
        if let Some(worst) = &self.worst_served {
            writeln!(f, "worst served: {worst}")?;
        }
        match &self.verdict {
            Some(verdict) => write!(f, "{verdict}"),
            None => writeln!(f, "ledger: not checked"),
        }
    }
}
