//! Sends and receives the UDP datagrams between nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use damaskloom_lib::crash_guard::CrashAction;
use damaskloom_lib::entry_members::{HEARTBEAT_INTERVAL_MS, HeartbeatScope, MessageStream};
use damaskloom_lib::entry_nodes::EntryNode;
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::fleet_rate::{RateReport, ReportFilter};
use damaskloom_lib::target_balancer::TargetCode;
use damaskloom_lib::target_limits::LimitStatement;
use indexmap::IndexSet;
use tokio::net::UdpSocket;

use crate::entry_state::EntryState;
use crate::peer_wire::{
    CustomerCount, PeerEnvelope, PeerMessage, WireError, WireSignal, decode, encode,
};

/// The interval at which nodes of a data centre that carry traffic send each other counts: similar
/// to the running time of a request.
const LOCAL_COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of counts to nodes of other data centres. It is longer, since that traffic costs
/// money; what nodes admit for a customer within it stays below the excess that the platform
/// tolerates.
const REMOTE_COUNTS_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval between two heartbeats, so that one heartbeat covers a series of changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which running attempts are checked for late answers.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The delay of a periodic check from which on it is logged.
const LOGGED_LOOP_DELAY: Duration = Duration::from_millis(100);
/// The interval of counts from a node that does not carry traffic, which may admit single requests.
const IDLE_COUNTS_INTERVAL: Duration = Duration::from_millis(1_000);
/// The delay after an error of the socket.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(250);
/// The maximum number of statements about targets in a datagram, so that it fits into one packet.
const MAX_STATEMENTS: usize = 32;
/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The socket for datagrams between nodes.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    port: u16,
    sequence: Cell<u64>,
    heartbeat_scope: RefCell<HeartbeatScope>,
    local_reports: RefCell<ReportFilter>,
    remote_reports: RefCell<ReportFilter>,
}

/// The nodes that a message with counts is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CountsScope {
    /// The nodes of this node's data centre.
    Local,
    /// The nodes of other data centres.
    Remote,
}

impl PeerSocket {
    /// Wraps a bound socket; all nodes use the same port.
    pub fn new(socket: UdpSocket, port: u16) -> Self {
        Self {
            socket,
            port,
            sequence: Cell::new(0),
            heartbeat_scope: RefCell::default(),
            local_reports: RefCell::default(),
            remote_reports: RefCell::default(),
        }
    }

    /// Sends heartbeats and does periodic work, until the task is cancelled.
    pub async fn run_heartbeats(&self, state: &EntryState) {
        loop {
            let entries = state.expected_entry_nodes().len();
            state.rates.borrow_mut().set_expected_peers(entries);
            state.update_role();
            self.send_heartbeat(state);
            let now = state.clock.now();
            for node in state.members.borrow_mut().tick(now) {
                tracing::info!(%node, "node unresponsive");
            }
            state.crash_guard.borrow_mut().tick(now);
            state.target_pools.close_idle();
            state.helper_pools.close_idle();
            state.update_limits();
            state.update_warmups();
            let repeats = state.limits.borrow_mut().due_repeats(now);
            self.send_limits(state, &repeats);
            state.forget_departed_targets();
            self.send_leaving(state);
            state.set_repeat_share(entries);
            state.update_trial_nodes();
            log_repeats(state);
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            tokio::select! {
                () = state.heartbeat_due.notified() => {}
                () = tokio::time::sleep(
                    Duration::from_millis(HEARTBEAT_INTERVAL_MS) - MIN_HEARTBEAT_INTERVAL
                ) => {}
            }
        }
    }

