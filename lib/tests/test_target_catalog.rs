//! Tests the catalogue of targets and the mirrors of the store's tables.

use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::ids::TargetId;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::table_mirror::{MirrorRow, TableMirror};
use damaskloom_lib::target_catalog::{
    Announcement, CatalogChange, OutdatedAddress, REANNOUNCE_GRACE_MS, TargetCatalog,
};
use damaskloom_lib::time::MonoTime;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(1_000 + ms)
}

fn id(name: &str) -> TargetId {
    name.parse().expect("a valid name")
}

fn announcement(started_at_ms: u64) -> Announcement {
    Announcement {
        service: "desk".parse().expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "khankh".parse().expect("a valid name"),
        slots: 2,
        leaving: false,
        warmup_left: Duration::ZERO,
        started_at_ms: Some(started_at_ms),
        writes: 1,
    }
}

/// Guards against requests to a target that has stopped.
#[test]
fn a_target_without_announcement_is_removed_at_once_while_the_store_answers() {
    let mut catalog = TargetCatalog::default();
    let started = catalog.apply_announcement(at(0), id("a"), announcement(1));
    assert_eq!(started, Some(CatalogChange::Started(id("a"))));
    assert_eq!(
        catalog.remove_announcement(at(10), &id("a")),
        Some(CatalogChange::Removed(id("a")))
    );
    assert!(catalog.is_empty());
}

/// Guards against the loss of healthy targets whose announcements expired because they could not be
/// renewed during an outage of the store.
#[test]
fn an_expired_target_is_kept_until_the_grace_period_after_an_outage_ends() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.apply_announcement(at(0), id("b"), announcement(1));
    catalog.mark_store_unavailable();
    catalog.mark_store_available(at(5_000));
    assert_eq!(catalog.remove_announcement(at(5_010), &id("a")), None);
    assert_eq!(catalog.remove_announcement(at(5_010), &id("b")), None);
    catalog.apply_announcement(at(6_000), id("b"), announcement(1));
    assert!(catalog.tick(at(5_000 + REANNOUNCE_GRACE_MS - 1)).is_empty());
    assert_eq!(
        catalog.tick(at(5_000 + REANNOUNCE_GRACE_MS)),
        [CatalogChange::Removed(id("a"))]
    );
    assert!(catalog.get(&id("b")).is_some());
}

/// Guards against a target that is kept after an outage although it had announced its stop.
#[test]
fn a_leaving_target_gets_no_grace_period() {
    let mut catalog = TargetCatalog::default();
    let mut leaving = announcement(1);
    leaving.leaving = true;
    catalog.apply_announcement(at(0), id("a"), leaving);
    catalog.mark_store_unavailable();
    assert_eq!(
        catalog.remove_announcement(at(110), &id("a")),
        Some(CatalogChange::Removed(id("a")))
    );
}

/// Guards against nodes with different target lists: this one could not reach the store, the peer
/// could.
#[test]
fn a_node_adopts_the_grace_period_of_its_peer() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.apply_announcement(at(0), id("b"), announcement(1));
    // The node's own reads failed; then it fetches from a peer whose reads have long succeeded.
    catalog.mark_store_unavailable();
    catalog.adopt_grace(at(5_000), Duration::ZERO);
    assert_eq!(
        catalog.remove_announcement(at(5_000), &id("a")),
        Some(CatalogChange::Removed(id("a")))
    );
    catalog.adopt_grace(at(6_000), Duration::from_millis(300));
    assert_eq!(catalog.remove_announcement(at(6_000), &id("b")), None);
    assert!(catalog.tick(at(6_299)).is_empty());
    assert_eq!(catalog.tick(at(6_300)), [CatalogChange::Removed(id("b"))]);
}

