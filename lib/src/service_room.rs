//! Estimates how long a request to a service waits before a target runs it.
//!
//! There are two estimates. The wait at the selected target decides whether a request is answered by its
//! deadline. It comes from reports that are old by up to half a second and that all nodes act on, so it is
//! corrected by what recent attempts really waited. The wait if all requests were spread evenly decides
//! which ranks are refused: the sum of outdated loads errs little, and a long queue at one target beside
//! free slots at others is no lack of room. Running times are learned from the time that attempts took,
//! divided by the wait that the loads of all targets explain; otherwise they would include the wait and
//! grow with it. See [docs/design/admission.md](../../docs/design/admission.md).

use std::time::Duration;

use crate::balanced_target::ReportedLoad;
use crate::ids::RouteId;
use crate::route_timing::RouteTimings;
use crate::target_selection::PoolLoad;
use crate::time::MonoTime;

/// The time constant with which the estimate rises: it is within 5 % of a lasting higher wait after 0.3 s.
const RISE_S: f64 = 0.1;
/// The time constant with which the estimate falls: it has lost 95 % of a wait that is over after 2 s.
const FALL_S: f64 = 0.67;
/// The half-life of what an attempt shows about the prediction, in seconds: several attempts of a node with
/// little traffic, and short enough that a correction ends soon when nothing is sent any more.
const CORRECTION_HALF_LIFE_S: f64 = 3.0;
/// The number of attempts that count as predicted rightly, so that a single slow one corrects little.
const PRIOR_ATTEMPTS: f64 = 6.0;

/// The wait from which on a service counts as short of room, in typical running times. Below it the queues at
/// single targets are chance.
const SHORT_WAIT: f64 = 0.1;

/// How the wait of an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A target answered.
    Answered,
    /// No answer came in time, so the wait was as long as the attempt at least.
    TimedOut,
    /// The target refused the request since it was full; its load says how long the wait would have been.
    Full(Option<ReportedLoad>),
}

/// An attempt whose wait was predicted.
#[derive(Clone, Copy, Debug)]
pub struct WaitSample<'a> {
    /// The request's route.
    pub route: &'a RouteId,
    /// The latency objective of the route, which stands in for its running time.
    pub objective: Duration,
    /// The wait that was predicted before the attempt was sent.
    pub predicted: Duration,
    /// The load of all targets before the attempt was sent.
    pub pool: PoolLoad,
    /// The time that the attempt took.
    pub elapsed: Duration,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A wait that rises fast and falls slowly, so that admission does not follow each report.
#[derive(Clone, Copy, Debug, Default)]
struct SmoothedWait(f64);

impl SmoothedWait {
    fn update(&mut self, elapsed: Duration, current_s: f64) {
        let constant_s = if current_s > self.0 { RISE_S } else { FALL_S };
        let remaining = (-elapsed.as_secs_f64() / constant_s).exp();
        self.0 = current_s + (self.0 - current_s) * remaining;
    }

    fn value(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }
}

/// The wait at a service as one node estimates it.
#[derive(Debug)]
pub struct ServiceRoom {
    timings: RouteTimings,
    /// The weighted sum, in seconds, by which attempts waited longer than predicted, and their weight.
    excess_s: f64,
    weight: f64,
    corrected_at: MonoTime,
    wait: SmoothedWait,
    pool_wait: SmoothedWait,
    predicted_at: MonoTime,
}

impl ServiceRoom {
    /// Creates the estimate of a service without a queue.
    pub fn new(now: MonoTime) -> Self {
        Self {
            timings: RouteTimings::default(),
            excess_s: 0.0,
            weight: 0.0,
            corrected_at: now,
            wait: SmoothedWait::default(),
            pool_wait: SmoothedWait::default(),
            predicted_at: now,
        }
    }

    /// Returns the typical running time of a route without any wait; half of its latency objective until
    /// it is known.
    pub fn running_time(&self, route: &RouteId, objective: Duration) -> Duration {
        self.timings.known(route).unwrap_or(objective / 2)
    }

    /// Returns the wait of a request that waits for a number of typical running times.
    pub fn queueing_wait(&self, queueing: f64, objective: Duration) -> Duration {
        let running = self.timings.known_typical().unwrap_or(objective / 2);
        running.mul_f64(queueing)
    }

    /// Records what an attempt shows about the prediction.
    pub fn record(&mut self, now: MonoTime, sample: &WaitSample<'_>) {
        let running = self.running_time(sample.route, sample.objective);
        let predicted_s = sample.predicted.as_secs_f64();
        let elapsed_s = sample.elapsed.as_secs_f64();
        let beyond_running_s = elapsed_s - running.as_secs_f64();
        let waited_s = match sample.end {
            AttemptEnd::Answered => {
                // At even spread, the attempt has waited that many running times and run for one.
                let running = sample.elapsed.div_f64(1.0 + sample.pool.queueing());
                self.timings.record(sample.route, running);
                beyond_running_s
            }
            // The attempt says nothing if it had too little time to be answered without a wait.
            AttemptEnd::TimedOut if beyond_running_s <= predicted_s => return,
            AttemptEnd::TimedOut => beyond_running_s,
            AttemptEnd::Full(load) => {
                let Some(wait) = load.and_then(|load| queueing_time(load, running)) else {
                    return;
                };
                wait.as_secs_f64()
            }
        };
        self.fade_correction(now);
        self.excess_s += waited_s - predicted_s;
        self.weight += 1.0;
    }

    /// Updates the estimates by the waits that the balancer predicts now, at the selected target and if all
    /// requests were spread evenly. Returns the first one.
    pub fn update(&mut self, now: MonoTime, predicted: Duration, pool_wait: Duration) -> Duration {
        self.fade_correction(now);
        let correction_s = self.excess_s / (self.weight + PRIOR_ATTEMPTS);
        let corrected_s = (predicted.as_secs_f64() + correction_s).max(0.0);
        let elapsed = now.since(self.predicted_at);
        self.predicted_at = now;
        self.wait.update(elapsed, corrected_s);
        self.pool_wait.update(elapsed, pool_wait.as_secs_f64());
        self.wait.value()
    }

    /// Returns the wait of a request if all requests were spread evenly, as of the last update.
    pub fn pool_wait(&self) -> Duration {
        self.pool_wait.value()
    }

    /// Returns whether requests wait although they are spread evenly.
    pub fn is_short(&self) -> bool {
        let running = self.timings.known_typical().unwrap_or_default();
        self.pool_wait.value() > running.mul_f64(SHORT_WAIT)
    }

    fn fade_correction(&mut self, now: MonoTime) {
        let elapsed_s = now.since(self.corrected_at).as_secs_f64();
        self.corrected_at = self.corrected_at.max(now);
        let remaining = (-elapsed_s / CORRECTION_HALF_LIFE_S).exp2();
        self.excess_s *= remaining;
        self.weight *= remaining;
    }
}

/// Returns the wait of a request that a target with a load puts at the end of its queue.
fn queueing_time(load: ReportedLoad, running: Duration) -> Option<Duration> {
    let slots = load.slots.filter(|slots| *slots > 0)?;
    let ahead = load.total().saturating_add(1).saturating_sub(slots);
    Some(running.mul_f64(f64::from(ahead) / f64::from(slots)))
}
