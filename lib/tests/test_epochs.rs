//! Epochs: no share has two holders, numbers only increase, and changes move as few shares as
//! possible.

use damaskloom_lib::epoch::{EpochAction, EpochKeeper, EpochSettings};
use damaskloom_lib::ids::Epoch;
use damaskloom_lib::platform::CommitOutcome;
use damaskloom_lib::share_basis::{holders, split_budget};
use damaskloom_lib::time::MonoTime;
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::epoch_fleet::{KEYS, Process, SLOTS, Step, TOTAL, World, record, step};
use crate::fake_network::{NetworkFaults, clock_of, node_id};
use crate::seeded_run::seeded_runner;

/// Guards against two nodes that use the same share, under generated crashes, pauses, partitions,
/// store outages and late or lost writes.
#[test]
fn no_share_has_two_holders_and_epochs_only_increase() {
    let settled = World::new();
    let run = seeded_runner(21).run(&vec(step(), 1..24), |steps| {
        let mut world = settled.clone();
        for step in &steps {
            world.apply(step)?;
        }
        Ok(())
    });
    run.unwrap();
}

/// Guards against shares that stay unused for good, since an epoch is never settled after faults.
#[test]
fn the_fleet_settles_with_its_whole_budget_in_use_once_faults_are_over() {
    let settled = World::new();
    let run = seeded_runner(22).run(&vec(step(), 1..12), |steps| {
        let mut world = settled.clone();
        for step in &steps {
            world.apply(step)?;
        }
        world.queue.blocked_links.clear();
        world.queue.faults = NetworkFaults::default();
        world.store.down = false;
        world.store.loses_answers = false;
        for slot in 0..SLOTS {
            match &mut world.slots[slot] {
                Some(process) => process.paused = false,
                None => world.restart(slot),
            }
        }
        for _ in 0..40 {
            world.set_all_candidates();
            world.run(100);
            let settled = |process: &Process| process.keeper.is_settled();
            let all = world.slots.iter().flatten().all(settled);
            if all && KEYS.iter().all(|key| world.used(key) == TOTAL) {
                return Ok(());
            }
        }
        Err(TestCaseError::fail("the fleet has not settled"))
    });
    run.unwrap();
}

/// Guards against needless moves of shares between nodes that stay members.
#[test]
fn a_member_change_moves_as_few_shares_as_possible() {
    let sets = (
        btree_set(0_usize..48, 3..40),
        btree_set(0_usize..48, 0..6),
        any::<u64>(),
    );
    let run = seeded_runner(23).run(&sets, |(before, flips, key)| {
        let after: std::collections::BTreeSet<_> =
            before.symmetric_difference(&flips).copied().collect();
        let nodes = |set: &std::collections::BTreeSet<usize>| -> Vec<_> {
            set.iter().map(|index| node_id(*index)).collect()
        };
        let key = key.to_be_bytes();
        let (old, new) = (nodes(&before), nodes(&after));
        let (held, holds) = (holders(&key, &old, 3), holders(&key, &new, 3));
        let lost = held
            .iter()
            .filter(|node| new.contains(node) && !holds.contains(node))
            .count();
        let joined = holds.iter().filter(|node| !old.contains(node)).count();
        let gained = holds
            .iter()
            .filter(|node| old.contains(node) && !held.contains(node))
            .count();
        let left = held.iter().filter(|node| !new.contains(node)).count();
        prop_assert!(
            lost <= joined,
            "{lost} survivors lost a share to {joined} that joined"
        );
        prop_assert!(
            gained <= left,
            "{gained} survivors gained a share of {left} that left"
        );
        let split: u64 = split_budget(&key, TOTAL, &new, 3)
            .iter()
            .map(|(_, share)| share)
            .sum();
        prop_assert_eq!(split, if new.is_empty() { 0 } else { TOTAL });
        Ok(())
    });
    run.unwrap();
}

/// Runs and checks after each tick that no budget is exceeded.
fn run_within_budget(world: &mut World, ticks: u64) {
    world.apply(&Step::Run(ticks)).unwrap();
}

