//! The proxy process that runs on each entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    damaskloom_gateway::command::run_command()
}
