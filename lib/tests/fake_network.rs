//! A simulated network with loss, delay, duplication and one-way partitions, and clocks that
//! differ, for a few instances of one state machine.

use std::collections::BTreeSet;
use std::sync::LazyLock;

use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::time::MonoTime;

/// A message in flight.
#[derive(Clone, Debug)]
pub struct InFlight<M> {
    pub due: u64,
    pub from: usize,
    pub to: usize,
    pub message: M,
}

/// The faults that affect the next messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    pub drop_one_in: u64,
    pub duplicate_one_in: u64,
    pub max_delay: u64,
}

/// The network between a few state machines, on virtual time in milliseconds.
#[derive(Clone, Debug)]
pub struct FakeNetwork<M> {
    pub in_flight: Vec<InFlight<M>>,
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub faults: NetworkFaults,
    state: u64,
}

impl<M: Clone> FakeNetwork<M> {
    pub fn new(seed: u64) -> Self {
        Self {
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            faults: NetworkFaults::default(),
            state: seed | 1,
        }
    }

    /// Returns the next number of the network's own xorshift sequence.
    pub fn draw(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state
    }

    fn hits(&mut self, one_in: u64) -> bool {
        one_in > 0 && self.draw().is_multiple_of(one_in)
    }

    pub fn send(&mut self, now: u64, from: usize, to: usize, message: M) {
        if self.blocked_links.contains(&(from, to)) || self.hits(self.faults.drop_one_in) {
            return;
        }
        let copies = 1 + usize::from(self.hits(self.faults.duplicate_one_in));
        for _ in 0..copies {
            let due = now + 1 + self.draw() % (self.faults.max_delay + 1);
            let message = message.clone();
            self.in_flight.push(InFlight {
                due,
                from,
                to,
                message,
            });
        }
    }

    /// Removes the messages that are due, in order of time.
    pub fn arrivals(&mut self, now: u64) -> Vec<InFlight<M>> {
        let mut due: Vec<_> = self
            .in_flight
            .extract_if(.., |flight| flight.due <= now)
            .collect();
        due.sort_by_key(|flight| flight.due);
        due
    }
}

/// The nodes of the tests, made only once because histories look them up often.
static NODES: LazyLock<Vec<NodeId>> = LazyLock::new(|| {
    let node = |index| NodeId {
        vm: format!("vm-{index}").parse().unwrap(),
        incarnation: Incarnation(1),
    };
    (0..64).map(node).collect()
});

/// Returns the node with an index.
pub fn node_id(index: usize) -> NodeId {
    NODES[index].clone()
}

/// Returns the index of a node's VM.
pub fn index_of(node: &NodeId) -> usize {
    let position = NODES.iter().position(|known| known.vm == node.vm);
    position.expect("the node belongs to the test")
}

/// Reads a node's clock, which has its own origin and runs up to 0.05% fast or slow.
pub fn clock_of(index: usize, now: u64) -> MonoTime {
    let micros = now * 1_000;
    let drift = micros / 2_000;
    let origin = 1_000_000_000 * (index as u64 + 1);
    match index % 3 {
        0 => MonoTime::from_micros(origin + micros),
        1 => MonoTime::from_micros(origin + micros + drift),
        _ => MonoTime::from_micros(origin + micros - drift),
    }
}
