//! Sends datagrams to other nodes, directly or through relays, and forwards those of other nodes.
//!
//! See [docs/design/peer-relays.md](../../docs/design/peer-relays.md).

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};

use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::message_relay::{
    MessageAudience, MessageReach, MessageRelays, RelayCopies, RelayPlan, RelayScope,
};
use tokio::net::UdpSocket;

use crate::entry_state::EntryState;
use crate::peer_wire::{PeerEnvelope, PeerMessage, encode};
use crate::settings::EntrySettings;

/// The values of the label `path` of `damaskloom_peer_bytes`.
const LOCAL_PATH: &str = "local";
const REMOTE_PATH: &str = "remote";

/// Sends the datagrams of a node.
#[derive(Debug)]
pub struct PeerSender {
    socket: UdpSocket,
    port: u16,
    sequence: Cell<u64>,
    relays: RefCell<MessageRelays>,
}

impl PeerSender {
    /// Wraps a bound socket; all nodes use the same port.
    pub fn new(socket: UdpSocket, settings: &EntrySettings) -> Self {
        let relays = MessageRelays::new(&settings.vm, settings.data_centre.clone());
        Self {
            socket,
            port: settings.peer_port,
            sequence: Cell::new(0),
            relays: RefCell::new(relays),
        }
    }

    /// Receives a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the system reports an error of the socket.
    pub async fn recv_from(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    /// Sends a message to the nodes of the own data centre directly, and to others through relays where
    /// there are any.
    pub fn send(
        &self,
        state: &EntryState,
        audience: MessageAudience,
        copies: RelayCopies,
        message: PeerMessage,
    ) {
        let now = state.clock.now();
        let members = state.members.borrow();
        let mut relays = self.relays.borrow_mut();
        let plan = relays.plan(&members, now, audience, copies);
        drop(members);
        self.send_plan(state, &plan, audience.scope, message);
    }

    /// Sends a message to each of the given nodes directly. `reach` says on which side of the border
    /// between data centres they are.
    pub fn send_direct(
        &self,
        state: &EntryState,
        to: impl IntoIterator<Item = IpAddr>,
        reach: MessageReach,
        message: PeerMessage,
    ) {
        let to = to.into_iter().collect();
        let mut plan = RelayPlan::default();
        match reach {
            MessageReach::Local => plan.local = to,
            MessageReach::Remote | MessageReach::Everywhere => plan.remote = to,
        }
        self.send_plan(state, &plan, RelayScope::All, message);
    }

    fn send_plan(
        &self,
        state: &EntryState,
        plan: &RelayPlan,
        scope: RelayScope,
        message: PeerMessage,
    ) {
        let secret = state.secret.borrow().clone();
        let has_addressees =
            !(plan.local.is_empty() && plan.remote.is_empty() && plan.relays.is_empty());
        let Some(secret) = secret.filter(|_| has_addressees) else {
            return;
        };
        let kind = message.kind();
        let Some(datagram) = self.seal(state, &secret, message) else {
            return;
        };
        self.transmit(state, &datagram, &plan.local, kind, LOCAL_PATH);
        self.transmit(state, &datagram, &plan.remote, kind, REMOTE_PATH);
        if plan.relays.is_empty() {
            return;
        }
        let origin_ip = state.settings().ip;
        let relay = PeerMessage::Relay {
            scope,
            origin_ip,
            datagram,
        };
        if let Some(datagram) = self.seal(state, &secret, relay) {
            // The bytes count as those of the message that the relay forwards.
            self.transmit(state, &datagram, &plan.relays, kind, REMOTE_PATH);
        }
    }

    /// Forwards the datagram of a node of another data centre to the nodes of this one.
    pub fn forward(
        &self,
        state: &EntryState,
        scope: RelayScope,
        origin_ip: IpAddr,
        datagram: Vec<u8>,
    ) {
        let secret = state.secret.borrow().clone();
        let Some(secret) = secret else {
            return;
        };
        let own = state.settings().data_centre.clone();
        let now = state.clock.now();
        let to = scope.addressees(&state.members.borrow(), now, &own);
        if to.is_empty() {
            return;
        }
        let message = PeerMessage::Relayed {
            origin_ip,
            datagram,
        };
        let kind = message.kind();
        if let Some(datagram) = self.seal(state, &secret, message) {
            self.transmit(state, &datagram, &to, kind, LOCAL_PATH);
        }
    }

    fn seal(
        &self,
        state: &EntryState,
        secret: &SharedSecret,
        message: PeerMessage,
    ) -> Option<Vec<u8>> {
        self.sequence.set(self.sequence.get() + 1);
        let envelope = PeerEnvelope {
            from: state.settings().vm.clone(),
            started_at_ms: state.started_at_ms,
            sequence: self.sequence.get(),
            message,
        };
        encode(secret, &envelope)
            .inspect_err(|error| tracing::error!(%error, "failed to encode peer message"))
            .ok()
    }

    fn transmit(
        &self,
        state: &EntryState,
        datagram: &[u8],
        to: &[IpAddr],
        kind: &'static str,
        path: &'static str,
    ) {
        let mut bytes = 0;
        for ip in to {
            let address = SocketAddr::new(*ip, self.port);
            // A datagram that cannot be sent now is treated as lost.
            if let Ok(sent) = self.socket.try_send_to(datagram, address) {
                bytes += sent;
            }
        }
        state.meters.record_peer_bytes(kind, path, bytes);
    }
}
