//! Selects the target for each request by expected cost.
//!
//! The cost of a target adds up the expected queueing delay, the expected loss by a failure and the
//! price of crossing data centres, each as a fraction of the request's value. The target with the
//! lowest cost is selected. A failure costs less if the request can be retried, so suspected targets
//! are mostly tried by such requests. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md). A target that names a limit
//! is selected only if this node's share of the limit allows a request soon; see
//! [docs/design/target-limits.md](../../docs/design/target-limits.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::balanced_target::{
    BalancedTarget, CapacityRefusal, ReportedLoad, RunningAttempt, RunningAttemptId,
    SUSPICION_THRESHOLD, SignalOutcome,
};
use crate::config::Idempotence;
use crate::crossing_cost::{CrossingCost, RouteSizes};
use crate::evacuation::Evacuations;
use crate::failure_filter::{FailureFilter, FailureSignal};
use crate::ids::{DataCentreId, RouteId, ServiceId, TargetId, VmId};
use crate::loss_meter::{LossMeter, RequestOutcome};
use crate::rendezvous::StableHash;
use crate::route_timing::RouteTimings;
use crate::target_limits::LimitPermission;
use crate::target_selection::{PoolLoad, SelectionError, SelectionRequest, TargetSelection};
use crate::target_trial::{ServiceFloor, TrialNode, TrialOrder};
use crate::time::MonoTime;
use crate::units::ByteSize;

/// The cost of a failure if the request cannot be retried: its whole value.
const FAILURE_COST: f64 = 1.0;
/// The cost of a failure if the request is retried: its latency and a part of the repeat budget.
const RETRYABLE_FAILURE_COST: f64 = 0.3;
/// The cost of queueing for one typical running time.
const WAIT_COST: f64 = 0.25;
/// The cost of load per slot, which spreads requests while slots are free.
const CONCURRENCY_COST: f64 = 0.03;
/// The cost of a target that is still warming up: requests run twice as long there.
const WARMUP_COST: f64 = 0.12;
/// The cost of exceeding a target's limit: less than that of a queue as long as a request.
const BEYOND_LIMIT_COST: f64 = 0.2;
/// The cost of a target that did not accept a recent connection.
const UNREACHABLE_COST: f64 = 2.0;
/// How long a target is avoided after a failed connect, in milliseconds: the time of several connects.
const UNREACHABLE_PENALTY_MS: u64 = 1_500;
/// How long a target counts as full after it refused a request for lack of capacity, in milliseconds.
const FULL_PENALTY_MS: u64 = 120;
/// How old a report of free slots may be to tell that a refusal is not for lack of capacity, in
/// milliseconds: a queue does not fill in that time.
const FREE_REPORT_MAX_AGE_MS: u64 = 50;
/// The weight of a new answer in a service's moving average of failures.
const SMOOTHING_FACTOR: f64 = 0.02;
/// The lowest failure rate that is assumed of healthy targets: a few errors are normal anywhere.
const MIN_BASELINE_FAILURE_RATE: f64 = 0.012;
/// The highest failure rate that is assumed of healthy targets.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.25;
/// A failure within this fraction of the route's typical running time came before any work on the request.
const IMMEDIATE_FAILURE_FRACTION: f64 = 0.1;
/// A failure after this fraction of the time until the deadline was caused by the deadline.
const DEADLINE_FRACTION: f64 = 0.95;
/// The floor of a service unless one is set: all its targets, since nobody knows which ones are healthy.
const DEFAULT_FLOOR: f64 = 1.0;
/// The maximum time for which a request waits until the limit of a target allows it, in milliseconds.
const MAX_PERMIT_WAIT_MS: u64 = 1_000;

/// The time that an attempt may take, by the deadline of its request and by the measure of its route.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTime {
    /// The time from the start of the attempt to the request's deadline.
    pub until_deadline: Duration,
    /// The time after which the answer is late.
    pub until_late: Duration,
}

/// The parts of a target's cost that depend on the request.
#[derive(Clone, Copy, Debug)]
struct CostTerms {
    failure_cost: f64,
    crossing: CrossingCost,
}

/// A digest of a target's id, which names it in frequent messages.
///
/// Collisions are rare; the counts and successes of one target then apply to another for a short time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct TargetCode(pub u32);

impl From<&TargetId> for TargetCode {
    fn from(id: &TargetId) -> Self {
        Self(StableHash::of(id.as_bytes()).0 as u32)
    }
}

