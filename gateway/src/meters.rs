//! The metrics of a gateway: OpenTelemetry instruments, exported in the Prometheus text format.

use std::time::Duration;

use damaskloom_lib::outcome::Refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, UpDownCounter};

use crate::meter_registry::{MeterError, MeterRegistry};

/// The metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMeters {
    registry: MeterRegistry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    duration: Histogram<f64>,
    connections: UpDownCounter<i64>,
}

impl GatewayMeters {
    /// Makes the instruments and the registry that exports them.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be made.
    pub fn new() -> Result<Self, MeterError> {
        let registry = MeterRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            registry,
            requests: meter.u64_counter("damaskloom_requests").build(),
            refusals: meter.u64_counter("damaskloom_refusals").build(),
            attempts: meter.u64_counter("damaskloom_attempts").build(),
            duration: meter.f64_histogram("damaskloom_request_seconds").build(),
            connections: meter
                .i64_up_down_counter("damaskloom_caller_connections")
                .build(),
        })
    }

    /// Counts a request that a target answered.
    pub fn answered(&self, service: &str, status: u16, duration: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("class", status_class(status)),
        ];
        self.requests.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &labels[..1]);
    }

    /// Counts a refusal.
    pub fn refused(&self, refusal: &Refusal) {
        let labels = [
            KeyValue::new("reason", refusal.reason.as_str()),
            KeyValue::new("execution", refusal.execution.as_str()),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts an attempt on a target.
    pub fn attempted(&self, service: &str, result: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("result", result),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts an opened caller connection.
    pub fn connection_opened(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a closed caller connection.
    pub fn connection_closed(&self) {
        self.connections.add(-1, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the library cannot encode them.
    pub fn encode(&self) -> Result<Vec<u8>, MeterError> {
        self.registry.encode()
    }
}

const fn status_class(status: u16) -> &'static str {
    match status {
        100..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}
