//! The probability that a target is failing, from its answers and the time that passed.
//!
//! A target is either healthy or failing, and changes between the two at random times. Each answer
//! updates the probability by Bayes' rule, and time without news moves it back to what is usual. One
//! failed answer is therefore enough to send work elsewhere while the usual failures are rare, and a
//! target that was left alone becomes worth a trial again. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use crate::time::MonoTime;

/// The mean time for which a target stays healthy, in seconds: a target fails now and then.
const MEAN_HEALTHY_S: f64 = 40.0;
/// The mean time for which a failing target goes on failing, in seconds.
const MEAN_FAILING_S: f64 = 4.0;
/// The part of its answers that a failing target fails.
const FAILING_RATE: f64 = 0.7;
/// The part of a failing target's failures that come after work: most come at once.
const DELAYED_FAILURE_FRACTION: f64 = 0.15;
/// The part of a healthy target's failures that come at once: its errors come of work.
const IMMEDIATE_FAILURE_FRACTION: f64 = 0.1;
/// How much likelier an answer is late at a failing target than at a healthy one.
const LATE_LIKELIHOOD_RATIO: f64 = 12.0;
/// The probability is kept off 0 and 1, so that later news still counts.
const MIN_FAILING_PROBABILITY: f64 = 0.002;
const MAX_FAILING_PROBABILITY: f64 = 0.998;

/// What an attempt showed of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureSignal {
    /// A whole good answer in usual time.
    Good,
    /// An error, a broken connection or a spoilt answer.
    Failed,
    /// An error long before the request could have been worked on.
    FailedAtOnce,
    /// No answer when one was due.
    Late,
}

/// The belief about one target.
#[derive(Clone, Copy, Debug)]
pub struct FailureFilter {
    probability: f64,
    updated_at: MonoTime,
}

impl FailureFilter {
    /// Makes the belief about a target of which nothing is known.
    pub fn new(now: MonoTime) -> Self {
        Self {
            probability: Self::stationary_probability(),
            updated_at: now,
        }
    }

    fn stationary_probability() -> f64 {
        MEAN_FAILING_S / (MEAN_FAILING_S + MEAN_HEALTHY_S)
    }

    /// Returns the probability that the target is failing now.
    pub fn probability(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let rate = 1.0 / MEAN_HEALTHY_S + 1.0 / MEAN_FAILING_S;
        let stationary = Self::stationary_probability();
        stationary + (self.probability - stationary) * (-elapsed * rate).exp()
    }

    /// Takes in what an attempt showed; `baseline_failure_rate` is the part that healthy targets fail.
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
