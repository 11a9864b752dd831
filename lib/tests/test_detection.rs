//! Detection of each fault mode, absence of false ejections, and the bound on false alarms.
//!
//! Most tests run a simulated fleet of 24 nodes with one faulty target of 15.

use std::time::Duration;

use damaskloom_lib::config::{DetectionMode, PolicyMode};
use damaskloom_lib::detector::TargetDetector;
use damaskloom_lib::evidence::{
    AttemptOutcome, AttemptScope, EvidenceAction, EvidenceDigest, EvidenceLog, EvidenceMessage,
    select_evaluators,
};
use damaskloom_lib::ids::{Incarnation, NodeId, TargetId};
use damaskloom_lib::mixer::SeedSequence;
use damaskloom_lib::sequential_test::ScorePair;
use damaskloom_lib::target_picker::TargetStanding;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::verdict::TargetVerdict;

use crate::support::fault::{FaultMode, TargetFault};
use crate::support::fleet::{Fleet, FleetOptions};

const BAD: usize = 3;
const NODES: usize = 24;
const FAULT_AT_MS: u64 = 8_000;

fn fleet(seed: u64) -> Fleet {
    Fleet::new(FleetOptions {
        nodes: NODES,
        targets: 15,
        slots: 2,
        floor: 12,
        mode: DetectionMode::Fast,
        policy: PolicyMode::Adaptive,
        load: 0.5,
        seed,
    })
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn fleet_with_fault(mode: FaultMode, seed: u64) -> Fleet {
    let mut fleet = fleet(seed);
    fleet.faults.push(TargetFault {
        target: BAD,
        mode,
        from: at(FAULT_AT_MS),
        until: at(1_000_000),
    });
    fleet.run_until(at(FAULT_AT_MS));
    fleet
}

/// Returns the time from the fault to the ejection on every node, in milliseconds.
fn detection_ms(mode: FaultMode, seed: u64, limit_ms: u64) -> Option<u128> {
    let mut fleet = fleet_with_fault(mode, seed);
    let ejected_at = fleet.run_until_ejected(BAD, at(FAULT_AT_MS + limit_ms))?;
    assert_eq!(fleet.counts.wrong_ejections, 0, "{mode:?} seed {seed}");
    Some(ejected_at.since(at(FAULT_AT_MS)).as_millis())
}

fn assert_ejected_within(mode: FaultMode, limit_ms: u64) {
    for seed in 0..3 {
        let elapsed = detection_ms(mode, seed, limit_ms);
        assert!(elapsed.is_some(), "{mode:?} seed {seed}");
    }
}

/// Guards against a target that fails only a part of its requests and therefore stays in use.
#[test]
fn partial_errors_are_detected() {
    assert_ejected_within(FaultMode::Errors(0.5), 2_000);
    assert_ejected_within(FaultMode::Errors(0.2), 4_000);
    assert_ejected_within(FaultMode::Errors(0.05), 60_000);
}

/// Guards against detection that waits for outcomes: a target that hangs, or is slow on all routes
/// or on one, gives none or few before the deadline.
#[test]
fn slow_and_missing_answers_are_detected_long_before_the_deadline() {
    assert_ejected_within(FaultMode::Hang, 2_500);
    assert_ejected_within(FaultMode::Slow(10.0), 2_500);
    assert_ejected_within(FaultMode::SlowRoute(10.0), 5_000);
}

/// Guards against a target that rejects valid requests, which looks like faults of the callers.
#[test]
fn a_wrong_status_is_detected() {
    assert_ejected_within(FaultMode::WrongStatus, 2_000);
}

/// A target that fails fast looks idle, so that least-loaded picking would send it more requests.
#[test]
fn fast_errors_are_detected_and_attract_no_traffic() {
    assert_ejected_within(FaultMode::FastErrors(1.0), 1_500);
    let mut fleet = fleet_with_fault(FaultMode::FastErrors(0.05), 1);
    let before = fleet.counts.per_target.clone();
    fleet.run_until(at(FAULT_AT_MS + 3_000));
    let received = |index: usize| fleet.counts.per_target[index] - before[index];
    let mean = (0..15).map(received).sum::<u64>() / 15;
    assert!(received(BAD) < mean * 3 / 2, "{} of {mean}", received(BAD));
}

/// Guards against a target that recovers each time before the evidence against it suffices.
#[test]
fn flapping_is_detected_at_short_and_long_periods() {
    for period in [2, 10, 60] {
        assert_ejected_within(FaultMode::Flap(Duration::from_secs(period)), 62_000);
    }
}

/// Eight nodes lose their path to a healthy target, which the other sixteen still reach.
#[test]
fn a_target_that_some_nodes_cannot_reach_is_avoided_by_those_only() {
    for seed in 0..3 {
        let mut fleet = fleet_with_fault(FaultMode::Unreachable(8), seed);
        fleet.run_until(at(FAULT_AT_MS + 10_000));
        assert_eq!(fleet.count_standing(BAD, TargetStanding::Ejected), 0);
        let target = fleet.target_ids[BAD].clone();
        let serving = (0..NODES).filter(|node| {
            fleet.nodes[*node].standing(fleet.now, &target) == TargetStanding::Serving
        });
        assert!(serving.filter(|node| *node >= 8).count() >= 14);
        let before = fleet.counts.clone();
        fleet.run_until(at(FAULT_AT_MS + 20_000));
        let failed = fleet.counts.failed - before.failed;
        let requests = fleet.counts.requests - before.requests;
        assert!(failed * 200 < requests, "{failed} of {requests}");
        assert_eq!(fleet.counts.ejections, 0);
    }
}

/// A load report that is stuck at zero would make a target look idle forever.
#[test]
fn a_stuck_load_report_attracts_no_traffic() {
    let mut fleet = fleet_with_fault(FaultMode::StuckLoad, 2);
    fleet.run_until(at(FAULT_AT_MS + 5_000));
    let before = fleet.counts.per_target.clone();
    fleet.run_until(at(FAULT_AT_MS + 15_000));
    let received = |index: usize| fleet.counts.per_target[index] - before[index];
    let mean = (0..15).map(received).sum::<u64>() / 15;
    assert!(received(BAD) < mean * 3 / 2, "{} of {mean}", received(BAD));
}

/// Guards against the ejection of a target for its load, which would increase the load of the
/// others.
#[test]
fn shedding_is_overload_and_not_a_fault() {
    let mut fleet = fleet_with_fault(FaultMode::Shed(0.5), 0);
    fleet.run_until(at(FAULT_AT_MS + 4_000));
    let target = fleet.target_ids[BAD].clone();
    let verdicts: Vec<TargetVerdict> = fleet
        .nodes
        .iter()
        .filter_map(|node| node.explain(fleet.now, &target))
        .map(|explanation| explanation.verdict)
        .collect();
    assert_eq!(verdicts, [TargetVerdict::Overloaded; 3]);
    assert_eq!(fleet.counts.ejections, 0);
}

/// Guards against ejections that only remove capacity, since all targets fail for the same reason.
#[test]
fn a_fault_of_the_whole_service_ejects_no_target() {
    for share in [0.2, 0.5, 1.0] {
        let mut fleet = fleet(5);
        fleet.faults = (0..15)
            .map(|target| TargetFault {
                target,
                mode: FaultMode::Errors(share),
                from: at(FAULT_AT_MS),
                until: at(1_000_000),
            })
            .collect();
        fleet.run_until(at(FAULT_AT_MS + 10_000));
        assert_eq!(fleet.counts.ejections, 0, "{share}");
    }
}

/// Guards against a customer whose faulty requests get healthy targets ejected.
#[test]
fn a_customer_whose_own_requests_fail_causes_no_ejection() {
    for customer in [0, 4] {
        let mut fleet = fleet(6);
        fleet.run_until(at(FAULT_AT_MS));
        fleet.failing_customer = Some(customer);
        fleet.run_until(at(FAULT_AT_MS + 20_000));
        assert_eq!(fleet.counts.ejections, 0, "customer {customer}");
    }
}

/// Guards against a customer whose faulty requests raise the baseline so far that a bad target is
/// not detected.
#[test]
fn a_customer_whose_own_requests_fail_does_not_hide_a_bad_target() {
    for seed in 0..3 {
        let mut fleet = fleet(seed);
        fleet.failing_customer = Some(0);
        fleet.faults.push(TargetFault {
            target: BAD,
            mode: FaultMode::Errors(0.5),
            from: at(FAULT_AT_MS),
            until: at(1_000_000),
        });
        fleet.run_until(at(FAULT_AT_MS));
        let ejected_at = fleet.run_until_ejected(BAD, at(FAULT_AT_MS + 5_000));
        assert!(ejected_at.is_some(), "seed {seed}");
        assert_eq!(fleet.counts.wrong_ejections, 0);
    }
}

/// Guards against a target that stays ejected after its recovery, or is ejected again on evidence
/// from before.
#[test]
fn a_recovered_target_serves_again_and_is_not_ejected_again() {
    let mut fleet = fleet(9);
    fleet.faults.push(TargetFault {
        target: BAD,
        mode: FaultMode::Errors(0.5),
        from: at(FAULT_AT_MS),
        until: at(FAULT_AT_MS + 3_000),
    });
    fleet.run_until(at(FAULT_AT_MS + 3_000));
    assert!(fleet.is_ejected_everywhere(BAD));
    fleet.run_until(at(FAULT_AT_MS + 12_000));
    assert_eq!(fleet.count_standing(BAD, TargetStanding::Ejected), 0);
    fleet.run_until(at(FAULT_AT_MS + 30_000));
    assert_eq!(fleet.counts.ejections, 1);
}

fn node(index: usize) -> NodeId {
    NodeId {
        vm: format!("vm-{index}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn scope(target: &str, customer: &str) -> AttemptScope {
    AttemptScope {
        target: target.parse().unwrap(),
        route: "slots".parse().unwrap(),
        customer: customer.parse().unwrap(),
    }
}

fn record(log: &mut EvidenceLog, outcome: AttemptOutcome, count: usize) {
    for _ in 0..count {
        log.record(
            at(1),
            &scope("target-0", "acme"),
            outcome,
            Duration::from_millis(20),
        );
    }
}

fn digest(log: &mut EvidenceLog, now: MonoTime) -> EvidenceDigest {
    match log.tick(now).pop() {
        Some(EvidenceAction::Pool(digest)) => digest,
        other => panic!("a single node evaluates its own evidence, but got {other:?}"),
    }
}

fn detector() -> TargetDetector {
    let mut detector = TargetDetector::new(DetectionMode::Fast);
    detector.set_targets((0..4).map(|index| format!("target-{index}").parse().unwrap()));
    detector
}

fn score(detector: &TargetDetector) -> f32 {
    let target: TargetId = "target-0".parse().unwrap();
    detector.explain(at(1), &target).unwrap().score
}

/// Messages may be duplicated, also after later ones have arrived.
#[test]
fn a_digest_that_arrives_twice_counts_once() {
    let mut log = EvidenceLog::new(node(0), "desk".parse().unwrap());
    let mut detector = detector();
    record(&mut log, AttemptOutcome::Failed, 2);
    let first = digest(&mut log, at(1));
    record(&mut log, AttemptOutcome::Failed, 1);
    let second = digest(&mut log, at(1_000));
    detector.pool(at(1), &node(0), &first);
    let once = score(&detector);
    detector.pool(at(1), &node(0), &first);
    assert_eq!(score(&detector), once);
    detector.pool(at(1), &node(0), &second);
    let both = score(&detector);
    assert!(both > once);
    detector.pool(at(1), &node(0), &first);
    assert_eq!(score(&detector), both);
}

/// Guards against a score that blames the target for failures which follow the customer.
#[test]
fn a_failure_counts_less_if_its_customer_fails_on_other_targets() {
    let score_after = |failures_elsewhere: usize| {
        let mut log = EvidenceLog::new(node(0), "desk".parse().unwrap());
        let mut detector = detector();
        let mut fail = |target: &str| {
            let scope = scope(target, "acme");
            log.record(
                at(1),
                &scope,
                AttemptOutcome::Failed,
                Duration::from_millis(20),
            );
        };
        (0..failures_elsewhere).for_each(|_| fail("target-1"));
        (0..10).for_each(|_| fail("target-0"));
        detector.pool(at(1), &node(0), &digest(&mut log, at(1)));
        score(&detector)
    };
    assert!(score_after(0) > 6.0, "{}", score_after(0));
    assert!(score_after(200) < 2.0, "{}", score_after(200));
}

/// Guards against the ejection of a target that serves requests but fails its health check.
#[test]
fn failed_probes_alone_raise_no_suspicion() {
    let mut log = EvidenceLog::new(node(0), "desk".parse().unwrap());
    let mut detector = detector();
    for _ in 0..1_000 {
        log.record_probe(
            &"target-0".parse().unwrap(),
            &"slots".parse().unwrap(),
            false,
        );
    }
    detector.pool(at(1), &node(0), &digest(&mut log, at(1)));
    assert_eq!(score(&detector), 0.0);
}

/// A target that a request is known to have crashed would otherwise be ejected for the crash.
#[test]
fn missing_answers_of_an_exempt_target_are_no_evidence() {
    let mut log = EvidenceLog::new(node(0), "desk".parse().unwrap());
    log.exempt(at(0), &"target-0".parse().unwrap(), Duration::from_secs(10));
    record(&mut log, AttemptOutcome::ConnectFailed, 20);
    assert_eq!(log.tick(at(1)), []);
    record(&mut log, AttemptOutcome::Failed, 1);
    assert_eq!(log.tick(at(1_000)).len(), 1);
}

/// Guards against nodes that cannot read the digests of a later release, which may have more
/// fields.
#[test]
fn unknown_fields_of_a_message_are_ignored() {
    let json = r#"{"digest":{"sequence":3,"later":true,"entries":[
        {"t":"target-0","r":"slots","g":2,"colour":"red"}]}}"#;
    let EvidenceMessage::Digest(digest) = serde_json::from_str(json).unwrap();
    assert_eq!(digest.entries[0].successes, 2);
    assert_eq!(digest.entries[0].failure_millinats, [0, 0]);
}

