//! Tests what each failure of an attempt proves.

use damaskloom_lib::attempt_failure::{AttemptFailure, PathEvidence};

/// Guards against counters that confuse whether an attempt reached a target with whether it ran.
#[test]
fn each_failure_says_whether_it_arrived_and_may_have_run() {
    let table: String = AttemptFailure::ALL
        .into_iter()
        .map(|failure| {
            let arrived = if failure.is_arrival() {
                "arrived"
            } else {
                "not sent"
            };
            let run = if failure.may_have_run() {
                "may have run"
            } else {
                "not run"
            };
            let path = match failure.path_evidence() {
                PathEvidence::None => "no evidence",
                PathEvidence::Answered => "path sound",
                PathEvidence::FailedOnTheWay => "failed on the way",
            };
            format!("{}: {arrived}, {run}, {path}\n", failure.label())
        })
        .collect();
    insta::assert_snapshot!(table, @r"
    no-connection: not sent, not run, no evidence
    unreachable: not sent, not run, failed on the way
    stale-connection: not sent, not run, no evidence
    withdrawn: not sent, not run, no evidence
    wrong-target: arrived, not run, path sound
    target-full: arrived, not run, path sound
    broken: arrived, may have run, failed on the way
    spoilt: arrived, may have run, path sound
    timed-out: arrived, may have run, failed on the way
    server-error: arrived, may have run, path sound
    ");
}

/// Guards against a failure that may have run although nothing was sent.
#[test]
fn what_may_have_run_has_arrived() {
    for failure in AttemptFailure::ALL {
        assert!(
            failure.is_arrival() || !failure.may_have_run(),
            "{failure:?}"
        );
    }
}
