//! Orders requests by start-time fair queueing, without limits and deadlines.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use indexmap::IndexMap;

use crate::fair_queue::WaitingRequest;
use crate::ids::CustomerId;

const TAG_SCALE: u64 = 1_024;
const FORGET_INTERVAL_POPS: u64 = 256;

/// One customer's waiting requests and the finish tag of the last one that was served.
#[derive(Debug)]
struct CustomerQueue<T> {
    requests: VecDeque<WaitingRequest<T>>,
    finish: u64,
    start: u64,
    backlog: Duration,
    weight: u32,
}

impl<T> CustomerQueue<T> {
    const fn new() -> Self {
        Self {
            requests: VecDeque::new(),
            finish: 0,
            start: 0,
            backlog: Duration::ZERO,
            weight: 1,
        }
    }

    fn backlog_per_weight(&self) -> u64 {
        tag_span(self.backlog, self.weight)
    }
}

/// Waiting requests, ordered by the virtual time at which they start.
#[derive(Debug)]
pub(crate) struct FairSchedule<T> {
    queues: IndexMap<CustomerId, CustomerQueue<T>>,
    order: BTreeSet<(u64, CustomerId)>,
    virtual_time: u64,
    waiting: usize,
    backlog: Duration,
    active_weight: u64,
    pops: u64,
}

impl<T> FairSchedule<T> {
    pub fn new() -> Self {
        Self {
            queues: IndexMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0,
            waiting: 0,
            backlog: Duration::ZERO,
            active_weight: 0,
            pops: 0,
        }
    }

    pub const fn len(&self) -> usize {
        self.waiting
    }

    pub fn len_of(&self, customer: &CustomerId) -> usize {
        self.queues
            .get(customer)
            .map_or(0, |queue| queue.requests.len())
    }

    /// Returns the slot time that is served before a new request of `customer` starts.
    ///
    /// It is the customer's own backlog plus what the other customers get meanwhile by their
    /// weights, and at most the whole backlog.
    pub fn work_ahead(&self, customer: &CustomerId, weight: u32, cost: Duration) -> Duration {
        let queue = self.queues.get(customer);
        let own = queue.map_or(Duration::ZERO, |queue| queue.backlog);
        let is_active = queue.is_some_and(|queue| !queue.requests.is_empty());
        let weight = u64::from(weight.max(1));
        let others = self.active_weight
            - if is_active {
                weight.min(self.active_weight)
            } else {
                0
            };
        let own_micros = (own + cost).as_micros() as f64;
        let meanwhile = own_micros * others as f64 / weight as f64;
        (own + Duration::from_micros(meanwhile as u64)).min(self.backlog)
    }

    pub fn push(&mut self, request: WaitingRequest<T>) {
        let customer = request.customer.clone();
        let queue = self
            .queues
            .entry(customer.clone())
            .or_insert_with(CustomerQueue::new);
        self.waiting += 1;
        self.backlog += request.cost;
        queue.backlog += request.cost;
        let is_first = queue.requests.is_empty();
        if is_first {
            queue.weight = request.weight.max(1);
            queue.start = queue.finish.max(self.virtual_time);
            self.active_weight += u64::from(queue.weight);
            self.order.insert((queue.start, customer));
        }
        queue.requests.push_back(request);
    }

    /// Removes the request with the earliest start tag.
    pub fn pop(&mut self) -> Option<WaitingRequest<T>> {
        let (start, customer) = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let queue = self
            .queues
            .get_mut(&customer)
            .expect("the order lists queues");
        let request = queue
            .requests
            .pop_front()
            .expect("the order lists queues that are not empty");
        queue.finish = queue.start + tag_span(request.cost, queue.weight);
        queue.backlog -= request.cost;
        self.backlog -= request.cost;
        self.waiting -= 1;
        if queue.requests.is_empty() {
            self.active_weight -= u64::from(queue.weight);
        } else {
            queue.start = queue.finish;
            self.order.insert((queue.start, customer));
        }
        self.forget_idle();
        Some(request)
    }

    /// Drops customers without waiting requests whose finish tag has passed.
    fn forget_idle(&mut self) {
        self.pops += 1;
        if self.pops >= FORGET_INTERVAL_POPS.max(self.queues.len() as u64) {
            self.pops = 0;
            let now = self.virtual_time;
            self.queues
                .retain(|_, queue| !queue.requests.is_empty() || queue.finish > now);
        }
    }

    /// Moves a customer's tags by the difference between a request's actual and expected slot time.
    pub fn correct_cost(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        expected: Duration,
        taken: Duration,
    ) {
        let Some(queue) = self.queues.get_mut(customer) else {
            return;
        };
        let (before, after) = (tag_span(expected, weight), tag_span(taken, weight));
        queue.finish = (queue.finish + after).saturating_sub(before);
        if queue.requests.is_empty() {
            return;
        }
        self.order.remove(&(queue.start, customer.clone()));
        queue.start = queue.finish.max(self.virtual_time);
        self.order.insert((queue.start, customer.clone()));
    }

    /// Removes the last request of the customer with the longest queue for its weight, if that
    /// queue is longer than the queue of the incoming request's customer would be.
    pub fn displace(&mut self, incoming: &WaitingRequest<T>) -> Option<WaitingRequest<T>> {
        let own = self
            .queues
            .get(&incoming.customer)
            .map_or(Duration::ZERO, |queue| queue.backlog);
        let own_span = tag_span(own + incoming.cost, incoming.weight);
        let (longest, span) = self
            .queues
            .iter()
            .map(|(customer, queue)| (customer, queue.backlog_per_weight()))
            .max_by_key(|(_, span)| *span)?;
        if span <= own_span {
            return None;
        }
        let longest = longest.clone();
        let queue = self.queues.get_mut(&longest)?;
        let request = queue.requests.pop_back()?;
        queue.backlog -= request.cost;
        self.backlog -= request.cost;
        self.waiting -= 1;
        self.retire_if_empty(&longest);
        Some(request)
    }

    fn retire_if_empty(&mut self, customer: &CustomerId) {
        if let Some(queue) = self.queues.get(customer).filter(|q| q.requests.is_empty()) {
            let is_listed = self.order.remove(&(queue.start, customer.clone()));
            self.active_weight -= if is_listed {
                u64::from(queue.weight)
            } else {
                0
            };
        }
    }

    pub fn remove(&mut self, is_cancelled: impl Fn(&T) -> bool) -> Vec<WaitingRequest<T>> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (cancelled, kept): (VecDeque<_>, VecDeque<_>) = queue
                .requests
                .drain(..)
                .partition(|request| is_cancelled(&request.item));
            queue.requests = kept;
            queue.backlog -= cancelled.iter().map(|request| request.cost).sum();
            removed.extend(cancelled);
        }
        self.waiting -= removed.len();
        self.backlog -= removed.iter().map(|request| request.cost).sum();
        let customers: Vec<_> = removed.iter().map(|r| r.customer.clone()).collect();
        for customer in customers {
            self.retire_if_empty(&customer);
        }
        removed
    }
}

/// Returns the distance by which a request moves its customer's tags.
fn tag_span(cost: Duration, weight: u32) -> u64 {
    let micros = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX >> 16);
    micros.saturating_mul(TAG_SCALE) / u64::from(weight.max(1))
}