/// Nodes learn of their peers in different orders and hold no election.
#[test]
fn every_node_selects_the_same_evaluators() {
    let service = "desk".parse().unwrap();
    let forward = select_evaluators(&service, (0..48).map(node));
    let backward = select_evaluators(&service, (0..48).rev().map(node));
    assert_eq!(forward, backward);
    assert_eq!(forward.len(), 3);
}

/// Checks Lorden's bound of `e^-h` alarms per step under the null hypothesis.
///
/// The threshold is low enough for alarms to occur.
#[test]
fn false_alarms_stay_within_the_bound() {
    const OBSERVATIONS: usize = 1_000_000;
    const THRESHOLD: f32 = 7.0;
    let mut random = SeedSequence::new(42);
    for null_rate in [0.005, 0.02, 0.1, 0.5] {
        let (mut chart, mut alarms) = (ScorePair::default(), [0.0; 2]);
        for _ in 0..OBSERVATIONS {
            let bad = random.next_unit() < null_rate;
            chart.accumulate(ScorePair::of(null_rate, bad), f32::MAX);
            for (score, alarms) in [&mut chart.strong, &mut chart.weak]
                .into_iter()
                .zip(&mut alarms)
            {
                if *score >= THRESHOLD {
                    *score = 0.0;
                    *alarms += 1.0;
                }
            }
        }
        let bound = OBSERVATIONS as f64 * f64::from(-THRESHOLD).exp();
        assert!(
            alarms.iter().all(|count| *count <= bound),
            "{alarms:?} at {null_rate}"
        );
    }
}
