//! Benchmarks of the fleet: latency, both deployments under load, and the cost of control.

use std::error::Error;
use std::process::ExitCode;

use damaskloom_cli::bench_control::measure_control;
use damaskloom_cli::bench_fleet::measure_fleet;
use damaskloom_cli::bench_latency::measure_latency;
use damaskloom_cli::deployment::{Deployment, KHOVSGOL, MTKVARI};
use damaskloom_lib::config::PolicyMode;
use pico_args::Arguments;
use serde::Serialize;

const HELP: &str = "\
Benchmarks the fleet on loopback and prints one JSON document on each line.

Usage: damaskloom-bench latency
       damaskloom-bench fleet [--gateways N] [--deployment NAME] [--ours-only]
       damaskloom-bench control [--gateways N]

  latency   compares calls through one gateway with direct calls
  fleet     runs both deployments without and with faults, under both policies, or
            with --ours-only under the adaptive policy alone
  control   measures the cost of control of N gateway processes, and the time
            until a change is in force

Exit codes: 0 measured, 1 failed, 2 wrong arguments.
";

/// The default number of gateway processes of `control`.
const DEFAULT_PROCESSES: u32 = 48;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let gateways: Option<u32> = match arguments.opt_value_from_str("--gateways") {
        Ok(gateways) => gateways,
        Err(error) => return usage_error(&error.to_string()),
    };
    let deployment: Option<String> = match arguments.opt_value_from_str("--deployment") {
        Ok(deployment) => deployment,
        Err(error) => return usage_error(&error.to_string()),
    };
    let adaptive_only = arguments.contains("--ours-only");
    let command = arguments.subcommand().ok().flatten();
    let result = match command.as_deref() {
        Some("latency") => latency().await,
        Some("fleet") => fleet(gateways, deployment.as_deref(), adaptive_only).await,
        Some("control") => control(gateways.unwrap_or(DEFAULT_PROCESSES)).await,
        _ => return usage_error("expected latency, fleet or control"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskloom-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("damaskloom-bench: {message}; see --help");
    ExitCode::from(2)
}

async fn latency() -> Result<(), Box<dyn Error>> {
    print(&measure_latency().await?)
}

async fn fleet(
    gateways: Option<u32>,
    only: Option<&str>,
    adaptive_only: bool,
) -> Result<(), Box<dyn Error>> {
    let policies = [PolicyMode::Adaptive, PolicyMode::Baseline];
    let policies = if adaptive_only {
        &policies[..1]
    } else {
        &policies[..]
    };
    for text in [KHOVSGOL, MTKVARI] {
        for policy in policies.iter().copied() {
            let mut deployment = Deployment::parse(text)?;
            if only.is_some_and(|only| only != deployment.name) {
                continue;
            }
            deployment.gateways = gateways.unwrap_or(deployment.gateways);
            print(&measure_fleet(deployment, policy).await?)?;
        }
    }
    Ok(())
}

async fn control(gateways: u32) -> Result<(), Box<dyn Error>> {
    print(&measure_control(gateways).await?)
}

fn print(result: &impl Serialize) -> Result<(), Box<dyn Error>> {
    println!("{}", serde_json::to_string(result)?);
    Ok(())
}
