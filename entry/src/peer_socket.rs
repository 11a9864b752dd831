//! Sends and receives the datagrams between nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use damaskloom_lib::crash_guard::CrashAction;
use damaskloom_lib::entry_members::{HEARTBEAT_INTERVAL_MS, MessageStream};
use damaskloom_lib::entry_nodes::EntryNode;
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::fleet_rate::{RateReport, ReportFilter};
use damaskloom_lib::target_balancer::TargetCode;
use indexmap::IndexSet;
use tokio::net::UdpSocket;

use crate::entry_state::EntryState;
use crate::peer_wire::{CustomerCount, PeerEnvelope, PeerMessage, WireSign, decode, encode};

/// The interval at which nodes of a data centre that carry traffic tell each other their counts: about
/// the running time of a request.
const COUNTS: Duration = Duration::from_millis(100);
/// The interval at which they tell those of other data centres, which is priced: what they admit of a
/// customer meanwhile is within what the platform bears.
const FAR_COUNTS: Duration = Duration::from_millis(250);
/// The least time between two presence notes: changes that come in a row are told by one.
const PRESENCE_PAUSE: Duration = Duration::from_millis(50);
/// The interval at which late answers are looked for.
const LATE_LOOK: Duration = Duration::from_millis(50);
/// The interval at which a node with single requests tells what it admitted.
const IDLE_COUNTS: Duration = Duration::from_millis(1_000);
/// The pause after the socket failed.
const SOCKET_PAUSE: Duration = Duration::from_millis(250);
/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The socket between nodes.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    port: u16,
    number: Cell<u64>,
    near: RefCell<ReportFilter>,
    far: RefCell<ReportFilter>,
}

/// Which nodes a message of counts goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CountsReach {
    /// Those of the own data centre.
    Near,
    /// Those of other data centres.
    Far,
}

impl PeerSocket {
    /// Wraps a bound socket; peers listen on the same port.
    pub fn new(socket: UdpSocket, port: u16) -> Self {
        Self {
            socket,
            port,
            number: Cell::new(0),
            near: RefCell::default(),
            far: RefCell::default(),
        }
    }

