//! The link between gateways: messages and calls over capnp-rpc.
//!
//! The objects of capnp-rpc cannot move between threads, so the link runs on a thread of its own
//! and communicates with the rest of the process through bounded channels. Messages may be lost,
//! and every loss is counted: the state machines tolerate a network that loses messages, so that a
//! slow peer delays no other. See [docs/design/peer-link.md](../../docs/design/peer-link.md).

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::ids::{Epoch, Incarnation, NodeId, VmId};
use damaskloom_lib::units::ByteSize;
use indexmap::IndexMap;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::peer_codec::{EnvelopeHeader, PeerMessage, PeerTopic};
use crate::peer_dialer::{DialerPool, OutgoingCall, OutgoingMessage};
use crate::peer_faults::PeerFaults;
use crate::peer_listener::serve_listener;
pub use crate::peer_settings::PeerSettings;
pub use crate::peer_stream::PeerCounters;
use crate::peer_stream::{LinkCounters, count};

/// The reason why the link did not start, or why a call has no answer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The listener could not be opened.
    #[snafu(display("cannot listen for peers on {address}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The link's thread could not be started.
    #[snafu(display("cannot start the thread of the peer link"))]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The body is larger than a frame may be.
    #[snafu(display("a body of {size} is larger than a frame"))]
    TooLarge {
        /// The size of the body.
        size: ByteSize,
    },
    /// The queue to the link or to the peer is full.
    #[snafu(display("the queue to the peer is full"))]
    QueueFull,
    /// No answer arrived in time; the peer may have handled the call.
    #[snafu(display("no answer within {timeout:?}"))]
    Timeout {
        /// The time for which the caller waited.
        timeout: Duration,
    },
    /// The connection could not be made or was lost; the peer may have handled the call.
    #[snafu(display("the peer is not connected: {detail}"))]
    Disconnected {
        /// The error that was seen.
        detail: String,
    },
}

/// The recipient of a message.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PeerRecipient {
    /// The peer's VM.
    pub vm: VmId,
    /// The incarnation of the peer's process, if no other incarnation may receive the message.
    pub incarnation: Option<Incarnation>,
}

impl From<&NodeId> for PeerRecipient {
    fn from(node: &NodeId) -> Self {
        Self {
            vm: node.vm.clone(),
            incarnation: Some(node.incarnation),
        }
    }
}

impl From<&VmId> for PeerRecipient {
    fn from(vm: &VmId) -> Self {
        Self {
            vm: vm.clone(),
            incarnation: None,
        }
    }
}

/// The outcome of sending a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum SendOutcome {
    /// The message was queued, and may still be lost.
    Queued,
    /// The message is too large, or a queue is full; it was counted and dropped.
    Dropped,
}

/// A message from a peer.
#[derive(Clone, Debug)]
pub struct PeerDelivery {
    /// The authenticated sender.
    pub from: NodeId,
    /// The newest epoch that the sender had entered.
    pub epoch: Epoch,
    /// The topic of the message.
    pub topic: PeerTopic,
    /// A JSON document.
    pub body: Bytes,
}

/// A call from a peer; dropping it leaves the caller without an answer.
#[derive(Debug)]
pub struct PeerRequest {
    /// The message to answer.
    pub delivery: PeerDelivery,
    /// The channel for the answer.
    pub reply: oneshot::Sender<Bytes>,
}

/// The messages and calls that peers send to this process.
#[derive(Debug)]
pub struct PeerInbox {
    /// Messages.
    pub deliveries: mpsc::Receiver<PeerDelivery>,
    /// Calls.
    pub requests: mpsc::Receiver<PeerRequest>,
}

pub(crate) enum LinkCommand {
    Send(VmId, OutgoingMessage),
    Call(VmId, OutgoingCall),
}

type AddressBook = Mutex<IndexMap<VmId, SocketAddr>>;

/// The state that the threads of the process share with the link's thread.
#[derive(Debug)]
struct LinkShared {
    settings: PeerSettings,
    local_address: SocketAddr,
    addresses: AddressBook,
    epoch: AtomicU64,
    counters: Arc<LinkCounters>,
    faults: PeerFaults,
}

/// Sends messages and calls; it is cheap to clone, and the link stops when the last one is dropped.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    shared: Arc<LinkShared>,
    commands: mpsc::Sender<LinkCommand>,
}

