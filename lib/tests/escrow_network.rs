//! A simulated network for escrow messages that delays, loses and duplicates them, on virtual time.

use std::collections::{BTreeMap, BTreeSet};

use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::loan::EscrowMessage;

const DELAY_MICROS: u64 = 1_500;
const LONGEST_DELAY_MICROS: u64 = 5_000_000;

/// The rates of faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetFaults {
    pub lost_percent: u64,
    pub duplicated_percent: u64,
    pub late_percent: u64,
}

#[derive(Default)]
pub struct EscrowNetwork {
    pub faults: NetFaults,
    /// Links, as sender and receiver, that lose all messages.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub sent: u64,
    queue: BTreeMap<(u64, u64), (usize, NodeId, EscrowMessage)>,
    number: u64,
    seed: u64,
}

impl EscrowNetwork {
    pub fn new(seed: u64) -> Self {
        let seed = seed | 1;
        Self {
            seed,
            ..Self::default()
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }

    pub fn send(&mut self, now: u64, link: (usize, usize), from: NodeId, message: EscrowMessage) {
        self.sent += 1;
        if self.blocked_links.contains(&link) || self.random(100) < self.faults.lost_percent {
            return;
        }
        let copies = 1 + u64::from(self.random(100) < self.faults.duplicated_percent);
        for _ in 0..copies {
            let is_late = self.random(100) < self.faults.late_percent;
            let extra = if is_late {
                self.random(LONGEST_DELAY_MICROS)
            } else {
                0
            };
            let at = now + DELAY_MICROS + extra;
            self.defer(at, link.1, from.clone(), message.clone());
        }
    }

    /// Delivers a message at a later time.
    pub fn defer(&mut self, at: u64, to: usize, from: NodeId, message: EscrowMessage) {
        self.number += 1;
        self.queue.insert((at, self.number), (to, from, message));
    }

    pub fn next_at(&self) -> Option<u64> {
        self.queue.first_key_value().map(|(key, _)| key.0)
    }

    pub fn pop(&mut self) -> Option<(usize, NodeId, EscrowMessage)> {
        self.queue.pop_first().map(|(_, delivery)| delivery)
    }
}

pub fn node_id(index: usize, incarnation: u64) -> NodeId {
    NodeId {
        vm: format!("vm-{index}").parse().expect("the name is an id"),
        incarnation: Incarnation(incarnation),
    }
}