    /// Tells others that the node is there, until the task is ended.
    pub async fn run_presence(&self, state: &EntryState) {
        loop {
            let entries = state.expected_entry_nodes().len();
            state.rates.borrow_mut().set_expected_peers(entries);
            state.choose_role();
            self.send_presence(state);
            let now = state.clock.now();
            for node in state.members.borrow_mut().tick(now) {
                tracing::info!(%node, "node fell silent");
            }
            state.crashes.borrow_mut().tick(now);
            state.pools.close_idle();
            let carrying = state.members.borrow().carrying(now).count();
            state.repeats.borrow_mut().set_node_count(carrying + 1);
            tokio::time::sleep(PRESENCE_PAUSE).await;
            tokio::select! {
                () = state.presence_due.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS) - PRESENCE_PAUSE) => {}
            }
        }
    }

    /// Tells the node's own data centre, and if it carries traffic everybody, that it is there.
    pub fn send_presence(&self, state: &EntryState) {
        let note = state.presence();
        let everybody = note.linked || note.carrying || state.is_entry() || state.is_leaving();
        let to: Vec<SocketAddr> = state
            .members
            .borrow()
            .iter()
            .filter(|(_, node)| {
                let near = node
                    .heartbeat
                    .as_ref()
                    .is_none_or(|other| other.data_centre == note.data_centre);
                near || everybody
            })
            .map(|(_, node)| SocketAddr::new(node.ip, self.port))
            .collect();
        self.send(state, &to, PeerMessage::Presence(note));
    }

    /// Tells nodes that carry traffic what runs here and was admitted, until the task is ended.
    pub async fn run_counts(&self, state: &EntryState) {
        let mut far_told_at = Instant::now();
        loop {
            let opening =
                state.rates.borrow().is_starting_up(state.clock.now()) && state.is_entry();
            self.send_counts(state, CountsReach::Near, opening);
            if opening || far_told_at.elapsed() >= FAR_COUNTS {
                far_told_at = Instant::now();
                self.send_counts(state, CountsReach::Far, opening);
            }
            let pause = if opening || state.is_carrying() {
                COUNTS
            } else {
                IDLE_COUNTS
            };
            tokio::select! {
                () = state.counts_due.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Sends counts; while the fleet opens also to entries that do not carry traffic yet, and even if
    /// there is nothing to tell, so that each one knows what the others admit.
    fn send_counts(&self, state: &EntryState, reach: CountsReach, opening: bool) {
        let now = state.clock.now();
        let filter = match reach {
            CountsReach::Near => &self.near,
            CountsReach::Far => &self.far,
        };
        let reports = filter.borrow_mut().drain_due(now, &state.rates.borrow());
        let customers: Vec<CustomerCount> = reports
            .into_iter()
            .map(|(customer, report)| CustomerCount {
                customer,
                admitted: report.admitted,
                demand_milli: (report.demand_per_s * 1_000.0) as u64,
            })
            .collect();
        let mut running = Vec::new();
        for board in state.boards.borrow().values() {
            running.extend(
                board
                    .running_counts()
                    .map(|(id, count)| (TargetCode::from(id), count)),
            );
        }
        // Nodes of other data centres may see a target otherwise: paths and faults can differ.
        let goods = match reach {
            CountsReach::Near => std::mem::take(&mut *state.goods.borrow_mut()),
            CountsReach::Far => IndexSet::new(),
        };
        if running.is_empty() && customers.is_empty() && goods.is_empty() && !opening {
            return;
        }
        let mut to = self.carrying(state, Some(reach));
        if opening {
            let others = state.expected_entry_nodes();
            let others = others
                .iter()
                .filter(|node| self.reaches(state, reach, node));
            let others = others.map(|node| SocketAddr::new(node.address.ip(), self.port));
            to.extend(others);
        }
        let message = PeerMessage::Counts {
            running,
            goods: goods.into_iter().collect(),
            customers,
        };
        self.send(state, &to, message);
    }

    fn reaches(&self, state: &EntryState, reach: CountsReach, node: &EntryNode) -> bool {
        let near = node.data_centre == state.settings().data_centre;
        near == (reach == CountsReach::Near)
    }

    /// Looks for late answers and tells others news of targets, until the task is ended.
    pub async fn run_signs(&self, state: &EntryState) {
        loop {
            if state.in_flight.get() > 0 {
                state.observe_late();
            }
            self.send_signs(state);
            let look = async {
                if state.in_flight.get() > 0 {
                    tokio::time::sleep(LATE_LOOK).await;
                } else {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                () = state.news_ready.notified() => {}
                () = look => {}
            }
        }
    }

    fn send_signs(&self, state: &EntryState) {
        let signs = std::mem::take(&mut *state.signs.borrow_mut());
        let crashes = std::mem::take(&mut *state.crash_news.borrow_mut());
        if signs.is_empty() && crashes.is_empty() {
            return;
        }
        let to = self.carrying(state, None);
        if !signs.is_empty() {
            let signs = signs
                .into_iter()
                .map(|(id, sign)| (id, wire_sign(sign)))
                .collect();
            self.send(state, &to, PeerMessage::Signs(signs));
        }
        for message in crashes {
            self.send(state, &to, PeerMessage::Crash(message));
        }
    }

    /// Returns the nodes that carry traffic, all or those within a reach.
    fn carrying(&self, state: &EntryState, reach: Option<CountsReach>) -> IndexSet<SocketAddr> {
        let own = state.settings().data_centre.clone();
        let members = state.members.borrow();
        let carrying = members.carrying(state.clock.now()).filter(|(_, node)| {
            let near = node
                .heartbeat
                .as_ref()
                .is_some_and(|note| note.data_centre == own);
            reach.is_none_or(|reach| near == (reach == CountsReach::Near))
        });
        carrying
            .map(|(_, node)| SocketAddr::new(node.ip, self.port))
            .collect()
    }

    fn send<'a>(
        &self,
        state: &EntryState,
        to: impl IntoIterator<Item = &'a SocketAddr>,
        message: PeerMessage,
    ) {
        let mut to = to.into_iter().peekable();
        let secret = state.secret.borrow().clone();
        let Some(secret) = secret.filter(|_| to.peek().is_some()) else {
            return;
        };
        self.number.set(self.number.get() + 1);
        let envelope = PeerEnvelope {
            from: state.settings().vm.clone(),
            started_at_ms: state.started_at_ms,
            number: self.number.get(),
            message,
        };
        match encode(&secret, &envelope) {
            Ok(datagram) => {
                for address in to {
                    // A datagram that cannot leave now is as good as a lost one.
                    let _ = self.socket.try_send_to(&datagram, *address);
                }
            }
            Err(error) => tracing::error!(%error, "peer message not written"),
        }
    }

    /// Takes in datagrams until the task is ended.
    pub async fn run_receive(&self, state: &EntryState) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.take(state, &buffer[..length], from),
                Err(error) => {
                    tracing::warn!(%error, "peer socket");
                    tokio::time::sleep(SOCKET_PAUSE).await;
                }
            }
        }
    }

    fn take(&self, state: &EntryState, datagram: &[u8], from: SocketAddr) {
        let secret = state.secret.borrow().clone();
        let Some(secret) = secret else {
            return;
        };
        let envelope = match decode(&secret, datagram) {
            Ok(envelope) => envelope,
            Err(error) => {
                tracing::debug!(%from, %error, "datagram dropped");
                return;
            }
        };
        let now = state.clock.now();
        let (vm, started) = (&envelope.from, envelope.started_at_ms);
        let lane = match envelope.message {
            PeerMessage::Presence(_) => MessageStream::Heartbeats,
            _ => MessageStream::Counts,
        };
        let numbered = (lane, envelope.number);
        let mut members = state.members.borrow_mut();
        let accepted = members.accept_message(now, vm, started, numbered, from.ip());
        drop(members);
        if !accepted {
            return;
        }
        self.take_message(state, envelope);
    }

    fn take_message(&self, state: &EntryState, envelope: PeerEnvelope) {
        let now = state.clock.now();
        let vm = envelope.from;
        match envelope.message {
            PeerMessage::Presence(note) => state.take_presence(&vm, note),
            PeerMessage::Counts {
                running,
                goods,
                customers,
            } => {
                for board in state.boards.borrow_mut().values_mut() {
                    board.record_peer_counts(now, &vm, &running);
                    board.record_peer_successes(now, &goods);
                }
                let mut rates = state.rates.borrow_mut();
                if !rates.has_seen_request() {
                    state.counts_due.notify_one();
                }
                rates.record_message(now, &vm);
                for count in customers {
                    let report = RateReport {
                        admitted: count.admitted,
                        demand_per_s: count.demand_milli as f64 / 1_000.0,
                    };
                    rates.record_report(now, &vm, &count.customer, report);
                }
            }
            PeerMessage::Signs(signs) => {
                for (id, sign) in &signs {
                    state.observe_peer(&vm, id, target_sign(*sign));
                }
            }
            PeerMessage::Crash(message) => {
                let actions = state.crashes.borrow_mut().handle_message(now, message);
                take_crash_actions(state, actions);
            }
        }
    }
}

