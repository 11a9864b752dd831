//! Tests entry nodes while the store comes back from an older copy.

use damaskloom_testutils::platform_faults::PlatformFaults;
use http::StatusCode;
use tokio::task::LocalSet;

use crate::fixture::{
    EntryNode, PEER_PORT, TargetBehaviour, configuration, start_store, wait_until, with_node,
};

/// The number of rows that are written and then lost.
const LOST_ROWS: u32 = 20;

/// Guards against a node that ignores a configuration since the store gives out lower versions after a
/// restore.
#[tokio::test]
async fn a_configuration_written_after_a_restore_is_applied() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let is_served = async |key| {
                let answer = node.send("GET", "/read/1", Some(key)).await;
                answer.status == StatusCode::OK
            };
            let copy = store.copy_tables();
            for number in 0..LOST_ROWS {
                store.put("op", &format!("lost-{number}"), "lost");
            }
            store.put("op", "config", configuration(5, &["key-1", "key-5"]));
            wait_until("version 5 is applied", async || is_served("key-5").await).await;
            store.set_faults(PlatformFaults::refusing());
            store.restore_tables(&copy);
            store.set_faults(PlatformFaults::default());
            wait_until("the node reads the restored store", async || {
                node.metric("damaskloom_store_era").await == Some(1.0)
            })
            .await;
            // The store holds version 1 now, but what was in force stays in force.
            for _ in 0..5 {
                assert!(is_served("key-5").await);
            }
            store.put("op", "config", configuration(9, &["key-1", "key-9"]));
            wait_until("version 9 is applied", async || is_served("key-9").await).await;
            assert!(!is_served("key-5").await);
        },
    )
    .await;
}

/// Guards against a row that a restored store has lost and that stays with a node for good, since the
/// versions have passed the old ones before the node asks again.
#[tokio::test]
async fn a_target_that_was_lost_in_a_restore_is_forgotten() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, targets| async move {
            let copy = store.copy_tables();
            store.put("servers", "i-lost", targets[0].row("ready"));
            let has_targets = async |count| node.metric("damaskloom_targets").await == Some(count);
            wait_until("the new target is known", async || has_targets(2.0).await).await;
            store.set_faults(PlatformFaults::refusing());
            store.restore_tables(&copy);
            for number in 0..LOST_ROWS {
                store.put("other", &format!("row-{number}"), "row");
            }
            store.set_faults(PlatformFaults::default());
            wait_until("the lost target is forgotten", async || {
                has_targets(1.0).await
            })
            .await;
        },
    )
    .await;
}

/// Guards against requests to a target that drains, by the row from before that a restored store holds.
#[tokio::test]
async fn a_draining_target_gets_no_requests_by_a_restored_row() {
    let targets = [TargetBehaviour::Succeeds; 2];
    with_node(&targets, |store, node, targets| async move {
        let copy = store.copy_tables();
        let later = |state| {
            targets[1]
                .row(state)
                .replace("\"sequence\":1", "\"sequence\":2")
        };
        // Requests try every other target that the node knows.
        targets[0].behaviour.set(TargetBehaviour::Full);
        store.put("servers", "i-1", later("draining"));
        wait_until("the node knows that the target drains", async || {
            let runs = targets[1].runs.get();
            node.send("GET", "/read/1", Some("key-1")).await;
            targets[1].runs.get() == runs
        })
        .await;
        store.set_faults(PlatformFaults::refusing());
        store.restore_tables(&copy);
        store.put("servers", "i-2", targets[0].row("ready"));
        store.set_faults(PlatformFaults::default());
        wait_until("the node reads the restored store", async || {
            node.metric("damaskloom_targets").await == Some(3.0)
        })
        .await;
        let runs = targets[1].runs.get();
        for _ in 0..5 {
            node.send("GET", "/read/1", Some("key-1")).await;
        }
        assert_eq!(targets[1].runs.get(), runs);
    })
    .await;
}

/// Guards against a fleet that falls apart after a restore that lost its secret and the registrations:
/// a node that starts then would make another secret and find no other node.
#[tokio::test]
async fn a_fleet_writes_its_own_rows_again_after_a_restore() {
    LocalSet::new()
        .run_until(async {
            let (store, _target) = start_store(TargetBehaviour::Succeeds).await;
            let copy = store.copy_tables();
            let nodes = [(); 2].map(|()| EntryNode::start(&store, PEER_PORT));
            let lists = async |node: &EntryNode, count| node.directory().await.len() == count;
            for node in &nodes {
                wait_until("both nodes are listed", async || lists(node, 2).await).await;
            }
            let secret = store.get("damaskloom", "secret");
            store.set_faults(PlatformFaults::refusing());
            store.restore_tables(&copy);
            store.set_faults(PlatformFaults::default());
            wait_until("the rows stand in the store again", async || {
                let names = nodes.iter().map(|node| format!("node:{}", node.name()));
                let mut rows = names.map(|name| store.get("damaskloom", &name));
                store.get("damaskloom", "secret") == secret && rows.all(|row| row.is_some())
            })
            .await;
            let third = EntryNode::start(&store, PEER_PORT);
            for node in [&nodes[0], &nodes[1], &third] {
                wait_until("all nodes are listed", async || lists(node, 3).await).await;
            }
        })
        .await;
}

/// Guards against a node that keeps another secret than the rest of the fleet and hears nobody.
#[tokio::test]
async fn a_node_adopts_the_secret_in_the_store_once_messages_show_another_one() {
    LocalSet::new()
        .run_until(async {
            let (store, _target) = start_store(TargetBehaviour::Succeeds).await;
            let first = EntryNode::start(&store, PEER_PORT);
            first.wait_until_ready().await;
            store.put("damaskloom", "secret", "another secret");
            let second = EntryNode::start(&store, PEER_PORT);
            for node in [&first, &second] {
                wait_until("both nodes are listed", async || {
                    node.directory().await.len() == 2
                })
                .await;
            }
        })
        .await;
}
