//! Tests requests as callers and targets see them.

use http::StatusCode;

use crate::fixture::{EntryNode, TargetBehaviour, configuration, wait_until, with_node};

const KEY: Option<&str> = Some("key-1");

#[tokio::test]
async fn a_target_gets_the_customer_but_not_the_key() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |_store, node, targets| async move {
            let answer = node.send("POST", "/book/1?x=y", KEY).await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.body, "answer");
            assert_eq!(answer.headers["server-seal"], "seal");
            assert_eq!(answer.headers["request-id"], "id-1");
            let seen = targets[0].last_headers.borrow();
            assert_eq!(seen["tenant-name"], "hauliers");
            assert_eq!(seen["expect-instance"], "i-0");
            assert_eq!(seen["host"], "a.example");
            assert_eq!(seen.get("authorization"), None);
            let left: u64 = seen["deadline-ms"].to_str().unwrap().parse().unwrap();
            assert!(left <= 8_000);
        },
    )
    .await;
}

#[tokio::test]
async fn requests_without_route_or_key_reach_no_target() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |_store, node, targets| async move {
            let unknown_route = node.send("GET", "/elsewhere/", KEY).await;
            let no_key = node.send("GET", "/read/1", None).await;
            let unknown_key = node.send("GET", "/read/1", Some("key-9")).await;
            assert_eq!(unknown_route.status, StatusCode::NOT_FOUND);
            assert_eq!(no_key.status, StatusCode::UNAUTHORIZED);
            assert_eq!(unknown_key.status, StatusCode::UNAUTHORIZED);
            assert_eq!(targets[0].runs.get(), 0);
            let open = node.send("GET", "/open/1", None).await;
            assert_eq!(open.status, StatusCode::OK);
            assert_eq!(targets[0].last_headers.borrow().get("tenant-name"), None);
        },
    )
    .await;
}

#[tokio::test]
async fn a_failed_booking_is_not_retried() {
    let behaviours = [TargetBehaviour::Fails, TargetBehaviour::Fails];
    with_node(&behaviours, |_store, node, targets| async move {
        let answer = node.send("POST", "/book/1", KEY).await;
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(answer.headers["server-seal"], "seal");
        assert_eq!(targets[0].runs.get() + targets[1].runs.get(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_failed_lookup_is_retried_at_another_target() {
    let behaviours = [TargetBehaviour::Fails, TargetBehaviour::Succeeds];
    with_node(&behaviours, |_store, node, _targets| async move {
        for _ in 0..6 {
            let answer = node.send("GET", "/read/1", KEY).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
    })
    .await;
}

#[tokio::test]
async fn a_booking_that_did_not_run_is_retried_at_another_target() {
    for behaviour in [TargetBehaviour::Full, TargetBehaviour::WrongTarget] {
        with_node(
            &[behaviour, TargetBehaviour::Succeeds],
            |_store, node, targets| async move {
                for _ in 0..6 {
                    let answer = node.send("POST", "/book/1", KEY).await;
                    assert_eq!(answer.status, StatusCode::OK);
                }
                assert_eq!(targets[1].runs.get(), 6);
            },
        )
        .await;
    }
}

#[tokio::test]
async fn a_booking_that_no_target_runs_is_refused_with_retry_after() {
    let behaviours = [TargetBehaviour::Full, TargetBehaviour::Full];
    with_node(&behaviours, |_store, node, targets| async move {
        let answer = node.send("POST", "/book/1", KEY).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(targets[0].runs.get() + targets[1].runs.get(), 0);
    })
    .await;
}

#[tokio::test]
async fn an_invalid_target_answer_is_not_passed_to_the_caller() {
    for behaviour in [
        TargetBehaviour::NoSignature,
        TargetBehaviour::WrongRequestId,
    ] {
        with_node(&[behaviour], |_store, node, targets| async move {
            let answer = node.send("POST", "/book/1", KEY).await;
            // The request may have run, so the status must not promise that it has not.
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
            assert_ne!(answer.body, "answer");
            assert_eq!(targets[0].runs.get(), 1);
        })
        .await;
    }
}

#[tokio::test]
async fn a_withdrawn_key_is_refused_and_an_older_configuration_is_ignored() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            assert_eq!(
                node.send("GET", "/read/1", KEY).await.status,
                StatusCode::OK
            );
            store.put("op", "config", configuration(5, &["key-2"]));
            wait_until("the key is refused", async || {
                node.send("GET", "/read/1", KEY).await.status == StatusCode::UNAUTHORIZED
            })
            .await;
            store.put("op", "config", "{\"version\": 6");
            store.put("op", "config", configuration(4, &["key-1"]));
            store.put("op", "config", configuration(7, &["key-2", "key-3"]));
            wait_until("the newest configuration is applied", async || {
                node.send("GET", "/read/1", Some("key-3")).await.status == StatusCode::OK
            })
            .await;
            let withdrawn = node.send("GET", "/read/1", KEY).await;
            assert_eq!(withdrawn.status, StatusCode::UNAUTHORIZED);
        },
    )
    .await;
}

#[tokio::test]
async fn a_leaving_or_removed_target_gets_no_requests() {
    let behaviours = [TargetBehaviour::Succeeds, TargetBehaviour::Succeeds];
    with_node(&behaviours, |store, node, targets| async move {
        store.put("servers", "i-0", targets[0].row("draining"));
        store.put("servers", "broken", "{\"service\": 1}");
        wait_until("the leaving target gets no requests", async || {
            node.metrics().await.contains("damaskloom_targets")
                && gets_no_requests(&node, &targets[0].runs).await
        })
        .await;
        store.put("servers", "i-0", targets[0].row("ready"));
        store.remove("servers", "i-1");
        wait_until("the removed target gets no requests", async || {
            gets_no_requests(&node, &targets[1].runs).await
        })
        .await;
    })
    .await;
}

/// Returns whether several requests succeed without a run at the target.
async fn gets_no_requests(node: &EntryNode, runs: &std::cell::Cell<u32>) -> bool {
    let before = runs.get();
    for _ in 0..8 {
        let answer = node.send("GET", "/read/1", KEY).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    runs.get() == before
}

#[tokio::test]
async fn metrics_have_labels_for_routes_and_targets() {
    let behaviours = [TargetBehaviour::Succeeds, TargetBehaviour::Fails];
    with_node(&behaviours, |_store, node, targets| async move {
        wait_until("the failing target was tried", async || {
            node.send("GET", "/read/1", Some("key-1")).await;
            targets[1].runs.get() > 0
        })
        .await;
        let metrics = node.metrics().await;
        let line = |name: &str, label: &str| {
            let mut lines = metrics.lines();
            lines.any(|line| line.starts_with(name) && line.contains(label))
        };
        assert!(line("damaskloom_answers", "route=\"read\""), "{metrics}");
        assert!(line("damaskloom_request_seconds", "route=\"read\""));
        assert!(line("damaskloom_target_failures", "target=\"i-1\""));
        assert!(!line("damaskloom_target_failures", "target=\"i-0\""));
        for gauge in [
            "damaskloom_routing_age_seconds",
            "damaskloom_targets_age_seconds",
        ] {
            let age = node.metric(gauge).await.expect("the gauge is there");
            assert!((0.0..3_600.0).contains(&age), "{gauge}: {age}");
        }
    })
    .await;
}
