//! Measures the worst-served customer while another one sends eight times its rate, or requests
//! that cost eight times as much as expected.

use std::collections::BinaryHeap;
use std::time::Duration;

use damaskloom_lib::fair_queue::{FairQueue, PopOutcome, QueueLimits, QueuePolicy, WaitingRequest};
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::time::MonoTime;

use crate::random::Random;

const CUSTOMERS: usize = 8;
const SLOTS: usize = 8;
const MEAN_COST_MICROS: f64 = 25_000.0;
const DEADLINE: Duration = Duration::from_secs(2);
const DURATION_MICROS: u64 = 60_000_000;
/// The fraction of the slots that all customers together use while each stays within its rate.
const NORMAL_LOAD: f64 = 0.6;
const EXCESS_FACTOR: f64 = 8.0;
const LIMITS: QueueLimits = QueueLimits {
    total: 512,
    per_customer: 256,
};

struct Served {
    good: u64,
    sent: u64,
    waits: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Load {
    policy: QueuePolicy,
    excess: f64,
    /// The factor by which the first customer's requests cost more than expected.
    cost_factor: u64,
}

fn arrivals(load: Load, random: &mut Random) -> Vec<(u64, usize)> {
    let mean = MEAN_COST_MICROS * CUSTOMERS as f64 / (SLOTS as f64 * NORMAL_LOAD);
    let mut all = Vec::new();
    for customer in 0..CUSTOMERS {
        let mean = if customer == 0 {
            mean / load.excess
        } else {
            mean
        };
        let mut at = random.exponential(mean);
        while at < DURATION_MICROS {
            all.push((at, customer));
            at += random.exponential(mean).max(1);
        }
    }
    all.sort_unstable();
    all
}

fn measure(load: Load) -> Vec<Served> {
    let mut random = Random::new(17);
    let names: Vec<CustomerId> = (0..CUSTOMERS)
        .map(|index| format!("customer-{index}").parse().expect("an id"))
        .collect();
    let mut queue = FairQueue::new(load.policy, LIMITS);
    let mut served: Vec<Served> = (0..CUSTOMERS)
        .map(|_| Served {
            good: 0,
            sent: 0,
            waits: Vec::new(),
        })
        .collect();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let cost = Duration::from_micros(MEAN_COST_MICROS as u64);
    let all = arrivals(load, &mut random);
    let mut next = 0;
    loop {
        let arrival_at = all.get(next).map(|arrival| arrival.0);
        let end_at = ends.peek().map(|end| end.0.0);
        let now = match (arrival_at, end_at) {
            (None, None) => break,
            (Some(arrival), Some(end)) => arrival.min(end),
            (Some(at), None) | (None, Some(at)) => at,
        };
        if end_at == Some(now) {
            let Some(std::cmp::Reverse((_, customer, taken))) = ends.pop() else {
                break;
            };
            let taken = Duration::from_micros(taken);
            queue.record_finished(&names[customer], 1, cost, taken);
        } else {
            let customer = all[next].1;
            next += 1;
            served[customer].sent += 1;
            let request = WaitingRequest {
                customer: names[customer].clone(),
                weight: 1,
                cost,
                deadline: MonoTime::from_micros(now) + DEADLINE,
                item: (now, customer),
            };
            drop(queue.push(MonoTime::from_micros(now), request));
        }
        while ends.len() < SLOTS {
            let request = match queue.pop(MonoTime::from_micros(now)) {
                PopOutcome::Empty => break,
                PopOutcome::Refuse(_) => continue,
                PopOutcome::Run(request) => request,
            };
            let (since, customer) = request.item;
            let cost_factor = if customer == 0 { load.cost_factor } else { 1 };
            let taken = random.exponential(MEAN_COST_MICROS).max(1) * cost_factor;
            let wait = now - since;
            served[customer].waits.push(wait);
            let is_good = Duration::from_micros(wait + taken) <= DEADLINE;
            served[customer].good += u64::from(is_good);
            ends.push(std::cmp::Reverse((now + taken, customer, taken)));
        }
    }
    served
}

fn print_load(name: &str, load: Load) {
    let mut served = measure(load);
    let good = |served: &Served| 100.0 * served.good as f64 / served.sent.max(1) as f64;
    let worst = served[1..].iter().map(good).fold(100.0, f64::min);
    let waits: Vec<u64> = served[1..]
        .iter_mut()
        .map(|s| percentile(&mut s.waits, 99))
        .collect();
    let p99 = waits.into_iter().max().unwrap_or_default();
    let large = good(&served[0]);
    let policy = load.policy;
    println!(
        "{name:8} {:14} {worst:>12.3} {p99:>12} {large:>12.2}",
        format!("{policy:?}")
    );
    println!(
        "{{\"bench\":\"queues\",\"load\":\"{name}\",\"policy\":\"{policy:?}\",\
         \"worst_good_percent\":{worst:.4},\"worst_p99_wait_us\":{p99},\"large_good_percent\":{large:.3}}}"
    );
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let index = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(index).copied().unwrap_or_default()
}

/// Prints one line for each load and policy.
pub fn run() {
    println!("one of 8 customers in excess, 8 slots, 2 s deadline; the worst of the other seven");
    println!(
        "{:8} {:14} {:>12} {:>12} {:>12}",
        "load", "policy", "worst good%", "p99 wait us", "large good%"
    );
    for (name, excess, cost_factor) in [
        ("calm", 1.0, 1),
        ("excess", EXCESS_FACTOR, 1),
        ("dear", 1.0, 8),
    ] {
        for policy in [QueuePolicy::WeightedFair, QueuePolicy::Fifo] {
            let load = Load {
                policy,
                excess,
                cost_factor,
            };
            print_load(name, load);
        }
    }
}
