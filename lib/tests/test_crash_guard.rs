//! Tests that crashing requests are refused after two targets, without harm to other requests.

use std::time::Duration;

use damaskloom_lib::crash_guard::{
    BLOCK_MS, CONFIRMATION_WINDOW_MS, CheckResult, CrashAction, CrashGuard, CrashMessage,
    MAX_SUSPECTS, MAX_SUSPECTS_PER_CUSTOMER, RequestDigest, RequestFingerprint,
};
use damaskloom_lib::ids::{Incarnation, NodeId, TargetId};
use damaskloom_lib::time::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

pub fn target(index: usize) -> TargetId {
    format!("target-{index}").parse().unwrap()
}

pub fn request(customer: usize, body: usize) -> RequestFingerprint {
    RequestFingerprint {
        customer: format!("customer-{customer}").parse().unwrap(),
        route: "bookings".parse().unwrap(),
        digest: RequestDigest::of(b"POST", b"/bookings", &body.to_le_bytes()),
    }
}

pub fn node(index: usize) -> NodeId {
    NodeId {
        vm: format!("vm-{index}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn crash(
    guard: &mut CrashGuard,
    now: MonoTime,
    fingerprint: &RequestFingerprint,
    index: usize,
) -> Vec<CrashAction> {
    guard.record_lost_connection(now, fingerprint, &target(index));
    guard.record_unreachable(now, &target(index))
}

pub fn messages(actions: &[CrashAction]) -> Vec<CrashMessage> {
    let sent = actions.iter().filter_map(|action| match action {
        CrashAction::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

/// Guards against a request that crashes one target after another, through different nodes. The
/// crashed targets must not be blamed for missing answers.
#[test]
fn crashes_of_two_targets_block_the_request_on_every_node() {
    let mut guards: Vec<CrashGuard> = (0..3).map(|_| CrashGuard::new()).collect();
    for guard in &mut guards {
        guard.set_peers([node(9)]);
    }
    let crasher = request(0, 0);
    for (index, now) in [(0, at(0)), (1, at(5_000))] {
        let actions = crash(&mut guards[index], now, &crasher, index);
        for other in (0..3).filter(|other| *other != index) {
            let mut exempted = Vec::new();
            for message in messages(&actions) {
                for action in guards[other].handle_message(now, message) {
                    if let CrashAction::Exempt { target, .. } = action {
                        exempted.push(target);
                    }
                }
            }
            assert_eq!(exempted, [target(index)]);
        }
        for guard in &guards {
            assert_eq!(guard.check(now, &crasher).is_some(), index == 1);
        }
    }
    assert_eq!(guards[2].check(at(5_000 + BLOCK_MS), &crasher), None);
}

/// Guards against the refusal of an innocent request: a bad target fails it twice, and another
/// target is unreachable only long after it lost the connection.
#[test]
fn neither_one_target_twice_nor_an_unconfirmed_crash_blocks() {
    let mut guard = CrashGuard::new();
    let unlucky = request(0, 0);
    crash(&mut guard, at(0), &unlucky, 0);
    crash(&mut guard, at(1_000), &unlucky, 0);
    guard.record_lost_connection(at(2_000), &unlucky, &target(1));
    guard.record_unreachable(at(2_001 + CONFIRMATION_WINDOW_MS), &target(1));
    assert_eq!(guard.check(at(9_000), &unlucky), None);
}

/// Guards against the refusal of a request that lost its connections only because another request
/// crashed the same targets.
#[test]
fn a_request_that_ran_beside_the_crashing_one_is_cleared_by_a_success() {
    let mut guards: Vec<CrashGuard> = (0..2).map(|_| CrashGuard::new()).collect();
    for guard in &mut guards {
        guard.set_peers([node(9)]);
    }
    let (crasher, poll) = (request(0, 0), request(0, 1));
    for (index, now) in [(0, at(0)), (1, at(5_000))] {
        guards[index].record_lost_connection(now, &poll, &target(index));
        let mut sent = messages(&crash(&mut guards[index], now, &crasher, index));
        if index == 0 {
            sent.extend(messages(&guards[0].record_success(now, &poll)));
        }
        for message in sent {
            guards[1 - index].handle_message(now, message);
        }
    }
    for guard in &guards {
        assert_eq!(guard.check(at(5_001), &poll), None);
        assert!(guard.check(at(5_001), &crasher).is_some());
    }
}

/// Guards against the refusal of a frequent request, such as a poll, that often runs when a target
/// crashes.
#[test]
fn a_recently_successful_request_is_not_suspected() {
    let mut guard = CrashGuard::new();
    let poll = request(0, 1);
    guard.record_success(at(0), &poll);
    crash(&mut guard, at(1_000), &poll, 0);
    crash(&mut guard, at(2_000), &poll, 1);
    assert!(guard.is_idle());
    assert_eq!(guard.check(at(2_001), &poll), None);
}

/// Guards against a customer that gets the same request of another customer refused, or displaces
/// its entries by many crashing requests.
#[test]
fn a_customer_neither_blocks_nor_displaces_another() {
    let mut guard = CrashGuard::new();
    crash(&mut guard, at(0), &request(0, 7), 0);
    crash(&mut guard, at(1), &request(0, 7), 1);
    assert_eq!(guard.check(at(2), &request(1, 7)), None);
    for body in 0..10 * MAX_SUSPECTS_PER_CUSTOMER {
        crash(&mut guard, at(10), &request(1, body), 0);
    }
    assert!(guard.check(at(11), &request(0, 7)).is_some());
}

/// Guards against unbounded memory when peers report crashes of very many different requests.
#[test]
fn the_number_of_suspects_is_bounded_whatever_peers_report() {
    let mut guard = CrashGuard::new();
    let customers = MAX_SUSPECTS / MAX_SUSPECTS_PER_CUSTOMER + 4;
    let bodies = MAX_SUSPECTS_PER_CUSTOMER + 4;
    let mut blocked = 0;
    for customer in 0..customers {
        for body in 0..bodies {
            for index in 0..2 {
                let message = CrashMessage::TookDown {
                    fingerprint: request(customer, body),
                    target: target(index),
                };
                guard.handle_message(at(0), message);
            }
        }
    }
    for customer in 0..customers {
        let own = (0..bodies)
            .filter(|body| guard.check(at(1), &request(customer, *body)).is_some())
            .count();
        assert!(own <= MAX_SUSPECTS_PER_CUSTOMER);
        blocked += own;
    }
    assert!(blocked <= MAX_SUSPECTS);
    guard.tick(at(0) + Duration::from_secs(3_600));
    assert!(guard.is_idle());
}

/// Loses a connection and reports the results of the checks that follow; returns the crash messages and the
/// number of checks.
fn lose_and_check(
    guard: &mut CrashGuard,
    now: MonoTime,
    fingerprint: &RequestFingerprint,
    index: usize,
    results: &[CheckResult],
) -> (Vec<CrashMessage>, usize) {
    let mut actions = guard.record_lost_connection(now, fingerprint, &target(index));
    let (mut sent, mut checks, mut started_at) = (Vec::new(), 0, now);
    while let Some(delay) = actions.iter().find_map(|action| match action {
        CrashAction::Check { target: due, delay } if *due == target(index) => Some(*delay),
        _ => None,
    }) {
        started_at = started_at + delay;
        let result = results[checks];
        checks += 1;
        actions = guard.record_check(started_at, &target(index), started_at, result);
        sent.extend(messages(&actions));
    }
    (sent, checks)
}

/// Guards against a crashing request that goes on because no other request happens to come to the crashed
/// target in time.
#[test]
fn crashes_without_other_requests_block_the_request() {
    let mut guards: Vec<CrashGuard> = (0..3).map(|_| CrashGuard::new()).collect();
    for guard in &mut guards {
        guard.set_peers([node(9)]);
    }
    let crasher = request(0, 0);
    // The connections of the second target end a little before its listener.
    let results = [CheckResult::Up, CheckResult::Down];
    for (index, now) in [(0, at(0)), (1, at(100_000))] {
        let results = &results[1 - index..];
        let (sent, _) = lose_and_check(&mut guards[index], now, &crasher, index, results);
        for message in sent {
            for other in (0..3).filter(|other| *other != index) {
                guards[other].handle_message(now, message.clone());
            }
        }
    }
    for guard in &guards {
        assert!(guard.check(at(100_500), &crasher).is_some());
    }
}

/// Guards against requests that are blamed for connections that a gray target or a cut path has lost, and
/// against endless checks.
#[test]
fn lost_connections_alone_are_no_crashes() {
    for results in [
        &[CheckResult::Up, CheckResult::Up][..],
        &[CheckResult::Unknown],
    ] {
        let mut guard = CrashGuard::new();
        guard.set_peers([node(9)]);
        for index in 0..4 {
            let now = at(500 * index as u64);
            let (sent, checks) = lose_and_check(&mut guard, now, &request(0, 0), index, results);
            assert_eq!((sent.len(), checks), (0, results.len()), "{results:?}");
        }
        assert_eq!(guard.check(at(3_000), &request(0, 0)), None);
    }
}

/// Guards against a failed connect that confirms a crash by itself: the path may have failed.
#[test]
fn a_failed_connect_after_a_lost_connection_is_checked() {
    let mut guard = CrashGuard::new();
    guard.set_peers([node(9)]);
    lose_and_check(&mut guard, at(0), &request(0, 0), 0, &[CheckResult::Up; 2]);
    let actions = guard.record_failed_connect(at(1_000), &target(0));
    assert!(matches!(actions[..], [CrashAction::Check { .. }]));
    assert!(
        guard
            .record_failed_connect(at(1_000), &target(1))
            .is_empty()
    );
    let actions = guard.record_check(at(1_000), &target(0), at(1_000), CheckResult::Down);
    assert_eq!(messages(&actions).len(), 1);
}

/// Guards against a node that missed the report of the first crash, or has started since then, and lets
/// the request run again.
#[test]
fn the_report_of_the_last_crash_includes_the_earlier_ones() {
    let mut guards = [CrashGuard::new(), CrashGuard::new()];
    guards[0].set_peers([node(9)]);
    let crasher = request(0, 0);
    crash(&mut guards[0], at(0), &crasher, 0);
    for message in messages(&crash(&mut guards[0], at(5_000), &crasher, 1)) {
        guards[1].handle_message(at(5_000), message);
    }
    assert!(guards[1].check(at(5_001), &crasher).is_some());
}
