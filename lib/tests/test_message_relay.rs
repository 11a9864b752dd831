//! Tests how messages reach other data centres through relays, in a simulated fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use damaskloom_lib::entry_members::{EntryMembers, EntryPhase, MessageStream, NodeHeartbeat};
use damaskloom_lib::ids::{DataCentreId, VmId};
use damaskloom_lib::message_relay::{
    MessageAudience, MessageReach, MessageRelays, RelayCopies, RelayPlan, RelayScope,
};
use damaskloom_lib::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CENTRES: usize = 4;
const NODES: usize = 300;
const STEP_MS: u64 = 250;
/// When a third of the nodes dies, and when the test ends.
const DEATH_MS: u64 = 2_000;
const END_MS: u64 = 8_000;
/// When all nodes have noticed the deaths.
const NOTICED_MS: u64 = DEATH_MS + 2_600;
/// The time without a message after which a node is unresponsive.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_600;
const LOSS: f64 = 0.02;
/// The bytes of datagrams with their UDP and IP headers, and those that a relay's message adds, for
/// which `entry/tests/test_peer_relays.rs` checks the bound.
const COUNTS_BYTES: usize = 328;
const HEARTBEAT_BYTES: usize = 138;
const UPDATE_BYTES: usize = 128;
const RELAY_BYTES: usize = 72;

const REMOTE_CARRYING: MessageAudience = MessageAudience {
    scope: RelayScope::Carrying,
    reach: MessageReach::Remote,
};

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn vm(node: usize) -> VmId {
    format!("vm-{node}").parse().expect("a valid name")
}

fn centre(node: usize) -> DataCentreId {
    let name = format!("dc-{}", node % CENTRES);
    name.parse().expect("a valid name")
}

fn ip(node: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8))
}

fn node_at(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        IpAddr::V6(_) => unreachable!("the test's addresses are of version 4"),
    }
}

fn hear(members: &mut EntryMembers, now_ms: u64, node: usize) {
    let stream = (MessageStream::Heartbeats, now_ms + 1);
    assert!(members.accept_message(at(now_ms), &vm(node), 1, stream, ip(node)));
    let heartbeat = NodeHeartbeat {
        data_centre: centre(node),
        caller_address: SocketAddr::new(ip(node), 80),
        phase: EntryPhase::Serving,
        carrying: true,
        capacity_millicores: 100,
        linked: false,
        routing_version: 1.into(),
        targets_version: 1.into(),
    };
    members.record_heartbeat(&vm(node), heartbeat);
}

/// Returns the members as of time zero; those that `relays` selects have announced that they relay.
fn fleet(nodes: usize, relays: impl Fn(usize) -> bool) -> EntryMembers {
    let mut members = EntryMembers::default();
    for node in 0..nodes {
        hear(&mut members, 0, node);
        if relays(node) {
            members.record_relay(&vm(node));
        }
    }
    members
}

fn sent_bytes(plan: &RelayPlan, bytes: usize) -> usize {
    plan.remote.len() * bytes + plan.relays.len() * (bytes + RELAY_BYTES)
}

/// The deliveries of one kind of message in one phase of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Deliveries {
    due: u64,
    arrived: u64,
}

impl Deliveries {
    fn share(self) -> f64 {
        self.arrived as f64 / self.due as f64
    }
}

/// A fleet in which a third of the nodes dies, and each datagram may be lost.
struct FleetRun {
    rng: StdRng,
    origins: Vec<MessageRelays>,
    members: EntryMembers,
    /// When each node last got a message of each origin.
    last_arrivals: Vec<Vec<u64>>,
    longest_gap: u64,
    /// How often a live node seemed unresponsive to another one.
    timeouts: u64,
    bytes: usize,
}

