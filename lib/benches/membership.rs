//! Measures the control cost of one node, the placement of customers, the movement of shares, and
//! policies for refreshing a proof.
//!
//! One node gets the messages that a fleet of the given size sends it. Only the bytes of the JSON
//! bodies are counted, without the overhead of the link.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use damaskloom_lib::directory::{
    DirectoryMember, DirectoryPlanner, DirectoryQuery, DirectorySettings, MemberStanding,
};
use damaskloom_lib::epoch::{EpochAction, EpochKeeper, EpochMessage, EpochRow, EpochSettings};
use damaskloom_lib::freshness::{
    FreshnessAction, FreshnessGuard, FreshnessMessage, FreshnessSettings,
};
use damaskloom_lib::ids::{CustomerId, DataCentreId, Epoch, Incarnation, NodeId};
use damaskloom_lib::membership::{
    MemberList, MembershipAction, MembershipMessage, MembershipSettings, ServingStatus,
};
use damaskloom_lib::registration::MemberRecord;
use damaskloom_lib::share_basis::holders;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::RequestRate;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FLEET_SIZES: [usize; 5] = [12, 24, 48, 96, 2_700];
const DATA_CENTRES: usize = 4;
const DURATION_S: u64 = 60;
const TICK_MS: u64 = 100;
const TICKS_PER_SECOND: u64 = 1_000 / TICK_MS;

fn node_id(index: usize) -> NodeId {
    NodeId {
        vm: format!("vm-{index:04}").parse().expect("a VM name"),
        incarnation: Incarnation(1),
    }
}

fn data_centre(index: usize) -> DataCentreId {
    format!("dc-{}", index % DATA_CENTRES)
        .parse()
        .expect("a data centre name")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
}

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        node: node_id(index),
        data_centre: data_centre(index),
        peer_address: address(index),
        caller_address: address(index),
        token: 0,
    }
}

/// The messages and bytes that one node sends and receives.
#[derive(Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

impl Traffic {
    fn add(&mut self, message: &impl serde::Serialize) {
        let body = serde_json::to_vec(message).expect("messages are plain data");
        self.messages += 1;
        self.bytes += body.len() as u64;
    }
}

/// Runs membership as in a steady fleet: all pings of the node are acknowledged, and it receives as
/// many pings as it sends.
///
/// Returns the time spent in the node's calls.
fn run_membership(members: usize, traffic: &mut Traffic) -> Duration {
    let settings = MembershipSettings::default();
    let probes = settings.probes as u64;
    let mut list = MemberList::new(settings, record(0), 1);
    list.set_registered((0..members).map(record));
    let mut busy = Duration::ZERO;
    for tick in 0..DURATION_S * TICKS_PER_SECOND {
        let now = MonoTime::from_millis(1 + tick * TICK_MS);
        let started = Instant::now();
        let mut actions = list.tick(now);
        busy += started.elapsed();
        if tick.is_multiple_of(TICKS_PER_SECOND) {
            for probe in 0..probes {
                let from = node_id(1 + (tick + probe) as usize % (members - 1));
                let ping = MembershipMessage::Ping {
                    seq: tick,
                    status: ServingStatus::Serving,
                    updates: Vec::new(),
                };
                traffic.add(&ping);
                let started = Instant::now();
                actions.extend(list.handle(now, &from, ping));
                busy += started.elapsed();
            }
        }
        for action in actions {
            let MembershipAction::Send { to, message } = action else {
                continue;
            };
            traffic.add(&message);
            if let MembershipMessage::Ping { seq, .. } = message {
                let ack = MembershipMessage::Ack {
                    seq,
                    status: ServingStatus::Serving,
                    updates: Vec::new(),
                };
                traffic.add(&ack);
                let started = Instant::now();
                list.handle(now, &to, ack);
                busy += started.elapsed();
            }
        }
    }
    busy
}

