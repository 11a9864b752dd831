//! Accepts connections from peers, authenticates the peers and receives their messages.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use damaskloom_lib::generated::peer_capnp::{peer_gate, peer_session};
use damaskloom_lib::ids::NodeId;
use futures::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::peer_auth::{NONCE_BYTES, Nonce, ProofContext, ProofRole};
use crate::peer_codec::{
    PeerMessage, ReadEnvelope, read_envelope, read_node, versions_compatible, write_message,
};
use crate::peer_link::{LinkCore, PeerDelivery, PeerRequest};
use crate::peer_stream::{CountedStream, count};

const PROOF_TIMEOUT_MS: u64 = 2_000;
const ACCEPT_BACKOFF_MS: u64 = 50;
/// The factor by which an accepted connection may stay idle longer than a dialled one, so that the
/// dialling side closes first.
const IDLE_FACTOR: u32 = 3;

/// Accepts connections until the link stops.
pub(crate) async fn serve_listener(core: Rc<LinkCore>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(core.settings().max_connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            count(&core.counters().refused, 1);
            continue;
        };
        let core = core.clone();
        tokio::task::spawn_local(async move {
            serve_connection(core, stream).await;
            drop(slot);
        });
    }
}

/// Serves one connection until it ends, is not authenticated in time or stays idle.
async fn serve_connection(core: Rc<LinkCore>, stream: TcpStream) {
    let gate = Rc::new(GateState::new(core.clone()));
    let client: peer_gate::Client = capnp_rpc::new_client(PeerGate(gate.clone()));
    let network = server_network(&core, stream);
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    system.set_background_error_handler(|_| {});
    tokio::select! {
        _ = system => {}
        () = watch_connection(&core, &gate) => {}
    }
}

fn server_network(
    core: &LinkCore,
    stream: TcpStream,
) -> twoparty::VatNetwork<BufReader<impl futures::AsyncRead + Unpin + 'static>> {
    // Frames are written whole, so that waiting for more bytes would only delay them.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = CountedStream::new(reader.compat(), core.counters().clone());
    let writer = CountedStream::new(writer.compat_write(), core.counters().clone());
    twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        Side::Server,
        core.settings().reader_options(),
    )
}

/// Returns when the connection must be closed.
async fn watch_connection(core: &LinkCore, gate: &GateState) {
    sleep(Duration::from_millis(PROOF_TIMEOUT_MS)).await;
    if !gate.is_authenticated() {
        count(&core.counters().refused, 1);
        return;
    }
    let idle = Duration::from_millis(core.settings().idle_timeout_ms) * IDLE_FACTOR;
    loop {
        let idle_time = gate.last_activity.get().elapsed();
        if idle_time >= idle {
            return;
        }
        sleep(idle - idle_time).await;
    }
}

/// The state of the exchange of proofs.
enum HandshakeStep {
    AwaitingGreeting,
    Greeted(ProofContext),
    Authenticated,
    Refused,
}

struct GateState {
    core: Rc<LinkCore>,
    step: RefCell<HandshakeStep>,
    last_activity: Cell<Instant>,
}

impl GateState {
    fn new(core: Rc<LinkCore>) -> Self {
        Self {
            core,
            step: RefCell::new(HandshakeStep::AwaitingGreeting),
            last_activity: Cell::new(Instant::now()),
        }
    }

    fn is_authenticated(&self) -> bool {
        matches!(*self.step.borrow(), HandshakeStep::Authenticated)
    }

    /// Handles the greeting of the dialler; only one is accepted.
    fn greet(&self, dialler: NodeId, dialler_nonce: Nonce) -> Result<ProofContext, Error> {
        if !matches!(*self.step.borrow(), HandshakeStep::AwaitingGreeting) {
            return Err(Error::failed("greeted before".to_owned()));
        }
        let context = ProofContext {
            dialler,
            dialler_nonce,
            acceptor: self.core.settings().node.clone(),
            acceptor_nonce: rand::random(),
        };
        self.step.replace(HandshakeStep::Greeted(context.clone()));
        Ok(context)
    }

    /// Authenticates the dialler if its proof is correct; a wrong proof ends the exchange.
    fn authenticate(&self, proof: &[u8]) -> Result<NodeId, Error> {
        let step = self.step.replace(HandshakeStep::Refused);
        if let HandshakeStep::Greeted(context) = step {
            let secret = &self.core.settings().secret;
            if context.verify(ProofRole::Dialler, secret, proof) {
                self.step.replace(HandshakeStep::Authenticated);
                return Ok(context.dialler);
            }
        }
        Err(Error::failed("not proved".to_owned()))
    }
}

struct PeerGate(Rc<GateState>);

