//! Runs the server of the operators' HTTP API.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use damaskloom_operator::api::OperatorApi;
use damaskloom_operator::server::OperatorServer;
use damaskloom_operator::settings::OperatorSettings;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "\
Serves the operators' HTTP API.

Usage: damaskloom-operator --settings FILE

Options:
  --settings FILE   reads the settings from FILE (JSON with comments)
  -h, --help        prints this help
  -V, --version     prints the version
";

/// The exit code for an invalid command line or invalid settings.
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
        println!("damaskloom-operator {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = arguments.value_from_str("--settings");
    let settings: Option<PathBuf> = settings.ok().filter(|_| arguments.finish().is_empty());
    let Some(path) = settings else {
        eprint!("{USAGE}");
        return ExitCode::from(EXIT_USAGE);
    };
    run(&path)
}

fn run(path: &Path) -> ExitCode {
    let settings = match OperatorSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("damaskloom-operator: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let served = tokio::runtime::Runtime::new().map(|runtime| runtime.block_on(serve(settings)));
    match served {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => fail(error.as_ref()),
        Err(error) => fail(&error),
    }
}

async fn serve(settings: OperatorSettings) -> Result<(), Box<dyn std::error::Error>> {
    let server = OperatorServer::bind(OperatorApi::new(settings)).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    tracing::info!(address = %server.address(), "operator API started");
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    };
    server.serve(stop).await;
    tracing::info!("operator API stopped");
    Ok(())
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("damaskloom-operator: {error}");
    ExitCode::FAILURE
}
