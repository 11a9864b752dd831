//! Tests that crashing requests are refused after two targets, without harm to other requests.

use std::time::Duration;

use damaskloom_lib::crash_guard::{
    BLOCK_MS, CONFIRMATION_WINDOW_MS, CrashAction, CrashGuard, CrashMessage, MAX_SUSPECTS,
    MAX_SUSPECTS_PER_CUSTOMER, RequestDigest, RequestFingerprint,
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
        for message in messages(&actions) {
            for other in (0..3).filter(|other| *other != index) {
                let actions_of_peer = guards[other].handle_message(now, message.clone());
                let exempts_target = |action: &CrashAction| {
                    matches!(action, CrashAction::Exempt { target: exempted, .. }
                        if *exempted == target(index))
                };
                assert!(
                    actions_of_peer.iter().any(exempts_target),
                    "the target is not exempted"
                );
            }
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
