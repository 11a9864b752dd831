//! Measures the control cost of one node, placement, movement of shares, and when to refresh.
//!
//! One node is driven with what a fleet of the given size sends it. Bytes are those of the JSON bodies;
//! what the link adds is counted by the link itself.

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

const FLEETS: [usize; 5] = [12, 24, 48, 96, 2_700];
const DATA_CENTRES: usize = 4;
const SECONDS: u64 = 60;
const TICK_MS: u64 = 100;
const TICKS_PER_SECOND: u64 = 1_000 / TICK_MS;

fn node_id(index: usize) -> NodeId {
    NodeId {
        vm: format!("vm-{index:04}").parse().expect("a VM name"),
        incarnation: Incarnation(1),
    }
}

fn centre(index: usize) -> DataCentreId {
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
        data_centre: centre(index),
        peer_address: address(index),
        caller_address: address(index),
        token: 0,
    }
}

/// Messages and bytes of one node, both ways.
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

/// Drives membership as a calm fleet does: what the node asks is answered, and it is asked as often.
fn run_membership(members: usize, traffic: &mut Traffic) -> Duration {
    let settings = MembershipSettings::default();
    let probes = settings.probes as u64;
    let mut list = MemberList::new(settings, record(0), 1);
    list.set_registered((0..members).map(record));
    let mut busy = Duration::ZERO;
    for tick in 0..SECONDS * TICKS_PER_SECOND {
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
    for tick in 0..SECONDS * TICKS_PER_SECOND {
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
    for tick in 0..SECONDS * TICKS_PER_SECOND {
        let now = MonoTime::from_millis(1 + tick * TICK_MS);
        let started = Instant::now();
        let actions = keeper.tick(now);
        busy += started.elapsed();
        for action in actions {
            if let EpochAction::Send { message, .. } = action {
                // As many digests arrive as leave.
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

type PartRun = fn(usize, &mut Traffic) -> Duration;

fn print_control_cost() {
    println!("control cost of one node, calm");
    println!("members  part        messages/s  body bytes/s  busy us/s");
    for members in FLEETS {
        let runs: [(&str, PartRun); 3] = [
            ("membership", run_membership),
            ("freshness", run_freshness),
            ("epochs", run_epochs),
        ];
        for (part, run) in runs {
            let mut traffic = Traffic::default();
            let busy = run(members, &mut traffic).as_secs_f64() * 1e6 / SECONDS as f64;
            let messages = traffic.messages as f64 / SECONDS as f64;
            let bytes = traffic.bytes as f64 / SECONDS as f64;
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
        data_centre: centre(index),
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
    for (members, count) in FLEETS
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
    for members in FLEETS.into_iter().filter(|members| *members < 1_000) {
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

/// When a proof that lives for a while is asked for again.
#[derive(Clone, Copy, Debug)]
enum RefreshPolicy {
    /// By the request that finds it expired, which waits for one try.
    OnDemand,
    /// When it expires, and again every second until it succeeds.
    AtExpiry,
    /// From half of its life on, and again every half second, or at once when it has expired.
    Early,
}

const PROOF_LIFE_MS: u64 = 10_000;
const RUN_MS: u64 = 3_600_000;
const REQUEST_MS: u64 = 10;
const GOOD_TRY_MS: u64 = 50;
const BAD_TRY_MS: u64 = 300;

/// A try to refresh a proof.
#[derive(Clone, Copy)]
struct RefreshTry {
    asked: u64,
    end: u64,
    good: bool,
}

/// A node that needs a proof for each of its requests; times are in milliseconds.
#[derive(Default)]
struct ProofHolder {
    proof: u64,
    next_try: u64,
    current: Option<RefreshTry>,
    requests: u64,
    refused: u64,
    ages: u64,
    tries: u64,
}

impl ProofHolder {
    fn step(&mut self, now: u64, policy: RefreshPolicy, good: bool) {
        if let Some(ended) = self.current.filter(|current| current.end <= now) {
            self.current = None;
            self.finish(ended, policy);
        }
        let expired = now - self.proof > PROOF_LIFE_MS;
        let due = match policy {
            RefreshPolicy::OnDemand => expired,
            RefreshPolicy::AtExpiry | RefreshPolicy::Early => now >= self.next_try,
        };
        if due && self.current.is_none() {
            let took = if good { GOOD_TRY_MS } else { BAD_TRY_MS };
            self.current = Some(RefreshTry {
                asked: now,
                end: now + took,
                good,
            });
            self.tries += 1;
        }
        self.requests += 1;
        self.refused += u64::from(expired);
        self.ages += now - self.proof;
    }

    fn finish(&mut self, ended: RefreshTry, policy: RefreshPolicy) {
        if ended.good {
            self.proof = ended.asked;
        }
        self.next_try = match (policy, ended.good) {
            (RefreshPolicy::OnDemand, _) => 0,
            (RefreshPolicy::AtExpiry, true) => self.proof + PROOF_LIFE_MS,
            (RefreshPolicy::AtExpiry, false) => ended.end + 1_000,
            (RefreshPolicy::Early, true) => self.proof + PROOF_LIFE_MS / 2,
            (RefreshPolicy::Early, false) if ended.end > self.proof + PROOF_LIFE_MS => ended.end,
            (RefreshPolicy::Early, false) => ended.end + 500,
        };
    }
}

fn print_refresh_policies() {
    println!("when to refresh a proof that lives {PROOF_LIFE_MS} ms, with a store that fails");
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
        for now in (0..RUN_MS).step_by(REQUEST_MS as usize) {
            holder.step(now, policy, !rng.random_bool(failing));
        }
        let ppm = holder.refused * 1_000_000 / holder.requests;
        let age = holder.ages / holder.requests;
        let per_minute = holder.tries * 60_000 / RUN_MS;
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
