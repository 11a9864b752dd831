//! Simulates nodes that enforce a customer's rate over the fleet by reports, in virtual time.
//!
//! Guards against nodes that together admit more than the platform tolerates in a window, and against
//! refusals of a customer that stays within its rate. Both come about when nodes restart, when reports
//! are lost, or when nodes with few requests report seldom.

use std::time::Duration;

use damaskloom_lib::fleet_partition::FleetPartition;
use damaskloom_lib::fleet_rate::{FleetLimit, FleetRates, LimitDecision, RateTolerance};
use damaskloom_lib::ids::{CustomerId, VmId};
use damaskloom_lib::rate_report::{RateReport, ReportFilter};
use damaskloom_lib::time::MonoTime;
use indexmap::IndexSet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The report intervals within a data centre and to other data centres, in milliseconds.
const LOCAL_REPORT_MS: u64 = 100;
const REMOTE_REPORT_MS: u64 = 250;
/// The report interval of nodes with single requests, in milliseconds.
const IDLE_REPORT_MS: u64 = 1_000;
/// The time after its first request from which a node counts as carrying traffic, in milliseconds.
const CARRYING_AFTER_MS: u64 = 500;
/// The data centres over which the nodes are spread.
const DATA_CENTRES: usize = 4;
/// The time between a node's start and its first request, in milliseconds; by then its peers have
/// received a message from it.
const START_MS: u64 = 150;
/// The window over which the platform checks the limit, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// The excess that the platform tolerates, as a fraction of the limit's requests and as a number.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The time without a message after which a node counts as silent, in milliseconds.
const SILENCE_MS: u64 = 1_250;

/// The share of messages that relays lose, usually and while a third of them is dead.
const RELAY_LOSS: f64 = 0.04;
const DEAD_RELAYS: f64 = 0.36;

/// The load and the faults of a run; times are in milliseconds since the start.
#[derive(Clone, Copy, Debug, Default)]
struct FleetPlan {
    nodes: usize,
    /// The requests per second, each with the time from which it applies.
    demand: [(u64, f64); 3],
    /// The time at which all nodes stop and lose their state, and the time at which they serve again.
    restart: Option<(u64, u64)>,
    /// The start and the end of the period in which no report arrives.
    partition: Option<(u64, u64)>,
    /// The parts of the fleet that cannot hear each other.
    split: Option<SplitPlan>,
    /// The period in which a third of the relays between data centres is dead; with this, messages to
    /// relays get lost at other times as well, each one to a whole data centre.
    dead_relays: Option<(u64, u64)>,
    /// Whether a restarted node reports seldom until it carries traffic or the fleet starts up.
    idle_start: bool,
    length_ms: u64,
}

/// A partition that nodes notice by the silence of the others.
#[derive(Clone, Copy, Debug)]
struct SplitPlan {
    from: u64,
    to: u64,
    /// The nodes that are partitioned from all others; the rest hear each other.
    islands: usize,
    /// The node before which there are no requests.
    first_with_traffic: usize,
}

impl SplitPlan {
    /// Returns whether a message arrives.
    fn connects(&self, ms: u64, sender: usize, receiver: usize) -> bool {
        !(self.from..self.to).contains(&ms) || sender.min(receiver) >= self.islands
    }
}

#[derive(Debug)]
struct Outcome {
    /// The time of each admitted request.
    admitted: Vec<u64>,
    refused: Vec<u64>,
}

