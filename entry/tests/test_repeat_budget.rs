//! Tests that repeats of requests stay within the budget of the fleet.

use crate::fixture::{TargetBehaviour, with_node};

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
