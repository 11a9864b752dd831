//! A slot of a target that one exchange occupies.

use std::sync::Arc;

use damaskloom_lib::config::Target;
use damaskloom_lib::ids::{ServiceId, TargetId};
use damaskloom_lib::slot_pool::SlotTicket;

use crate::gateway::GatewayState;

/// Occupies a slot until it is dropped; then a request that waits here or on a peer gets the slot.
#[derive(Debug)]
pub struct SlotLease {
    state: Arc<GatewayState>,
    service: ServiceId,
    target: TargetId,
    ticket: Option<SlotTicket>,
}

impl SlotLease {
    /// Wraps the ticket of an occupied slot.
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
        // Requests that wait on this node come first; slots that they do not need go to peers.
        self.state.waiting.serve_queue(&self.service);
        self.state.slots.reclaim(&self.target);
    }
}
