//! Sends this node's heartbeats, counts and updates to other nodes.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use damaskloom_lib::entry_members::{HEARTBEAT_INTERVAL_MS, HeartbeatScope, NodeHeartbeat};
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::message_relay::{MessageAudience, MessageReach, RelayCopies, RelayScope};
use damaskloom_lib::rate_report::ReportFilter;
use damaskloom_lib::target_balancer::TargetCode;
use damaskloom_lib::target_limits::LimitStatement;
use damaskloom_lib::time::MonoTime;
use indexmap::IndexSet;
use tokio::net::UdpSocket;

use crate::entry_state::EntryState;
use crate::peer_sender::PeerSender;
use crate::peer_wire::{CustomerCount, PeerMessage, WireSignal};
use crate::settings::EntrySettings;

/// The interval at which nodes of a data centre that carry traffic send each other counts: similar
/// to the running time of a request.
const LOCAL_COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of counts to nodes of other data centres. It is longer, since that traffic costs
/// money; what nodes admit for a customer within it stays below the excess that the platform
/// tolerates.
const REMOTE_COUNTS_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval between two messages about lost requests: a quarter of the half-life with which they count.
const LOSSES_INTERVAL: Duration = Duration::from_millis(500);
/// The minimum interval between two heartbeats, so that one heartbeat covers a series of changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which running attempts are checked for late answers.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The delay of a periodic check from which on it is logged.
const LOGGED_LOOP_DELAY: Duration = Duration::from_millis(100);
/// The interval of counts from a node that does not carry traffic, which may admit single requests.
const IDLE_COUNTS_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval at which all nodes are told again that this one relays messages.
const RELAY_NOTICE_INTERVAL: Duration = Duration::from_secs(8);
/// The number of counts to other data centres since the last heartbeat from which on one copy of the
/// next heartbeat is enough: the counts show as well that the node is alive.
const COUNTS_FOR_SINGLE_HEARTBEAT: u32 = 2;
/// The maximum number of statements about targets in a datagram, so that it fits into one packet.
const MAX_STATEMENTS: usize = 32;
/// The audience of updates that each node needs, since each one may get requests.
const ALL_NODES: MessageAudience = MessageAudience {
    scope: RelayScope::All,
    reach: MessageReach::Everywhere,
};

/// The socket for datagrams between nodes.
#[derive(Debug)]
pub struct PeerSocket {
    pub(crate) sender: PeerSender,
    heartbeat_scope: RefCell<HeartbeatScope>,
    last_heartbeat: RefCell<Option<NodeHeartbeat>>,
    /// The number of counts to other data centres since the last heartbeat.
    counts_since_heartbeat: Cell<u32>,
    relay_notice_at: Cell<MonoTime>,
    local_reports: RefCell<ReportFilter>,
    remote_reports: RefCell<ReportFilter>,
}

