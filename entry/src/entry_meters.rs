//! The metrics of an entry process, recorded through OpenTelemetry and read in the Prometheus text
//! format.

use std::cell::RefCell;
use std::time::Duration;

use damaskloom_gateway::meter_registry::{MeterError, MeterRegistry};
use damaskloom_lib::routing::PriorityRank;
use indexmap::IndexSet;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// The maximum number of routes and of targets with their own time series. All others share one, so
/// that memory is bounded.
const MAX_ROUTE_SERIES: usize = 64;
const MAX_TARGET_SERIES: usize = 256;
/// The maximum number of data centres with their own time series.
const MAX_CENTRE_SERIES: usize = 64;
/// The maximum number of ranks with their own time series.
const MAX_RANK_SERIES: usize = 16;
/// The label value for everything without its own series.
const OTHERS: &str = "others";

/// A label with a bounded number of values: the first ones to occur, and one value for all others.
#[derive(Debug)]
struct BoundedLabel {
    name: &'static str,
    limit: usize,
    seen: RefCell<IndexSet<String>>,
}

impl BoundedLabel {
    fn new(name: &'static str, limit: usize) -> Self {
        Self {
            name,
            limit,
            seen: RefCell::default(),
        }
    }

    fn label(&self, value: &str) -> KeyValue {
        let mut seen = self.seen.borrow_mut();
        if !seen.contains(value) {
            if seen.len() >= self.limit {
                return KeyValue::new(self.name, OTHERS);
            }
            seen.insert(value.to_owned());
        }
        KeyValue::new(self.name, value.to_owned())
    }
}

/// The current values of a node's gauges.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// The version of the current configuration.
    pub routing_version: u64,
    /// The time since it was applied.
    pub routing_age: Duration,
    /// The time since the node's copy of the targets was last known to be current.
    pub targets_age: Duration,
    /// For how long peers have had a routing that is missing here.
    pub routing_lag: Duration,
    /// For how long peers have had rows of targets that are missing here.
    pub targets_lag: Duration,
    /// How late the last periodic check of running attempts was.
    pub loop_delay: Duration,
    /// The era of the store that the routing is from.
    pub store_era: u16,
    /// The number of known targets.
    pub targets: usize,
    /// The number of targets that name a limit.
    pub limited_targets: usize,
    /// The number of targets that are cold.
    pub cold_targets: usize,
    /// The number of targets whose addresses other targets have by now.
    pub outdated_targets: usize,
    /// The number of targets that have said in answers that they leave.
    pub leaving_targets: usize,
    /// The number of targets that have asked this node for a rest that is not over.
    pub resting_targets: usize,
    /// The number of different requests that are refused since they crash targets.
    pub blocked_requests: usize,
    /// The number of services of which the fleet loses requests.
    pub losing_services: usize,
    /// The number of nodes with a recent heartbeat, including this one.
    pub nodes: usize,
}

/// The instruments of an entry process.
#[derive(Debug)]
pub struct EntryMeters {
    registry: MeterRegistry,
    routes: BoundedLabel,
    failed_targets: BoundedLabel,
    ranks: BoundedLabel,
    room_refusals: Counter<u64>,
    refused_repeats: Counter<u64>,
    service_waits: Gauge<f64>,
    services: BoundedLabel,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    completed_attempts: Counter<u64>,
    failed_attempts: Counter<u64>,
    retries: Counter<u64>,
    trials: Counter<u64>,
    connects: Counter<u64>,
    peer_bytes: Counter<u64>,
    latency: Histogram<f64>,
    routing_version: Gauge<u64>,
    routing_age: Gauge<f64>,
    targets_age: Gauge<f64>,
    routing_lag: Gauge<f64>,
    targets_lag: Gauge<f64>,
    loop_delay: Gauge<f64>,
    targets: Gauge<u64>,
    limited_targets: Gauge<u64>,
    cold_targets: Gauge<u64>,
    outdated_targets: Gauge<u64>,
    leaving_targets: Gauge<u64>,
    blocked_requests: Gauge<u64>,
    resting_targets: Gauge<u64>,
    evacuated_centres: BoundedLabel,
    evacuations: Gauge<u64>,
    store_era: Gauge<u64>,
    losing_services: Gauge<u64>,
    nodes: Gauge<u64>,
}