impl Outcome {
    /// Returns the maximum number of requests that were admitted in a window.
    fn max_in_window(&self) -> usize {
        let mut first = 0;
        let mut max = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while self.admitted[first] + WINDOW_MS <= *at {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        max
    }
}

/// A node, with the reports that it has sent to its own data centre and to others.
struct TestNode {
    rates: FleetRates,
    local: ReportFilter,
    remote: ReportFilter,
    /// The time of the node's first request, in milliseconds. It carries traffic some time after that,
    /// since other customers send requests too; before, it reports often only while the fleet starts up.
    first_request_ms: Option<u64>,
    /// When the node last heard of each other one.
    heard_ms: Vec<u64>,
}

impl TestNode {
    /// Returns which nodes are silent, as members of a real fleet notice it.
    fn fleet_partition(&self, ms: u64, own: usize) -> FleetPartition {
        let nodes = self.heard_ms.len();
        let is_silent = |node: &usize| *node != own && ms > self.heard_ms[*node] + SILENCE_MS;
        let silent: IndexSet<VmId> = (0..nodes).filter(is_silent).map(vm).collect();
        let heard_part = 1.0 - silent.len() as f64 / nodes as f64;
        FleetPartition { silent, heard_part }
    }
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("a valid name")
}

fn run(plan: FleetPlan, limit: FleetLimit, seed: u64) -> Outcome {
    let customer: CustomerId = "hauliers".parse().expect("a valid name");
    let mut random = SmallRng::seed_from_u64(seed);
    let fresh = |now| {
        let tolerance = RateTolerance {
            window: Duration::from_millis(WINDOW_MS),
            excess: EXCESS,
            slack: SLACK,
        };
        let mut rates = FleetRates::new(now, tolerance);
        rates.set_limits(now, [(customer.clone(), limit)]);
        rates.set_expected_peers(plan.nodes - 1);
        TestNode {
            rates,
            local: ReportFilter::default(),
            remote: ReportFilter::repeating(),
            first_request_ms: None,
            heard_ms: vec![2_000; plan.nodes],
        }
    };
    let at = |ms: u64| MonoTime::from_millis(10_000 + ms);
    let mut nodes: Vec<TestNode> = (0..plan.nodes).map(|_| fresh(at(0))).collect();
    let mut outcome = Outcome {
        admitted: Vec::new(),
        refused: Vec::new(),
    };
    // Traffic begins after the buckets had time to fill.
    for ms in 2_000..plan.length_ms {
        let now = at(ms);
        if let Some((down, up)) = plan.restart {
            if ms == up {
                let started = at(up - START_MS);
                nodes = (0..plan.nodes).map(|_| fresh(started)).collect();
            }
            if (down..up).contains(&ms) {
                continue;
            }
        }
        let current_demand = plan.demand.iter().rev().find(|(from, _)| *from <= ms);
        let mut expected = current_demand.map_or(0.0, |(_, per_s)| per_s / 1_000.0);
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                let first = plan.split.map_or(0, |split| split.first_with_traffic);
                let node = random.random_range(first..plan.nodes);
                nodes[node].first_request_ms.get_or_insert(ms);
                match nodes[node].rates.decide(now, &customer) {
                    LimitDecision::Admit => outcome.admitted.push(ms),
                    LimitDecision::Refuse(_) => outcome.refused.push(ms),
                }
            }
            expected -= 1.0;
        }
        if plan.split.is_some() && ms.is_multiple_of(LOCAL_REPORT_MS) {
            for (index, node) in nodes.iter_mut().enumerate() {
                let split = node.fleet_partition(ms, index);
                node.rates.set_partition(now, split);
            }
        }
        let is_partitioned = plan
            .partition
            .is_some_and(|(from, to)| (from..to).contains(&ms));
        for sender in 0..plan.nodes {
            // Nodes report with different phases, and often to all nodes while the fleet starts up.
            let phase = ms + sender as u64 * 7;
            let starting_up = nodes[sender].rates.is_starting_up(now);
            let first_request = nodes[sender].first_request_ms;
            let carrying = first_request.is_some_and(|at| ms >= at + CARRYING_AFTER_MS);
            let carrying = carrying || !plan.idle_start;
            for is_local in [true, false] {
                let interval = match (starting_up, carrying, is_local) {
                    (true, _, _) | (false, true, true) => LOCAL_REPORT_MS,
                    (false, true, false) => REMOTE_REPORT_MS,
                    (false, false, _) => IDLE_REPORT_MS,
                };
                if !phase.is_multiple_of(interval) {
                    continue;
                }
                let node = &mut nodes[sender];
                let filter = if is_local {
                    &mut node.local
                } else {
                    &mut node.remote
                };
                let reports = filter.drain_due(now, &node.rates);
                let relay_loss = plan.dead_relays.map_or(0.0, |(from, to)| {
                    if (from..to).contains(&ms) {
                        DEAD_RELAYS
                    } else {
                        RELAY_LOSS
                    }
                });
                let is_lost = [(); DATA_CENTRES]
                    .map(|()| !is_local && relay_loss > 0.0 && random.random_bool(relay_loss));
                let receivers = (0..plan.nodes).filter(|receiver| {
                    let centre = receiver % DATA_CENTRES;
                    let local = centre == sender % DATA_CENTRES;
                    let connects = |split: SplitPlan| split.connects(ms, sender, *receiver);
                    *receiver != sender
                        && local == is_local
                        && !is_partitioned
                        && !is_lost[centre]
                        && plan.split.is_none_or(connects)
                });
                for receiver in receivers {
                    nodes[receiver].heard_ms[sender] = ms;
                    let rates = &mut nodes[receiver].rates;
                    rates.record_message(now, &vm(sender));
                    for (customer, report) in &reports {
                        rates.record_report(now, &vm(sender), customer, *report);
                    }
                }
            }
        }
    }
    outcome
}

