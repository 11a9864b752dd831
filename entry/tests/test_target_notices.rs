//! Tests that nodes do what targets say of themselves in their answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use damaskloom_entry::target_pool::TargetNetwork;
use damaskloom_testutils::platform_server::PlatformServer;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::fixture::{
    EntryNode, PEER_PORT, TargetBehaviour, TestTarget, start_store, wait_until, with_node,
};
use crate::scripted_target::{ScriptedTarget, ThenDoes};

/// The number of requests that callers send.
const REQUESTS: u32 = 12;
/// A target that asks for a very long rest is asked again after a minute.
const ASKED_PER_S: f64 = 1.0 / 60.0;

async fn send_refused(node: &EntryNode) {
    let answer = node.send("GET", "/read/a", Some("key-1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
}

/// Guards against a node that learns only from the store that a target leaves, and sends to it for as
/// long as the store's row is late.
#[tokio::test]
async fn target_whose_answer_says_that_it_leaves_gets_no_more_requests() {
    with_node(&[TargetBehaviour::Leaves], async |_store, node, targets| {
        // The answer itself is the caller's.
        let answer = node.send("GET", "/read/a", Some("key-1")).await;
        assert_eq!(answer.status, StatusCode::OK);
        for _ in 0..REQUESTS {
            send_refused(&node).await;
        }
        assert_eq!(targets[0].arrivals.get(), 1);
    })
    .await;
}

/// Guards against a row of the store that is late, or is written once more, and takes back what the
/// target said; a new start of the target gets requests again.
#[tokio::test]
async fn only_a_new_start_ends_what_a_target_said_of_leaving() {
    with_node(&[TargetBehaviour::Leaves], async |store, node, targets| {
        let leaving = &targets[0];
        node.send("GET", "/read/a", Some("key-1")).await;
        store.put("servers", "i-0", leaving.row_of("ready", 2, 1));
        let other = TestTarget::start("i-1", TargetBehaviour::Succeeds).await;
        store.put("servers", "i-1", other.row("ready"));
        wait_until("the rows are known", async || {
            node.metric("damaskloom_targets").await == Some(2.0)
        })
        .await;
        for _ in 0..REQUESTS {
            let answer = node.send("GET", "/read/a", Some("key-1")).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!(leaving.arrivals.get(), 1);
        leaving.behaviour.set(TargetBehaviour::Succeeds);
        store.put("servers", "i-0", leaving.row_of("ready", 1, 2));
        wait_until("the new start gets requests", async || {
            node.send("GET", "/read/a", Some("key-1")).await;
            leaving.arrivals.get() > 1
        })
        .await;
    })
    .await;
}

/// Guards against nodes that each have to ask a target before they know that it leaves.
#[tokio::test]
async fn nodes_tell_each_other_which_targets_leave() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target) = start_store(TargetBehaviour::Leaves).await;
            let nodes = [(); 2].map(|()| EntryNode::start(&store, PEER_PORT));
            for node in &nodes {
                node.wait_until_ready().await;
            }
            wait_until("the nodes know each other", async || {
                nodes[0].metric("damaskloom_nodes").await == Some(2.0)
            })
            .await;
            nodes[0].send("GET", "/read/a", Some("key-1")).await;
            wait_until("the other node knows it too", async || {
                let leaving = nodes[1].metric("damaskloom_leaving_targets").await;
                leaving == Some(1.0)
            })
            .await;
            send_refused(&nodes[1]).await;
            assert_eq!(target.arrivals.get(), 1);
        })
        .await;
}

/// Guards against a target that loses its requests by an answer that is another one's: one to another
/// request, or of another target at its address.
#[tokio::test]
async fn answers_that_are_not_the_targets_own_do_not_say_that_it_leaves() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let target = ScriptedTarget::start(|number| {
                let leaving = "server-leaving: 1\r\nserver-seal: seal\r\ncontent-length: 0\r\n\r\n";
                let answer = match number {
                    0 => format!("HTTP/1.1 200 X\r\nrequest-id: another\r\n{leaving}"),
                    _ => "HTTP/1.1 200 X\r\nrequest-id: id-1\r\nserver-seal: seal\r\n\
                          content-length: 0\r\n\r\n"
                        .to_owned(),
                };
                (answer.into_bytes(), ThenDoes::KeepsOpen)
            })
            .await;
            let (store, _) = start_store(TargetBehaviour::Succeeds).await;
            target.announce(&store, 2);
            let node = EntryNode::start(&store, PEER_PORT);
            node.wait_until_ready().await;
            node.send("POST", "/book/a", Some("key-1")).await;
            for _ in 0..REQUESTS {
                let answer = node.send("POST", "/book/a", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::OK);
            }
            assert_eq!(target.requests.get(), 1 + REQUESTS);
        })
        .await;
}

