//! Faults of the peer link that tests and trials set at run time.
//!
//! A message can be dropped by its sender and by its receiver, each with a probability per peer, so
//! that message loss and one-way partitions need no change of the network.

use std::sync::{Mutex, PoisonError};

use damaskloom_lib::ids::VmId;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The probabilities that a message between this node and one peer is dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerFault {
    /// The probability that a message to the peer is dropped, from 0 to 1.
    pub drop_outgoing: f64,
    /// The probability that a message from the peer is dropped, from 0 to 1.
    pub drop_incoming: f64,
}

impl PeerFault {
    /// Drops all messages to the peer; messages from it pass.
    pub const DROP_OUTGOING: Self = Self {
        drop_outgoing: 1.0,
        drop_incoming: 0.0,
    };
    /// Drops all messages from the peer; messages to it pass.
    pub const DROP_INCOMING: Self = Self {
        drop_outgoing: 0.0,
        drop_incoming: 1.0,
    };
    /// Drops all messages in both directions.
    pub const DROP_ALL: Self = Self {
        drop_outgoing: 1.0,
        drop_incoming: 1.0,
    };

    /// Makes a fault that drops messages in both directions with one probability.
    pub const fn loss(probability: f64) -> Self {
        Self {
            drop_outgoing: probability,
            drop_incoming: probability,
        }
    }
}

#[derive(Debug)]
struct FaultState {
    default: PeerFault,
    peers: IndexMap<VmId, PeerFault>,
    rng: SmallRng,
}

/// The faults of one node's peer link; none until a test sets one.
#[derive(Debug)]
pub struct PeerFaults(Mutex<FaultState>);

impl PeerFaults {
    /// Makes a set without faults; the seed determines which messages are dropped.
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(FaultState {
            default: PeerFault::default(),
            peers: IndexMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }))
    }

    /// Sets the fault of the path to one peer.
    pub fn set(&self, peer: VmId, fault: PeerFault) {
        self.with(|state| state.peers.insert(peer, fault));
    }

    /// Sets the fault of the paths to all peers that have no fault of their own.
    pub fn set_default(&self, fault: PeerFault) {
        self.with(|state| state.default = fault);
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.with(|state| {
            state.default = PeerFault::default();
            state.peers.clear();
        });
    }

    /// Decides at random whether a message to the peer is dropped.
    pub(crate) fn drops_outgoing(&self, peer: &VmId) -> bool {
        self.with(|state| {
            let probability = state.fault(peer).drop_outgoing;
            state.draw(probability)
        })
    }

    /// Decides at random whether a message from the peer is dropped.
    pub(crate) fn drops_incoming(&self, peer: &VmId) -> bool {
        self.with(|state| {
            let probability = state.fault(peer).drop_incoming;
            state.draw(probability)
        })
    }

    /// Returns whether all messages in both directions are dropped, so that connecting must fail
    /// too.
    pub(crate) fn drops_all(&self, peer: &VmId) -> bool {
        self.with(|state| {
            let fault = state.fault(peer);
            fault.drop_outgoing >= 1.0 && fault.drop_incoming >= 1.0
        })
    }

    fn with<T>(&self, act: impl FnOnce(&mut FaultState) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl FaultState {
    fn fault(&self, peer: &VmId) -> PeerFault {
        self.peers.get(peer).copied().unwrap_or(self.default)
    }

    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability.clamp(0.0, 1.0))
    }
}
