//! Picking of targets: local ones first, the least loaded, and none that misreports its load.

use std::time::Duration;

use damaskloom_lib::config::{Target, TargetState};
use damaskloom_lib::evidence::AttemptOutcome;
use damaskloom_lib::ids::TargetId;
use damaskloom_lib::mixer::mix;
use damaskloom_lib::target_picker::{RAMP_UP_MS, TargetPicker, TargetStanding};
use damaskloom_lib::time::MonoTime;
use indexmap::IndexMap;

const PICKS: u64 = 4_000;

fn target(index: usize) -> Target {
    Target {
        id: id(index),
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: ["khatgal", "khankh"][index % 2].parse().unwrap(),
        slots: 2,
        connections: 400,
        state: TargetState::Active,
    }
}

fn id(index: usize) -> TargetId {
    format!("target-{index}").parse().unwrap()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn picker(count: usize) -> TargetPicker {
    let targets: Vec<Target> = (0..count).map(target).collect();
    let mut picker = TargetPicker::new("khatgal".parse().unwrap());
    picker.set_targets(at(0), &targets);
    picker
}

fn shares(
    picker: &TargetPicker,
    now: MonoTime,
    standing_of: impl Fn(&TargetId) -> TargetStanding,
) -> IndexMap<TargetId, f64> {
    let mut shares = IndexMap::new();
    for seed in 0..PICKS {
        let picked = picker.pick(now, mix(seed), &[], &standing_of).unwrap();
        *shares.entry(picked).or_insert(0.0) += 1.0 / PICKS as f64;
    }
    shares
}

fn share_of(picker: &TargetPicker, now: MonoTime, index: usize) -> f64 {
    let shares = shares(picker, now, |_| TargetStanding::Serving);
    shares.get(&id(index)).copied().unwrap_or_default()
}

/// Guards against needless requests across data centres, and against overloaded local targets
/// beside idle remote ones.
#[test]
fn local_targets_are_preferred_until_they_are_busier() {
    let mut picker = picker(6);
    let local_share = |picker: &TargetPicker| -> f64 {
        [0, 2, 4]
            .map(|index| share_of(picker, at(1), index))
            .iter()
            .sum()
    };
    assert!(local_share(&picker) > 0.99);
    for index in [0, 2, 4] {
        picker.set_reported_load(at(1), &id(index), 4.0);
    }
    for index in [1, 3, 5] {
        picker.set_reported_load(at(1), &id(index), 1.0);
    }
    assert!(local_share(&picker) < 0.55, "{}", local_share(&picker));
}

/// Guards against new requests to a target that is about to stop and looks idle.
#[test]
fn a_leaving_target_gets_nothing_whatever_it_reports() {
    let mut picker = picker(4);
    picker.set_leaving(&id(0), true);
    picker.set_reported_load(at(1), &id(0), 0.0);
    picker.set_reported_load(at(1), &id(2), 9.0);
    assert_eq!(share_of(&picker, at(1), 0), 0.0);
    let mut leaving: Vec<Target> = (0..4).map(target).collect();
    leaving[2].state = TargetState::Leaving;
    picker.set_targets(at(2), &leaving);
    assert_eq!(share_of(&picker, at(2), 2), 0.0);
}

/// Guards against requests to an ejected target. An avoided one is used if there is no other.
#[test]
fn an_ejected_target_gets_nothing_even_if_it_is_the_last() {
    let picker = picker(2);
    let ejected = |_: &TargetId| TargetStanding::Ejected;
    assert_eq!(picker.pick(at(1), 1, &[], ejected), None);
    let avoided = |_: &TargetId| TargetStanding::Avoided;
    assert!(picker.pick(at(1), 1, &[], avoided).is_some());
}

/// Guards against further requests to a target that has just shed one. If all targets have shed, one
/// is picked nevertheless.
#[test]
fn a_target_that_shed_is_skipped_for_the_delay_it_requested() {
    let mut picker = picker(4);
    picker.set_shed_delay(at(0), &id(0), Duration::from_secs(2));
    assert_eq!(share_of(&picker, at(1_999), 0), 0.0);
    assert!(share_of(&picker, at(2_001), 0) > 0.2);
    for index in 0..4 {
        picker.finish(at(3_000), &id(index), AttemptOutcome::Shed);
    }
    let all_shed = picker.pick(at(3_001), 1, &[], |_| TargetStanding::Serving);
    assert!(
        all_shed.is_some(),
        "a target is picked even if all have shed"
    );
}

/// Guards against a target that looks idle because it fails each request at once.
#[test]
fn fast_failures_count_as_load() {
    let mut picker = picker(6);
    for index in [0, 2, 4] {
        picker.set_reported_load(at(0), &id(index), 1.0);
    }
    picker.set_reported_load(at(0), &id(0), 0.0);
    assert!(share_of(&picker, at(0), 0) > 0.5);
    for millis in 0..3 {
        picker.start(&id(0));
        picker.finish(at(millis), &id(0), AttemptOutcome::Failed);
    }
    assert!(share_of(&picker, at(3), 0) < 0.1);
}

/// Guards against a target that looks idle because it always reports the same load.
#[test]
fn a_stuck_load_report_is_ignored() {
    let mut picker = picker(6);
    for round in 0..12 {
        picker.set_reported_load(at(round), &id(0), 0.0);
        for index in [2, 4] {
            picker.set_reported_load(at(round), &id(index), (round % 3) as f32);
        }
    }
    for index in [2, 4] {
        picker.set_reported_load(at(12), &id(index), 1.0);
    }
    assert!(share_of(&picker, at(12), 0) < 0.45);
}

/// Guards against a burst of requests on a target that has just joined or recovered and has no load
/// yet.
#[test]
fn a_reinstated_or_new_target_ramps_up_slowly() {
    let mut picker = picker(4);
    picker.set_ejected_by(at(0), |target| *target == id(0));
    picker.set_ejected_by(at(1_000), |_| false);
    let first = share_of(&picker, at(1_001), 0);
    let later = share_of(&picker, at(1_000 + RAMP_UP_MS), 0);
    assert!(first < 0.15 && later > 0.4, "{first} then {later}");

    let targets: Vec<Target> = (0..6).map(target).collect();
    picker.set_targets(at(20_000), &targets);
    assert!(share_of(&picker, at(20_001), 4) < 0.1);
}
