//! Runs real entry processes under random faults and checks the promises to callers and targets.

use std::path::PathBuf;
use std::process::ExitCode;

use damaskloom_testutils::soak_fleet::SoakPrograms;
use damaskloom_testutils::soak_plan::{FaultScope, SoakSize};
use damaskloom_testutils::soak_report::SoakError;
use damaskloom_testutils::soak_run::run_soak;

const HELP: &str = "\
Runs entry processes on loopback under random faults and checks the promises to callers and targets.

Usage: damaskloom-soak [--program FILE] [--previous FILE] [--seeds FIRST..END] [--seconds N] [--nodes N]
                       [--targets N] [--callers N] [--faults SET] [--logs FOLDER]

Options:
  --program FILE      the entry program; default: damaskloom-entry beside this one
  --previous FILE     an earlier build of it, which every other process runs until it is started again;
                      default: none
  --seeds FIRST..END  the seeds to run, one after the other; default: 1..2
  --seconds N         the time in which faults start; default: 10
  --nodes N           the number of entry processes; default: 6
  --targets N         the number of targets; default: 9
  --callers N         the number of callers that send at the same time; default: 24
  --faults SET        all, or processes-run: none that ends or pauses a process, so that what callers get
                      during cuts from the targets is checked; default: all
  --logs FOLDER       the folder for logs of seeds that broke a promise; default: target/soak
  --help              print this help
  --version           print the version

Exit codes: 0 all promises held, 1 a promise was broken, 2 the command line is invalid or
            the soak could not run.
";

struct SoakArguments {
    programs: SoakPrograms,
    seeds: std::ops::Range<u64>,
    size: SoakSize,
    logs: PathBuf,
}

fn parse() -> Result<Option<SoakArguments>, String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(None);
    }
    if arguments.contains("--version") {
        println!("damaskloom-soak {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let scope: Option<String> = arguments
        .opt_value_from_str("--faults")
        .map_err(|error| error.to_string())?;
    let scope = match scope.as_deref() {
        None | Some("all") => FaultScope::All,
        Some("processes-run") => FaultScope::ProcessesRun,
        Some(other) => {
            return Err(format!(
                "--faults takes all or processes-run, not {other:?}"
            ));
        }
    };
    let wrong = |error: pico_args::Error| error.to_string();
    let mut number = |name: &'static str, default: u64| {
        let given = arguments.opt_value_from_str(name).map_err(wrong)?;
        Ok::<u64, String>(given.unwrap_or(default))
    };
    let size = SoakSize {
        nodes: number("--nodes", 6)? as usize,
        targets: number("--targets", 9)? as usize,
        callers: number("--callers", 24)? as usize,
        length_ms: number("--seconds", 10)? * 1_000,
        scope,
    };
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds").map_err(wrong)?;
    let seeds = seeds.unwrap_or_else(|| "1..2".to_owned());
    let range = seeds.split_once("..");
    let range = range.and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = arguments.opt_value_from_str("--program").map_err(wrong)?;
    let previous = arguments.opt_value_from_str("--previous").map_err(wrong)?;
    let logs = arguments.opt_value_from_str("--logs").map_err(wrong)?;
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument {argument:?}"));
    }
    if size.nodes == 0 || size.nodes > 250 || size.targets < 3 {
        return Err("--nodes takes 1 to 250, --targets at least 3".to_owned());
    }
    Ok(Some(SoakArguments {
        programs: SoakPrograms {
            current: program.unwrap_or_else(|| own.with_file_name("damaskloom-entry")),
            previous,
        },
        seeds: range.ok_or(format!("--seeds takes FIRST..END, not {seeds:?}"))?,
        size,
        logs: logs.unwrap_or_else(|| PathBuf::from("target/soak")),
    }))
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let arguments = match parse() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskloom-soak: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    match runtime.block_on(run(&arguments)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("damaskloom-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds and returns the number that broke a promise.
async fn run(arguments: &SoakArguments) -> Result<usize, SoakError> {
    let mut broken = 0;
    for seed in arguments.seeds.clone() {
        let folder = arguments.logs.join(format!("seed-{seed}"));
        let report = run_soak(&arguments.programs, &folder, seed, arguments.size).await?;
        let (sent, served, run) = report.counts;
        println!(
            "seed {seed}: {} faults, {sent} sent, {served} served, {run} run, {} notices, {} broken",
            report.plan.len(),
            report.said,
            report.breaches.len()
        );
        for cut in &report.cuts {
            let (served, sent) = (cut.served, cut.sent);
            let (cut_served, cut_sent) = (cut.cut_served, cut.cut_sent);
            println!(
                "  cut: {cut_served} of {cut_sent} served at cut nodes, {served} of {sent} elsewhere"
            );
        }
        if report.breaches.is_empty() {
            // Logs are kept only for seeds that broke a promise.
            let _ = std::fs::remove_dir_all(&folder);
            continue;
        }
        broken += 1;
        for fault in &report.plan {
            println!("  {fault:?}");
        }
        for breach in report.breaches.iter().take(10) {
            println!("  BROKEN: {}: {}", breach.promise, breach.seen);
        }
        println!("  logs in {}", folder.display());
    }
    Ok(broken)
}
