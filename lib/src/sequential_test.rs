//! The sequential test that decides when a target differs from its population.
//!
//! Each observation is bad or not. Under the null hypothesis it is bad with the probability that
//! the population shows; under the alternative, the odds of being bad are multiplied by a fixed
//! ratio. A cumulative-sum chart adds the log-likelihood ratios and never falls below zero. By
//! Lorden's bound a chart with threshold `h` raises a false alarm no more often than once in `e^h`
//! observations, whatever the rates are. See
//! [docs/design/detection.md](../../docs/design/detection.md).

use serde::{Deserialize, Serialize};

use crate::config::DetectionMode;

/// The highest probability that the null hypothesis grants to a bad observation.
const MAX_NULL_RATE: f64 = 0.95;

/// The charts that may raise an alarm on one target: failures and rejections against two departures
/// and slow answers against one, over all routes and again over the single ones.
const CHART_COUNT: f64 = 10.0;

/// How far the alternative lies from the population.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Alternative {
    /// Tuned to targets that serve a fifth or more of their requests badly.
    Strong,
    /// Tuned to targets that serve one request in twenty badly.
    Weak,
}

impl Alternative {
    /// Returns the ratio of the odds of a bad observation, alternative to population.
    pub const fn odds_ratio(self) -> f64 {
        match self {
            Self::Strong => 20.0,
            Self::Weak => 5.0,
        }
    }
}

/// Returns the log-likelihood ratio of one observation, in nats.
pub fn log_likelihood_ratio(alternative: Alternative, null_rate: f64, bad: bool) -> f64 {
    let null_rate = null_rate.min(MAX_NULL_RATE);
    let ratio = alternative.odds_ratio();
    let scale = 1.0 + null_rate * (ratio - 1.0);
    if bad {
        (ratio / scale).ln()
    } else {
        -scale.ln()
    }
}

/// The evidence of one kind of test for both departures, in nats.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ScorePair {
    /// The score against the strong departure.
    pub strong: f32,
    /// The score against the weak departure.
    pub weak: f32,
}

impl ScorePair {
    /// Returns the scores of one observation.
    pub fn of(null_rate: f64, bad: bool) -> Self {
        Self {
            strong: log_likelihood_ratio(Alternative::Strong, null_rate, bad) as f32,
            weak: log_likelihood_ratio(Alternative::Weak, null_rate, bad) as f32,
        }
    }

    /// Adds another pair.
    pub fn add(&mut self, other: Self) {
        self.strong += other.strong;
        self.weak += other.weak;
    }

    /// Adds another pair, keeping each score between zero and `ceiling`.
    pub fn accumulate(&mut self, other: Self, ceiling: f32) {
        self.strong = (self.strong + other.strong).clamp(0.0, ceiling);
        self.weak = (self.weak + other.weak).clamp(0.0, ceiling);
    }

    /// Returns the higher score.
    pub fn highest(self) -> f32 {
        self.strong.max(self.weak)
    }
}

/// Returns the score at which a chart raises an alarm, in nats.
pub const fn alarm_threshold(mode: DetectionMode) -> f32 {
    match mode {
        DetectionMode::Fast => 18.0,
        DetectionMode::Balanced => 23.0,
        DetectionMode::Careful => 28.0,
    }
}

/// Returns the bound on false alarms for each million answers of a healthy target.
///
/// The bound holds while the answers are independent, the target's own rate of bad answers is at
/// most the population's and no probe fails. The charts of single routes together count as much as
/// those over all routes, since each gives a discount for their number.
pub fn false_alarms_per_million(mode: DetectionMode) -> f64 {
    1e6 * CHART_COUNT * f64::from(-alarm_threshold(mode)).exp()
}
