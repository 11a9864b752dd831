//! Queues messages and calls for each peer, and keeps a connection to it while there are any.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use capnp::Error;
use damaskloom_lib::ids::{Incarnation, VmId};
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::peer_codec::{MAX_ENVELOPE_MESSAGES, PeerMessage};
use crate::peer_connection::PeerConnection;
use crate::peer_link::{LinkCore, PeerError};
use crate::peer_stream::count;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const MIN_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 2_000;

/// A message that is to be sent to a peer.
pub(crate) struct OutgoingMessage {
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) message: PeerMessage,
}

/// A call that is to be sent to a peer.
pub(crate) struct OutgoingCall {
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) message: PeerMessage,
    pub(crate) reply: oneshot::Sender<Result<Bytes, PeerError>>,
}

/// The diallers of the peers that messages or calls are sent to.
pub(crate) struct DialerPool {
    core: Rc<LinkCore>,
    diallers: IndexMap<VmId, Rc<PeerDialer>>,
}

impl DialerPool {
    pub(crate) fn new(core: Rc<LinkCore>) -> Self {
        Self {
            core,
            diallers: IndexMap::new(),
        }
    }

    pub(crate) fn send(&mut self, vm: VmId, message: OutgoingMessage) {
        match self.dialler(vm) {
            Some(dialler) => dialler.push_message(message),
            None => count(&self.core.counters().dropped_out, 1),
        }
    }

    pub(crate) fn call(&mut self, vm: VmId, call: OutgoingCall) {
        match self.dialler(vm) {
            Some(dialler) => dialler.push_call(call),
            None => fail_call(call, "the peer's address is not known"),
        }
    }

    /// Returns the peer's dialler; starts a new one if there is none or it ended after an idle
    /// time.
    fn dialler(&mut self, vm: VmId) -> Option<Rc<PeerDialer>> {
        self.core.address_of(&vm)?;
        if let Some(dialler) = self
            .diallers
            .get(&vm)
            .filter(|dialler| !dialler.ended.get())
        {
            return Some(dialler.clone());
        }
        self.diallers.retain(|_, dialler| !dialler.ended.get());
        let dialler = Rc::new(PeerDialer::new(self.core.clone(), vm.clone()));
        spawn_local(run_dialler(dialler.clone()));
        self.diallers.insert(vm, dialler.clone());
        Some(dialler)
    }
}

/// Reports to the caller that its call was not sent.
pub(crate) fn fail_call(call: OutgoingCall, detail: &str) {
    // The caller may have given up; it needs no report then.
    let _ = call.reply.send(Err(PeerError::Disconnected {
        detail: detail.to_owned(),
    }));
}

/// The queued messages and calls for one peer.
struct PeerDialer {
    core: Rc<LinkCore>,
    vm: VmId,
    messages: RefCell<VecDeque<OutgoingMessage>>,
    calls: RefCell<VecDeque<OutgoingCall>>,
    work: Notify,
    urgent: Notify,
    ended: Cell<bool>,
}

impl PeerDialer {
    fn new(core: Rc<LinkCore>, vm: VmId) -> Self {
        Self {
            core,
            vm,
            messages: RefCell::default(),
            calls: RefCell::default(),
            work: Notify::new(),
            urgent: Notify::new(),
            ended: Cell::new(false),
        }
    }

    fn push_message(&self, message: OutgoingMessage) {
        if self.core.faults().drops_outgoing(&self.vm) {
            return;
        }
        let mut messages = self.messages.borrow_mut();
        if messages.len() >= self.core.settings().queue_messages {
            count(&self.core.counters().dropped_out, 1);
            return;
        }
        if !message.message.topic.is_batched() {
            self.urgent.notify_one();
        }
        messages.push_back(message);
        self.work.notify_one();
    }

    fn push_call(&self, call: OutgoingCall) {
        if self.core.faults().drops_outgoing(&self.vm) {
            // Holds the call until its timeout, as if its message had been lost.
            spawn_local(async move {
                let mut reply = call.reply;
                reply.closed().await;
            });
            return;
        }
        let mut calls = self.calls.borrow_mut();
        if calls.len() >= self.core.settings().queue_messages {
            fail_call(call, "too many calls are queued");
            return;
        }
        calls.push_back(call);
        self.work.notify_one();
        self.urgent.notify_one();
    }

