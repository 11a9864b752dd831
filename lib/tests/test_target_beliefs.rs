//! Where requests go: the failure filter, the board of targets and the budget of repeats.

use std::time::Duration;

use damaskloom_lib::config::Idempotence;
use damaskloom_lib::failure_filter::{FailureFilter, FailureSignal};
use damaskloom_lib::ids::{DataCentreId, ServiceId, TargetId, VmId};
use damaskloom_lib::repeat_budget::{RepeatBudget, RepeatTerms};
use damaskloom_lib::target_balancer::{SelectionRequest, TargetBalancer, TargetCode};
use damaskloom_lib::time::MonoTime;

const USUAL_FAILURES: f64 = 0.012;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn target(name: &str) -> TargetId {
    name.parse().expect("a valid name")
}

fn centre(name: &str) -> DataCentreId {
    name.parse().expect("a valid name")
}

/// A board in data centre `near` with the named targets, which have two slots each.
fn board(targets: &[(&str, &str)]) -> TargetBalancer {
    let mut board = TargetBalancer::new(centre("near"));
    for (name, place) in targets {
        board.insert(at(0), target(name), centre(place), 2, Duration::ZERO);
    }
    board
}

fn choose(board: &TargetBalancer, ms: u64, idempotence: Idempotence, tried: &[TargetId]) -> String {
    let request = SelectionRequest {
        idempotence,
        tried,
        seed: 0,
    };
    let choice = board.select(at(ms), &request).expect("a target is left");
    choice.target.to_string()
}

#[test]
fn one_failure_at_once_makes_a_target_a_suspect() {
    let mut filter = FailureFilter::new(at(0));
    filter.observe(at(0), FailureSignal::Good, USUAL_FAILURES);
    filter.observe(at(100), FailureSignal::FailedAtOnce, USUAL_FAILURES);
    assert!(filter.probability(at(100)) > 0.9);
}

#[test]
fn a_usual_error_after_work_does_not_condemn_a_target() {
    let mut filter = FailureFilter::new(at(0));
    for ms in 0..5 {
        filter.observe(at(ms * 50), FailureSignal::Good, USUAL_FAILURES);
    }
    filter.observe(at(300), FailureSignal::Failed, USUAL_FAILURES);
    assert!(filter.probability(at(300)) < 0.5);
    filter.observe(at(400), FailureSignal::Failed, USUAL_FAILURES);
    filter.observe(at(500), FailureSignal::Failed, USUAL_FAILURES);
    assert!(filter.probability(at(500)) > 0.5);
}

#[test]
fn suspicion_fades_without_news_and_never_leaves_its_range() {
    let mut filter = FailureFilter::new(at(0));
    for ms in 0..50 {
        filter.observe(at(ms), FailureSignal::FailedAtOnce, USUAL_FAILURES);
    }
    let suspected = filter.probability(at(50));
    assert!(suspected < 1.0);
    assert!(filter.probability(at(2_000)) < suspected);
    assert!(filter.probability(at(60_000)) < 0.15);
}

#[test]
fn a_request_avoids_a_suspect_and_a_tried_target() {
    let mut board = board(&[("a", "near"), ("b", "near")]);
    board.record_signal(at(0), &target("a"), FailureSignal::FailedAtOnce);
    assert_eq!(choose(&board, 10, Idempotence::NonIdempotent, &[]), "b");
    assert_eq!(
        choose(&board, 10, Idempotence::NonIdempotent, &[target("b")]),
        "a"
    );
    let both = [target("a"), target("b")];
    let request = SelectionRequest {
        idempotence: Idempotence::Idempotent,
        tried: &both,
        seed: 0,
    };
    assert_eq!(board.select(at(10), &request), None);
}

#[test]
fn news_of_a_peer_counts_like_an_own_failure() {
    let mut board = board(&[("a", "near"), ("b", "near")]);
    board.record_peer_signal(at(0), &target("b"), FailureSignal::FailedAtOnce);
    assert_eq!(choose(&board, 10, Idempotence::NonIdempotent, &[]), "a");
}

#[test]
fn near_targets_come_first_until_they_are_busy() {
    let mut board = board(&[("far", "away"), ("near", "near")]);
    assert_eq!(choose(&board, 10, Idempotence::NonIdempotent, &[]), "near");
    for _ in 0..4 {
        board.start_attempt(at(10), &target("near"));
    }
    assert_eq!(choose(&board, 20, Idempotence::NonIdempotent, &[]), "far");
}