fn run_freshness(members: usize, traffic: &mut Traffic) -> Duration {
    let settings = FreshnessSettings::default();
    let pings = settings.steady_pings as u64;
    let mut guard = FreshnessGuard::new(settings, node_id(0), 1);
    guard.set_epoch(Epoch(1), (0..members).map(node_id));
    let mut busy = Duration::ZERO;
    for tick in 0..DURATION_S * TICKS_PER_SECOND {
        let now = MonoTime::from_millis(10_000 + tick * TICK_MS);
        let started = Instant::now();
        let mut actions = Vec::new();
        if tick.is_multiple_of(TICKS_PER_SECOND) {
            guard.record_read(now, Epoch(1));
            for ping in 0..pings {
                let from = node_id(1 + (tick + ping) as usize % (members - 1));
                let message = FreshnessMessage::Ping { id: tick };
                traffic.add(&message);
                actions.extend(guard.handle(now, &from, message));
            }
        }
        actions.extend(guard.tick(now));
        black_box(guard.check(now));
        busy += started.elapsed();
        for FreshnessAction::Send { to, message } in actions {
            traffic.add(&message);
            if let FreshnessMessage::Ping { id } = message {
                let ack = FreshnessMessage::Ack {
                    id,
                    proof_age_us: Some(1_234_567),
                    proof_epoch: Epoch(1),
                    entered: Epoch(1),
                };
                traffic.add(&ack);
                let started = Instant::now();
                guard.handle(now, &to, ack);
                busy += started.elapsed();
            }
        }
    }
    busy
}

fn run_epochs(members: usize, traffic: &mut Traffic) -> Duration {
    let mut keeper = EpochKeeper::new(EpochSettings::default(), node_id(0), 1);
    let row = EpochRow {
        epoch: Epoch(1),
        members: (0..members).map(record).collect(),
        previous: Vec::new(),
    };
    keeper.set_candidates(row.members.clone());
    keeper.handle(&node_id(1), EpochMessage::Row { row });
    let mut busy = Duration::ZERO;
    for tick in 0..DURATION_S * TICKS_PER_SECOND {
        let now = MonoTime::from_millis(1 + tick * TICK_MS);
        let started = Instant::now();
        let actions = keeper.tick(now);
        busy += started.elapsed();
        for action in actions {
            if let EpochAction::Send { message, .. } = action {
                // The node receives as many digests as it sends.
                traffic.add(&message);
                traffic.add(&message);
                let started = Instant::now();
                keeper.handle(&node_id(1), message);
                busy += started.elapsed();
            }
        }
    }
    busy
}

type ControlRun = fn(usize, &mut Traffic) -> Duration;

fn print_control_cost() {
    println!("control cost of one node in a steady fleet");
    println!("members  part        messages/s  body bytes/s  busy us/s");
    for members in FLEET_SIZES {
        let runs: [(&str, ControlRun); 3] = [
            ("membership", run_membership),
            ("freshness", run_freshness),
            ("epochs", run_epochs),
        ];
        for (part, run) in runs {
            let mut traffic = Traffic::default();
            let busy = run(members, &mut traffic).as_secs_f64() * 1e6 / DURATION_S as f64;
            let messages = traffic.messages as f64 / DURATION_S as f64;
            let bytes = traffic.bytes as f64 / DURATION_S as f64;
            println!("{members:>7}  {part:<10}  {messages:>10.1}  {bytes:>12.0}  {busy:>9.1}");
            println!(
                "{{\"bench\":\"control\",\"members\":{members},\"part\":\"{part}\",\
                 \"messages_per_s\":{messages:.2},\"bytes_per_s\":{bytes:.1},\
                 \"busy_us_per_s\":{busy:.2}}}"
            );
        }
    }
}

fn directory_members(members: usize) -> Vec<DirectoryMember> {
    let member = |index| DirectoryMember {
        vm: node_id(index).vm,
        data_centre: data_centre(index),
        address: address(index),
        standing: MemberStanding::Serving,
    };
    (0..members).map(member).collect()
}