/// The targets of one service, with their load and failing probability as estimated by this node.
#[derive(Debug)]
pub struct TargetBalancer {
    pub(crate) own_data_centre: DataCentreId,
    pub(crate) floor: ServiceFloor,
    pub(crate) loss: LossMeter,
    pub(crate) trial_order: TrialOrder,
    pub(crate) targets: IndexMap<TargetId, BalancedTarget>,
    codes: IndexMap<TargetCode, TargetId>,
    /// The targets that each peer listed as busy in its last message.
    peer_busy_targets: IndexMap<VmId, Vec<TargetCode>>,
    baseline_failure_rate: f64,
    timings: RouteTimings,
    sizes: RouteSizes,
    next_attempt: u64,
}

impl TargetBalancer {
    /// Creates an empty balancer for a node.
    pub fn new(own_vm: &VmId, own_data_centre: DataCentreId) -> Self {
        Self {
            trial_order: TrialOrder::new(TrialNode::new(own_vm, own_data_centre.clone())),
            own_data_centre,
            floor: ServiceFloor::new(DEFAULT_FLOOR),
            loss: LossMeter::new(MonoTime::ZERO),
            targets: IndexMap::new(),
            codes: IndexMap::new(),
            peer_busy_targets: IndexMap::new(),
            baseline_failure_rate: MIN_BASELINE_FAILURE_RATE,
            timings: RouteTimings::default(),
            sizes: RouteSizes::default(),
            next_attempt: 0,
        }
    }

    /// Sets the floor of the service.
    pub const fn set_floor(&mut self, floor: ServiceFloor) {
        self.floor = floor;
    }

    /// Records whether a request of the service was served.
    pub fn record_request(&mut self, now: MonoTime, outcome: RequestOutcome) {
        self.loss.record(now, outcome);
    }

    /// Returns the measure of the service's lost requests.
    pub const fn loss(&self) -> &LossMeter {
        &self.loss
    }

    /// Returns the measure of the service's lost requests, for what peers report and are told.
    pub const fn loss_mut(&mut self) -> &mut LossMeter {
        &mut self.loss
    }

    /// Adds a target, or resets the state of one that has restarted.
    pub fn insert(
        &mut self,
        now: MonoTime,
        id: TargetId,
        data_centre: DataCentreId,
        slots: u32,
        warmup_left: Duration,
    ) {
        let predecessors = self
            .trial_order
            .predecessors(StableHash::of(id.as_bytes()), &data_centre);
        let target = BalancedTarget {
            data_centre,
            slots: slots.max(1),
            warmup_until: now + warmup_left,
            filter: FailureFilter::new(now),
            running: Vec::new(),
            peer_counts: IndexMap::new(),
            load_report: None,
            reported_free_at: None,
            full_until: MonoTime::ZERO,
            avoided_until: MonoTime::ZERO,
            last_used_at: now,
            requested_at: now,
            is_suspected: false,
            is_last_good: true,
            failed_trials: 0,
            failed_at: None,
            predecessors,
        };
        self.codes.insert(TargetCode::from(&id), id.clone());
        self.targets.insert(id, target);
    }

    /// Sets how long a target is still slow.
    pub fn set_warmup(&mut self, now: MonoTime, id: &TargetId, left: Duration) {
        if let Some(target) = self.targets.get_mut(id) {
            target.warmup_until = now + left;
        }
    }

    /// Sets the other nodes that carry traffic, among which this node is ranked to try unused targets.
    pub fn set_trial_nodes(&mut self, others: &[TrialNode]) {
        if self.trial_order.set_others(others) {
            let order = &self.trial_order;
            self.loss.set_peer_count(order.other_count());
            for (id, target) in &mut self.targets {
                let hash = StableHash::of(id.as_bytes());
                target.predecessors = order.predecessors(hash, &target.data_centre);
            }
        }
    }

    /// Removes a target that gets no more requests.
    pub fn remove(&mut self, id: &TargetId) {
        self.targets.swap_remove(id);
        self.codes.swap_remove(&TargetCode::from(id));
    }

    fn get_by_code(&mut self, code: TargetCode) -> Option<&mut BalancedTarget> {
        self.targets.get_mut(self.codes.get(&code)?)
    }