impl PeerHandle {
    /// Returns the address on which this node listens for peers.
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local_address
    }

    /// Sets the address on which a VM listens for peers.
    pub fn set_address(&self, vm: VmId, address: SocketAddr) {
        lock(&self.shared.addresses).insert(vm, address);
    }

    /// Removes the address of a VM; messages to it are dropped from now on.
    pub fn remove_address(&self, vm: &VmId) {
        lock(&self.shared.addresses).swap_remove(vm);
    }

    /// Sets the newest epoch that this node has entered, which its envelopes state.
    pub fn set_epoch(&self, epoch: Epoch) {
        self.shared.epoch.fetch_max(epoch.0, Ordering::Relaxed);
    }

    /// Returns the link's counters.
    pub fn counters(&self) -> PeerCounters {
        self.shared.counters.snapshot()
    }

    /// Returns the fault hook.
    pub fn faults(&self) -> &PeerFaults {
        &self.shared.faults
    }

    /// Sends a message without waiting.
    pub fn send(&self, to: impl Into<PeerRecipient>, topic: PeerTopic, body: Bytes) -> SendOutcome {
        let to = to.into();
        let fits = self.check_size(&body).is_ok();
        let message = OutgoingMessage {
            incarnation: to.incarnation,
            message: PeerMessage { topic, body },
        };
        let command = LinkCommand::Send(to.vm, message);
        if fits && self.commands.try_send(command).is_ok() {
            SendOutcome::Queued
        } else {
            count(&self.shared.counters.dropped_out, 1);
            SendOutcome::Dropped
        }
    }

    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, a queue is full, the peer cannot be reached or no answer
    /// arrives in time. After the last two the peer may have handled the call.
    pub async fn call(
        &self,
        to: impl Into<PeerRecipient>,
        topic: PeerTopic,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        self.check_size(&body)?;
        let to = to.into();
        let (reply, answer) = oneshot::channel();
        let call = OutgoingCall {
            incarnation: to.incarnation,
            message: PeerMessage { topic, body },
            reply,
        };
        let command = LinkCommand::Call(to.vm, call);
        self.commands
            .try_send(command)
            .ok()
            .context(QueueFullSnafu)?;
        let answered = tokio::time::timeout(timeout, answer).await;
        let outcome = answered.ok().context(TimeoutSnafu { timeout })?;
        outcome.unwrap_or_else(|_| {
            DisconnectedSnafu {
                detail: "the link stopped",
            }
            .fail()
        })
    }

    fn check_size(&self, body: &Bytes) -> Result<(), PeerError> {
        let size = ByteSize(body.len() as u64);
        let limit = self.shared.settings.max_frame.0 / 2;
        ensure!(size.0 <= limit, TooLargeSnafu { size });
        Ok(())
    }
}

/// The part of the link that runs on its thread.
pub(crate) struct LinkCore {
    shared: Arc<LinkShared>,
    pub(crate) deliveries: mpsc::Sender<PeerDelivery>,
    pub(crate) requests: mpsc::Sender<PeerRequest>,
}

impl LinkCore {
    pub(crate) fn settings(&self) -> &PeerSettings {
        &self.shared.settings
    }

    pub(crate) fn counters(&self) -> &Arc<LinkCounters> {
        &self.shared.counters
    }

    pub(crate) fn faults(&self) -> &PeerFaults {
        &self.shared.faults
    }

    pub(crate) fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        lock(&self.shared.addresses).get(vm).copied()
    }

    pub(crate) fn header(&self, sequence: u64) -> EnvelopeHeader {
        EnvelopeHeader {
            version: self.shared.settings.protocol_version,
            sender: self.shared.settings.node.clone(),
            epoch: Epoch(self.shared.epoch.load(Ordering::Relaxed)),
            sequence,
        }
    }
}

/// Starts the peer link of a process.
#[derive(Clone, Copy, Debug)]
pub struct PeerLink;

impl PeerLink {
    /// Opens the listener and starts the link's thread.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or the thread cannot be started.
    pub fn start(settings: PeerSettings) -> Result<(PeerHandle, PeerInbox), PeerError> {
        let address = settings.listen;
        let listener = std::net::TcpListener::bind(address).context(ListenSnafu { address })?;
        Self::start_on(listener, settings)
    }

    /// Starts the link's thread on a listener that is already bound.
    ///
    /// A node binds it before it registers, so that its registration proves that no earlier start
    /// still listens there.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used or the thread cannot be started.
    pub fn start_on(
        listener: std::net::TcpListener,
        settings: PeerSettings,
    ) -> Result<(PeerHandle, PeerInbox), PeerError> {
        let address = settings.listen;
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { address })?;
        let local_address = listener.local_addr().context(ListenSnafu { address })?;
        let (commands, command_receiver) = mpsc::channel(settings.queue_messages);
        let (deliveries, delivery_receiver) = mpsc::channel(settings.queue_messages);
        let (requests, request_receiver) = mpsc::channel(settings.queue_messages);
        let shared = Arc::new(LinkShared {
            local_address,
            addresses: Mutex::default(),
            epoch: AtomicU64::new(0),
            counters: Arc::default(),
            faults: PeerFaults::new(settings.fault_seed),
            settings,
        });
        let core_shared = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let run = move || {
            let core = Rc::new(LinkCore {
                shared: core_shared,
                deliveries,
                requests,
            });
            LocalSet::new().block_on(&runtime, run_link(core, listener, command_receiver));
        };
        std::thread::Builder::new()
            .name("peer-link".to_owned())
            .spawn(run)
            .context(ThreadSnafu)?;
        let handle = PeerHandle { shared, commands };
        let inbox = PeerInbox {
            deliveries: delivery_receiver,
            requests: request_receiver,
        };
        Ok((handle, inbox))
    }
}

async fn run_link(
    core: Rc<LinkCore>,
    listener: std::net::TcpListener,
    mut commands: mpsc::Receiver<LinkCommand>,
) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::task::spawn_local(serve_listener(core.clone(), listener));
        }
        Err(error) => tracing::error!(%error, "cannot start the peer listener"),
    }
    let mut pool = DialerPool::new(core);
    while let Some(command) = commands.recv().await {
        match command {
            LinkCommand::Send(vm, message) => pool.send(vm, message),
            LinkCommand::Call(vm, call) => pool.call(vm, call),
        }
    }
}

fn lock(addresses: &AddressBook) -> std::sync::MutexGuard<'_, IndexMap<VmId, SocketAddr>> {
    addresses.lock().unwrap_or_else(PoisonError::into_inner)
}
