//! Simulates nodes that serve one service, with a queue of timed events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use damaskloom_lib::config::{
    DetectionMode, Idempotence, PolicyMode, Service, Target, TargetState,
};
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope};
use damaskloom_lib::ids::{CustomerId, Incarnation, NodeId, RouteId, TargetId};
use damaskloom_lib::mixer::SeedSequence;
use damaskloom_lib::pending::AttemptId;
use damaskloom_lib::service_health::{HealthAction, HealthMessage, PickRequest, ServiceHealth};
use damaskloom_lib::target_picker::TargetStanding;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::verdict::SuspicionCause;

use super::fault::{FaultMode, TargetFault};
use super::stand_in_target::{MEAN_SERVICE_MS, StandInTarget};

const TICK_MS: u64 = 50;
const PEER_DELAY_MS: f64 = 1.5;
const ESCROW_DELAY_MS: u64 = 3;
const CHECK_INTERVAL_MS: u64 = 10;
const CUSTOMERS: usize = 8;
const ROUTES: usize = 3;
/// The time after a fault during which an ejection is still attributed to it.
const ATTRIBUTION_PERIOD: Duration = Duration::from_secs(5);

/// The size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub nodes: usize,
    pub targets: usize,
    pub slots: usize,
    pub floor: u32,
    pub mode: DetectionMode,
    pub policy: PolicyMode,
    pub load: f64,
    pub seed: u64,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Tick(usize),
    CheckEjection,
    Deliver(usize, usize, Box<HealthMessage>),
    Units(usize, u32),
    Finish {
        node: usize,
        target: usize,
        id: AttemptId,
        outcome: AttemptOutcome,
        started: MonoTime,
    },
}

struct TimedEvent(MonoTime, u64, Event);

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for TimedEvent {}
impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The counts of a run.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    pub requests: u64,
    pub successes: u64,
    pub failed: u64,
    pub slow_over_100ms: u64,
    pub shed: u64,
    pub no_target: u64,
    pub ejections: u64,
    pub wrong_ejections: u64,
    pub wrong_causes: Vec<(MonoTime, usize, SuspicionCause)>,
    pub evidence_bytes: u64,
    pub messages: u64,
    pub per_target: Vec<u64>,
    pub max_ejected: usize,
}

pub struct Fleet {
    options: FleetOptions,
    pub now: MonoTime,
    queue: BinaryHeap<Reverse<TimedEvent>>,
    next_event: u64,
    random: SeedSequence,
    pub nodes: Vec<ServiceHealth>,
    node_ids: Vec<NodeId>,
    pub targets: Vec<StandInTarget>,
    pub target_ids: Vec<TargetId>,
    routes: Vec<RouteId>,
    customers: Vec<CustomerId>,
    free_units: u32,
    pub faults: Vec<TargetFault>,
    pub failing_customer: Option<usize>,
    pub measure_bytes: bool,
    pub counts: FleetCounts,
    observed_target: Option<usize>,
    ejected_everywhere_at: Option<MonoTime>,
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the identifier is valid")
}

/// Returns the number at the end of a name.
fn index_in(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().expect("names end with their index")
}

impl Fleet {
    pub fn new(options: FleetOptions) -> Self {
        let service = Service {
            id: id("convoy-desk"),
            floor: options.floor,
            detection: options.mode,
            policy: options.policy,
            objective_ppm: 999_000,
        };
        let targets: Vec<Target> = (0..options.targets)
            .map(|index| Target {
                id: id(&format!("convoy-desk-{index:02}")),
                service: service.id.clone(),
                address: "127.0.0.1:9".parse().expect("the address is valid"),
                data_centre: id(["khatgal", "khankh", "hatgal-yard", "toilogt"][index % 4]),
                slots: options.slots as u32,
                connections: 400,
                state: TargetState::Active,
            })
            .collect();
        let node_ids: Vec<NodeId> = (0..options.nodes)
            .map(|index| NodeId {
                vm: id(&format!("vm-{index:02}")),
                incarnation: Incarnation(1),
            })
            .collect();
        let target_refs: Vec<&Target> = targets.iter().collect();
        let nodes = node_ids
            .iter()
            .enumerate()
            .map(|(index, node)| {
                let data_centre = id(["khatgal", "khankh", "hatgal-yard", "toilogt"][index % 4]);
                let mut health = ServiceHealth::new(node.clone(), &service, data_centre);
                health.set_targets(MonoTime::ZERO, &target_refs);
                health.set_peers(&node_ids);
                health
            })
            .collect();
        let mut fleet = Self {
            now: MonoTime::ZERO,
            queue: BinaryHeap::new(),
            next_event: 0,
            random: SeedSequence::new(damaskloom_lib::mixer::mix(options.seed)),
            nodes,
            node_ids,
            targets: vec![StandInTarget::new(options.slots); options.targets],
            target_ids: targets.into_iter().map(|target| target.id).collect(),
            routes: (0..ROUTES)
                .map(|index| id(&format!("route-{index}")))
                .collect(),
            customers: (0..CUSTOMERS)
                .map(|index| id(&format!("customer-{index}")))
                .collect(),
            free_units: options.targets as u32 - options.floor,
            faults: Vec::new(),
            failing_customer: None,
            measure_bytes: false,
            counts: FleetCounts {
                per_target: vec![0; options.targets],
                ..FleetCounts::default()
            },
            observed_target: None,
            ejected_everywhere_at: None,
            options,
        };
        fleet.schedule(MonoTime::ZERO, Event::Arrival);
        for node in 0..fleet.options.nodes {
            let offset = fleet.random.next_below(TICK_MS as usize * 1_000) as u64;
            fleet.schedule(MonoTime::from_micros(offset), Event::Tick(node));
        }
        fleet
    }