impl peer_gate::Server for PeerGate {
    async fn greet(
        self: Rc<Self>,
        params: peer_gate::GreetParams,
        mut results: peer_gate::GreetResults,
    ) -> Result<(), Error> {
        let greeting = params.get()?;
        let settings = self.0.core.settings();
        if !versions_compatible(settings.protocol_version, greeting.get_protocol_version()) {
            return Err(Error::failed("protocol versions too far apart".to_owned()));
        }
        let dialler = read_node(greeting.get_vm()?, greeting.get_incarnation())?;
        let nonce = read_nonce(greeting.get_nonce()?)?;
        let context = self.0.greet(dialler, nonce)?;
        let mut challenge = results.get();
        challenge.set_protocol_version(settings.protocol_version);
        challenge.set_vm(context.acceptor.vm.as_str());
        challenge.set_incarnation(context.acceptor.incarnation.0);
        challenge.set_nonce(&context.acceptor_nonce);
        challenge.set_proof(&context.prove(ProofRole::Acceptor, &settings.secret));
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: peer_gate::ProveParams,
        mut results: peer_gate::ProveResults,
    ) -> Result<(), Error> {
        let peer = self.0.authenticate(params.get()?.get_proof()?)?;
        let session = PeerSession {
            gate: self.0.clone(),
            peer,
            last_sequence: Cell::new(0),
        };
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// Reads a nonce.
pub(crate) fn read_nonce(raw: &[u8]) -> Result<Nonce, Error> {
    raw.try_into()
        .map_err(|_| Error::failed(format!("a nonce has {NONCE_BYTES} bytes")))
}

struct PeerSession {
    gate: Rc<GateState>,
    peer: NodeId,
    last_sequence: Cell<u64>,
}

impl PeerSession {
    /// Checks an envelope against the session; a peer cannot send in the name of another node.
    fn check(&self, envelope: &ReadEnvelope) -> Result<(), Error> {
        let core = &self.gate.core;
        let header = &envelope.header;
        if !versions_compatible(core.settings().protocol_version, header.version) {
            return Err(Error::failed("protocol versions too far apart".to_owned()));
        }
        if header.sender != self.peer {
            return Err(Error::failed(
                "the sender is not the proven peer".to_owned(),
            ));
        }
        if header.sequence <= self.last_sequence.get() {
            return Err(Error::failed("the sequence does not rise".to_owned()));
        }
        self.last_sequence.set(header.sequence);
        self.gate.last_activity.set(Instant::now());
        count(&core.counters().envelopes_in, 1);
        count(&core.counters().skipped, envelope.skipped);
        Ok(())
    }

    fn delivery(&self, envelope: &ReadEnvelope, message: PeerMessage) -> PeerDelivery {
        PeerDelivery {
            from: self.peer.clone(),
            epoch: envelope.header.epoch,
            topic: message.topic,
            body: message.body,
        }
    }

    fn receive_envelope(&self, params: &peer_session::DeliverParams) -> Result<(), Error> {
        let mut envelope = read_envelope(params.get()?)?;
        self.check(&envelope)?;
        for message in std::mem::take(&mut envelope.messages) {
            self.queue_delivery(self.delivery(&envelope, message));
        }
        Ok(())
    }

    fn receive_call(&self, params: &peer_session::CallParams) -> Result<PeerDelivery, Error> {
        let mut envelope = read_envelope(params.get()?)?;
        self.check(&envelope)?;
        match envelope.messages.pop() {
            Some(message) => Ok(self.delivery(&envelope, message)),
            None => Err(Error::unimplemented("unknown topic".to_owned())),
        }
    }

    fn queue_delivery(&self, delivery: PeerDelivery) {
        let core = &self.gate.core;
        if core.faults().drops_incoming(&self.peer.vm) {
            return;
        }
        let counter = match core.deliveries.try_send(delivery) {
            Ok(()) => &core.counters().messages_in,
            Err(_) => &core.counters().dropped_in,
        };
        count(counter, 1);
    }

    /// Passes a call to the process and waits for its answer.
    async fn answer(&self, delivery: PeerDelivery) -> Result<Bytes, Error> {
        let core = &self.gate.core;
        if core.faults().drops_incoming(&self.peer.vm) {
            return std::future::pending().await;
        }
        let (reply, answer) = oneshot::channel();
        let request = PeerRequest { delivery, reply };
        if core.requests.try_send(request).is_err() {
            count(&core.counters().dropped_in, 1);
            return Err(Error::overloaded("too many calls wait".to_owned()));
        }
        count(&core.counters().messages_in, 1);
        let limit = Duration::from_millis(core.settings().idle_timeout_ms);
        let answered = timeout(limit, answer).await;
        if core.faults().drops_outgoing(&self.peer.vm) {
            return std::future::pending().await;
        }
        match answered {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) | Err(_) => Err(Error::failed("the call was not answered".to_owned())),
        }
    }
}

/// Envelopes are checked when they arrive and not in the returned futures, which may run in another
/// order.
impl peer_session::Server for PeerSession {
    fn deliver(
        self: Rc<Self>,
        params: peer_session::DeliverParams,
        _: peer_session::DeliverResults,
    ) -> impl Future<Output = Result<(), Error>> + 'static {
        std::future::ready(self.receive_envelope(&params))
    }

    fn call(
        self: Rc<Self>,
        params: peer_session::CallParams,
        mut results: peer_session::CallResults,
    ) -> impl Future<Output = Result<(), Error>> + 'static {
        let received = self.receive_call(&params);
        async move {
            let delivery = received?;
            let topic = delivery.topic;
            let body = self.answer(delivery).await?;
            write_message(results.get(), &PeerMessage { topic, body });
            Ok(())
        }
    }
}
