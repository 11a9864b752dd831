//! Decides which requests are refused at once when a service has too little room.
//!
//! Each rank has a range of the estimated wait over which the share of its requests that is refused grows
//! from none to all. The ranges of less urgent ranks end lower, so that a queue which keeps the next more
//! urgent rank from its deadline cannot build up. A range and not a single bound, since all nodes act on
//! reports of the same age: with a bound, all of them would stop and resume at the same moments. See
//! [docs/design/admission.md](../../docs/design/admission.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::config::Idempotence;
use crate::ids::{CustomerId, RouteId, ServiceId};
use crate::repeat_budget::RepeatValue;
use crate::routing::{Destination, PriorityRank, RoutingDocument};
use crate::service_room::{ServiceRoom, WaitSample};
use crate::target_selection::PoolLoad;
use crate::time::MonoTime;

/// The range of the most urgent rank, as fractions of the wait that it can bear. The lower end is above the
/// waits of ordinary load; a narrower range makes nodes with reports that are 0.5 s old oscillate.
const URGENT_RANGE: (f64, f64) = (0.5, 1.0);
/// The range of the least urgent rank; the ranks between have ranges between.
const LEAST_URGENT_RANGE: (f64, f64) = (0.5, 0.8);
/// By how much a request that needs less work or has more time left than its rank's usual one may bear a
/// longer wait, and one of the opposite kind a shorter one.
const MAX_EASE: f64 = 1.25;
/// The share of requests that are sent although they seem too late: their answers correct the estimate of
/// the running time, which would stay too high otherwise.
const TRICKLE: f64 = 0.04;
/// The maximum number of customers with an account in a service; the oldest account is forgotten first.
const MAX_ACCOUNTS: usize = 1_024;
/// How long no request must have been refused by rank until the service counts as having room again.
const CALM_TIME: Duration = Duration::from_secs(2);

/// A route on which requests of a rank occur.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankRoute {
    /// The route.
    pub id: RouteId,
    /// Its maximum time from a request's arrival to its answer.
    pub timeout: Duration,
    /// Its latency objective.
    pub objective: Duration,
}

/// A rank of a service, and the routes on which its requests occur.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankRoutes {
    /// The rank.
    pub rank: PriorityRank,
    /// The routes; never empty.
    pub routes: Vec<RankRoute>,
}

/// The ranks of a service's requests, the most urgent one first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRanks(Vec<RankRoutes>);

impl ServiceRanks {
    /// Collects the ranks of the routes to a service and of the customers, who may use any of them.
    pub fn new(document: &RoutingDocument, service: &ServiceId) -> Self {
        let names_service = |destinations: &[Destination]| {
            let mut destinations = destinations.iter();
            destinations.any(|destination| destination.service == *service)
        };
        let mut ranks: IndexMap<PriorityRank, Vec<RankRoute>> = IndexMap::new();
        let customers = document.customers.iter().flatten();
        let customer_ranks: Vec<PriorityRank> = customers
            .filter_map(|customer| customer.priority)
            .collect::<indexmap::IndexSet<_>>()
            .into_iter()
            .collect();
        for route in &document.routes {
            if !names_service(&route.destinations) {
                continue;
            }
            for rank in customer_ranks.iter().chain([&route.priority]) {
                let routes = ranks.entry(*rank).or_default();
                if routes.last().is_none_or(|last| last.id != route.id) {
                    routes.push(RankRoute {
                        id: route.id.clone(),
                        timeout: route.timeout,
                        objective: route.latency_objective,
                    });
                }
            }
        }
        ranks.sort_unstable_keys();
        let ranks = ranks.into_iter();
        Self(
            ranks
                .map(|(rank, routes)| RankRoutes { rank, routes })
                .collect(),
        )
    }

    /// Returns what a repeat of a request is worth.
    pub fn repeat_value(&self, rank: PriorityRank, idempotence: Idempotence) -> RepeatValue {
        if !self.is_graded() {
            return RepeatValue::Equal;
        }
        RepeatValue::Ranked {
            place: self.place(rank).1,
            idempotence,
        }
    }

    /// Returns the index of a rank, and its place from 0 for the most urgent one to 1 for the least urgent one.
    fn place(&self, rank: PriorityRank) -> (usize, f64) {
        let last = self.0.len().saturating_sub(1);
        let known = self.0.iter().position(|known| known.rank >= rank);
        let index = known.unwrap_or(last);
        (index, index as f64 / last.max(1) as f64)
    }

    /// Returns whether requests of the service differ in rank; otherwise none is refused by rank.
    pub fn is_graded(&self) -> bool {
        self.0.len() > 1
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct RankedRequest<'a> {
    /// Its rank.
    pub rank: PriorityRank,
    /// Its customer, if it has one.
    pub customer: Option<&'a CustomerId>,
    /// Its route.
    pub route: &'a RouteId,
    /// The latency objective of its route.
    pub objective: Duration,
    /// The time until its deadline.
    pub time_left: Duration,
    /// The wait that the balancer predicts at the selected target, in typical running times.
    pub queueing: f64,
    /// The load of all targets.
    pub pool: PoolLoad,
    /// A random number from 0 to 1, which keeps the nodes from refusing at the same moments.
    pub drawn: f64,
}

/// Whether a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It is sent.
    Admit,
    /// It would not be answered by its deadline.
    RefuseByDeadline(Duration),
    /// More urgent requests need the room, or there is too little for all of its rank. Holds the estimated
    /// wait.
    RefuseByRank(Duration),
}