/// Carries out what the guard against crashing requests asks for.
pub fn take_crash_actions(state: &EntryState, actions: Vec<CrashAction>) {
    for action in actions {
        match action {
            CrashAction::Send { message, .. } => {
                state.crash_news.borrow_mut().push(message);
                state.news_ready.notify_one();
            }
            CrashAction::Blocked(fingerprint) => {
                tracing::warn!(
                    customer = %fingerprint.customer,
                    route = %fingerprint.route,
                    digest = %fingerprint.digest,
                    "request takes targets down and is refused from now on"
                );
            }
            // The time until the target is back is covered by its failing connections.
            CrashAction::Exempt { .. } => {}
        }
    }
}

fn wire_sign(sign: FailureSignal) -> WireSign {
    match sign {
        FailureSignal::Good => WireSign::Good,
        FailureSignal::Failed => WireSign::Failed,
        FailureSignal::FailedAtOnce => WireSign::FailedAtOnce,
        FailureSignal::Late => WireSign::Late,
    }
}

fn target_sign(sign: WireSign) -> FailureSignal {
    match sign {
        WireSign::Good => FailureSignal::Good,
        WireSign::Failed => FailureSignal::Failed,
        WireSign::FailedAtOnce => FailureSignal::FailedAtOnce,
        WireSign::Late => FailureSignal::Late,
    }
}
