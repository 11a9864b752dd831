//! The peer link: proofs, hostile bytes, versions, one-way partitions, replaced processes and full
//! queues.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use damaskloom_gateway::peer_auth::{ProofContext, ProofRole, SharedSecret};
use damaskloom_gateway::peer_codec::{
    EnvelopeHeader, PeerMessage, PeerTopic, read_envelope, write_envelope,
};
use damaskloom_gateway::peer_faults::PeerFault;
use damaskloom_gateway::peer_link::{
    PeerDelivery, PeerError, PeerHandle, PeerInbox, PeerLink, PeerSettings, SendOutcome,
};
use damaskloom_lib::generated::peer_capnp::{envelope, peer_gate, peer_session};
use damaskloom_lib::ids::{Epoch, Incarnation, NodeId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Far longer than any step takes, so that only a fault reaches it.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

struct Node {
    id: NodeId,
    handle: PeerHandle,
    inbox: PeerInbox,
}

fn node_id(vm: &str, incarnation: u64) -> NodeId {
    NodeId {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn settings(vm: &str) -> PeerSettings {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    PeerSettings::new(node_id(vm, 1), listen, SharedSecret::new(*b"fleet secret"))
}

fn start(settings: PeerSettings) -> Node {
    let id = settings.node.clone();
    let (handle, inbox) = PeerLink::start(settings).unwrap();
    Node { id, handle, inbox }
}

fn exchange_addresses(a: &Node, b: &Node) {
    a.handle
        .set_address(b.id.vm.clone(), b.handle.local_address());
    b.handle
        .set_address(a.id.vm.clone(), a.handle.local_address());
}

fn pair() -> (Node, Node) {
    let (a, b) = (start(settings("vm-a")), start(settings("vm-b")));
    exchange_addresses(&a, &b);
    (a, b)
}

impl Node {
    fn send(&self, to: &Node, topic: PeerTopic, body: &'static str) -> SendOutcome {
        self.handle
            .send(&to.id, topic, Bytes::from_static(body.as_bytes()))
    }

    async fn receive(&mut self) -> PeerDelivery {
        let received = tokio::time::timeout(LONG_TIMEOUT, self.inbox.deliveries.recv()).await;
        received
            .expect("a delivery in time")
            .expect("a running link")
    }

    /// Sends until the first message arrives, for links that drop messages while they connect.
    async fn send_until_received(&self, to: &mut Node) -> PeerDelivery {
        loop {
            let _ = self.send(to, PeerTopic::Membership, "\"ping\"");
            let received = tokio::time::timeout(SHORT_TIMEOUT, to.inbox.deliveries.recv());
            if let Ok(delivery) = received.await {
                return delivery.expect("a running link");
            }
        }
    }
}

#[tokio::test]
async fn messages_and_calls_carry_the_authenticated_sender_and_its_epoch() {
    let (mut a, mut b) = pair();
    a.handle.set_epoch(Epoch(7));
    assert_eq!(a.send(&b, PeerTopic::Shares, "{}"), SendOutcome::Queued);
    let delivery = b.receive().await;
    assert_eq!((delivery.from, delivery.epoch), (a.id.clone(), Epoch(7)));
    assert_eq!(
        (delivery.topic, &delivery.body[..]),
        (PeerTopic::Shares, &b"{}"[..])
    );

    let caller = a.handle.clone();
    let to = b.id.clone();
    let call = tokio::spawn(async move {
        let body = Bytes::from_static(b"1");
        caller
            .call(&to, PeerTopic::Distribution, body, LONG_TIMEOUT)
            .await
    });
    let request = b.inbox.requests.recv().await.unwrap();
    assert_eq!(request.delivery.from, a.id);
    request.reply.send(Bytes::from_static(b"2")).unwrap();
    assert_eq!(call.await.unwrap().unwrap(), Bytes::from_static(b"2"));
    let _ = b.send(&a, PeerTopic::Epoch, "[]");
    assert_eq!(a.receive().await.from, b.id);
}

#[tokio::test]
async fn a_peer_without_the_secret_exchanges_no_messages() {
    let mut stranger = settings("vm-a");
    stranger.secret = SharedSecret::new(*b"guess");
    let (a, mut b) = (start(stranger), start(settings("vm-b")));
    exchange_addresses(&a, &b);
    for (from, to) in [(&a, &b.id), (&b, &a.id)] {
        let body = Bytes::from_static(b"1");
        let called = from
            .handle
            .call(to, PeerTopic::Claims, body, LONG_TIMEOUT)
            .await;
        assert!(
            matches!(called, Err(PeerError::Disconnected { .. })),
            "{called:?}"
        );
    }
    assert!(b.inbox.deliveries.try_recv().is_err());
    assert!(b.inbox.requests.try_recv().is_err());
}

#[tokio::test]
async fn random_and_hostile_bytes_do_not_affect_other_peers() {
    let (a, mut b) = pair();
    let mut rng = SmallRng::seed_from_u64(3);
    for round in 0_u32..64 {
        let mut stream = TcpStream::connect(b.handle.local_address()).await.unwrap();
        // One segment of 16 GiB, very many segments, or a frame of random words.
        let header: &[u8] = match round % 4 {
            0 => &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f],
            1 => &[0xff, 0xff, 0xff, 0xff],
            2 => &[0, 0, 0, 0, 16, 0, 0, 0],
            _ => &[],
        };
        let noise: Vec<u8> = (0..rng.random_range(1..4_096))
            .map(|_| rng.random())
            .collect();
        let bytes = [header, &noise].concat();
        // The listener may close while bytes are still being written.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let _ = tokio::time::timeout(SHORT_TIMEOUT, stream.read(&mut [0; 64])).await;
    }
    assert_eq!(a.send_until_received(&mut b).await.from, a.id);
}

/// Runs a test against a node with a client that sends raw protocol messages.
fn with_raw_client<T: Future>(node: &Node, test: impl FnOnce(peer_gate::Client) -> T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let address = node.handle.local_address();
        let stream = TcpStream::connect(address).await.unwrap();
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            capnp::message::ReaderOptions::new(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate = system.bootstrap(Side::Server);
        tokio::task::spawn_local(system);
        test(gate).await;
    });
}

async fn greet(gate: &peer_gate::Client, vm: &str, nonce: &[u8]) -> Result<Vec<u8>, capnp::Error> {
    let mut request = gate.greet_request();
    request.get().set_protocol_version(1);
    request.get().set_vm(vm);
    request.get().set_incarnation(1);
    request.get().set_nonce(nonce);
    let response = request.send().promise.await?;
    Ok(response.get()?.get_nonce()?.to_vec())
}

async fn prove(
    gate: &peer_gate::Client,
    proof: &[u8],
) -> Result<peer_session::Client, capnp::Error> {
    let mut request = gate.prove_request();
    request.get().set_proof(proof);
    request.send().promise.await?.get()?.get_session()
}

#[test]
fn a_session_is_given_only_after_one_complete_exchange() {
    let b = start(settings("vm-b"));
    with_raw_client(&b, |gate| async move {
        assert!(greet(&gate, "no/vm", &[1; 32]).await.is_err(), "a bad name");
        assert!(
            greet(&gate, "vm-a", &[1; 31]).await.is_err(),
            "a short nonce"
        );
        assert!(greet(&gate, "vm-a", &[1; 32]).await.is_ok());
        assert!(
            greet(&gate, "vm-a", &[2; 32]).await.is_err(),
            "a second greeting"
        );
        assert!(prove(&gate, &[7; 32]).await.is_err(), "a wrong proof");
        let again = greet(&gate, "vm-a", &[1; 32]).await;
        assert!(again.is_err(), "a greeting after a wrong proof");
    });
}

#[test]
fn an_authenticated_peer_sends_only_in_its_own_name_and_in_order() {
    let mut b = start(settings("vm-b"));
    let acceptor = b.id.clone();
    with_raw_client(&b, |gate| async move {
        let nonce = greet(&gate, "vm-a", &[1; 32]).await.unwrap();
        let context = ProofContext {
            dialler: node_id("vm-a", 1),
            dialler_nonce: [1; 32],
            acceptor,
            acceptor_nonce: nonce.try_into().unwrap(),
        };
        let proof = context.prove(ProofRole::Dialler, &SharedSecret::new(*b"fleet secret"));
        let session = prove(&gate, &proof).await.unwrap();
        let deliver = |vm: &str, sequence, version| {
            let mut request = session.deliver_request();
            let header = EnvelopeHeader {
                version,
                sender: node_id(vm, 1),
                epoch: Epoch(0),
                sequence,
            };
            let body = Bytes::from(sequence.to_string());
            let topic = PeerTopic::Epoch;
            write_envelope(request.get(), &header, &[PeerMessage { topic, body }]);
            request.send().promise
        };
        assert!(deliver("vm-c", 1, 1).await.is_err(), "another sender");
        assert!(deliver("vm-a", 1, 3).await.is_err(), "a version two away");
        assert!(deliver("vm-a", 2, 1).await.is_ok());
        assert!(deliver("vm-a", 2, 1).await.is_err(), "a repeated envelope");
        assert!(deliver("vm-a", 3, 2).await.is_ok());
    });
    let bodies = std::iter::from_fn(|| b.inbox.deliveries.try_recv().ok());
    let bodies: Vec<_> = bodies.map(|delivery| delivery.body).collect();
    assert_eq!(bodies, ["2", "3"]);
}

#[tokio::test]
async fn versions_one_apart_communicate_and_versions_two_apart_do_not() {
    let versioned = |vm, version| {
        let mut settings = settings(vm);
        settings.protocol_version = version;
        start(settings)
    };
    let (mut old, mut new, newest) = (
        versioned("vm-1", 1),
        versioned("vm-2", 2),
        versioned("vm-3", 3),
    );
    for (one, other) in [(&old, &new), (&old, &newest), (&new, &newest)] {
        exchange_addresses(one, other);
    }
    assert_eq!(old.send_until_received(&mut new).await.from, old.id);
    assert_eq!(new.send_until_received(&mut old).await.from, new.id);
    let body = Bytes::from_static(b"1");
    let called = old
        .handle
        .call(&newest.id, PeerTopic::Epoch, body, LONG_TIMEOUT)
        .await;
    assert!(
        matches!(called, Err(PeerError::Disconnected { .. })),
        "{called:?}"
    );
}

#[test]
fn messages_of_unknown_topics_are_skipped_and_the_others_are_read() {
    let mut builder = capnp::message::Builder::new_default();
    let mut root = builder.init_root::<envelope::Builder<'_>>();
    root.set_vm("vm-a");
    let mut messages = root.reborrow().init_messages(3);
    for (index, topic) in [(0, 1), (1, 999), (2, 9)] {
        messages.reborrow().get(index).set_topic(topic);
    }
    let read = read_envelope(root.into_reader()).unwrap();
    let topics: Vec<_> = read.messages.iter().map(|message| message.topic).collect();
    assert_eq!(
        (topics, read.skipped),
        (vec![PeerTopic::Membership, PeerTopic::Claims], 1)
    );
}

#[tokio::test]
async fn a_one_way_partition_stops_one_direction_only() {
    let (mut a, mut b) = pair();
    a.handle
        .faults()
        .set(b.id.vm.clone(), PeerFault::DROP_OUTGOING);
    let _ = a.send(&b, PeerTopic::Epoch, "\"lost\"");
    let body = Bytes::from_static(b"1");
    let called = a
        .handle
        .call(&b.id, PeerTopic::Claims, body, SHORT_TIMEOUT)
        .await;
    assert!(
        matches!(called, Err(PeerError::Timeout { .. })),
        "{called:?}"
    );
    let _ = b.send(&a, PeerTopic::Epoch, "\"passes\"");
    assert_eq!(&a.receive().await.body[..], b"\"passes\"");
    // Commands are handled in order: once this call has failed, the lost message has been dropped.
    let unknown = node_id("vm-none", 1);
    let called = a
        .handle
        .call(&unknown, PeerTopic::Claims, Bytes::new(), LONG_TIMEOUT)
        .await;
    assert!(
        matches!(called, Err(PeerError::Disconnected { .. })),
        "{called:?}"
    );
    a.handle.faults().clear();
    let _ = a.send(&b, PeerTopic::Epoch, "\"first\"");
    assert_eq!(&b.receive().await.body[..], b"\"first\"");
}

#[tokio::test]
async fn a_new_process_receives_no_message_for_the_process_that_it_replaced() {
    let (a, b) = pair();
    let mut replaced = settings("vm-b");
    replaced.node = node_id("vm-b", 2);
    let mut new = start(replaced);
    a.handle
        .set_address(b.id.vm.clone(), new.handle.local_address());
    let _ = a
        .handle
        .send(&b.id, PeerTopic::Shares, Bytes::from_static(b"\"old\""));
    let _ = a
        .handle
        .send(&b.id.vm, PeerTopic::Epoch, Bytes::from_static(b"\"any\""));
    assert_eq!(&new.receive().await.body[..], b"\"any\"");
    assert_eq!(a.handle.counters().misaddressed, 1);
    let body = Bytes::from_static(b"1");
    let called = a
        .handle
        .call(&b.id, PeerTopic::Claims, body, LONG_TIMEOUT)
        .await;
    assert!(
        matches!(called, Err(PeerError::Disconnected { .. })),
        "{called:?}"
    );
}

#[tokio::test]
async fn the_queue_for_a_peer_that_reads_nothing_is_bounded() {
    let unresponsive = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut bounded = settings("vm-a");
    bounded.queue_messages = 8;
    let a = start(bounded);
    let to = node_id("vm-silent", 1);
    a.handle
        .set_address(to.vm.clone(), unresponsive.local_addr().unwrap());
    while a.handle.counters().dropped_out == 0 {
        let _ = a
            .handle
            .send(&to, PeerTopic::Shares, Bytes::from_static(b"{}"));
        tokio::task::yield_now().await;
    }
    let body = Bytes::from(vec![0; 1 << 20]);
    let called = a
        .handle
        .call(&to, PeerTopic::Shares, body, LONG_TIMEOUT)
        .await;
    assert!(
        matches!(called, Err(PeerError::TooLarge { .. })),
        "{called:?}"
    );
}

#[test]
fn proofs_are_hmac_sha256() {
    let hex = |digest: [u8; 32]| digest.map(|byte| format!("{byte:02x}")).concat();
    // The second and the sixth case of RFC 4231.
    let short = SharedSecret::new(*b"Jefe").authenticate("what do ya want for nothing?");
    let expected = "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";
    assert_eq!(hex(short), expected);
    let message = "Test Using Larger Than Block-Size Key - Hash Key First";
    let long = SharedSecret::new([0xaa; 131]).authenticate(message);
    let expected = "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54";
    assert_eq!(hex(long), expected);
}
