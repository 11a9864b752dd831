//! Queues the requests of a service that is short of slots, fairly over its customers.
//!
//! Start-time fair queueing with a request's expected slot time as its cost: a customer's part of
//! the slots depends on its weight only, not on how many connections or how expensive requests it
//! sends. See [docs/design/fairness.md](../../docs/design/fairness.md).

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fair_schedule::FairSchedule;
use crate::ids::CustomerId;
use crate::outcome::Reason;
use crate::service_rate::ServiceRate;
use crate::time::MonoTime;

/// In which order waiting requests get slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Each customer gets slot time by its weight.
    #[default]
    WeightedFair,
    /// First come, first served; the baseline.
    Fifo,
}

/// How many requests may wait.
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
    /// Whose request it is.
    pub customer: CustomerId,
    /// The customer's weight; zero counts as one.
    pub weight: u32,
    /// The slot time that the request is expected to take.
    pub cost: Duration,
    /// When the answer must be complete.
    pub deadline: MonoTime,
    /// What the process needs to go on with the request.
    pub item: T,
}

/// What became of a request that wanted to wait.
#[derive(Debug, Eq, PartialEq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued,
    /// It waits in the place of a request of the customer with the longest queue for its weight,
    /// which is to be refused with [`Reason::QueueFull`].
    Displaced(WaitingRequest<T>),
    /// It is to be refused now; it did not run.
    Refused {
        /// The request.
        request: WaitingRequest<T>,
        /// Why.
        reason: Reason,
        /// When a retry may find a shorter queue, where that is known.
        retry_after: Option<Duration>,
    },
}

/// What to do with the next waiting request.
#[derive(Debug, Eq, PartialEq)]
pub enum PopOutcome<T> {
    /// Give it a slot.
    Run(WaitingRequest<T>),
    /// Refuse it with [`Reason::DeadlineUnmeetable`]; it did not run. Pop again.
    Refuse(WaitingRequest<T>),
    /// Nothing waits.
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

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request, unless it cannot be served in time or the queue is full.
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

    /// Takes the next request when a slot is free.
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

    /// Charges the slot time that a request took in place of the expected one.
    ///
    /// A customer whose requests are dearer than expected pays on its next ones.
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

    /// Takes out the waiting requests that `is_cancelled` picks, for callers that went away.
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
