//! The settings of the target stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::target_mode::TargetMode;

/// The distribution that service times are drawn from, in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceTime {
    /// Always the same time.
    Fixed(f64),
    /// Uniformly distributed between two times.
    Uniform(f64, f64),
    /// Exponentially distributed with this mean.
    Exponential(f64),
    /// Log-normally distributed.
    LogNormal {
        /// The median, in milliseconds.
        median_ms: f64,
        /// The standard deviation of the natural logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws one service time.
    pub fn draw(&self, rng: &mut SmallRng) -> Duration {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        let millis = match self {
            Self::Fixed(time) => *time,
            Self::Uniform(low, high) => low + (high - low) * unit,
            Self::Exponential(mean) => -mean * unit.ln(),
            Self::LogNormal { median_ms, sigma } => {
                let angle = std::f64::consts::TAU * rng.random::<f64>();
                let normal = (-2.0 * unit.ln()).sqrt() * angle.cos();
                median_ms * (sigma * normal).exp()
            }
        };
        Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
    }
}

/// The settings of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct TargetSettings {
    /// The name in answers and ledger entries.
    pub name: String,
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The number of requests that run at the same time.
    pub slots: u32,
    /// The number of requests that may wait for a slot; further ones are shed.
    pub queue: u32,
    /// The distribution of service times.
    pub service_time: ServiceTime,
    /// The time that a probe takes, in milliseconds.
    pub probe_ms: u64,
    /// The time after a start in which the target is cold, in milliseconds.
    pub cold_start_ms: u64,
    /// The factor on service times while the target is cold.
    pub cold_factor: f64,
    /// The time from a crash until the target listens again, in milliseconds.
    pub restart_ms: u64,
    /// The size of an answer's body, in bytes.
    pub answer_bytes: usize,
    /// Whether executions are recorded for the ledger.
    pub record: bool,
    /// The mode at the start.
    pub mode: TargetMode,
    /// The seed of service times and errors.
    pub seed: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 2,
            queue: 4,
            service_time: ServiceTime::Fixed(5.0),
            probe_ms: 25,
            cold_start_ms: 0,
            cold_factor: 1.0,
            restart_ms: 500,
            answer_bytes: 200,
            record: true,
            mode: TargetMode::Healthy,
            seed: 1,
        }
    }
}