fn allowed(limit: FleetLimit) -> f64 {
    let window = Duration::from_millis(WINDOW_MS).as_secs_f64();
    (limit.rate_per_s * window + limit.burst) * (1.0 + EXCESS) + SLACK
}

const LIMITS: [FleetLimit; 3] = [
    FleetLimit {
        rate_per_s: 133.0,
        burst: 133.0,
    },
    FleetLimit {
        rate_per_s: 30.0,
        burst: 30.0,
    },
    FleetLimit {
        rate_per_s: 6.0,
        burst: 6.0,
    },
];

fn check(make_plan: impl Fn(FleetLimit) -> FleetPlan) {
    for limit in LIMITS {
        for seed in 0..8 {
            let plan = make_plan(limit);
            let max = run(plan, limit, seed).max_in_window();
            assert!(
                max as f64 <= allowed(limit),
                "seed {seed}: {max} admitted in a window, {:.0} allowed, {plan:?}",
                allowed(limit)
            );
        }
    }
}

/// Guards against excess admissions while reports between nodes are still on their way.
#[test]
fn keeps_the_limit_of_a_customer_far_over_its_rate() {
    check(|limit| FleetPlan {
        nodes: 16,
        demand: [
            (0, limit.rate_per_s * 0.6),
            (5_000, limit.rate_per_s * 4.7),
            (12_000, limit.rate_per_s * 2.0),
        ],
        length_ms: 18_000,
        ..FleetPlan::default()
    });
}

fn check_restarts(idle_start: bool) {
    for down in [6_200, 7_000, 9_300] {
        check(|limit| FleetPlan {
            nodes: 16,
            demand: [
                (0, limit.rate_per_s * 0.6),
                (5_000, limit.rate_per_s * 2.8),
                (60_000, 0.0),
            ],
            restart: Some((down, down + 600)),
            idle_start,
            length_ms: 16_000,
            ..FleetPlan::default()
        });
    }
}

/// Guards against a full burst that is admitted again, since restarted nodes do not know what was
/// spent before.
#[test]
fn keeps_the_limit_when_all_nodes_restart_under_load() {
    check_restarts(false);
}

/// Guards against the same fault when the first request comes some time after the restart.
#[test]
fn keeps_the_limit_when_restarted_nodes_are_idle_until_their_first_request() {
    check_restarts(true);
}

/// Guards against partitioned nodes that each admit the whole rate.
#[test]
fn keeps_the_limit_when_reports_stop_under_typical_load() {
    check(|limit| FleetPlan {
        nodes: 12,
        demand: [
            (0, limit.rate_per_s * 0.6),
            (5_000, limit.rate_per_s * 0.9),
            (60_000, 0.0),
        ],
        partition: Some((5_000, 12_000)),
        length_ms: 16_000,
        ..FleetPlan::default()
    });
}

