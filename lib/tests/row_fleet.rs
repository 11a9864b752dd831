//! A simulated fleet of nodes that fetch newer rows from each other, on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use damaskloom_lib::entry_nodes::rollout_step;
use damaskloom_lib::ids::VmId;
use damaskloom_lib::row_fetch::{
    FETCH_TIMEOUT_MS, FetchEnd, FetchStep, NewerPeer, PeerRank, RowFetcher,
};
use damaskloom_lib::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The tables whose changes spread: the routing and the targets.
pub const TABLES: usize = 2;
/// The number of round trips of a fetch: connecting, and the request with its answer.
const FETCH_ROUND_TRIPS: u64 = 2;
/// The round-trip time between two nodes whose links are not full, in milliseconds.
const ROUND_TRIP_MS: u64 = 3;
/// The time of an announcement on its way, in milliseconds.
const ANNOUNCEMENT_MS: u64 = 2;
/// The delay between the steps of a rollout, in milliseconds.
const STEP_DELAY_MS: u64 = 30;

/// A node of the fleet.
#[derive(Debug)]
pub struct RowNode {
    /// How much longer a round trip over the node's link takes, in milliseconds.
    pub link_delay_ms: u64,
    /// Whether fetches from this node are never answered.
    pub is_silent: bool,
    /// The node's data centre.
    pub data_centre: usize,
    versions: [u64; TABLES],
    fetchers: [RowFetcher; TABLES],
    /// The versions that the node's peers have announced to it.
    announced: Vec<[u64; TABLES]>,
    serving: usize,
    /// The largest number of peers that fetched from this node at the same time.
    pub max_serving: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum FleetEvent {
    Announce {
        to: usize,
        from: usize,
    },
    Wake {
        node: usize,
        table: usize,
    },
    FetchEnds {
        node: usize,
        table: usize,
        peer: usize,
        answered: bool,
    },
}

/// A fleet whose first node reads the store, and others that a test lets read it.
#[derive(Debug)]
pub struct RowFleet {
    /// The nodes; the first one reads the store.
    pub nodes: Vec<RowNode>,
    names: Vec<VmId>,
    events: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    now_ms: u64,
    sequence: u64,
    rng: SmallRng,
}

impl RowFleet {
    /// Makes a fleet in which all nodes have the same rows.
    pub fn new(seed: u64, count: usize) -> Self {
        let node = |_| RowNode {
            link_delay_ms: 0,
            is_silent: false,
            data_centre: 0,
            versions: [1; TABLES],
            fetchers: Default::default(),
            announced: vec![[1; TABLES]; count],
            serving: 0,
            max_serving: 0,
        };
        Self {
            nodes: (0..count).map(node).collect(),
            names: (0..count).map(vm_name).collect(),
            events: BinaryHeap::new(),
            now_ms: 1_000,
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the current time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of nodes that have a version of a table.
    pub fn count_with(&self, table: usize, version: u64) -> usize {
        let with = |node: &&RowNode| node.versions[table] >= version;
        self.nodes.iter().filter(with).count()
    }

    /// Lets the reader get a version of a table from the store.
    pub fn publish(&mut self, table: usize, version: u64) {
        self.publish_at(0, table, version);
    }

    /// Lets a node get a version of a table from the store.
    pub fn publish_at(&mut self, index: usize, table: usize, version: u64) {
        self.nodes[index].versions[table] = version;
        self.announce(index);
    }

    /// Runs the fleet until a time, in milliseconds.
    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= end_ms
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now_ms = at;
            self.handle(event);
        }
        self.now_ms = end_ms;
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Announce { to, from } => self.receive_announcement(to, from),
            FleetEvent::Wake { node, table } => self.step(node, table),
            FleetEvent::FetchEnds {
                node,
                table,
                peer,
                answered,
            } => {
                self.end_fetch(node, table, peer, answered);
            }
        }
    }