impl PeerSocket {
    /// Wraps a bound socket; all nodes use the same port.
    pub fn new(socket: UdpSocket, settings: &EntrySettings) -> Self {
        Self {
            sender: PeerSender::new(socket, settings),
            heartbeat_scope: RefCell::default(),
            last_heartbeat: RefCell::default(),
            counts_since_heartbeat: Cell::new(0),
            relay_notice_at: Cell::default(),
            local_reports: RefCell::default(),
            remote_reports: RefCell::new(ReportFilter::repeating()),
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
        let reach = match to_all {
            true => MessageReach::Everywhere,
            false => MessageReach::Local,
        };
        let scope = RelayScope::All;
        let copies = self.heartbeat_copies(state, &heartbeat);
        let audience = MessageAudience { scope, reach };
        self.sender
            .send(state, audience, copies, PeerMessage::Heartbeat(heartbeat));
        self.announce_relay(state, audience);
    }

    /// Returns the number of relays for a heartbeat. A relay that has just failed must not make this
    /// node seem unresponsive, nor hide a change.
    fn heartbeat_copies(&self, state: &EntryState, heartbeat: &NodeHeartbeat) -> RelayCopies {
        let counts = self.counts_since_heartbeat.take();
        let last = self.last_heartbeat.replace(Some(heartbeat.clone()));
        let is_unchanged = last.as_ref() == Some(heartbeat);
        let members = state.members.borrow();
        let gets_counts =
            |other: &NodeHeartbeat| other.carrying || other.data_centre == heartbeat.data_centre;
        let all_get_counts = counts >= COUNTS_FOR_SINGLE_HEARTBEAT
            && members
                .responsive(state.clock.now())
                .all(|(_, node)| node.heartbeat.as_ref().is_some_and(gets_counts));
        if is_unchanged && all_get_counts {
            RelayCopies::Single
        } else {
            RelayCopies::Doubled
        }
    }

    /// Tells the nodes that get heartbeats that this one relays messages, as soon as it has read which
    /// nodes there are.
    fn announce_relay(&self, state: &EntryState, audience: MessageAudience) {
        if state.joined_at.get().is_none() {
            return;
        }
        let now = state.clock.now();
        let own = state.settings().data_centre.clone();
        let to_all = audience.reach == MessageReach::Everywhere;
        let new_nodes = state.members.borrow_mut().drain_relay_notices(&own, to_all);
        self.sender
            .send_direct(state, new_nodes, audience.reach, PeerMessage::Relays);
        if now.since(self.relay_notice_at.get()) >= RELAY_NOTICE_INTERVAL {
            self.relay_notice_at.set(now);
            self.sender
                .send(state, audience, RelayCopies::Doubled, PeerMessage::Relays);
        }
    }

    /// Tells the nodes of the data centre of each reading of the store, until the task is cancelled.
    pub async fn run_readings(&self, state: &EntryState) {
        let audience = MessageAudience {
            scope: RelayScope::All,
            reach: MessageReach::Local,
        };
        loop {
            state.readings_due.notified().await;
            let message = PeerMessage::Readings(state.table_readings());
            self.sender
                .send(state, audience, RelayCopies::Single, message);
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends counts of running and admitted requests to the nodes that carry traffic, until the
    /// task is cancelled.
    pub async fn run_counts(&self, state: &EntryState) {
        let mut remote_sent_at = Instant::now();
        let mut losses_sent_at = Instant::now();
        loop {
            state.update_partition();
            if losses_sent_at.elapsed() >= LOSSES_INTERVAL {
                losses_sent_at = Instant::now();
                self.send_losses(state);
            }
            let starting_up =
                state.rates.borrow().is_starting_up(state.clock.now()) && state.is_entry();
            self.send_counts(state, MessageReach::Local, starting_up);
            if starting_up || remote_sent_at.elapsed() >= REMOTE_COUNTS_INTERVAL {
                remote_sent_at = Instant::now();
                self.send_counts(state, MessageReach::Remote, starting_up);
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
    fn send_counts(&self, state: &EntryState, reach: MessageReach, starting_up: bool) {
        let now = state.clock.now();
        let filter = match reach {
            MessageReach::Local => &self.local_reports,
            MessageReach::Remote | MessageReach::Everywhere => &self.remote_reports,
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
        let successes = match reach {
            MessageReach::Local => std::mem::take(&mut *state.pending_successes.borrow_mut()),
            MessageReach::Remote | MessageReach::Everywhere => IndexSet::new(),
        };
        if running.is_empty() && customers.is_empty() && successes.is_empty() && !starting_up {
            return;
        }
        let message = PeerMessage::Counts {
            running,
            successes: successes.into_iter().collect(),
            customers,
        };
        if reach == MessageReach::Remote {
            let counts = self.counts_since_heartbeat.get();
            self.counts_since_heartbeat.set(counts.saturating_add(1));
        }
        if starting_up {
            // Relays and entry nodes without traffic may not know each other yet.
            let to = self.startup_addressees(state, reach);
            self.sender.send_direct(state, to, reach, message);
            return;
        }
        let scope = RelayScope::Carrying;
        let audience = MessageAudience { scope, reach };
        self.sender
            .send(state, audience, RelayCopies::Single, message);
    }

    /// Returns the nodes that carry traffic and the expected entry nodes on one side of the border
    /// between data centres.
    fn startup_addressees(&self, state: &EntryState, reach: MessageReach) -> IndexSet<IpAddr> {
        let own = state.settings().data_centre.clone();
        let is_in_reach = |is_local: bool| is_local == (reach == MessageReach::Local);
        let members = state.members.borrow();
        let carrying = members.carrying(state.clock.now()).filter(|(_, node)| {
            let heartbeat = node.heartbeat.as_ref();
            is_in_reach(heartbeat.is_some_and(|heartbeat| heartbeat.data_centre == own))
        });
        let mut to: IndexSet<IpAddr> = carrying.map(|(_, node)| node.ip).collect();
        drop(members);
        let expected = state.expected_entry_nodes();
        let expected = expected
            .iter()
            .filter(|node| is_in_reach(node.data_centre == own));
        to.extend(expected.map(|node| node.address.ip()));
        to
    }

    /// Tells the nodes that carry traffic how many requests of each service this node loses, if it loses any.
    fn send_losses(&self, state: &EntryState) {
        let audience = MessageAudience {
            scope: RelayScope::Carrying,
            reach: MessageReach::Everywhere,
        };
        for part in state.take_losses().chunks(MAX_STATEMENTS) {
            let message = PeerMessage::Losses(part.to_vec());
            self.sender
                .send(state, audience, RelayCopies::Single, message);
        }
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

    /// Sends an update, through two relays where it is relayed.
    fn send_update(&self, state: &EntryState, audience: MessageAudience, message: PeerMessage) {
        self.sender
            .send(state, audience, RelayCopies::Doubled, message);
    }

    /// Sends statements about limits to all nodes, since each one may get requests.
    fn send_limits(&self, state: &EntryState, statements: &[LimitStatement]) {
        for part in statements.chunks(MAX_STATEMENTS) {
            self.send_update(state, ALL_NODES, PeerMessage::Limits(part.to_vec()));
        }
    }

    /// Tells all nodes which targets leave, since each one may get requests.
    fn send_leaving(&self, state: &EntryState) {
        let now = state.clock.now();
        let leaving = state.notices.borrow_mut().drain_tellings(now);
        for part in leaving.chunks(MAX_STATEMENTS) {
            let message = PeerMessage::Leaving(part.to_vec());
            self.send_update(state, ALL_NODES, message);
        }
    }

    fn send_signals(&self, state: &EntryState) {
        self.send_leaving(state);
        let limits = state.limits.borrow_mut().drain_changes(state.clock.now());
        self.send_limits(state, &limits);
        let outdated = std::mem::take(&mut *state.pending_outdated.borrow_mut());
        for part in outdated.chunks(MAX_STATEMENTS) {
            let message = PeerMessage::Outdated(part.to_vec());
            self.send_update(state, ALL_NODES, message);
        }
        // A crashing request may come next to a node that has had few requests or none.
        for message in state.pending_crash_messages.take() {
            self.send_update(state, ALL_NODES, PeerMessage::Crash(message));
        }
        let signals = std::mem::take(&mut *state.pending_signals.borrow_mut());
        if signals.is_empty() {
            return;
        }
        let audience = MessageAudience {
            scope: RelayScope::Carrying,
            reach: MessageReach::Everywhere,
        };
        let signals = signals
            .into_iter()
            .map(|(id, signal)| (id, wire_signal(signal)))
            .collect();
        self.send_update(state, audience, PeerMessage::Signals(signals));
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
