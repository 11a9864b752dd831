//! Reports the service-level burn of a running fleet or of saved snapshots.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use damaskloom_cli::report_html::html_page;
use damaskloom_cli::report_input::ReportInput;
use damaskloom_cli::report_model::BurnReport;

const HELP: &str = "\
Reports the service-level burn of each service and customer.

Usage: damaskloom-report [--gateway IP:PORT]... [--snapshot FILE]... [output]

  --gateway IP:PORT  reads from a gateway of a running fleet; repeat it for each gateway
  --snapshot FILE    reads a file of one saved snapshot or a list of them
  --json             prints the report as JSON instead of text
  --html FILE        also writes one HTML page with plots
  --save FILE        also saves the snapshots, for --snapshot
  --help             prints this help
  --version          prints the version

Sources that cannot be read are listed, and their counts are missing from the report. Fails if no
source can be read.
";

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("damaskloom-report {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let gateways: Vec<SocketAddr> = args.values_from_str("--gateway")?;
    let files: Vec<PathBuf> = args.values_from_str("--snapshot")?;
    let json = args.contains("--json");
    let html: Option<PathBuf> = args.opt_value_from_str("--html")?;
    let save: Option<PathBuf> = args.opt_value_from_str("--save")?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help").into());
    }

    let mut input = ReportInput::default();
    files.iter().for_each(|file| input.read(file));
    tokio::runtime::Runtime::new()?.block_on(input.fetch(&gateways));
    let report = BurnReport::from(&input);
    match json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    if let Some(path) = html {
        std::fs::write(path, html_page(&report))?;
    }
    if let Some(path) = save {
        std::fs::write(path, serde_json::to_vec(&input.snapshots)?)?;
    }
    match input.snapshots.is_empty() {
        true => Err("no source could be read".into()),
        false => Ok(()),
    }
}
