//! Fairness, limits and deadlines of the queue.

use std::time::Duration;

use damaskloom_lib::fair_queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueuePolicy, WaitingRequest,
};
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::outcome::Reason;
use damaskloom_lib::time::MonoTime;
use proptest::prelude::*;

use crate::test_shares::{customer, fixed_runner};

const FAR_FUTURE: MonoTime = MonoTime::from_millis(1 << 40);

fn request(customer: &CustomerId, weight: u32, millis: u64) -> WaitingRequest<u64> {
    WaitingRequest {
        customer: customer.clone(),
        weight,
        cost: Duration::from_millis(millis),
        deadline: FAR_FUTURE,
        item: 0,
    }
}

fn queue(total: usize, per_customer: usize) -> FairQueue<u64> {
    let limits = QueueLimits {
        total,
        per_customer,
    };
    FairQueue::new(QueuePolicy::WeightedFair, limits)
}

/// Pops the next request and returns it if it runs.
fn run_next(queue: &mut FairQueue<u64>, now: MonoTime) -> Option<WaitingRequest<u64>> {
    match queue.pop(now) {
        PopOutcome::Run(request) => Some(request),
        PopOutcome::Refuse(_) | PopOutcome::Empty => None,
    }
}

/// Guards against a customer that gets more than its part of the slots by expensive requests or
/// many connections.
#[test]
fn slot_time_follows_the_weights_whatever_the_requests_cost() {
    let customers = [customer("a"), customer("b"), customer("c")];
    let load = prop::array::uniform3((1..8_u32, 1..60_u64, 1..40_usize));
    fixed_runner(300, 21)
        .run(&load, |load| {
            let mut queue = queue(100_000, 100_000);
            // The first customer has many more connections than the others.
            for round in 0..400 {
                for (index, (weight, millis, connections)) in load.iter().enumerate() {
                    let count = if index == 0 { 10 * connections } else { 1 };
                    for _ in 0..count.min(if round == 0 { 500 } else { 1 }) {
                        queue.push(FAR_FUTURE, request(&customers[index], *weight, *millis));
                    }
                }
            }
            let mut served = [0_u64; 3];
            for _ in 0..300 {
                let next = run_next(&mut queue, MonoTime::ZERO).expect("requests wait");
                let index = customers.iter().position(|c| *c == next.customer);
                served[index.expect("a known customer")] += next.cost.as_millis() as u64;
            }
            for a in 0..3 {
                for b in 0..3 {
                    let part = |i: usize| served[i] as f64 / f64::from(load[i].0);
                    let slack = |i: usize| load[i].1 as f64 / f64::from(load[i].0);
                    prop_assert!(part(a) <= part(b) + slack(a) + slack(b) + 1.0, "{served:?}");
                }
            }
            Ok(())
        })
        .expect("slot time is fair");
}

/// Guards against a customer that gets more than its part since its requests take longer than
/// expected.
#[test]
fn a_customer_pays_for_requests_that_take_longer_than_expected() {
    let names = [customer("dear"), customer("cheap")];
    let mut queue = queue(10_000, 10_000);
    let mut taken = [0_u64; 2];
    for _ in 0..1_000 {
        for name in &names {
            queue.push(MonoTime::ZERO, request(name, 1, 10));
        }
    }
    for _ in 0..800 {
        let next = run_next(&mut queue, MonoTime::ZERO).expect("requests wait");
        let index = usize::from(next.customer == names[1]);
        let millis = if index == 0 { 80 } else { 10 };
        taken[index] += millis;
        let spent = Duration::from_millis(millis);
        queue.record_finished(&next.customer, 1, next.cost, spent);
    }
    let ratio = taken[0] as f64 / taken[1] as f64;
    assert!((0.9..1.1).contains(&ratio), "{taken:?}");
}

/// Guards against a customer that fills the queue, so that requests of others are refused.
#[test]
fn a_flood_displaces_its_own_requests_only() {
    let (flood, small) = (customer("flood"), customer("small"));
    let mut queue = queue(100, 100);
    for _ in 0..300 {
        queue.push(MonoTime::ZERO, request(&flood, 1, 10));
        assert!(queue.len() <= 100);
    }
    for _ in 0..40 {
        let outcome = queue.push(MonoTime::ZERO, request(&small, 1, 10));
        let PushOutcome::Displaced(displaced) = outcome else {
            panic!("the flood makes room: {outcome:?}");
        };
        assert_eq!(displaced.customer, flood);
        assert_eq!(queue.len(), 100);
    }
    let outcome = queue.push(MonoTime::ZERO, request(&flood, 1, 10));
    let is_full = matches!(
        outcome,
        PushOutcome::Refused {
            reason: Reason::QueueFull,
            ..
        }
    );
    assert!(is_full, "{outcome:?}");
}

/// Guards against refusals of requests that could have met their deadline, and against late
/// requests that are queued nevertheless.
#[test]
fn requests_refused_early_would_have_been_late() {
    let load = (1..20_u64, 50..2_000_u64, 1..60_u64);
    fixed_runner(300, 22)
        .run(&load, |(cost, deadline, gap)| {
            // One slot; the expected slot time is the true one.
            let name = customer("acme");
            let mut queue = queue(100_000, 100_000);
            let (mut free_at, mut early, mut late, mut in_time) = (0, 0, 0, 0);
            for number in 0..400 {
                let now = number * gap * cost / 40;
                while free_at <= now {
                    match queue.pop(MonoTime::from_millis(free_at)) {
                        PopOutcome::Run(next) => {
                            free_at += cost;
                            let end = MonoTime::from_millis(free_at);
                            in_time += u64::from(end <= next.deadline);
                            late += u64::from(end > next.deadline);
                        }
                        PopOutcome::Refuse(_) => late += 1,
                        PopOutcome::Empty => break,
                    }
                }
                free_at = free_at.max(now);
                let at = MonoTime::from_millis(now);
                let mut next = request(&name, 1, cost);
                next.deadline = at + Duration::from_millis(deadline);
                let backlog = queue.len() as u64 * cost + free_at.saturating_sub(now);
                if let PushOutcome::Refused { .. } = queue.push(at, next) {
                    early += 1;
                    let is_unmeetable = backlog + 3 * cost + backlog / 10 >= deadline;
                    prop_assert!(is_unmeetable, "backlog {backlog} of {deadline}");
                }
            }
            // Under a lasting overload, most of the late requests are refused on arrival.
            prop_assert!(late <= early + in_time / 4 + 16, "{early} {late} {in_time}");
            Ok(())
        })
        .expect("early refusals are justified");
}
