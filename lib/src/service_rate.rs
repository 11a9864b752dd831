//! An estimate of how much slot time a node gets from a service while requests wait.

use std::time::Duration;

use crate::time::MonoTime;

const DECAY_PER_START: f64 = 0.95;
const STARTS_BEFORE_ESTIMATE: u32 = 8;

/// The slot time started per time, over the last_start twenty starts or so with a backlog.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    started_micros: f64,
    elapsed_micros: f64,
    starts: u32,
    last_start: Option<MonoTime>,
}

impl ServiceRate {
    /// Notes that requests start to wait, so that the idle time before does not count.
    pub fn record_backlog_start(&mut self, now: MonoTime) {
        self.last_start = Some(now);
    }

    /// Notes that a waiting request got a slot.
    pub fn record_start(&mut self, now: MonoTime, cost: Duration) {
        let elapsed = self
            .last_start
            .map_or(Duration::ZERO, |last_start| now.since(last_start));
        self.started_micros = self.started_micros * DECAY_PER_START + cost.as_micros() as f64;
        self.elapsed_micros = self.elapsed_micros * DECAY_PER_START + elapsed.as_micros() as f64;
        self.starts = self.starts.saturating_add(1);
        self.last_start = Some(now);
    }

    /// Returns the time in which so much slot time is served, or `None` while that is unknown.
    ///
    /// The time since the last_start start counts, so that a stalled service is noticed.
    pub fn time_for(&self, now: MonoTime, work: Duration) -> Option<Duration> {
        if self.starts < STARTS_BEFORE_ESTIMATE || self.started_micros <= 0.0 {
            return None;
        }
        let idle = self
            .last_start
            .map_or(Duration::ZERO, |last_start| now.since(last_start));
        let elapsed = self.elapsed_micros.max(idle.as_micros() as f64);
        let micros = work.as_micros() as f64 * elapsed / self.started_micros;
        Some(Duration::from_micros(micros as u64))
    }
}
