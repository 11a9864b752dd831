//! Runs a small fleet with injected failures on loopback and checks its promises.

use std::process::ExitCode;

use damaskloom_cli::demo::run_demo;
use pico_args::Arguments;

const HELP: &str = "\
Runs gateways, targets and a load in one process on loopback, and checks the promises.

Usage: damaskloom-demo

Options:
  --help     prints this help
  --version  prints the version

Exit codes: 0 every promise held, 1 a promise was broken or the demo failed, 2 wrong arguments.
";

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("damaskloom-demo {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(argument) = arguments.finish().first() {
        eprintln!("damaskloom-demo: unknown argument {argument:?}; see --help");
        return ExitCode::from(2);
    }
    match run_demo().await {
        Ok(report) => {
            println!("{report}");
            let code = report.verdict.map_or(1, |verdict| verdict.exit_code());
            ExitCode::from(code)
        }
        Err(error) => {
            eprintln!("damaskloom-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
