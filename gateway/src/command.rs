//! The command line of `damaskloom-gateway`.

use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::process::{GatewayProcess, StartError};
use crate::settings::{GatewaySettings, SettingsError};

const HELP: &str = "\
Runs the damaskloom gateway of one VM.

Usage: damaskloom-gateway --settings FILE [--check]

Options:
  --settings FILE  the settings, JSON with comments
  --check          check the settings and exit
  --help           print this help
  --version        print the version

Exit codes: 0 stopped as planned, 1 failed, 2 wrong command line or settings.
SIGTERM and SIGINT start a planned stop.
";

/// The reason why the process ends before it serves.
#[derive(Debug, Snafu)]
enum CommandError {
    #[snafu(display("{source}; see --help"))]
    Arguments { source: pico_args::Error },
    #[snafu(display("unknown argument {argument:?}; see --help"))]
    Unknown { argument: String },
    #[snafu(transparent)]
    Settings { source: SettingsError },
    #[snafu(display("{source}"))]
    Start { source: StartError },
    #[snafu(display("cannot install signal handlers"))]
    Signals { source: std::io::Error },
    #[snafu(display("cannot start threads"))]
    Threads { source: std::io::Error },
}

/// Runs the command line and returns the process's exit code.
pub fn run_command() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskloom-gateway: {error}");
            match error {
                CommandError::Start { .. }
                | CommandError::Signals { .. }
                | CommandError::Threads { .. } => ExitCode::from(1),
                _ => ExitCode::from(2),
            }
        }
    }
}

fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("damaskloom-gateway {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let check_only = arguments.contains("--check");
    let path: PathBuf = arguments
        .value_from_str("--settings")
        .context(ArgumentsSnafu)?;
    if let Some(argument) = arguments.finish().first() {
        return UnknownSnafu {
            argument: argument.to_string_lossy(),
        }
        .fail();
    }
    let settings = GatewaySettings::load(path)?;
    if check_only {
        println!("settings are valid");
        return Ok(());
    }
    init_logging();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context(ThreadsSnafu)?
        .block_on(serve_until_signal(settings))
}

async fn serve_until_signal(settings: GatewaySettings) -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let gateway = GatewayProcess::start(settings).await.context(StartSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    gateway.stop().await;
    Ok(())
}

fn init_logging() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
