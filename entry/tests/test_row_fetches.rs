//! Tests that a node gets newer rows from its peers over slow paths.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_entry::peer_rows::{RowsAnswer, proof};
use damaskloom_entry::peer_wire::{PeerEnvelope, PeerMessage, TableReadings, encode};
use damaskloom_entry::settings::EntrySettings;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::copy_age::TableReading;
use damaskloom_lib::entry_members::{EntryPhase, NodeHeartbeat};
use damaskloom_lib::store_health::StoreReading;
use damaskloom_lib::table_mirror::{MirrorRow, RowExtent};
use damaskloom_testutils::platform_faults::PlatformFaults;
use damaskloom_testutils::platform_server::PlatformServer;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::LocalSet;

use crate::fixture::{
    EntryNode, PEER_PORT, TargetBehaviour, TestTarget, configuration, connect, node_settings,
    start_store, wait_until, with_node,
};

/// The interval of a peer's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The number of polls without a feed call that show that a node does not follow the store: longer than a
/// feed call waits.
const POLLS_WITHOUT_FEED: u32 = 40;
/// The number of requests for rows of targets that show that the configuration has waited for a
/// whole series of them.
const MAX_TARGET_REQUESTS: u32 = 12;
/// The capacity of a peer, so large that it is selected to read the store for the others.
const PEER_MILLICORES: u32 = 100_000_000;

/// A stand-in for a peer that reads the store for the others and announces newer rows.
#[derive(Debug)]
pub struct ReaderPeer {
    name: &'static str,
    data_centre: &'static str,
    ip: IpAddr,
    secret: SharedSecret,
    /// The newest version of the routing and of the targets.
    versions: Cell<(u64, u64)>,
    /// The configuration that it serves.
    configuration: RefCell<Bytes>,
    /// The delay of its answers, as on a path over a full link.
    answer_delay: Cell<Duration>,
    /// Whether it answers requests.
    answers: Cell<bool>,
    /// What it says of its reading of the store; none if it is of the build before.
    pub reading: Cell<Option<StoreReading>>,
    /// How long ago it last read the store, in milliseconds; none if it is of the build before, which does
    /// not say.
    read_age_ms: Cell<Option<u32>>,
    /// Whether it answers requests for rows of targets.
    answers_targets: Cell<bool>,
    /// The number of requests for rows of targets.
    target_requests: Cell<u32>,
}

impl ReaderPeer {
    pub async fn start(secret: SharedSecret, node: IpAddr, last_octet: u8) -> Rc<Self> {
        Self::start_in("near", "vm-reader", secret, node, last_octet).await
    }

