//! Tests that entry nodes keep within what cold targets stand.

use std::rc::Rc;
use std::time::Instant;

use damaskloom_entry::entry_state::EntryState;
use damaskloom_entry::settings::EntrySettings;
use damaskloom_entry::target_pool::SystemNetwork;
use damaskloom_lib::ids::TargetId;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::table_mirror::MirrorRow;

use http::StatusCode;
use serde_json::{Value, json};

use crate::fixture::{
    PEER_PORT, TargetBehaviour, TestTarget, configuration, node_settings, wait_until, with_node,
};

/// The rate that a cold target stands, and the further requests of any one second.
const RATE_PER_S: f64 = 4.5;
const SLACK: f64 = 4.0;
/// The number of requests that callers send.
const REQUESTS: u32 = 30;

/// Returns a configuration whose service has a warm-up.
fn with_warmup(version: u64) -> String {
    let text = configuration(version, &["key-1"]);
    let mut document: Value = serde_json::from_str(&text).expect("valid JSON");
    document["services"] = json!({
        "columns": ["name", "max_conns", "warmup_s", "warmup_per_s"],
        "rows": [["desk", 400, 1.5, RATE_PER_S]]
    });
    document.to_string()
}

/// Returns the row of a target that is still cold for a time, in seconds.
fn cold_row(target: &TestTarget, writes: u64, left_s: f64) -> String {
    let mut row: Value = serde_json::from_str(&target.row_of("ready", writes, 1)).expect("JSON");
    row["warmup_left_s"] = left_s.into();
    row.to_string()
}

/// Guards against a node that does not notice that a target has turned cold while it runs, or that serves
/// it slowly for good.
#[tokio::test]
async fn cold_target_gets_no_more_than_it_stands_until_it_is_warm() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, targets| async move {
            store.put("op", "config", with_warmup(2));
            wait_until("the configuration is applied", async || {
                node.metric("damaskloom_routing_version").await == Some(2.0)
            })
            .await;
            store.put("servers", "i-0", cold_row(&targets[0], 2, 4.0));
            wait_until("the target is cold", async || {
                node.metric("damaskloom_cold_targets").await == Some(1.0)
            })
            .await;
            let (started_at, before) = (Instant::now(), targets[0].runs.get());
            for _ in 0..REQUESTS {
                let answer = node.send("GET", "/read/a", Some("key-1")).await;
                if answer.status != StatusCode::OK {
                    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
                    assert!(answer.headers.contains_key("retry-after"));
                }
            }
            let allowed = SLACK + started_at.elapsed().as_secs_f64() * RATE_PER_S;
            let runs = targets[0].runs.get() - before;
            assert!(f64::from(runs) <= allowed, "{runs} of {REQUESTS} ran");
            assert!(runs < REQUESTS, "{runs} of {REQUESTS} ran");
            wait_until("the target is warm", async || {
                node.metric("damaskloom_cold_targets").await == Some(0.0)
            })
            .await;
            for _ in 0..REQUESTS {
                let answer = node.send("GET", "/read/a", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::OK);
            }
        },
    )
    .await;
}

/// Guards against a target that is served at full rate since its row does not say yet that it is cold after
/// a start.
#[tokio::test]
async fn target_that_starts_is_cold_before_it_says_so() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, targets| async move {
            store.put("op", "config", with_warmup(2));
            wait_until("the configuration is applied", async || {
                node.metric("damaskloom_routing_version").await == Some(2.0)
            })
            .await;
            assert_eq!(node.metric("damaskloom_cold_targets").await, Some(0.0));
            store.put("servers", "i-0", targets[0].row_of("ready", 1, 2));
            wait_until("the target is cold", async || {
                node.metric("damaskloom_cold_targets").await == Some(1.0)
            })
            .await;
        },
    )
    .await;
}

/// Guards against targets that are served at full rate when they answer again, or when the evacuation of
/// their data centre ends: no row says in time that they are cold.
#[tokio::test]
async fn targets_that_come_back_are_cold() {
    let store = "127.0.0.1:1".parse().expect("an address");
    let settings = node_settings(store, PEER_PORT).to_string();
    let settings = EntrySettings::parse(settings, "test").expect("valid settings");
    let network = Rc::new(SystemNetwork::default());
    let state = EntryState::new(settings, network).expect("metrics can be set up");
    let row = |key: &str, value: String| MirrorRow {
        key: key.to_owned(),
        value: Some(value.into()),
        version: StoreVersion::default(),
    };
    state.apply_routing_rows(&[row("config", with_warmup(1))]);
    let local = tokio::task::LocalSet::new();
    let target = local.run_until(TestTarget::start("i-0", TargetBehaviour::Succeeds));
    let target = target.await;
    state.apply_target_rows(&[row("i-0", target.row("ready"))], false);
    let id: TargetId = "i-0".parse().expect("a valid name");
    let is_cold = || {
        let now = state.clock.now();
        state.limits.borrow().warmups.is_cold(now, &id)
    };
    // The node has just read the targets' rows, which say that the target is warm.
    assert!(!is_cold() && state.take_send_permit(&id));
    state.record_refused_connect(&id);
    assert!(!is_cold());
    assert!(!state.take_send_permit(&id) && is_cold());
    let state_of = || state.limits.borrow_mut();
    let now = state.clock.now();
    state_of()
        .warmups
        .end_by_answer(now, &id, now + std::time::Duration::from_secs(1));
    assert!(!is_cold());
    state.expect_cold_targets(&"away".parse().expect("a valid name"));
    assert!(!is_cold());
    state.expect_cold_targets(&"near".parse().expect("a valid name"));
    assert!(is_cold());
}
