//! Tests that entry nodes keep within what cold targets stand.

use std::time::Instant;

use http::StatusCode;
use serde_json::{Value, json};

use crate::fixture::{TargetBehaviour, TestTarget, configuration, wait_until, with_node};

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
