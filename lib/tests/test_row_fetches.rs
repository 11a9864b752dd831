//! Tests how soon changed rows reach all nodes of a fleet, on virtual time.

use std::time::Duration;

use damaskloom_lib::row_fetch::{OwnFeed, initial_delay};
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::version_lag::VersionLag;

use crate::row_fleet::RowFleet;

/// The time within which a configuration must be in force on every node, in milliseconds: the
/// smallest one of the deployments.
const APPLY_BOUND_MS: u64 = 2_000;
/// The longest delay of a round trip over a full link, in milliseconds: with a longer one, a node
/// counts as disturbed.
const FULL_LINK_DELAY_MS: u64 = 500;
/// The number of simultaneous fetches that the smallest node can serve beside its requests.
const MAX_SERVED_FETCHES: usize = 10;
const ROUTING: usize = 0;
const TARGETS: usize = 1;

/// Changes the targets several times a second until a time.
fn run_with_target_changes(fleet: &mut RowFleet, end_ms: u64) {
    let mut version = 1_000_000 + fleet.now_ms();
    while fleet.now_ms() < end_ms {
        version += 1;
        fleet.publish(TARGETS, version);
        let next_ms = (fleet.now_ms() + 250).min(end_ms);
        fleet.run_until(next_ms);
    }
}

/// Guards against nodes that serve by an old configuration since their link is full: fetches take
/// longer than usual, and rows of targets are fetched at the same time.
#[test]
fn a_configuration_is_in_force_in_time_on_nodes_with_full_links() {
    for seed in 0..12 {
        for delay_ms in [0, 60, 170, 300, FULL_LINK_DELAY_MS] {
            let mut fleet = RowFleet::new(seed, 32);
            for index in [5, 9, 17, 30] {
                fleet.nodes[index].link_delay_ms = delay_ms;
            }
            run_with_target_changes(&mut fleet, 3_000);
            for version in [10, 11, 12] {
                let sent_ms = fleet.now_ms();
                fleet.publish(ROUTING, version);
                run_with_target_changes(&mut fleet, sent_ms + APPLY_BOUND_MS);
                let count = fleet.count_with(ROUTING, version);
                assert_eq!(
                    count, 32,
                    "seed {seed}, delay {delay_ms} ms, version {version}"
                );
            }
        }
    }
}

/// Guards against a node that keeps asking peers that have stopped answering.
#[test]
fn a_configuration_is_in_force_in_time_although_a_third_of_the_peers_is_silent() {
    for seed in 0..50 {
        let mut fleet = RowFleet::new(seed, 32);
        for index in (1..32).step_by(3) {
            fleet.nodes[index].is_silent = true;
        }
        fleet.publish(ROUTING, 10);
        let end_ms = fleet.now_ms() + APPLY_BOUND_MS;
        fleet.run_until(end_ms);
        assert_eq!(fleet.count_with(ROUTING, 10), 32, "seed {seed}");
    }
}

/// Guards against a data centre that stays behind since its reader, whose announcements arrive, is partitioned in
/// the other direction: all its nodes ask the reader only, although nodes of other data centres answer.
#[test]
fn a_change_arrives_although_the_only_local_peer_that_has_it_does_not_answer() {
    for seed in 0..50 {
        for table in [ROUTING, TARGETS] {
            let mut fleet = RowFleet::new(seed, 32);
            for node in &mut fleet.nodes[16..] {
                node.data_centre = 1;
            }
            fleet.nodes[0].is_silent = true;
            for version in [10, 11, 12] {
                fleet.publish(table, version);
                fleet.publish_at(16, table, version);
                let end_ms = fleet.now_ms() + APPLY_BOUND_MS;
                fleet.run_until(end_ms);
                assert_eq!(fleet.count_with(table, version), 32, "seed {seed}");
            }
        }
    }
}

/// Guards against a fleet whose nodes all fetch from the same peer.
#[test]
fn no_node_serves_many_fetches_at_the_same_time() {
    for count in [32, 93, 300] {
        for seed in 0..4 {
            let mut fleet = RowFleet::new(seed, count);
            fleet.publish(ROUTING, 10);
            let end_ms = fleet.now_ms() + APPLY_BOUND_MS;
            fleet.run_until(end_ms);
            assert_eq!(fleet.count_with(ROUTING, 10), count);
            let served = fleet.nodes.iter().map(|node| node.max_serving).max();
            assert!(
                served.is_some_and(|served| served <= MAX_SERVED_FETCHES),
                "{count} nodes, seed {seed}: {served:?}"
            );
        }
    }
}

/// Guards against a node that seems outdated while it follows a series of changes closely, and
/// against one that seems current since a newer change came before it had the older one.
#[test]
fn the_lag_counts_from_the_oldest_missing_version() {
    let at = MonoTime::from_millis;
    let mut lag = VersionLag::default();
    assert!(lag.announce(at(100), 5.into()));
    assert!(!lag.announce(at(400), 6.into()));
    assert!(!lag.announce(at(500), 5.into()));
    assert_eq!(lag.lag(at(600)), Some(Duration::from_millis(500)));
    lag.record_reached(5.into());
    assert_eq!(lag.lag(at(600)), Some(Duration::from_millis(200)));
    lag.record_reached(7.into());
    assert_eq!(lag.lag(at(600)), None);
    assert!(!lag.announce(at(700), 7.into()));
    for version in 10..1_000 {
        lag.announce(at(800 + version), version.into());
    }
    lag.record_reached(998.into());
    assert!(lag.lag(at(2_000)).is_some());
    lag.record_reached(999.into());
    assert_eq!(lag.lag(at(2_000)), None);
}

/// Guards against a node that refuses requests since it waits for a version that a restored store has
/// lost.
#[test]
fn a_version_of_a_later_era_ends_the_wait_for_a_lost_one() {
    let at = MonoTime::from_millis;
    let mut lag = VersionLag::default();
    lag.announce(at(100), 800.into());
    lag.record_reached(StoreVersion::new(1, 3).expect("a small version"));
    assert_eq!(lag.lag(at(5_000)), None);
    assert!(!lag.announce(at(5_000), 801.into()));
}

/// Guards against a node that waits for its own feed although the store has refused it: it is the last to
/// learn that a target leaves, while its peers have the row.
#[test]
fn a_node_whose_feed_failed_fetches_like_one_without_a_feed() {
    for step in 0..5 {
        let without = initial_delay(OwnFeed::None, step);
        assert_eq!(initial_delay(OwnFeed::Failed, step), without);
        assert!(initial_delay(OwnFeed::Answered, step) > without);
    }
}
