//! Measures the latency that one gateway adds, by alternating direct calls and calls through it.

use std::net::SocketAddr;

use damaskloom_gateway::process::GatewayProcess;
use damaskloom_gateway::settings::GatewaySettings;
use damaskloom_lib::config::PolicyMode;
use damaskloom_testutils::load_plan::LoadPlan;
use damaskloom_testutils::load_report::LoadReport;
use damaskloom_testutils::load_runner::LoadRunner;
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_settings::ServiceTime;
use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::deployment::{Deployment, KHOVSGOL};
use crate::local_fleet::{FleetError, GatewaySnafu, SettingsSnafu, TargetSnafu};

/// The offered load as a fraction of the targets' capacity.
const LOAD_FRACTION: f64 = 0.6;
const ROUND_MS: u64 = 4_000;
const ROUNDS: u32 = 3;
const SERVICE_TIME_MS: f64 = 25.0;
const AMPLE_SLOTS: u32 = 64;

/// The latencies of direct calls or of calls through the gateway, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LatencyPair {
    /// The median.
    pub p50_micros: u64,
    /// The 99th percentile.
    pub p99_micros: u64,
}

/// The result of a latency benchmark.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LatencyResult {
    /// The offered load, in requests per second.
    pub rate: f64,
    /// The medians over the rounds of direct calls.
    pub direct: LatencyPair,
    /// The medians over the rounds through the gateway.
    pub gateway: LatencyPair,
    /// The difference of the medians, in microseconds.
    pub added_p50_micros: i64,
    /// The difference of the 99th percentiles, in microseconds.
    pub added_p99_micros: i64,
    /// The mean share of successful answers through the gateway, from 0 to 1.
    pub good_share: f64,
}

/// Measures direct calls and calls through one gateway in alternating rounds.
///
/// # Errors
///
/// Fails if a target or the gateway cannot start.
pub async fn measure_latency() -> Result<LatencyResult, FleetError> {
    let mut deployment = Deployment::parse(KHOVSGOL)?;
    deployment.gateways = 1;
    let slots = deployment.services[0].targets * deployment.services[0].slots;
    let rate = f64::from(slots) * 1_000.0 / SERVICE_TIME_MS * LOAD_FRACTION;
    for service in &mut deployment.services {
        service.service_time_ms = SERVICE_TIME_MS;
        // With few slots, the waiting time for them would hide the gateway's own time.
        service.slots = AMPLE_SLOTS;
    }
    let mut targets = Vec::new();
    for mut spec in deployment.target_specs() {
        spec.settings.service_time = ServiceTime::Fixed(SERVICE_TIME_MS);
        spec.settings.queue = u32::MAX;
        spec.settings.record = false;
        targets.push(
            TargetServer::start(spec.settings)
                .await
                .context(TargetSnafu)?,
        );
    }
    let addresses: Vec<SocketAddr> = targets.iter().map(TargetHandle::address).collect();
    let config = deployment.config(&addresses, PolicyMode::Adaptive)?;
    let settings = json!({
        "vm": "bench-vm", "data_centre": deployment.data_centres[0],
        "caller_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "config": config,
    });
    let settings =
        GatewaySettings::parse(settings.to_string(), "built-in").context(SettingsSnafu)?;
    let gateway = GatewayProcess::start(settings)
        .await
        .context(GatewaySnafu)?;
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for _ in 0..ROUNDS {
        direct.push(LoadRunner::run(&plan(&deployment, addresses.clone(), rate)).await);
        through
            .push(LoadRunner::run(&plan(&deployment, vec![gateway.caller_address()], rate)).await);
    }
    Ok(result(rate, &direct, &through))
}

/// Returns a load plan with the given total rate of requests to the first service.
fn plan(deployment: &Deployment, addresses: Vec<SocketAddr>, rate: f64) -> LoadPlan {
    let targets = deployment.services[0].targets as usize;
    let bootstrap: Vec<SocketAddr> = addresses.into_iter().take(targets).collect();
    let mut plan = deployment.load(bootstrap, 1.0, ROUND_MS);
    plan.directory = false;
    let total: f64 = plan.customers.iter().map(|customer| customer.rate).sum();
    for customer in &mut plan.customers {
        customer.rate *= rate / total;
        customer.devices = 64;
        customer.mix.truncate(1);
    }
    plan
}

fn result(rate: f64, direct: &[LoadReport], through: &[LoadReport]) -> LatencyResult {
    let (direct, gateway) = (median(direct), median(through));
    let difference = |with: u64, without: u64| with as i64 - without as i64;
    LatencyResult {
        rate,
        added_p50_micros: difference(gateway.p50_micros, direct.p50_micros),
        added_p99_micros: difference(gateway.p99_micros, direct.p99_micros),
        direct,
        gateway,
        good_share: through
            .iter()
            .map(|report| report.total.success_ratio())
            .sum::<f64>()
            / through.len() as f64,
    }
}

fn median(reports: &[LoadReport]) -> LatencyPair {
    let median_of = |of: fn(&LoadReport) -> u64| {
        let mut values: Vec<u64> = reports.iter().map(of).collect();
        values.sort_unstable();
        values.get(values.len() / 2).copied().unwrap_or_default()
    };
    LatencyPair {
        p50_micros: median_of(|report| report.total.latency.p50_micros),
        p99_micros: median_of(|report| report.total.latency.p99_micros),
    }
}
