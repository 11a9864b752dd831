//! The directory: bounded load on each VM, few VMs for each customer, and answers that contain
//! serving VMs only.

use std::net::SocketAddr;

use damaskloom_lib::directory::{
    DirectoryMember, DirectoryPlanner, DirectoryQuery, DirectorySettings, MemberStanding,
};
use damaskloom_lib::ids::{CustomerId, DataCentreId};
use damaskloom_lib::rendezvous::{StableHash, weighted_owner};
use damaskloom_lib::units::RequestRate;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::seeded_run::seeded_runner;

/// The number of VMs in each data centre of the two deployments.
const KHOVSGOL_CENTRES: &[usize] = &[12, 12, 12, 12];
const MTKVARI_CENTRES: &[usize] = &[14, 13, 13];
const MAX_LOAD_PERMILLE: u64 = 1_250;

fn members(centres: &[usize]) -> Vec<DirectoryMember> {
    let member = |centre: usize, vm: usize| DirectoryMember {
        vm: format!("vm-{centre}-{vm}").parse().unwrap(),
        data_centre: centre_name(centre),
        address: SocketAddr::from(([10, 0, centre as u8, vm as u8], 80)),
        standing: MemberStanding::Serving,
    };
    let all = centres.iter().enumerate();
    all.flat_map(|(centre, size)| (0..*size).map(move |vm| member(centre, vm)))
        .collect()
}

fn centre_name(centre: usize) -> DataCentreId {
    format!("dc-{centre}").parse().unwrap()
}

fn customers(rates: &[u64]) -> Vec<(CustomerId, RequestRate)> {
    let named = |(index, rate): (usize, &u64)| {
        let id = format!("customer-{index}").parse().unwrap();
        (id, RequestRate::from_millis_per_second(*rate))
    };
    rates.iter().enumerate().map(named).collect()
}

fn planner(
    members: Vec<DirectoryMember>,
    customers: &[(CustomerId, RequestRate)],
) -> DirectoryPlanner {
    let mut planner = DirectoryPlanner::new(DirectorySettings::default());
    planner.set_customers(customers.iter().map(|(id, rate)| (id, *rate)));
    planner.set_members(members);
    planner
}

fn query<'a>(
    customer: &'a CustomerId,
    centre: Option<&'a DataCentreId>,
    caller_seed: u64,
) -> DirectoryQuery<'a> {
    DirectoryQuery {
        customer: Some(customer),
        route: None,
        data_centre: centre,
        caller_seed,
    }
}

