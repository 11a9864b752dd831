//! An estimate of how many requests per second arrive, quick to notice that they stopped.

use crate::budget::{MICROS_PER_UNIT, MicroUnits, RefillRate};
use crate::time::MonoTime;

const WINDOW_MICROS: f64 = 500_000.0;
const SILENT_GAPS: f64 = 6.0;
const YIELDING_GAPS: f64 = 2.0;
const STEADY_GAP_MICROS: f64 = 50_000.0;
const SHORTEST_YIELD_MICROS: f64 = 20_000.0;
const SHORTEST_SILENCE_MICROS: f64 = 100_000.0;
const NEGLIGIBLE_PER_SECOND: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A decaying arrival rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    per_second: f64,
    last: MonoTime,
}

impl DemandMeter {
    /// Counts an arrival.
    pub fn record(&mut self, now: MonoTime) {
        self.per_second = self.decayed(now) + MICROS_PER_SECOND / WINDOW_MICROS;
        self.last = self.last.max(now);
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let silence = now.since(self.last).as_micros() as f64;
        self.per_second * (-silence / WINDOW_MICROS).exp()
    }

    /// Returns whether the callers seem to be elsewhere, given that another node asks for tokens.
    pub fn yields_to_peers(&self, now: MonoTime) -> bool {
        let gap = self.usual_gap();
        let silence = now.since(self.last).as_micros() as f64;
        gap > STEADY_GAP_MICROS || silence > (YIELDING_GAPS * gap).max(SHORTEST_YIELD_MICROS)
    }

    fn usual_gap(&self) -> f64 {
        MICROS_PER_SECOND / self.per_second.max(NEGLIGIBLE_PER_SECOND)
    }

    /// Returns the arrival rate, or zero once it is negligible.
    ///
    /// A silence of several times the usual gap shows that the callers went elsewhere long before
    /// the average has decayed.
    pub fn rate(&self, now: MonoTime) -> RefillRate {
        let silence = now.since(self.last).as_micros() as f64;
        let is_silent = silence > (SILENT_GAPS * self.usual_gap()).max(SHORTEST_SILENCE_MICROS);
        let rate = self.decayed(now);
        if is_silent || rate < NEGLIGIBLE_PER_SECOND {
            return RefillRate::ZERO;
        }
        RefillRate((rate * MICROS_PER_UNIT as f64) as u64)
    }
}

/// Scales a rate by a percentage.
pub(crate) fn scale(rate: RefillRate, percent: u64) -> RefillRate {
    RefillRate(rate.0.saturating_mul(percent) / 100)
}

/// Returns the larger of `floor` and what arrives in `millis` at `rate`; nothing if nothing does.
pub(crate) fn headroom(rate: RefillRate, millis: u64, floor: MicroUnits) -> MicroUnits {
    if rate.is_zero() {
        return MicroUnits::ZERO;
    }
    MicroUnits(rate.0.saturating_mul(millis) / 1_000).max(floor)
}
