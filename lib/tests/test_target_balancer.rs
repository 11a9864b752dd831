//! Tests target selection: the failure filter and the target balancer.

use std::time::Duration;

use damaskloom_lib::balanced_target::{CapacityRefusal, ReportedLoad};
use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crossing_cost::CrossingCost;
use damaskloom_lib::evacuation::Evacuations;
use damaskloom_lib::failure_filter::{FailureFilter, FailureSignal};
use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::target_balancer::{TargetBalancer, TargetCode};
use damaskloom_lib::target_limits::TargetLimits;
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_selection::{CostSpread, SelectionError, SelectionRequest, TargetTrust};
use damaskloom_lib::time::MonoTime;

const BASELINE_FAILURE_RATE: f64 = 0.012;
const LATE_AFTER: Duration = Duration::from_millis(500);

/// Returns the name of the node under test.
fn own_vm() -> VmId {
    "vm-1".parse().expect("a valid name")
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn target(name: &str) -> TargetId {
    name.parse().expect("a valid name")
}

fn data_centre(name: &str) -> DataCentreId {
    name.parse().expect("a valid name")
}

fn no_limits() -> TargetLimits {
    TargetLimits::new("here".parse().expect("a valid name"))
}

/// Returns the report of a target with two slots.
fn reported(running: u32, waiting: u32) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slots: Some(2),
    }
}

/// Returns a balancer of a node in data centre `near`; each target has two slots.
fn balancer(targets: &[(&str, &str)]) -> TargetBalancer {
    let mut balancer = TargetBalancer::new(&own_vm(), data_centre("near"));
    for (name, data_centre_name) in targets {
        balancer.insert(
            at(0),
            target(name),
            data_centre(data_centre_name),
            2,
            Duration::ZERO,
        );
    }
    balancer
}

fn select(
    balancer: &TargetBalancer,
    ms: u64,
    idempotence: Idempotence,
    tried: &[TargetId],
) -> String {
    let request = SelectionRequest {
        idempotence,
        tried,
        limits: &no_limits(),
        notices: &TargetNotices::default(),
        trust: TargetTrust::Known,
        evacuations: &Evacuations::default(),
        crossing: CrossingCost::default(),
        seed: 0,
        spread: CostSpread::None,
    };
    let choice = balancer.select(at(ms), &request).expect("a target is left");
    choice.target.to_string()
}

/// Guards against further requests to a target that has just failed one at once.
#[test]
fn one_immediate_failure_makes_a_target_suspected() {
    let mut filter = FailureFilter::new(at(0));
    filter.observe(at(0), FailureSignal::Good, BASELINE_FAILURE_RATE);
    filter.observe(at(100), FailureSignal::FailedAtOnce, BASELINE_FAILURE_RATE);
    assert!(filter.probability(at(100)) > 0.9);
}

/// Guards against the loss of a healthy target for one error in the work itself; repeated errors
/// count.
#[test]
fn a_single_error_after_work_does_not_make_a_target_suspected() {
    let mut filter = FailureFilter::new(at(0));
    for ms in 0..5 {
        filter.observe(at(ms * 50), FailureSignal::Good, BASELINE_FAILURE_RATE);
    }
    filter.observe(at(300), FailureSignal::Failed, BASELINE_FAILURE_RATE);
    assert!(filter.probability(at(300)) < 0.5);
    filter.observe(at(400), FailureSignal::Failed, BASELINE_FAILURE_RATE);
    filter.observe(at(500), FailureSignal::Failed, BASELINE_FAILURE_RATE);
    assert!(filter.probability(at(500)) > 0.5);
}

/// Guards against a target that stays suspected for good, since it gets no requests that could
/// clear it.
#[test]
fn suspicion_decays_without_answers_and_stays_within_bounds() {
    let mut filter = FailureFilter::new(at(0));
    for ms in 0..50 {
        filter.observe(at(ms), FailureSignal::FailedAtOnce, BASELINE_FAILURE_RATE);
    }
    let suspected = filter.probability(at(50));
    assert!(suspected < 1.0);
    assert!(filter.probability(at(2_000)) < suspected);
    assert!(filter.probability(at(60_000)) < 0.15);
}