/// A change between refusing by rank and serving all ranks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusingChange {
    /// The service began to refuse requests by rank.
    Began,
    /// It ceased; holds how long it did and how many requests were refused.
    Ceased {
        /// For how long.
        lasted: Duration,
        /// The number of refused requests.
        refused: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct RefusingPeriod {
    began_at: MonoTime,
    last_at: MonoTime,
    refused: u64,
}

/// The admission to one service at one node.
#[derive(Debug)]
pub struct AdmissionPolicy {
    room: ServiceRoom,
    /// The part of a refusal that each customer has come to, by rank. A customer's requests are refused
    /// evenly, so that the refused shares of customers differ by one request each at most.
    accounts: IndexMap<(PriorityRank, Option<CustomerId>), f64>,
    refusing: Option<RefusingPeriod>,
    pending_change: Option<RefusingChange>,
}

impl AdmissionPolicy {
    /// Creates the policy of a service that has room.
    pub fn new(now: MonoTime) -> Self {
        Self {
            room: ServiceRoom::new(now),
            accounts: IndexMap::new(),
            refusing: None,
            pending_change: None,
        }
    }

    /// Returns the estimate of the wait.
    pub const fn room(&self) -> &ServiceRoom {
        &self.room
    }

    /// Records what an attempt shows about the wait.
    pub fn record(&mut self, now: MonoTime, sample: &WaitSample<'_>) {
        self.room.record(now, sample);
    }

    /// Decides whether a request is sent that was not sent before.
    pub fn decide(
        &mut self,
        now: MonoTime,
        ranks: &ServiceRanks,
        request: &RankedRequest<'_>,
    ) -> AdmissionDecision {
        let predicted = self.room.queueing_wait(request.queueing, request.objective);
        let pool_wait = self
            .room
            .queueing_wait(request.pool.queueing(), request.objective);
        let wait = self.room.update(now, predicted, pool_wait);
        self.end_calm_period(now);
        if !ranks.is_graded() {
            return AdmissionDecision::Admit;
        }
        let running = self.room.running_time(request.route, request.objective);
        let is_too_late = wait + running > request.time_left;
        let share = if is_too_late {
            1.0 - TRICKLE
        } else {
            self.refused_share(ranks, request, self.room.pool_wait(), running)
        };
        let account = self.account(request);
        *account += share;
        if share <= 0.0 || *account < 1.0 {
            return AdmissionDecision::Admit;
        }
        *account -= 1.0;
        if is_too_late {
            return AdmissionDecision::RefuseByDeadline(wait);
        }
        self.record_refusal(now);
        AdmissionDecision::RefuseByRank(self.room.pool_wait())
    }

    /// Returns the last change between refusing by rank and serving all, once.
    pub fn take_change(&mut self) -> Option<RefusingChange> {
        self.pending_change.take()
    }

    /// Returns the share of requests like this one that is refused.
    fn refused_share(
        &self,
        ranks: &ServiceRanks,
        request: &RankedRequest<'_>,
        wait: Duration,
        running: Duration,
    ) -> f64 {
        let (index, place) = ranks.place(request.rank);
        // No rank may build up a queue that a more urgent one cannot bear.
        let more_urgent = ranks.0.iter().take(index + 1);
        let bearable = more_urgent.map(|rank| self.bearable_wait(rank)).min();
        let bearable_s = bearable.unwrap_or_default().as_secs_f64();
        if bearable_s <= 0.0 {
            return 0.0;
        }
        let rank = &ranks.0[index];
        let routes = rank.routes.iter();
        let total: Duration = routes
            .map(|route| self.room.running_time(&route.id, route.objective))
            .sum();
        let usual_running_s = total.as_secs_f64() / rank.routes.len() as f64;
        let usual_spare_s = self.bearable_wait(rank).as_secs_f64();
        let spare_s = (request.time_left - running).as_secs_f64();
        let ease =
            spare_s / usual_spare_s.max(1e-3) * usual_running_s / running.as_secs_f64().max(1e-3);
        let between = |urgent: f64, least: f64| urgent + (least - urgent) * place;
        let lower = between(URGENT_RANGE.0, LEAST_URGENT_RANGE.0);
        let upper = between(URGENT_RANGE.1, LEAST_URGENT_RANGE.1);
        let strain = wait.as_secs_f64() / bearable_s / ease.clamp(1.0 / MAX_EASE, MAX_EASE);
        ((strain - lower) / (upper - lower)).clamp(0.0, 1.0)
    }

    /// Returns the wait that leaves the requests of a rank time to run.
    fn bearable_wait(&self, rank: &RankRoutes) -> Duration {
        let spare = |route: &RankRoute| {
            let running = self.room.running_time(&route.id, route.objective);
            route.timeout.saturating_sub(running)
        };
        rank.routes.iter().map(spare).min().unwrap_or_default()
    }

    fn account(&mut self, request: &RankedRequest<'_>) -> &mut f64 {
        let key = (request.rank, request.customer.cloned());
        if !self.accounts.contains_key(&key) && self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.shift_remove_index(0);
        }
        self.accounts
            .entry(key)
            .or_insert(request.drawn.clamp(0.0, 1.0))
    }

    fn record_refusal(&mut self, now: MonoTime) {
        if self.refusing.is_none() {
            self.pending_change = Some(RefusingChange::Began);
        }
        let period = self.refusing.get_or_insert(RefusingPeriod {
            began_at: now,
            last_at: now,
            refused: 0,
        });
        period.last_at = now;
        period.refused += 1;
    }

    fn end_calm_period(&mut self, now: MonoTime) {
        let ended = self
            .refusing
            .take_if(|period| now.since(period.last_at) >= CALM_TIME);
        if let Some(period) = ended {
            self.pending_change = Some(RefusingChange::Ceased {
                lasted: period.last_at.since(period.began_at),
                refused: period.refused,
            });
        }
    }
}
