//! Which target of a service a request goes to.
//!
//! The cost of a target is the wait that its load makes likely, the loss that its failing makes
//! likely, and the price of its distance, all in parts of a request's value. The cheapest target is
//! taken. A request that may be sent again loses less by a failure, so that such requests are the
//! ones that try suspected targets. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::config::Idempotence;
use crate::failure_filter::{FailureFilter, FailureSignal};
use crate::ids::{DataCentreId, ServiceId, TargetId, VmId};
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

/// What a failure costs of a request that cannot be sent again: all of its value.
const FAILURE_COST: f64 = 1.0;
/// What a failure costs of a request that is sent again: its latency and a part of the budget.
const RETRYABLE_FAILURE_COST: f64 = 0.3;
/// What it costs to cross data centres: about the price of the bytes of a usual request.
const CROSS_DATA_CENTRE_COST: f64 = 0.06;
/// What a wait of one usual running time costs.
const WAIT_COST: f64 = 0.25;
/// What a running request beside it costs, to spread work while slots are free.
const CONCURRENCY_COST: f64 = 0.03;
/// What a cold target costs: it runs about twice as long.
const COLD_START_COST: f64 = 0.12;
/// What a path costs that did not connect lately.
const UNREACHABLE_COST: f64 = 2.0;
/// The time for which a path that did not connect is avoided, in milliseconds: some tries.
const UNREACHABLE_PENALTY_MS: u64 = 1_500;
/// The time in which a target's own load report loses half of its weight, in milliseconds: about
/// the running time of the requests that it counts.
const LOAD_REPORT_HALF_LIFE_MS: f64 = 150.0;
/// The time for which a peer's count of running requests is used, in milliseconds: some intervals.
const PEER_COUNT_MAX_AGE_MS: u64 = 600;
/// The time for which a target that refused for want of room counts as full, in milliseconds.
const FULL_PENALTY_MS: u64 = 120;
/// An answer is late after so many usual running times: beyond the usual spread of work.
const LATE_FACTOR: f64 = 4.0;
/// The least time after which an answer is late, in milliseconds.
const MIN_LATE_MS: u64 = 250;
/// The weight of a new answer in the averages of a service.
const SMOOTHING_FACTOR: f64 = 0.02;
/// The part of failures that is assumed of healthy targets, at least: few errors are usual anywhere.
const MIN_BASELINE_FAILURE_RATE: f64 = 0.012;
/// The time without a request after which a target is due for one, in milliseconds: every target that
/// may be sound has to take part of the work.
const EXPLORATION_INTERVAL_MS: u64 = 1_000;
/// What it is worth to send a request that may be sent again to an unused target: more than distance
/// and the usual doubt.
const RETRYABLE_EXPLORATION_BONUS: f64 = 0.15;
/// What it is worth to send another request there.
const EXPLORATION_BONUS: f64 = 0.03;
/// An unused target that is likelier to fail than this is left alone.
const MAX_EXPLORATION_PROBABILITY: f64 = 0.2;
/// The part of failures that is assumed of healthy targets, at most.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.25;
/// A target that is likelier to fail than this does not count in the usual failures.
const SUSPICION_THRESHOLD: f64 = 0.5;
/// A good answer is news at once if the target was so much likelier to fail than usual.
const SHARING_FACTOR: f64 = 1.5;
/// A failure within this part of the usual running time came before any work.
const IMMEDIATE_FAILURE_FRACTION: f64 = 0.1;
/// The running time that is assumed before answers came, in milliseconds.
const INITIAL_RUNNING_MS: f64 = 120.0;

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Whether the request may be sent again.
    pub idempotence: Idempotence,
    /// The targets that had the request already.
    pub tried: &'a [TargetId],
    /// A number that differs between requests, to break ties.
    pub seed: u64,
}

/// The target that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSelection {
    /// The target.
    pub target: TargetId,
    /// The wait that is expected before the request runs.
    pub expected_wait: Duration,
    /// The probability that the target is failing.
    pub failing_probability: f64,
    /// The requests that run there, as far as is known.
    pub load: f64,
    /// How many targets there were to choose from.
    pub candidates: usize,
}

/// A change of what a node believes of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionChange {
    /// The target is likelier to fail than not: requests go elsewhere while there is room.
    Suspected,
    /// The target is trusted again.
    Trusted,
}

/// What a signal of a target has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalOutcome {
    /// The probability before that the target was failing.
    pub before: f64,
    /// The probability after.
    pub after: f64,
    /// Whether the belief changed sides.
    pub change: Option<SuspicionChange>,
    /// Whether others should hear of the sign.
    pub should_share: bool,
}

