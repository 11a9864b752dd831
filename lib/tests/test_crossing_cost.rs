//! Tests where a request goes if its route's answers are large: the pattern of downloads, where each crossing of
//! data centres is paid for by the byte.

use std::time::Duration;

use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crossing_cost::{CrossingCost, RouteSizes};
use damaskloom_lib::evacuation::Evacuations;
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::{DataCentreId, RouteId, TargetId, VmId};
use damaskloom_lib::target_balancer::TargetBalancer;
use damaskloom_lib::target_limits::TargetLimits;
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_selection::{CostSpread, SelectionRequest, TargetTrust};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::ByteSize;

const COST_PER_KB: f64 = 0.012;
const SLOTS: u32 = 6;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn vm() -> VmId {
    "vm-1".parse().expect("a valid name")
}

fn target(name: &str) -> TargetId {
    name.parse().expect("a valid name")
}

fn route(name: &str) -> RouteId {
    name.parse().expect("a valid name")
}

/// Returns the sizes of a route of bundles and one of short answers.
fn sizes() -> RouteSizes {
    let mut sizes = RouteSizes::default();
    for _ in 0..20 {
        sizes.record(&route("bundle"), ByteSize(90_000));
        sizes.record(&route("status"), ByteSize(1_500));
    }
    sizes
}

fn cost(name: &str) -> CrossingCost {
    sizes().crossing_cost(&route(name), COST_PER_KB)
}

/// Returns a balancer with a target nearby and one elsewhere, both known to be healthy.
fn balancer() -> TargetBalancer {
    let near: DataCentreId = "near".parse().expect("a valid name");
    let mut balancer = TargetBalancer::new(&vm(), near.clone());
    balancer.insert(at(0), target("near"), near, SLOTS, Duration::ZERO);
    let away = "away".parse().expect("a valid name");
    balancer.insert(at(0), target("far"), away, SLOTS, Duration::ZERO);
    for _ in 0..4 {
        for name in ["near", "far"] {
            balancer.record_signal(at(0), &target(name), FailureSignal::Good);
        }
    }
    balancer
}

fn select(balancer: &TargetBalancer, ms: u64, crossing: CrossingCost) -> TargetId {
    let request = SelectionRequest {
        idempotence: Idempotence::Idempotent,
        tried: &[],
        limits: &TargetLimits::new(vm()),
        notices: &TargetNotices::default(),
        trust: TargetTrust::Known,
        evacuations: &Evacuations::default(),
        crossing,
        seed: 0,
        spread: CostSpread::None,
    };
    let selection = balancer.select(at(ms), &request);
    selection.expect("there are targets").target
}

/// Guards against bundles that cross data centres whenever the near target is a little busier.
#[test]
fn a_large_answer_is_fetched_nearby_although_the_target_there_is_busier() {
    let mut balancer = balancer();
    for _ in 0..SLOTS + 2 {
        balancer.start_attempt(at(10), &target("near"), Duration::from_secs(9));
    }
    assert_eq!(select(&balancer, 20, cost("bundle")), target("near"));
    // Short answers leave a target with a queue.
    assert_eq!(select(&balancer, 20, cost("status")), target("far"));
}

/// Guards against bundles that wait in a long queue, or go to a failing target, only because it is near.
#[test]
fn a_large_answer_crosses_if_the_near_target_fails_or_has_a_long_queue() {
    let mut busy = balancer();
    for _ in 0..SLOTS * 3 {
        busy.start_attempt(at(10), &target("near"), Duration::from_secs(9));
    }
    assert_eq!(select(&busy, 20, cost("bundle")), target("far"));
    let mut failing = balancer();
    for _ in 0..3 {
        failing.record_signal(at(10), &target("near"), FailureSignal::FailedAtOnce);
    }
    assert_eq!(select(&failing, 20, cost("bundle")), target("far"));
}

/// Guards against bundles that are sent elsewhere only to learn a target's state.
#[test]
fn a_large_answer_is_no_trial_of_a_target_elsewhere() {
    let mut balancer = balancer();
    // Only the target elsewhere has had no request for long.
    balancer.start_attempt(at(2_900), &target("near"), Duration::from_secs(9));
    assert_eq!(select(&balancer, 3_000, cost("bundle")), target("near"));
    assert_eq!(select(&balancer, 3_000, cost("status")), target("far"));
}

/// Guards against a price that is a constant of the product, and against one learned from too few answers.
#[test]
fn the_operators_state_what_a_byte_costs() {
    let sizes = sizes();
    let per_kb = |cost| sizes.crossing_cost(&route("bundle"), cost).value();
    assert!((per_kb(0.001) - 0.09).abs() < 1e-9);
    assert!((per_kb(0.002) - 0.18).abs() < 1e-9);
    assert!(per_kb(0.0) > 0.0, "a crossing has a cost of its own");
    assert!(per_kb(1.0) < 0.3, "a failing target costs more");
    assert_eq!(cost("unknown"), CrossingCost::default());
    let mut few = RouteSizes::default();
    few.record(&route("bundle"), ByteSize(90_000_000));
    let cost = few.crossing_cost(&route("bundle"), COST_PER_KB);
    assert_eq!(cost, CrossingCost::default());
}
