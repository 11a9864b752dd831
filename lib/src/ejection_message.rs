//! What ejectors tell each other and ask of their shell.

use serde::{Deserialize, Serialize};

use crate::ejection_lease::GrantedEjection;
use crate::ids::{NodeId, TargetId};
use crate::verdict::SuspicionCause;

/// What nodes tell each other about ejections.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EjectionMessage {
    /// The sender's ejections changed; poll it.
    Announce,
    /// Asks for the ejections of the receiver.
    Poll {
        /// Numbers the polls of the sender.
        number: u64,
    },
    /// Lists all ejections of the sender.
    Grant {
        /// The number of the poll that this answers.
        number: u64,
        /// The ejections, each with its lease.
        #[serde(default)]
        ejections: Vec<GrantedEjection>,
    },
}

/// What the shell is to do for a [`TargetEjector`](crate::ejector::TargetEjector).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EjectionAction {
    /// Send the message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: EjectionMessage,
    },
    /// Ask the escrow for units; it answers by [`TargetEjector::add_units`](crate::ejector::TargetEjector::add_units).
    ClaimUnits(u32),
    /// Give units back to the escrow; the ejector no longer holds them.
    ReleaseUnits(u32),
    /// This node ejected the target.
    Ejected {
        /// The target.
        target: TargetId,
        /// What speaks against it.
        cause: SuspicionCause,
    },
    /// This node ended its ejection of the target.
    Lifted(TargetId),
}
