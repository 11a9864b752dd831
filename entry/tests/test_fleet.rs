//! Tests several nodes together, and nodes during outages of the store.

use damaskloom_testutils::platform_faults::PlatformFaults;
use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use tokio::task::LocalSet;

use crate::fixture::{
    EntryNode, PEER_PORT, TargetBehaviour, TestTarget, configuration, wait_until, with_node,
};

#[tokio::test]
async fn nodes_discover_each_other_and_the_directory_lists_both() {
    LocalSet::new()
        .run_until(async {
            let store = PlatformServer::start_local()
                .await
                .expect("loopback has a free port");
            store.put("op", "config", configuration(1, &["key-1"]));
            let target = TestTarget::start("i-0", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-0", target.row("ready"));
            let nodes = [
                EntryNode::start(&store, PEER_PORT),
                EntryNode::start(&store, PEER_PORT),
            ];
            for node in &nodes {
                node.wait_until_ready().await;
            }
            wait_until("both directories list both nodes", async || {
                let named = [nodes[0].directory().await, nodes[1].directory().await];
                named.iter().all(|named| named.len() == 2)
            })
            .await;
            let named = nodes[1].directory().await;
            assert!(named.contains(&nodes[0].caller_address().to_string()));
            assert!(store.get("damaskloom", "secret").is_some());
            for node in &nodes {
                let registration = format!("node:{}", node.name());
                assert!(store.get("damaskloom", &registration).is_some());
            }
        })
        .await;
}

#[tokio::test]
async fn a_node_keeps_serving_during_a_store_outage_and_catches_up() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let key = Some("key-1");
            let forgetful = PlatformFaults {
                forgetful: true,
                ..PlatformFaults::default()
            };
            for faults in [PlatformFaults::refusing(), forgetful] {
                store.set_faults(faults);
                for _ in 0..4 {
                    let answer = node.send("GET", "/read/1", key).await;
                    assert_eq!(answer.status, StatusCode::OK);
                }
            }
            store.put("op", "config", configuration(9, &["key-1", "key-9"]));
            store.set_faults(PlatformFaults::default());
            wait_until("the change made during the outage is applied", async || {
                node.send("GET", "/read/1", Some("key-9")).await.status == StatusCode::OK
            })
            .await;
        },
    )
    .await;
}

#[tokio::test]
async fn a_node_without_a_configuration_refuses_requests_as_not_run() {
    LocalSet::new()
        .run_until(async {
            let store = PlatformServer::start_local()
                .await
                .expect("loopback has a free port");
            store.set_faults(PlatformFaults::refusing());
            let node = EntryNode::start(&store, PEER_PORT);
            let answer = node.send("POST", "/book/1", Some("key-1")).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.headers.contains_key("retry-after"));
            store.put("op", "config", configuration(1, &["key-1"]));
            let target = TestTarget::start("i-0", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-0", target.row("ready"));
            store.set_faults(PlatformFaults::default());
            node.wait_until_ready().await;
            let answer = node.send("POST", "/book/1", Some("key-1")).await;
            assert_eq!(answer.status, StatusCode::OK);
        })
        .await;
}
