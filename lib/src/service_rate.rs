//! An estimate of how much slot time a node gets from a service while requests wait.

use std::time::Duration;

use crate::time::MonoTime;

const KEPT_PER_START: f64 = 0.95;
const STARTS_BEFORE_ESTIMATE: u32 = 8;

/// The slot time started per time, over the last twenty starts or so with a backlog.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    started_micros: f64,
    passed_micros: f64,
    starts: u32,
    last: Option<MonoTime>,
}

impl ServiceRate {
    /// Notes that requests start to wait, so that the idle time before does not count.
    pub fn note_backlog(&mut self, now: MonoTime) {
        self.last = Some(now);
    }

    /// Notes that a waiting request got a slot.
    pub fn note_start(&mut self, now: MonoTime, cost: Duration) {
        let passed = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.started_micros = self.started_micros * KEPT_PER_START + cost.as_micros() as f64;
        self.passed_micros = self.passed_micros * KEPT_PER_START + passed.as_micros() as f64;
        self.starts = self.starts.saturating_add(1);
        self.last = Some(now);
    }

    /// Returns the time in which so much slot time is served, or `None` while that is unknown.
    ///
    /// The time since the last start counts, so that a stalled service is noticed.
    pub fn time_for(&self, now: MonoTime, work: Duration) -> Option<Duration> {
        if self.starts < STARTS_BEFORE_ESTIMATE || self.started_micros <= 0.0 {
            return None;
        }
        let silence = self.last.map_or(Duration::ZERO, |last| now.since(last));
        let passed = self.passed_micros.max(silence.as_micros() as f64);
        let micros = work.as_micros() as f64 * passed / self.started_micros;
        Some(Duration::from_micros(micros as u64))
    }
}