    /// Runs until `end`, or until the observed target is ejected on all nodes, and returns that
    /// time.
    pub fn run_until(&mut self, end: MonoTime) -> Option<MonoTime> {
        while let Some(Reverse(TimedEvent(at, _, event))) = self.queue.pop() {
            if at > end {
                self.schedule(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
            if self.ejected_everywhere_at.is_some() {
                break;
            }
        }
        if self.ejected_everywhere_at.is_none() {
            self.now = end;
        }
        self.ejected_everywhere_at.take()
    }

    /// Runs until the target is ejected on all nodes, or until `end`.
    pub fn run_until_ejected(&mut self, target: usize, end: MonoTime) -> Option<MonoTime> {
        self.observed_target = Some(target);
        self.schedule(self.now, Event::CheckEjection);
        let at = self.run_until(end);
        self.observed_target = None;
        at
    }

    /// Returns whether the target is ejected on every node.
    pub fn is_ejected_everywhere(&self, target: usize) -> bool {
        self.count_standing(target, TargetStanding::Ejected) == self.nodes.len()
    }

    /// Returns the number of nodes at which the target has the standing.
    pub fn count_standing(&self, target: usize, standing: TargetStanding) -> usize {
        let id = &self.target_ids[target];
        self.nodes
            .iter()
            .filter(|node| node.standing(self.now, id) == standing)
            .count()
    }

    /// Returns the number of distinct targets that are ejected on any node.
    pub fn distinct_ejected(&self) -> usize {
        (0..self.targets.len())
            .filter(|target| self.count_standing(*target, TargetStanding::Ejected) > 0)
            .count()
    }

    fn schedule(&mut self, at: MonoTime, event: Event) {
        self.next_event += 1;
        self.queue
            .push(Reverse(TimedEvent(at, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Tick(node) => {
                let actions = self.nodes[node].tick(self.now);
                self.apply(node, actions);
                self.schedule(self.now + Duration::from_millis(TICK_MS), Event::Tick(node));
            }
            Event::CheckEjection => self.check_ejection(),
            Event::Deliver(from, to, message) => {
                let sender = self.node_ids[from].clone();
                let actions = self.nodes[to].handle(self.now, &sender, *message);
                self.apply(to, actions);
            }
            Event::Units(node, count) => self.nodes[node].add_units(count),
            Event::Finish {
                node,
                target,
                id,
                outcome,
                started,
            } => self.finish(node, target, id, outcome, started),
        }
    }

    fn check_ejection(&mut self) {
        let Some(target) = self.observed_target else {
            return;
        };
        if self.is_ejected_everywhere(target) {
            self.ejected_everywhere_at = Some(self.now);
            return;
        }
        self.schedule(
            self.now + Duration::from_millis(CHECK_INTERVAL_MS),
            Event::CheckEjection,
        );
    }

    fn arrive(&mut self) {
        let capacity = (self.targets.len() * self.options.slots) as f64 / MEAN_SERVICE_MS * 1e3;
        let gap = -(1.0 - self.random.next_unit()).ln() / (capacity * self.options.load);
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        let node = self.random.next_below(self.nodes.len());
        let route = self.random.next_below(ROUTES);
        // The minimum of two draws makes a few customers large.
        let customer = self
            .random
            .next_below(CUSTOMERS)
            .min(self.random.next_below(CUSTOMERS));
        let request = PickRequest {
            idempotence: if route < 2 {
                Idempotence::Idempotent
            } else {
                Idempotence::NonIdempotent
            },
            seed: self.random.next_u64(),
            excluded: &[],
        };
        self.counts.requests += 1;
        let Some(picked) = self.nodes[node].pick(self.now, &request) else {
            self.counts.no_target += 1;
            return;
        };
        let target = index_in(picked.target.as_str());
        self.counts.per_target[target] += 1;
        let scope = AttemptScope {
            target: picked.target,
            route: self.routes[route].clone(),
            customer: self.customers[customer].clone(),
        };
        let id = self.nodes[node].begin(self.now, scope, picked.trial);
        let fault = self.fault_of(target);
        let mut served = self.targets[target].serve(self.now, node, route, fault, &mut self.random);
        if self.failing_customer == Some(customer) {
            served.outcome = AttemptOutcome::Failed;
        }
        let event = Event::Finish {
            node,
            target,
            id,
            outcome: served.outcome,
            started: self.now,
        };
        self.schedule(served.ends, event);
    }

    fn fault_of(&self, target: usize) -> Option<FaultMode> {
        self.faults
            .iter()
            .find(|fault| fault.target == target && fault.is_active(self.now))
            .map(|fault| fault.mode)
    }

    fn finish(
        &mut self,
        node: usize,
        target: usize,
        id: AttemptId,
        outcome: AttemptOutcome,
        started: MonoTime,
    ) {
        self.targets[target].in_flight -= 1;
        match outcome {
            AttemptOutcome::Success => self.counts.successes += 1,
            AttemptOutcome::Shed => self.counts.shed += 1,
            _ => self.counts.failed += 1,
        }
        self.counts.slow_over_100ms += u64::from(self.now.since(started).as_millis() > 100);
        let target_id = self.target_ids[target].clone();
        let load = match self.fault_of(target) {
            Some(FaultMode::StuckLoad) => 0,
            _ => self.targets[target].in_flight,
        };
        if !outcome.is_unanswered() {
            self.nodes[node].set_reported_load(self.now, &target_id, load as f32);
        }
        let was_ejected =
            self.nodes[node].standing(self.now, &target_id) == TargetStanding::Ejected;
        let actions = self.nodes[node].finish(self.now, id, &target_id, outcome);
        self.apply(node, actions);
        let is_ejected = self.nodes[node].standing(self.now, &target_id) == TargetStanding::Ejected;
        if self.options.policy == PolicyMode::Baseline && is_ejected && !was_ejected {
            self.count_ejection(target, SuspicionCause::Failures);
        }
    }

    fn count_ejection(&mut self, target: usize, cause: SuspicionCause) {
        self.counts.ejections += 1;
        let is_faulty = |fault: &TargetFault| {
            fault.target == target
                && self.now >= fault.from
                && self.now < fault.until + ATTRIBUTION_PERIOD
        };
        if !self.faults.iter().any(is_faulty) {
            self.counts.wrong_ejections += 1;
            self.counts.wrong_causes.push((self.now, target, cause));
        }
        self.counts.max_ejected = self.counts.max_ejected.max(self.distinct_ejected());
    }

    fn apply(&mut self, node: usize, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                HealthAction::Send { to, message } => self.send(node, &to, message),
                HealthAction::ClaimUnits(count) => {
                    let granted = count.min(self.free_units);
                    self.free_units -= granted;
                    let at = self.now + Duration::from_millis(ESCROW_DELAY_MS);
                    self.schedule(at, Event::Units(node, granted));
                }
                HealthAction::ReleaseUnits(count) => self.free_units += count,
                HealthAction::Ejected { target, cause } => {
                    let index = index_in(target.as_str());
                    self.count_ejection(index, cause);
                }
                HealthAction::VerdictChanged { .. } | HealthAction::Lifted(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &NodeId, message: HealthMessage) {
        let to = index_in(to.vm.as_str());
        self.counts.messages += 1;
        if self.measure_bytes {
            let body = serde_json::to_vec(&message).expect("messages can be written");
            self.counts.evidence_bytes += body.len() as u64;
        }
        let delay = (PEER_DELAY_MS + self.random.next_unit()) * 1_000.0;
        let at = self.now + Duration::from_micros(delay as u64);
        self.schedule(at, Event::Deliver(from, to, Box::new(message)));
    }
}
