//! Tests which data centres are evacuated, and the selection of targets meanwhile.

use std::time::Duration;

use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crossing_cost::CrossingCost;
use damaskloom_lib::evacuation::{EvacuationChange, EvacuationRow, Evacuations};
use damaskloom_lib::ids::{DataCentreId, TargetId};
use damaskloom_lib::loss_meter::RequestOutcome;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::table_mirror::{MirrorRow, RowExtent, TableMirror};
use damaskloom_lib::target_balancer::TargetBalancer;
use damaskloom_lib::target_limits::TargetLimits;
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_selection::{CostSpread, SelectionError, SelectionRequest, TargetTrust};
use damaskloom_lib::time::MonoTime;

const CENTRES: [&str; 3] = ["near", "away", "far"];

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn centre(name: &str) -> DataCentreId {
    name.parse().expect("a valid name")
}

fn version(era: u16, version: u64) -> StoreVersion {
    StoreVersion::new(era, version).expect("a small version")
}

fn write(
    evacuations: &mut Evacuations,
    ms: u64,
    (name, exists): (&str, bool),
    version: StoreVersion,
) -> Option<EvacuationChange> {
    let row = EvacuationRow {
        data_centre: centre(name),
        exists,
        version,
    };
    evacuations.apply(at(ms), &row)
}

fn evacuated(names: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for name in names {
        write(&mut evacuations, 0, (name, true), version(0, 1));
    }
    evacuations
}

/// Guards against an evacuation that ends by the removal of another one's row, or that is not in force
/// again once its row was written again.
#[test]
fn evacuations_begin_and_end_in_any_order() {
    let mut evacuations = evacuated(&["near", "away"]);
    let ended = write(&mut evacuations, 4_000, ("near", false), version(0, 2));
    let expected = EvacuationChange::Ended {
        data_centre: centre("near"),
        version: version(0, 1),
        duration: Duration::from_secs(4),
    };
    assert_eq!(ended, Some(expected));
    assert!(!evacuations.contains(&centre("near")) && evacuations.contains(&centre("away")));
    let removed_again = write(&mut evacuations, 5_000, ("near", false), version(0, 3));
    assert_eq!(removed_again, None);
    let began = write(&mut evacuations, 6_000, ("near", true), version(0, 4));
    assert!(matches!(began, Some(EvacuationChange::Began { .. })));
    write(&mut evacuations, 7_000, ("away", false), version(0, 5));
    assert!(evacuations.contains(&centre("near")) && evacuations.len() == 1);
    // A row that is written once more while it is in force changes its version only.
    let rewritten = write(&mut evacuations, 8_000, ("near", true), version(0, 6));
    assert_eq!(rewritten, None);
    let known: Vec<_> = evacuations.iter().collect();
    assert_eq!(known[0].1.version(), version(0, 6));
    assert_eq!(known[0].1.since(), at(6_000));
}

/// Guards against requests to an evacuated data centre because the store was restored from a copy that
/// is older than the evacuation, and against one that nobody can end any more.
#[test]
fn evacuation_whose_row_was_lost_in_a_restore_is_kept_for_ten_seconds() {
    let lost = version(1, 0);
    let mut evacuations = evacuated(&["near", "away", "far"]);
    for name in CENTRES {
        let change = write(&mut evacuations, 1_000, (name, false), lost);
        assert!(matches!(change, Some(EvacuationChange::RowLost { .. })));
    }
    // One row is written again, one is removed in the new era.
    write(&mut evacuations, 2_000, ("near", true), version(1, 4));
    write(&mut evacuations, 3_000, ("away", false), version(1, 5));
    assert!(!evacuations.contains(&centre("away")));
    assert!(evacuations.tick(at(10_999)).is_empty());
    assert!(evacuations.contains(&centre("far")));
    assert_eq!(evacuations.next_end(), Some(at(11_000)));
    assert_eq!(evacuations.tick(at(11_000)).len(), 1);
    assert!(evacuations.tick(at(60_000)).is_empty());
    assert!(evacuations.contains(&centre("near")) && evacuations.len() == 1);
    // A later removal of the row that was written again is no loss.
    write(&mut evacuations, 61_000, ("near", false), version(1, 9));
    assert!(evacuations.is_empty());
}

