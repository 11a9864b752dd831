//! The sequential test that decides whether a target differs from its population.
//!
//! Each observation is bad or not. Under the null hypothesis it is bad at the rate of the
//! population; under the alternative, the odds of being bad are multiplied by a fixed ratio. A
//! cumulative-sum (CUSUM) chart adds the log-likelihood ratios and never falls below zero. By
//! Lorden's bound a chart with threshold `h` raises at most one false alarm per `e^h` observations,
//! whatever the rates are. See
//! [docs/design/detection.md](../../docs/design/detection.md).

use serde::{Deserialize, Serialize};

use crate::config::DetectionMode;

/// The highest rate of bad observations under the null hypothesis.
const MAX_NULL_RATE: f64 = 0.95;

/// The number of CUSUM charts that may raise an alarm on one target: failures and rejections
/// against two alternatives and slow answers against one, over all routes and again per route.
const CHART_COUNT: f64 = 10.0;

/// The alternative hypothesis of a test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Alternative {
    /// Detects targets that serve a fifth or more of their requests badly.
    Strong,
    /// Detects targets that serve one request in twenty badly.
    Weak,
}

impl Alternative {
    /// Returns the odds ratio of a bad observation, alternative to population.
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

/// The scores of one kind of observation against both alternatives, in nats.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ScorePair {
    /// The score for the strong alternative.
    pub strong: f32,
    /// The score for the weak alternative.
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

/// Returns the score at which an alarm is raised, in nats.
pub const fn alarm_threshold(mode: DetectionMode) -> f32 {
    match mode {
        DetectionMode::Fast => 18.0,
        DetectionMode::Balanced => 23.0,
        DetectionMode::Careful => 28.0,
    }
}

/// Returns the bound on false alarms per million answers of a healthy target.
///
/// The bound holds while the answers are independent, the target's own rate of bad answers is at
/// most the population's and no probe fails. The charts of all single routes together count as much
/// as those over all routes, since their scores are reduced by the logarithm of their number.
pub fn false_alarms_per_million(mode: DetectionMode) -> f64 {
    1e6 * CHART_COUNT * f64::from(-alarm_threshold(mode)).exp()
}