/// Guards against a retry at a target that has failed the request, even if the only other one is
/// suspected.
#[test]
fn a_request_avoids_suspected_and_tried_targets() {
    let mut balancer = balancer(&[("a", "near"), ("b", "near")]);
    balancer.record_signal(at(0), &target("a"), FailureSignal::FailedAtOnce);
    assert_eq!(select(&balancer, 10, Idempotence::NonIdempotent, &[]), "b");
    assert_eq!(
        select(&balancer, 10, Idempotence::NonIdempotent, &[target("b")]),
        "a"
    );
    let both = [target("a"), target("b")];
    let request = SelectionRequest {
        idempotence: Idempotence::Idempotent,
        tried: &both,
        limits: &no_limits(),
        notices: &TargetNotices::default(),
        trust: TargetTrust::Known,
        evacuations: &Evacuations::default(),
        crossing: CrossingCost::default(),
        seed: 0,
        spread: CostSpread::None,
    };
    assert_eq!(
        balancer.select(at(10), &request),
        Err(SelectionError::NoTarget)
    );
}

/// Guards against each node having to lose a request of its own at a failing target.
#[test]
fn a_peers_signal_counts_like_an_own_failure() {
    let mut balancer = balancer(&[("a", "near"), ("b", "near")]);
    balancer.record_peer_signal(at(0), &target("b"), FailureSignal::FailedAtOnce);
    assert_eq!(select(&balancer, 10, Idempotence::NonIdempotent, &[]), "a");
}

/// Guards against needless requests across data centres, and against queues at a busy local target.
#[test]
fn local_targets_are_preferred_until_they_are_busy() {
    let mut balancer = balancer(&[("far", "away"), ("near", "near")]);
    assert_eq!(
        select(&balancer, 10, Idempotence::NonIdempotent, &[]),
        "near"
    );
    for _ in 0..4 {
        balancer.start_attempt(at(10), &target("near"), LATE_AFTER);
    }
    assert_eq!(
        select(&balancer, 20, Idempotence::NonIdempotent, &[]),
        "far"
    );
}

/// Guards against nodes that fill one target together, since each knows its own requests only.
#[test]
fn peer_counts_and_load_reports_count_as_load() {
    let peer: VmId = "vm-2".parse().expect("a valid name");
    let mut balancer = balancer(&[("a", "near"), ("b", "near")]);
    balancer.record_peer_counts(at(0), &peer, &[(TargetCode::from(&target("a")), 4)]);
    assert_eq!(select(&balancer, 10, Idempotence::NonIdempotent, &[]), "b");
    balancer.record_peer_counts(at(20), &peer, &[]);
    balancer.record_load_report(at(20), &target("b"), reported(6, 0));
    assert_eq!(select(&balancer, 30, Idempotence::NonIdempotent, &[]), "a");
}

/// Guards against a target that is never used and whose state stays unknown. A suspected target is not
/// explored.
#[test]
fn an_unused_target_is_explored_by_a_retryable_request() {
    let mut balancer = balancer(&[("used", "near"), ("unused", "away")]);
    for ms in 1..30 {
        let running = balancer.start_attempt(at(ms * 50), &target("used"), LATE_AFTER);
        balancer.finish_attempt(&target("used"), running);
    }
    assert_eq!(
        select(&balancer, 1_500, Idempotence::Idempotent, &[]),
        "unused"
    );
    // A suspected target is not explored.
    balancer.record_peer_signal(at(1_500), &target("unused"), FailureSignal::FailedAtOnce);
    assert_eq!(
        select(&balancer, 1_510, Idempotence::Idempotent, &[]),
        "used"
    );
}

