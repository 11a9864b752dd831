//! Estimates the load of a target on one node.
//!
//! No single source is reliable: reports lag or get stuck, a node's own requests are a small part
//! of the whole, and a target that fails fast looks idle. The estimate is the higher of the report
//! and the known requests in flight, plus a load for recent failures.

use std::time::Duration;

use crate::time::MonoTime;

/// The time for which a target's report or the peers' requests in flight are used.
const REPORT_RETENTION_MS: u64 = 3_000;
/// The number of equal reports in a row at which a report is considered stuck.
const MIN_STUCK_REPORTS: u32 = 8;
/// The typical load up to which equal reports are accepted.
const IDLE_LOAD: f32 = 0.25;
/// The half-life of the load added for failures, in seconds.
const FAILURE_HALF_LIFE_S: f32 = 1.0;
const MAX_FAILURE_LOAD_PER_SLOT: f32 = 4.0;

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: f32,
    equal_count: u32,
    received_at: MonoTime,
}

/// The sources for the load of one target on one node, in requests.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    own: u32,
    report: Option<LoadReport>,
    peers: Option<(f32, MonoTime)>,
    failures: f32,
    failed_at: MonoTime,
}

impl TargetLoad {
    /// Counts a request that this node starts.
    pub const fn start(&mut self) {
        self.own += 1;
    }

    /// Counts a request that ended.
    pub const fn finish(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns this node's requests in flight.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Adds load for a failure, so that a target that fails fast does not look idle.
    pub fn add_failure(&mut self, now: MonoTime, slots: u32) {
        let ceiling = MAX_FAILURE_LOAD_PER_SLOT * slots as f32;
        self.failures = (self.failure_load(now) + 1.0).min(ceiling);
        self.failed_at = now;
    }

    /// Records the load that the target reports.
    pub fn set_report(&mut self, now: MonoTime, load: f32) {
        let equal_count = match self.report {
            Some(report) if report.load == load => report.equal_count.saturating_add(1),
            _ => 1,
        };
        self.report = Some(LoadReport {
            load,
            equal_count,
            received_at: now,
        });
    }

    /// Records the requests that other nodes have in flight.
    pub const fn set_peers(&mut self, now: MonoTime, in_flight: f32) {
        self.peers = Some((in_flight, now));
    }

    /// Returns the report, unless it is outdated, or stuck while the typical load shows traffic.
    pub fn usable_report(&self, now: MonoTime, typical_load: f32) -> Option<f32> {
        let report = self
            .report
            .filter(|report| is_fresh(now, report.received_at))?;
        let stuck = report.equal_count >= MIN_STUCK_REPORTS && typical_load > IDLE_LOAD;
        (!stuck).then_some(report.load)
    }

    /// Returns the report, unless it is outdated.
    pub fn fresh_report(&self, now: MonoTime) -> Option<f32> {
        self.report
            .filter(|report| is_fresh(now, report.received_at))
            .map(|report| report.load)
    }

    /// Returns the estimated load, with the typical load in place of a report that can't be used.
    pub fn estimate(&self, now: MonoTime, typical_load: f32) -> f32 {
        let reported = self
            .usable_report(now, typical_load)
            .unwrap_or(typical_load);
        let peers = self
            .peers
            .filter(|(_, received_at)| is_fresh(now, *received_at))
            .map_or(0.0, |(load, _)| load);
        let known = self.own as f32 + peers;
        reported.max(known) + self.failure_load(now)
    }

    fn failure_load(&self, now: MonoTime) -> f32 {
        let elapsed = now.since(self.failed_at).as_secs_f32();
        self.failures * (-elapsed / FAILURE_HALF_LIFE_S).exp2()
    }
}

fn is_fresh(now: MonoTime, received_at: MonoTime) -> bool {
    now.since(received_at) < Duration::from_millis(REPORT_RETENTION_MS)
}