/// Guards against the parts of a partitioned fleet that each admit the whole burst and the free part of the rate
/// of a customer that becomes busy after the partition.
#[test]
fn keeps_the_limit_of_a_customer_that_becomes_busy_during_a_partition() {
    for islands in [1, 4, 10] {
        check(|limit| FleetPlan {
            nodes: 12,
            demand: [
                (0, limit.rate_per_s * 0.3),
                (9_000, limit.rate_per_s * 2.3),
                (60_000, 0.0),
            ],
            split: Some(SplitPlan {
                from: 5_000,
                to: 18_000,
                islands,
                first_with_traffic: 0,
            }),
            length_ms: 24_000,
            ..FleetPlan::default()
        });
    }
}

/// Guards against refusals within the rate in the only part of a partitioned fleet that has traffic, and after
/// the partition.
#[test]
fn admits_nearly_all_of_a_typical_customer_whose_nodes_hear_each_other() {
    for limit in &LIMITS[..2] {
        for seed in 0..4 {
            let plan = FleetPlan {
                nodes: 12,
                demand: [(0, limit.rate_per_s * 0.6); 3],
                split: Some(SplitPlan {
                    from: 6_000,
                    to: 18_000,
                    islands: 6,
                    first_with_traffic: 6,
                }),
                length_ms: 24_000,
                ..FleetPlan::default()
            };
            let outcome = run(plan, *limit, seed);
            let refused = outcome.refused.iter().filter(|at| **at > 4_000).count();
            let requests = outcome.admitted.len() + refused;
            assert!(
                refused * 50 <= requests,
                "seed {seed}: {refused} of {requests} refused, {limit:?}, at {:?}",
                outcome.refused
            );
        }
    }
}

/// Guards against refusals within the rate while restarted nodes do not know each other's requests
/// yet.
#[test]
fn admits_nearly_all_of_a_typical_customer_when_all_nodes_restart() {
    for limit in &LIMITS[..2] {
        for seed in 0..8 {
            let plan = FleetPlan {
                nodes: 24,
                demand: [(0, limit.rate_per_s * 0.6); 3],
                restart: Some((6_000, 7_500)),
                idle_start: true,
                length_ms: 10_000,
                ..FleetPlan::default()
            };
            let outcome = run(plan, *limit, seed);
            let refused = outcome.refused.iter().filter(|at| **at >= 7_500).count();
            let requests = outcome.admitted.iter().filter(|at| **at >= 7_500).count() + refused;
            assert!(
                refused * 20 <= requests,
                "seed {seed}: {refused} of {requests} refused, {limit:?}, at {:?}",
                outcome.refused
            );
        }
    }
}

/// Guards against refusals within the rate, since the shares of the nodes do not follow the demand.
#[test]
fn admits_nearly_all_of_a_customer_within_its_rate() {
    for limit in LIMITS {
        let plan = FleetPlan {
            nodes: 12,
            demand: [(0, limit.rate_per_s * 0.62); 3],
            length_ms: 30_000,
            ..FleetPlan::default()
        };
        for seed in 0..4 {
            let outcome = run(plan, limit, seed);
            let requests = outcome.admitted.len() + outcome.refused.len();
            // The first two seconds don't count, since nodes may lack each other's reports.
            let late = outcome.refused.iter().filter(|at| **at > 4_000).count();
            assert!(
                late * 200 <= requests,
                "seed {seed}: {late} of {requests} refused, {limit:?}, at {:?}",
                outcome.refused
            );
        }
    }
}

/// Guards against excess admissions while messages to whole data centres get lost at dead relays.
#[test]
fn keeps_the_limit_when_a_third_of_the_relays_has_died() {
    check(|limit| FleetPlan {
        nodes: 48,
        demand: [
            (0, limit.rate_per_s * 0.6),
            (5_000, limit.rate_per_s * 4.7),
            (12_000, limit.rate_per_s * 2.0),
        ],
        dead_relays: Some((4_800, 7_400)),
        length_ms: 18_000,
        ..FleetPlan::default()
    });
}

