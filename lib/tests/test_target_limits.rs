//! Tests that the fleet keeps within the limits that targets name, and uses them.

use std::time::Duration;

use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crossing_cost::CrossingCost;
use damaskloom_lib::evacuation::Evacuations;
use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::target_balancer::TargetBalancer;
use damaskloom_lib::target_limits::{
    LimitNotice, LimitPermission, LimitSender, LimitStatement, TargetLimits,
};
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_selection::{CostSpread, SelectionError, SelectionRequest, TargetTrust};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::RequestRate;

use crate::limit_fleet::LimitFleet;

/// Returns the name of the node under test.
fn own_vm() -> VmId {
    "vm-1".parse().expect("a valid name")
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn per_s(requests: f64) -> RequestRate {
    RequestRate::from_millis_per_second((requests * 1_000.0) as u64)
}

fn centre() -> DataCentreId {
    "near".parse().expect("a valid name")
}

fn target() -> TargetId {
    "i-1".parse().expect("a valid name")
}

/// Returns the limits of the only node of a fleet.
fn only_node() -> TargetLimits {
    let vm = "vm-1".parse().expect("a valid name");
    let mut limits = TargetLimits::new(vm);
    let vm = "vm-1".parse().expect("a valid name");
    let data_centre = centre();
    limits.set_senders(at(0), vec![LimitSender { vm, data_centre }]);
    limits
}

fn name_limit(limits: &mut TargetLimits, ms: u64, rate: f64) -> bool {
    let notice = LimitNotice::Limited(per_s(rate));
    limits.record_answer(at(ms), (&target(), &centre()), at(ms), notice)
}

fn statement(rate: Option<f64>, age_ms: u64) -> LimitStatement {
    LimitStatement {
        target: target(),
        rate_milli: rate.map(|rate| per_s(rate).millis_per_second()),
        age_ms,
    }
}

/// Guards against a fleet that sends a target far more than the limit that it names, as nodes come
/// and go, messages are lost and limits change: nobody counts, or each node counts for itself.
#[test]
fn fleet_keeps_within_named_limits_and_uses_them() {
    for (seed, (nodes, targets)) in [(3, 4), (9, 18), (9, 26), (30, 40), (48, 12), (1, 3)]
        .into_iter()
        .cycle()
        .take(18)
        .enumerate()
    {
        let mut fleet = LimitFleet::new(seed as u64, nodes, targets);
        fleet.run(2_000, 20.0);
        for index in 0..targets {
            let rate = [1.0, 4.2, 5.0, 0.5, 11.0, 30.0][(index + seed) % 6];
            fleet.set_limit(index, Some(per_s(rate)));
        }
        fleet.run(9_000, 40.0);
        assert!(
            fleet.worst_window() <= 1.0,
            "seed {seed}: {}",
            fleet.worst_window()
        );
        if nodes >= targets / 4 {
            let used = fleet.used_fraction();
            assert!(used >= 0.8, "seed {seed}: {used} of the limits used");
        }
        for node in 0..nodes / 3 {
            fleet.set_up(node, false);
            fleet.run(1_500, 40.0);
            fleet.set_up(node, true);
            fleet.run(1_000, 40.0);
        }
        fleet.run(5_000, 40.0);
        assert!(
            fleet.worst_window() <= 1.0,
            "seed {seed}: {}",
            fleet.worst_window()
        );
    }
}

/// Guards against a limit that outlives the need of its target on nodes that do not send to it.
#[test]
fn lifted_limits_are_forgotten_on_all_nodes() {
    let mut fleet = LimitFleet::new(5, 12, 6);
    (0..6).for_each(|index| fleet.set_limit(index, Some(per_s(2.0))));
    fleet.run(5_000, 20.0);
    assert_eq!(fleet.limited_counts(), vec![6; 12]);
    (0..6).for_each(|index| fleet.set_limit(index, None));
    fleet.run(12_000, 20.0);
    assert_eq!(fleet.limited_counts(), vec![0; 12]);
}

/// Guards against an answer that was made before the target named its limit and arrives after it.
#[test]
fn answer_to_an_earlier_request_does_not_lift_a_limit() {
    let mut limits = only_node();
    assert!(name_limit(&mut limits, 100, 2.0));
    let mut answer = |ms, sent_ms| {
        let notice = LimitNotice::Unlimited;
        limits.record_answer(at(ms), (&target(), &centre()), at(sent_ms), notice)
    };
    assert!(!answer(150, 50));
    assert!(answer(400, 200));
    // A peer that has not heard of that repeats the limit.
    assert!(!limits.record_statement(at(450), &centre(), &statement(Some(2.0), 300)));
    assert_eq!(
        limits.permission(at(450), &target()),
        LimitPermission::Unlimited
    );
    // The target names it again.
    assert!(limits.record_statement(at(900), &centre(), &statement(Some(2.0), 100)));
}

/// Guards against a node that believes an older statement of a peer more than a newer one.
#[test]
fn newest_statement_about_a_limit_counts() {
    let mut limits = only_node();
    assert!(limits.record_statement(at(1_000), &centre(), &statement(Some(2.0), 100)));
    assert!(!limits.record_statement(at(1_010), &centre(), &statement(Some(4.0), 500)));
    assert!(!limits.record_statement(at(1_020), &centre(), &statement(None, 500)));
    assert!(limits.record_statement(at(1_030), &centre(), &statement(Some(4.0), 10)));
    assert!(limits.record_statement(at(1_040), &centre(), &statement(None, 0)));
    assert_eq!(limits.limited_count(), 0);
}

/// Guards against nodes that each take a share of a limit too small to be used: the requests that
/// they save up would exceed the limit.
#[test]
fn few_nodes_share_a_low_limit() {
    let vms = (0..30).map(|index| format!("vm-{index}"));
    let senders: Vec<LimitSender> = vms
        .map(|vm| LimitSender {
            vm: vm.parse().expect("a valid name"),
            data_centre: centre(),
        })
        .collect();
    for (rate, expected) in [(0.2, 1), (1.0, 1), (4.2, 4), (100.0, 30)] {
        let sending = senders.iter().filter(|sender| {
            let mut limits = TargetLimits::new(sender.vm.clone());
            limits.set_senders(at(0), senders.clone());
            name_limit(&mut limits, 0, rate);
            limits.permission(at(0), &target()) != LimitPermission::Elsewhere
        });
        assert_eq!(sending.count(), expected, "limit of {rate}");
    }
}

/// Guards against a target that is never asked again, so that nothing can lift its limit.
#[test]
fn target_with_a_limit_of_zero_is_asked_again() {
    let mut limits = only_node();
    name_limit(&mut limits, 0, 0.0);
    let LimitPermission::Beyond(wait) = limits.permission(at(0), &target()) else {
        panic!("the limit allows no request yet");
    };
    assert!(wait > Duration::from_secs(5) && wait <= Duration::from_secs(10));
    let later = limits.permission(at(10_000), &target());
    assert_eq!(later, LimitPermission::Within);
}

/// Guards against a request that waits for a limited target although another one is free, and one
/// that waits for its deadline although no target may take it.
#[test]
fn limited_targets_are_selected_only_if_their_limits_allow_it_soon() {
    let mut balancer = TargetBalancer::new(&own_vm(), centre());
    let free: TargetId = "i-2".parse().expect("a valid name");
    for id in [target(), free.clone()] {
        balancer.insert(at(0), id, centre(), 4, Duration::ZERO);
    }
    let mut limits = only_node();
    name_limit(&mut limits, 0, 2.0);
    let select = |limits: &TargetLimits, ms, tried: &[TargetId]| {
        let request = SelectionRequest {
            idempotence: Idempotence::Idempotent,
            tried,
            limits,
            notices: &TargetNotices::default(),
            trust: TargetTrust::Known,
            evacuations: &Evacuations::default(),
            crossing: CrossingCost::default(),
            seed: 0,
            spread: CostSpread::None,
        };
        balancer.select(at(ms), &request)
    };
    let selection = select(&limits, 100, &[]).expect("a target is free");
    assert_eq!(
        (&selection.target, selection.permit_wait),
        (&free, Duration::ZERO)
    );
    // The only other target takes a request about half a second after the limit was named.
    let tried = [free];
    let selection = select(&limits, 100, &tried).expect("the wait is short");
    assert!(selection.permit_wait > Duration::from_millis(300));
    assert!(selection.permit_wait <= Duration::from_millis(400));
    assert!(selection.expected_wait >= selection.permit_wait);
    for _ in 0..3 {
        limits.reserve(at(100), &target());
    }
    let Err(SelectionError::Limited(Some(wait))) = select(&limits, 100, &tried) else {
        panic!("three requests wait already");
    };
    assert!(wait > Duration::from_millis(1_600) && wait <= Duration::from_millis(1_900));
    limits.refund(at(100), &target());
    limits.refund(at(100), &target());
    let selection = select(&limits, 100, &tried).expect("requests were not sent");
    assert!(selection.permit_wait <= Duration::from_millis(900));
}

/// Guards against a limit that is exceeded although other targets are free, and against requests
/// that wait in long queues while a limit may still be exceeded a little.
#[test]
fn limit_is_exceeded_only_while_other_targets_are_busy() {
    let mut balancer = TargetBalancer::new(&own_vm(), centre());
    let free: TargetId = "i-2".parse().expect("a valid name");
    for id in [target(), free.clone()] {
        balancer.insert(at(0), id, centre(), 2, Duration::ZERO);
    }
    let mut limits = only_node();
    name_limit(&mut limits, 0, 10.0);
    let select = |balancer: &TargetBalancer, limits: &TargetLimits| {
        let request = SelectionRequest {
            idempotence: Idempotence::NonIdempotent,
            tried: &[],
            limits,
            notices: &TargetNotices::default(),
            trust: TargetTrust::Known,
            evacuations: &Evacuations::default(),
            crossing: CrossingCost::default(),
            seed: 0,
            spread: CostSpread::None,
        };
        let selection = balancer.select(at(900), &request);
        selection.expect("a target is left").target
    };
    // These requests use up what the limit allows, but not all of what may exceed it.
    for step in 0..9 {
        limits.reserve(at(step * 100), &target());
    }
    balancer.start_attempt(at(850), &free, Duration::from_secs(1));
    assert_eq!(select(&balancer, &limits), free);
    for _ in 0..4 {
        balancer.start_attempt(at(850), &free, Duration::from_secs(1));
    }
    assert_eq!(select(&balancer, &limits), target());
}