    /// Returns the number of targets that may get requests.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target may get requests.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns whether a target may get requests.
    pub fn contains(&self, id: &TargetId) -> bool {
        self.targets.contains_key(id)
    }

    /// Returns the bytes of the service's routes.
    pub const fn sizes(&self) -> &RouteSizes {
        &self.sizes
    }

    /// Returns the running times of the service's routes.
    pub const fn timings(&self) -> &RouteTimings {
        &self.timings
    }

    /// Selects the target with the lowest cost that the request was not yet sent to.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target outside evacuated data centres, or if they rest or their limits allow
    /// no request soon.
    pub fn select(
        &self,
        now: MonoTime,
        request: &SelectionRequest<'_>,
    ) -> Result<TargetSelection, SelectionError> {
        let terms = CostTerms {
            failure_cost: match request.idempotence {
                Idempotence::Idempotent => RETRYABLE_FAILURE_COST,
                Idempotence::NonIdempotent => FAILURE_COST,
            },
            crossing: request.crossing,
        };
        let trial = self.trial_target(now, request);
        let count = self.targets.len();
        let start = usize::try_from(request.seed % count.max(1) as u64).unwrap_or(0);
        let max_permit_wait = Duration::from_millis(MAX_PERMIT_WAIT_MS);
        let mut best: Option<(f64, TargetSelection)> = None;
        let mut error = SelectionError::NoTarget;
        let mut evacuated = 0;
        let mut pool = PoolLoad::default();
        for step in 0..count {
            let Some((id, target)) = self.targets.get_index((start + step) % count) else {
                break;
            };
            if request.evacuations.contains(&target.data_centre) {
                evacuated += 1;
                continue;
            }
            if request.tried.contains(id) {
                continue;
            }
            if !request.trust.includes(request.notices, id) {
                error = error.or_untrusted();
                continue;
            }
            let rest_left = request.notices.rest_left(now, id);
            if !rest_left.is_zero() {
                error = error.or_resting(rest_left);
                continue;
            }
            let (permit_wait, limit_cost) = match request.limits.permission(now, id) {
                LimitPermission::Unlimited | LimitPermission::Within => (Duration::ZERO, 0.0),
                LimitPermission::Beyond(wait) if wait <= max_permit_wait => {
                    (wait, BEYOND_LIMIT_COST)
                }
                LimitPermission::Beyond(wait) => {
                    error = error.or_limited(Some(wait));
                    continue;
                }
                LimitPermission::Elsewhere => {
                    error = error.or_limited(None);
                    continue;
                }
            };
            let (target_cost, wait) = self.cost(now, target, permit_wait, terms);
            let load = target.load(now);
            if !target.is_suspected {
                pool.add(load, target.slots);
            }
            let trial = trial.filter(|trial| trial.id == id);
            let is_trial = trial.is_some();
            let cost = if is_trial {
                f64::NEG_INFINITY
            } else {
                target_cost + limit_cost + request.spread_cost(step)
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let selection = TargetSelection {
                    target: id.clone(),
                    permit_wait,
                    expected_wait: wait,
                    failing_probability: target.filter.probability(now),
                    load,
                    pool: PoolLoad::default(),
                    candidates: count,
                    is_trial,
                    keeps_floor: trial.is_some_and(|trial| trial.keeps_floor),
                };
                best = Some((cost, selection));
            }
        }
        if evacuated > 0 && evacuated == count {
            error = SelectionError::Evacuated;
        }
        best.map(|(_, selection)| TargetSelection { pool, ..selection })
            .ok_or(error)
    }

    /// Returns the number of targets that are not in evacuated data centres.
    pub(crate) fn served_count(&self, evacuations: &Evacuations) -> usize {
        if evacuations.is_empty() {
            return self.targets.len();
        }
        let targets = self.targets.values();
        targets
            .filter(|target| !evacuations.contains(&target.data_centre))
            .count()
    }

    fn cost(
        &self,
        now: MonoTime,
        target: &BalancedTarget,
        permit_wait: Duration,
        terms: CostTerms,
    ) -> (f64, Duration) {
        let slots = f64::from(target.slots);
        let load = target.load(now);
        let typical_running_s = self.timings.typical().as_secs_f64();
        // The wait in typical running times; requests that run now may end while this one waits for
        // its permit.
        let queueing = (load + 1.0 - slots).max(0.0) / slots;
        let waiting = queueing + permit_wait.as_secs_f64() / typical_running_s;
        let mut cost = waiting * WAIT_COST + load / slots * CONCURRENCY_COST;
        cost += target.filter.probability(now) * terms.failure_cost;
        if target.data_centre != self.own_data_centre {
            cost += terms.crossing.value();
        }
        if now < target.warmup_until {
            cost += WARMUP_COST;
        }
        if now < target.avoided_until {
            cost += UNREACHABLE_COST;
        }
        let wait = Duration::from_secs_f64(waiting * typical_running_s);
        (cost, wait)
    }

