//! Tests nodes that are cut off from all targets while callers and other nodes reach them.

use std::rc::Rc;

use bytes::Bytes;
use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use http_body_util::Empty;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use crate::cut_network::{CutNetwork, NetworkCut};
use crate::fixture::{
    EntryNode, PEER_PORT, TargetBehaviour, TestTarget, booking, configuration, connect, wait_until,
};

/// The requests that a caller sends to the cut node in a test.
const REQUESTS: u32 = 60;

/// A fleet of two nodes, of which one can be cut off, with eight targets.
struct CutFleet {
    cut_node: EntryNode,
    network: Rc<CutNetwork>,
    /// The network of the other node, if it can be cut off too.
    other_network: Option<Rc<CutNetwork>>,
    sound_node: EntryNode,
    targets: Vec<Rc<TestTarget>>,
    store: PlatformServer,
}

impl CutFleet {
    async fn start() -> Self {
        Self::start_on(None).await
    }

    /// Starts a fleet of which the other node can be cut off too.
    async fn start_with(other_network: Rc<CutNetwork>) -> Self {
        Self::start_on(Some(other_network)).await
    }

    async fn start_on(other_network: Option<Rc<CutNetwork>>) -> Self {
        let store = PlatformServer::start_local().await;
        let store = store.expect("loopback has a free port");
        store.put("op", "config", configuration(1, &["key-1"]));
        let mut targets = Vec::new();
        for index in 0..8 {
            let id = format!("i-{index}");
            let target = TestTarget::start(&id, TargetBehaviour::Succeeds).await;
            store.put("servers", &target.id, target.row("ready"));
            targets.push(target);
        }
        let network = CutNetwork::new();
        let cut_node = EntryNode::start_on(&store, Rc::clone(&network) as _);
        let sound_node = match &other_network {
            Some(other) => EntryNode::start_on(&store, Rc::clone(other) as _),
            None => EntryNode::start(&store, PEER_PORT),
        };
        cut_node.wait_until_ready().await;
        sound_node.wait_until_ready().await;
        wait_until("the directory names both nodes", async || {
            cut_node.directory().await.len() == 2 && sound_node.directory().await.len() == 2
        })
        .await;
        Self {
            cut_node,
            network,
            other_network,
            sound_node,
            targets,
            store,
        }
    }

    async fn book(&self) -> StatusCode {
        let answer = self.cut_node.send("POST", "/book/1", Some("key-1"));
        answer.await.status
    }

    fn runs(&self) -> u32 {
        self.targets.iter().map(|target| target.runs.get()).sum()
    }
}

/// Guards against callers of a cut node that are refused although other nodes reach the targets: they
/// keep coming while they hold an earlier answer of the directory.
#[tokio::test]
async fn callers_of_a_node_that_is_cut_off_are_served() {
    LocalSet::new()
        .run_until(async {
            for cut in [
                NetworkCut::Reset,
                NetworkCut::Silent,
                NetworkCut::RefusesNew,
            ] {
                let fleet = CutFleet::start().await;
                fleet.network.set(cut);
                let mut served = 0;
                for _ in 0..REQUESTS {
                    served += u32::from(fleet.book().await == StatusCode::OK);
                }
                assert_eq!(served, REQUESTS, "{cut:?}");
                assert_eq!(fleet.runs(), REQUESTS, "{cut:?}");
            }
        })
        .await;
}

/// Guards against callers that are sent to a node without a path to any target, and against a node
/// that stays out of the directory after the cut.
#[tokio::test]
async fn the_directory_names_a_node_only_while_it_reaches_targets() {
    LocalSet::new()
        .run_until(async {
            let fleet = CutFleet::start().await;
            fleet.network.set(NetworkCut::Reset);
            for _ in 0..4 {
                fleet.book().await;
            }
            let sound = [fleet.sound_node.caller_address().to_string()];
            for node in [&fleet.sound_node, &fleet.cut_node] {
                wait_until("the directory names the sound node alone", async || {
                    node.directory().await == sound
                })
                .await;
            }
            fleet.network.set(NetworkCut::None);
            for node in [&fleet.sound_node, &fleet.cut_node] {
                wait_until("the directory names both nodes again", async || {
                    node.directory().await.len() == 2
                })
                .await;
            }
        })
        .await;
}

/// Guards against sound targets that the whole fleet takes for failing, and against ordinary requests
/// that it takes for crashing, by the failures of a node that is cut off.
#[tokio::test]
async fn the_failures_of_a_node_that_is_cut_off_are_no_evidence() {
    LocalSet::new()
        .run_until(async {
            let fleet = CutFleet::start().await;
            // Requests hold connections to all targets when the cut comes.
            for target in &fleet.targets {
                target.behaviour.set(TargetBehaviour::NeverAnswers);
            }
            let held: Vec<_> = (0..8)
                .map(|_| {
                    let address = fleet.cut_node.caller_address();
                    tokio::task::spawn_local(crate::fixture::send(
                        address,
                        "GET",
                        "/read/1",
                        Some("key-1"),
                    ))
                })
                .collect();
            wait_until("requests run", async || fleet.runs() >= 8).await;
            for target in &fleet.targets {
                target.behaviour.set(TargetBehaviour::Succeeds);
            }
            fleet.network.set(NetworkCut::Reset);
            for request in held {
                request.await.expect("the request ends");
            }
            for _ in 0..REQUESTS {
                let answer = fleet.sound_node.send("GET", "/read/1", Some("key-1"));
                assert_eq!(answer.await.status, StatusCode::OK);
                let answer = fleet.cut_node.send("GET", "/read/1", Some("key-1"));
                assert_ne!(answer.await.body, "crashes-targets");
            }
        })
        .await;
}