/// Guards against a request that is refused for the long queue of a target, which it only tries, while another
/// target is free.
#[test]
fn a_target_without_free_slots_is_not_tried() {
    let mut balancer = balancer(&[("free", "near"), ("hung", "near")]);
    for _ in 0..8 {
        balancer.start_attempt(at(0), &target("hung"), LATE_AFTER);
    }
    balancer.start_attempt(at(1_900), &target("free"), LATE_AFTER);
    let request = SelectionRequest {
        idempotence: Idempotence::Idempotent,
        tried: &[],
        limits: &no_limits(),
        notices: &TargetNotices::default(),
        trust: TargetTrust::Known,
        evacuations: &Evacuations::default(),
        crossing: CrossingCost::default(),
        seed: 0,
        spread: CostSpread::None,
    };
    let choice = balancer.select(at(2_000), &request);
    let choice = choice.expect("there are targets");
    assert_eq!(choice.target, target("free"));
    assert!(choice.expected_wait.is_zero());
}

/// Guards against a slow attempt that counts as late again at each check or when it ends.
#[test]
fn a_late_answer_is_counted_once() {
    let mut balancer = balancer(&[("a", "near"), ("b", "near")]);
    let running = balancer.start_attempt(at(0), &target("a"), LATE_AFTER);
    let due = at(0) + LATE_AFTER;
    assert!(balancer.collect_late(at(1)).is_empty());
    assert_eq!(balancer.collect_late(due), [target("a")]);
    assert!(balancer.collect_late(due).is_empty());
    assert!(balancer.finish_attempt(&target("a"), running));
}

/// Guards against a restarted target that stays suspected for the failures of its earlier process.
#[test]
fn a_restart_resets_a_targets_failing_probability() {
    let mut balancer = balancer(&[("a", "near")]);
    balancer.record_signal(at(0), &target("a"), FailureSignal::FailedAtOnce);
    let before = balancer.failing_probability(at(10), &target("a"));
    balancer.insert(at(10), target("a"), data_centre("near"), 2, Duration::ZERO);
    assert!(balancer.failing_probability(at(10), &target("a")) < before);
}

/// Guards against requests to a target in unknown state although peers know another one to work.
#[test]
fn successes_of_local_peers_lower_the_failing_probability() {
    let mut balancer = balancer(&[("proven", "near"), ("unknown", "near")]);
    for ms in 1..4 {
        balancer.record_peer_successes(at(ms * 100), &[TargetCode::from(&target("proven"))]);
    }
    for seed in 0..4 {
        let request = SelectionRequest {
            idempotence: Idempotence::NonIdempotent,
            tried: &[],
            limits: &no_limits(),
            notices: &TargetNotices::default(),
            trust: TargetTrust::Known,
            evacuations: &Evacuations::default(),
            crossing: CrossingCost::default(),
            seed,
            spread: CostSpread::None,
        };
        let choice = balancer
            .select(at(400), &request)
            .expect("there are targets");
        assert_eq!(choice.target, target("proven"));
        assert!(choice.failing_probability < 0.02, "{choice:?}");
    }
}

/// Guards against a target that loses its requests for refusing some of them while its slots are free; one that
/// is full, or says nothing of its load, is avoided.
#[test]
fn a_refusal_with_free_slots_does_not_mark_the_target_full() {
    let id = target("a");
    let refusal = |report: Option<(u64, ReportedLoad)>| {
        let mut balancer = balancer(&[("a", "near"), ("b", "away")]);
        if let Some((ms, report)) = report {
            balancer.record_load_report(at(ms), &id, report);
        }
        let refusal = balancer.record_refusal(at(100), &id);
        (
            refusal,
            select(&balancer, 101, Idempotence::NonIdempotent, &[]),
        )
    };
    let shedding = (CapacityRefusal::Shedding, "a".to_owned());
    let full = (CapacityRefusal::Full, "b".to_owned());
    assert_eq!(refusal(Some((100, reported(1, 0)))), shedding);
    assert_eq!(refusal(Some((80, reported(0, 0)))), shedding);
    assert_eq!(refusal(Some((20, reported(0, 0)))).0, CapacityRefusal::Full);
    assert_eq!(refusal(Some((100, reported(2, 9)))), full);
    assert_eq!(refusal(None).0, CapacityRefusal::Full);
}