/// Guards against shares with two holders: a partitioned node commits an epoch of which the others
/// do not learn, since the store goes down right after.
#[test]
fn a_partitioned_proposer_does_not_take_the_shares_of_the_others() {
    let mut world = World::new();
    for other in 1..SLOTS {
        world.queue.blocked_links.extend([(0, other), (other, 0)]);
    }
    world.set_candidates(0, 0b0111);
    while world.slots[0].as_ref().unwrap().epoch == Epoch(1) {
        // Node 1 would learn of the proposal by its reads, so it is paused until the proposal is
        // committed. Afterwards the store is down.
        world.slots[1].as_mut().unwrap().paused = true;
        run_within_budget(&mut world, 1);
    }
    world.store.down = true;
    world.slots[1].as_mut().unwrap().paused = false;
    run_within_budget(&mut world, 60);
    assert!(!world.slots[0].as_ref().unwrap().keeper.is_settled());
    let others = (1..SLOTS).map(|slot| world.slots[slot].as_ref().unwrap().epoch);
    assert!(others.eq([Epoch(1); SLOTS - 1]));
    assert!(KEYS.iter().any(|key| world.used(key) > 0));
}

/// Guards against shares with two holders: a removed member still exchanges proofs with its peers,
/// but receives no message about the epoch that removes it.
#[test]
fn a_member_without_epoch_messages_stops_before_its_shares_are_reassigned() {
    let mut world = World::new();
    world.without_epoch_messages = Some(3);
    (0..3).for_each(|slot| world.set_candidates(slot, 0b0111));
    run_within_budget(&mut world, 60);
    let left = world.slots[3].as_ref().unwrap();
    assert_eq!(left.epoch, Epoch(1));
    assert!(
        !left
            .guard
            .check_shares(clock_of(3, world.now))
            .allows_work()
    );
    assert!(left.guard.check(clock_of(3, world.now)).allows_work());
    assert!(KEYS.iter().all(|key| world.used(key) == TOTAL));
}

/// Guards against a node that reaches the store but not its peers, and removes them all.
#[test]
fn a_node_without_a_majority_of_the_members_proposes_no_epoch() {
    let mut world = World::new();
    world.set_candidates(0, 0b0011);
    world.run(2_000);
    let epochs = world.slots.iter().flatten().map(|process| process.epoch);
    assert!(epochs.eq([Epoch(1); SLOTS]));
}

/// Guards against a return to an earlier epoch after an outdated read of the table.
#[test]
fn an_outdated_row_changes_nothing() {
    let mut world = World::new();
    let outdated = world.store.row.clone();
    world.set_candidates(0, 0b0111);
    world.run(500);
    let process = world.slots[0].as_mut().unwrap();
    let epoch = process.keeper.epoch();
    assert!(epoch > Epoch(1));
    assert_eq!(process.keeper.on_row(Ok(outdated)), []);
    assert_eq!(process.keeper.on_row(Ok(None)), []);
    assert_eq!(process.keeper.epoch(), epoch);
}

/// Guards against a node that enters an epoch which was not committed, since the outcome of an
/// earlier call arrives after its timeout.
#[test]
fn a_late_outcome_is_not_taken_for_that_of_the_next_proposal() {
    let node = node_id(0);
    let mut keeper = EpochKeeper::new(EpochSettings::default(), node.clone(), 0);
    keeper.set_candidates([record(node)]);
    let mut calls = Vec::new();
    for seconds in 0..30 {
        for action in keeper.tick(MonoTime::from_millis(seconds * 1_000)) {
            match action {
                EpochAction::ReadRow => assert_eq!(keeper.on_row(Ok(None)), []),
                EpochAction::Commit { call, .. } => calls.push(call),
                other => panic!("{other:?}"),
            }
        }
    }
    let (first, last) = (calls[0], calls[calls.len() - 1]);
    assert_ne!(first, last);
    assert_eq!(keeper.on_commit(first, Ok(CommitOutcome::Committed)), []);
    let entered = keeper.on_commit(last, Ok(CommitOutcome::Committed));
    assert_eq!(entered[0], EpochAction::Entered(Epoch(1)));
}
