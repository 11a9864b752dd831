//! The metrics of an entry process, through OpenTelemetry, read in Prometheus' text form.

use std::cell::RefCell;
use std::time::Duration;

use damaskloom_gateway::meter_registry::{MeterError, MeterRegistry};
use indexmap::IndexSet;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// The routes, and the targets, that have series of their own; those beyond share one, so that the
/// memory stays bounded.
const MAX_ROUTE_SERIES: usize = 64;
const MAX_TARGET_SERIES: usize = 256;
/// The label of what has no series of its own.
const OTHERS: &str = "others";

/// The values of a label: the first ones that come, and one for all others.
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

/// What a node knows at the moment, for its gauges.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// The version of the configuration in force.
    pub routing_version: u64,
    /// The time for which it has been in force.
    pub routing_age: Duration,
    /// The time since the node's copy of the targets was known to be new.
    pub targets_age: Duration,
    /// The targets.
    pub targets: usize,
    /// The nodes that were heard lately, this one included.
    pub nodes: usize,
}

/// The instruments of an entry process.
#[derive(Debug)]
pub struct EntryMeters {
    registry: MeterRegistry,
    routes: BoundedLabel,
    failed_targets: BoundedLabel,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    completed_attempts: Counter<u64>,
    failed_attempts: Counter<u64>,
    retries: Counter<u64>,
    connects: Counter<u64>,
    latency: Histogram<f64>,
    routing_version: Gauge<u64>,
    routing_age: Gauge<f64>,
    targets_age: Gauge<f64>,
    targets: Gauge<u64>,
    nodes: Gauge<u64>,
}

impl EntryMeters {
    /// Makes the instruments and the registry that they are read from.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be made.
    pub fn new() -> Result<Self, MeterError> {
        let registry = MeterRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            registry,
            routes: BoundedLabel::new("route", MAX_ROUTE_SERIES),
            failed_targets: BoundedLabel::new("target", MAX_TARGET_SERIES),
            answers: meter.u64_counter("damaskloom_answers").build(),
            refusals: meter.u64_counter("damaskloom_refusals").build(),
            completed_attempts: meter.u64_counter("damaskloom_sendings").build(),
            failed_attempts: meter.u64_counter("damaskloom_target_failures").build(),
            retries: meter.u64_counter("damaskloom_repeats").build(),
            connects: meter.u64_counter("damaskloom_target_connects").build(),
            latency: meter.f64_histogram("damaskloom_request_seconds").build(),
            routing_version: meter.u64_gauge("damaskloom_routing_version").build(),
            routing_age: meter.f64_gauge("damaskloom_routing_age_seconds").build(),
            targets_age: meter.f64_gauge("damaskloom_targets_age_seconds").build(),
            targets: meter.u64_gauge("damaskloom_targets").build(),
            nodes: meter.u64_gauge("damaskloom_nodes").build(),
        })
    }

    /// Counts a target's answer that went to a caller of a route.
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

    /// Counts a sending to a target that brought a whole answer.
    pub fn record_completed_attempt(&self) {
        self.completed_attempts.add(1, &[]);
    }

    /// Counts a sending to a target that failed.
    pub fn record_failed_attempt(&self, target: &str, error: &'static str) {
        let target = self.failed_targets.label(target);
        let error = KeyValue::new("error", error);
        self.failed_attempts.add(1, &[target, error]);
    }

    /// Counts a sending after the first of a request.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a connection that was opened to a target.
    pub fn record_connection(&self) {
        self.connects.add(1, &[]);
    }

    /// Takes in what the node knows at the moment.
    pub fn record_gauges(&self, known: &GaugeValues) {
        self.routing_version.record(known.routing_version, &[]);
        self.routing_age
            .record(known.routing_age.as_secs_f64(), &[]);
        self.targets_age
            .record(known.targets_age.as_secs_f64(), &[]);
        self.targets.record(known.targets as u64, &[]);
        self.nodes.record(known.nodes as u64, &[]);
    }

    /// Writes all metrics in Prometheus' text form.
    ///
    /// # Errors
    ///
    /// Fails if the library cannot encode them.
    pub fn encode(&self) -> Result<Vec<u8>, MeterError> {
        self.registry.encode()
    }
}