impl EntryMeters {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be created.
    pub fn new() -> Result<Self, MeterError> {
        let registry = MeterRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            registry,
            routes: BoundedLabel::new("route", MAX_ROUTE_SERIES),
            failed_targets: BoundedLabel::new("target", MAX_TARGET_SERIES),
            ranks: BoundedLabel::new("rank", MAX_RANK_SERIES),
            refused_repeats: meter.u64_counter("damaskloom_refused_repeats").build(),
            service_waits: meter.f64_gauge("damaskloom_service_wait_seconds").build(),
            services: BoundedLabel::new("service", MAX_ROUTE_SERIES),
            room_refusals: meter.u64_counter("damaskloom_room_refusals").build(),
            answers: meter.u64_counter("damaskloom_answers").build(),
            refusals: meter.u64_counter("damaskloom_refusals").build(),
            completed_attempts: meter.u64_counter("damaskloom_sendings").build(),
            failed_attempts: meter.u64_counter("damaskloom_target_failures").build(),
            retries: meter.u64_counter("damaskloom_repeats").build(),
            trials: meter.u64_counter("damaskloom_trials").build(),
            connects: meter.u64_counter("damaskloom_target_connects").build(),
            peer_bytes: meter.u64_counter("damaskloom_peer_bytes").build(),
            latency: meter.f64_histogram("damaskloom_request_seconds").build(),
            routing_version: meter.u64_gauge("damaskloom_routing_version").build(),
            routing_age: meter.f64_gauge("damaskloom_routing_age_seconds").build(),
            targets_age: meter.f64_gauge("damaskloom_targets_age_seconds").build(),
            routing_lag: meter.f64_gauge("damaskloom_routing_lag_seconds").build(),
            targets_lag: meter.f64_gauge("damaskloom_targets_lag_seconds").build(),
            loop_delay: meter.f64_gauge("damaskloom_loop_delay_seconds").build(),
            targets: meter.u64_gauge("damaskloom_targets").build(),
            limited_targets: meter.u64_gauge("damaskloom_limited_targets").build(),
            cold_targets: meter.u64_gauge("damaskloom_cold_targets").build(),
            outdated_targets: meter.u64_gauge("damaskloom_outdated_targets").build(),
            leaving_targets: meter.u64_gauge("damaskloom_leaving_targets").build(),
            blocked_requests: meter.u64_gauge("damaskloom_blocked_requests").build(),
            resting_targets: meter.u64_gauge("damaskloom_resting_targets").build(),
            evacuated_centres: BoundedLabel::new("data_centre", MAX_CENTRE_SERIES),
            evacuations: meter.u64_gauge("damaskloom_evacuated_data_centres").build(),
            store_era: meter.u64_gauge("damaskloom_store_era").build(),
            losing_services: meter.u64_gauge("damaskloom_losing_services").build(),
            nodes: meter.u64_gauge("damaskloom_nodes").build(),
        })
    }

    /// Counts a target's answer that was passed on to a caller, and records the request's duration.
    pub fn record_answer(&self, route: &str, status: u16, elapsed: Duration) {
        let route = self.routes.label(route);
        let class = KeyValue::new("class", i64::from(status / 100));
        self.answers.add(1, &[route.clone(), class]);
        self.latency.record(elapsed.as_secs_f64(), &[route]);
    }

    /// Counts a request that ended without a target's answer.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retry that the budget did not allow.
    pub fn record_refused_repeat(&self, rank: PriorityRank) {
        let rank = self.ranks.label(&rank.0.to_string());
        self.refused_repeats.add(1, &[rank]);
    }

    /// Records the estimated wait at a service.
    pub fn record_service_wait(&self, service: &str, wait: Duration) {
        let service = self.services.label(service);
        self.service_waits.record(wait.as_secs_f64(), &[service]);
    }

    /// Counts a request that was refused for lack of room, by its rank or by its deadline.
    pub fn record_room_refusal(&self, reason: &'static str, rank: PriorityRank) {
        let rank = self.ranks.label(&rank.0.to_string());
        self.room_refusals
            .add(1, &[KeyValue::new("reason", reason), rank]);
    }

    /// Counts an attempt at a target that succeeded. The metric keeps its published name
    /// `damaskloom_sendings`.
    pub fn record_completed_attempt(&self) {
        self.completed_attempts.add(1, &[]);
    }

    /// Counts a failed attempt at a target.
    pub fn record_failed_attempt(&self, target: &str, error: &'static str) {
        let target = self.failed_targets.label(target);
        let error = KeyValue::new("error", error);
        self.failed_attempts.add(1, &[target, error]);
    }

    /// Counts a retry of a request. The metric keeps its published name `damaskloom_repeats`.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a request that tries a target, to keep the floor of its service or only to learn the target's state.
    pub fn record_trial(&self, keeps_floor: bool) {
        let purpose = if keeps_floor { "floor" } else { "state" };
        self.trials.add(1, &[KeyValue::new("purpose", purpose)]);
    }

    /// Counts a connection that was opened to a target.
    pub fn record_connection(&self) {
        self.connects.add(1, &[]);
    }

    /// Counts the bytes of datagrams of one kind that were sent to other nodes, by whether those are of
    /// the own data centre (`local`) or of others (`remote`).
    pub fn record_peer_bytes(&self, kind: &'static str, path: &'static str, bytes: usize) {
        if bytes > 0 {
            let labels = [KeyValue::new("kind", kind), KeyValue::new("path", path)];
            self.peer_bytes.add(bytes as u64, &labels);
        }
    }

    /// Records the values of the gauges.
    pub fn record_gauges(&self, known: &GaugeValues) {
        self.routing_version.record(known.routing_version, &[]);
        self.routing_age
            .record(known.routing_age.as_secs_f64(), &[]);
        self.targets_age
            .record(known.targets_age.as_secs_f64(), &[]);
        self.routing_lag
            .record(known.routing_lag.as_secs_f64(), &[]);
        self.targets_lag
            .record(known.targets_lag.as_secs_f64(), &[]);
        self.loop_delay.record(known.loop_delay.as_secs_f64(), &[]);
        self.targets.record(known.targets as u64, &[]);
        self.limited_targets
            .record(known.limited_targets as u64, &[]);
        self.cold_targets.record(known.cold_targets as u64, &[]);
        self.outdated_targets
            .record(known.outdated_targets as u64, &[]);
        self.leaving_targets
            .record(known.leaving_targets as u64, &[]);
        self.resting_targets
            .record(known.resting_targets as u64, &[]);
        self.blocked_requests
            .record(known.blocked_requests as u64, &[]);
        self.store_era.record(u64::from(known.store_era), &[]);
        self.losing_services
            .record(known.losing_services as u64, &[]);
        self.nodes.record(known.nodes as u64, &[]);
    }

    /// Records the evacuated data centres with the versions of their rows. The series of one that was
    /// evacuated before falls to zero.
    pub fn record_evacuations<'a>(&self, versions: impl Iterator<Item = (&'a str, u64)>) {
        for name in self.evacuated_centres.seen.borrow().iter() {
            let label = KeyValue::new(self.evacuated_centres.name, name.clone());
            self.evacuations.record(0, &[label]);
        }
        let mut count = 0;
        for (name, version) in versions {
            count += 1;
            let label = self.evacuated_centres.label(name);
            self.evacuations.record(version, &[label]);
        }
        self.evacuations.record(count, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, MeterError> {
        self.registry.encode()
    }
}
