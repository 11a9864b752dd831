//! What nodes report to each other of their customers' requests.
//!
//! See [`crate::fleet_rate`].

use std::time::Duration;

use indexmap::IndexMap;

use crate::fleet_rate::FleetRates;
use crate::ids::CustomerId;
use crate::time::MonoTime;

/// The interval of reports of all customers, in milliseconds. The next report of a busy customer
/// replaces a lost one; for an idle customer that takes up to this long.
const FULL_REPORT_INTERVAL_MS: u64 = 5_000;

/// A customer's counts on one node, as it reports them to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateReport {
    /// The requests that the node has admitted since it started.
    pub admitted: u64,
    /// The requests per second that the node receives, admitted or not.
    pub demand_per_s: f64,
}

/// Selects the reports to send to a group of peers: those of customers with requests since the last
/// report, and at an interval those of all customers, since messages may be lost.
#[derive(Debug, Default)]
pub struct ReportFilter {
    sent: IndexMap<CustomerId, SentReport>,
    full_report_at: MonoTime,
    repeats: u8,
}

/// A customer's last report.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    requests: u64,
    repeats_left: u8,
}

impl ReportFilter {
    /// Creates a filter that sends each changed report a second time with the next message. A lost
    /// message to a relay would otherwise withhold an idle customer's last report from a whole data
    /// centre until the next report of all customers.
    pub fn repeating() -> Self {
        Self {
            repeats: 1,
            ..Self::default()
        }
    }

    /// Returns the reports that are due, and marks them as sent.
    pub fn drain_due(
        &mut self,
        now: MonoTime,
        rates: &FleetRates,
    ) -> Vec<(CustomerId, RateReport)> {
        let is_full =
            now.since(self.full_report_at) >= Duration::from_millis(FULL_REPORT_INTERVAL_MS);
        if is_full {
            self.full_report_at = now;
        }
        let mut due = Vec::new();
        for (customer, requests, report) in rates.reports(now) {
            let last = self.sent.get(customer);
            let repeats_left = match last.filter(|last| last.requests == requests) {
                Some(last) if last.repeats_left == 0 && !is_full => continue,
                Some(last) => last.repeats_left.saturating_sub(1),
                None => self.repeats,
            };
            let sent = SentReport {
                requests,
                repeats_left,
            };
            self.sent.insert(customer.clone(), sent);
            due.push((customer.clone(), report));
        }
        due
    }
}
