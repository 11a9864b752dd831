//! Tests what counts as late, or as an immediate failure, where routes of different speed share targets.

use std::time::Duration;

use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::{DataCentreId, RouteId, VmId};
use damaskloom_lib::route_timing::RouteTimings;
use damaskloom_lib::target_balancer::{AttemptTime, TargetBalancer};

const OBJECTIVE: Duration = Duration::from_secs(2);
const AMPLE: AttemptTime = AttemptTime {
    until_deadline: Duration::from_secs(8),
    until_late: OBJECTIVE,
};

/// Returns the name of the node under test.
fn own_vm() -> VmId {
    "vm-1".parse().expect("a valid name")
}

fn route(name: &str) -> RouteId {
    name.parse().expect("a valid name")
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the timings of a service with two answers of a fast route for each one of a slow route.
fn mixed_timings() -> RouteTimings {
    let mut timings = RouteTimings::default();
    for _ in 0..40 {
        timings.record(&route("slow"), ms(600));
        timings.record(&route("fast"), ms(60));
        timings.record(&route("fast"), ms(60));
    }
    timings
}

/// Guards against healthy targets that are suspected right after the start of the fleet: a route's answers
/// are not late by an assumed running time.
#[test]
fn before_its_first_answers_a_routes_objective_decides_what_is_late() {
    let mut timings = RouteTimings::default();
    assert_eq!(timings.late_threshold(&route("slow"), OBJECTIVE), OBJECTIVE);
    // Answers of another route do not change that.
    for _ in 0..40 {
        timings.record(&route("fast"), ms(60));
    }
    assert_eq!(timings.late_threshold(&route("slow"), OBJECTIVE), OBJECTIVE);
}

/// Guards against a slow route whose usual answers are late by the mean over all routes, and against a fast
/// one whose targets may be slow by a multiple before that counts.
#[test]
fn late_is_judged_by_the_routes_own_running_times() {
    let timings = mixed_timings();
    assert_eq!(timings.late_threshold(&route("slow"), OBJECTIVE), ms(2_400));
    assert_eq!(timings.late_threshold(&route("fast"), OBJECTIVE), ms(250));
    assert!(timings.typical() > ms(200) && timings.typical() < ms(300));
}

/// Guards against an error in the work of a fast route that counts as an immediate one, which only failing
/// targets are known for.
#[test]
fn an_immediate_failure_is_judged_by_the_routes_own_running_times() {
    let centre: DataCentreId = "near".parse().expect("a valid name");
    let mut balancer = TargetBalancer::new(&own_vm(), centre);
    for _ in 0..40 {
        balancer.record_running_time(&route("slow"), ms(600));
        balancer.record_running_time(&route("fast"), ms(60));
    }
    let classify = |name: &str, taken| balancer.classify_failure(&route(name), taken, AMPLE);
    assert_eq!(classify("fast", ms(20)), Some(FailureSignal::Failed));
    assert_eq!(classify("slow", ms(20)), Some(FailureSignal::FailedAtOnce));
}

/// Guards against evidence from requests whose own deadline is shorter than the work on them.
#[test]
fn a_request_without_time_for_its_work_is_no_evidence() {
    let centre: DataCentreId = "near".parse().expect("a valid name");
    let mut balancer = TargetBalancer::new(&own_vm(), centre);
    for _ in 0..40 {
        balancer.record_running_time(&route("slow"), ms(600));
    }
    let hurried = AttemptTime {
        until_deadline: ms(400),
        until_late: ms(2_400),
    };
    let classify = |taken| balancer.classify_failure(&route("slow"), taken, hurried);
    assert_eq!(classify(ms(399)), None);
    // An error well before the deadline is the target's own.
    assert_eq!(classify(ms(200)), Some(FailureSignal::Failed));
    assert_eq!(classify(ms(1)), Some(FailureSignal::FailedAtOnce));
}

/// Guards against memory that grows with each configuration that names its routes anew.
#[test]
fn the_times_of_the_oldest_routes_are_forgotten() {
    let mut timings = mixed_timings();
    for number in 0..2_000 {
        timings.record(&route(&format!("route-{number}")), ms(60));
    }
    assert_eq!(timings.late_threshold(&route("slow"), OBJECTIVE), OBJECTIVE);
}
