//! Tests messages between data centres that go through relays.

use std::rc::Rc;

use damaskloom_entry::peer_wire::{CustomerCount, PeerEnvelope, PeerMessage, encode};
use damaskloom_entry::target_pool::SystemNetwork;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::message_relay::RelayScope;
use damaskloom_lib::target_balancer::TargetCode;
use http::StatusCode;
use tokio::task::LocalSet;

use crate::fixture::{EntryNode, TargetBehaviour, start_store, wait_until};

/// The number of nodes in the other data centre: more than get messages directly.
const AWAY_NODES: usize = 8;
/// The number of requests at once that make a node carry traffic.
const REQUESTS: usize = 6;
/// The bytes that a relay's message adds, with which the simulated fleet reckons
/// (`lib/tests/test_message_relay.rs`).
const RELAY_BYTES: usize = 72;

async fn has_forwarded(node: &EntryNode) -> bool {
    let metrics = node.metrics().await;
    let mut lines = metrics.lines();
    lines.any(|line| line.starts_with("damaskloom_peer_bytes") && line.contains("\"relayed\""))
}

/// Guards against notices, counts and heartbeats that get lost on the way over a relay, and against
/// relays that are never used.
#[tokio::test]
async fn a_leave_notice_reaches_all_nodes_of_another_data_centre_through_relays() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target) = start_store(TargetBehaviour::Succeeds).await;
            let start = |data_centre: &str| {
                EntryNode::start_in(data_centre, &store, Rc::new(SystemNetwork::default()))
            };
            let near = start("near");
            let away = [(); AWAY_NODES].map(|()| start("away"));
            near.wait_until_ready().await;
            for node in &away {
                node.wait_until_ready().await;
            }
            // Nodes that carry traffic send their heartbeats to other data centres.
            wait_until("messages of the near node are relayed", async || {
                let mut forwarded = false;
                for node in &away {
                    for _ in 0..REQUESTS {
                        let answer = node.send("GET", "/read/a", Some("key-1")).await;
                        assert_eq!(answer.status, StatusCode::OK);
                    }
                    forwarded |= has_forwarded(node).await;
                }
                forwarded
            })
            .await;
            target.behaviour.set(TargetBehaviour::Leaves);
            let before = target.arrivals.get();
            near.send("GET", "/read/a", Some("key-1")).await;
            for node in &away {
                wait_until("the node knows that the target leaves", async || {
                    node.metric("damaskloom_leaving_targets").await == Some(1.0)
                })
                .await;
                let answer = node.send("GET", "/read/a", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            }
            assert_eq!(target.arrivals.get(), before + 1);
            let known = (AWAY_NODES + 1) as f64;
            assert_eq!(near.metric("damaskloom_nodes").await, Some(known));
        })
        .await;
}

/// Guards against a wrapping of relayed messages that costs more than the simulated fleet reckons with.
#[test]
fn a_relayed_message_costs_few_bytes_more() {
    let secret = SharedSecret::new(*b"a secret of the fleet");
    let envelope = |message| PeerEnvelope {
        from: "edge-khatgal-1".parse().expect("a valid name"),
        started_at_ms: 1_775_000_000_123,
        sequence: 1_000_000,
        message,
    };
    let counts = PeerMessage::Counts {
        running: (0..10)
            .map(|target| (TargetCode(u32::MAX - target), 2))
            .collect(),
        successes: Vec::new(),
        customers: vec![CustomerCount {
            customer: "hauliers".parse().expect("a valid name"),
            admitted: 90_000,
            demand_milli: 1_500,
        }],
    };
    let datagram = encode(&secret, &envelope(counts)).expect("it can be encoded");
    let bytes = datagram.len();
    let relay = PeerMessage::Relay {
        scope: RelayScope::Carrying,
        origin_ip: "10.1.0.21".parse().expect("a valid address"),
        datagram,
    };
    let relayed = encode(&secret, &envelope(relay)).expect("it can be encoded");
    println!("counts: {bytes} bytes, through a relay {}", relayed.len());
    assert!(relayed.len() - bytes <= RELAY_BYTES);
}
