//! Behaviour of the rate limiter: no refusals within the rate, bounded waits, changes of the rate,
//! and the retry budget.

use damaskloom_lib::budget::{BudgetTerms, SplitMode, owner_count, split};
use damaskloom_lib::ids::{CustomerId, Revision, ServiceId};
use damaskloom_lib::rate_limiter::{LimitPolicy, MAX_TRANSFER_WAIT};
use damaskloom_lib::retry_budget::{RetryBudget, RetryDecision, ServiceLoad};
use damaskloom_lib::units::{BurstSize, RequestRate};
use proptest::prelude::*;

use crate::escrow_network::node_id;
use crate::share_fleet::ShareFleet;
use crate::test_shares::{customer, fixed_runner, terms};

const NODES: usize = 40;
const SECOND: u64 = 1_000_000;

fn fleet_of(customer: &CustomerId, terms: BudgetTerms) -> ShareFleet {
    let mut fleet = ShareFleet::new(NODES, LimitPolicy::Escrow, 5);
    fleet.terms.insert(customer.clone(), terms);
    fleet
}

/// Sends requests at 80% of the rate, each to the node that `node_of` selects; returns the number
/// of refusals.
fn refused_of(terms: BudgetTerms, seconds: u64, node_of: impl Fn(u64) -> usize) -> u64 {
    let customer = customer("acme");
    let mut fleet = fleet_of(&customer, terms);
    let gap = SECOND * SECOND / (terms.refill.0 / 100 * 80);
    for number in 0..seconds * SECOND / gap {
        fleet.request(node_of(number), &customer);
        fleet.advance(gap);
    }
    fleet.advance(SECOND);
    assert_eq!(fleet.over_admitted(&customer, &terms), 0);
    fleet.counts.refused
}

/// Guards against refusals within the rate, since the tokens are at other nodes than the callers.
#[test]
fn a_customer_within_its_rate_is_served_wherever_its_callers_are() {
    assert_eq!(refused_of(terms(100, 100), 20, |_| 3), 0, "one node");
    let moving = |number: u64| (number / 160 * 7) as usize % NODES;
    assert_eq!(refused_of(terms(100, 20), 20, moving), 0, "moving");
    let spread = |number: u64| (number * 11) as usize % NODES;
    assert_eq!(
        refused_of(terms(20, 5), 30, spread),
        0,
        "less than one a second per node"
    );
    assert_eq!(
        refused_of(terms(1, 1), 60, spread),
        0,
        "one token for all nodes"
    );
}

/// Guards against a node that can use only its own share of the burst.
#[test]
fn a_whole_burst_is_served_on_one_node() {
    let customer = customer("acme");
    let mut fleet = fleet_of(&customer, terms(10, 100));
    for _ in 0..100 {
        fleet.request(7, &customer);
    }
    fleet.advance(SECOND);
    assert_eq!((fleet.counts.admitted, fleet.counts.refused), (100, 0));
}

/// Guards against requests that wait for tokens without an answer, and against a flood of loan
/// requests from a customer over its rate.
#[test]
fn waits_end_in_time_and_excess_requests_cost_few_messages() {
    let customer = customer("acme");
    let mut fleet = fleet_of(&customer, terms(50, 50));
    for number in 0..8_000_u64 {
        fleet.request(number as usize % 3, &customer);
        fleet.advance(2_500);
    }
    fleet.advance(MAX_TRANSFER_WAIT.as_micros() as u64 + fleet.tick_micros);
    let answered = fleet.counts.admitted + fleet.counts.refused;
    assert_eq!(answered, 8_000, "every waiting request was answered");
    // 90% of the burst plus 20 s of the rate.
    assert!(fleet.counts.admitted > 945, "{}", fleet.counts.admitted);
    let messages_per_node_second = fleet.net.sent / 20 / 3;
    assert!(messages_per_node_second < 200, "{messages_per_node_second}");
}

/// Guards against tokens that stay with a crashed borrower.
#[test]
fn a_lost_node_withholds_its_share_for_one_loan_term_only() {
    let customer = customer("acme");
    let budget = terms(100, 100);
    let mut fleet = fleet_of(&customer, budget);
    let send = |fleet: &mut ShareFleet, node: usize, seconds: u64| {
        let before = fleet.counts.refused;
        for _ in 0..seconds * 70 {
            fleet.request(node, &customer);
            fleet.advance(SECOND / 70);
        }
        fleet.counts.refused - before
    };
    assert_eq!(send(&mut fleet, 3, 5), 0);
    fleet.nodes[3].is_alive = false;
    let at_first = send(&mut fleet, 4, 5);
    let later = send(&mut fleet, 4, 20);
    assert!(at_first <= 70 * 2, "{at_first}");
    assert_eq!(later, 0);
    assert_eq!(fleet.over_admitted(&customer, &budget), 0);
}

