//! A target as one node sees it: its load, and the probability that it is failing.

use std::time::Duration;

use indexmap::IndexMap;

use crate::failure_filter::{FailureFilter, FailureSignal};
use crate::ids::{DataCentreId, VmId};
use crate::target_trial::IdleState;
use crate::time::MonoTime;

/// The half-life of the weight of a target's load report, in milliseconds: the running time of the
/// requests that it counts.
const LOAD_REPORT_HALF_LIFE_MS: f64 = 150.0;
/// How long a peer's count of running requests is used, in milliseconds: several report intervals.
const PEER_COUNT_MAX_AGE_MS: u64 = 600;
/// The time between two failures from which on they count as two trials, in milliseconds: below the second for which
/// a target is left alone, and beyond the running time of a request.
const TRIAL_GAP_MS: u64 = 700;
/// How much longer a target is left alone for each failed trial, in milliseconds, and the number of such steps.
const TRIAL_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_STEPS: u32 = 2;
/// A success is shared at once if the failing probability was above the initial one by this factor.
const SHARING_FACTOR: f64 = 1.5;
/// A target is suspected from this failing probability on; its answers then leave the baseline alone.
pub(crate) const SUSPICION_THRESHOLD: f64 = 0.5;

/// The load that a target reports with an answer, over all nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait in its queue.
    pub waiting: u32,
    /// The number of its slots; none if it does not say.
    pub slots: Option<u32>,
}

impl ReportedLoad {
    /// Returns the number of running and waiting requests.
    pub const fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns whether a request that arrives now would run at once.
    pub fn has_free_slots(self) -> bool {
        self.waiting == 0 && self.slots.is_some_and(|slots| self.running < slots)
    }
}

/// Why a target refused a request unrun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityRefusal {
    /// Its slots and its queue are taken.
    Full,
    /// It has free slots by its own report: it refuses some requests whatever its load.
    Shedding,
}

/// A transition of a target between suspected and trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionChange {
    /// The target is more likely failing than not; requests prefer others while these have capacity.
    Suspected,
    /// The target is no longer suspected.
    Trusted,
}

/// The effect of a signal on a target's failing probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalOutcome {
    /// The failing probability before the signal.
    pub before: f64,
    /// The failing probability after the signal.
    pub after: f64,
    /// The change between suspected and trusted, if there was one.
    pub change: Option<SuspicionChange>,
    /// Whether to send the signal to the other nodes.
    pub should_share: bool,
}

/// Identifies an attempt of this node that is running at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningAttemptId(pub(crate) u64);

/// An attempt of this node that is running at a target.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) id: RunningAttemptId,
    pub(crate) late_at: MonoTime,
    pub(crate) counted_late: bool,
}

/// A target with its load and failing probability as estimated by this node.
#[derive(Debug)]
pub(crate) struct BalancedTarget {
    pub(crate) data_centre: DataCentreId,
    pub(crate) slots: u32,
    pub(crate) warmup_until: MonoTime,
    pub(crate) filter: FailureFilter,
    pub(crate) running: Vec<RunningAttempt>,
    pub(crate) peer_counts: IndexMap<VmId, (u32, MonoTime)>,
    /// The load by other nodes that the target reported, and when.
    pub(crate) load_report: Option<(f64, MonoTime)>,
    /// When the target last reported its load, if that report left slots free.
    pub(crate) reported_free_at: Option<MonoTime>,
    pub(crate) full_until: MonoTime,
    pub(crate) avoided_until: MonoTime,
    pub(crate) last_used_at: MonoTime,
    /// When the last request that is known of started, of this node or of a peer; the earliest time if unsure.
    pub(crate) requested_at: MonoTime,
    pub(crate) is_suspected: bool,
    /// Whether the last signal about the target was good.
    pub(crate) is_last_good: bool,
    /// The number of times in a row that requests failed after the target had been left alone.
    pub(crate) failed_trials: u32,
    /// When the last request failed; none since the last good answer.
    pub(crate) failed_at: Option<MonoTime>,
    /// The positions of the nodes that try the target before this one.
    pub(crate) predecessors: Vec<u32>,
}

impl BalancedTarget {
    /// Updates the failing probability by a signal.
    pub(crate) fn apply_signal(
        &mut self,
        now: MonoTime,
        signal: FailureSignal,
        baseline: f64,
    ) -> SignalOutcome {
        let before = self.filter.probability(now);
        self.filter.observe(now, signal, baseline);
        let after = self.filter.probability(now);
        let change = match (self.is_suspected, after >= SUSPICION_THRESHOLD) {
            (false, true) => Some(SuspicionChange::Suspected),
            (true, false) => Some(SuspicionChange::Trusted),
            _ => None,
        };
        self.is_suspected = after >= SUSPICION_THRESHOLD;
        self.is_last_good = signal == FailureSignal::Good;
        self.count_failed_trial(now, signal);
        let initial_probability = FailureFilter::new(now).probability(now);
        SignalOutcome {
            before,
            after,
            change,
            should_share: signal != FailureSignal::Good
                || before > initial_probability * SHARING_FACTOR,
        }
    }

    /// Returns the number of nodes that try the target before this one.
    pub(crate) fn trial_rank(&self) -> u32 {
        u32::try_from(self.predecessors.len()).unwrap_or(u32::MAX)
    }

    /// Records that a request to the target started, at this time or later.
    pub(crate) fn record_request_at(&mut self, started_at: MonoTime) {
        self.requested_at = self.requested_at.max(started_at);
    }

    /// Counts failures that come apart as trials; those of requests that ran together are one.
    fn count_failed_trial(&mut self, now: MonoTime, signal: FailureSignal) {
        if signal == FailureSignal::Good {
            (self.failed_trials, self.failed_at) = (0, None);
            return;
        }
        let gap = Duration::from_millis(TRIAL_GAP_MS);
        let failed_at = self.failed_at.replace(now);
        if failed_at.is_some_and(|at| now.since(at) >= gap) {
            self.failed_trials += 1;
        }
    }

    /// Returns how much longer than a second the target is left alone while its service keeps its floor. A healthy
    /// target answers its first trial, or by chance its second one, so that the others cost fewer requests.
    pub(crate) fn trial_backoff(&self) -> Duration {
        Duration::from_millis(TRIAL_BACKOFF_MS) * self.failed_trials.min(MAX_BACKOFF_STEPS)
    }

    /// Returns how the target is judged while it gets no requests.
    pub(crate) fn idle_state(&self, now: MonoTime) -> IdleState {
        if self.filter.probability(now) < SUSPICION_THRESHOLD {
            IdleState::Trusted
        } else if self.is_last_good {
            IdleState::Recovering
        } else {
            IdleState::Suspected
        }
    }

    /// Returns the estimated number of running and waiting requests of all nodes.
    pub(crate) fn load(&self, now: MonoTime) -> f64 {
        let max_age = Duration::from_millis(PEER_COUNT_MAX_AGE_MS);
        let peer_total: u32 = self
            .peer_counts
            .values()
            .filter(|(_, at)| now.since(*at) < max_age)
            .map(|(count, _)| *count)
            .sum();
        let reported = self.load_report.map_or(0.0, |(others, at)| {
            let age_ms = now.since(at).as_secs_f64() * 1_000.0;
            others * (-age_ms / LOAD_REPORT_HALF_LIFE_MS).exp2()
        });
        let known = self.running.len() as f64 + reported.max(f64::from(peer_total));
        if now < self.full_until {
            known.max(f64::from(self.slots) * 2.0)
        } else {
            known
        }
    }
}
