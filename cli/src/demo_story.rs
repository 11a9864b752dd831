//! The demo: a small fleet that meets one failure after the other, under load.

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

/// The gateways of the demo.
const GATEWAYS: u32 = 3;
/// The part of the deployment's size that the demo runs.
const SCALE_DIVISOR: u32 = 4;
/// The part of each customer's rate that the demo sends.
const LOAD_PART: f64 = 0.6;
const LOAD_MS: u64 = 14_000;
const CALM_MS: u64 = 2_000;
const GRAY_MS: u64 = 4_000;
const WITHDRAWN_MS: u64 = 2_000;
const POLL_MS: u64 = 20;
const MICROS_PER_MILLI: u64 = 1_000;

/// Says why the demo could not run to its end.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The built-in deployment is wrong.
    #[snafu(transparent)]
    Deployment {
        /// What is wrong with it.
        source: DeploymentError,
    },
    /// The fleet could not be started or changed.
    #[snafu(transparent)]
    Fleet {
        /// Why.
        source: FleetError,
    },
    /// The load tool ended early.
    #[snafu(display("the load tool ended early"))]
    Load {
        /// How.
        source: tokio::task::JoinError,
    },
}

/// Runs the demo and returns the load tool's report with the ledger's verdict.
///
/// # Errors
///
/// Fails if a part cannot start; broken promises are in the report.
pub async fn run_demo() -> Result<LoadReport, DemoError> {
    let deployment = Deployment::parse(KHOVSGOL)?.scaled(GATEWAYS, SCALE_DIVISOR);
    let mut fleet = LocalFleet::start(deployment, PolicyMode::Adaptive).await?;
    say(&format!(
        "{} gateways before {} targets serve {} customers on loopback",
        fleet.gateways().len(),
        fleet.targets.len(),
        fleet.deployment.customers.len()
    ));
    let plan = fleet.deployment.load(fleet.bootstrap(), LOAD_PART, LOAD_MS);
    let load = tokio::spawn({
        let plan = plan.clone();
        async move { LoadRunner::run(&plan).await }
    });
    tokio::time::sleep(Duration::from_millis(CALM_MS)).await;
    say("calm: every customer is served");
    show_gray_target(&fleet).await;
    let withdrawn_micros = show_withdrawn_key(&mut fleet).await?;
    let vm = fleet.stop_gateway().await?;
    say(&format!(
        "{vm} was stopped as planned, after its last answer in flight"
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

/// Lets one target answer half of its requests with errors and waits until it is ejected.
async fn show_gray_target(fleet: &LocalFleet) {
    let target = &fleet.targets[0];
    target.set_mode(TargetMode::ErrorShare(0.9));
    say(&format!(
        "{} now fails nine of ten requests, and passes its probes",
        target.name()
    ));
    let begin = Instant::now();
    let mut detected = false;
    while begin.elapsed() < Duration::from_millis(GRAY_MS) {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        if is_ejected(fleet, target.name()) {
            say(&format!(
                "{} was ejected after {:?}",
                target.name(),
                begin.elapsed()
            ));
            detected = true;
            break;
        }
    }
    if !detected {
        say("the gray target was not ejected in time");
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

async fn show_withdrawn_key(fleet: &mut LocalFleet) -> Result<u64, DemoError> {
    let customer: CustomerId = WITHDRAWN_CUSTOMER
        .parse()
        .expect("the built-in customer has a valid name");
    let begin = Instant::now();
    let revision = fleet.withdraw_key(&customer).await?;
    let withdrawn = damaskloom_testutils::ledger_clock::unix_micros();
    say(&format!(
        "the key of {customer} was withdrawn while its devices are connected"
    ));
    fleet.wait_for_revision(revision).await?;
    say(&format!(
        "revision {revision} is in force on every gateway after {:?}",
        begin.elapsed()
    ));
    tokio::time::sleep(Duration::from_millis(WITHDRAWN_MS)).await;
    Ok(withdrawn)
}

fn say(line: &str) {
    let now = damaskloom_testutils::ledger_clock::unix_micros() / MICROS_PER_MILLI;
    println!("{:>6}.{:03}  {line}", now / 1_000 % 1_000_000, now % 1_000);
}
