//! Queues requests that wait for the slots of a service, fairly among its customers.
//!
//! The discipline is start-time fair queueing, where a request's cost is its expected slot time. A
//! customer's part of the slots depends on its weight only, not on how many connections it opens or
//! how expensive its requests are. See [docs/design/fairness.md](../../docs/design/fairness.md).

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fair_schedule::FairSchedule;
use crate::ids::CustomerId;
use crate::outcome::Reason;
use crate::service_rate::ServiceRate;
use crate::time::MonoTime;

/// The order in which waiting requests get slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Each customer gets slot time in proportion to its weight.
    #[default]
    WeightedFair,
    /// First come, first served; a baseline for comparison.
    Fifo,
}

/// Limits on the number of waiting requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct QueueLimits {
    /// Over all customers.
    pub total: usize,
    /// Of one customer.
    pub per_customer: usize,
}

/// A request that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingRequest<T> {
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The customer's weight; zero counts as one.
    pub weight: u32,
    /// The expected slot time of the request.
    pub cost: Duration,
    /// When the answer must be complete.
    pub deadline: MonoTime,
    /// The process's data of the request.
    pub item: T,
}

/// The outcome of [`FairQueue::push`].
#[derive(Debug, Eq, PartialEq)]
pub enum PushOutcome<T> {
    /// The request waits.
    Queued,
    /// The request waits. It replaces this request of the customer with the longest queue for its
    /// weight, which must be refused with [`Reason::QueueFull`].
    Displaced(WaitingRequest<T>),
    /// The request must be refused now; it did not run.
    Refused {
        /// The request.
        request: WaitingRequest<T>,
        /// The reason of the refusal.
        reason: Reason,
        /// The time after which a retry may find a shorter queue, if known.
        retry_after: Option<Duration>,
    },
}

/// The outcome of [`FairQueue::pop`].
#[derive(Debug, Eq, PartialEq)]
pub enum PopOutcome<T> {
    /// This request gets the slot.
    Run(WaitingRequest<T>),
    /// This request must be refused with [`Reason::DeadlineUnmeetable`]; it did not run. Call
    /// [`FairQueue::pop`] again.
    Refuse(WaitingRequest<T>),
    /// No request waits.
    Empty,
}

#[derive(Debug)]
enum Discipline<T> {
    Fair(FairSchedule<T>),
    Fifo(VecDeque<WaitingRequest<T>>),
}

/// The requests of one service that wait on one node.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    discipline: Discipline<T>,
    rate: ServiceRate,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    pub fn new(policy: QueuePolicy, limits: QueueLimits) -> Self {
        let discipline = match policy {
            QueuePolicy::WeightedFair => Discipline::Fair(FairSchedule::new()),
            QueuePolicy::Fifo => Discipline::Fifo(VecDeque::new()),
        };
        Self {
            limits,
            discipline,
            rate: ServiceRate::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        match &self.discipline {
            Discipline::Fair(schedule) => schedule.len(),
            Discipline::Fifo(queue) => queue.len(),
        }
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request unless it cannot be served in time or the queue is full.
    pub fn push(&mut self, now: MonoTime, request: WaitingRequest<T>) -> PushOutcome<T> {
        if self.is_empty() {
            self.rate.record_backlog_start(now);
        }
        let limits = self.limits;
        match &mut self.discipline {
            Discipline::Fair(schedule) => push_fair(schedule, &self.rate, limits, now, request),
            Discipline::Fifo(queue) if queue.len() >= limits.total => refuse_full(request),
            Discipline::Fifo(queue) => {
                queue.push_back(request);
                PushOutcome::Queued
            }
        }
    }

    /// Removes the next request, for a free slot.
    pub fn pop(&mut self, now: MonoTime) -> PopOutcome<T> {
        let (next, is_late) = match &mut self.discipline {
            Discipline::Fair(schedule) => {
                let next = schedule.pop();
                let is_late = next
                    .as_ref()
                    .is_some_and(|request| now + request.cost > request.deadline);
                (next, is_late)
            }
            Discipline::Fifo(queue) => {
                let next = queue.pop_front();
                let is_late = next.as_ref().is_some_and(|request| now > request.deadline);
                (next, is_late)
            }
        };
        match next {
            None => PopOutcome::Empty,
            Some(request) if is_late => {
                self.refund(&request.customer, request.weight, request.cost);
                PopOutcome::Refuse(request)
            }
            Some(request) => {
                self.rate.record_start(now, request.cost);
                PopOutcome::Run(request)
            }
        }
    }

    fn refund(&mut self, customer: &CustomerId, weight: u32, cost: Duration) {
        if let Discipline::Fair(schedule) = &mut self.discipline {
            schedule.correct_cost(customer, weight, cost, Duration::ZERO);
        }
    }

    /// Charges the slot time that a request took instead of the expected one.
    ///
    /// A customer whose requests take longer than expected pays with its next ones.
    pub fn record_finished(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        expected: Duration,
        taken: Duration,
    ) {
        if let Discipline::Fair(schedule) = &mut self.discipline {
            schedule.correct_cost(customer, weight, expected, taken);
        }
    }

    /// Removes the waiting requests that `is_cancelled` selects, for callers that disconnected.
    pub fn remove(&mut self, is_cancelled: impl Fn(&T) -> bool) -> Vec<WaitingRequest<T>> {
        match &mut self.discipline {
            Discipline::Fair(schedule) => schedule.remove(is_cancelled),
            Discipline::Fifo(queue) => {
                let (removed, kept) = queue
                    .drain(..)
                    .partition(|request| is_cancelled(&request.item));
                *queue = kept;
                let removed: VecDeque<_> = removed;
                removed.into()
            }
        }
    }
}

fn push_fair<T>(
    schedule: &mut FairSchedule<T>,
    rate: &ServiceRate,
    limits: QueueLimits,
    now: MonoTime,
    request: WaitingRequest<T>,
) -> PushOutcome<T> {
    let work = schedule.work_ahead(&request.customer, request.weight, request.cost);
    let wait = rate.time_for(now, work);
    if let Some(wait) = wait.filter(|wait| now + *wait + request.cost > request.deadline) {
        return PushOutcome::Refused {
            request,
            reason: Reason::DeadlineUnmeetable,
            retry_after: Some(wait),
        };
    }
    if schedule.len_of(&request.customer) >= limits.per_customer {
        return refuse_full(request);
    }
    if schedule.len() < limits.total {
        schedule.push(request);
        return PushOutcome::Queued;
    }
    match schedule.displace(&request) {
        Some(displaced) => {
            schedule.push(request);
            PushOutcome::Displaced(displaced)
        }
        None => refuse_full(request),
    }
}

fn refuse_full<T>(request: WaitingRequest<T>) -> PushOutcome<T> {
    PushOutcome::Refused {
        request,
        reason: Reason::QueueFull,
        retry_after: None,
    }
}
