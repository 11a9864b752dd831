//! Estimates the probability that a target is failing, by a Bayes filter over its answers.
//!
//! The model has two states, healthy and failing, and changes between them at random times. Each
//! answer updates the probability by Bayes' rule, and time without answers moves it back to the
//! stationary probability. A single failure is therefore enough to send requests elsewhere while the
//! baseline failure rate is low, and a target that gets no requests becomes worth a trial again. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use crate::time::MonoTime;

/// The mean time between a recovery and the next failure, in seconds: targets fail now and then.
const MEAN_HEALTHY_S: f64 = 40.0;
/// The mean time from a failure to the recovery, in seconds.
const MEAN_FAILING_S: f64 = 4.0;
/// The fraction of a failing target's answers that are failures.
const FAILING_RATE: f64 = 0.7;
/// The fraction of a failing target's failures that come after work on the request: most come at once.
const DELAYED_FAILURE_FRACTION: f64 = 0.15;
/// The fraction of a healthy target's failures that come at once: most are errors in the work itself.
const IMMEDIATE_FAILURE_FRACTION: f64 = 0.1;
/// How many times likelier a late answer is from a failing target than from a healthy one.
const LATE_LIKELIHOOD_RATIO: f64 = 12.0;
/// The probability stays away from 0 and 1, so that later answers still change it.
const MIN_FAILING_PROBABILITY: f64 = 0.002;
const MAX_FAILING_PROBABILITY: f64 = 0.998;

/// The evidence about a target from one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureSignal {
    /// A complete successful answer that was not late.
    Good,
    /// An error, a broken connection or an invalid answer.
    Failed,
    /// An error that came before any work on the request was possible.
    FailedAtOnce,
    /// No answer by the time after which answers are late.
    Late,
}

/// The failing probability of one target.
#[derive(Clone, Copy, Debug)]
pub struct FailureFilter {
    probability: f64,
    updated_at: MonoTime,
}

impl FailureFilter {
    /// Creates the filter of a target about which nothing is known, at the stationary probability.
    pub fn new(now: MonoTime) -> Self {
        Self {
            probability: Self::stationary_probability(),
            updated_at: now,
        }
    }

    fn stationary_probability() -> f64 {
        MEAN_FAILING_S / (MEAN_FAILING_S + MEAN_HEALTHY_S)
    }

    /// Returns the probability that the target is failing at `now`.
    pub fn probability(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let rate = 1.0 / MEAN_HEALTHY_S + 1.0 / MEAN_FAILING_S;
        let stationary = Self::stationary_probability();
        stationary + (self.probability - stationary) * (-elapsed * rate).exp()
    }

    /// Updates the probability by a signal; `baseline_failure_rate` is that of healthy targets.
    pub fn observe(&mut self, now: MonoTime, signal: FailureSignal, baseline_failure_rate: f64) {
        let prior = self.probability(now);
        let (failing, healthy) = match signal {
            FailureSignal::Good => (1.0 - FAILING_RATE, 1.0 - baseline_failure_rate),
            FailureSignal::Failed => (
                FAILING_RATE * DELAYED_FAILURE_FRACTION,
                baseline_failure_rate,
            ),
            FailureSignal::FailedAtOnce => (
                FAILING_RATE,
                baseline_failure_rate * IMMEDIATE_FAILURE_FRACTION,
            ),
            FailureSignal::Late => (LATE_LIKELIHOOD_RATIO, 1.0),
        };
        let joint = prior * failing;
        let posterior = joint / (joint + (1.0 - prior) * healthy);
        self.probability = posterior.clamp(MIN_FAILING_PROBABILITY, MAX_FAILING_PROBABILITY);
        self.updated_at = now;
    }
}
