//! Tests that the fleet keeps within what cold targets stand, and uses it.

use std::time::Duration;

use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::routing::WarmupRule;
use damaskloom_lib::target_limits::{LimitPermission, LimitSender};
use damaskloom_lib::target_warmups::{ColdSource, ColdTarget, TargetWarmups};
use damaskloom_lib::time::MonoTime;

use crate::limit_fleet::LimitFleet;

/// The figures of a known deployment; with the default bound, a cold target gets 8.5 requests in a second.
const RATE_PER_S: f64 = 4.5;
const MAX_IN_A_SECOND: usize = 8;
const NODES: usize = 100;
const TARGETS: usize = 20;

fn warmup(period_ms: u64) -> WarmupRule {
    WarmupRule {
        period: Duration::from_millis(period_ms),
        rate_per_s: RATE_PER_S,
    }
}

/// What happens to a third of the nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Third {
    Present,
    CutOff,
    Gone,
    /// The nodes restart one after another during the warm-up.
    Restarting,
}

/// Runs a fleet whose targets all turn cold `lead_ms` after something happens to a third of the nodes.
fn run(seed: u64, third: Third, lead_ms: u64, period_ms: u64) -> (usize, f64) {
    let mut fleet = LimitFleet::new(seed, NODES, TARGETS);
    fleet.run(5_000, 0.0);
    match third {
        Third::Present | Third::Restarting => {}
        Third::CutOff => fleet.cut_off(NODES / 3),
        Third::Gone => (0..NODES / 3).for_each(|node| fleet.set_up(node, false)),
    }
    fleet.run(lead_ms, 0.0);
    fleet.begin_warmup(warmup(period_ms));
    if third == Third::Restarting {
        for node in 0..NODES / 3 {
            fleet.set_up(node, false);
            fleet.run(period_ms / 50, 10.0);
            fleet.set_up(node, true);
        }
    }
    fleet.run(period_ms + 1_000, 10.0);
    fleet.cold_use()
}

