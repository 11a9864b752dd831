//! The command line of `damaskloom-entry`.

use std::path::PathBuf;
use std::process::ExitCode;

use damaskloom_gateway::settings::SettingsError;
use pico_args::Arguments;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::task::LocalSet;

use crate::log_lines::LogLines;
use crate::process::{StartError, run};
use crate::settings::EntrySettings;

/// The environment variable with the path of the settings file, if no option gives one.
const SETTINGS_VARIABLE: &str = "DAMASKLOOM_SETTINGS";

const HELP: &str = "\
Runs the damaskloom entry process of one VM, for fleets whose targets, routing and members are kept
in the platform's store.

Usage: damaskloom-entry [--settings FILE] [--check]

Options:
  --settings FILE  the settings, JSON with comments; without it, the file that the variable
                   DAMASKLOOM_SETTINGS names
  --check          check the settings and exit
  --help           print this help
  --version        print the version

Exit codes: 0 stopped as planned, 1 failed, 2 wrong command line or settings.
SIGTERM and SIGINT start a planned stop, SIGHUP reads the settings again.
";

/// The errors of the command line.
#[derive(Debug, Snafu)]
enum CommandError {
    #[snafu(display("{source}; see --help"))]
    Arguments { source: pico_args::Error },
    #[snafu(display("unknown argument {argument:?}; see --help"))]
    Unknown { argument: String },
    #[snafu(display("neither --settings nor {SETTINGS_VARIABLE} names a file; see --help"))]
    NoSettings,
    #[snafu(transparent)]
    Settings { source: SettingsError },
    #[snafu(display("{source}"))]
    Start { source: StartError },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
}

/// Runs the command line and returns the process's exit code.
pub fn run_command() -> ExitCode {
    match run_arguments(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskloom-entry: {error}");
            match error {
                CommandError::Start { .. } | CommandError::Runtime { .. } => ExitCode::from(1),
                _ => ExitCode::from(2),
            }
        }
    }
}

fn run_arguments(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("damaskloom-entry {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let check_only = arguments.contains("--check");
    let option: Option<PathBuf> = arguments
        .opt_value_from_str("--settings")
        .context(ArgumentsSnafu)?;
    if let Some(argument) = arguments.finish().first() {
        return UnknownSnafu {
            argument: argument.to_string_lossy(),
        }
        .fail();
    }
    let path = option.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let path = path.context(NoSettingsSnafu)?;
    let settings = EntrySettings::load(&path)?;
    if check_only {
        println!("settings are valid");
        return Ok(());
    }
    let lines = LogLines::start();
    // A single thread, since the VMs have one core.
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?
        .block_on(LocalSet::new().run_until(async {
            tokio::select! {
                ended = run(path, settings) => ended,
                () = lines.report_suppressed() => unreachable!("the report of suppressed lines never ends"),
            }
        }))
        .context(StartSnafu)
}