/// Guards against a node that takes a removal for an announcement that expired, and has others take it so, since its
/// own calls failed while other nodes read the store.
#[test]
fn a_grace_period_ends_if_the_store_has_answered_others_for_as_long() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.mark_store_unavailable();
    // Until the node returns, it has no rows but those of peers, which know whether there is a grace period.
    assert_eq!(catalog.grace_remaining(at(3_000)), Duration::ZERO);
    catalog.mark_store_available(at(4_000));
    assert!(catalog.is_grace_unconfirmed(at(4_000)));
    assert_eq!(catalog.remove_announcement(at(4_000), &id("a")), None);
    catalog.apply_reading(at(4_010), Duration::from_millis(60_000));
    assert!(!catalog.is_grace_unconfirmed(at(4_010)));
    assert_eq!(catalog.tick(at(4_010)), [CatalogChange::Removed(id("a"))]);
}

/// Guards against the loss of running targets after an outage, or a restore, of which another node has noticed the
/// end earlier than this one, or nothing at all.
#[test]
fn a_grace_period_lasts_until_targets_had_the_time_to_return() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.mark_store_restored(at(5_000));
    catalog.adopt_grace(at(5_000), Duration::ZERO);
    catalog.apply_reading(at(5_000), Duration::from_millis(300));
    assert!(!catalog.is_grace_unconfirmed(at(5_000)));
    let left = Duration::from_millis(REANNOUNCE_GRACE_MS - 300);
    assert_eq!(catalog.grace_remaining(at(5_000)), left);
    assert_eq!(catalog.remove_announcement(at(5_010), &id("a")), None);
    assert!(
        catalog
            .tick(at(5_000 + REANNOUNCE_GRACE_MS - 301))
            .is_empty()
    );
    assert_eq!(catalog.tick(at(5_000 + REANNOUNCE_GRACE_MS - 300)).len(), 1);
}

/// Guards against state of an earlier process that is kept for the new one.
#[test]
fn a_target_that_restarts_under_its_name_is_started() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    assert_eq!(
        catalog.apply_announcement(at(1), id("a"), announcement(1)),
        None
    );
    assert_eq!(
        catalog.apply_announcement(at(2), id("a"), announcement(2)),
        Some(CatalogChange::Started(id("a")))
    );
}

/// Guards against requests to targets that have begun to leave or are gone, by rows that a restored
/// store holds from before.
#[test]
fn a_restored_row_does_not_bring_a_leaving_or_departed_target_back() {
    let written = |writes, leaving| Announcement {
        writes,
        leaving,
        ..announcement(1)
    };
    let mut catalog = TargetCatalog::default();
    for name in ["leaving", "departed", "kept"] {
        catalog.apply_announcement(at(0), id(name), written(3, false));
    }
    catalog.apply_announcement(at(10), id("leaving"), written(4, true));
    catalog.remove_announcement(at(10), &id("departed"));
    catalog.mark_store_restored(at(1_000));
    for name in ["leaving", "departed", "kept"] {
        let change = catalog.apply_restored(at(1_000), id(name), written(2, false));
        assert_eq!(change, None, "{name}");
    }
    // The last row before a target was removed does not bring it back either.
    let change = catalog.apply_restored(at(1_000), id("departed"), written(3, false));
    assert_eq!(change, None);
    assert!(
        catalog
            .get(&id("leaving"))
            .expect("it is known")
            .announcement
            .leaving
    );
    assert!(catalog.get(&id("departed")).is_none());
    // A target that has started again, or writes again, is used.
    let change = catalog.apply_restored(at(1_000), id("leaving"), announcement(2));
    assert_eq!(change, Some(CatalogChange::Started(id("leaving"))));
    let change = catalog.apply_restored(at(1_000), id("departed"), written(4, false));
    assert_eq!(change, Some(CatalogChange::Started(id("departed"))));
}

/// Guards against the loss of targets that announced themselves after the copy was made.
#[test]
fn a_target_that_a_restored_store_has_lost_is_kept_until_it_may_have_announced_itself() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.mark_store_restored(at(100));
    assert_eq!(catalog.remove_announcement(at(100), &id("a")), None);
    assert!(catalog.tick(at(99 + REANNOUNCE_GRACE_MS)).is_empty());
    let removed = catalog.tick(at(100 + REANNOUNCE_GRACE_MS));
    assert_eq!(removed, [CatalogChange::Removed(id("a"))]);
}

fn row(key: &str, value: Option<&'static str>, version: u64) -> MirrorRow {
    MirrorRow {
        key: key.to_owned(),
        value: value.map(Bytes::from),
        version: version.into(),
    }
}

