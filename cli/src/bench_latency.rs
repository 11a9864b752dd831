//! The latency that one gateway adds, measured beside direct calls in one run.

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

/// The part of the targets' capacity that is offered.
const LOAD_PART: f64 = 0.6;
const ROUND_MS: u64 = 4_000;
const ROUNDS: u32 = 3;
const SERVICE_MS: f64 = 25.0;
const AMPLE_SLOTS: u32 = 64;

/// The latencies of one way, in microseconds.
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
    /// The requests per second.
    pub rate: f64,
    /// The median over the rounds of direct calls.
    pub direct: LatencyPair,
    /// The median over the rounds through the gateway.
    pub gateway: LatencyPair,
    /// The difference of the medians.
    pub added_p50_micros: i64,
    /// The difference of the 99th percentiles.
    pub added_p99_micros: i64,
    /// The share of good answers through the gateway.
    pub good_share: f64,
}

/// Measures direct calls and calls through one gateway by turns.
///
/// # Errors
///
/// Fails if a part cannot start.
pub async fn measure_latency() -> Result<LatencyResult, FleetError> {
    let mut deployment = Deployment::parse(KHOVSGOL)?;
    deployment.gateways = 1;
    let slots = deployment.services[0].targets * deployment.services[0].slots;
    let rate = f64::from(slots) * 1_000.0 / SERVICE_MS * LOAD_PART;
    for service in &mut deployment.services {
        service.service_time_ms = SERVICE_MS;
        // Waiting for slots would hide the gateway's own time, on both ways.
        service.slots = AMPLE_SLOTS;
    }
    let mut targets = Vec::new();
    for mut planned in deployment.planned_targets() {
        planned.settings.service_time = ServiceTime::Fixed(SERVICE_MS);
        planned.settings.queue = u32::MAX;
        planned.settings.record = false;
        targets.push(
            TargetServer::start(planned.settings)
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

/// Makes a plan in which reads of one service are spread over all devices.
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
    let middle = |of: fn(&LoadReport) -> u64| {
        let mut values: Vec<u64> = reports.iter().map(of).collect();
        values.sort_unstable();
        values.get(values.len() / 2).copied().unwrap_or_default()
    };
    LatencyPair {
        p50_micros: middle(|report| report.total.latency.p50_micros),
        p99_micros: middle(|report| report.total.latency.p99_micros),
    }
}
