//! Measures wrong refusals and over-admission by the rate limiter.

use damaskloom_lib::budget::BudgetTerms;
use damaskloom_lib::ids::{CustomerId, Revision};
use damaskloom_lib::rate_limiter::LimitPolicy;
use damaskloom_lib::units::{BurstSize, RequestRate};

use crate::random::Random;
use crate::share_fleet::{ShareFleet, reference_refusals};

const DURATION_MICROS: u64 = 60_000_000;
const WARM_UP_MICROS: u64 = 5_000_000;
const FAULT_AT_MICROS: u64 = 20_000_000;
const MOVE_INTERVAL_MICROS: u64 = 2_000_000;
const NORMAL_LOAD_PERCENT: u64 = 80;
const EXCESS_LOAD_PERCENT: u64 = 800;

/// Rates per second and bursts of eight customers, a few of them large.
const CUSTOMERS: [(u64, u32); 8] = [
    (400, 400),
    (200, 100),
    (60, 60),
    (30, 30),
    (20, 20),
    (10, 10),
    (8, 8),
    (5, 5),
];
/// Rates per second and bursts of eight customers, each below the number of nodes.
const SMALL_CUSTOMERS: [(u64, u32); 8] = [
    (20, 20),
    (20, 5),
    (10, 10),
    (10, 4),
    (5, 5),
    (5, 2),
    (2, 2),
    (1, 1),
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scenario {
    Calm,
    OneNode,
    Moving,
    Bursts,
    Thin,
    VmLost,
    /// Every customer sends eight times its rate, so that most refusals are correct.
    Excess,
}

const SCENARIOS: [Scenario; 7] = [
    Scenario::Calm,
    Scenario::OneNode,
    Scenario::Moving,
    Scenario::Bursts,
    Scenario::Thin,
    Scenario::VmLost,
    Scenario::Excess,
];

struct Arrival {
    at: u64,
    node: usize,
    customer: usize,
}

fn budget_terms(scenario: Scenario) -> Vec<BudgetTerms> {
    let list = match scenario {
        Scenario::Thin => SMALL_CUSTOMERS,
        _ => CUSTOMERS,
    };
    list.iter()
        .map(|&(rate, burst)| {
            let rate = RequestRate::from_per_second(rate);
            BudgetTerms::from_rate(Revision(1), rate, BurstSize(burst))
        })
        .collect()
}

/// Generates arrivals that a single bucket for the whole fleet would admit, except for
/// [`Scenario::Excess`].
fn arrivals(scenario: Scenario, nodes: usize, random: &mut Random) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (customer, terms) in budget_terms(scenario).iter().enumerate() {
        let times = match scenario {
            Scenario::Bursts => burst_times(terms),
            Scenario::Excess => poisson_times(terms, EXCESS_LOAD_PERCENT, random),
            _ => poisson_times(terms, NORMAL_LOAD_PERCENT, random),
        };
        let refused: Vec<u64> = match scenario {
            Scenario::Excess => Vec::new(),
            _ => reference_refusals(&times, terms),
        };
        let within = times.into_iter().filter(|at| !refused.contains(at));
        let offset = random.below(nodes as u64) as usize;
        all.extend(within.map(|at| Arrival {
            at,
            node: place(scenario, at, nodes, offset, random),
            customer,
        }));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn poisson_times(terms: &BudgetTerms, load_percent: u64, random: &mut Random) -> Vec<u64> {
    let mean = 1e14 / terms.refill.0 as f64 / load_percent as f64;
    let mut times = Vec::new();
    let mut at = random.exponential(mean);
    while at < DURATION_MICROS {
        times.push(at);
        at += random.exponential(mean).max(1);
    }
    times
}

fn burst_times(terms: &BudgetTerms) -> Vec<u64> {
    let burst = terms.capacity.whole_units();
    let refill_micros = terms.capacity.0 * 1_000 / (terms.refill.0 / 1_000);
    let spacing = refill_micros * 5 / 4 + 100_000;
    (0..DURATION_MICROS / spacing)
        .flat_map(|round| std::iter::repeat_n(round * spacing + 1, burst as usize))
        .collect()
}

fn place(scenario: Scenario, at: u64, nodes: usize, offset: usize, random: &mut Random) -> usize {
    let moves = (at / MOVE_INTERVAL_MICROS) as usize;
    match scenario {
        Scenario::Calm | Scenario::Thin => random.below(nodes as u64) as usize,
        Scenario::OneNode => offset,
        Scenario::Moving | Scenario::Bursts => (offset + moves * 7) % nodes,
        // Each customer's callers use three nodes; those of a lost node move to the next node.
        Scenario::VmLost | Scenario::Excess => {
            let node = (offset % 8 + random.below(3) as usize) % nodes;
            let is_lost = scenario == Scenario::VmLost && node == 4 && at >= FAULT_AT_MICROS;
            if is_lost { node + 1 } else { node }
        }
    }
}

struct Outcome {
    requests: u64,
    refused: u64,
    waited: u64,
    mean_wait_micros: u64,
    messages: u64,
    over_admitted: u64,
    worst_percent: f64,
}

fn measure(scenario: Scenario, nodes: usize, policy: LimitPolicy) -> Outcome {
    let mut random = Random::new(1);
    let arrivals = arrivals(scenario, nodes, &mut random);
    let terms = budget_terms(scenario);
    let names: Vec<CustomerId> = (0..terms.len())
        .map(|index| format!("customer-{index}").parse().expect("an id"))
        .collect();
    let mut fleet = ShareFleet::new(nodes, policy, 99);
    fleet.terms = names.iter().cloned().zip(terms.iter().copied()).collect();
    let mut sent = vec![0_u64; terms.len()];
    for arrival in &arrivals {
        if scenario == Scenario::VmLost && arrival.at >= FAULT_AT_MICROS {
            fleet.nodes[4].is_alive = false;
        }
        fleet.advance(arrival.at - fleet.now);
        fleet.request(arrival.node, &names[arrival.customer]);
        sent[arrival.customer] += u64::from(arrival.at >= WARM_UP_MICROS);
    }
    fleet.advance(1_000_000);
    let refused_of = |name: &CustomerId| {
        let counted = fleet
            .refusals
            .iter()
            .filter(|(at, _)| *at >= WARM_UP_MICROS);
        counted.filter(|(_, customer)| customer == name).count() as u64
    };
    let refused: Vec<u64> = names.iter().map(refused_of).collect();
    let share = |index: usize| 100.0 * refused[index] as f64 / sent[index].max(1) as f64;
    Outcome {
        requests: sent.iter().sum(),
        refused: refused.iter().sum(),
        waited: fleet.counts.waited,
        mean_wait_micros: fleet.counts.wait_micros / fleet.counts.waited.max(1),
        messages: fleet.net.sent,
        over_admitted: names
            .iter()
            .zip(&terms)
            .map(|(name, terms)| fleet.over_admitted(name, terms))
            .sum(),
        worst_percent: (0..terms.len()).map(share).fold(0.0, f64::max),
    }
}

/// Prints one line for each scenario, size and policy.
pub fn run() {
    println!("wrong refusals, 8 customers within their rates, 60 s of virtual time");
    println!(
        "{:8} {:>5} {:12} {:>8} {:>9} {:>9} {:>7} {:>9} {:>9} {:>5}",
        "scenario",
        "nodes",
        "policy",
        "requests",
        "refused%",
        "worst%",
        "wait%",
        "wait us",
        "msg/req",
        "over"
    );
    for nodes in [40, 48] {
        for scenario in SCENARIOS {
            for policy in [LimitPolicy::Escrow, LimitPolicy::StaticShares] {
                print_outcome(scenario, nodes, policy, &measure(scenario, nodes, policy));
            }
        }
    }
}

fn print_outcome(scenario: Scenario, nodes: usize, policy: LimitPolicy, outcome: &Outcome) {
    let requests = outcome.requests.max(1) as f64;
    let refused = 100.0 * outcome.refused as f64 / requests;
    let waited = 100.0 * outcome.waited as f64 / requests;
    let messages = outcome.messages as f64 / requests;
    println!(
        "{:8} {nodes:>5} {:12} {:>8} {refused:>9.3} {:>9.3} {waited:>7.2} {:>9} {messages:>9.2} {:>5}",
        format!("{scenario:?}"),
        format!("{policy:?}"),
        outcome.requests,
        outcome.worst_percent,
        outcome.mean_wait_micros,
        outcome.over_admitted,
    );
    println!(
        "{{\"bench\":\"limits\",\"scenario\":\"{scenario:?}\",\"nodes\":{nodes},\"policy\":\"{policy:?}\",\
         \"requests\":{},\"refused_percent\":{refused:.4},\"worst_percent\":{:.4},\"waited_percent\":{waited:.3},\
         \"mean_wait_us\":{},\"messages_per_request\":{messages:.3},\"over_admitted\":{}}}",
        outcome.requests, outcome.worst_percent, outcome.mean_wait_micros, outcome.over_admitted,
    );
}
