//! Tests the budget of log lines.

use damaskloom_lib::line_budget::LineBudget;
use damaskloom_lib::time::MonoTime;

/// Guards against a flood of log lines during a fault, and against lines that are dropped without a
/// count.
#[test]
fn a_burst_is_written_and_the_rest_of_a_flood_is_suppressed_and_counted() {
    let at = |ms: u64| MonoTime::from_millis(1_000 + ms);
    let mut budget = LineBudget::new(at(0), 10.0);
    let written = (0..100).filter(|_| budget.try_take(at(0))).count();
    assert_eq!(written, 40);
    assert_eq!(budget.drain_suppressed(), 60);
    let written = (0..2_000).filter(|ms| budget.try_take(at(*ms))).count();
    assert!((19..=21).contains(&written), "{written}");
    assert_eq!(budget.drain_suppressed(), 2_000 - written as u64);
    assert_eq!(budget.drain_suppressed(), 0);
}
