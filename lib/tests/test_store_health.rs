//! Tests which failed calls are taken for an outage of the store.

use std::time::Duration;

use damaskloom_lib::store_health::StoreHealth;
use damaskloom_lib::time::MonoTime;

/// The interval at which targets renew their announcements.
const INTERVAL: Duration = Duration::from_millis(1_500);

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(1_000 + ms)
}

/// Returns the health after an answer and failed calls that started at times.
fn failing(starts_ms: &[u64]) -> StoreHealth {
    let mut health = StoreHealth::default();
    health.record_answer(at(0), 0);
    for start in starts_ms {
        health.record_failure(at(*start));
    }
    health
}

/// Guards against targets that are kept although their announcements were removed, since a connection to
/// the store was reset or has gone silent.
#[test]
fn a_single_failed_call_is_no_outage() {
    let health = failing(&[0]);
    for ms in [10, 2_000, 60_000] {
        assert!(!health.is_outage(at(ms), INTERVAL, false));
    }
    assert!(health.is_answering());
    assert!(!health.is_last_call_answered());
}

/// Guards against the same where a second call fails too, but not for long enough for an announcement to
/// expire.
#[test]
fn failures_that_are_shorter_than_an_announcement_interval_are_no_outage() {
    let health = failing(&[0, 300]);
    assert!(!health.is_answering());
    assert!(!health.is_outage(at(1_499), INTERVAL, false));
    assert!(health.is_outage(at(1_500), INTERVAL, false));
}

/// Guards against the loss of running targets whose announcements expired in an outage that other nodes
/// notice later than this one.
#[test]
fn an_outage_counts_although_other_nodes_have_not_noticed_it_yet() {
    let health = failing(&[0, 300, 900]);
    assert!(health.is_outage(at(4_999), INTERVAL, true));
}

/// Guards against a node that is cut off from the store, or turned away by it, and takes that for an
/// outage: it would keep targets that have left, and tell others to keep them.
#[test]
fn a_store_that_answers_other_nodes_is_in_service() {
    let health = failing(&[0, 300, 900]);
    assert!(!health.is_outage(at(5_000), INTERVAL, true));
    assert!(health.is_outage(at(5_000), INTERVAL, false));
}

/// Guards against an outage that is remembered after the store has answered, or counted from earlier
/// failures.
#[test]
fn an_answer_ends_a_series_of_failures() {
    let mut health = failing(&[0, 300]);
    health.record_answer(at(1_000), 0);
    assert!(health.is_last_call_answered());
    assert_eq!(health.failing_since(), None);
    assert!(!health.is_outage(at(9_000), INTERVAL, false));
    health.record_failure(at(20_000));
    health.record_failure(at(20_300));
    assert_eq!(health.failing_since(), Some(at(20_000)));
    assert!(!health.is_outage(at(21_000), INTERVAL, false));
}

/// Guards against a node that says of a store which was away that it has answered all the while.
#[test]
fn a_reading_counts_from_the_last_outage_or_restore() {
    let answering = |health: &StoreHealth, ms| {
        let reading = health.reading(at(ms), INTERVAL);
        reading.map(|reading| (reading.era, reading.answering_ms))
    };
    let mut health = StoreHealth::default();
    assert_eq!(answering(&health, 0), None);
    health.record_answer(at(0), 0);
    health.record_answer(at(4_000), 0);
    assert_eq!(answering(&health, 6_999), Some((0, 6_999)));
    assert_eq!(answering(&health, 7_000), None);
    // A single failed call may have failed with its connection.
    health.record_failure(at(7_000));
    assert_eq!(answering(&health, 7_001), None);
    health.record_answer(at(7_100), 0);
    assert_eq!(answering(&health, 7_200), Some((0, 7_200)));
    health.record_failure(at(8_000));
    health.record_failure(at(8_300));
    health.record_answer(at(9_000), 0);
    assert_eq!(answering(&health, 9_500), Some((0, 500)));
    health.record_answer(at(10_000), 1);
    assert_eq!(answering(&health, 10_200), Some((1, 200)));
}
