//! Tests that a service which loses requests keeps its floor: owners and successors, and pooled losses.

use std::time::Duration;

use damaskloom_lib::ids::VmId;
use damaskloom_lib::loss_meter::{LossMeter, RequestOutcome, ServiceCode, ServiceLoss};
use damaskloom_lib::rendezvous::StableHash;
use damaskloom_lib::target_trial::{TrialNode, TrialOrder};
use damaskloom_lib::time::MonoTime;

use crate::floor_fleet::{FloorFleet, FloorReport, FloorTerms};

/// A large fleet with little traffic at each node, a third of the targets failing, and a third of the nodes gone
/// without a word.
const LARGE: FloorTerms = FloorTerms {
    nodes: 92,
    targets: 84,
    per_node_s: 4.0,
    failing: 28,
    refused: 0.15,
    retryable: 0.5,
    gone_at_ms: Some(5_000),
    seed: 0,
};
/// The trials a second and target that the floor may cost: one, since a target is tried after a second without a
/// request.
const MAX_MEAN_TRIALS_PER_S: f64 = 1.0;
/// The most trials a second at one target: an owner and one successor may try before they hear of each other.
const MAX_TRIALS_PER_S: f64 = 2.0;
/// The longest time for which a healthy target may get nothing, by the floor's promise.
const PROMISED_MS: u64 = 2_000;
/// How much later a target that fails its trials is tried, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Plays the terms with some seeds and checks the longest time for which any target got nothing.
fn check(terms: FloorTerms, seeds: u64, bound_ms: u64) {
    let reports: Vec<FloorReport> = (0..seeds)
        .map(|seed| FloorFleet::new(FloorTerms { seed, ..terms }).play(3_000, 11_000))
        .collect();
    let times: Vec<u64> = reports.iter().map(|report| report.longest_ms).collect();
    let trials = reports.iter().map(|report| report.trials_per_s);
    let most = reports.iter().map(|report| report.most_trials_per_s);
    let (trials, most) = (trials.fold(0.0, f64::max), most.fold(0.0, f64::max));
    println!(
        "{terms:?}: longest {times:?} ms, trials a second and target {trials:.2}, most {most:.2}"
    );
    assert!(
        times.iter().all(|time| *time < bound_ms),
        "{terms:?}: {times:?} ms"
    );
    let failing = reports.iter().map(|report| report.longest_failing_ms);
    let failing = failing.max().unwrap_or(0);
    assert!(
        failing < bound_ms + MAX_BACKOFF_MS,
        "{terms:?}: {failing} ms at failing targets"
    );
    assert!(
        trials <= MAX_MEAN_TRIALS_PER_S && most <= MAX_TRIALS_PER_S,
        "{terms:?}: {trials} trials a second and target, {most} at one"
    );
}

/// Guards against targets that get nothing since each node loses too few requests to notice, makes trials with
/// some requests only, or waits for nodes that are gone.
#[test]
fn every_target_gets_requests_while_a_third_of_the_nodes_is_gone() {
    check(LARGE, 30, 1_800);
}

/// Guards against a floor that holds at one rate of requests only.
#[test]
fn every_target_gets_requests_at_any_rate() {
    let few_targets = FloorTerms {
        targets: 15,
        failing: 5,
        ..LARGE
    };
    check(
        FloorTerms {
            per_node_s: 1.0,
            ..few_targets
        },
        4,
        PROMISED_MS,
    );
    check(
        FloorTerms {
            per_node_s: 10.0,
            ..LARGE
        },
        2,
        1_800,
    );
    let small = FloorTerms {
        nodes: 12,
        targets: 6,
        failing: 2,
        ..LARGE
    };
    check(
        FloorTerms {
            per_node_s: 4.0,
            ..small
        },
        6,
        PROMISED_MS,
    );
    check(
        FloorTerms {
            per_node_s: 100.0,
            ..small
        },
        2,
        1_400,
    );
}

/// Guards against trials that wait for requests which can be retried, where there are none.
#[test]
fn requests_that_cannot_be_retried_keep_the_floor() {
    check(
        FloorTerms {
            retryable: 0.0,
            ..LARGE
        },
        2,
        1_800,
    );
}

