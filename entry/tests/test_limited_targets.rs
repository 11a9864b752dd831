//! Tests that entry nodes keep within the limits that targets name.

use std::time::Instant;

use http::StatusCode;
use tokio::task::LocalSet;

use crate::fixture::{EntryNode, PEER_PORT, TargetBehaviour, start_store, wait_until, with_node};

/// The number of requests that callers send.
const REQUESTS: u32 = 20;
/// A target is asked ten times a minute whatever its limit.
const ASKED_PER_S: f64 = 0.1;

/// Guards against a node that does not notice that a target names a limit.
#[tokio::test]
async fn target_that_names_a_limit_gets_no_more_than_that() {
    with_node(
        &[TargetBehaviour::Limited],
        |_store, node, targets| async move {
            let started_at = Instant::now();
            for _ in 0..REQUESTS {
                let answer = node.send("GET", "/read/a", Some("key-1")).await;
                if answer.status != StatusCode::OK {
                    // The node knows that the request cannot be served, and says when to come back.
                    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
                    assert!(answer.headers.contains_key("retry-after"));
                }
            }
            let allowed = 2.0 + started_at.elapsed().as_secs_f64() * ASKED_PER_S;
            let runs = targets[0].runs.get();
            assert!(
                f64::from(runs) <= allowed,
                "{runs} of {REQUESTS} requests ran"
            );
        },
    )
    .await;
}

/// Guards against a node that learns of a limit only by its own requests, so that each node of a
/// fleet exceeds it first.
#[tokio::test]
async fn nodes_tell_each_other_of_limits() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target) = start_store(TargetBehaviour::Limited).await;
            let nodes = [(); 3].map(|()| EntryNode::start(&store, PEER_PORT));
            for node in &nodes {
                node.wait_until_ready().await;
            }
            wait_until("all nodes know each other", async || {
                let mut known = true;
                for node in &nodes {
                    known &= node.metric("damaskloom_nodes").await == Some(3.0);
                }
                known
            })
            .await;
            let started_at = Instant::now();
            nodes[0].send("GET", "/read/a", Some("key-1")).await;
            for node in &nodes {
                wait_until("the node knows the limit", async || {
                    node.metric("damaskloom_limited_targets").await == Some(1.0)
                })
                .await;
            }
            for number in 0..REQUESTS {
                let node = &nodes[number as usize % nodes.len()];
                node.send("GET", "/read/a", Some("key-1")).await;
            }
            let allowed = 2.0 + started_at.elapsed().as_secs_f64() * ASKED_PER_S;
            let runs = target.runs.get();
            assert!(
                f64::from(runs) <= allowed,
                "{runs} of {REQUESTS} requests ran"
            );
        })
        .await;
}