#[test]
fn requests_of_peers_and_reports_count_as_load() {
    let peer: VmId = "vm-2".parse().expect("a valid name");
    let mut board = board(&[("a", "near"), ("b", "near")]);
    board.record_peer_counts(at(0), &peer, &[(TargetCode::from(&target("a")), 4)]);
    assert_eq!(choose(&board, 10, Idempotence::NonIdempotent, &[]), "b");
    board.record_peer_counts(at(20), &peer, &[]);
    board.record_load_report(at(20), &target("b"), 6);
    assert_eq!(choose(&board, 30, Idempotence::NonIdempotent, &[]), "a");
}

#[test]
fn an_unused_target_is_tried_by_a_request_that_may_be_sent_again() {
    let mut board = board(&[("used", "near"), ("unused", "away")]);
    for ms in 1..30 {
        let running = board.start_attempt(at(ms * 50), &target("used"));
        board.finish_attempt(at(ms * 50 + 20), &target("used"), running);
    }
    assert_eq!(
        choose(&board, 1_500, Idempotence::Idempotent, &[]),
        "unused"
    );
    // But not while it is suspected of failing.
    board.record_peer_signal(at(1_500), &target("unused"), FailureSignal::FailedAtOnce);
    assert_eq!(choose(&board, 1_510, Idempotence::Idempotent, &[]), "used");
}

#[test]
fn an_answer_that_is_due_counts_once_as_late() {
    let mut board = board(&[("a", "near"), ("b", "near")]);
    let running = board.start_attempt(at(0), &target("a"));
    let late = board.late_threshold();
    let due = at(0) + late;
    assert!(board.collect_late(at(1)).is_empty());
    assert_eq!(board.collect_late(due), [target("a")]);
    assert!(board.collect_late(due).is_empty());
    let (_, was_late) = board.finish_attempt(due, &target("a"), running);
    assert!(was_late);
}

#[test]
fn a_target_that_starts_anew_is_not_judged_by_its_past() {
    let mut board = board(&[("a", "near")]);
    board.record_signal(at(0), &target("a"), FailureSignal::FailedAtOnce);
    let before = board.failing_probability(at(10), &target("a"));
    board.insert(at(10), target("a"), centre("near"), 2, Duration::ZERO);
    assert!(board.failing_probability(at(10), &target("a")) < before);
}

#[test]
fn the_fleet_keeps_its_budget_of_repeats() {
    let terms = RepeatTerms {
        ratio: 0.2,
        slack: 64.0,
        window: Duration::from_secs(10),
    };
    let service: ServiceId = "desk".parse().expect("a valid name");
    let nodes = 12;
    let mut budgets: Vec<RepeatBudget> = (0..nodes)
        .map(|_| {
            let mut budget = RepeatBudget::new(terms);
            budget.set_node_count(nodes);
            budget
        })
        .collect();
    // Each request wants a repeat; the node of each is the next in turn.
    let mut repeats = Vec::new();
    for ms in 0..30_000_u64 {
        if ms % 5 != 0 {
            continue;
        }
        let budget = &mut budgets[(ms / 5) as usize % nodes];
        budget.record_request(at(ms), &service);
        if budget.try_spend(at(ms), &service) {
            repeats.push(ms);
        }
    }
    let requests_in_window = 2_000.0;
    let allowed = requests_in_window * terms.ratio + terms.slack;
    for from in (0..20_000).step_by(100) {
        let inside = repeats
            .iter()
            .filter(|at| (from..from + 10_000).contains(*at))
            .count();
        assert!(inside as f64 <= allowed, "{inside} from {from} ms");
    }
    assert!(repeats.len() > 100, "the budget is of use");
}

#[test]
fn answers_that_near_peers_got_make_a_target_trusted() {
    let mut board = board(&[("proven", "near"), ("unknown", "near")]);
    for ms in 1..4 {
        board.record_peer_successes(at(ms * 100), &[TargetCode::from(&target("proven"))]);
    }
    for seed in 0..4 {
        let request = SelectionRequest {
            idempotence: Idempotence::NonIdempotent,
            tried: &[],
            seed,
        };
        let choice = board.select(at(400), &request).expect("there are targets");
        assert_eq!(choice.target, target("proven"));
        assert!(choice.failing_probability < 0.02, "{choice:?}");
    }
}