/// Guards against a fleet that admits the old and the new rate together, as nodes adopt a change
/// one after another.
#[test]
fn old_and_new_rate_never_add_up_while_nodes_differ() {
    let customer = customer("acme");
    for (old, new) in [
        ((100, 100), (20, 60)),
        ((20, 60), (100, 100)),
        ((50, 48), (50, 400)),
    ] {
        let (old, new) = (terms(old.0, old.1), terms(new.0, new.1));
        let new = BudgetTerms {
            revision: Revision(2),
            ..new
        };
        let mut fleet = fleet_of(&customer, old);
        let send = |fleet: &mut ShareFleet, rounds: u64| {
            for round in 0..rounds * 20 {
                (0..8).for_each(|offset| {
                    fleet.request((round as usize + offset * 5) % NODES, &customer);
                });
                fleet.advance(SECOND / 20);
            }
        };
        send(&mut fleet, 4);
        fleet.terms.insert(customer.clone(), new);
        for node in 0..NODES {
            fleet.adopt(node);
            send(&mut fleet, u64::from(node % 8 == 0));
        }
        let larger = BudgetTerms {
            refill: old.refill.max(new.refill),
            capacity: old.capacity.max(new.capacity),
            ..new
        };
        assert_eq!(fleet.over_admitted(&customer, &larger), 0);
        // Once the loans by the old terms have expired, only the new terms apply.
        fleet.advance(3 * SECOND);
        fleet.admissions.clear();
        send(&mut fleet, 10);
        assert_eq!(fleet.over_admitted(&customer, &new), 0);
    }
}

/// Guards against shares that exceed the larger budget together, as some nodes still use the old
/// terms.
#[test]
fn any_mix_of_nodes_on_old_and_new_terms_stays_below_the_larger() {
    let pair = (
        1..500_u64,
        1..200_u32,
        1..500_u64,
        1..200_u32,
        1..48_usize,
        any::<u64>(),
    );
    fixed_runner(2_000, 3)
        .run(
            &pair,
            |(old_rate, old_burst, new_rate, new_burst, nodes, mix)| {
                let holders: Vec<_> = (0..nodes).map(|index| node_id(index, 1)).collect();
                let make = |rate, burst| {
                    let rate = RequestRate::from_per_second(rate);
                    BudgetTerms::from_rate(Revision(1), rate, BurstSize(burst))
                };
                let (old, new) = (make(old_rate, old_burst), make(new_rate, new_burst));
                // Terms with another number of owners apply only once they are settled.
                prop_assume!(owner_count(&old, nodes) == owner_count(&new, nodes));
                let pick = |index: usize| {
                    if mix >> (index % 64) & 1 == 0 {
                        &old
                    } else {
                        &new
                    }
                };
                let shares = holders
                    .iter()
                    .enumerate()
                    .map(|(index, node)| split(pick(index), &holders, node, SplitMode::Owners));
                let sum = shares.fold(Default::default(), |sum: (u64, u64), share| {
                    (sum.0 + share.refill.0, sum.1 + share.capacity.0)
                });
                prop_assert!(sum.0 <= old.refill.0.max(new.refill.0));
                prop_assert!(sum.1 <= old.capacity.0.max(new.capacity.0));
                Ok(())
            },
        )
        .expect("shares never add up");
}

/// Guards against retries that multiply the load of a service which is failing or short of
/// capacity.
#[test]
fn retries_stay_below_a_tenth_of_the_load_of_service_and_customer() {
    let service: ServiceId = "convoy-desk".parse().expect("an id");
    let names = [customer("large"), customer("small")];
    let steps = prop::collection::vec((0..2_usize, any::<bool>(), any::<bool>()), 0..400);
    fixed_runner(500, 4)
        .run(&steps, |steps| {
            let mut budget = RetryBudget::new();
            let (mut sent, mut retried) = ([0_u64; 2], [0_u64; 2]);
            for (index, is_retry, is_short) in steps {
                if !is_retry {
                    sent[index] += 1;
                    budget.record_request(&service, &names[index]);
                    continue;
                }
                let load = if is_short {
                    ServiceLoad::Short
                } else {
                    ServiceLoad::Ample
                };
                let decision = budget.try_retry(&service, &names[index], load);
                prop_assert!(!is_short || decision == RetryDecision::ServiceShort);
                retried[index] += u64::from(decision == RetryDecision::Allow);
                for customer in 0..2 {
                    prop_assert!(retried[customer] * 10 <= sent[customer]);
                }
            }
            Ok(())
        })
        .expect("retries are paid for");
}
