//! Embeds the rate limiter: limits one customer's rate over three nodes, in virtual time.
//!
//! The embedder passes in the time and the peers' messages, and carries out the returned actions.

use std::collections::VecDeque;
use std::time::Duration;

use damaskloom_lib::budget::{BudgetTerms, BudgetView, EpochView};
use damaskloom_lib::ids::{CustomerId, Epoch, Incarnation, NodeId, Revision};
use damaskloom_lib::rate_limiter::{LimitPolicy, LimiterAction, RateDecision, RateLimiter};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::{BurstSize, RequestRate};

fn main() {
    let nodes: Vec<NodeId> = (1..=3)
        .map(|number| NodeId {
            vm: format!("vm-{number}").parse().expect("the name is an id"),
            incarnation: Incarnation(1),
        })
        .collect();
    let customer: CustomerId = "border-post".parse().expect("the name is an id");
    let view = BudgetView {
        epoch: EpochView {
            epoch: Epoch(1),
            holders: nodes.clone(),
            ..EpochView::default()
        },
        terms: BudgetTerms::from_rate(Revision(1), RequestRate::from_per_second(10), BurstSize(6)),
        ..BudgetView::default()
    };
    let make = |node: &NodeId| RateLimiter::new(node.clone(), LimitPolicy::Escrow);
    let mut limiters: Vec<RateLimiter> = nodes.iter().map(make).collect();

    // Each node starts with a third of the burst; the first node requests the rest from its peers.
    let mut now = MonoTime::from_millis(60_000);
    let (mut admitted, mut waiting, mut refused) = (0, 0, 0);
    let mut messages = VecDeque::new();
    for _ in 0..8 {
        let mut actions = Vec::new();
        match limiters[0].admit(now, &customer, || view.clone(), &mut actions) {
            RateDecision::Admit => admitted += 1,
            RateDecision::Wait { .. } => waiting += 1,
            RateDecision::Refuse { .. } => refused += 1,
        }
        messages.extend(actions.into_iter().map(|action| (0, action)));
    }
    println!("at once: {admitted} admitted, {waiting} wait for peers, {refused} refused");

    for _ in 0..100 {
        now = now + Duration::from_millis(10);
        for (index, limiter) in limiters.iter_mut().enumerate() {
            let mut actions = Vec::new();
            limiter.tick(now, &mut actions);
            messages.extend(actions.into_iter().map(|action| (index, action)));
        }
        while let Some((index, action)) = messages.pop_front() {
            match action {
                LimiterAction::Admit(_) => admitted += 1,
                LimiterAction::Refuse { .. } => refused += 1,
                LimiterAction::Send { to, message } => {
                    let peer = nodes.iter().position(|node| *node == to).expect("a peer");
                    let mut actions = Vec::new();
                    let known = || Some(view.clone());
                    limiters[peer].handle(now, &nodes[index], &message, known, &mut actions);
                    messages.extend(actions.into_iter().map(|action| (peer, action)));
                }
            }
        }
    }
    println!("a second later: {admitted} admitted, {refused} refused");
    assert_eq!(admitted + refused, 8);
}