/// Customers whose rates differ by up to six orders of magnitude.
fn unequal_rates(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<u64>> {
    vec((0_u32..20, 1_u64..4_000), count)
        .prop_map(|sizes| sizes.iter().map(|(shift, base)| base << shift).collect())
}

fn check_bound(planner: &DirectoryPlanner, vms: u64) -> Result<(), TestCaseError> {
    let mut sum = 0;
    for (vm, load) in planner.expected_loads() {
        prop_assert!(load <= MAX_LOAD_PERMILLE, "{vm} carries {load}");
        sum += load;
    }
    let rounding = vms;
    prop_assert!(
        sum + rounding >= vms * 1_000,
        "{sum} of {vms} fair shares placed"
    );
    Ok(())
}

/// Guards against overloaded VMs when the rates of the customers differ widely.
#[test]
fn no_vm_carries_much_more_than_the_mean_in_both_deployments() {
    for centres in [KHOVSGOL_CENTRES, MTKVARI_CENTRES] {
        let strategy = unequal_rates(8..9);
        let run = seeded_runner(1).run(&strategy, |rates| {
            let vms = centres.iter().sum::<usize>() as u64;
            check_bound(&planner(members(centres), &customers(&rates)), vms)
        });
        run.unwrap();
    }
}

/// Guards against overloaded VMs and against answers that name VMs which do not serve, or differ
/// between nodes that list the members in another order.
#[test]
fn the_bound_holds_for_any_fleet_and_answers_name_only_serving_vms() {
    let strategy = (
        vec(1_usize..9, 1..5),
        unequal_rates(1..40),
        vec(0_u8..4, 40),
        any::<u64>(),
    );
    let run = seeded_runner(2).run(&strategy, |(centres, rates, standings, seed)| {
        let mut fleet = members(&centres);
        for (member, standing) in fleet.iter_mut().zip(standings) {
            member.standing = match standing {
                1 => MemberStanding::Leaving,
                2 => MemberStanding::Stale,
                3 => MemberStanding::Unreachable,
                _ => MemberStanding::Serving,
            };
        }
        let serving: Vec<_> = fleet
            .iter()
            .filter(|member| member.standing == MemberStanding::Serving)
            .cloned()
            .collect();
        let customers = customers(&rates);
        let all = planner(fleet, &customers);
        check_bound(&all, serving.len() as u64)?;
        let centre = centre_name(0);
        let is_in_centre = |vm| {
            serving
                .iter()
                .any(|member| member.vm == vm && member.data_centre == centre)
        };
        let mut reversed = serving.clone();
        reversed.reverse();
        let same = planner(reversed, &customers);
        for (customer, _) in &customers {
            let caller_query = query(customer, Some(&centre), seed);
            let answer = all.answer(&caller_query);
            prop_assert_eq!(
                &answer,
                &same.answer(&caller_query),
                "the answer depends on the order of members or on VMs that do not serve"
            );
            prop_assert_eq!(answer.entries.len(), serving.len().min(3));
            let centre_serves = serving.iter().any(|member| member.data_centre == centre);
            let first = answer.entries.first();
            prop_assert!(
                first.is_none_or(|first| !centre_serves || is_in_centre(first.vm.clone()))
            );
        }
        Ok(())
    });
    run.unwrap();
}

/// Guards against small customers that are spread over many VMs, and against a large one that
/// overloads its only VM.
#[test]
fn a_small_customer_has_one_vm_per_data_centre_and_a_large_one_is_split() {
    let customers = customers(&[1_000, 1_000, 1_000, 1_000, 500_000, 100_000]);
    let planner = planner(members(KHOVSGOL_CENTRES), &customers);
    assert_eq!(planner.vms_of(&customers[0].0).count(), 4);
    assert!(planner.vms_of(&customers[4].0).count() > 36);
}

/// Guards against needless moves of customers when a VM in another data centre stops.
#[test]
fn a_vm_that_stops_moves_no_customer_in_another_data_centre() {
    let rates = [5_000, 9_000, 20_000, 70_000, 300, 800, 2_000, 90_000];
    let customers = customers(&rates);
    let whole = planner(members(KHOVSGOL_CENTRES), &customers);
    let mut fewer = whole.clone();
    fewer.set_members(members(KHOVSGOL_CENTRES).split_off(1));
    for (customer, _) in &customers {
        let vms_elsewhere = |planner: &DirectoryPlanner| -> Vec<_> {
            let all = planner.vms_of(customer);
            all.filter(|vm| !vm.as_str().starts_with("vm-0"))
                .cloned()
                .collect()
        };
        assert_eq!(vms_elsewhere(&whole), vms_elsewhere(&fewer));
    }
}

/// Guards against the callers of a large customer meeting on a few of its VMs.
#[test]
fn callers_spread_over_a_split_customer_in_proportion() {
    let customers = customers(&[1_000_000]);
    let planner = planner(members(&[10]), &customers);
    let mut hits = indexmap::IndexMap::new();
    for seed in 0..10_000 {
        let answer = planner.answer(&query(&customers[0].0, None, seed));
        *hits.entry(answer.entries[0].vm.clone()).or_insert(0) += 1;
    }
    assert_eq!(hits.len(), 10);
    assert!(
        hits.values().all(|count| (850..1_150).contains(count)),
        "{hits:?}"
    );
}

/// Guards against rendezvous hashing that ignores the weights or selects an owner of weight zero.
#[test]
fn weighted_owners_hold_keys_in_proportion() {
    let weights = [1, 2, 0, 5].map(|weight| (StableHash(u64::from(weight)), weight));
    let mut counts = [0; 4];
    for key in 0..80_000 {
        counts[weighted_owner(StableHash(key), &weights).unwrap()] += 1;
    }
    let expected = [10_000, 20_000, 0, 50_000_i32];
    let is_close = |(count, expected): (i32, i32)| (count - expected).abs() <= expected / 20;
    assert!(counts.into_iter().zip(expected).all(is_close), "{counts:?}");
}

/// Guards against nodes of two releases that place customers and shares differently during a
/// rollout.
#[test]
fn hash_values_stay_the_same_in_every_release() {
    let hash = StableHash::of("customer/acme").with(StableHash::of("vm-1"));
    assert_eq!(hash.to_string(), "a78a3b8106f6217c");
}
