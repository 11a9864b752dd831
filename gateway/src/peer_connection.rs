//! An authenticated connection to a peer, on the dialling side.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use damaskloom_lib::generated::peer_capnp::{peer_gate, peer_session};
use damaskloom_lib::ids::{Incarnation, NodeId, VmId};
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::peer_auth::{Nonce, ProofContext, ProofRole};
use crate::peer_codec::{
    EnvelopeHeader, PeerMessage, read_node, versions_compatible, write_envelope,
};
use crate::peer_dialer::{OutgoingCall, fail_call};
use crate::peer_link::{LinkCore, PeerError};
use crate::peer_listener::read_nonce;
use crate::peer_stream::{CountedStream, count};

const DELIVER_TIMEOUT_MS: u64 = 2_000;
const MAX_ENVELOPES_IN_FLIGHT: usize = 16;

/// An authenticated connection to a peer.
pub(crate) struct PeerConnection {
    core: Rc<LinkCore>,
    pub(crate) address: SocketAddr,
    peer: NodeId,
    session: peer_session::Client,
    sequence: Cell<u64>,
    in_flight: Arc<Semaphore>,
    broken: Rc<Cell<bool>>,
    system: AbortHandle,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.system.abort();
    }
}

impl PeerConnection {
    /// Connects and exchanges proofs; fails if a VM other than the expected one answers.
    pub(crate) async fn open(
        core: Rc<LinkCore>,
        expected: &VmId,
        address: SocketAddr,
    ) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await.map_err(to_rpc_error)?;
        stream.set_nodelay(true).map_err(to_rpc_error)?;
        let mut system = RpcSystem::new(Box::new(client_network(&core, stream)), None);
        system.set_background_error_handler(|_| {});
        let gate: peer_gate::Client = system.bootstrap(Side::Server);
        let broken = Rc::new(Cell::new(false));
        let broken_at_end = broken.clone();
        let task = spawn_local(async move {
            let _ = system.await;
            broken_at_end.set(true);
        });
        let guard = AbortGuard(Some(task.abort_handle()));
        let (peer, session) = authenticate(&core, expected, &gate).await?;
        Ok(Self {
            core,
            address,
            peer,
            session,
            sequence: Cell::new(0),
            in_flight: Arc::new(Semaphore::new(MAX_ENVELOPES_IN_FLIGHT)),
            broken,
            system: guard.disarm(),
        })
    }

    pub(crate) fn is_usable(&self) -> bool {
        !self.broken.get()
    }

    pub(crate) fn is_incarnation(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_none_or(|expected| expected == self.peer.incarnation)
    }

    fn next_header(&self) -> EnvelopeHeader {
        self.sequence.set(self.sequence.get() + 1);
        self.core.header(self.sequence.get())
    }

    /// Sends messages in one envelope; a background task awaits its confirmation.
    pub(crate) async fn deliver(&self, messages: &[PeerMessage]) {
        let number = messages.len() as u64;
        let limit = Duration::from_millis(DELIVER_TIMEOUT_MS);
        let permit = timeout(limit, self.in_flight.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = permit else {
            self.broken.set(true);
            count(&self.core.counters().dropped_out, number);
            return;
        };
        let mut request = self.session.deliver_request();
        write_envelope(request.get(), &self.next_header(), messages);
        count(&self.core.counters().envelopes_out, 1);
        let receipt = request.send().promise;
        let (core, broken) = (self.core.clone(), self.broken.clone());
        spawn_local(async move {
            let counter = match timeout(limit, receipt).await {
                Ok(Ok(_)) => &core.counters().messages_out,
                Ok(Err(_)) | Err(_) => {
                    broken.set(true);
                    &core.counters().unconfirmed
                }
            };
            count(counter, number);
            drop(permit);
        });
    }

    /// Sends a call; a background task awaits its answer until the caller gives up.
    pub(crate) fn start_call(&self, call: OutgoingCall) {
        if !self.is_incarnation(call.incarnation) {
            count(&self.core.counters().misaddressed, 1);
            fail_call(call, "another incarnation answers");
            return;
        }
        let mut request = self.session.call_request();
        write_envelope(request.get(), &self.next_header(), &[call.message]);
        count(&self.core.counters().envelopes_out, 1);
        let answer = request.send().promise;
        let (core, peer, mut reply) = (self.core.clone(), self.peer.clone(), call.reply);
        spawn_local(async move {
            let answered = tokio::select! {
                answered = answer => answered,
                () = reply.closed() => return,
            };
            if core.faults().drops_incoming(&peer.vm) {
                reply.closed().await;
                return;
            }
            let body = answered.and_then(|message| {
                let body = message.get()?.get_body()?;
                Ok(Bytes::copy_from_slice(body))
            });
            let outcome = body.map_err(|error| PeerError::Disconnected {
                detail: error.to_string(),
            });
            // The caller may have given up meanwhile; its answer is dropped then.
            let _ = reply.send(outcome);
        });
    }
}

/// Aborts a task when dropped, unless the guard was disarmed.
struct AbortGuard(Option<AbortHandle>);

impl AbortGuard {
    fn disarm(mut self) -> AbortHandle {
        self.0.take().expect("a guard is disarmed once")
    }
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

fn client_network(
    core: &LinkCore,
    stream: TcpStream,
) -> twoparty::VatNetwork<BufReader<impl futures::AsyncRead + Unpin + 'static>> {
    let (reader, writer) = stream.into_split();
    let reader = CountedStream::new(reader.compat(), core.counters().clone());
    let writer = CountedStream::new(writer.compat_write(), core.counters().clone());
    twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        Side::Client,
        core.settings().reader_options(),
    )
}

/// Exchanges proofs; the acceptor proves itself first.
async fn authenticate(
    core: &LinkCore,
    expected: &VmId,
    gate: &peer_gate::Client,
) -> Result<(NodeId, peer_session::Client), Error> {
    let settings = core.settings();
    let dialler_nonce: Nonce = rand::random();
    let mut request = gate.greet_request();
    let mut greeting = request.get();
    greeting.set_protocol_version(settings.protocol_version);
    greeting.set_vm(settings.node.vm.as_str());
    greeting.set_incarnation(settings.node.incarnation.0);
    greeting.set_nonce(&dialler_nonce);
    let response = request.send().promise.await?;
    let challenge = response.get()?;
    if !versions_compatible(settings.protocol_version, challenge.get_protocol_version()) {
        return Err(Error::failed("protocol versions too far apart".to_owned()));
    }
    let acceptor = read_node(challenge.get_vm()?, challenge.get_incarnation())?;
    let context = ProofContext {
        dialler: settings.node.clone(),
        dialler_nonce,
        acceptor,
        acceptor_nonce: read_nonce(challenge.get_nonce()?)?,
    };
    if !context.verify(
        ProofRole::Acceptor,
        &settings.secret,
        challenge.get_proof()?,
    ) {
        return Err(Error::failed(
            "the acceptor does not know the secret".to_owned(),
        ));
    }
    if context.acceptor.vm != *expected {
        let detail = format!("{} answers for {expected}", context.acceptor);
        return Err(Error::failed(detail));
    }
    let mut request = gate.prove_request();
    let proof = context.prove(ProofRole::Dialler, &settings.secret);
    request.get().set_proof(&proof);
    let response = request.send().promise.await?;
    Ok((context.acceptor, response.get()?.get_session()?))
}

fn to_rpc_error(error: std::io::Error) -> Error {
    Error::disconnected(error.to_string())
}
