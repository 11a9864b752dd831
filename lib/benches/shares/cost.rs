//! Measures the time for each decision and the memory for each customer, for 5,100 customers and
//! for ten and a hundred times as many.

use std::time::{Duration, Instant};

use damaskloom_lib::budget::{
    BudgetId, BudgetTerms, BudgetView, EpochView, MicroUnits, RefillRate,
};
use damaskloom_lib::fair_queue::{FairQueue, QueueLimits, QueuePolicy, WaitingRequest};
use damaskloom_lib::ids::{CustomerId, Epoch, Revision};
use damaskloom_lib::loan::{EscrowMessage, LoanAmount, TransferId};
use damaskloom_lib::rate_limiter::{LimitPolicy, RateLimiter};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::{BurstSize, RequestRate};

use crate::escrow_network::node_id;

const CUSTOMER_COUNTS: [usize; 3] = [5_100, 51_000, 510_000];
const DECISION_COUNT: usize = 1_000_000;

fn customers(count: usize) -> Vec<CustomerId> {
    (0..count)
        .map(|index| format!("customer-{index}").parse().expect("an id"))
        .collect()
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn view() -> BudgetView {
    let holders = (0..12).map(|index| node_id(index, 1)).collect();
    let rate = RequestRate::from_per_second(1_000_000);
    BudgetView {
        epoch: EpochView {
            epoch: Epoch(1),
            holders,
            ..EpochView::default()
        },
        terms: BudgetTerms::from_rate(Revision(1), rate, BurstSize(1_000_000)),
        ..BudgetView::default()
    }
}

/// Returns the nanoseconds for a decision and for one customer's part of a tick, and the bytes of
/// memory for each customer.
fn limiter_cost(count: usize) -> (f64, f64, f64) {
    let names = customers(count);
    let shared = view();
    let before = resident_bytes();
    let mut limiter = RateLimiter::new(node_id(0, 1), LimitPolicy::Escrow);
    let mut actions = Vec::new();
    let start = MonoTime::from_millis(1_000_000);
    for name in &names {
        limiter.admit(start, name, || shared.clone(), &mut actions);
    }
    let bytes = (resident_bytes() - before) / count as f64;
    let timer = Instant::now();
    for index in 0..DECISION_COUNT {
        let now = start + Duration::from_micros(index as u64);
        let name = &names[index * 7_919 % count];
        limiter.admit(now, name, || shared.clone(), &mut actions);
        actions.clear();
    }
    let decision = timer.elapsed().as_nanos() as f64 / DECISION_COUNT as f64;
    let later = start + Duration::from_secs(10);
    let timer = Instant::now();
    limiter.tick(later, &mut actions);
    let review = timer.elapsed().as_nanos() as f64 / count as f64;
    (decision, review, bytes)
}

fn queue_cost(count: usize) -> f64 {
    let names = customers(count);
    let limits = QueueLimits {
        total: count * 2,
        per_customer: 8,
    };
    let mut queue = FairQueue::new(QueuePolicy::WeightedFair, limits);
    let push = |queue: &mut FairQueue<()>, name: &CustomerId| {
        let request = WaitingRequest {
            customer: name.clone(),
            weight: 1,
            cost: Duration::from_millis(10),
            deadline: MonoTime::from_millis(1 << 40),
            item: (),
        };
        drop(queue.push(MonoTime::ZERO, request));
    };
    names.iter().for_each(|name| push(&mut queue, name));
    let timer = Instant::now();
    for index in 0..DECISION_COUNT {
        drop(queue.pop(MonoTime::from_micros(index as u64)));
        push(&mut queue, &names[index * 7_919 % count]);
    }
    timer.elapsed().as_nanos() as f64 / DECISION_COUNT as f64
}

/// Returns the total size of a loan's messages (request, grant and return), in bytes of JSON.
fn message_bytes() -> usize {
    let budget = BudgetId::CustomerRate("customer-1".parse().expect("an id"));
    let id = TransferId(1 << 40);
    let amount = LoanAmount {
        refill: RefillRate::from_units(10),
        capacity: MicroUnits::from_units(2),
        level: MicroUnits::from_units(1),
    };
    let messages = [
        EscrowMessage::LoanRequest {
            budget: budget.clone(),
            request: id,
            requested: amount,
            partial: false,
        },
        EscrowMessage::Grant {
            budget: budget.clone(),
            request: id,
            grant: id,
            epoch: Epoch(1_000),
            amount,
        },
        EscrowMessage::Return {
            budget,
            grant: id,
            level: amount.level,
        },
    ];
    let json = |message| serde_json::to_vec(message).map_or(0, |bytes| bytes.len());
    messages.iter().map(json).sum()
}

/// Prints one line for each size.
pub fn run() {
    println!(
        "bytes of loan request, grant and return: {}",
        message_bytes()
    );
    println!("cost by the number of customers active on one node, 12 owners each");
    println!(
        "{:>9} {:>10} {:>10} {:>14} {:>14}",
        "customers", "admit ns", "review ns", "bytes/customer", "push+pop ns"
    );
    for count in CUSTOMER_COUNTS {
        let (decision, review, bytes) = limiter_cost(count);
        let queue = queue_cost(count);
        println!("{count:>9} {decision:>10.0} {review:>10.0} {bytes:>14.0} {queue:>14.0}");
        println!(
            "{{\"bench\":\"share_cost\",\"customers\":{count},\"admit_ns\":{decision:.1},\
             \"review_ns\":{review:.1},\"bytes_per_customer\":{bytes:.1},\"push_pop_ns\":{queue:.1}}}"
        );
    }
}
