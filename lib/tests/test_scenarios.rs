//! Scripted scenarios of the guarantees to operators, one guarantee or fault in each script.
//!
//! docs/scenarios.md describes the language and how to review the scripts.

use std::path::Path;

use goldenscript::Runner;

use crate::scenario_claims::ClaimScene;
use crate::scenario_configuration::ConfigurationScene;
use crate::scenario_crash::CrashScene;
use crate::scenario_ejection::EjectionScene;
use crate::scenario_freshness::FreshnessScene;
use crate::scenario_limits::LimitScene;

/// Runs every script of a directory, each with a new runner.
fn run_scripts<R: Runner + Default>(part: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = directory
        .join(part)
        .read_dir()
        .expect("the part has scripts");
    let mut paths: Vec<_> = entries
        .map(|entry| entry.expect("the directory can be read").path())
        .collect();
    paths.sort();
    assert!(!paths.is_empty(), "{part} has no scripts");
    for path in paths {
        let run = goldenscript::run(&mut R::default(), &path);
        run.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
}

#[test]
fn limits() {
    run_scripts::<LimitScene>("limits");
}

#[test]
fn configuration() {
    run_scripts::<ConfigurationScene>("configuration");
}

#[test]
fn crash() {
    run_scripts::<CrashScene>("crash");
}

#[test]
fn freshness() {
    run_scripts::<FreshnessScene>("freshness");
}

#[test]
fn ejection() {
    run_scripts::<EjectionScene>("ejection");
}

#[test]
fn claims() {
    run_scripts::<ClaimScene>("claims");
}

#[test]
fn ejection_after_long_pause() {
    run_scripts::<EjectionScene>("ejection_after_long_pause");
}