/// What a request stands to lose and to show.
#[derive(Clone, Copy, Debug)]
struct CostTerms {
    failure_cost: f64,
    exploration_bonus: f64,
}

/// Names a target in messages that are sent often: a digest of its id.
///
/// Two targets with one code, which is rare, lend each other soft evidence for a moment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct TargetCode(pub u32);

impl From<&TargetId> for TargetCode {
    fn from(id: &TargetId) -> Self {
        Self(StableHash::of(id.as_bytes()).0 as u32)
    }
}

/// Names a running request of this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningAttemptId(u64);

#[derive(Debug)]
struct RunningAttempt {
    id: RunningAttemptId,
    started: MonoTime,
    counted_late: bool,
}

#[derive(Debug)]
struct BalancedTarget {
    data_centre: DataCentreId,
    slots: u32,
    cold_until: MonoTime,
    filter: FailureFilter,
    running: Vec<RunningAttempt>,
    peers: IndexMap<VmId, (u32, MonoTime)>,
    /// The requests of others that the target reported, and when.
    report: Option<(f64, MonoTime)>,
    full_until: MonoTime,
    avoided_until: MonoTime,
    last_used_at: MonoTime,
    is_suspected: bool,
}

impl BalancedTarget {
    fn apply_signal(
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
        let initial_probability = FailureFilter::new(now).probability(now);
        SignalOutcome {
            before,
            after,
            change,
            should_share: signal != FailureSignal::Good
                || before > initial_probability * SHARING_FACTOR,
        }
    }

    fn load(&self, now: MonoTime) -> f64 {
        let fresh = Duration::from_millis(PEER_COUNT_MAX_AGE_MS);
        let peers: u32 = self
            .peers
            .values()
            .filter(|(_, at)| now.since(*at) < fresh)
            .map(|(count, _)| *count)
            .sum();
        let reported = self.report.map_or(0.0, |(others, at)| {
            let age_ms = now.since(at).as_secs_f64() * 1_000.0;
            others * (-age_ms / LOAD_REPORT_HALF_LIFE_MS).exp2()
        });
        let known = self.running.len() as f64 + reported.max(f64::from(peers));
        if now < self.full_until {
            known.max(f64::from(self.slots) * 2.0)
        } else {
            known
        }
    }
}

/// The targets of one service, as one node sees them.
#[derive(Debug)]
pub struct TargetBalancer {
    own_data_centre: DataCentreId,
    targets: IndexMap<TargetId, BalancedTarget>,
    codes: IndexMap<TargetCode, TargetId>,
    /// The targets that each peer named as busy in its last message.
    peer_busy_targets: IndexMap<VmId, Vec<TargetCode>>,
    baseline_failure_rate: f64,
    typical_running_ms: f64,
    next_running: u64,
}

impl TargetBalancer {
    /// Makes an empty board of a node in a data centre.
    pub fn new(own_data_centre: DataCentreId) -> Self {
        Self {
            own_data_centre,
            targets: IndexMap::new(),
            codes: IndexMap::new(),
            peer_busy_targets: IndexMap::new(),
            baseline_failure_rate: MIN_BASELINE_FAILURE_RATE,
            typical_running_ms: INITIAL_RUNNING_MS,
            next_running: 0,
        }
    }

    /// Adds a target that takes work, or forgets what was believed of an earlier start of it.
    pub fn insert(
        &mut self,
        now: MonoTime,
        id: TargetId,
        data_centre: DataCentreId,
        slots: u32,
        cold_for: Duration,
    ) {
        let target = BalancedTarget {
            data_centre,
            slots: slots.max(1),
            cold_until: now + cold_for,
            filter: FailureFilter::new(now),
            running: Vec::new(),
            peers: IndexMap::new(),
            report: None,
            full_until: MonoTime::ZERO,
            avoided_until: MonoTime::ZERO,
            last_used_at: now,
            is_suspected: false,
        };
        self.codes.insert(TargetCode::from(&id), id.clone());
        self.targets.insert(id, target);
    }

    /// Takes a target out that gets no more work.
    pub fn remove(&mut self, id: &TargetId) {
        self.targets.swap_remove(id);
        self.codes.swap_remove(&TargetCode::from(id));
    }

    fn get_by_code(&mut self, code: TargetCode) -> Option<&mut BalancedTarget> {
        self.targets.get_mut(self.codes.get(&code)?)
    }

