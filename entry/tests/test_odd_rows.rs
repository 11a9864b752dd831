//! Tests that rows which another writer left among those of the targets change nothing for the others.

use std::rc::Rc;

use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use crate::fixture::{EntryNode, PEER_PORT, TargetBehaviour, TestTarget, start_store, wait_until};

/// The number of requests that callers send.
const REQUESTS: u32 = 12;

fn row_with(target: &TestTarget, field: &str, value: Value) -> String {
    let mut row: Value = serde_json::from_str(&target.row("ready")).expect("a valid row");
    row[field] = value;
    row.to_string()
}

/// Returns rows that name no target, by what is odd about them.
fn odd_rows(target: &TestTarget) -> Vec<(&'static str, String)> {
    let plain = target.row("ready");
    let with_text = |from: &str, to: &str| plain.replacen(from, to, 1);
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let mut rows = vec![
        ("empty", String::new()),
        ("not an object", "[]".to_owned()),
        ("nested", with_text("\"v1\"", &nested)),
        (
            "number out of range",
            with_text("\"sequence\":1", "\"sequence\":1e999"),
        ),
        ("negative", with_text("\"sequence\":1", "\"sequence\":-1")),
    ];
    let fields = [
        ("port out of range", "address", json!("10.1.64.5:70000")),
        ("port 0", "address", json!("10.1.64.5:0")),
        ("unspecified address", "address", json!("0.0.0.0:8080")),
        ("multicast address", "address", json!("224.0.0.5:8080")),
        (
            "broadcast address",
            "address",
            json!("255.255.255.255:8080"),
        ),
        ("all slots", "concurrency", json!(u32::MAX)),
        (
            "more slots than a number holds",
            "concurrency",
            json!(u64::MAX),
        ),
        ("warm-up without end", "warmup_left_s", json!(1e18)),
        ("start in the far future", "born", json!(u64::MAX)),
        (
            "start in the next century",
            "born",
            json!(4_102_444_800_000_u64),
        ),
        ("start as text", "born", json!("yesterday")),
    ];
    rows.extend(
        fields
            .into_iter()
            .map(|(what, field, value)| (what, row_with(target, field, value))),
    );
    rows
}

async fn serves_by(node: &EntryNode, target: &TestTarget) {
    let before = target.runs.get();
    for _ in 0..REQUESTS {
        let answer = node.send("POST", "/book/a", Some("key-1")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(target.runs.get(), before + REQUESTS);
}

/// Guards against a process that ends, or stops following the targets, by a row that it cannot use: at the
/// node that reads the store, at one that gets the rows from it, and after a start.
#[tokio::test]
async fn odd_rows_leave_the_other_targets_as_they_are() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target): (PlatformServer, Rc<TestTarget>) =
                start_store(TargetBehaviour::Succeeds).await;
            let nodes = [(); 2].map(|()| EntryNode::start(&store, PEER_PORT));
            for node in &nodes {
                node.wait_until_ready().await;
            }
            for (number, (_, row)) in odd_rows(&target).into_iter().enumerate() {
                store.put("servers", &format!("odd-{number}"), row);
            }
            store.put("servers", "not a name: \u{1f980}", "{}");
            // The last row is a sound one: a node that has it has seen all others.
            let last = TestTarget::start("i-last", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-last", last.row("ready"));
            store.remove("servers", "i-0");
            for node in &nodes {
                let before = last.runs.get();
                wait_until("the node follows the targets", async || {
                    node.send("POST", "/book/a", Some("key-1")).await;
                    last.runs.get() > before
                })
                .await;
                wait_until("the node knows that the other target is gone", async || {
                    node.metric("damaskloom_targets").await <= Some(1.0)
                })
                .await;
                assert_eq!(node.metric("damaskloom_targets").await, Some(1.0));
                serves_by(node, &last).await;
            }
            let started = EntryNode::start(&store, PEER_PORT);
            started.wait_until_ready().await;
            serves_by(&started, &last).await;
        })
        .await;
}

/// Guards against a row with the address of a sound target and a later start, which makes all nodes take
/// the sound one for gone.
#[tokio::test]
async fn row_from_the_future_does_not_take_a_targets_address() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target) = start_store(TargetBehaviour::Succeeds).await;
            let node = EntryNode::start(&store, PEER_PORT);
            node.wait_until_ready().await;
            let odd = row_with(&target, "born", json!(4_102_444_800_000_u64));
            store.put("servers", "odd", odd);
            let other = TestTarget::start("i-1", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-1", other.row("ready"));
            wait_until("the rows are known", async || {
                node.metric("damaskloom_targets").await >= Some(2.0)
            })
            .await;
            assert_eq!(node.metric("damaskloom_outdated_targets").await, Some(0.0));
        })
        .await;
}

/// Guards against rows with huge numbers of slots, whose sum every node computes at the same moment.
#[tokio::test]
async fn rows_with_huge_numbers_of_slots_do_not_end_the_process() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target) = start_store(TargetBehaviour::Succeeds).await;
            let node = EntryNode::start(&store, PEER_PORT);
            node.wait_until_ready().await;
            for number in 0..3 {
                let row = row_with(&target, "concurrency", json!(u32::MAX - 1));
                store.put("servers", &format!("odd-{number}"), row);
            }
            let other = TestTarget::start("i-1", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-1", other.row("ready"));
            wait_until("the rows are known", async || {
                node.metric("damaskloom_targets").await >= Some(2.0)
            })
            .await;
            assert_eq!(node.directory().await.len(), 1);
            for _ in 0..REQUESTS {
                let answer = node.send("POST", "/book/a", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::OK);
            }
            assert_eq!(node.metric("damaskloom_targets").await, Some(2.0));
        })
        .await;
}
