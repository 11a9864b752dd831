//! Tests `damaskloom-ctl`: its arguments, text output and exit codes.

use std::ffi::OsString;

use damaskloom_cli::ctl_args::parse_args;
use damaskloom_cli::ctl_client::CallError;
use damaskloom_cli::ctl_command::{CtlCommand, ExitStatus, KeyArgument, KeysCommand};
use damaskloom_cli::ctl_output::{show_outcome, show_plan, show_status};
use damaskloom_cli::ctl_run::run_command;
use damaskloom_operator::api::OperatorApi;
use damaskloom_operator::server::OperatorServer;
use damaskloom_operator::wire::{ErrorBody, FleetStatus, PlanView};
use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use insta::assert_snapshot;
use serde_json::{Value, json};

fn words(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

fn from_json<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).unwrap()
}

#[test]
fn command_lines_with_wrong_or_extra_arguments_are_rejected() {
    let options = parse_args(words("--json keys withdraw - --confirm")).unwrap();
    assert!(options.json && options.confirm);
    let withdraw = KeysCommand::Withdraw(KeyArgument::StandardInput);
    assert_eq!(options.command, CtlCommand::Keys(withdraw));
    let wrong = [
        "",
        "plan",
        "confirm",
        "confirm a b",
        "keys withdraw not-a-digest",
        "targets undrain t1",
        "status --wtach",
        "operators add ada root",
    ];
    for line in wrong {
        assert!(parse_args(words(line)).is_err(), "{line:?} was accepted");
    }
}

#[test]
fn plan_output_shows_changes_warnings_and_the_next_step() {
    let plan: PlanView = from_json(json!({
        "id": "p1", "planned_by": "ada", "note": "drain t1", "base_revision": 4,
        "diff": [{"object": "target/t1", "kind": "changed", "fields": [
            {"field": "state", "before": "active", "after": "leaving"}]}],
        "warnings": [{"floor_unreachable": {"service": "convoy-desk", "floor": 20, "active_targets": 19}}],
    }));
    assert_snapshot!(show_plan(&plan), @r"
    plan p1 on revision 4

    CHANGE  OBJECT     FIELD  BEFORE  AFTER
    change  target/t1  state  active  leaving
    warning: service convoy-desk will have 19 targets that take work, under its floor of 20

    nothing has changed yet; run: confirm p1
    ");
    let refused = from_json(
        json!({"refused": {"stale": [{"object": "target/t1", "changed_by":
        {"plan": "p0", "operator": "ben", "revision": 5}}]}}),
    );
    assert_snapshot!(show_outcome(&refused), @"refused: target/t1 was changed by ben with plan p0 in revision 5");
}

#[test]
fn status_output_counts_updated_and_unresponsive_nodes() {
    let status: FleetStatus = from_json(json!({"head": 7, "nodes": [
        {"address": "10.0.0.1:80", "status": {"vm": "vm-1", "revision": 7, "epoch": 2}},
        {"address": "10.0.0.2:80", "status": {"vm": "vm-2", "revision": 6}},
        {"address": "10.0.0.3:80", "status": null},
    ]}));
    assert_snapshot!(show_status(&status, status.head), @r"
    ADDRESS      VM    REVISION   EPOCH
    10.0.0.1:80  vm-1  7          2
    10.0.0.2:80  vm-2  6          -
    10.0.0.3:80  -     no answer  -
    revision 7: 1 of 3 nodes, 1 without an answer
    ");
}

#[test]
fn exit_codes_distinguish_invalid_intents_from_undecided_plans() {
    let refused = |status: StatusCode, code: &str| {
        let body = ErrorBody {
            code: code.to_owned(),
            message: String::new(),
        };
        CallError::Refused { status, body }.exit_status()
    };
    let statuses = [
        refused(StatusCode::UNPROCESSABLE_ENTITY, "invalid_intent"),
        refused(StatusCode::UNPROCESSABLE_ENTITY, "unchanged"),
        refused(StatusCode::FORBIDDEN, "forbidden"),
        refused(StatusCode::SERVICE_UNAVAILABLE, "undecided"),
    ];
    let expected = [
        ExitStatus::Usage,
        ExitStatus::Done,
        ExitStatus::NotAllowed,
        ExitStatus::Pending,
    ];
    assert_eq!(statuses, expected);
}

/// Runs the commands against a listening server, from a changes file to a refused second plan.
#[tokio::test]
async fn plan_is_made_and_confirmed_and_a_stale_plan_is_refused() {
    let platform = PlatformServer::start(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let credential = "bootstrap-credential";
    let digest = damaskloom_lib::key::RawKey::new(credential).digest();
    let settings = from_json(json!({
        "listen": "127.0.0.1:0", "platform": platform.address(), "bootstrap_credential": digest,
        "platform_client": {"attempt_timeout_ms": 10_000, "call_timeout_ms": 20_000,
            "reads_per_second": 1_000, "writes_per_second": 1_000},
    }));
    let server = OperatorServer::bind(OperatorApi::new(settings))
        .await
        .unwrap();
    let address = server.address();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let serving = tokio::spawn(server.serve(async { drop(stopped.await) }));
    let files = std::env::temp_dir().join(format!("damaskloom-ctl-{}", std::process::id()));
    std::fs::create_dir_all(&files).unwrap();
    std::fs::write(files.join("credential"), credential).unwrap();
    let changes = "{ // the border post\n\"changes\": [{\"put_customer\": \
        {\"id\": \"border-post\", \"rate\": \"10/s\", \"burst\": 5}}]}";
    std::fs::write(files.join("changes.json"), changes).unwrap();
    let run = async |command: &str| {
        let credential = files.join("credential").display().to_string();
        let line = format!("--api {address} --credential-file {credential} {command}");
        let options = parse_args(words(&line)).unwrap();
        run_command(&options).await
    };
    let gateway = r#"{"vm": "vm-1", "caller_listen": "no address"}"#;
    std::fs::write(files.join("gateway.json"), gateway).unwrap();
    let check = format!("check {}", files.join("gateway.json").display());
    assert_eq!(
        run(&check).await.unwrap_err().exit_status(),
        ExitStatus::Usage
    );
    let plan = format!("plan -f {}", files.join("changes.json").display());
    assert_eq!(run(&plan).await.unwrap(), ExitStatus::Done);
    assert_eq!(
        run(&format!("{plan} --confirm")).await.unwrap(),
        ExitStatus::Done
    );
    // The first plan is stale, since the second one changed the same object.
    let client = damaskloom_cli::ctl_client::CtlClient::new(address, Some(credential.to_owned()));
    let plans: damaskloom_operator::wire::PlanList = client.get("/v1/plans").await.unwrap();
    let stale = plans
        .plans
        .iter()
        .find(|plan| plan.outcome.is_none())
        .unwrap();
    let confirm = format!("confirm {}", stale.id);
    assert_eq!(run(&confirm).await.unwrap(), ExitStatus::Refused);
    assert_eq!(
        run(&plan).await.unwrap_err().exit_status(),
        ExitStatus::Done
    );
    let watch = run("status --watch --timeout 0").await.unwrap();
    assert_eq!(watch, ExitStatus::Pending, "no node has the revision");
    stop.send(()).unwrap();
    serving.await.unwrap();
    std::fs::remove_dir_all(&files).unwrap();
}

fn routing_document(version: u64, service: &str) -> String {
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service"],
            "rows": [["r-1", "a.example", "/x/", "safe", 1.2, 0.4, 1, service]]
        },
        "services": {"columns": ["name", "max_conns"], "rows": [["desk", 390]]}
    })
    .to_string()
}

