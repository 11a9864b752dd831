//! Burn counts over their windows, their sums over nodes, and the limits on memory.

use std::time::Duration;

use damaskloom_lib::burn_budget::{BurnState, ErrorBudget};
use damaskloom_lib::burn_snapshot::{BurnCause, BurnCount, BurnSnapshot, BurnWindow};
use damaskloom_lib::ids::{CustomerId, ServiceId};
use damaskloom_lib::service_burn::{BurnEvent, BurnLimits, BurnRecorder};
use damaskloom_lib::time::MonoTime;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn service() -> ServiceId {
    "hiredesk".parse().expect("the name is an identifier")
}

fn customer(index: usize) -> CustomerId {
    let name = format!("c{index}");
    name.parse().expect("the name is an identifier")
}

fn cause(target: usize) -> BurnCause {
    BurnCause {
        target: Some(
            format!("t{target}")
                .parse()
                .expect("the name is an identifier"),
        ),
        data_centre: None,
        reason: "status-500".to_owned(),
    }
}

fn record(recorder: &mut BurnRecorder, now: MonoTime, index: usize, bad: bool) {
    let (service, customer) = (service(), customer(index));
    let event = BurnEvent {
        service: &service,
        objective_ppm: 999_000,
        customer: Some(&customer),
        failure: bad.then(|| cause(index)),
    };
    recorder.record(now, event);
}

fn seconds(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

fn windows(total: u64, bad: [u64; 4]) -> [BurnCount; 4] {
    bad.map(|bad| BurnCount { total, bad })
}

/// Guards against requests that are counted too long or not long enough, or lost in the sum over
/// nodes, at random gaps between requests.
#[test]
fn windows_are_accurate_to_one_bucket_and_add_up_over_nodes() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let event = (0u64..40_000, 0usize..2, 0usize..3, proptest::bool::ANY);
    let strategy = proptest::collection::vec(event, 1..60);
    let outcome = TestRunner::new_with_rng(config, rng).run(&strategy, |events| {
        let mut now = seconds(1_000_000);
        let mut recorders = [0, 1].map(|_| BurnRecorder::new(now, BurnLimits::default()));
        let mut history = Vec::new();
        for (gap, node, index, bad) in events {
            now = now + Duration::from_secs(gap);
            record(&mut recorders[node], now, index, bad);
            history.push((now, bad));
        }
        let mut sum = BurnSnapshot::default();
        for (node, recorder) in recorders.iter().enumerate() {
            sum.merge(recorder.snapshot(now, format!("node{node}")));
        }
        let service = &sum.services[0];
        for (count, window) in service.windows.iter().zip(BurnWindow::ALL) {
            let bucket = window.length() / 30;
            let within = |limit: Duration| {
                let events = history.iter().filter(|(at, _)| now.since(*at) < limit);
                events.clone().count() as u64
            };
            proptest::prop_assert!(count.total >= within(window.length() - bucket));
            proptest::prop_assert!(count.total <= within(window.length()));
        }
        for index in 0..4 {
            let total = service.windows[index];
            let customers = service
                .customers
                .iter()
                .map(|customer| customer.windows[index]);
            proptest::prop_assert_eq!(
                total.total,
                customers.clone().map(|one| one.total).sum::<u64>()
            );
            proptest::prop_assert_eq!(total.bad, customers.map(|one| one.bad).sum::<u64>());
            let causes = service.causes.iter().map(|cause| cause.windows[index].bad);
            proptest::prop_assert_eq!(total.bad, causes.sum::<u64>());
            let buckets = service.history[index].iter().map(|bucket| bucket.total);
            proptest::prop_assert_eq!(total.total, buckets.sum::<u64>());
        }
        Ok(())
    });
    outcome.expect("the counts agree");
}

/// Guards against unbounded memory and against lost counts when there are more customers or causes
/// than are counted separately, and against series that never expire.
#[test]
fn series_above_the_limits_are_counted_together() {
    let limits = BurnLimits {
        services: 1,
        customers: 2,
        causes: 1,
        ..BurnLimits::default()
    };
    let mut recorder = BurnRecorder::new(seconds(0), limits);
    for index in 0..5 {
        record(&mut recorder, seconds(1), index, true);
    }
    let snapshot = recorder.snapshot(seconds(2), "n");
    let service = &snapshot.services[0];
    let customers: Vec<_> = service
        .customers
        .iter()
        .map(|one| one.windows[0].bad)
        .collect();
    assert_eq!(customers, [1, 1, 3]);
    let causes: Vec<_> = service
        .causes
        .iter()
        .map(|one| one.windows[0].bad)
        .collect();
    assert_eq!(causes, [1, 4]);
    recorder.expire(seconds(400_000));
    assert!(recorder.snapshot(seconds(400_000), "n").services.is_empty());
}

/// Guards against unbounded memory from series that are within the separate limits of services,
/// customers and causes.
#[test]
fn the_limit_on_all_series_holds() {
    let limits = BurnLimits {
        series: 10,
        ..BurnLimits::default()
    };
    let mut recorder = BurnRecorder::new(seconds(0), limits);
    for index in 0..100 {
        record(&mut recorder, seconds(1), index, true);
    }
    let snapshot = recorder.snapshot(seconds(2), "n");
    let service = &snapshot.services[0];
    // The last event below the limit and the two series for all others may exceed it.
    let series = 1 + service.customers.len() + service.causes.len();
    assert!(series <= 10 + 3, "{series}");
    assert_eq!(service.windows[0].bad, 100);
}

/// Guards against an alarm on a short peak that is over, and against a missing alarm on a slow
/// burn.
#[test]
fn the_budget_state_follows_from_burn_rates_over_several_windows() {
    // 0.1% may fail; 100,000 requests in each window.
    for (bad, state, remaining, hours) in [
        ([0, 0, 0, 0], BurnState::Steady, 1.0, None),
        ([900, 50, 50, 50], BurnState::Steady, 0.5, None),
        ([0, 150, 150, 50], BurnState::Slow, 0.5, Some(24.0)),
        ([900, 900, 0, 50], BurnState::Fast, 0.5, Some(4.0)),
        ([0, 0, 0, 100], BurnState::Spent, 0.0, Some(0.0)),
    ] {
        let budget = ErrorBudget::new(&windows(100_000, bad), 999_000);
        assert_eq!(budget.state, state, "{bad:?}");
        assert!((budget.remaining - remaining).abs() < 1e-9, "{bad:?}");
        let exhausted = budget
            .exhausted_in()
            .map(|time| time.as_secs_f64() / 3_600.0);
        assert_eq!(exhausted.is_some(), hours.is_some(), "{bad:?}");
        let difference = exhausted.unwrap_or_default() - hours.unwrap_or_default();
        assert!(difference.abs() < 1e-3, "{bad:?}: {exhausted:?}");
    }
    let strict = ErrorBudget::new(&windows(10, [0, 0, 0, 1]), 1_000_000);
    assert_eq!(strict.state, BurnState::Spent);
}

/// Guards against nodes that cannot read the counts of a later release, which may have more fields.
#[test]
fn a_snapshot_round_trips_through_json_and_ignores_unknown_fields() {
    let mut recorder = BurnRecorder::new(seconds(0), BurnLimits::default());
    record(&mut recorder, seconds(1), 0, true);
    let snapshot = recorder.snapshot(seconds(2), "n");
    let mut json = serde_json::to_value(&snapshot).expect("it serialises");
    json["later_field"] = true.into();
    let read: BurnSnapshot = serde_json::from_value(json).expect("it is read");
    assert_eq!(read, snapshot);
}
