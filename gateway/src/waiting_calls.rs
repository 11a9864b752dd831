//! The requests that wait for a slot, fairly over customers, one queue for each service.

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

/// The requests of one service that wait on one node.
const MAX_QUEUED: usize = 512;
/// The requests of one customer that wait for one service on one node.
const MAX_QUEUED_PER_CUSTOMER: usize = 128;
/// The expected slot time of a route that was not used yet.
const INITIAL_COST_MS: u64 = 25;
/// The part of a new measurement in the expected slot time: one in so many.
const COST_SMOOTHING: u32 = 16;

/// A target with a slot for one attempt.
#[derive(Debug)]
pub struct PickedSlot {
    /// The target.
    pub target: Target,
    /// Whether the request tries an ejected target.
    pub trial: bool,
    /// The slot; it is free again when this is dropped.
    pub ticket: SlotTicket,
}

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The route, whose earlier requests say how long the slot will be occupied.
    pub route: &'a RouteId,
    /// The customer in whose turn the request is served.
    pub customer: &'a CustomerId,
    /// Whether the request may try an ejected target.
    pub idempotence: Idempotence,
    /// When the caller must have its answer.
    pub deadline: MonoTime,
    /// The targets that were tried before.
    pub tried: &'a [TargetId],
}

type SlotResult = Result<PickedSlot, Refusal>;
type WaitingCall = oneshot::Sender<SlotResult>;
type ServiceQueue = Mutex<FairQueue<WaitingCall>>;

enum SlotChoice {
    Slot(PickedSlot),
    /// Targets take work, but this node has no free slot; the best of them is asked for.
    Busy(Target),
    None,
}

/// Gives slots to requests: at once if one is free, else in fair turns.
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
    /// Makes empty queues.
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

    /// Waits for a target with a slot.
    ///
    /// # Errors
    ///
    /// Refuses truthfully as not run if no target takes work, the queue is full, or the request
    /// cannot be served in time.
    pub async fn acquire_slot(&self, request: &SlotRequest<'_>) -> Result<PickedSlot, Refusal> {
        let answer = {
            let queue = self.queue(request.service);
            let mut queue = lock(&queue);
            if queue.is_empty() {
                match self.choose_target(request) {
                    SlotChoice::Slot(picked) => return Ok(picked),
                    SlotChoice::None => return Err(Refusal::not_run(Reason::NoTarget)),
                    SlotChoice::Busy(target) => self.slots.request_slot(&target),
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

    /// Picks targets until one has a free slot for this node.
    fn choose_target(&self, request: &SlotRequest<'_>) -> SlotChoice {
        let mut excluded = request.tried.to_vec();
        let mut busy: Option<Target> = None;
        loop {
            let seed = rand::rng().random();
            let picked = self
                .health
                .pick(request.service, request.idempotence, seed, &excluded);
            let Some(picked) = picked else {
                return busy.map_or(SlotChoice::None, SlotChoice::Busy);
            };
            excluded.push(picked.target.clone());
            let Some(target) = self.config.target(&picked.target) else {
                continue;
            };
            match self.slots.acquire(&target, request.deadline) {
                Some(ticket) => {
                    return SlotChoice::Slot(PickedSlot {
                        target,
                        trial: picked.trial,
                        ticket,
                    });
                }
                None => busy = busy.or(Some(target)),
            }
        }
    }

    /// Gives free slots of a service to the requests whose turn it is.
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
            match self.choose_target(&any_request) {
                SlotChoice::Slot(picked) => assign_slot(&mut queue, now, picked),
                SlotChoice::Busy(target) => {
                    self.slots.request_slot(&target);
                    queue.remove(oneshot::Sender::is_closed);
                    return;
                }
                SlotChoice::None => {
                    queue.remove(oneshot::Sender::is_closed);
                    return;
                }
            }
        }
    }

    /// Looks after all queues; called every few milliseconds.
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

    /// Notes for how long a slot was occupied.
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

    /// Says whether requests of a service wait here.
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

/// The time for which a slot is asked that is given to whoever is next.
const QUEUED_OCCUPANCY_MS: u64 = 10_000;

static ANY_ROUTE: std::sync::LazyLock<RouteId> =
    std::sync::LazyLock::new(|| "any".parse().expect("the name is a valid identifier"));
static ANY_CUSTOMER: std::sync::LazyLock<CustomerId> =
    std::sync::LazyLock::new(|| "any".parse().expect("the name is a valid identifier"));

/// Gives the slot to the first request in turn that can still be served in time.
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
    // A caller that went away needs no answer.
    let _ = waiting.send(Err(refusal));
}

fn lock(queue: &ServiceQueue) -> MutexGuard<'_, FairQueue<WaitingCall>> {
    queue.lock().expect("no holder of a queue panics")
}
