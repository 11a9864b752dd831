//! Tests that requests that crash their targets are refused by all nodes of a fleet.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use damaskloom_entry::target_pool::{SystemNetwork, TargetPools};
use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::fixture::{EntryNode, PEER_PORT, configuration, wait_until};

/// The number of targets.
const TARGETS: usize = 6;

/// Starts a target that accepts connections and ends with the first request.
async fn start_crashing_target(crashed: Rc<RefCell<Vec<SocketAddr>>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound address");
    let (ended, mut has_ended) = tokio::sync::mpsc::channel::<()>(1);
    tokio::task::spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = has_ended.recv() => return,
            };
            let (mut stream, _) = accepted.expect("a connection");
            let (crashed, ended) = (Rc::clone(&crashed), ended.clone());
            tokio::task::spawn_local(async move {
                if stream.read_u8().await.is_ok() {
                    crashed.borrow_mut().push(address);
                    // The listener is closed before the connection, as the system does.
                    let _ = ended.send(()).await;
                    tokio::task::yield_now().await;
                }
            });
        }
    });
    address
}

/// Guards against a crashing request that goes on from node to node while there are no other requests that
/// show that its targets are down, and no node has enough of them to count as carrying traffic.
#[tokio::test]
async fn two_crashes_at_two_idle_nodes_block_the_request_at_a_third() {
    LocalSet::new()
        .run_until(async {
            let store = PlatformServer::start_local().await;
            let store = store.expect("loopback has a free port");
            store.put("op", "config", configuration(1, &["key-1"]));
            let crashed = Rc::new(RefCell::new(Vec::new()));
            for index in 0..TARGETS {
                let address = start_crashing_target(Rc::clone(&crashed)).await;
                let row = json!({
                    "service": "desk", "address": address.to_string(), "zone": "near",
                    "version": "v1", "concurrency": 4, "state": "ready", "warmup_left_s": 0,
                    "sequence": 1, "born": 1
                });
                store.put("servers", &format!("i-{index}"), row.to_string());
            }
            let nodes: Vec<EntryNode> = (0..3)
                .map(|_| EntryNode::start(&store, PEER_PORT))
                .collect();
            for node in &nodes {
                node.wait_until_ready().await;
                wait_until("the directory names all nodes", async || {
                    node.directory().await.len() == nodes.len()
                })
                .await;
            }
            for node in &nodes[..2] {
                let answer = node.send("POST", "/book/1", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
            }
            assert_eq!(crashed.borrow().len(), 2);
            for node in &nodes {
                wait_until("the node knows of both crashes", async || {
                    node.metric("damaskloom_blocked_requests").await == Some(1.0)
                })
                .await;
                let answer = node.send("POST", "/book/1", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            }
            assert_eq!(crashed.borrow().len(), 2);
        })
        .await;
}

/// Guards against a request that is blamed for crashes of targets that reset it, and each new connection, since
/// they have too many.
#[tokio::test]
async fn a_target_that_resets_new_connections_is_not_down() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound address");
    let target = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("the option can be set");
    };
    let pools = TargetPools::new(Rc::new(SystemNetwork::default()));
    let (is_accepted, ()) = tokio::join!(pools.accepts_connection(address), target);
    assert!(is_accepted);
}