impl FleetRun {
    fn new(relays: impl Fn(usize) -> bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(11),
            origins: (0..NODES)
                .map(|node| MessageRelays::new(&vm(node), centre(node)))
                .collect(),
            members: fleet(NODES, relays),
            last_arrivals: vec![vec![0; NODES]; NODES],
            longest_gap: 0,
            timeouts: 0,
            bytes: 0,
        }
    }

    fn is_live(now_ms: u64, node: usize) -> bool {
        now_ms < DEATH_MS || !node.is_multiple_of(3)
    }

    fn arrives(&mut self) -> bool {
        !self.rng.random_bool(LOSS)
    }

    fn send(
        &mut self,
        now_ms: u64,
        origin: usize,
        copies: RelayCopies,
        bytes: usize,
    ) -> Deliveries {
        let plan = self.origins[origin].plan(&self.members, at(now_ms), REMOTE_CARRYING, copies);
        self.bytes += sent_bytes(&plan, bytes);
        let mut got = vec![false; NODES];
        for ip in &plan.remote {
            got[node_at(*ip)] |= self.arrives();
        }
        for ip in &plan.relays {
            let relay = node_at(*ip);
            if !Self::is_live(now_ms, relay) || !self.arrives() {
                continue;
            }
            got[relay] = true;
            for node in (relay % CENTRES..NODES).step_by(CENTRES) {
                got[node] |= node != relay && self.arrives();
            }
        }
        let mut deliveries = Deliveries::default();
        for (node, got) in got.into_iter().enumerate() {
            if node % CENTRES == origin % CENTRES || !Self::is_live(now_ms, node) {
                continue;
            }
            deliveries.due += 1;
            if got {
                deliveries.arrived += 1;
                let last = &mut self.last_arrivals[origin][node];
                self.longest_gap = self.longest_gap.max(now_ms - *last);
                self.timeouts += u64::from(now_ms - *last >= HEARTBEAT_TIMEOUT_MS);
                *last = now_ms;
            }
        }
        deliveries
    }

    /// Runs the fleet; returns the shares of counts and updates that arrive before the deaths, until
    /// they are noticed, and afterwards.
    fn run(&mut self) -> [(f64, f64); 3] {
        let mut phases = [(Deliveries::default(), Deliveries::default()); 3];
        for now_ms in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
            for node in (0..NODES).filter(|node| Self::is_live(now_ms, *node)) {
                hear(&mut self.members, now_ms, node);
            }
            let phase = usize::from(now_ms >= DEATH_MS) + usize::from(now_ms >= NOTICED_MS);
            for origin in (0..NODES).filter(|node| Self::is_live(now_ms, *node)) {
                let counts = self.send(now_ms, origin, RelayCopies::Single, COUNTS_BYTES);
                phases[phase].0.due += counts.due;
                phases[phase].0.arrived += counts.arrived;
                if now_ms.is_multiple_of(1_000) {
                    self.send(now_ms, origin, RelayCopies::Single, HEARTBEAT_BYTES);
                    let update = self.send(now_ms, origin, RelayCopies::Doubled, UPDATE_BYTES);
                    phases[phase].1.due += update.due;
                    phases[phase].1.arrived += update.arrived;
                }
            }
        }
        phases.map(|(counts, updates)| (counts.share(), updates.share()))
    }
}

/// Guards against bytes between data centres that grow with the square of the nodes, and against a third
/// of the nodes that takes messages between the others with it.
#[test]
fn a_large_fleet_sends_a_tenth_of_the_bytes_and_loses_few_messages() {
    let mut direct = FleetRun::new(|_| false);
    let direct_shares = direct.run();
    let mut relayed = FleetRun::new(|_| true);
    let shares = relayed.run();
    println!("direct: {} bytes, shares {direct_shares:?}", direct.bytes);
    println!("relayed: {} bytes, shares {shares:?}", relayed.bytes);
    println!(
        "longest gaps: {} and {} ms",
        direct.longest_gap, relayed.longest_gap
    );
    assert!(relayed.bytes * 10 < direct.bytes);
    let [before, unnoticed, after] = shares;
    assert!(before.0 > 0.95 && before.1 > 0.97, "{before:?}");
    assert!(unnoticed.0 > 0.75 && unnoticed.1 > 0.9, "{unnoticed:?}");
    assert!(after.0 > 0.95 && after.1 > 0.97, "{after:?}");
    // No live node seems unresponsive to another one.
    assert!(relayed.longest_gap < HEARTBEAT_TIMEOUT_MS);
}

/// Guards against live nodes without requests that seem unresponsive, since all they send is heartbeats
/// and a third of the relays has died.
#[test]
fn heartbeats_alone_show_that_nodes_are_alive() {
    let timeouts = [false, true].map(|relays| {
        let mut fleet = FleetRun::new(|_| relays);
        for now_ms in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
            let live = |node: &usize| FleetRun::is_live(now_ms, *node);
            // Each node has its own second, as heartbeats are not sent in step.
            let due = |node: &usize| (now_ms / STEP_MS) as usize % 4 == node / CENTRES % 4;
            let origins: Vec<usize> = (0..NODES).filter(live).filter(due).collect();
            for node in &origins {
                hear(&mut fleet.members, now_ms, *node);
            }
            for node in origins {
                fleet.send(now_ms, node, RelayCopies::Doubled, HEARTBEAT_BYTES);
            }
        }
        fleet.timeouts
    });
    // Each node has 225 others in other data centres.
    println!(
        "timeouts of {} pairs: direct and relayed {timeouts:?}",
        NODES * 225
    );
    assert!(timeouts[1] < (NODES * 225 / 100) as u64);
}