fn customers(count: usize, rng: &mut SmallRng) -> Vec<(CustomerId, RequestRate)> {
    let customer = |index| {
        let id = format!("customer-{index}")
            .parse()
            .expect("a customer name");
        let rate = 1_u64 << rng.random_range(0..12);
        (id, RequestRate::from_per_second(rate))
    };
    (0..count).map(customer).collect()
}

fn print_directory() {
    println!("directory");
    println!("members  customers  place all ms  one VM out ms  answer ns");
    let mut rng = SmallRng::seed_from_u64(5);
    for (members, count) in FLEET_SIZES
        .map(|members| (members, 8))
        .into_iter()
        .chain([(2_700, 510_000)])
    {
        let customers = customers(count, &mut rng);
        let mut planner = DirectoryPlanner::new(DirectorySettings::default());
        planner.set_members(directory_members(members));
        let started = Instant::now();
        planner.set_customers(customers.iter().map(|(id, rate)| (id, *rate)));
        let place = started.elapsed().as_secs_f64() * 1e3;
        let mut fewer = directory_members(members);
        fewer.pop();
        let started = Instant::now();
        planner.set_members(fewer);
        let replace = started.elapsed().as_secs_f64() * 1e3;
        let rounds = 100_000_u64;
        let started = Instant::now();
        for seed in 0..rounds {
            let (customer, _) = &customers[seed as usize % customers.len()];
            black_box(planner.answer(&DirectoryQuery {
                customer: Some(customer),
                route: None,
                data_centre: None,
                caller_seed: seed,
            }));
        }
        let answer = started.elapsed().as_secs_f64() * 1e9 / rounds as f64;
        println!("{members:>7}  {count:>9}  {place:>12.2}  {replace:>13.2}  {answer:>9.0}");
        println!(
            "{{\"bench\":\"directory\",\"members\":{members},\"customers\":{count},\
             \"place_ms\":{place:.3},\"replace_ms\":{replace:.3},\"answer_ns\":{answer:.0}}}"
        );
    }
}

fn print_moved_shares() {
    const KEYS: u64 = 2_000;
    const HOLDERS: usize = 3;
    println!("shares moved by one member that leaves ({HOLDERS} holders a budget)");
    println!("members  moved shares of all, in %  least possible, in %");
    for members in FLEET_SIZES.into_iter().filter(|members| *members < 1_000) {
        let all: Vec<_> = (0..members).map(node_id).collect();
        let mut moved = 0;
        for key in 0..KEYS {
            let key = key.to_be_bytes();
            let before = holders(&key, &all, HOLDERS);
            let after = holders(&key, &all[1..], HOLDERS);
            moved += before.iter().filter(|node| !after.contains(node)).count();
        }
        let percent = moved as f64 * 100.0 / (KEYS as f64 * HOLDERS as f64);
        let least = 100.0 / members as f64;
        println!("{members:>7}  {percent:>25.2}  {least:>20.2}");
        println!(
            "{{\"bench\":\"moved\",\"members\":{members},\"moved_percent\":{percent:.3},\
             \"least_percent\":{least:.3}}}"
        );
    }
}

/// The time at which a node refreshes a proof that expires.
#[derive(Clone, Copy, Debug)]
enum RefreshPolicy {
    /// When a request finds it expired; that request waits for one attempt.
    OnDemand,
    /// When it expires, and then every second until an attempt succeeds.
    AtExpiry,
    /// After half of its lifetime, then every half second, and without a delay once it has expired.
    Early,
}

const PROOF_LIFETIME_MS: u64 = 10_000;
const RUN_DURATION_MS: u64 = 3_600_000;
const REQUEST_INTERVAL_MS: u64 = 10;
const SUCCESSFUL_ATTEMPT_MS: u64 = 50;
const FAILED_ATTEMPT_MS: u64 = 300;