    /// Starts a peer in a data centre.
    async fn start_in(
        data_centre: &'static str,
        name: &'static str,
        secret: SharedSecret,
        node: IpAddr,
        last_octet: u8,
    ) -> Rc<Self> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 78, 0, last_octet));
        let socket = UdpSocket::bind((ip, 0)).await;
        let socket = socket.expect("loopback has a free port");
        let listener = TcpListener::bind((ip, PEER_PORT)).await;
        let listener = listener.expect("the address is used by this test only");
        let peer = Rc::new(Self {
            name,
            data_centre,
            ip,
            secret,
            versions: Cell::new((1, 1)),
            configuration: RefCell::default(),
            answer_delay: Cell::new(Duration::ZERO),
            answers: Cell::new(true),
            reading: Cell::default(),
            read_age_ms: Cell::default(),
            answers_targets: Cell::new(true),
            target_requests: Cell::new(0),
        });
        let sender = Rc::clone(&peer);
        tokio::task::spawn_local(async move {
            for sequence in 1.. {
                let datagram = sender.heartbeat(sequence);
                let sent = socket.send_to(&datagram, (node, PEER_PORT)).await;
                sent.expect("loopback accepts datagrams");
                if let Some(datagram) = sender.readings(sequence) {
                    let sent = socket.send_to(&datagram, (node, PEER_PORT)).await;
                    sent.expect("loopback accepts datagrams");
                }
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        let server = Rc::clone(&peer);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let peer = Rc::clone(&server);
                tokio::task::spawn_local(async move {
                    let service = service_fn(|request| {
                        let peer = Rc::clone(&peer);
                        async move { Ok::<_, Infallible>(peer.answer(request).await) }
                    });
                    // An error means that the node has closed the connection.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        peer
    }

    fn heartbeat(&self, sequence: u64) -> Vec<u8> {
        let (routing_version, targets_version) = self.versions.get();
        let heartbeat = NodeHeartbeat {
            data_centre: self.data_centre.parse().expect("a valid name"),
            caller_address: SocketAddr::new(self.ip, 1),
            phase: EntryPhase::Serving,
            carrying: false,
            capacity_millicores: PEER_MILLICORES,
            linked: true,
            routing_version: routing_version.into(),
            targets_version: targets_version.into(),
        };
        self.seal(sequence, PeerMessage::Heartbeat(heartbeat))
    }

    fn readings(&self, sequence: u64) -> Option<Vec<u8>> {
        let age_ms = self.read_age_ms.get()?;
        let (routing_version, targets_version) = self.versions.get();
        let reading = |version: u64| {
            let version = version.into();
            Some(TableReading { version, age_ms })
        };
        let readings = TableReadings {
            routing: reading(routing_version),
            targets: reading(targets_version),
        };
        Some(self.seal(sequence, PeerMessage::Readings(readings)))
    }

    fn seal(&self, sequence: u64, message: PeerMessage) -> Vec<u8> {
        let envelope = PeerEnvelope {
            from: self.name.parse().expect("a valid name"),
            started_at_ms: 1,
            sequence,
            message,
        };
        encode(&self.secret, &envelope).expect("the message can be encoded")
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        tokio::time::sleep(self.answer_delay.get()).await;
        let is_routing = request.uri().path() == "/rows/routing";
        if !is_routing {
            self.target_requests.set(self.target_requests.get() + 1);
        }
        if !self.answers.get() || (!is_routing && !self.answers_targets.get()) {
            std::future::pending::<()>().await;
        }
        let reading = request.uri().path() == "/store/reading";
        if reading && self.reading.get().is_none() {
            let answer = Response::builder().status(StatusCode::NOT_FOUND);
            return answer.body(Full::default()).expect("the parts are valid");
        }
        let (routing_version, targets_version) = self.versions.get();
        let row = MirrorRow {
            key: "config".to_owned(),
            value: Some(self.configuration.borrow().clone()),
            version: routing_version.into(),
        };
        let (rows, version) = match is_routing {
            true => (vec![row], routing_version),
            false => (Vec::new(), targets_version),
        };
        let body = match reading {
            true => postcard::to_stdvec(&self.reading.get()),
            false => postcard::to_stdvec(&(rows, version, 0_u64)),
        };
        let body = body.expect("the answer can be encoded");
        let mut message = Vec::new();
        let request_target = request.uri().to_string();
        for part in [b"answer".as_slice(), request_target.as_bytes(), &body] {
            message.extend((part.len() as u64).to_be_bytes());
            message.extend(part);
        }
        let proof = self.secret.authenticate(message);
        let proof: String = proof.iter().map(|byte| format!("{byte:02x}")).collect();
        Response::builder()
            .header("damaskloom-proof", proof)
            .body(Full::new(Bytes::from(body)))
            .expect("the parts are valid")
    }

    /// Announces a configuration that only this peer has.
    fn announce_configuration(&self, version: u64, keys: &[&str]) {
        self.configuration
            .replace(Bytes::from(configuration(version, keys)));
        let (routing_version, targets_version) = self.versions.get();
        self.versions
            .set((routing_version + 1_000_000, targets_version));
    }

    /// Announces changed targets.
    fn announce_targets(&self) {
        let (routing_version, targets_version) = self.versions.get();
        self.versions
            .set((routing_version, targets_version + 1_000_000));
    }
}

/// Returns the secret that a node has written.
pub fn fleet_secret(store: &PlatformServer) -> SharedSecret {
    let secret = store.get("damaskloom", "secret");
    SharedSecret::new(secret.expect("the fleet's secret"))
}

async fn wait_until_key_works(node: &EntryNode, key: &str) {
    wait_until("the announced configuration is applied", async || {
        node.send("GET", "/read/1", Some(key)).await.status == StatusCode::OK
    })
    .await;
}

/// Waits until no node has read the store for longer than a feed call waits.
async fn wait_without_feeds(store: &PlatformServer) {
    let (mut feeds, mut polls) = (0, 0);
    wait_until("the node leaves the store to its peer", async || {
        let now = store.counters().feeds;
        polls = if now == feeds { polls + 1 } else { 0 };
        feeds = now;
        polls > POLLS_WITHOUT_FEED
    })
    .await;
}

/// Runs a test with a store, a node that leaves the store to a peer, that peer, and a target.
async fn with_follower<F: Future<Output = ()>>(
    last_octet: u8,
    test: impl FnOnce(PlatformServer, EntryNode, Rc<ReaderPeer>, Rc<TestTarget>) -> F,
) {
    LocalSet::new()
        .run_until(async move {
            let (store, target) = start_store(TargetBehaviour::Succeeds).await;
            let mut settings = node_settings(store.address(), PEER_PORT);
            // A data centre has one reader then, the node of the largest capacity.
            settings["data_centres"] = json!({"near": "r", "away": "r", "far": "r"});
            let settings = EntrySettings::parse(settings.to_string(), "test");
            let node = EntryNode::start_with(settings.expect("valid settings"));
            node.wait_until_ready().await;
            let peer = ReaderPeer::start(fleet_secret(&store), node.ip(), last_octet).await;
            wait_without_feeds(&store).await;
            test(store, node, peer, target).await;
        })
        .await;
}

/// Guards against a node that never gets a configuration over a slow path, since it abandons each
/// fetch before the answer can arrive and starts again.
#[tokio::test]
async fn a_configuration_arrives_although_every_answer_is_slow() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let peer = ReaderPeer::start(fleet_secret(&store), node.ip(), 1).await;
            peer.answer_delay.set(Duration::from_millis(700));
            peer.announce_configuration(2, &["key-1", "key-new"]);
            wait_until_key_works(&node, "key-new").await;
        },
    )
    .await;
}

