//! Measures a whole deployment under load, with the adaptive policy or the baseline.

use std::collections::BTreeMap;
use std::time::Duration;

use damaskloom_lib::config::PolicyMode;
use damaskloom_lib::ids::ServiceId;
use damaskloom_lib::target_picker::TargetStanding;
use damaskloom_testutils::load_plan::RateSurge;
use damaskloom_testutils::load_report::LoadReport;
use damaskloom_testutils::load_runner::LoadRunner;
use damaskloom_testutils::target_mode::TargetMode;
use serde::Serialize;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::local_fleet::{FleetError, LocalFleet};

/// The offered load as a fraction of the first service's capacity.
const LOAD_FRACTION: f64 = 0.6;
const STEADY_PHASE_MS: u64 = 8_000;
const FAULTS_MS: u64 = 14_000;
const FAULTS_START_MS: u64 = 3_000;
const SURGE_FACTOR: f64 = 8.0;
const POLL_INTERVAL_MS: u64 = 10;
/// One target of this many gets a gray failure: frequent errors, slowness or hanging requests.
const GRAY_DIVISOR: usize = 10;

/// The load tool's results for one phase.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PhaseResult {
    /// The number of requests that were sent.
    pub requests: u64,
    /// The customer with the smallest share of successful answers among those within their rate.
    pub worst_customer: String,
    /// That customer's share of successful answers, from 0 to 1.
    pub worst_good_share: f64,
    /// That customer's 99th percentile of the latency, in milliseconds.
    pub worst_p99_ms: f64,
    /// The number of rate refusals of requests within the rate, for the same customers.
    pub wrong_refusals: u64,
    /// The number of requests of the same customers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// The first breaches that the ledger's check found.
    pub breaches: Vec<String>,
}

/// The result of one deployment under one policy.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetResult {
    /// The deployment's name.
    pub deployment: String,
    /// The number of gateways.
    pub gateways: usize,
    /// The policy.
    pub policy: PolicyMode,
    /// The phase without faults.
    #[serde(rename = "calm")]
    pub steady: PhaseResult,
    /// The phase with gray failures of a tenth of the first service's targets, and one customer at
    /// eight times its rate.
    pub faults: PhaseResult,
    /// The time from each fault until every gateway has ejected the target, in milliseconds; none
    /// if that did not happen before the end.
    pub detection_ms: Vec<Option<u64>>,
    /// The number of healthy targets that any gateway ejected.
    pub wrongly_ejected: usize,
}

/// Runs a deployment without faults and then with faults.
///
/// # Errors
///
/// Fails if a part of the fleet cannot start.
pub async fn measure_fleet(
    deployment: Deployment,
    policy: PolicyMode,
) -> Result<FleetResult, FleetError> {
    let fleet = LocalFleet::start(deployment, policy).await?;
    let fraction = LOAD_FRACTION * capacity_fraction(&fleet.deployment);
    let plan = fleet
        .deployment
        .load(fleet.bootstrap(), fraction, STEADY_PHASE_MS);
    let mut report = LoadRunner::run(&plan).await;
    report.check(&plan, fleet.executions());
    let steady = phase(&report, None);

    let mut plan = fleet
        .deployment
        .load(fleet.bootstrap(), fraction, FAULTS_MS);
    let surging = plan.customers[0].id.clone();
    // The surge is a multiple of the customer's rate limit, not of its offered load.
    let factor = SURGE_FACTOR / fraction.min(1.0);
    plan.customers[0].surges = vec![RateSurge {
        from_ms: FAULTS_START_MS,
        to_ms: FAULTS_MS,
        factor,
    }];
    let load = {
        let plan = plan.clone();
        tokio::spawn(async move { LoadRunner::run(&plan).await })
    };
    tokio::time::sleep(Duration::from_millis(FAULTS_START_MS)).await;
    let (detection_ms, wrongly_ejected) = watch_faults(&fleet).await;
    let mut report = load.await.expect("the load tool does not panic");
    report.check(&plan, fleet.executions());
    Ok(FleetResult {
        deployment: fleet.deployment.name.clone(),
        gateways: fleet.gateways().len(),
        policy,
        steady,
        faults: phase(&report, Some(&surging)),
        detection_ms,
        wrongly_ejected,
    })
}

