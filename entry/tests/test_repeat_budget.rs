//! Tests that repeats of requests stay within the budget of the fleet.

use crate::fixture::{EntryNode, PEER_PORT, TargetBehaviour, wait_until, with_node};

/// The number of callers' requests in a test.
const REQUESTS: u32 = 60;
/// The repeats that the settings of the test nodes allow in a window for these requests: a fifth of
/// the requests and 64.
const ALLOWED_REPEATS: u32 = REQUESTS / 5 + 64;

/// Guards against requests that are sent again without limit while rows of the store name addresses
/// that other targets use by now, so that each attempt reaches a target that answers 421.
#[tokio::test]
async fn attempts_that_reach_a_wrong_target_stay_within_the_repeat_budget() {
    with_node(
        &[TargetBehaviour::WrongTarget; 8],
        async |_store, node, targets| {
            for _ in 0..REQUESTS {
                let answer = node.send("GET", "/read/1", Some("key-1")).await;
                assert_eq!(answer.status, 503);
                assert!(answer.headers.contains_key("retry-after"));
            }
            let arrivals: u32 = targets.iter().map(|target| target.arrivals.get()).sum();
            assert!(
                arrivals <= REQUESTS + ALLOWED_REPEATS,
                "{arrivals} arrivals of {REQUESTS} requests"
            );
        },
    )
    .await;
}

/// Guards against nodes that each find out by requests of their own that a row of the store names
/// another target's address.
#[tokio::test]
async fn one_answer_of_a_wrong_target_is_enough_for_all_nodes() {
    const TARGETS: u32 = 8;
    with_node(
        &[TargetBehaviour::WrongTarget; TARGETS as usize],
        async |store, node, targets| {
            let other = EntryNode::start(&store, PEER_PORT);
            other.wait_until_ready().await;
            for _ in 0..REQUESTS {
                node.send("POST", "/book/1", Some("key-1")).await;
            }
            let arrivals = || -> u32 { targets.iter().map(|target| target.arrivals.get()).sum() };
            assert_eq!(arrivals(), TARGETS);
            wait_until("the other node knows of the wrong targets", async || {
                let outdated = other.metric("damaskloom_outdated_targets").await;
                outdated == Some(f64::from(TARGETS))
            })
            .await;
            let answer = other.send("POST", "/book/1", Some("key-1")).await;
            assert_eq!(answer.status, 503);
            assert_eq!(arrivals(), TARGETS);
        },
    )
    .await;
}