    fn is_empty(&self) -> bool {
        self.messages.borrow().is_empty() && self.calls.borrow().is_empty()
    }

    fn has_urgent(&self) -> bool {
        let urgent = |message: &OutgoingMessage| !message.message.topic.is_batched();
        !self.calls.borrow().is_empty() || self.messages.borrow().iter().any(urgent)
    }

    /// Waits for work; returns whether there is any before the idle timeout.
    async fn wait_for_work(&self) -> bool {
        let idle = Duration::from_millis(self.core.settings().idle_timeout_ms);
        while self.is_empty() {
            if timeout(idle, self.work.notified()).await.is_err() {
                return !self.is_empty();
            }
        }
        if !self.has_urgent() {
            let window = Duration::from_millis(self.core.settings().batch_window_ms);
            let _ = timeout(window, self.urgent.notified()).await;
        }
        true
    }

    /// Removes the messages that fit into one envelope from the queue.
    fn drain_batch(&self) -> Vec<OutgoingMessage> {
        let limit = self.core.settings().max_frame.0 as usize / 2;
        let mut messages = self.messages.borrow_mut();
        let mut batch = Vec::new();
        let mut size = 0;
        while let Some(next) = messages.front() {
            size += next.message.body.len();
            if !batch.is_empty() && (size > limit || batch.len() >= MAX_ENVELOPE_MESSAGES as usize)
            {
                break;
            }
            batch.extend(messages.pop_front());
        }
        batch
    }

    /// Drops queued messages and calls, which would be outdated when the peer can be reached again.
    fn discard_queued(&self, detail: &str) {
        let dropped = std::mem::take(&mut *self.messages.borrow_mut());
        count(&self.core.counters().dropped_out, dropped.len() as u64);
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        calls.into_iter().for_each(|call| fail_call(call, detail));
    }
}

/// Sends queued messages and calls to one peer until the queues were empty for the idle timeout.
async fn run_dialler(dialler: Rc<PeerDialer>) {
    let mut link: Option<PeerConnection> = None;
    let mut backoff_ms = MIN_BACKOFF_MS;
    while dialler.wait_for_work().await {
        let address = dialler.core.address_of(&dialler.vm);
        link = link.filter(|link| link.is_usable() && Some(link.address) == address);
        if link.is_none() {
            match connect(&dialler, address).await {
                Ok(connection) => {
                    count(&dialler.core.counters().connects, 1);
                    backoff_ms = MIN_BACKOFF_MS;
                    link = Some(connection);
                }
                Err(error) => {
                    count(&dialler.core.counters().connect_failures, 1);
                    dialler.discard_queued(&error.to_string());
                    sleep(jittered(backoff_ms)).await;
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                }
            }
        }
        if let Some(link) = &link {
            send_queued(&dialler, link).await;
        }
    }
    dialler.ended.set(true);
}

fn jittered(backoff_ms: u64) -> Duration {
    Duration::from_millis(rand::random_range(backoff_ms / 2..=backoff_ms))
}

async fn send_queued(dialler: &PeerDialer, link: &PeerConnection) {
    let calls = std::mem::take(&mut *dialler.calls.borrow_mut());
    for call in calls {
        link.start_call(call);
    }
    let mut batch = dialler.drain_batch();
    let before = batch.len();
    batch.retain(|message| link.is_incarnation(message.incarnation));
    let misaddressed = before - batch.len();
    count(&dialler.core.counters().misaddressed, misaddressed as u64);
    if !batch.is_empty() {
        let messages: Vec<_> = batch.into_iter().map(|item| item.message).collect();
        link.deliver(&messages).await;
    }
}

async fn connect(
    dialler: &PeerDialer,
    address: Option<SocketAddr>,
) -> Result<PeerConnection, Error> {
    let address = address.ok_or_else(|| Error::failed("the address is not known".to_owned()))?;
    if dialler.core.faults().drops_all(&dialler.vm) {
        return Err(Error::disconnected("blocked by the fault hook".to_owned()));
    }
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    timeout(
        limit,
        PeerConnection::open(dialler.core.clone(), &dialler.vm, address),
    )
    .await
    .unwrap_or_else(|_| Err(Error::overloaded("connecting timed out".to_owned())))
}
