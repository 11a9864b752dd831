//! Embeds the fair queue: shares a slot between a large and a small customer, in virtual time.

use std::time::Duration;

use damaskloom_lib::fair_queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueuePolicy, WaitingRequest,
};
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::time::MonoTime;

const SLOT_TIME: Duration = Duration::from_millis(25);

fn main() {
    for policy in [QueuePolicy::WeightedFair, QueuePolicy::Fifo] {
        let (served, refused) = serve(policy);
        println!("{policy:?}: the small customer waited {served:?}, {refused} requests refused");
    }
}

/// Queues 400 requests of the large customer and one of the small customer.
///
/// Returns how long the small customer's request waited, and the number of refused requests.
fn serve(policy: QueuePolicy) -> (Option<Duration>, u32) {
    let large: CustomerId = "fuel-haulier".parse().expect("the name is an id");
    let small: CustomerId = "border-post".parse().expect("the name is an id");
    let limits = QueueLimits {
        total: 300,
        per_customer: 250,
    };
    let mut queue = FairQueue::new(policy, limits);
    let mut now = MonoTime::from_millis(1_000);
    let mut refused = 0;
    for number in 0..=400 {
        let customer = if number == 200 { &small } else { &large };
        let request = WaitingRequest {
            customer: customer.clone(),
            weight: 1,
            cost: SLOT_TIME,
            deadline: now + Duration::from_secs(10),
            item: now,
        };
        match queue.push(now, request) {
            PushOutcome::Queued => {}
            PushOutcome::Displaced(_) | PushOutcome::Refused { .. } => refused += 1,
        }
    }
    let mut waited = None;
    loop {
        match queue.pop(now) {
            PopOutcome::Empty => return (waited, refused),
            PopOutcome::Refuse(_) => refused += 1,
            PopOutcome::Run(request) => {
                if request.customer == small {
                    waited = Some(now.since(request.item));
                }
                now = now + SLOT_TIME;
                queue.record_finished(&request.customer, 1, request.cost, SLOT_TIME);
            }
        }
    }
}