/// Guards against strangers that pose as a node of the fleet at the listener between nodes.
#[tokio::test]
async fn a_request_without_a_code_of_the_fleet_is_not_served_as_handed_on() {
    LocalSet::new()
        .run_until(async {
            let fleet = CutFleet::start().await;
            let mut sender = connect((fleet.sound_node.ip(), PEER_PORT).into()).await;
            let request = booking("id-1", 8_000)
                .header("damaskloom-hand-on", "00")
                .body(Empty::<Bytes>::new())
                .expect("valid parts");
            let response = sender.send_request(request).await.expect("an answer");
            assert_eq!(response.status(), StatusCode::FORBIDDEN);
            assert_eq!(fleet.runs(), 0);
        })
        .await;
}

/// Guards against two cut nodes that hand a request to and fro, and against requests that are tried in
/// vain or wait while no node reaches a target; the fleet serves again once one does.
#[tokio::test]
async fn a_fleet_that_is_cut_off_refuses_requests_as_not_run() {
    LocalSet::new()
        .run_until(async {
            let fleet = CutFleet::start_with(CutNetwork::new()).await;
            let networks = [&fleet.network, fleet.other_network.as_ref().expect("given")];
            let nodes = [&fleet.cut_node, &fleet.sound_node];
            for network in networks {
                network.set(NetworkCut::Reset);
            }
            for _ in 0..REQUESTS {
                for node in nodes {
                    let answer = node.send("POST", "/book/1", Some("key-1")).await;
                    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
                    assert!(answer.headers.contains_key("retry-after"));
                }
            }
            assert_eq!(fleet.runs(), 0);
            for network in networks {
                network.set(NetworkCut::None);
            }
            for node in nodes {
                wait_until("the node serves again", async || {
                    let answer = node.send("POST", "/book/1", Some("key-1")).await;
                    answer.status == StatusCode::OK
                })
                .await;
            }
        })
        .await;
}

/// Guards against callers that are refused since the node that their request was handed on to is cut off
/// as well and has not noticed yet, while a third one reaches the targets.
#[tokio::test]
async fn a_request_goes_to_the_next_helper_if_one_is_cut_off_too() {
    LocalSet::new()
        .run_until(async {
            let fleet = CutFleet::start_with(CutNetwork::new()).await;
            let third = EntryNode::start(&fleet.store, PEER_PORT);
            third.wait_until_ready().await;
            wait_until("the directory names all nodes", async || {
                fleet.cut_node.directory().await.len() == 3
            })
            .await;
            fleet.network.set(NetworkCut::Reset);
            let other_network = fleet.other_network.as_ref().expect("given");
            other_network.set(NetworkCut::Reset);
            for _ in 0..REQUESTS {
                assert_eq!(fleet.book().await, StatusCode::OK);
            }
            assert_eq!(fleet.runs(), REQUESTS);
        })
        .await;
}

/// Returns a configuration with a second service, `berth`.
fn configuration_with_berth() -> String {
    let document = configuration(1, &["key-1"]);
    let mut document: Value = serde_json::from_str(&document).expect("valid JSON");
    let release = json!([
        "release",
        "a.example",
        "/release/",
        "unsafe",
        10,
        0.4,
        1,
        "berth",
        3,
        false
    ]);
    let list = |value: &mut Value, row: Value| {
        let rows = value["rows"].as_array_mut().expect("there are rows");
        rows.push(row);
    };
    list(&mut document["routes"], release);
    list(&mut document["services"], json!(["berth", 400]));
    document.to_string()
}

/// Guards against callers that are refused since all nodes of the data centre are cut off from one
/// service, and serve the other one, while a node elsewhere reaches both.
#[tokio::test]
async fn a_request_goes_to_another_data_centre_if_no_local_node_reaches_its_service() {
    LocalSet::new()
        .run_until(async {
            let store = PlatformServer::start_local().await;
            let store = store.expect("loopback has a free port");
            store.put("op", "config", configuration_with_berth());
            let (local, away) = (CutNetwork::new(), CutNetwork::new());
            let mut desks = Vec::new();
            for index in 0..8 {
                let id = format!("i-{index}");
                let target = TestTarget::start(&id, TargetBehaviour::Succeeds).await;
                local.refuse([target.address]);
                store.put("servers", &id, target.row("ready"));
                desks.push(target);
            }
            let berth = TestTarget::start("i-berth", TargetBehaviour::Succeeds).await;
            let row = berth.row("ready").replace("desk", "berth");
            store.put("servers", "i-berth", row);
            let nodes = ["near", "near", "away"].map(|centre| {
                let network = if centre == "away" { &away } else { &local };
                EntryNode::start_in(centre, &store, Rc::clone(network) as _)
            });
            for node in &nodes {
                node.wait_until_ready().await;
                wait_until("the directory names the local nodes", async || {
                    node.directory().await.len() == 2
                })
                .await;
                // The path to the other service is known to be sound.
                let answer = node.send("POST", "/release/1", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::OK);
            }
            for _ in 0..REQUESTS {
                for node in &nodes[..2] {
                    let answer = node.send("POST", "/book/1", Some("key-1")).await;
                    assert_eq!(answer.status, StatusCode::OK);
                }
            }
            let runs: u32 = desks.iter().map(|target| target.runs.get()).sum();
            assert_eq!(runs, 2 * REQUESTS);
        })
        .await;
}
