//! Where the instruments of a process are read from, in Prometheus' text form.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Says why the metrics could not be set up or read.
#[derive(Debug, Snafu)]
pub enum MeterError {
    /// The exporter could not be made.
    #[snafu(display("the metrics exporter could not be made: {detail}"))]
    Exporter {
        /// What the library said.
        detail: String,
    },
    /// The metrics could not be written as text.
    #[snafu(display("the metrics could not be encoded"))]
    Encode {
        /// What the library said.
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

    /// Returns what makes instruments of this registry.
    pub fn meter(&self) -> Meter {
        self.provider.meter("damaskloom")
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
            .context(EncodeSnafu)?;
        Ok(text)
    }
}