    /// Sends a heartbeat to the nodes of the data centre; a node that reads the store, carries
    /// traffic, serves as an entry or is leaving sends it to all nodes.
    pub fn send_heartbeat(&self, state: &EntryState) {
        let heartbeat = state.heartbeat();
        let concerns_all =
            heartbeat.linked || heartbeat.carrying || state.is_entry() || state.is_leaving();
        let to_all = self.heartbeat_scope.borrow_mut().includes_all(concerns_all);
        let to: Vec<SocketAddr> = state
            .members
            .borrow()
            .iter()
            .filter(|(_, node)| {
                let is_local = node
                    .heartbeat
                    .as_ref()
                    .is_none_or(|other| other.data_centre == heartbeat.data_centre);
                is_local || to_all
            })
            .map(|(_, node)| SocketAddr::new(node.ip, self.port))
            .collect();
        self.send(state, &to, PeerMessage::Heartbeat(heartbeat));
    }

    /// Sends counts of running and admitted requests to the nodes that carry traffic, until the
    /// task is cancelled.
    pub async fn run_counts(&self, state: &EntryState) {
        let mut remote_sent_at = Instant::now();
        loop {
            let starting_up =
                state.rates.borrow().is_starting_up(state.clock.now()) && state.is_entry();
            self.send_counts(state, CountsScope::Local, starting_up);
            if starting_up || remote_sent_at.elapsed() >= REMOTE_COUNTS_INTERVAL {
                remote_sent_at = Instant::now();
                self.send_counts(state, CountsScope::Remote, starting_up);
            }
            let interval = if starting_up || state.is_carrying() {
                LOCAL_COUNTS_INTERVAL
            } else {
                IDLE_COUNTS_INTERVAL
            };
            tokio::select! {
                () = state.counts_due.notified() => {}
                () = tokio::time::sleep(interval) => {}
            }
        }
    }