/// Guards against a check of a routing document whose exit code lets a script publish a document with errors, or one
/// that nodes ignore.
#[tokio::test]
async fn a_routing_document_is_checked_against_the_one_in_force() {
    let files = std::env::temp_dir().join(format!("damaskloom-check-{}", std::process::id()));
    std::fs::create_dir_all(&files).unwrap();
    let run = async |name: &str, text: String, options: &str| {
        let path = files.join(name);
        std::fs::write(&path, text).unwrap();
        let line = format!("check {} {options}", path.display());
        match run_command(&parse_args(words(&line)).unwrap()).await {
            Ok(status) => status,
            Err(error) => error.exit_status(),
        }
    };
    let platform = PlatformServer::start_local().await.unwrap();
    let store = format!("--store {}", platform.address());
    let sound = routing_document(8, "desk");
    assert_eq!(run("sound", sound.clone(), "").await, ExitStatus::Done);
    let unknown = routing_document(8, "dock");
    assert_eq!(run("unknown", unknown, "").await, ExitStatus::Refused);
    assert_eq!(
        run("sound", sound.clone(), &store).await,
        ExitStatus::NotAllowed
    );
    platform.put("op", "config", routing_document(7, "desk"));
    assert_eq!(run("sound", sound.clone(), &store).await, ExitStatus::Done);
    platform.put("op", "config", sound.clone());
    assert_eq!(run("sound", sound, &store).await, ExitStatus::Refused);
    let broken = "{\"version\": 9, \"routes\": 1}".to_owned();
    assert_eq!(run("broken", broken, "").await, ExitStatus::Usage);
    assert!(parse_args(words("check a --against b --store 127.0.0.1:1")).is_err());
    std::fs::remove_dir_all(&files).unwrap();
}
