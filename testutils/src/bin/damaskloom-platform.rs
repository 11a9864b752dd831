//! Runs the platform's stand-in as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use damaskloom_testutils::platform_server::run_platform;

const USAGE: &str = "\
Runs a stand-in for the platform: table, object store and VM list in memory.

Usage: damaskloom-platform --listen ADDRESS

Options:
  --listen ADDRESS  the IP address and port to listen on
  -h, --help        prints this help
  -V, --version     prints the version

Faults: PUT a JSON document to /control/faults, for example {\"outage\":\"refuse\"}.
";

/// The exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("damaskloom-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let listen = arguments.value_from_str("--listen");
    if let (Ok(address), true) = (listen, arguments.finish().is_empty()) {
        return run(address);
    }
    eprint!("{USAGE}");
    ExitCode::from(EXIT_USAGE)
}

fn run(address: SocketAddr) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run_platform(address)) {
        Ok(never) => match never {},
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("damaskloom-platform: {error}");
    ExitCode::FAILURE
}