/// Guards against a configuration that waits until fetches of another table have ended.
#[tokio::test]
async fn a_configuration_arrives_while_a_fetch_of_targets_is_unanswered() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let peer = ReaderPeer::start(fleet_secret(&store), node.ip(), 2).await;
            peer.answers_targets.set(false);
            peer.announce_targets();
            wait_until("the node asks for targets", async || {
                peer.target_requests.get() > 0
            })
            .await;
            peer.announce_configuration(2, &["key-1", "key-new"]);
            wait_until_key_works(&node, "key-new").await;
            assert!(peer.target_requests.get() < MAX_TARGET_REQUESTS);
        },
    )
    .await;
}

/// Guards against a node that serves by an old configuration, for instance with a withdrawn key, since
/// it cannot fetch the newer one that its peers have.
#[tokio::test]
async fn a_node_refuses_requests_while_it_cannot_get_a_newer_configuration() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let peer = ReaderPeer::start(fleet_secret(&store), node.ip(), 3).await;
            peer.answers.set(false);
            peer.announce_configuration(2, &["key-1", "key-new"]);
            wait_until("the node refuses requests", async || {
                let answer = node.send("GET", "/read/1", Some("key-1")).await;
                answer.status == StatusCode::SERVICE_UNAVAILABLE
                    && answer.headers.contains_key("retry-after")
                    && answer.body == "outdated-configuration"
            })
            .await;
            peer.answers.set(true);
            wait_until_key_works(&node, "key-new").await;
        },
    )
    .await;
}

/// Guards against a node that stays behind since the peer of its data centre that announces newer rows does not
/// answer, although a peer elsewhere would.
#[tokio::test]
async fn rows_arrive_from_elsewhere_while_the_local_peer_does_not_answer() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let secret = fleet_secret(&store);
            let local = ReaderPeer::start(secret.clone(), node.ip(), 5).await;
            local.answers.set(false);
            let remote = ReaderPeer::start_in("away", "vm-remote", secret, node.ip(), 6).await;
            for peer in [&local, &remote] {
                // The stand-ins' copy has no targets.
                peer.announce_targets();
                peer.announce_configuration(2, &["key-1", "key-new"]);
            }
            wait_until("the node knows no target", async || {
                node.metric("damaskloom_targets").await == Some(0.0)
            })
            .await;
            wait_until("the announced configuration is applied", async || {
                let answer = node.send("GET", "/read/1", Some("key-new")).await;
                answer.body == "no-target"
            })
            .await;
            assert!(local.target_requests.get() > 0);
        },
    )
    .await;
}

/// Guards against a node that stays behind although it reaches the store, since it hears from a node that reads
/// the store for it and does not answer.
#[tokio::test]
async fn rows_are_read_from_the_store_while_no_peer_answers() {
    with_follower(7, |store, node, peer, target| async move {
        peer.answers.set(false);
        store.put("servers", "i-new", target.row("ready"));
        store.put("op", "config", configuration(2, &["key-1", "key-new"]));
        let stored = store.newest_version();
        peer.versions.set((stored, stored));
        wait_until("the new target is known", async || {
            node.metric("damaskloom_targets").await == Some(2.0)
        })
        .await;
        wait_until_key_works(&node, "key-new").await;
    })
    .await;
}