/// An attempt to refresh a proof; times are in milliseconds.
#[derive(Clone, Copy)]
struct RefreshAttempt {
    started_at: u64,
    ended_at: u64,
    is_success: bool,
}

/// A node that needs a proof for each of its requests; times are in milliseconds.
#[derive(Default)]
struct ProofHolder {
    proved_at: u64,
    next_attempt: u64,
    current: Option<RefreshAttempt>,
    requests: u64,
    refused: u64,
    ages: u64,
    attempts: u64,
}

impl ProofHolder {
    fn step(&mut self, now: u64, policy: RefreshPolicy, is_success: bool) {
        if let Some(ended) = self.current.filter(|current| current.ended_at <= now) {
            self.current = None;
            self.finish(ended, policy);
        }
        let expired = now - self.proved_at > PROOF_LIFETIME_MS;
        let due = match policy {
            RefreshPolicy::OnDemand => expired,
            RefreshPolicy::AtExpiry | RefreshPolicy::Early => now >= self.next_attempt,
        };
        if due && self.current.is_none() {
            let took = if is_success {
                SUCCESSFUL_ATTEMPT_MS
            } else {
                FAILED_ATTEMPT_MS
            };
            self.current = Some(RefreshAttempt {
                started_at: now,
                ended_at: now + took,
                is_success,
            });
            self.attempts += 1;
        }
        self.requests += 1;
        self.refused += u64::from(expired);
        self.ages += now - self.proved_at;
    }

    fn finish(&mut self, ended: RefreshAttempt, policy: RefreshPolicy) {
        if ended.is_success {
            self.proved_at = ended.started_at;
        }
        self.next_attempt = match (policy, ended.is_success) {
            (RefreshPolicy::OnDemand, _) => 0,
            (RefreshPolicy::AtExpiry, true) => self.proved_at + PROOF_LIFETIME_MS,
            (RefreshPolicy::AtExpiry, false) => ended.ended_at + 1_000,
            (RefreshPolicy::Early, true) => self.proved_at + PROOF_LIFETIME_MS / 2,
            (RefreshPolicy::Early, false)
                if ended.ended_at > self.proved_at + PROOF_LIFETIME_MS =>
            {
                ended.ended_at
            }
            (RefreshPolicy::Early, false) => ended.ended_at + 500,
        };
    }
}

fn print_refresh_policies() {
    println!(
        "refreshing a proof that expires after {PROOF_LIFETIME_MS} ms, with a store that fails"
    );
    println!("failing  policy     wrong refusals, ppm  mean age ms  tries/min");
    let policies = [
        RefreshPolicy::OnDemand,
        RefreshPolicy::AtExpiry,
        RefreshPolicy::Early,
    ];
    for (failing, policy) in [0.0, 0.1, 0.5, 0.9]
        .into_iter()
        .flat_map(|failing| policies.map(|policy| (failing, policy)))
    {
        let mut rng = SmallRng::seed_from_u64(11);
        let mut holder = ProofHolder::default();
        for now in (0..RUN_DURATION_MS).step_by(REQUEST_INTERVAL_MS as usize) {
            holder.step(now, policy, !rng.random_bool(failing));
        }
        let ppm = holder.refused * 1_000_000 / holder.requests;
        let age = holder.ages / holder.requests;
        let per_minute = holder.attempts * 60_000 / RUN_DURATION_MS;
        let name = format!("{policy:?}");
        println!("{failing:>7}  {name:<9}  {ppm:>19}  {age:>11}  {per_minute:>9}");
        println!(
            "{{\"bench\":\"refresh\",\"failing\":{failing},\"policy\":\"{name}\",\
             \"wrong_refusals_ppm\":{ppm},\"mean_age_ms\":{age},\"tries_per_min\":{per_minute}}}"
        );
    }
}

fn main() {
    print_control_cost();
    print_directory();
    print_moved_shares();
    print_refresh_policies();
}
