//! A simulated target with slots, a queue and fault modes.

use std::time::Duration;

use damaskloom_lib::evidence::AttemptOutcome;
use damaskloom_lib::mixer::SeedSequence;
use damaskloom_lib::time::MonoTime;

use super::fault::FaultMode;

/// The time after which a caller gives up a request.
pub const DEADLINE: Duration = Duration::from_secs(10);
const MIN_SERVICE_MS: f64 = 10.0;
const MEAN_EXTRA_SERVICE_MS: f64 = 15.0;
const NETWORK_MS: f64 = 2.0;
/// The fraction of requests that fail on a healthy target.
pub const HEALTHY_FAILURE_RATIO: f64 = 0.001;

/// The mean service time of a healthy target, in milliseconds.
pub const MEAN_SERVICE_MS: f64 = MIN_SERVICE_MS + MEAN_EXTRA_SERVICE_MS;

/// A target that runs a few requests at once and queues the others.
#[derive(Clone, Debug)]
pub struct StandInTarget {
    free_at: Vec<MonoTime>,
    /// The number of requests that are queued or running.
    pub in_flight: u32,
}

/// The result of a request.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The time at which the node learns the outcome.
    pub ends: MonoTime,
}

impl StandInTarget {
    /// Creates an idle target.
    pub fn new(slots: usize) -> Self {
        Self {
            free_at: vec![MonoTime::ZERO; slots],
            in_flight: 0,
        }
    }

    /// Serves a request of a route from a node.
    pub fn serve(
        &mut self,
        now: MonoTime,
        node: usize,
        route: usize,
        fault: Option<FaultMode>,
        random: &mut SeedSequence,
    ) -> ServedRequest {
        self.in_flight += 1;
        let mut outcome = AttemptOutcome::Success;
        let mut service_ms =
            MIN_SERVICE_MS - MEAN_EXTRA_SERVICE_MS * (1.0 - random.next_unit()).ln();
        if random.next_unit() < HEALTHY_FAILURE_RATIO {
            outcome = AttemptOutcome::Failed;
        }
        let drawn = random.next_unit();
        match fault {
            Some(FaultMode::Errors(share)) if drawn < share => outcome = AttemptOutcome::Failed,
            Some(FaultMode::FastErrors(share)) if drawn < share => {
                return ServedRequest {
                    outcome: AttemptOutcome::Failed,
                    ends: now + millis(NETWORK_MS + 1.0),
                };
            }
            Some(FaultMode::Shed(share)) if drawn < share => {
                return ServedRequest {
                    outcome: AttemptOutcome::Shed,
                    ends: now + millis(NETWORK_MS + 1.0),
                };
            }
            Some(FaultMode::Flap(period)) => {
                let phase = now.as_micros() % period.as_micros() as u64;
                if phase * 2 < period.as_micros() as u64 {
                    outcome = AttemptOutcome::Failed;
                }
            }
            Some(FaultMode::WrongStatus) => outcome = AttemptOutcome::Rejected,
            Some(FaultMode::Hang) => service_ms = DEADLINE.as_secs_f64() * 1_000.0,
            Some(FaultMode::Slow(factor)) => service_ms *= factor,
            Some(FaultMode::SlowRoute(factor)) if route == 0 => service_ms *= factor,
            Some(FaultMode::Unreachable(nodes)) if node < nodes => {
                return ServedRequest {
                    outcome: AttemptOutcome::ConnectFailed,
                    ends: now + millis(1_000.0),
                };
            }
            _ => {}
        }
        let slot = self
            .free_at
            .iter_mut()
            .min()
            .expect("a target has at least one slot");
        let starts = (*slot).max(now);
        let done = starts + millis(service_ms);
        let gives_up = now + DEADLINE;
        *slot = done.min(gives_up.max(starts));
        if done >= gives_up {
            return ServedRequest {
                outcome: AttemptOutcome::TimedOut,
                ends: gives_up,
            };
        }
        ServedRequest {
            outcome,
            ends: done + millis(NETWORK_MS),
        }
    }
}

fn millis(count: f64) -> Duration {
    Duration::from_secs_f64(count / 1_000.0)
}
