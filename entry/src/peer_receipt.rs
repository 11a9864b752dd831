//! Receives the datagrams of other nodes and applies their messages.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::VmId;
use damaskloom_lib::message_relay::RelayScope;
use damaskloom_lib::rate_report::RateReport;

use crate::entry_state::EntryState;
use crate::peer_socket::PeerSocket;
use crate::peer_wire::{PeerEnvelope, PeerMessage, WireError, WireSignal, decode};

/// The delay after an error of the socket.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(250);
/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

impl PeerSocket {
    /// Receives datagrams until the task is cancelled.
    pub async fn run_receive(&self, state: &EntryState) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.sender.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(state, &buffer[..length], from),
                Err(error) => {
                    tracing::warn!(%error, "failed to receive from peer socket");
                    tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                }
            }
        }
    }

    fn receive(&self, state: &EntryState, datagram: &[u8], from: SocketAddr) {
        let Some(envelope) = accept(state, datagram, from.ip()) else {
            return;
        };
        match envelope.message {
            PeerMessage::Relay {
                scope,
                origin_ip,
                datagram,
            } => {
                if is_in_scope(state, scope) {
                    self.receive_relayed(state, &datagram, origin_ip);
                }
                self.sender.forward(state, scope, origin_ip, datagram);
            }
            PeerMessage::Relayed {
                origin_ip,
                datagram,
            } => self.receive_relayed(state, &datagram, origin_ip),
            message => self.handle_message(state, envelope.from, message),
        }
    }

    /// Handles a datagram that arrived inside another one, as if it came from its origin. Such a
    /// datagram is never forwarded again.
    fn receive_relayed(&self, state: &EntryState, datagram: &[u8], origin_ip: IpAddr) {
        if let Some(envelope) = accept(state, datagram, origin_ip) {
            self.handle_message(state, envelope.from, envelope.message);
        }
    }

    fn handle_message(&self, state: &EntryState, vm: VmId, message: PeerMessage) {
        let now = state.clock.now();
        match message {
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
            PeerMessage::Losses(losses) => state.apply_peer_losses(&vm, &losses),
            PeerMessage::Relays => {
                if state.members.borrow_mut().record_relay(&vm) {
                    tracing::debug!(node = %vm, "node relays messages");
                }
            }
            // Only the outermost message of a datagram is relayed.
            PeerMessage::Relay { .. } | PeerMessage::Relayed { .. } => {}
            PeerMessage::Readings(readings) => state.apply_readings(&vm, readings),
            PeerMessage::Limits(statements) => state.apply_limit_statements(&vm, &statements),
            PeerMessage::Crash(message) => {
                let actions = state.crash_guard.borrow_mut().handle_message(now, message);
                state.apply_crash_actions(actions);
            }
        }
    }
}

/// Decodes a datagram and checks that it is authentic, new and of the sender's newest start.
fn accept(state: &EntryState, datagram: &[u8], from: IpAddr) -> Option<PeerEnvelope> {
    let secret = state.secret.borrow().clone()?;
    let envelope = match decode(&secret, datagram) {
        Ok(envelope) => envelope,
        Err(error) => {
            tracing::debug!(%from, %error, "datagram dropped");
            if matches!(error, WireError::BadTag) {
                state.secret_doubted.notify_one();
            }
            return None;
        }
    };
    // A relay may send a node's own message back to it.
    if envelope.from == state.settings().vm {
        return None;
    }
    let (vm, started) = (&envelope.from, envelope.started_at_ms);
    let sequence = (envelope.message.stream(), envelope.sequence);
    let now = state.clock.now();
    let mut members = state.members.borrow_mut();
    let is_accepted = members.accept_message(now, vm, started, sequence, from);
    drop(members);
    is_accepted.then_some(envelope)
}

/// Returns whether this node is among those that a relayed message is for.
fn is_in_scope(state: &EntryState, scope: RelayScope) -> bool {
    match scope {
        RelayScope::All => true,
        RelayScope::Carrying => state.is_carrying(),
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