    fn receive_announcement(&mut self, to: usize, from: usize) {
        let versions = self.nodes[from].versions;
        self.nodes[to].announced[from] = versions;
        for (table, version) in versions.into_iter().enumerate() {
            if version > self.nodes[to].versions[table] {
                self.step(to, table);
            }
        }
    }

    fn step(&mut self, index: usize, table: usize) {
        loop {
            let now = MonoTime::from_millis(self.now_ms);
            let seed = self.rng.random();
            let node = &self.nodes[index];
            let own = node.versions[table];
            let announced = node.announced.iter().enumerate();
            let newer: Vec<usize> = announced
                .filter(|(_, versions)| versions[table] > own)
                .map(|(peer, _)| peer)
                .collect();
            let own_centre = node.data_centre;
            let newer_peer = |peer: &usize| NewerPeer {
                vm: self.names[*peer].clone(),
                rank: match self.nodes[*peer].data_centre == own_centre {
                    true => PeerRank::Local,
                    false => PeerRank::Remote,
                },
            };
            let newer_peers: Vec<NewerPeer> = newer.iter().map(newer_peer).collect();
            let node = &mut self.nodes[index];
            let initial_delay =
                Duration::from_millis(STEP_DELAY_MS * u64::from(rollout_step(index)));
            match node.fetchers[table].step(now, &newer_peers, initial_delay, seed) {
                FetchStep::Idle | FetchStep::AwaitFetch => return,
                FetchStep::WaitUntil(due) => {
                    let wait_ms = due.since(now).as_millis() as u64 + 1;
                    self.schedule(wait_ms, FleetEvent::Wake { node: index, table });
                    return;
                }
                FetchStep::Start(vm) => {
                    let found = newer.into_iter().find(|peer| self.names[*peer] == vm);
                    self.start_fetch(index, table, found.expect("a peer of the list"));
                }
            }
        }
    }

    fn start_fetch(&mut self, index: usize, table: usize, peer: usize) {
        let round_trip_ms =
            ROUND_TRIP_MS + self.nodes[index].link_delay_ms + self.nodes[peer].link_delay_ms;
        let taken_ms = round_trip_ms * FETCH_ROUND_TRIPS;
        let answered = !self.nodes[peer].is_silent && taken_ms < FETCH_TIMEOUT_MS;
        let server = &mut self.nodes[peer];
        server.serving += 1;
        server.max_serving = server.max_serving.max(server.serving);
        let event = FleetEvent::FetchEnds {
            node: index,
            table,
            peer,
            answered,
        };
        let wait_ms = if answered { taken_ms } else { FETCH_TIMEOUT_MS };
        self.schedule(wait_ms, event);
    }

    fn end_fetch(&mut self, index: usize, table: usize, peer: usize, answered: bool) {
        let now = MonoTime::from_millis(self.now_ms);
        let jitter = self.rng.random();
        self.nodes[peer].serving -= 1;
        let version = self.nodes[peer].versions[table];
        let node = &mut self.nodes[index];
        let end = match answered {
            false => FetchEnd::Failed,
            true if version > node.versions[table] => FetchEnd::Applied,
            true => FetchEnd::Unchanged,
        };
        node.fetchers[table].record_end(now, &self.names[peer], end, jitter);
        if end == FetchEnd::Applied {
            node.versions[table] = version;
            self.announce(index);
        }
        self.step(index, table);
    }

    fn announce(&mut self, from: usize) {
        for to in 0..self.nodes.len() {
            if to != from {
                // Only one direction of a full link is late.
                let delay_ms = ANNOUNCEMENT_MS + self.nodes[to].link_delay_ms;
                self.schedule(delay_ms, FleetEvent::Announce { to, from });
            }
        }
    }

    fn schedule(&mut self, wait_ms: u64, event: FleetEvent) {
        self.sequence += 1;
        let due = self.now_ms + wait_ms;
        self.events.push(Reverse((due, self.sequence, event)));
    }
}

fn vm_name(index: usize) -> VmId {
    format!("vm-{index:04}").parse().expect("a valid name")
}
