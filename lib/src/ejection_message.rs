//! Messages between ejectors, and the actions of an ejector.

use serde::{Deserialize, Serialize};

use crate::ejection_lease::GrantedEjection;
use crate::ids::{NodeId, TargetId};
use crate::verdict::SuspicionCause;

/// A message between nodes about ejections.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EjectionMessage {
    /// Announces that the sender's ejections changed, so that the receiver polls it.
    Announce,
    /// Requests the ejections of the receiver.
    Poll {
        /// The number of the poll, counted by the sender.
        number: u64,
    },
    /// Lists all ejections of the sender.
    Grant {
        /// The number of the answered poll.
        number: u64,
        /// The ejections, each with its lease.
        #[serde(default)]
        ejections: Vec<GrantedEjection>,
    },
}

/// An action that a [`TargetEjector`](crate::ejector::TargetEjector) requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EjectionAction {
    /// Send the message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: EjectionMessage,
    },
    /// Request units from the escrow; it answers with [`TargetEjector::add_units`](crate::ejector::TargetEjector::add_units).
    ClaimUnits(u32),
    /// Return units to the escrow; the ejector no longer holds them.
    ReleaseUnits(u32),
    /// This node ejected the target.
    Ejected {
        /// The target.
        target: TargetId,
        /// Why it was ejected.
        cause: SuspicionCause,
    },
    /// This node ended its ejection of the target.
    Lifted(TargetId),
}
