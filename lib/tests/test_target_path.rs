//! Tests how a node notices that it is cut off from all targets.

use damaskloom_lib::ids::TargetId;
use damaskloom_lib::target_path::{PathState, TargetPath};

fn target(index: usize) -> TargetId {
    format!("i-{index}").parse().expect("a valid name")
}

fn doubtful_path() -> TargetPath {
    let mut path = TargetPath::default();
    for index in 0..3 {
        path.record_failure(&target(index));
    }
    assert_eq!(path.state(), PathState::Doubtful);
    path
}

/// Guards against a node that takes itself for cut off because of one failing target.
#[test]
fn one_failing_target_does_not_put_the_path_in_doubt() {
    let mut path = TargetPath::default();
    for _ in 0..100 {
        assert!(!path.record_failure(&target(1)));
        assert!(!path.record_failure(&target(2)));
    }
    assert!(path.is_evidence());
}

/// Guards against a node that takes itself for cut off while targets answer between failures.
#[test]
fn answers_keep_the_path_sound() {
    let mut path = TargetPath::default();
    for index in 0..100 {
        assert!(!path.record_failure(&target(index)));
        assert!(!path.record_failure(&target(index + 1_000)));
        path.record_answer();
    }
    assert!(path.is_evidence());
}

/// Guards against a doubt that never ends, and against one that is asked for twice.
#[test]
fn a_doubtful_path_is_decided_by_tries_or_an_answer() {
    let mut path = doubtful_path();
    assert!(!path.record_failure(&target(9)));
    assert!(path.record_try(true));
    assert!(path.is_evidence());
    let mut path = doubtful_path();
    path.record_answer();
    assert!(path.is_evidence());
    let mut path = doubtful_path();
    assert!(path.record_try(false));
    assert_eq!(path.state(), PathState::Cut);
}

/// Guards against callers that are called back by a path that comes and goes, or by an answer that was
/// on its way when the cut came.
#[test]
fn a_cut_path_returns_after_several_tries_in_a_row() {
    let mut path = doubtful_path();
    path.record_try(false);
    path.record_answer();
    let tries = [true, true, false, true, true];
    for has_connected in tries {
        assert!(!path.record_try(has_connected));
        assert_eq!(path.state(), PathState::Cut);
    }
    assert!(path.record_try(true));
    assert_eq!(path.state(), PathState::Sound);
    // Failures from before the cut do not count after it.
    assert!(!path.record_failure(&target(7)));
}
