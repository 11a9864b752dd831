//! Runs the load tool as a separate process.

use std::error::Error;
use std::process::ExitCode;

use damaskloom_testutils::load_plan::LoadPlan;
use damaskloom_testutils::load_runner::LoadRunner;
use damaskloom_testutils::settings_file::read_settings;

const HELP: &str = "\
damaskloom-load: open-loop load of many customers, checked by a ledger

Usage: damaskloom-load --plan FILE [--json] [--duration-ms N] [--seed N]

  --plan FILE       the plan in JSON with comments (fields of LoadPlan)
  --json            prints the report as JSON
  --duration-ms N   how long to send; overrides the plan
  --seed N          the seed of arrivals; overrides the plan
  --help            prints this text

Latencies are measured from the time at which a request was due. The exit code is 0 if every
promise held, 1 if one was broken or the targets' records could not be fetched.
";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let file: String = args.value_from_str("--plan")?;
    let json = args.contains("--json");
    let mut plan: LoadPlan = read_settings(file)?;
    if let Some(duration_ms) = args.opt_value_from_str("--duration-ms")? {
        plan.duration_ms = duration_ms;
    }
    if let Some(seed) = args.opt_value_from_str("--seed")? {
        plan.seed = seed;
    }
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help").into());
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(LoadRunner::run_and_check(&plan))?;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    let code = report.verdict.map_or(0, |verdict| verdict.exit_code());
    Ok(ExitCode::from(code))
}