/// Guards against nodes that take a row which the restored store has lost for a removal, also if they
/// learn of it from peers that have read the table at different times.
#[test]
fn copies_tell_a_lost_row_from_a_removed_one() {
    let row = |key: &str, value: Option<&'static str>, version| MirrorRow {
        key: key.to_owned(),
        value: value.map(Into::into),
        version,
    };
    let written = [
        row("lost", Some("{}"), version(0, 7)),
        row("removed", Some("{}"), version(0, 2)),
    ];
    let restored = vec![row("removed", Some("{}"), version(1, 2))];
    let copies = [(); 3].map(|()| {
        let mut copy = TableMirror::default();
        copy.replace(written.to_vec(), version(0, 9));
        copy
    });
    let [mut first, mut second, mut third] = copies;
    let tombstone = row("lost", None, version(1, 0));
    assert!(
        first
            .replace(restored.clone(), version(1, 2))
            .contains(&tombstone)
    );
    assert!(second.replace(restored, version(1, 3)).contains(&tombstone));
    let removal = row("removed", None, version(1, 4));
    second.apply(vec![removal.clone()], version(1, 4));
    let fetch = |copy: &mut TableMirror, peer: &TableMirror| {
        let after = copy.version();
        let extent: RowExtent = peer.extent_after(after);
        copy.apply_answer(peer.changes_after(after), peer.version(), &extent)
    };
    let changes = fetch(&mut first, &second);
    assert_eq!(changes, std::slice::from_ref(&removal));
    let changes = fetch(&mut third, &second);
    assert_eq!(changes, [tombstone, removal]);
}

/// Guards against a warning at each change of the table, and against one for a data centre that only
/// its targets name.
#[test]
fn an_unknown_name_is_reported_once() {
    let mut evacuations = evacuated(&["near", "nowhere"]);
    let unknown = evacuations.take_unknown(|id| *id == centre("near"));
    assert_eq!(unknown, [(centre("nowhere"), version(0, 1))]);
    assert!(evacuations.take_unknown(|_| false).is_empty());
}

/// Returns a balancer with a target in each of three data centres.
fn balancer() -> TargetBalancer {
    let own_vm = "vm-1".parse().expect("a valid name");
    let mut balancer = TargetBalancer::new(&own_vm, centre("near"));
    for name in CENTRES {
        let id: TargetId = format!("i-{name}").parse().expect("a valid name");
        balancer.insert(at(0), id, centre(name), 2, Duration::ZERO);
    }
    balancer
}

fn select(
    balancer: &TargetBalancer,
    evacuations: &Evacuations,
    (ms, seed): (u64, u64),
) -> Result<(String, bool), SelectionError> {
    let request = SelectionRequest {
        idempotence: Idempotence::Idempotent,
        tried: &[],
        limits: &TargetLimits::new("vm-1".parse().expect("a valid name")),
        notices: &TargetNotices::default(),
        trust: TargetTrust::Known,
        evacuations,
        crossing: CrossingCost::default(),
        seed,
        spread: CostSpread::None,
    };
    let selection = balancer.select(at(ms), &request)?;
    Ok((selection.target.to_string(), selection.is_trial))
}

/// Guards against requests and trials at targets of evacuated data centres, which get none for so long
/// that trials are due, also while the service loses requests.
#[test]
fn targets_of_evacuated_data_centres_are_not_selected() {
    let mut balancer = balancer();
    let evacuations = evacuated(&["near", "far"]);
    for seed in 0..200 {
        let ms = seed * 50;
        let selected = select(&balancer, &evacuations, (ms, seed));
        assert_eq!(selected.map(|(id, _)| id), Ok("i-away".to_owned()));
        balancer.record_request(at(ms), RequestOutcome::Lost);
    }
    let all = evacuated(&CENTRES);
    let refused = select(&balancer, &all, (10_000, 1));
    assert_eq!(refused, Err(SelectionError::Evacuated));
    let selected = select(&balancer, &Evacuations::default(), (10_000, 0));
    assert!(selected.is_ok_and(|(_, is_trial)| is_trial));
}
