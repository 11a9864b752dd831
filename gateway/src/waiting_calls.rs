//! Queues requests that wait for a slot, one queue for each service, fair between customers.

use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use damaskloom_lib::config::{Idempotence, PolicyMode, Target};
use damaskloom_lib::fair_queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueuePolicy, WaitingRequest,
};
use damaskloom_lib::ids::{CustomerId, RouteId, ServiceId, TargetId};
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::retry_budget::ServiceLoad;
use damaskloom_lib::slot_pool::SlotTicket;
use damaskloom_lib::time::MonoTime;
use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::oneshot;

use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::health_monitor::HealthMonitor;
use crate::slot_registry::SlotRegistry;
use crate::tick_interval::TickInterval;

/// The maximum number of requests that wait for one service on one node.
const MAX_QUEUED: usize = 512;
/// The maximum number of requests of one customer that wait for one service on one node.
const MAX_QUEUED_PER_CUSTOMER: usize = 128;
/// The expected slot time of a route before its first request.
const INITIAL_COST_MS: u64 = 25;
/// The divisor of the moving average of slot times: a new value has weight `1 / COST_SMOOTHING`.
const COST_SMOOTHING: u32 = 16;

/// A target with a slot for one attempt.
#[derive(Debug)]
pub struct PickedSlot {
    /// The target.
    pub target: Target,
    /// Whether the target is ejected and the request is its trial.
    pub trial: bool,
    /// The slot, which is released when the ticket is dropped.
    pub ticket: SlotTicket,
}

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The route, whose earlier requests give the expected slot time.
    pub route: &'a RouteId,
    /// The customer by which the queue shares slots.
    pub customer: &'a CustomerId,
    /// Whether the request may run more than once, and so may try an ejected target.
    pub idempotence: Idempotence,
    /// The time by which the caller must have its answer.
    pub deadline: MonoTime,
    /// The targets of earlier attempts.
    pub tried: &'a [TargetId],
}

type SlotResult = Result<PickedSlot, Refusal>;
type WaitingCall = oneshot::Sender<SlotResult>;
type ServiceQueue = Mutex<FairQueue<WaitingCall>>;

enum SlotSelection {
    Slot(PickedSlot),
    /// Targets are available, but this node has no free slot; a slot of this target, the best one,
    /// is requested from peers.
    Busy(Target),
    None,
}

/// Assigns slots to requests: at once if one is free, else in the fair order of the queue.
#[derive(Debug)]
pub struct WaitingCalls {
    clock: MonoClock,
    config: Arc<ConfigView>,
    health: Arc<HealthMonitor>,
    slots: Arc<SlotRegistry>,
    tick_interval: Arc<TickInterval>,
    queues: RwLock<IndexMap<ServiceId, Arc<ServiceQueue>>>,
    costs: RwLock<IndexMap<RouteId, Duration>>,
}

impl WaitingCalls {
    /// Makes the state without queues; each is made at its first use.
    pub fn new(
        clock: MonoClock,
        config: Arc<ConfigView>,
        health: Arc<HealthMonitor>,
        slots: Arc<SlotRegistry>,
        tick_interval: Arc<TickInterval>,
    ) -> Self {
        Self {
            clock,
            config,
            health,
            slots,
            tick_interval,
            queues: RwLock::default(),
            costs: RwLock::default(),
        }
    }

    /// Waits for a target with a free slot.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if no target is available, the queue is full, or the request
    /// cannot be served before its deadline.
    pub async fn acquire_slot(&self, request: &SlotRequest<'_>) -> Result<PickedSlot, Refusal> {
        let answer = {
            let queue = self.queue(request.service);
            let mut queue = lock(&queue);
            if queue.is_empty() {
                match self.select_target(request) {
                    SlotSelection::Slot(picked) => return Ok(picked),
                    SlotSelection::None => return Err(Refusal::not_run(Reason::NoTarget)),
                    SlotSelection::Busy(target) => self.slots.request_slot(&target),
                }
            }
            self.push(&mut queue, request)
        };
        let _waiting = self.tick_interval.count_waiting();
        answer
            .await
            .unwrap_or(Err(Refusal::not_run(Reason::DeadlineUnmeetable)))
    }

    fn push(
        &self,
        queue: &mut FairQueue<WaitingCall>,
        request: &SlotRequest<'_>,
    ) -> oneshot::Receiver<SlotResult> {
        let (sender, receiver) = oneshot::channel();
        let weight = self
            .config
            .customer(request.customer)
            .map_or(1, |customer| customer.weight);
        let waiting = WaitingRequest {
            customer: request.customer.clone(),
            weight,
            cost: self.cost(request.route),
            deadline: request.deadline,
            item: sender,
        };
        match queue.push(self.clock.now(), waiting) {
            PushOutcome::Queued => {}
            PushOutcome::Displaced(displaced) => {
                refuse(displaced.item, Refusal::not_run(Reason::QueueFull));
            }
            PushOutcome::Refused {
                request,
                reason,
                retry_after,
            } => {
                let mut refusal = Refusal::not_run(reason);
                refusal.retry_after = retry_after;
                refuse(request.item, refusal);
            }
        }
        receiver
    }

