//! A slot of a target in use by one exchange.

use std::sync::Arc;

use damaskloom_lib::config::Target;
use damaskloom_lib::ids::{ServiceId, TargetId};
use damaskloom_lib::slot_pool::SlotTicket;

use crate::gateway::GatewayState;

/// Holds a slot; when it is dropped, the slot goes to whoever waits for it, here or on a peer.
#[derive(Debug)]
pub struct SlotLease {
    state: Arc<GatewayState>,
    service: ServiceId,
    target: TargetId,
    ticket: Option<SlotTicket>,
}

impl SlotLease {
    /// Wraps a slot that was taken.
    pub fn new(state: &Arc<GatewayState>, target: &Target, ticket: SlotTicket) -> Self {
        Self {
            state: Arc::clone(state),
            service: target.service.clone(),
            target: target.id.clone(),
            ticket: Some(ticket),
        }
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        drop(self.ticket.take());
        // Requests that wait here come first; what they do not need goes to peers.
        self.state.waiting.serve_queue(&self.service);
        self.state.slots.reclaim(&self.target);
    }
}
