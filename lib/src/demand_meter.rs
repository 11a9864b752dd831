//! Estimates the arrival rate of requests, and detects soon when requests have stopped.

use crate::budget::{MICROS_PER_UNIT, MicroUnits, RefillRate};
use crate::time::MonoTime;

/// The time constant of the average.
const WINDOW_MICROS: f64 = 500_000.0;
/// The number of typical gaps between arrivals after which requests count as stopped.
const STOPPED_GAPS: f64 = 6.0;
/// The number of typical gaps after which a node gives tokens to peers that request them.
const YIELDING_GAPS: f64 = 2.0;
/// The typical gap above which a node gives tokens to peers at any time.
const MAX_STEADY_GAP_MICROS: f64 = 50_000.0;
/// The shortest idle time after which a node gives tokens to peers.
const MIN_YIELDING_MICROS: f64 = 20_000.0;
/// The shortest idle time after which requests count as stopped.
const MIN_STOPPED_MICROS: f64 = 100_000.0;
/// The rate below which demand counts as zero.
const MIN_RATE_PER_SECOND: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A decaying arrival rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    per_second: f64,
    last_arrival: MonoTime,
}

impl DemandMeter {
    /// Counts an arrival.
    pub fn record(&mut self, now: MonoTime) {
        self.per_second = self.decayed(now) + MICROS_PER_SECOND / WINDOW_MICROS;
        self.last_arrival = self.last_arrival.max(now);
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let idle_micros = now.since(self.last_arrival).as_micros() as f64;
        self.per_second * (-idle_micros / WINDOW_MICROS).exp()
    }

    /// Returns whether the callers probably use other nodes by now, given that another node
    /// requests tokens.
    pub fn yields_to_peers(&self, now: MonoTime) -> bool {
        let gap = self.typical_gap();
        let idle_micros = now.since(self.last_arrival).as_micros() as f64;
        gap > MAX_STEADY_GAP_MICROS || idle_micros > (YIELDING_GAPS * gap).max(MIN_YIELDING_MICROS)
    }

    fn typical_gap(&self) -> f64 {
        MICROS_PER_SECOND / self.per_second.max(MIN_RATE_PER_SECOND)
    }

    /// Returns the arrival rate, or zero once it is negligible.
    ///
    /// An idle time of several typical gaps shows that the callers use other nodes long before the
    /// average has decayed.
    pub fn rate(&self, now: MonoTime) -> RefillRate {
        let idle_micros = now.since(self.last_arrival).as_micros() as f64;
        let has_stopped = idle_micros > (STOPPED_GAPS * self.typical_gap()).max(MIN_STOPPED_MICROS);
        let rate = self.decayed(now);
        if has_stopped || rate < MIN_RATE_PER_SECOND {
            return RefillRate::ZERO;
        }
        RefillRate((rate * MICROS_PER_UNIT as f64) as u64)
    }
}

/// Scales a rate by a percentage.
pub(crate) fn scale(rate: RefillRate, percent: u64) -> RefillRate {
    RefillRate(rate.0.saturating_mul(percent) / 100)
}

/// Returns what arrives in `millis` at `rate`, but at least `floor`; zero if the rate is zero.
pub(crate) fn headroom(rate: RefillRate, millis: u64, floor: MicroUnits) -> MicroUnits {
    if rate.is_zero() {
        return MicroUnits::ZERO;
    }
    MicroUnits(rate.0.saturating_mul(millis) / 1_000).max(floor)
}
