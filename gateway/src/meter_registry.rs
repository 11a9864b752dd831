//! The registry of a process's OpenTelemetry instruments, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// The reason why the metrics could not be set up or exported.
#[derive(Debug, Snafu)]
pub enum MeterError {
    /// The exporter could not be made.
    #[snafu(display("the metrics exporter could not be made: {detail}"))]
    Exporter {
        /// The error of the metrics library.
        detail: String,
    },
    /// The metrics could not be encoded as text.
    #[snafu(display("the metrics could not be encoded"))]
    Encode {
        /// The error of the metrics library.
        source: prometheus::Error,
    },
}

/// The registry of a process's instruments.
#[derive(Debug)]
pub struct MeterRegistry {
    registry: Registry,
    // Keeps the instruments connected to the registry.
    provider: SdkMeterProvider,
}

impl MeterRegistry {
    /// Makes an empty registry.
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
        Ok(Self { registry, provider })
    }

    /// Returns the meter that makes instruments in this registry.
    pub fn meter(&self) -> Meter {
        self.provider.meter("damaskloom")
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the library cannot encode them.
    pub fn encode(&self) -> Result<Vec<u8>, MeterError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .context(EncodeSnafu)?;
        Ok(text)
    }
}