    /// Sends counts. While the fleet starts up, they are also sent to entry nodes that do not carry
    /// traffic yet, and even if they are empty, so that each node knows what the others admit.
    fn send_counts(&self, state: &EntryState, scope: CountsScope, starting_up: bool) {
        let now = state.clock.now();
        let filter = match scope {
            CountsScope::Local => &self.local_reports,
            CountsScope::Remote => &self.remote_reports,
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
        for balancer in state.balancers.borrow().values() {
            running.extend(
                balancer
                    .running_counts()
                    .map(|(id, count)| (TargetCode::from(id), count)),
            );
        }
        // Successes are not sent to other data centres, since paths and faults can differ there.
        let successes = match scope {
            CountsScope::Local => std::mem::take(&mut *state.pending_successes.borrow_mut()),
            CountsScope::Remote => IndexSet::new(),
        };
        if running.is_empty() && customers.is_empty() && successes.is_empty() && !starting_up {
            return;
        }
        let mut to = self.carrying(state, Some(scope));
        if starting_up {
            let others = state.expected_entry_nodes();
            let others = others
                .iter()
                .filter(|node| self.is_in_scope(state, scope, node));
            let others = others.map(|node| SocketAddr::new(node.address.ip(), self.port));
            to.extend(others);
        }
        let message = PeerMessage::Counts {
            running,
            successes: successes.into_iter().collect(),
            customers,
        };
        self.send(state, &to, message);
    }

    fn is_in_scope(&self, state: &EntryState, scope: CountsScope, node: &EntryNode) -> bool {
        let is_local = node.data_centre == state.settings().data_centre;
        is_local == (scope == CountsScope::Local)
    }

    /// Detects late answers, and sends signals and crash messages to other nodes, until the task is
    /// cancelled.
    pub async fn run_signals(&self, state: &EntryState) {
        loop {
            if state.in_flight.get() > 0 {
                state.detect_late_answers();
            }
            self.send_signals(state);
            let next_check = async {
                if state.in_flight.get() > 0 {
                    let due = Instant::now() + LATE_CHECK_INTERVAL;
                    tokio::time::sleep_until(due.into()).await;
                    record_loop_delay(state, due.elapsed());
                } else {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                () = state.updates_due.notified() => {}
                () = next_check => {}
            }
        }
    }

    fn all_nodes(&self, state: &EntryState) -> Vec<SocketAddr> {
        let members = state.members.borrow();
        let nodes = members.iter();
        nodes
            .map(|(_, node)| SocketAddr::new(node.ip, self.port))
            .collect()
    }

    /// Sends statements about limits to all nodes, since each one may get requests.
    fn send_limits(&self, state: &EntryState, statements: &[LimitStatement]) {
        let to = self.all_nodes(state);
        for part in statements.chunks(MAX_STATEMENTS) {
            self.send(state, &to, PeerMessage::Limits(part.to_vec()));
        }
    }

    /// Tells all nodes which targets leave, since each one may get requests.
    fn send_leaving(&self, state: &EntryState) {
        let now = state.clock.now();
        let leaving = state.notices.borrow_mut().drain_tellings(now);
        for part in leaving.chunks(MAX_STATEMENTS) {
            let message = PeerMessage::Leaving(part.to_vec());
            self.send(state, &self.all_nodes(state), message);
        }
    }

    fn send_signals(&self, state: &EntryState) {
        self.send_leaving(state);
        let limits = state.limits.borrow_mut().drain_changes(state.clock.now());
        self.send_limits(state, &limits);
        let outdated = std::mem::take(&mut *state.pending_outdated.borrow_mut());
        for part in outdated.chunks(MAX_STATEMENTS) {
            let message = PeerMessage::Outdated(part.to_vec());
            self.send(state, &self.all_nodes(state), message);
        }
        let signals = std::mem::take(&mut *state.pending_signals.borrow_mut());
        let crashes = std::mem::take(&mut *state.pending_crash_messages.borrow_mut());
        if signals.is_empty() && crashes.is_empty() {
            return;
        }
        let to = self.carrying(state, None);
        if !signals.is_empty() {
            let signals = signals
                .into_iter()
                .map(|(id, signal)| (id, wire_signal(signal)))
                .collect();
            self.send(state, &to, PeerMessage::Signals(signals));
        }
        for message in crashes {
            self.send(state, &to, PeerMessage::Crash(message));
        }
    }

    /// Returns the addresses of the nodes that carry traffic, within a scope if one is given.
    fn carrying(&self, state: &EntryState, scope: Option<CountsScope>) -> IndexSet<SocketAddr> {
        let own = state.settings().data_centre.clone();
        let members = state.members.borrow();
        let carrying = members.carrying(state.clock.now()).filter(|(_, node)| {
            let is_local = node
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.data_centre == own);
            scope.is_none_or(|scope| is_local == (scope == CountsScope::Local))
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
        self.sequence.set(self.sequence.get() + 1);
        let envelope = PeerEnvelope {
            from: state.settings().vm.clone(),
            started_at_ms: state.started_at_ms,
            sequence: self.sequence.get(),
            message,
        };
        match encode(&secret, &envelope) {
            Ok(datagram) => {
                for address in to {
                    // A datagram that cannot be sent now is treated as lost.
                    let _ = self.socket.try_send_to(&datagram, *address);
                }
            }
            Err(error) => tracing::error!(%error, "failed to encode peer message"),
        }
    }

    /// Receives datagrams until the task is cancelled.
    pub async fn run_receive(&self, state: &EntryState) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(state, &buffer[..length], from),
                Err(error) => {
                    tracing::warn!(%error, "failed to receive from peer socket");
                    tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                }
            }
        }
    }

    fn receive(&self, state: &EntryState, datagram: &[u8], from: SocketAddr) {
        let secret = state.secret.borrow().clone();
        let Some(secret) = secret else {
            return;
        };
        let envelope = match decode(&secret, datagram) {
            Ok(envelope) => envelope,
            Err(error) => {
                tracing::debug!(%from, %error, "datagram dropped");
                if matches!(error, WireError::BadTag) {
                    state.secret_doubted.notify_one();
                }
                return;
            }
        };
        let now = state.clock.now();
        let (vm, started) = (&envelope.from, envelope.started_at_ms);
        let stream = match envelope.message {
            PeerMessage::Heartbeat(_) => MessageStream::Heartbeats,
            _ => MessageStream::Counts,
        };
        let stream_sequence = (stream, envelope.sequence);
        let mut members = state.members.borrow_mut();
        let accepted = members.accept_message(now, vm, started, stream_sequence, from.ip());
        drop(members);
        if !accepted {
            return;
        }
        self.handle_message(state, envelope);
    }