    /// Returns the number of targets that may get work.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target may get work.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns whether a target may get work.
    pub fn contains(&self, id: &TargetId) -> bool {
        self.targets.contains_key(id)
    }

    /// Returns the time after which an answer counts as late.
    pub fn late_threshold(&self) -> Duration {
        Duration::from_millis((self.typical_running_ms * LATE_FACTOR) as u64)
            .max(Duration::from_millis(MIN_LATE_MS))
    }

    /// Returns the usual running time of the service's requests.
    pub fn typical_running_time(&self) -> Duration {
        Duration::from_secs_f64(self.typical_running_ms / 1_000.0)
    }

    /// Chooses the cheapest target that did not have the request yet.
    pub fn select(&self, now: MonoTime, request: &SelectionRequest<'_>) -> Option<TargetSelection> {
        let terms = match request.idempotence {
            Idempotence::Idempotent => CostTerms {
                failure_cost: RETRYABLE_FAILURE_COST,
                // The second sending is to succeed.
                exploration_bonus: if request.tried.is_empty() {
                    RETRYABLE_EXPLORATION_BONUS
                } else {
                    0.0
                },
            },
            Idempotence::NonIdempotent => CostTerms {
                failure_cost: FAILURE_COST,
                exploration_bonus: EXPLORATION_BONUS,
            },
        };
        let count = self.targets.len();
        let start = usize::try_from(request.seed % count.max(1) as u64).unwrap_or(0);
        let mut best: Option<(f64, TargetSelection)> = None;
        for step in 0..count {
            let (id, target) = self.targets.get_index((start + step) % count)?;
            if request.tried.contains(id) {
                continue;
            }
            let (cost, wait) = self.cost(now, target, terms);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let choice = TargetSelection {
                    target: id.clone(),
                    expected_wait: wait,
                    failing_probability: target.filter.probability(now),
                    load: target.load(now),
                    candidates: count,
                };
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    fn cost(&self, now: MonoTime, target: &BalancedTarget, terms: CostTerms) -> (f64, Duration) {
        let slots = f64::from(target.slots);
        let load = target.load(now);
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        let mut cost = waiting * WAIT_COST + load / slots * CONCURRENCY_COST;
        cost += target.filter.probability(now) * terms.failure_cost;
        let failing = target.filter.probability(now);
        let unused =
            now.since(target.last_used_at) >= Duration::from_millis(EXPLORATION_INTERVAL_MS);
        if unused && failing < MAX_EXPLORATION_PROBABILITY {
            cost -= terms.exploration_bonus;
        }
        if target.data_centre != self.own_data_centre {
            cost += CROSS_DATA_CENTRE_COST;
        }
        if now < target.cold_until {
            cost += COLD_START_COST;
        }
        if now < target.avoided_until {
            cost += UNREACHABLE_COST;
        }
        let wait = Duration::from_secs_f64(waiting * self.typical_running_ms / 1_000.0);
        (cost, wait)
    }

    /// Says what a failure after some time shows: one that came at once was not of the request's work.
    pub fn classify_failure(&self, taken: Duration) -> FailureSignal {
        if taken.as_secs_f64() * 1_000.0 < self.typical_running_ms * IMMEDIATE_FAILURE_FRACTION {
            FailureSignal::FailedAtOnce
        } else {
            FailureSignal::Failed
        }
    }

    /// Notes that a request was sent to a target.
    pub fn start_attempt(&mut self, now: MonoTime, id: &TargetId) -> RunningAttemptId {
        self.next_running += 1;
        let running = RunningAttemptId(self.next_running);
        if let Some(target) = self.targets.get_mut(id) {
            target.last_used_at = now;
            target.running.push(RunningAttempt {
                id: running,
                started: now,
                counted_late: false,
            });
        }
        running
    }

    /// Notes that a request of this node does not run at a target any more.
    ///
    /// Returns how long it ran, and whether its answer counted as late already.
    pub fn finish_attempt(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        running: RunningAttemptId,
    ) -> (Duration, bool) {
        let Some(target) = self.targets.get_mut(id) else {
            return (Duration::ZERO, false);
        };
        let Some(index) = target.running.iter().position(|entry| entry.id == running) else {
            return (Duration::ZERO, false);
        };
        let entry = target.running.swap_remove(index);
        (now.since(entry.started), entry.counted_late)
    }

    /// Takes in what an attempt showed of a target; none if it gets no work.
    pub fn record_signal(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        signal: FailureSignal,
    ) -> Option<SignalOutcome> {
        let outcome = self.record_peer_signal(now, id, signal)?;
        // A late answer may still be a good one.
        if outcome.before < SUSPICION_THRESHOLD && signal != FailureSignal::Late {
            let baseline = self.baseline_failure_rate;
            let failed = f64::from(u8::from(signal != FailureSignal::Good));
            let average = baseline + (failed - baseline) * SMOOTHING_FACTOR;
            self.baseline_failure_rate =
                average.clamp(MIN_BASELINE_FAILURE_RATE, MAX_BASELINE_FAILURE_RATE);
        }
        Some(outcome)
    }

    /// Takes in what a peer saw of a target; none if it gets no work.
    pub fn record_peer_signal(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        signal: FailureSignal,
    ) -> Option<SignalOutcome> {
        let baseline = self.baseline_failure_rate;
        let target = self.targets.get_mut(id)?;
        Some(target.apply_signal(now, signal, baseline))
    }

    /// Takes in how long a good answer took.
    pub fn record_running_time(&mut self, taken: Duration) {
        let taken_ms = taken.as_secs_f64() * 1_000.0;
        self.typical_running_ms += (taken_ms - self.typical_running_ms) * SMOOTHING_FACTOR;
    }

    /// Takes in a target's report of its load: running and waiting requests of everybody.
    pub fn record_load_report(&mut self, now: MonoTime, id: &TargetId, load: u32) {
        if let Some(target) = self.targets.get_mut(id) {
            // The request that brought the report has ended at the target but not here yet.
            let own = target.running.len() as f64;
            let others = (f64::from(load) - own).max(0.0);
            target.report = Some((others, now));
        }
    }

    /// Takes in that a target had no room.
    pub fn mark_full(&mut self, now: MonoTime, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.full_until = now + Duration::from_millis(FULL_PENALTY_MS);
        }
    }

    /// Takes in that a target did not accept a connection from this node.
    pub fn mark_unreachable(&mut self, now: MonoTime, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.avoided_until = now + Duration::from_millis(UNREACHABLE_PENALTY_MS);
        }
    }