    /// Selects targets until one has a slot that this node may occupy.
    fn select_target(&self, request: &SlotRequest<'_>) -> SlotSelection {
        let mut excluded = request.tried.to_vec();
        let mut busy: Option<Target> = None;
        loop {
            let seed = rand::rng().random();
            let picked = self
                .health
                .pick(request.service, request.idempotence, seed, &excluded);
            let Some(picked) = picked else {
                return busy.map_or(SlotSelection::None, SlotSelection::Busy);
            };
            excluded.push(picked.target.clone());
            let Some(target) = self.config.target(&picked.target) else {
                continue;
            };
            match self.slots.acquire(&target, request.deadline) {
                Some(ticket) => {
                    return SlotSelection::Slot(PickedSlot {
                        target,
                        trial: picked.trial,
                        ticket,
                    });
                }
                None => busy = busy.or(Some(target)),
            }
        }
    }

    /// Assigns free slots of a service to its waiting requests, in their order.
    pub fn serve_queue(&self, service: &ServiceId) {
        let queue = self.queue(service);
        let mut queue = lock(&queue);
        while !queue.is_empty() {
            let now = self.clock.now();
            let any_request = SlotRequest {
                service,
                route: &ANY_ROUTE,
                customer: &ANY_CUSTOMER,
                idempotence: Idempotence::NonIdempotent,
                deadline: now + Duration::from_millis(QUEUED_OCCUPANCY_MS),
                tried: &[],
            };
            match self.select_target(&any_request) {
                SlotSelection::Slot(picked) => assign_slot(&mut queue, now, picked),
                SlotSelection::Busy(target) => {
                    self.slots.request_slot(&target);
                    queue.remove(oneshot::Sender::is_closed);
                    return;
                }
                SlotSelection::None => {
                    queue.remove(oneshot::Sender::is_closed);
                    return;
                }
            }
        }
    }

    /// Serves all queues with waiting requests; called every few milliseconds.
    pub fn tick(&self) {
        let services: Vec<ServiceId> = {
            let queues = self.queues.read().expect("no holder of the queues panics");
            let waiting = queues.iter().filter(|(_, queue)| !lock(queue).is_empty());
            waiting.map(|(service, _)| service.clone()).collect()
        };
        services
            .iter()
            .for_each(|service| self.serve_queue(service));
    }

    /// Records for how long a request occupied its slot.
    pub fn record_finished(&self, request: &SlotRequest<'_>, taken: Duration) {
        let expected = self.cost(request.route);
        let weight = self
            .config
            .customer(request.customer)
            .map_or(1, |customer| customer.weight);
        lock(&self.queue(request.service)).record_finished(
            request.customer,
            weight,
            expected,
            taken,
        );
        let mut costs = self.costs.write().expect("no holder of the costs panics");
        let updated = (expected * (COST_SMOOTHING - 1) + taken) / COST_SMOOTHING;
        costs.insert(request.route.clone(), updated);
    }

    /// Returns whether requests of a service wait on this node.
    pub fn load(&self, service: &ServiceId) -> ServiceLoad {
        if lock(&self.queue(service)).is_empty() {
            ServiceLoad::Ample
        } else {
            ServiceLoad::Short
        }
    }

    fn cost(&self, route: &RouteId) -> Duration {
        let costs = self.costs.read().expect("no holder of the costs panics");
        costs
            .get(route)
            .copied()
            .unwrap_or(Duration::from_millis(INITIAL_COST_MS))
    }

    fn queue(&self, service: &ServiceId) -> Arc<ServiceQueue> {
        if let Some(queue) = self
            .queues
            .read()
            .expect("no holder of the queues panics")
            .get(service)
        {
            return Arc::clone(queue);
        }
        let mode = self
            .config
            .service(service)
            .map_or(PolicyMode::Adaptive, |s| s.policy);
        let policy = match mode {
            PolicyMode::Adaptive => QueuePolicy::WeightedFair,
            PolicyMode::Baseline => QueuePolicy::Fifo,
        };
        let limits = QueueLimits {
            total: MAX_QUEUED,
            per_customer: MAX_QUEUED_PER_CUSTOMER,
        };
        let mut queues = self.queues.write().expect("no holder of the queues panics");
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Mutex::new(FairQueue::new(policy, limits))));
        Arc::clone(queue)
    }
}

/// The time for which a slot is acquired for the queue, since the request that gets it is not known
/// yet.
const QUEUED_OCCUPANCY_MS: u64 = 10_000;

static ANY_ROUTE: std::sync::LazyLock<RouteId> =
    std::sync::LazyLock::new(|| "any".parse().expect("the name is a valid identifier"));
static ANY_CUSTOMER: std::sync::LazyLock<CustomerId> =
    std::sync::LazyLock::new(|| "any".parse().expect("the name is a valid identifier"));

/// Assigns the slot to the first request in the queue that can still be served in time.
fn assign_slot(queue: &mut FairQueue<WaitingCall>, now: MonoTime, picked: PickedSlot) {
    let mut picked = picked;
    loop {
        match queue.pop(now) {
            PopOutcome::Empty => return,
            PopOutcome::Refuse(late) => {
                refuse(late.item, Refusal::not_run(Reason::DeadlineUnmeetable));
            }
            PopOutcome::Run(next) => match next.item.send(Ok(picked)) {
                Err(Ok(unused)) => picked = unused,
                Ok(()) | Err(Err(_)) => return,
            },
        }
    }
}

fn refuse(waiting: WaitingCall, refusal: Refusal) {
    // A caller that disconnected needs no answer.
    let _ = waiting.send(Err(refusal));
}

fn lock(queue: &ServiceQueue) -> MutexGuard<'_, FairQueue<WaitingCall>> {
    queue.lock().expect("no holder of a queue panics")
}