/// Guards against the last report of a customer that gets lost at a relay, so that a whole data centre
/// counts too few requests for seconds.
#[test]
fn a_changed_report_is_sent_twice_to_other_data_centres() {
    let customer: CustomerId = "hauliers".parse().expect("a valid name");
    let at = MonoTime::from_millis;
    let mut rates = FleetRates::new(at(0), RateTolerance::default());
    rates.set_limits(at(0), [(customer.clone(), LIMITS[0])]);
    let mut filter = ReportFilter::repeating();
    filter.drain_due(at(10_000), &rates);
    rates.decide(at(10_100), &customer);
    let reports = [10_250, 10_500, 10_750, 11_000].map(|ms| filter.drain_due(at(ms), &rates).len());
    assert_eq!(reports, [1, 1, 0, 0]);
}

/// Reports to a node what a peer has admitted of a customer since it started.
fn report(rates: &mut FleetRates, ms: u64, peer: usize, admitted: u64) {
    let customer: CustomerId = "hauliers".parse().expect("a valid name");
    let now = MonoTime::from_millis(ms);
    rates.record_message(now, &vm(peer));
    let report = RateReport {
        admitted,
        demand_per_s: 1.0,
    };
    rates.record_report(now, &vm(peer), &customer, report);
}

/// Guards against an overdrawn limit that is forgiven, since peers fall silent and are heard again soon.
#[test]
fn a_short_silence_forgives_nothing_that_was_overdrawn() {
    let customer: CustomerId = "hauliers".parse().expect("a valid name");
    let at = MonoTime::from_millis;
    let levels = [false, true].map(|has_silence| {
        let mut rates = FleetRates::new(at(0), RateTolerance::default());
        rates.set_limits(at(0), [(customer.clone(), LIMITS[1])]);
        rates.decide(at(9_000), &customer);
        for (ms, admitted) in [(9_900, 0), (10_000, 50)] {
            report(&mut rates, ms, 1, admitted);
            report(&mut rates, ms, 2, admitted);
        }
        for silent in [&[1][..], &[1, 2], &[2], &[]] {
            let silent = silent.iter().map(|index| vm(*index)).collect();
            let partition = FleetPartition {
                silent,
                heard_part: 0.4,
            };
            if has_silence {
                rates.set_partition(at(10_000), partition);
            }
        }
        match rates.decide(at(10_000), &customer) {
            LimitDecision::Refuse(exceeded) => exceeded.level,
            LimitDecision::Admit => panic!("the limit is overdrawn"),
        }
    });
    assert!((levels[0] - levels[1]).abs() < 0.01, "{levels:?}");
}

/// Guards against requests that are not charged since the peer that admits them is still taken for silent: after a
/// restart it begins with a part of the burst.
#[test]
fn what_a_peer_admits_after_its_silence_is_charged() {
    let customer: CustomerId = "hauliers".parse().expect("a valid name");
    let at = MonoTime::from_millis;
    let mut rates = FleetRates::new(at(0), RateTolerance::default());
    rates.set_limits(at(0), [(customer.clone(), LIMITS[1])]);
    report(&mut rates, 9_000, 1, 0);
    report(&mut rates, 9_000, 1, 40);
    let partition = FleetPartition {
        silent: [vm(1)].into_iter().collect(),
        heard_part: 0.5,
    };
    rates.set_partition(at(9_000), partition);
    // What it admitted before it started again, and during the partition, is in the part of others.
    for admitted in [45, 70, 30] {
        report(&mut rates, 9_000, 1, admitted);
    }
    rates.set_partition(at(9_000), FleetPartition::default());
    let LimitDecision::Refuse(exceeded) = rates.decide(at(9_000), &customer) else {
        panic!("the limit is overdrawn");
    };
    // 40 of the burst of 30 before the partition, 25 and 30 after it; the lowest level is -30.
    assert!(exceeded.level <= -29.0, "{exceeded:?}");
}