/// Returns the fraction of all customers' rates that the first service has capacity for.
fn capacity_fraction(deployment: &Deployment) -> f64 {
    let service = &deployment.services[0];
    let capacity = f64::from(service.targets * service.slots) * 1_000.0 / service.service_time_ms;
    let total: f64 = deployment
        .customers
        .iter()
        .map(|customer| customer.rate.millis_per_second() as f64 / 1_000.0)
        .sum();
    (capacity / total).min(1.0 / LOAD_FRACTION)
}

fn phase(report: &LoadReport, surging: Option<&str>) -> PhaseResult {
    let within = report
        .customers
        .iter()
        .filter(|(id, _)| Some(id.as_str()) != surging);
    let worst = within.min_by(|(_, a), (_, b)| a.success_ratio().total_cmp(&b.success_ratio()));
    let verdict = report.verdict.clone().unwrap_or_default();
    PhaseResult {
        requests: report.total.requests,
        worst_customer: worst.map(|(id, _)| id.clone()).unwrap_or_default(),
        worst_good_share: worst.map_or(0.0, |(_, customer)| customer.success_ratio()),
        worst_p99_ms: worst.map_or(0.0, |(_, customer)| {
            customer.latency.p99_micros as f64 / 1_000.0
        }),
        wrong_refusals: verdict
            .wrong_refusals
            .iter()
            .filter(|(id, _)| Some(id.as_str()) != surging)
            .map(|(_, count)| count)
            .sum(),
        outcomes: outcomes(report, surging),
        breaches: verdict
            .breaches
            .iter()
            .map(|breach| breach.to_string())
            .take(5)
            .collect(),
    }
}

fn outcomes(report: &LoadReport, surging: Option<&str>) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (id, customer) in &report.customers {
        if Some(id.as_str()) != surging {
            for (outcome, count) in &customer.outcomes {
                *sums.entry(outcome.clone()).or_default() += count;
            }
        }
    }
    sums
}

/// Gives a tenth of the first service's targets gray failures and records the ejections until the
/// end of the load.
///
/// Returns the detection time of each such target, and the number of healthy targets that were
/// ejected.
async fn watch_faults(fleet: &LocalFleet) -> (Vec<Option<u64>>, usize) {
    let service = fleet.deployment.services[0].id.clone();
    let count = fleet.deployment.services[0].targets as usize;
    let gray = count.div_ceil(GRAY_DIVISOR);
    let modes = [
        TargetMode::ErrorShare(0.5),
        TargetMode::Slow(10.0),
        TargetMode::Hang,
    ];
    for (target, mode) in fleet.targets[..gray].iter().zip(modes.iter().cycle()) {
        target.set_mode(mode.clone());
    }
    let begin = Instant::now();
    let mut detected: Vec<Option<u64>> = vec![None; gray];
    let mut wrongly_ejected = vec![false; count];
    while begin.elapsed() < Duration::from_millis(FAULTS_MS - FAULTS_START_MS) {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        for index in 0..count {
            let name = fleet.targets[index].name();
            let ejecting = ejecting_gateways(fleet, &service, name);
            if index >= gray {
                wrongly_ejected[index] |= ejecting > 0;
            } else if detected[index].is_none() && ejecting == fleet.gateways().len() {
                detected[index] = u64::try_from(begin.elapsed().as_millis()).ok();
            }
        }
    }
    fleet.targets[..gray]
        .iter()
        .for_each(|target| target.set_mode(TargetMode::Healthy));
    (
        detected,
        wrongly_ejected
            .into_iter()
            .filter(|ejected| *ejected)
            .count(),
    )
}

fn ejecting_gateways(fleet: &LocalFleet, service: &ServiceId, target: &str) -> usize {
    let Ok(id) = target.parse() else { return 0 };
    let standings = fleet
        .gateways()
        .iter()
        .map(|gateway| gateway.state.health.standing(service, &id));
    standings
        .filter(|standing| *standing == TargetStanding::Ejected)
        .count()
}