/// Guards against a withdrawn key that works on, since the node that reads the store for the others waits for
/// an answer and seems to read it all the while; and against further calls to the store while it does read it.
#[tokio::test]
async fn a_node_reads_the_store_once_the_reading_of_its_peer_is_old() {
    with_follower(11, |store, node, peer, _target| async move {
        peer.read_age_ms.set(Some(0));
        wait_without_feeds(&store).await;
        peer.read_age_ms.set(Some(60_000));
        store.put("op", "config", configuration(2, &["key-new"]));
        wait_until_key_works(&node, "key-new").await;
        let answer = node.send("GET", "/read/1", Some("key-1")).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    })
    .await;
}

/// Guards against an unsafe request to a target that has left, from a node that knows that it lacks rows of targets
/// and gets them neither from peers nor from the store.
#[tokio::test]
async fn unsafe_requests_go_only_to_targets_that_answer_while_rows_are_missing() {
    with_follower(8, |store, node, peer, target| async move {
        peer.answers.set(false);
        store.set_faults(PlatformFaults::refusing());
        peer.announce_targets();
        // A target that is asked meanwhile would show that it stays.
        wait_until(
            "rows are missing for half of the time to drain",
            async || node.metric("damaskloom_targets_lag_seconds").await >= Some(1.0),
        )
        .await;
        let refused = node.send("POST", "/book/1", Some("key-1")).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.body, "outdated-targets");
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(target.arrivals.get(), 0);
        wait_until("the target's answer shows that it stays", async || {
            let read = node.send("GET", "/read/1", Some("key-1")).await;
            let booking = node.send("POST", "/book/1", Some("key-1")).await;
            (read.status, booking.status) == (StatusCode::OK, StatusCode::OK)
        })
        .await;
    })
    .await;
}

/// Guards against a removed target that stays known since a peer of the build before answers: it cannot read
/// the query of this build, and sends its whole copy, which says nothing of removed rows.
#[tokio::test]
async fn an_answer_of_the_build_before_is_taken_for_its_whole_copy() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let peer = ReaderPeer::start(fleet_secret(&store), node.ip(), 4).await;
            // The stand-in's copy has no targets.
            peer.announce_targets();
            wait_until("the node knows no target", async || {
                node.metric("damaskloom_targets").await == Some(0.0)
            })
            .await;
        },
    )
    .await;
}

/// Returns the body of a node's answer to a request for rows.
async fn request_rows(node: &EntryNode, secret: &SharedSecret, request_target: &str) -> Bytes {
    let answer = ask_rows(node, secret, request_target).await;
    assert_eq!(answer.status(), StatusCode::OK);
    answer.into_body()
}

/// Returns a node's answer to a request for rows.
pub async fn ask_rows(
    node: &EntryNode,
    secret: &SharedSecret,
    request_target: &str,
) -> Response<Bytes> {
    let mut sender = connect((node.ip(), PEER_PORT).into()).await;
    let proof = proof(secret, [b"ask", request_target.as_bytes(), b""]);
    let request = Request::builder()
        .uri(request_target)
        .header("host", "node")
        .header("damaskloom-proof", proof)
        .body(Empty::<Bytes>::new())
        .expect("the parts are valid");
    let response = sender.send_request(request).await.expect("an answer");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("a whole answer").to_bytes();
    Response::from_parts(parts, body)
}

/// Guards against an answer that a node of the build before cannot read, and against one that does not tell
/// a node of this build whether it knows of all removals.
#[tokio::test]
async fn only_nodes_of_this_build_are_told_what_rows_stand_for() {
    with_node(
        &[TargetBehaviour::Succeeds],
        |store, node, _targets| async move {
            let secret = fleet_secret(&store);
            let earlier = request_rows(&node, &secret, "/rows/targets?0").await;
            let (answer, rest) =
                postcard::take_from_bytes::<RowsAnswer>(&earlier).expect("it can be decoded");
            assert_eq!((answer.rows.len(), rest.len()), (1, 0));
            let current = request_rows(&node, &secret, "/rows/targets?after=0").await;
            let (same, rest) =
                postcard::take_from_bytes::<RowsAnswer>(&current).expect("it can be decoded");
            assert_eq!(same.rows, answer.rows);
            let extent: RowExtent = postcard::from_bytes(rest).expect("it can be decoded");
            let unchanged = Vec::new();
            assert_eq!(extent, RowExtent::Table { unchanged });
        },
    )
    .await;
}