/// Guards against a copy that reverts to an old row, or changes that are not passed on to peers.
#[test]
fn a_mirror_returns_changes_and_removals_and_ignores_old_rows() {
    let mut mirror = TableMirror::default();
    mirror.replace(
        vec![row("a", Some("1"), 3), row("b", Some("1"), 4)],
        5.into(),
    );
    let changes = mirror.apply(vec![row("a", Some("2"), 7), row("b", None, 8)], 8.into());
    assert_eq!(changes.len(), 2);
    assert!(
        mirror
            .apply(vec![row("a", Some("1"), 3)], 3.into())
            .is_empty()
    );
    assert_eq!(
        (mirror.version(), mirror.newest_row_version()),
        (8.into(), 8.into())
    );
    assert_eq!(
        mirror.changes_after(5.into()),
        [row("a", Some("2"), 7), row("b", None, 8)]
    );
}

/// Guards against rows that stay in the copy after they were removed from the table, and against
/// replacement by an older reading.
#[test]
fn replacing_a_table_finds_the_removed_rows() {
    let mut mirror = TableMirror::default();
    mirror.replace(
        vec![row("a", Some("1"), 3), row("b", Some("1"), 4)],
        5.into(),
    );
    let changes = mirror.replace(vec![row("a", Some("1"), 3)], 9.into());
    assert_eq!(changes, [row("b", None, 9)]);
    // A table version older than the copy changes nothing.
    assert!(mirror.replace(Vec::new(), 8.into()).is_empty());
    assert_eq!(mirror.changes_after(0.into()).len(), 2);
}

fn in_era(era: u16, version: u64) -> StoreVersion {
    StoreVersion::new(era, version).expect("a small version")
}

fn restored_row(key: &str, value: Option<&'static str>, version: u64) -> MirrorRow {
    MirrorRow {
        version: in_era(1, version),
        ..row(key, value, 0)
    }
}

/// Guards against a copy that ignores a restored store until its versions have passed the old ones.
#[test]
fn a_mirror_follows_a_restored_store_to_lower_versions() {
    let mut mirror = TableMirror::default();
    let rows = vec![
        row("a", Some("2"), 7),
        row("b", Some("1"), 8),
        row("c", Some("1"), 4),
    ];
    mirror.replace(rows, 9.into());
    let restored = || {
        vec![
            restored_row("a", Some("1"), 3),
            restored_row("c", Some("1"), 4),
        ]
    };
    let changes = mirror.replace(restored(), in_era(1, 5));
    let expected = [
        restored_row("a", Some("1"), 3),
        restored_row("c", Some("1"), 4),
        // No write has this version, so that a lost row differs from one that is removed later.
        restored_row("b", None, 0),
    ];
    assert_eq!(changes, expected);
    // A row that is written again below the old version.
    let changes = mirror.apply(vec![restored_row("a", Some("2"), 6)], in_era(1, 6));
    assert_eq!(changes.len(), 1);
    assert_eq!(mirror.version(), in_era(1, 6));
    // A peer that was cut off still has the rows from before.
    assert!(
        mirror
            .apply(vec![row("b", Some("1"), 8)], 9.into())
            .is_empty()
    );
    assert!(
        mirror
            .replace(vec![row("b", Some("1"), 8)], 9.into())
            .is_empty()
    );
}

/// Guards against rows that a restored store has lost and that stay with a node which fetches from a
/// peer: the peer may never have had them.
#[test]
fn rows_of_a_later_era_from_a_peer_replace_the_copy() {
    let mut reader = TableMirror::default();
    reader.replace(vec![row("a", Some("1"), 3)], 5.into());
    let mut follower = TableMirror::default();
    follower.replace(
        vec![row("a", Some("1"), 3), row("b", Some("1"), 8)],
        8.into(),
    );
    reader.replace(vec![restored_row("a", Some("1"), 3)], in_era(1, 4));
    let fetched = reader.changes_after(follower.version());
    let changes = follower.apply(fetched, reader.version());
    assert!(changes.contains(&restored_row("b", None, 0)));
    assert_eq!(
        follower.changes_after(in_era(0, u64::from(u32::MAX))),
        changes
    );
}

