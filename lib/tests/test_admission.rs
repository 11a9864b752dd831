//! Tests which requests are refused when a service has too little room.

use damaskloom_lib::admission_policy::ServiceRanks;
use damaskloom_lib::config::RouteAccess;
use damaskloom_lib::ids::ServiceId;
use damaskloom_lib::routing::{CustomerRule, PriorityRank};

use crate::admission_fleet::{AdmissionFleet, RankOutcome, document};

const TARGETS: usize = 30;
const OVERLOAD_MS: u64 = 20_000;

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Returns a fleet that has lost 60 % of its targets and gets twice the usual urgent requests.
fn overloaded_fleet(nodes: usize, is_ranked: bool) -> AdmissionFleet {
    let mut fleet = AdmissionFleet::new(2, nodes, TARGETS, is_ranked);
    fleet.set_utilisation(0.55);
    fleet.run_for(5_000);
    fleet.remove_targets(TARGETS * 6 / 10);
    fleet.rates[0] *= 2.0;
    fleet.reset_outcomes();
    fleet.run_for(OVERLOAD_MS);
    fleet
}

fn lost_share(outcomes: &[RankOutcome; 2]) -> f64 {
    let lost = |outcome: &RankOutcome| outcome.refused_at_once + outcome.failed_after_wait;
    let offered = outcomes.iter().map(|outcome| outcome.offered).sum();
    share(outcomes.iter().map(lost).sum(), offered)
}

/// Guards against requests that are refused under ordinary load. With 100 nodes at 90 %, reports that are 0.5 s
/// old make queues beside free slots, so there the fleet must lose fewer requests than without the policy.
#[test]
fn ordinary_load_needs_no_refusal() {
    for (nodes, utilisation) in [
        (1, 0.6),
        (1, 0.9),
        (10, 0.6),
        (10, 0.9),
        (100, 0.6),
        (100, 0.9),
    ] {
        let run = |is_ranked| {
            let mut fleet = AdmissionFleet::new(1, nodes, TARGETS, is_ranked);
            fleet.set_utilisation(utilisation);
            fleet.run_for(20_000);
            fleet.outcomes
        };
        let outcomes = run(true);
        let offered = outcomes.iter().map(|outcome| outcome.offered).sum();
        let refused = outcomes
            .iter()
            .map(|outcome| outcome.refused_by_policy)
            .sum();
        let refused = share(refused, offered);
        println!("{nodes} nodes at {utilisation}: {refused:.4} refused");
        if nodes < 100 || utilisation < 0.9 {
            assert!(refused < 0.005, "{nodes} nodes at {utilisation}: {refused}");
        } else {
            let (lost, before) = (lost_share(&outcomes), lost_share(&run(false)));
            println!("lost {lost:.4}, {before:.4} before");
            assert!(lost < before, "{lost} lost, {before} without the policy");
        }
    }
}

/// Guards against an urgent rank that is served worst, requests that fail after a long wait, and refusals that
/// leave targets idle, when most targets are gone.
#[test]
fn the_urgent_rank_is_served_first_when_most_targets_are_gone() {
    for nodes in [1, 10, 100] {
        let fleet = overloaded_fleet(nodes, true);
        let present = overloaded_fleet(nodes, false);
        let [urgent, other] = &fleet.outcomes;
        let served = |outcome: &RankOutcome| share(outcome.served, outcome.offered);
        let work = fleet.useful_ms / present.useful_ms;
        println!(
            "{nodes} nodes: served {:.3}/{:.3}, late {:.3}, work {work:.3}; before {:.3}/{:.3}",
            served(urgent),
            served(other),
            share(urgent.failed_after_wait, urgent.offered),
            served(&present.outcomes[0]),
            served(&present.outcomes[1]),
        );
        assert!(served(urgent) >= served(other), "{nodes} nodes");
        assert!(share(urgent.failed_after_wait, urgent.offered) <= 0.1);
        for outcome in [urgent, other] {
            let failed = outcome.refused_at_once + outcome.failed_after_wait;
            assert!(
                share(outcome.refused_at_once, failed) >= 0.9,
                "{nodes} nodes"
            );
            let shares = outcome
                .customers
                .map(|(offered, refused)| share(refused, offered));
            let most = shares.into_iter().fold(0.0, f64::max);
            let least = shares.into_iter().fold(1.0, f64::min);
            assert!(
                most - least <= 0.1,
                "customers are refused unevenly: {shares:?}"
            );
        }
        // Two runs differ by one part in a hundred.
        assert!(work >= 0.98, "{nodes} nodes: {work} of the work");
    }
}

/// Guards against nodes that all stop and resume at the same moments.
#[test]
fn admission_settles() {
    for nodes in [1, 10, 100] {
        let fleet = overloaded_fleet(nodes, true);
        let count = |second: u64| {
            let times = fleet.outcomes[0].admitted_ms.iter();
            times.filter(|ms| **ms / 1_000 == second).count() as f64
        };
        let counts: Vec<f64> = (7..25).map(count).collect();
        println!("{nodes} nodes: {counts:?}");
        let settled = &counts[5..];
        let mean = settled.iter().sum::<f64>() / settled.len() as f64;
        // Independent arrivals alone vary by a sixth from second to second.
        let is_steady = |count: &f64| (count / mean - 1.0).abs() <= 0.4;
        assert!(settled.iter().all(is_steady), "{nodes} nodes: {settled:?}");
    }
}

/// Guards against estimates that stay high after the overload, since they grow with the waits that they saw or
/// are not updated any more.
#[test]
fn refusals_end_with_the_overload() {
    let mut fleet = overloaded_fleet(10, true);
    fleet.set_utilisation(0.5);
    fleet.run_for(6_000);
    fleet.reset_outcomes();
    fleet.run_for(5_000);
    for outcome in &fleet.outcomes {
        assert_eq!(outcome.refused_by_policy, 0, "of {}", outcome.offered);
    }
}

/// Guards against a rank that is not known to a service, and against refusals by rank where all requests have
/// the same one.
#[test]
fn ranks_are_those_of_routes_and_customers() {
    let service: ServiceId = "desk".parse().expect("a valid name");
    let mut document = document();
    assert!(ServiceRanks::new(&document, &service).is_graded());
    let absent = "other".parse().expect("a valid name");
    assert!(!ServiceRanks::new(&document, &absent).is_graded());
    document.routes.truncate(1);
    assert!(!ServiceRanks::new(&document, &service).is_graded());
    document.routes[0].access = RouteAccess::Keyed;
    document.customers = Some(vec![CustomerRule {
        id: "patient".parse().expect("a valid name"),
        keys: Vec::new(),
        priority: Some(PriorityRank(3)),
        rate_per_s: 0.0,
        burst: 0.0,
    }]);
    assert!(ServiceRanks::new(&document, &service).is_graded());
}
