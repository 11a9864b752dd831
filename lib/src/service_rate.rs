//! Estimates the rate at which a node gets slot time from a service while requests wait.

use std::time::Duration;

use crate::time::MonoTime;

const DECAY_PER_START: f64 = 0.95;
const STARTS_BEFORE_ESTIMATE: u32 = 8;

/// The slot time of started requests per elapsed time, as an exponential moving average with a time
/// constant of twenty starts; only time with a backlog counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    started_micros: f64,
    elapsed_micros: f64,
    starts: u32,
    last_event: Option<MonoTime>,
}

impl ServiceRate {
    /// Records that requests begin to wait, so that the idle time before does not count.
    pub fn record_backlog_start(&mut self, now: MonoTime) {
        self.last_event = Some(now);
    }

    /// Records that a waiting request got a slot.
    pub fn record_start(&mut self, now: MonoTime, cost: Duration) {
        let elapsed = self
            .last_event
            .map_or(Duration::ZERO, |last| now.since(last));
        self.started_micros = self.started_micros * DECAY_PER_START + cost.as_micros() as f64;
        self.elapsed_micros = self.elapsed_micros * DECAY_PER_START + elapsed.as_micros() as f64;
        self.starts = self.starts.saturating_add(1);
        self.last_event = Some(now);
    }

    /// Returns the expected time until `work` of slot time is served, or `None` before the first estimate.
    ///
    /// The time since the last start counts, so that the estimate rises while the service is stalled.
    pub fn time_for(&self, now: MonoTime, work: Duration) -> Option<Duration> {
        if self.starts < STARTS_BEFORE_ESTIMATE || self.started_micros <= 0.0 {
            return None;
        }
        let idle = self
            .last_event
            .map_or(Duration::ZERO, |last| now.since(last));
        let elapsed = self.elapsed_micros.max(idle.as_micros() as f64);
        let micros = work.as_micros() as f64 * elapsed / self.started_micros;
        Some(Duration::from_micros(micros as u64))
    }
}
