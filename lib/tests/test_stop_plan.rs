//! Tests which requests a stopping process still takes.

use std::time::Duration;

use damaskloom_lib::stop_plan::StopPlan;
use damaskloom_lib::time::MonoTime;

/// Guards against requests that are taken late in the grace period and cut off at its end, and against
/// short ones that are refused although there is time for them.
#[test]
fn a_request_is_taken_only_if_it_usually_ends_before_the_process() {
    let at = MonoTime::from_millis;
    let plan = StopPlan { ends_at: at(5_700) };
    let usual = Duration::from_millis(1_300);
    assert!(plan.allows(at(0), usual));
    assert!(plan.allows(at(4_400), usual));
    assert!(!plan.allows(at(4_401), usual));
    assert!(plan.allows(at(4_401), Duration::from_millis(250)));
    assert!(!plan.allows(at(6_000), Duration::ZERO));
}