/// Guards against the order of versions by their number alone, and against a message format that nodes
/// of the version before do not understand.
#[test]
fn versions_are_ordered_by_era_first_and_encoded_as_one_number() {
    assert!(in_era(1, 3) > in_era(0, 800));
    assert!(in_era(1, 4) > in_era(1, 3));
    assert_eq!(u64::from(in_era(0, 800)), 800);
    for version in [in_era(0, 0), in_era(3, 1 << 40), in_era(u16::MAX, 7)] {
        assert_eq!(StoreVersion::from(u64::from(version)), version);
    }
    assert_eq!(StoreVersion::new(0, 1 << 48), None);
}

fn outdated(name: &str, started_at_ms: u64) -> OutdatedAddress {
    OutdatedAddress {
        target: id(name),
        started_at_ms: Some(started_at_ms),
        address: announcement(started_at_ms).address,
    }
}

/// Guards against requests that go on to an address after another target has answered there, and
/// against a target that is given up for good although it announces itself again.
#[test]
fn a_target_with_an_outdated_address_is_unusable_until_it_announces_itself_again() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    assert!(catalog.mark_outdated(at(10), &outdated("a", 1)));
    assert!(!catalog.mark_outdated(at(20), &outdated("a", 1)));
    assert!(!catalog.get(&id("a")).expect("it is known").is_usable());
    // The same announcement, as a table that is read again has it, is no news.
    catalog.apply_announcement(at(30), id("a"), announcement(1));
    assert!(!catalog.get(&id("a")).expect("it is known").is_usable());
    let mut renewed = announcement(1);
    renewed.writes = 2;
    let change = catalog.apply_announcement(at(40), id("a"), renewed);
    assert_eq!(change, Some(CatalogChange::Updated(id("a"))));
    assert!(catalog.get(&id("a")).expect("it is known").is_usable());
}

/// Guards against a sound target that never gets requests again because of one wrong answer.
#[test]
fn a_target_with_an_outdated_address_is_tried_again_after_some_time() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.mark_outdated(at(10), &outdated("a", 1));
    assert_eq!(catalog.tick(at(9_000)), []);
    assert_eq!(catalog.tick(at(10_010)), [CatalogChange::Updated(id("a"))]);
    assert!(catalog.get(&id("a")).expect("it is known").is_usable());
}

/// Guards against a late message that makes a restarted target unusable.
#[test]
fn an_outdated_address_of_an_earlier_start_is_ignored() {
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.mark_outdated(at(10), &outdated("a", 1));
    let change = catalog.apply_announcement(at(20), id("a"), announcement(2));
    assert_eq!(change, Some(CatalogChange::Started(id("a"))));
    assert!(!catalog.mark_outdated(at(30), &outdated("a", 1)));
    assert!(catalog.get(&id("a")).expect("it is known").is_usable());
}

/// Guards against requests to a target that has ended, while the row of the target that started
/// later at the same address is known already.
#[test]
fn the_later_of_two_targets_at_an_address_has_it() {
    for order in [["old", "new"], ["new", "old"]] {
        let mut catalog = TargetCatalog::default();
        let mut found = Vec::new();
        for name in order {
            let started_at_ms = if name == "old" { 1 } else { 2 };
            catalog.apply_announcement(at(0), id(name), announcement(started_at_ms));
            found.extend(catalog.claim_address(&id(name)));
        }
        assert_eq!(found, [outdated("old", 1)], "{order:?}");
    }
    // A target that moved away keeps no claim to its former address.
    let mut catalog = TargetCatalog::default();
    catalog.apply_announcement(at(0), id("a"), announcement(1));
    catalog.claim_address(&id("a"));
    let mut moved = announcement(1);
    moved.address = "10.0.0.2:80".parse().expect("an address");
    catalog.apply_announcement(at(10), id("a"), moved);
    catalog.claim_address(&id("a"));
    catalog.apply_announcement(at(20), id("b"), announcement(2));
    assert_eq!(catalog.claim_address(&id("b")), None);
}
