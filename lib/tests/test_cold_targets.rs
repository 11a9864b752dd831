//! Tests that the fleet keeps within what cold targets stand, and uses it.

use std::time::Duration;

use damaskloom_lib::routing::WarmupRule;

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