/// Guards against a floor that takes most of the requests of a service whose targets mostly fail.
#[test]
fn trials_stay_within_their_cost_when_most_targets_fail() {
    let most_failing = FloorTerms {
        failing: 70,
        per_node_s: 10.0,
        ..LARGE
    };
    check(most_failing, 2, 1_800);
    let rest = FloorTerms {
        nodes: 12,
        targets: 6,
        failing: 5,
        per_node_s: 100.0,
        ..most_failing
    };
    check(rest, 2, 1_400);
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().expect("a valid name")
}

fn report(requests: u32, lost: u32) -> ServiceLoss {
    ServiceLoss {
        service: ServiceCode(7),
        requests,
        lost,
    }
}

fn meter(peers: usize, served: usize, lost: usize) -> LossMeter {
    let mut meter = LossMeter::new(at(0));
    meter.set_peer_count(peers);
    let outcomes = [
        (served, RequestOutcome::Served),
        (lost, RequestOutcome::Lost),
    ];
    for (count, outcome) in outcomes {
        (0..count).for_each(|_| meter.record(at(0), outcome));
    }
    meter
}

/// Guards against nodes with few requests that each see too few losses to know that the fleet loses requests, and
/// against one node's losses that pass for the fleet's.
#[test]
fn losses_are_pooled_over_the_fleet() {
    let mut pooled = meter(9, 10, 0);
    assert!(!pooled.is_losing(at(0)));
    for peer in 0..5 {
        pooled.record_report(at(0), &vm(peer), report(10, 2));
    }
    // 10 of 100 requests, with those of the four peers that report nothing.
    assert!((pooled.lost_share(at(0)) - 0.1).abs() < 1e-9);
    assert!(pooled.is_losing(at(0)) && !pooled.is_losing_here(at(0)));

    let mut single = meter(19, 0, 0);
    single.record(at(0), RequestOutcome::Served);
    single.record_report(at(0), &vm(0), report(100, 50));
    assert!(!single.is_losing(at(0)), "one node of twenty loses half");

    let mut own = meter(9, 8, 2);
    assert!(!own.is_losing(at(0)) && own.is_losing_here(at(0)));
    // The peers are gone or report again; what they said fades.
    own.record_report(at(0), &vm(0), report(1, u32::MAX));
    assert!(own.is_losing(at(0)) && !own.is_losing(at(80_000)));
}

/// Guards against a long silence of a peer that makes its next report weigh too much or too little, and against
/// messages of nodes that lose hardly anything.
#[test]
fn reports_hold_what_was_not_reported_with_its_weight() {
    let code = ServiceCode(7);
    let mut meter = meter(0, 98, 2);
    assert_eq!(meter.take_report(at(0), code), Some(report(100, 2)));
    assert_eq!(meter.take_report(at(0), code), None);
    (0..10).for_each(|_| meter.record(at(0), RequestOutcome::Lost));
    assert_eq!(meter.take_report(at(2_000), code), Some(report(5, 5)));
    (0..900).for_each(|_| meter.record(at(2_000), RequestOutcome::Served));
    meter.record(at(2_000), RequestOutcome::Lost);
    assert_eq!(meter.take_report(at(2_000), code), None);
}

/// Guards against a node that is cut off, knows of no requests of others, and tries all targets by itself.
#[test]
fn a_node_that_hears_nobody_leaves_the_floor_to_others() {
    let centre = |number: usize| format!("centre-{}", number % 4).parse().expect("a name");
    let node = |number: usize| TrialNode::new(&vm(number), centre(number));
    let mut order = TrialOrder::new(node(0));
    let others: Vec<TrialNode> = (1..40).map(node).collect();
    order.set_others(&others);
    assert!(order.view(at(0)).is_none());
    let hear = |order: &mut TrialOrder, ms: u64| {
        for peer in 1..40 {
            order.record_counts(at(ms), &vm(peer));
        }
    };
    hear(&mut order, 0);
    hear(&mut order, 100);
    assert!(order.view(at(1_500)).is_some() && order.view(at(1_700)).is_none());
    // When it hears them again, it does not take the time without news for one without requests.
    hear(&mut order, 5_000);
    let view = order.view(at(5_200)).expect("it hears the others");
    assert_eq!(view.idle_time(at(100)), Duration::from_millis(200));
    let rank = order.rank(StableHash::of("i-1"), &centre(1));
    assert!(rank < 40);
}
