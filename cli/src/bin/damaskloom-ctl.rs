//! The operators' command line tool.

use std::ffi::OsString;
use std::process::ExitCode;

use damaskloom_cli::ctl_args::parse_args;
use damaskloom_cli::ctl_command::{ExitStatus, USAGE};
use damaskloom_cli::ctl_run::run_command;

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let has = |flags: [&str; 2]| {
        arguments
            .iter()
            .any(|argument| flags.iter().any(|flag| argument == flag))
    };
    if has(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if has(["-V", "--version"]) {
        println!("damaskloom-ctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    ExitCode::from(run(arguments) as u8)
}

fn run(arguments: Vec<OsString>) -> ExitStatus {
    let options = match parse_args(arguments) {
        Ok(options) => options,
        Err(error) => return fail(&error, ExitStatus::Usage),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error, ExitStatus::Failed),
    };
    match runtime.block_on(run_command(&options)) {
        Ok(status) => status,
        Err(error) => fail(&error, error.exit_status()),
    }
}

fn fail(error: &dyn std::error::Error, status: ExitStatus) -> ExitStatus {
    eprintln!("damaskloom-ctl: {error}");
    status
}
