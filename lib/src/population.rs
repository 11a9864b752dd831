//! Rates and latencies of the answers of a whole service, with which each target is compared.
//!
//! Each node keeps the populations of the requests that it sends. They adapt within a few hundred
//! answers, so that a change that all targets share is no evidence against one of them.

use std::time::Duration;

/// The weighted number of observations above which the weights of all are halved.
const MAX_RATE_OBSERVATIONS: f32 = 256.0;
/// The weight of the assumed rate, in observations.
const PRIOR_WEIGHT: f32 = 10.0;
/// The weight of the newest observation in the short-term rate.
const RECENT_WEIGHT: f32 = 0.125;

/// Estimates the rate of bad observations.
///
/// The estimate is the highest of the assumed, the long-term and the short-term rate, since
/// overestimating delays a detection, while underestimating ejects healthy targets. One bad
/// observation among successful ones leaves the short-term rate at zero: it may be the first observation
/// of the bad target that is compared with the estimate.
#[derive(Clone, Copy, Debug)]
pub struct RateEstimate {
    assumed: f32,
    observed: f32,
    bad: f32,
    recent: f32,
}

impl RateEstimate {
    /// Creates an estimate that is never below `assumed`.
    pub const fn new(assumed: f32) -> Self {
        Self {
            assumed,
            observed: 0.0,
            bad: 0.0,
            recent: 0.0,
        }
    }

    /// Adds an observation.
    pub fn record(&mut self, bad: bool) {
        let value = f32::from(u8::from(bad));
        self.observed += 1.0;
        self.bad += value;
        self.recent += (value - self.recent) * RECENT_WEIGHT;
        if self.observed > MAX_RATE_OBSERVATIONS {
            self.observed /= 2.0;
            self.bad /= 2.0;
        }
    }

    /// Returns the estimated rate.
    pub fn rate(&self) -> f64 {
        let long_term = (self.bad + PRIOR_WEIGHT * self.assumed) / (self.observed + PRIOR_WEIGHT);
        let short_term = self.recent - RECENT_WEIGHT;
        f64::from(long_term.max(short_term).max(self.assumed))
    }
}

const BUCKET_COUNT: usize = 72;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
const FIRST_BUCKET_MICROS: f64 = 100.0;
const MIN_SAMPLES: u32 = 30;
const MAX_SAMPLES: u32 = 1_024;
/// The quantile of which the slow threshold is a multiple.
///
/// It is low enough not to move while a fifth of the targets is slow.
const REFERENCE_QUANTILE: f64 = 0.75;
const SLOW_FACTOR: u32 = 4;
const MIN_SLOW_THRESHOLD_MS: u64 = 5;

/// The latencies of one route over all targets, in logarithmic buckets.
#[derive(Clone, Debug)]
pub struct LatencyPopulation {
    buckets: [u16; BUCKET_COUNT],
    total: u32,
    threshold: Option<Duration>,
}

impl Default for LatencyPopulation {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
            total: 0,
            threshold: None,
        }
    }
}

impl LatencyPopulation {
    /// Adds the latency of an answer.
    pub fn record(&mut self, latency: Duration) {
        self.buckets[bucket_of(latency)] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
        if self.total.is_multiple_of(MIN_SAMPLES) {
            self.threshold = Some(self.compute_threshold());
        }
    }

    /// Returns the latency above which an answer is slow, or `None` below `MIN_SAMPLES` answers.
    pub const fn slow_threshold(&self) -> Option<Duration> {
        self.threshold
    }

    fn compute_threshold(&self) -> Duration {
        let reference = self.quantile(REFERENCE_QUANTILE);
        (reference * SLOW_FACTOR).max(Duration::from_millis(MIN_SLOW_THRESHOLD_MS))
    }

    fn halve(&mut self) {
        self.buckets.iter_mut().for_each(|count| *count /= 2);
        self.total = self.buckets.iter().map(|count| u32::from(*count)).sum();
    }

    fn quantile(&self, quantile: f64) -> Duration {
        let rank = (f64::from(self.total) * quantile) as u32;
        let mut seen = 0;
        let bucket = self.buckets.iter().position(|count| {
            seen += u32::from(*count);
            seen > rank
        });
        bucket_upper_bound(bucket.unwrap_or(BUCKET_COUNT - 1))
    }
}

fn bucket_of(latency: Duration) -> usize {
    let ratio = latency.as_micros() as f64 / FIRST_BUCKET_MICROS;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * BUCKETS_PER_OCTAVE) as usize).min(BUCKET_COUNT - 1)
}

fn bucket_upper_bound(bucket: usize) -> Duration {
    let micros = FIRST_BUCKET_MICROS * ((bucket + 1) as f64 / BUCKETS_PER_OCTAVE).exp2();
    Duration::from_micros(micros as u64)
}
