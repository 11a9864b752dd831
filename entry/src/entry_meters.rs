//! The metrics of an entry process, through OpenTelemetry, read in Prometheus' text form.

use std::time::Duration;

use damaskloom_gateway::meters::MeterError;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The instruments of an entry process.
#[derive(Debug)]
pub struct EntryMeters {
    registry: Registry,
    // Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    sendings: Counter<u64>,
    repeats: Counter<u64>,
    connects: Counter<u64>,
    latency: Histogram<f64>,
    routing_version: Gauge<u64>,
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
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| MeterError::Exporter {
                detail: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("damaskloom");
        Ok(Self {
            registry,
            answers: meter.u64_counter("damaskloom_answers").build(),
            refusals: meter.u64_counter("damaskloom_refusals").build(),
            sendings: meter.u64_counter("damaskloom_sendings").build(),
            repeats: meter.u64_counter("damaskloom_repeats").build(),
            connects: meter.u64_counter("damaskloom_target_connects").build(),
            latency: meter.f64_histogram("damaskloom_request_seconds").build(),
            routing_version: meter.u64_gauge("damaskloom_routing_version").build(),
            targets: meter.u64_gauge("damaskloom_targets").build(),
            nodes: meter.u64_gauge("damaskloom_nodes").build(),
            _provider: provider,
        })
    }

    /// Counts a target's answer that went to a caller.
    pub fn answered(&self, status: u16, taken: Duration) {
        let class = KeyValue::new("class", i64::from(status / 100));
        self.answers.add(1, &[class]);
        self.latency.record(taken.as_secs_f64(), &[]);
    }

    /// Counts a request that ended without a target's answer.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a sending to a target.
    pub fn sent(&self, result: &'static str) {
        self.sendings.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a sending after the first of a request.
    pub fn repeated(&self) {
        self.repeats.add(1, &[]);
    }

    /// Counts a connection that was opened to a target.
    pub fn connected(&self) {
        self.connects.add(1, &[]);
    }

    /// Takes in what the node knows at the moment.
    pub fn note_known(&self, routing_version: u64, targets: usize, nodes: usize) {
        self.routing_version.record(routing_version, &[]);
        self.targets.record(targets as u64, &[]);
        self.nodes.record(nodes as u64, &[]);
    }

    /// Writes all metrics in Prometheus' text form.
    ///
    /// # Errors
    ///
    /// Fails if the library cannot encode them.
    pub fn encode(&self) -> Result<Vec<u8>, MeterError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|source| MeterError::Encode { source })?;
        Ok(text)
    }
}