/// A network over which a target's connection opens only after a given step of the test.
#[derive(Debug)]
pub struct HeldNetwork {
    held: Cell<Option<SocketAddr>>,
    attempts: Cell<u32>,
    /// Notified when a connection is opened to the target.
    pub begun: Rc<Notify>,
    released: RefCell<Option<Rc<Notify>>>,
}

impl HeldNetwork {
    /// Makes a network on which the first connection to the target opens once `released` is notified.
    pub fn new(target: SocketAddr, released: &Rc<Notify>) -> Rc<Self> {
        Rc::new(Self {
            held: Cell::new(Some(target)),
            attempts: Cell::new(0),
            begun: Rc::new(Notify::new()),
            released: RefCell::new(Some(Rc::clone(released))),
        })
    }
}

impl TargetNetwork for HeldNetwork {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>> {
        let released = self.released.borrow().clone();
        let released = released.filter(|_| self.held.get() == Some(address));
        if released.is_some() {
            self.attempts.set(self.attempts.get() + 1);
            self.begun.notify_one();
        }
        async move {
            if let Some(released) = released {
                released.notified().await;
            }
            TcpStream::connect(address).await
        }
        .boxed_local()
    }
}

/// Guards against a request that waits for a connection, and is sent although its target began to leave
/// in the meantime.
#[tokio::test]
async fn request_that_waited_is_not_sent_to_a_target_that_leaves_by_then() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (store, target): (PlatformServer, _) = start_store(TargetBehaviour::Succeeds).await;
            let released = Rc::new(Notify::new());
            let network = HeldNetwork::new(target.address, &released);
            let node = Rc::new(EntryNode::start_on(&store, Rc::clone(&network) as _));
            node.wait_until_ready().await;
            let caller = Rc::clone(&node);
            let answer = tokio::task::spawn_local(async move {
                caller.send("POST", "/book/a", Some("key-1")).await.status
            });
            network.begun.notified().await;
            let other = TestTarget::start("i-1", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-0", target.row_of("draining", 2, 1));
            store.put("servers", "i-1", other.row("ready"));
            wait_until("the rows are known", async || {
                node.metric("damaskloom_targets").await == Some(2.0)
            })
            .await;
            released.notify_one();
            assert_eq!(answer.await.expect("it ends"), StatusCode::OK);
            assert_eq!(target.arrivals.get(), 0);
            assert_eq!(other.arrivals.get(), 1);
        })
        .await;
}

/// Guards against a node that sends on to a target which has asked it for some time without requests.
#[tokio::test]
async fn target_that_asks_for_rest_gets_no_requests() {
    with_node(
        &[TargetBehaviour::AsksForRest],
        async |_store, node, targets| {
            let started_at = Instant::now();
            for _ in 0..REQUESTS {
                send_refused(&node).await;
            }
            let allowed = 1.0 + started_at.elapsed().as_secs_f64() * ASKED_PER_S;
            let arrivals = targets[0].arrivals.get();
            assert!(
                f64::from(arrivals) <= allowed,
                "{arrivals} of {REQUESTS} requests arrived"
            );
        },
    )
    .await;
}

/// Guards against a service that loses its other targets when one of them asks for rest, and against
/// retries that go back to it.
#[tokio::test]
async fn other_targets_serve_while_one_rests() {
    with_node(
        &[TargetBehaviour::AsksForRest, TargetBehaviour::Succeeds],
        async |_store, node, targets| {
            let started_at = Instant::now();
            for _ in 0..REQUESTS {
                let answer = node.send("POST", "/book/a", Some("key-1")).await;
                assert_eq!(answer.status, StatusCode::OK);
            }
            let allowed = 1.0 + started_at.elapsed().as_secs_f64() * ASKED_PER_S;
            assert!(f64::from(targets[0].arrivals.get()) <= allowed);
            assert_eq!(targets[1].runs.get(), REQUESTS);
        },
    )
    .await;
}
