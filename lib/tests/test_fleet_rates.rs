//! The fleet-wide rate of a customer over nodes that report to each other, in virtual time.

use std::time::Duration;

use damaskloom_lib::fleet_rate::{
    FleetLimit, FleetRates, LimitDecision, RateTolerance, ReportFilter,
};
use damaskloom_lib::ids::{CustomerId, VmId};
use damaskloom_lib::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The interval at which nodes report to their own data centre and to others, in milliseconds.
const NEAR_REPORT_MS: u64 = 100;
const FAR_REPORT_MS: u64 = 250;
/// The interval at which nodes with single requests report, in milliseconds.
const IDLE_REPORT_MS: u64 = 1_000;
/// The time after its first request from which a node counts as carrying traffic, in milliseconds.
const CARRYING_AFTER_MS: u64 = 500;
/// The data centres over which the nodes are spread.
const DATA_CENTRES: usize = 4;
/// The time between a node's start and its first request, in milliseconds, and the one in which its
/// peers have heard of it.
const START_MS: u64 = 150;
/// The window over which the platform counts, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// The part and the number of requests beyond the limit that the platform bears.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// What happens to the fleet, in milliseconds since the start.
#[derive(Clone, Copy, Debug, Default)]
struct FleetPlan {
    nodes: usize,
    /// The requests per second, by the time from which they come.
    demand: [(u64, f64); 3],
    /// The time at which all nodes lose their state, and the time at which they are back.
    restart: Option<(u64, u64)>,
    /// The time from which, and until which, no report arrives.
    cut: Option<(u64, u64)>,
    /// Whether a node that has just started reports seldom until it carries traffic or the fleet opens.
    quiet_start: bool,
    length_ms: u64,
}

#[derive(Debug)]
struct Outcome {
    /// The time of each admitted request.
    admitted: Vec<u64>,
    refused: Vec<u64>,
}

impl Outcome {
    /// Returns the most requests that were admitted in a window.
    fn worst_window(&self) -> usize {
        let mut first = 0;
        let mut worst = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while self.admitted[first] + WINDOW_MS <= *at {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        worst
    }
}

/// A node, with what it has told its own data centre and others.
struct TestNode {
    rates: FleetRates,
    near: ReportFilter,
    far: ReportFilter,
    /// When the node got its first request, in milliseconds; it carries traffic some time after that,
    /// since other customers' requests come too. Before, it reports often only while the fleet opens.
    first_asked_ms: Option<u64>,
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
            near: ReportFilter::default(),
            far: ReportFilter::default(),
            first_asked_ms: None,
        }
    };
    let at = |ms: u64| MonoTime::from_millis(10_000 + ms);
    let mut nodes: Vec<TestNode> = (0..plan.nodes).map(|_| fresh(at(0))).collect();
    let mut outcome = Outcome {
        admitted: Vec::new(),
        refused: Vec::new(),
    };
    // Traffic begins once the buckets had time to fill.
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
        let begun = plan.demand.iter().rev().find(|(from, _)| *from <= ms);
        let mut due = begun.map_or(0.0, |(_, per_s)| per_s / 1_000.0);
        while due > 0.0 {
            if random.random_bool(due.min(1.0)) {
                let node = random.random_range(0..plan.nodes);
                nodes[node].first_asked_ms.get_or_insert(ms);
                match nodes[node].rates.decide(now, &customer) {
                    LimitDecision::Admit => outcome.admitted.push(ms),
                    LimitDecision::Refuse(_) => outcome.refused.push(ms),
                }
            }
            due -= 1.0;
        }
        let is_cut = plan.cut.is_some_and(|(from, to)| (from..to).contains(&ms));
        for sender in 0..plan.nodes {
            // Nodes report at times of their own, and to all while the fleet opens.
            let phase = ms + sender as u64 * 7;
            let opening = nodes[sender].rates.is_starting_up(now);
            let first_asked = nodes[sender].first_asked_ms;
            let carrying = first_asked.is_some_and(|at| ms >= at + CARRYING_AFTER_MS);
            let carrying = carrying || !plan.quiet_start;
            for is_near in [true, false] {
                let interval = match (opening, carrying, is_near) {
                    (true, _, _) | (false, true, true) => NEAR_REPORT_MS,
                    (false, true, false) => FAR_REPORT_MS,
                    (false, false, _) => IDLE_REPORT_MS,
                };
                if !phase.is_multiple_of(interval) {
                    continue;
                }
                let node = &mut nodes[sender];
                let filter = if is_near {
                    &mut node.near
                } else {
                    &mut node.far
                };
                let reports = filter.drain_due(now, &node.rates);
                let told = (0..plan.nodes).filter(|receiver| {
                    let near = receiver % DATA_CENTRES == sender % DATA_CENTRES;
                    *receiver != sender && near == is_near && !is_cut
                });
                for receiver in told {
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
            let worst = run(plan, limit, seed).worst_window();
            assert!(
                worst as f64 <= allowed(limit),
                "seed {seed}: {worst} admitted in a window, {:.0} allowed, {plan:?}",
                allowed(limit)
            );
        }
    }
}

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

fn check_restarts(quiet_start: bool) {
    for down in [6_200, 7_000, 9_300] {
        check(|limit| FleetPlan {
            nodes: 16,
            demand: [
                (0, limit.rate_per_s * 0.6),
                (5_000, limit.rate_per_s * 2.8),
                (60_000, 0.0),
            ],
            restart: Some((down, down + 600)),
            quiet_start,
            length_ms: 16_000,
            ..FleetPlan::default()
        });
    }
}

#[test]
fn keeps_the_limit_when_all_nodes_restart_under_load() {
    check_restarts(false);
}

#[test]
fn keeps_the_limit_when_restarted_nodes_are_quiet_until_they_are_asked() {
    check_restarts(true);
}

#[test]
fn keeps_the_limit_when_reports_stop_under_usual_load() {
    check(|limit| FleetPlan {
        nodes: 12,
        demand: [
            (0, limit.rate_per_s * 0.6),
            (5_000, limit.rate_per_s * 0.9),
            (60_000, 0.0),
        ],
        cut: Some((5_000, 12_000)),
        length_ms: 16_000,
        ..FleetPlan::default()
    });
}

#[test]
fn admits_nearly_all_of_a_usual_customer_when_all_nodes_restart() {
    for limit in &LIMITS[..2] {
        for seed in 0..8 {
            let plan = FleetPlan {
                nodes: 24,
                demand: [(0, limit.rate_per_s * 0.6); 3],
                restart: Some((6_000, 7_500)),
                quiet_start: true,
                length_ms: 10_000,
                ..FleetPlan::default()
            };
            let outcome = run(plan, *limit, seed);
            let refused = outcome.refused.iter().filter(|at| **at >= 7_500).count();
            let asked = outcome.admitted.iter().filter(|at| **at >= 7_500).count() + refused;
            assert!(
                refused * 20 <= asked,
                "seed {seed}: {refused} of {asked} refused, {limit:?}, at {:?}",
                outcome.refused
            );
        }
    }
}

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
            let asked = outcome.admitted.len() + outcome.refused.len();
            // Two seconds in which nodes may not have heard of each other do not count.
            let late = outcome.refused.iter().filter(|at| **at > 4_000).count();
            assert!(
                late * 200 <= asked,
                "seed {seed}: {late} of {asked} refused, {limit:?}, at {:?}",
                outcome.refused
            );
        }
    }
}