    /// Classifies a failure of a request of a route by the time it took: an immediate one was not caused by
    /// work on the request.
    ///
    /// Returns none if the request's own deadline ended the attempt before its answer would have been late:
    /// `allowed` is the time that the attempt had.
    pub fn classify_failure(
        &self,
        route: &RouteId,
        taken: Duration,
        allowed: AttemptTime,
    ) -> Option<FailureSignal> {
        if taken
            < self
                .timings
                .typical_of(route)
                .mul_f64(IMMEDIATE_FAILURE_FRACTION)
        {
            return Some(FailureSignal::FailedAtOnce);
        }
        let cut_off = taken >= allowed.until_deadline.mul_f64(DEADLINE_FRACTION);
        let is_excused = cut_off && allowed.until_deadline < allowed.until_late;
        (!is_excused).then_some(FailureSignal::Failed)
    }

    /// Records that a request was selected to try a target: until it is sent, others need not try it.
    pub fn record_trial(&mut self, now: MonoTime, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_request_at(now);
        }
    }

    /// Records that a request was sent to a target; its answer is late after `late_after`.
    pub fn start_attempt(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        late_after: Duration,
    ) -> RunningAttemptId {
        self.next_attempt += 1;
        let attempt = RunningAttemptId(self.next_attempt);
        if let Some(target) = self.targets.get_mut(id) {
            target.last_used_at = now;
            target.record_request_at(now);
            target.running.push(RunningAttempt {
                id: attempt,
                late_at: now + late_after,
                counted_late: false,
            });
        }
        attempt
    }

    /// Records the end of an attempt; returns whether it was already counted as late.
    pub fn finish_attempt(&mut self, id: &TargetId, attempt: RunningAttemptId) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        let mut running = target.running.iter();
        let index = running.position(|entry| entry.id == attempt);
        index.is_some_and(|index| target.running.swap_remove(index).counted_late)
    }

    /// Updates a target's failing probability by an attempt of this node; `None` if it is unknown here.
    pub fn record_signal(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        signal: FailureSignal,
    ) -> Option<SignalOutcome> {
        let outcome = self.record_peer_signal(now, id, signal)?;
        // A late answer may still be a success.
        if outcome.before < SUSPICION_THRESHOLD && signal != FailureSignal::Late {
            let baseline = self.baseline_failure_rate;
            let failed = f64::from(u8::from(signal != FailureSignal::Good));
            let average = baseline + (failed - baseline) * SMOOTHING_FACTOR;
            self.baseline_failure_rate =
                average.clamp(MIN_BASELINE_FAILURE_RATE, MAX_BASELINE_FAILURE_RATE);
        }
        Some(outcome)
    }

    /// Updates a target's failing probability by an attempt of a peer; `None` if it is unknown here.
    pub fn record_peer_signal(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        signal: FailureSignal,
    ) -> Option<SignalOutcome> {
        let baseline = self.baseline_failure_rate;
        let good_start = now - self.timings.typical();
        let target = self.targets.get_mut(id)?;
        // A peer's request has reached the target just now.
        target.last_used_at = target.last_used_at.max(now);
        match signal {
            FailureSignal::FailedAtOnce => target.record_request_at(now),
            FailureSignal::Good => target.record_request_at(good_start),
            FailureSignal::Failed | FailureSignal::Late => {}
        }
        Some(target.apply_signal(now, signal, baseline))
    }

    /// Records the running time of a success.
    pub fn record_running_time(&mut self, route: &RouteId, taken: Duration) {
        self.timings.record(route, taken);
    }

    /// Records the bodies of a request and its answer together.
    pub fn record_size(&mut self, route: &RouteId, bytes: ByteSize) {
        self.sizes.record(route, bytes);
    }

    /// Records a target's own count of running and waiting requests from all nodes.
    pub fn record_load_report(&mut self, now: MonoTime, id: &TargetId, load: ReportedLoad) {
        if let Some(target) = self.targets.get_mut(id) {
            target.reported_free_at = load.has_free_slots().then_some(now);
            // The request that brought the report has ended at the target but not here yet.
            let own = target.running.len() as f64;
            let others = (f64::from(load.total()) - own).max(0.0);
            target.load_report = Some((others, now));
        }
    }

    /// Records that a target refused a request unrun; it counts as full unless it has just reported free
    /// slots.
    pub fn record_refusal(&mut self, now: MonoTime, id: &TargetId) -> CapacityRefusal {
        let max_age = Duration::from_millis(FREE_REPORT_MAX_AGE_MS);
        let target = self.targets.get(id);
        let reported_free_at = target.and_then(|target| target.reported_free_at);
        if reported_free_at.is_some_and(|reported_at| now.since(reported_at) <= max_age) {
            return CapacityRefusal::Shedding;
        }
        self.mark_full(now, id)
    }

    /// Records that a target refused a request for lack of capacity.
    pub fn mark_full(&mut self, now: MonoTime, id: &TargetId) -> CapacityRefusal {
        if let Some(target) = self.targets.get_mut(id) {
            target.full_until = now + Duration::from_millis(FULL_PENALTY_MS);
        }
        CapacityRefusal::Full
    }

    /// Records that a target did not accept a connection from this node.
    pub fn mark_unreachable(&mut self, now: MonoTime, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.avoided_until = now + Duration::from_millis(UNREACHABLE_PENALTY_MS);
        }
    }

    /// Replaces a peer's counts of running requests per target; targets that are not listed have none.
    pub fn record_peer_counts(
        &mut self,
        now: MonoTime,
        peer: &VmId,
        running: &[(TargetCode, u32)],
    ) {
        let started_at = self.trial_order.record_counts(now, peer);
        let mut counted = IndexMap::new();
        for code in self.peer_busy_targets.swap_remove(peer).unwrap_or_default() {
            if let Some(target) = self.get_by_code(code) {
                let count = target.peer_counts.swap_remove(peer);
                counted.insert(code, count.map_or(0, |(count, _)| count));
            }
        }
        let mut busy = Vec::new();
        for (code, count) in running {
            if let Some(target) = self.get_by_code(*code) {
                target.last_used_at = now;
                // Requests that were counted before tell nothing of the time since.
                if *count > counted.get(code).copied().unwrap_or(0) {
                    target.record_request_at(started_at);
                }
                target.peer_counts.insert(peer.clone(), (*count, now));
                busy.push(*code);
            }
        }
        if !busy.is_empty() {
            self.peer_busy_targets.insert(peer.clone(), busy);
        }
    }

    /// Records the targets at which a local peer had successes in time.
    pub fn record_peer_successes(&mut self, now: MonoTime, successes: &[TargetCode]) {
        let baseline = self.baseline_failure_rate;
        let started_at = now - self.timings.typical();
        for code in successes {
            if let Some(target) = self.get_by_code(*code) {
                target.record_request_at(started_at);
                target.apply_signal(now, FailureSignal::Good, baseline);
            }
        }
    }

    /// Returns the number of this node's running requests at each target that has any.
    pub fn running_counts(&self) -> impl Iterator<Item = (&TargetId, u32)> {
        self.targets
            .iter()
            .filter(|(_, target)| !target.running.is_empty())
            .map(|(id, target)| (id, u32::try_from(target.running.len()).unwrap_or(u32::MAX)))
    }

    /// Returns the targets of attempts that became late since the last call.
    pub fn collect_late(&mut self, now: MonoTime) -> Vec<TargetId> {
        let mut late = Vec::new();
        for (id, target) in &mut self.targets {
            for running in &mut target.running {
                if !running.counted_late && now >= running.late_at {
                    running.counted_late = true;
                    late.push(id.clone());
                }
            }
        }
        late
    }

    /// Returns the failure rate that is assumed of the service's healthy targets.
    pub fn baseline_failure_rate(&self) -> f64 {
        self.baseline_failure_rate
    }

    /// Returns the probability that a target is failing.
    pub fn failing_probability(&self, now: MonoTime, id: &TargetId) -> Option<f64> {
        Some(self.targets.get(id)?.filter.probability(now))
    }
}

/// The balancers of all services.
pub type ServiceBalancers = IndexMap<ServiceId, TargetBalancer>;
