//! The demo: runs a small fleet under load and causes one failure after the other.

use std::time::Duration;

use damaskloom_lib::config::PolicyMode;
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::target_picker::TargetStanding;
use damaskloom_testutils::load_report::LoadReport;
use damaskloom_testutils::load_runner::{LoadRunner, plan_terms};
use damaskloom_testutils::target_mode::TargetMode;
use snafu::{ResultExt, Snafu};
use tokio::time::Instant;

use crate::deployment::{Deployment, DeploymentError, KHOVSGOL};
use crate::local_fleet::{FleetError, LocalFleet};

/// The number of gateways.
const GATEWAYS: u32 = 3;
/// The factor by which the deployment is scaled down.
const SCALE_DIVISOR: u32 = 4;
/// The offered load as a fraction of each customer's rate.
const LOAD_FRACTION: f64 = 0.6;
const LOAD_MS: u64 = 14_000;
const STEADY_PHASE_MS: u64 = 2_000;
const EJECTION_TIMEOUT_MS: u64 = 4_000;
const AFTER_WITHDRAWAL_MS: u64 = 2_000;
const POLL_INTERVAL_MS: u64 = 20;
const MICROS_PER_MILLI: u64 = 1_000;

/// The error of a demo that cannot run to its end.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The built-in deployment is invalid.
    #[snafu(transparent)]
    Deployment {
        /// The error of the deployment.
        source: DeploymentError,
    },
    /// The fleet could not be started or changed.
    #[snafu(transparent)]
    Fleet {
        /// The cause.
        source: FleetError,
    },
    /// The load tool ended early.
    #[snafu(display("the load tool ended early"))]
    Load {
        /// The panic or cancellation of its task.
        source: tokio::task::JoinError,
    },
}

/// Runs the demo and returns the load tool's report, with the verdict of the ledger's check.
///
/// # Errors
///
/// Fails if a part of the fleet cannot start; broken promises are listed in the report instead.
pub async fn run_demo() -> Result<LoadReport, DemoError> {
    let deployment = Deployment::parse(KHOVSGOL)?.scaled(GATEWAYS, SCALE_DIVISOR);
    let mut fleet = LocalFleet::start(deployment, PolicyMode::Adaptive).await?;
    print_event(&format!(
        "{} gateways in front of {} targets serve {} customers on loopback",
        fleet.gateways().len(),
        fleet.targets.len(),
        fleet.deployment.customers.len()
    ));
    let plan = fleet
        .deployment
        .load(fleet.bootstrap(), LOAD_FRACTION, LOAD_MS);
    let load = tokio::spawn({
        let plan = plan.clone();
        async move { LoadRunner::run(&plan).await }
    });
    tokio::time::sleep(Duration::from_millis(STEADY_PHASE_MS)).await;
    print_event("steady state: every customer is served");
    demonstrate_gray_failure(&fleet).await;
    let withdrawn_micros = demonstrate_key_withdrawal(&mut fleet).await?;
    let vm = fleet.stop_gateway().await?;
    print_event(&format!(
        "{vm} was stopped as planned, after its last request in flight"
    ));

    let mut report = load.await.context(LoadSnafu)?;
    let mut terms = plan_terms(&plan);
    if let Some(terms) = terms.get_mut(WITHDRAWN_CUSTOMER) {
        terms.withdrawn_micros = Some(withdrawn_micros);
    }
    report.check_with_terms(&plan, terms, fleet.executions());
    Ok(report)
}

const WITHDRAWN_CUSTOMER: &str = "school-run";

/// Makes one target fail nine of ten requests, as a gray failure, and waits until it is ejected.
async fn demonstrate_gray_failure(fleet: &LocalFleet) {
    let target = &fleet.targets[0];
    target.set_mode(TargetMode::ErrorShare(0.9));
    print_event(&format!(
        "{} now fails nine of ten requests but passes its probes",
        target.name()
    ));
    let begin = Instant::now();
    let mut detected = false;
    while begin.elapsed() < Duration::from_millis(EJECTION_TIMEOUT_MS) {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        if is_ejected(fleet, target.name()) {
            print_event(&format!(
                "{} was ejected after {:?}",
                target.name(),
                begin.elapsed()
            ));
            detected = true;
            break;
        }
    }
    if !detected {
        print_event("the gray target was not ejected in time");
    }
    target.set_mode(TargetMode::Healthy);
}

fn is_ejected(fleet: &LocalFleet, target: &str) -> bool {
    let service = &fleet.deployment.services[0].id;
    fleet.gateways().iter().any(|gateway| {
        let standing = target
            .parse()
            .map(|id| gateway.state.health.standing(service, &id));
        standing == Ok(TargetStanding::Ejected)
    })
}

/// Withdraws a customer's key and waits until that is in force; returns the time of the withdrawal
/// in microseconds since 1970.
async fn demonstrate_key_withdrawal(fleet: &mut LocalFleet) -> Result<u64, DemoError> {
    let customer: CustomerId = WITHDRAWN_CUSTOMER
        .parse()
        .expect("the built-in customer has a valid name");
    let begin = Instant::now();
    let revision = fleet.withdraw_key(&customer).await?;
    let withdrawn_at = damaskloom_testutils::ledger_clock::unix_micros();
    print_event(&format!(
        "the key of {customer} was withdrawn while its devices are connected"
    ));
    fleet.wait_for_revision(revision).await?;
    print_event(&format!(
        "revision {revision} is in force on every gateway after {:?}",
        begin.elapsed()
    ));
    tokio::time::sleep(Duration::from_millis(AFTER_WITHDRAWAL_MS)).await;
    Ok(withdrawn_at)
}

fn print_event(line: &str) {
    let now = damaskloom_testutils::ledger_clock::unix_micros() / MICROS_PER_MILLI;
    println!("{:>6}.{:03}  {line}", now / 1_000 % 1_000_000, now % 1_000);
}
