//! Tests how a node notices that it is cut off from all targets.

use damaskloom_lib::ids::{ServiceId, TargetId};
use damaskloom_lib::target_path::{PathState, TargetPath, TargetPaths};

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

/// Guards against a node that takes itself for reachable, since it had answers of a service that it has
/// not sent requests to of late, and against one that leaves the directory although it reaches a service.
#[test]
fn a_cut_path_puts_those_of_other_services_in_doubt() {
    let service = |name: &str| -> ServiceId { name.parse().expect("a valid name") };
    let (desk, dispatch) = (service("desk"), service("dispatch"));
    let mut paths = TargetPaths::default();
    assert!(!paths.are_all_cut());
    paths.path_mut(&dispatch).record_answer();
    for index in 0..3 {
        paths.path_mut(&desk).record_failure(&target(index));
    }
    paths.path_mut(&desk).record_try(false);
    paths.doubt_all();
    assert_eq!(
        paths.unsound(),
        [
            (dispatch.clone(), PathState::Doubtful),
            (desk.clone(), PathState::Cut)
        ]
    );
    assert!(!paths.are_all_cut());
    paths.path_mut(&dispatch).record_try(true);
    assert!(!paths.are_all_cut());
    assert_eq!(paths.state(&desk), PathState::Cut);
    paths.doubt_all();
    paths.path_mut(&dispatch).record_try(false);
    assert!(paths.are_all_cut());
}
