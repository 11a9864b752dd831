//! Drives the state machines with timer ticks, configuration changes and messages from peers.

use std::sync::Arc;
use std::time::Duration;

use damaskloom_lib::ids::NodeId;
use damaskloom_lib::loan::EscrowMessage;
use serde::de::DeserializeOwned;
use tokio::time::MissedTickBehavior;

use crate::gateway::GatewayState;
use crate::health_monitor::ServiceMessage;
use crate::peer_codec::PeerTopic;
use crate::peer_link::PeerDelivery;

/// The interval at which claims are resent and timed out, in milliseconds.
const CLAIM_TICK_INTERVAL_MS: u64 = 20;
/// The interval at which evidence is exchanged and targets are evaluated, in milliseconds.
const HEALTH_TICK_INTERVAL_MS: u64 = 50;
/// The interval at which idle connections to targets are closed, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// Advances the timers of rates, slots and waiting requests until the task is aborted.
pub async fn run_rate_ticks(state: Arc<GatewayState>) {
    loop {
        state.tick_interval.next_tick().await;
        state.rates.tick();
        state.slots.tick();
        state.waiting.tick();
    }
}

/// Advances the timers of claims until the task is aborted.
pub async fn run_claim_ticks(state: Arc<GatewayState>) {
    run_every(CLAIM_TICK_INTERVAL_MS, || state.claims.tick()).await;
}

/// Evaluates targets until the task is aborted.
pub async fn run_health_ticks(state: Arc<GatewayState>) {
    run_every(HEALTH_TICK_INTERVAL_MS, || state.health.tick()).await;
}

/// Closes idle connections to targets, and advances the timers of the crash guard, until the task
/// is aborted.
pub async fn run_idle_ticks(state: Arc<GatewayState>) {
    run_every(IDLE_CHECK_INTERVAL_MS, || {
        state.targets.close_idle();
        state.crashes.tick();
    })
    .await;
}

/// Applies each new configuration to all parts until the task is aborted.
pub async fn run_config_changes(state: Arc<GatewayState>) {
    let mut revisions = state.config.subscribe();
    loop {
        state.refresh();
        if revisions.changed().await.is_err() {
            return;
        }
    }
}

async fn run_every(interval_ms: u64, mut act: impl FnMut()) {
    let mut interval = tokio::time::interval(Duration::from_millis(interval_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        act();
    }
}

/// Passes a message to the part of the request path that handles its topic; other topics are left
/// to the control plane.
///
/// A message that cannot be decoded is dropped: a peer of another version may have sent it.
pub fn dispatch(state: &GatewayState, delivery: &PeerDelivery) {
    match delivery.topic {
        PeerTopic::Shares => {
            decode_and_handle(delivery, |from, message: EscrowMessage| {
                handle_transfer(state, from, &message)
            });
        }
        PeerTopic::Evidence | PeerTopic::Ejection => {
            decode_and_handle(delivery, |from, message: ServiceMessage| {
                state.health.handle(from, message);
            });
        }
        PeerTopic::Claims => decode_and_handle(delivery, |from, message| {
            state.claims.handle(from, message);
        }),
        PeerTopic::Crash => decode_and_handle(delivery, |_, message| state.crashes.handle(message)),
        PeerTopic::Membership
        | PeerTopic::Freshness
        | PeerTopic::Distribution
        | PeerTopic::Epoch => {}
    }
}

fn handle_transfer(state: &GatewayState, from: &NodeId, message: &EscrowMessage) {
    state.rates.handle(from, message);
    let available = state.slots.handle(from, message);
    if let Some(target) = available.and_then(|id| state.config.target(&id)) {
        state.waiting.serve_queue(&target.service);
    }
}

/// Decodes a message and passes it to a handler; logs a message that cannot be decoded.
pub fn decode_and_handle<M: DeserializeOwned>(
    delivery: &PeerDelivery,
    act: impl FnOnce(&NodeId, M),
) {
    match serde_json::from_slice(&delivery.body) {
        Ok(message) => act(&delivery.from, message),
        Err(error) => {
            tracing::debug!(topic = ?delivery.topic, %error, "cannot decode peer message")
        }
    }
}
