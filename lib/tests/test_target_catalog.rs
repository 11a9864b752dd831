//! Tests the catalogue of targets and the mirrors of the store's tables.

use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::ids::TargetId;
use damaskloom_lib::table_mirror::{MirrorRow, TableMirror};
use damaskloom_lib::target_catalog::{
    Announcement, CatalogChange, REANNOUNCE_GRACE_MS, TargetCatalog,
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
    catalog.mark_store_unavailable(at(100));
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
    catalog.mark_store_unavailable(at(100));
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
    catalog.mark_store_unavailable(at(100));
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

fn row(key: &str, value: Option<&'static str>, version: u64) -> MirrorRow {
    MirrorRow {
        key: key.to_owned(),
        value: value.map(Bytes::from),
        version,
    }
}

/// Guards against a copy that reverts to an old row, or changes that are not passed on to peers.
#[test]
fn a_mirror_returns_changes_and_removals_and_ignores_old_rows() {
    let mut mirror = TableMirror::default();
    mirror.replace(vec![row("a", Some("1"), 3), row("b", Some("1"), 4)], 5);
    let changes = mirror.apply(vec![row("a", Some("2"), 7), row("b", None, 8)], 8);
    assert_eq!(changes.len(), 2);
    assert!(mirror.apply(vec![row("a", Some("1"), 3)], 3).is_empty());
    assert_eq!((mirror.version(), mirror.newest_row_version()), (8, 8));
    assert_eq!(
        mirror.changes_after(5),
        [row("a", Some("2"), 7), row("b", None, 8)]
    );
}

/// Guards against rows that stay in the copy after they were removed from the table, and against
/// replacement by an older reading.
#[test]
fn replacing_a_table_finds_the_removed_rows() {
    let mut mirror = TableMirror::default();
    mirror.replace(vec![row("a", Some("1"), 3), row("b", Some("1"), 4)], 5);
    let changes = mirror.replace(vec![row("a", Some("1"), 3)], 9);
    assert_eq!(changes, [row("b", None, 9)]);
    // A table version older than the copy changes nothing.
    assert!(mirror.replace(Vec::new(), 8).is_empty());
    assert_eq!(mirror.changes_after(0).len(), 2);
}
