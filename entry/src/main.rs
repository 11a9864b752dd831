//! The proxy process for fleets whose members are registered in the platform's store.

use std::process::ExitCode;

fn main() -> ExitCode {
    damaskloom_entry::command::run_command()
}