/// Guards against nodes of the previous build that are left out, since they drop relayed messages and
/// relay none.
#[test]
fn nodes_that_do_not_relay_get_messages_directly() {
    let mut members = fleet(NODES, |node| node < NODES / 2);
    let mut relays = MessageRelays::new(&vm(0), centre(0));
    for now_ms in 0..50 {
        let plan = relays.plan(&members, at(now_ms), REMOTE_CARRYING, RelayCopies::Doubled);
        let mut direct: Vec<usize> = plan.remote.into_iter().map(node_at).collect();
        direct.sort_unstable();
        let expected = (NODES / 2..NODES).filter(|node| node % CENTRES != 0);
        assert!(direct.into_iter().eq(expected));
        assert_eq!(plan.relays.len(), 2 * (CENTRES - 1));
        assert!(plan.relays.into_iter().all(|ip| node_at(ip) < NODES / 2));
    }
    // A node that starts again may be of the previous build.
    let restart = (MessageStream::Heartbeats, 1);
    assert!(members.accept_message(at(60), &vm(1), 2, restart, ip(1)));
    let plan = relays.plan(&members, at(60), REMOTE_CARRYING, RelayCopies::Single);
    assert!(plan.relays.iter().all(|relay| *relay != ip(1)));
}

/// Guards against small fleets that depend on relays, and against messages that go nowhere once a data
/// centre is cut off, so that its nodes never hear that the cut has ended.
#[test]
fn few_or_unresponsive_nodes_get_messages_directly() {
    let audience = MessageAudience {
        scope: RelayScope::All,
        reach: MessageReach::Everywhere,
    };
    let mut relays = MessageRelays::new(&vm(NODES), centre(0));
    let small = fleet(20, |_| true);
    let plan = relays.plan(&small, at(10), audience, RelayCopies::Doubled);
    assert_eq!((plan.local.len(), plan.remote.len()), (5, 15));
    assert!(plan.relays.is_empty());
    let cut = fleet(NODES, |_| true);
    let plan = relays.plan(&cut, at(5_000), audience, RelayCopies::Doubled);
    assert_eq!((plan.local.len(), plan.remote.len()), (75, 225));
    assert!(plan.relays.is_empty());
}

/// Guards against updates that are dropped because a later one came through a faster relay, and against
/// those that are applied twice.
#[test]
fn updates_that_overtake_each_other_are_all_accepted_once() {
    let mut members = EntryMembers::default();
    let mut accept = |stream: MessageStream, sequence: u64| {
        members.accept_message(at(sequence), &vm(1), 5, (stream, sequence), ip(1))
    };
    for sequence in [200, 199, 73, 201, 150] {
        assert!(accept(MessageStream::Updates, sequence), "{sequence}");
        assert!(!accept(MessageStream::Updates, sequence), "{sequence}");
    }
    for sequence in [0, 72, 73, 199] {
        assert!(!accept(MessageStream::Updates, sequence), "{sequence}");
    }
    assert!(accept(MessageStream::Updates, 1 << 40));
    assert!(!accept(MessageStream::Updates, 202));
    for stream in [MessageStream::Counts, MessageStream::Heartbeats] {
        assert!(accept(stream, 9));
        assert!(!accept(stream, 8));
    }
}

/// Guards against a single relay that carries the load of many nodes, and against the relay of the last
/// message being used for the next one.
#[test]
fn relays_take_turns() {
    let members = fleet(NODES, |_| true);
    let mut uses = vec![0_u32; NODES];
    for origin in (0..NODES).step_by(CENTRES) {
        let mut relays = MessageRelays::new(&vm(origin), centre(origin));
        let mut last = Vec::new();
        for _ in 0..200 {
            let plan = relays.plan(&members, at(1), REMOTE_CARRYING, RelayCopies::Single);
            assert!(plan.relays.iter().all(|ip| !last.contains(ip)));
            for ip in &plan.relays {
                uses[node_at(*ip)] += 1;
            }
            last = plan.relays;
        }
    }
    let uses: Vec<u32> = (0..NODES)
        .filter(|node| node % CENTRES != 0)
        .map(|node| uses[node])
        .collect();
    println!(
        "uses of a relay: {:?} to {:?}",
        uses.iter().min(),
        uses.iter().max()
    );
    assert!(uses.iter().all(|uses| (100..=300).contains(uses)));
}