    /// Takes in how many requests of a peer run at each target; those left out have none.
    pub fn record_peer_counts(
        &mut self,
        now: MonoTime,
        peer: &VmId,
        running: &[(TargetCode, u32)],
    ) {
        for code in self.peer_busy_targets.swap_remove(peer).unwrap_or_default() {
            if let Some(target) = self.get_by_code(code) {
                target.peers.swap_remove(peer);
            }
        }
        let mut busy = Vec::new();
        for (code, count) in running {
            if let Some(target) = self.get_by_code(*code) {
                target.last_used_at = now;
                target.peers.insert(peer.clone(), (*count, now));
                busy.push(*code);
            }
        }
        if !busy.is_empty() {
            self.peer_busy_targets.insert(peer.clone(), busy);
        }
    }

    /// Takes in which targets gave a near peer whole good answers in usual time.
    pub fn record_peer_successes(&mut self, now: MonoTime, successes: &[TargetCode]) {
        let baseline = self.baseline_failure_rate;
        for code in successes {
            if let Some(target) = self.get_by_code(*code) {
                target.apply_signal(now, FailureSignal::Good, baseline);
            }
        }
    }

    /// Returns how many requests of this node run at each busy target.
    pub fn running_counts(&self) -> impl Iterator<Item = (&TargetId, u32)> {
        self.targets
            .iter()
            .filter(|(_, target)| !target.running.is_empty())
            .map(|(id, target)| (id, u32::try_from(target.running.len()).unwrap_or(u32::MAX)))
    }

    /// Finds answers that became late, each once; returns their targets.
    pub fn collect_late(&mut self, now: MonoTime) -> Vec<TargetId> {
        let late_threshold = self.late_threshold();
        let mut late = Vec::new();
        for (id, target) in &mut self.targets {
            for running in &mut target.running {
                if !running.counted_late && now.since(running.started) >= late_threshold {
                    running.counted_late = true;
                    late.push(id.clone());
                }
            }
        }
        late
    }

    /// Returns the service's failure rate as it is assumed of healthy targets.
    pub fn baseline_failure_rate(&self) -> f64 {
        self.baseline_failure_rate
    }

    /// Returns the probability that a target is failing.
    pub fn failing_probability(&self, now: MonoTime, id: &TargetId) -> Option<f64> {
        Some(self.targets.get(id)?.filter.probability(now))
    }
}

/// The boards of all services.
pub type ServiceBalancers = IndexMap<ServiceId, TargetBalancer>;