/// Guards against a cold target that gets more requests than it stands, since nodes differ in their
/// knowledge of it, have restarted, or are cut off from each other but not from the targets.
#[test]
fn cold_targets_get_no_more_than_they_stand() {
    let mut least_used = f64::INFINITY;
    for period_ms in [3_000, 10_000] {
        for (seed, third) in [
            Third::Present,
            Third::CutOff,
            Third::Gone,
            Third::Restarting,
        ]
        .into_iter()
        .enumerate()
        {
            for lead_ms in [0, 2_000, 4_500, 12_000] {
                let (worst, used) = run(seed as u64 + lead_ms, third, lead_ms, period_ms);
                println!(
                    "{third:?}, {lead_ms} ms before, {period_ms} ms cold: at most {worst} a second, {used:.2} used"
                );
                assert!(worst <= MAX_IN_A_SECOND, "{third:?}, {lead_ms} ms: {worst}");
                if third == Third::Present {
                    least_used = least_used.min(used);
                }
            }
        }
    }
    assert!(least_used >= 0.8, "{least_used} of the rate used");
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn target() -> TargetId {
    "i-1".parse().expect("a valid name")
}

fn senders(names: impl IntoIterator<Item = usize>) -> Vec<LimitSender> {
    let sender = |index| LimitSender {
        vm: format!("vm-{index}").parse().expect("a valid name"),
        data_centre: "near".parse().expect("a valid name"),
    };
    names.into_iter().map(sender).collect()
}

/// Returns the warm-ups of `vm-0`, which has heard from other nodes for five seconds.
fn settled(nodes: usize) -> TargetWarmups {
    let mut warmups = TargetWarmups::new("vm-0".parse().expect("a valid name"));
    for ms in (0..=5_000).step_by(1_000) {
        warmups.set_senders(at(ms), senders(0..nodes), &[]);
    }
    warmups
}

fn begin(warmups: &mut TargetWarmups, ms: u64, left_ms: u64, source: ColdSource) -> bool {
    let data_centre: DataCentreId = "near".parse().expect("a valid name");
    let cold = ColdTarget {
        target: &target(),
        data_centre: &data_centre,
        rule: warmup(3_000),
    };
    warmups.begin(at(ms), cold, Duration::from_millis(left_ms), source)
}

/// Returns how many requests the node sends to the target in a time if it tries all the time.
fn sent(warmups: &mut TargetWarmups, ms: std::ops::Range<u64>) -> usize {
    let permits = ms.filter(|ms| warmups.take_send_permit(at(*ms), &target()));
    permits.count()
}

/// Guards against a node that takes the whole rate since it has just started and knows no others.
#[test]
fn node_that_has_just_started_sends_nothing_to_cold_targets() {
    let mut warmups = TargetWarmups::new("vm-0".parse().expect("a valid name"));
    warmups.set_senders(at(0), senders([0]), &[]);
    assert!(begin(&mut warmups, 10, 60_000, ColdSource::Row));
    assert_eq!(sent(&mut warmups, 10..2_000), 0);
    let permission = warmups.permission(at(2_000), &target());
    assert_eq!(permission, LimitPermission::Elsewhere);
    warmups.set_senders(at(3_000), senders([0]), &[]);
    assert!((1..=8).contains(&sent(&mut warmups, 3_000..5_000)));
}

/// Guards against nodes on both sides of a cut that each take all places.
#[test]
fn node_that_is_cut_off_takes_no_new_place() {
    let mut warmups = settled(9);
    for ms in (6_000..60_000).step_by(1_000) {
        warmups.set_senders(at(ms), senders(0..4), &[]);
    }
    begin(&mut warmups, 60_000, 3_000, ColdSource::Row);
    assert_eq!(sent(&mut warmups, 60_000..63_000), 0);
    // The others announce that they leave.
    let left: Vec<VmId> = senders(4..9).into_iter().map(|sender| sender.vm).collect();
    warmups.set_senders(at(63_000), senders(0..4), &left);
    begin(&mut warmups, 63_001, 3_000, ColdSource::Row);
    assert!(sent(&mut warmups, 63_001..66_000) > 0);
}

/// Guards against a place of a node that falls silent and still sends, which another one takes over.
#[test]
fn silent_node_keeps_its_place_and_a_leaving_one_loses_it() {
    let holders = |silent: bool| {
        let mut warmups = settled(2);
        begin(&mut warmups, 5_000, 60_000, ColdSource::Row);
        // Two places with 2.25 requests a second.
        assert_eq!(sent(&mut warmups, 5_000..10_000), 11);
        let gone: Vec<VmId> = senders([1]).into_iter().map(|sender| sender.vm).collect();
        let ended = if silent { &[][..] } else { &gone };
        for ms in (10_000..30_000).step_by(1_000) {
            warmups.set_senders(at(ms), senders([0]), ended);
        }
        sent(&mut warmups, 30_000..40_000)
    };
    // Two of four places, then all of them.
    assert!((22..=25).contains(&holders(true)), "{}", holders(true));
    assert!((44..=50).contains(&holders(false)), "{}", holders(false));
}

/// Guards against a warm-up that is ended by what the target said before, or that never ends.
#[test]
fn newer_words_of_the_target_change_its_warmup() {
    let mut warmups = settled(1);
    assert!(begin(&mut warmups, 5_000, 3_000, ColdSource::Reconnect));
    assert!(!warmups.end_by_row(at(5_100), &target(), at(5_100)));
    assert!(!warmups.end_by_answer(at(5_200), &target(), at(4_900)));
    // An earlier row may be about the earlier start.
    assert!(!begin(&mut warmups, 5_300, 500, ColdSource::Row));
    assert!(warmups.is_cold(at(7_900), &target()));
    assert!(warmups.end_by_answer(at(7_900), &target(), at(7_800)));
    assert_eq!(warmups.drain_ended(at(7_900)), [target()]);
    assert!(begin(&mut warmups, 8_000, 3_000, ColdSource::Row));
    assert!(!begin(&mut warmups, 8_500, 1_000, ColdSource::Row));
    assert!(!warmups.is_cold(at(9_500), &target()));
    assert!(begin(&mut warmups, 10_000, 3_000, ColdSource::Row));
    assert!(warmups.end_by_row(at(10_500), &target(), at(10_500)));
    assert_eq!(warmups.cold_count(at(10_500)), 0);
}
