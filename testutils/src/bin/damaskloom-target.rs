//! Runs the target stand-in as a separate process.

use std::error::Error;

use damaskloom_testutils::settings_file::read_settings;
use damaskloom_testutils::target_server::TargetServer;
use damaskloom_testutils::target_settings::TargetSettings;

const HELP: &str = "\
damaskloom-target: a target stand-in that can show gray failures

Usage: damaskloom-target [--settings FILE] [--listen IP:PORT] [--name NAME]

  --settings FILE   settings in JSON with comments (fields of TargetSettings)
  --listen IP:PORT  the address to listen on; overrides the settings
  --name NAME       the target's name; overrides the settings
  --help            prints this text

While it runs: PUT /control/mode sets the mode, such as {\"error_share\": 0.3} or \"healthy\";
PUT /control/drain with true or false starts or ends draining; GET /control/executions returns the
recorded executions.
It prints its address on the first line and runs until it gets SIGINT.
";

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let file: Option<String> = args.opt_value_from_str("--settings")?;
    let mut settings: TargetSettings = match file {
        Some(file) => read_settings(file)?,
        None => TargetSettings::default(),
    };
    if let Some(listen) = args.opt_value_from_str("--listen")? {
        settings.listen = listen;
    }
    if let Some(name) = args.opt_value_from_str("--name")? {
        settings.name = name;
    }
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help").into());
    }
    tokio::runtime::Runtime::new()?.block_on(async {
        let handle = TargetServer::start(settings).await?;
        println!("listening on {}", handle.address());
        tokio::signal::ctrl_c().await?;
        handle.shutdown().await;
        Ok(())
    })
}
