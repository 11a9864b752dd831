//! Tests which nodes are asked to serve a request in the place of one that reaches no target.

use damaskloom_lib::helper_choice::HelperChoice;
use damaskloom_lib::ids::{ServiceId, VmId};
use damaskloom_lib::time::MonoTime;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn nodes(names: &[&str]) -> Vec<VmId> {
    let names = names.iter();
    names
        .map(|name| name.parse().expect("a valid name"))
        .collect()
}

fn service(name: &str) -> ServiceId {
    name.parse().expect("a valid name")
}

/// Guards against requests that are refused since all nodes of the data centre are cut off from the
/// service, while nodes elsewhere reach it, and against one that is never asked again.
#[test]
fn helpers_that_are_cut_off_from_a_service_make_room_for_others() {
    let ranked = || nodes(&["near-1", "near-2", "near-3", "away-1", "away-2"]);
    let mut choice = HelperChoice::default();
    let desk = service("desk");
    assert_eq!(
        choice.choose(at(0), &desk, ranked()),
        nodes(&["near-1", "near-2", "near-3", "away-1"])
    );
    for helper in nodes(&["near-1", "near-2", "near-3"]) {
        choice.record_cut_off(at(0), helper, desk.clone());
    }
    assert_eq!(
        choice.choose(at(1_000), &desk, ranked()),
        nodes(&["away-1", "away-2"])
    );
    // They serve another service, and this one again later.
    let berth = choice.choose(at(1_000), &service("berth"), ranked());
    assert_eq!(berth[0], nodes(&["near-1"])[0]);
    assert_eq!(
        choice.choose(at(2_000), &desk, ranked())[0],
        nodes(&["near-1"])[0]
    );
}