    fn handle_message(&self, state: &EntryState, envelope: PeerEnvelope) {
        let now = state.clock.now();
        let vm = envelope.from;
        match envelope.message {
            PeerMessage::Heartbeat(heartbeat) => state.receive_heartbeat(&vm, heartbeat),
            PeerMessage::Counts {
                running,
                successes,
                customers,
            } => {
                for balancer in state.balancers.borrow_mut().values_mut() {
                    balancer.record_peer_counts(now, &vm, &running);
                    balancer.record_peer_successes(now, &successes);
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
            PeerMessage::Outdated(outdated) => {
                for outdated in &outdated {
                    state.apply_outdated(outdated, Some(&vm));
                }
            }
            PeerMessage::Leaving(starts) => {
                for start in &starts {
                    state.apply_leaving(start, Some(&vm));
                }
            }
            PeerMessage::Signals(signals) => {
                for (id, signal) in &signals {
                    state.apply_peer_signal(&vm, id, failure_signal(*signal));
                }
            }
            PeerMessage::Limits(statements) => state.apply_limit_statements(&vm, &statements),
            PeerMessage::Crash(message) => {
                let actions = state.crash_guard.borrow_mut().handle_message(now, message);
                apply_crash_actions(state, actions);
            }
        }
    }
}

/// Performs the actions of the crash guard.
pub fn apply_crash_actions(state: &EntryState, actions: Vec<CrashAction>) {
    for action in actions {
        match action {
            CrashAction::Send { message, .. } => {
                state.pending_crash_messages.borrow_mut().push(message);
                state.updates_due.notify_one();
            }
            CrashAction::Blocked(fingerprint) => {
                tracing::warn!(
                    customer = %fingerprint.customer,
                    route = %fingerprint.route,
                    digest = %fingerprint.digest,
                    "request crashes targets and is refused"
                );
            }
            // While the target is down, failing connections already keep requests away from it.
            CrashAction::Exempt { .. } => {}
        }
    }
}

/// Logs the repeats since the last call, for the share of the budget that the fleet uses.
fn log_repeats(state: &EntryState) {
    for (service, usage) in state.repeat_budget.borrow_mut().drain_usage() {
        let (requests, repeats) = (usage.requests, usage.repeats);
        tracing::info!(%service, requests, repeats, "repeats sent");
    }
}

/// Records how late a periodic check ran, and logs a long delay.
fn record_loop_delay(state: &EntryState, delay: Duration) {
    state.loop_delay.set(delay);
    if delay >= LOGGED_LOOP_DELAY {
        tracing::warn!(
            delay_ms = delay.as_millis() as u64,
            in_flight = state.in_flight.get(),
            connections = state.connections.get(),
            "event loop delayed"
        );
    }
}

fn wire_signal(signal: FailureSignal) -> WireSignal {
    match signal {
        FailureSignal::Good => WireSignal::Good,
        FailureSignal::Failed => WireSignal::Failed,
        FailureSignal::FailedAtOnce => WireSignal::FailedAtOnce,
        FailureSignal::Late => WireSignal::Late,
    }
}

fn failure_signal(signal: WireSignal) -> FailureSignal {
    match signal {
        WireSignal::Good => FailureSignal::Good,
        WireSignal::Failed => FailureSignal::Failed,
        WireSignal::FailedAtOnce => FailureSignal::FailedAtOnce,
        WireSignal::Late => FailureSignal::Late,
    }
}
