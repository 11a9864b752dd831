//! A simulated fleet that sends requests of two ranks to targets with slots and queues, on virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use damaskloom_lib::admission_policy::{
    AdmissionDecision, AdmissionPolicy, RankedRequest, ServiceRanks,
};
use damaskloom_lib::balanced_target::{CapacityRefusal, ReportedLoad, RunningAttemptId};
use damaskloom_lib::config::{Idempotence, RouteAccess};
use damaskloom_lib::crossing_cost::CrossingCost;
use damaskloom_lib::evacuation::Evacuations;
use damaskloom_lib::ids::{CustomerId, RouteId, ServiceId, TargetId, VmId};
use damaskloom_lib::routing::{Destination, PriorityRank, RouteRule, RoutingDocument};
use damaskloom_lib::service_room::{AttemptEnd, WaitSample};
use damaskloom_lib::target_balancer::{TargetBalancer, TargetCode};
use damaskloom_lib::target_limits::TargetLimits;
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_selection::{CostSpread, PoolLoad, SelectionRequest, TargetTrust};
use damaskloom_lib::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 5;
/// The interval and the delay of the counts that nodes exchange: they are 0.35 to 0.55 s old.
const COUNTS_INTERVAL_MS: u64 = 200;
const COUNTS_DELAY_MS: u64 = 350;
/// The slots and the longest queue of a target.
const SLOTS: usize = 4;
const QUEUE: usize = 20;
/// The attempts of a request that full targets refuse.
const MAX_ATTEMPTS: usize = 3;
/// The latency objective of both routes.
pub const OBJECTIVE: Duration = Duration::from_millis(1_000);
const CUSTOMERS: usize = 4;

/// The kind of request of each rank: its deadline and its mean running time, in milliseconds.
const KINDS: [(u64, f64); 2] = [(2_000, 310.0), (2_500, 390.0)];

/// What became of the requests of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankOutcome {
    pub offered: u32,
    pub served: u32,
    pub refused_at_once: u32,
    pub failed_after_wait: u32,
    /// The requests that the new rules refused.
    pub refused_by_policy: u32,
    /// When requests were sent, for the steadiness of admission.
    pub admitted_ms: Vec<u64>,
    /// The offered and refused requests of each customer.
    pub customers: [(u32, u32); CUSTOMERS],
}

#[derive(Debug)]
struct Job {
    node: usize,
    rank: usize,
    arrived_ms: u64,
    sent_ms: u64,
    predicted: Duration,
    pool: PoolLoad,
    attempt: RunningAttemptId,
    work_ms: u64,
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<(u64, Job)>,
    queue: VecDeque<Job>,
}

impl Server {
    fn report(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: Some(SLOTS as u32),
        }
    }
}

struct Node {
    vm: VmId,
    balancer: TargetBalancer,
    policy: AdmissionPolicy,
}

struct Counts {
    due_ms: u64,
    from: usize,
    running: Vec<(TargetCode, u32)>,
}

/// The fleet and its targets.
pub struct AdmissionFleet {
    pub now_ms: u64,
    /// The requests a second of each rank, over the fleet.
    pub rates: [f64; 2],
    pub outcomes: [RankOutcome; 2],
    /// The running time of requests that were answered in time, in slot-milliseconds.
    pub useful_ms: f64,
    is_ranked: bool,
    ranks: ServiceRanks,
    routes: Vec<RouteId>,
    customers: Vec<CustomerId>,
    limits: TargetLimits,
    notices: TargetNotices,
    nodes: Vec<Node>,
    ids: Vec<TargetId>,
    servers: Vec<Server>,
    counts: VecDeque<Counts>,
    rng: SmallRng,
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Returns routes of the two kinds, which lead to the same service.
pub fn document() -> RoutingDocument {
    let routes = KINDS.iter().enumerate();
    let routes = routes.map(|(rank, (deadline_ms, _))| RouteRule {
        id: name(&format!("route-{rank}")),
        host: "host".to_owned(),
        path_prefix: format!("/{rank}"),
        idempotence: Idempotence::NonIdempotent,
        timeout: Duration::from_millis(*deadline_ms),
        latency_objective: OBJECTIVE,
        priority: PriorityRank(rank as u32),
        destinations: vec![Destination {
            service: name("desk"),
            weight: 1,
        }],
        max_attempts: 3,
        access: RouteAccess::Open,
    });
    RoutingDocument {
        routes: routes.collect(),
        ..RoutingDocument::default()
    }
}

impl AdmissionFleet {
    /// Makes a fleet without traffic; `is_ranked` says whether the admission policy is used.
    pub fn new(seed: u64, nodes: usize, targets: usize, is_ranked: bool) -> Self {
        let document = document();
        let service: ServiceId = name("desk");
        let ids: Vec<TargetId> = (0..targets).map(|id| name(&format!("t-{id}"))).collect();
        let node = |index| {
            let vm: VmId = name(&format!("vm-{index}"));
            let mut balancer = TargetBalancer::new(&vm, name("near"));
            for id in &ids {
                balancer.insert(
                    at(0),
                    id.clone(),
                    name("near"),
                    SLOTS as u32,
                    Duration::ZERO,
                );
            }
            let policy = AdmissionPolicy::new(at(0));
            Node {
                vm,
                balancer,
                policy,
            }
        };
        Self {
            now_ms: 0,
            rates: [0.0; 2],
            outcomes: Default::default(),
            useful_ms: 0.0,
            is_ranked,
            ranks: ServiceRanks::new(&document, &service),
            routes: document
                .routes
                .iter()
                .map(|route| route.id.clone())
                .collect(),
            customers: (0..CUSTOMERS).map(|id| name(&format!("c-{id}"))).collect(),
            limits: TargetLimits::new(name("vm-0")),
            notices: TargetNotices::default(),
            nodes: (0..nodes).map(node).collect(),
            servers: ids.iter().map(|_| Server::default()).collect(),
            ids,
            counts: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the rates so that the slots are used to a share, by as many requests of each rank.
    pub fn set_utilisation(&mut self, share: f64) {
        let work_s: f64 = KINDS.iter().map(|(_, work_ms)| work_ms / 1_000.0).sum();
        let rate = share * (self.servers.len() * SLOTS) as f64 / work_s;
        self.rates = [rate; 2];
    }

    /// Removes targets, which all nodes notice at once; their requests count as neither served nor lost.
    pub fn remove_targets(&mut self, count: usize) {
        for _ in 0..count {
            let (id, server) = (self.ids.pop(), self.servers.pop());
            let (id, server) = (id.expect("enough targets"), server.expect("enough targets"));
            let running = server.running.into_iter().map(|(_, job)| job);
            for job in running.chain(server.queue) {
                self.outcomes[job.rank].offered -= 1;
            }
            for node in &mut self.nodes {
                node.balancer.remove(&id);
            }
        }
    }

    /// Forgets the outcomes so far.
    pub fn reset_outcomes(&mut self) {
        self.outcomes = Default::default();
        let jobs = self.servers.iter().flat_map(|server| {
            let running = server.running.iter().map(|(_, job)| job);
            running.chain(&server.queue)
        });
        for job in jobs {
            self.outcomes[job.rank].offered += 1;
        }
        self.useful_ms = 0.0;
    }

    pub fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.exchange_counts();
            self.run_servers();
            for rank in 0..KINDS.len() {
                let expected = self.rates[rank] * STEP_MS as f64 / 1_000.0;
                // Several draws a step, so that arrivals vary as independent ones do.
                for _ in 0..20 {
                    if self.rng.random_bool((expected / 20.0).min(1.0)) {
                        self.arrive(rank);
                    }
                }
            }
        }
    }

    fn exchange_counts(&mut self) {
        if self.now_ms.is_multiple_of(COUNTS_INTERVAL_MS) {
            for (from, node) in self.nodes.iter().enumerate() {
                let running = node.balancer.running_counts();
                let running = running.map(|(id, count)| (TargetCode::from(id), count));
                self.counts.push_back(Counts {
                    due_ms: self.now_ms + COUNTS_DELAY_MS,
                    from,
                    running: running.collect(),
                });
            }
        }
        while let Some(counts) = self
            .counts
            .pop_front_if(|counts| counts.due_ms <= self.now_ms)
        {
            let vm = self.nodes[counts.from].vm.clone();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                if index != counts.from {
                    let balancer = &mut node.balancer;
                    balancer.record_peer_counts(at(self.now_ms), &vm, &counts.running);
                }
            }
        }
    }

    fn arrive(&mut self, rank: usize) {
        let node = self.rng.random_range(0..self.nodes.len());
        let customer = self.rng.random_range(0..CUSTOMERS);
        let mean_ms = KINDS[rank].1;
        let work_ms = (mean_ms * self.rng.random_range(0.35..1.65)) as u64;
        let outcome = &mut self.outcomes[rank];
        outcome.offered += 1;
        outcome.customers[customer].0 += 1;
        let refused_before = outcome.refused_by_policy;
        self.send(node, rank, self.now_ms, Vec::new(), work_ms, customer);
        let outcome = &mut self.outcomes[rank];
        outcome.customers[customer].1 += outcome.refused_by_policy - refused_before;
    }

    fn refuse(&mut self, rank: usize, arrived_ms: u64) {
        let outcome = &mut self.outcomes[rank];
        if Duration::from_millis(self.now_ms - arrived_ms) <= OBJECTIVE / 8 {
            outcome.refused_at_once += 1;
        } else {
            outcome.failed_after_wait += 1;
        }
    }

    fn send(
        &mut self,
        index: usize,
        rank: usize,
        arrived_ms: u64,
        mut tried: Vec<TargetId>,
        work_ms: u64,
        customer: usize,
    ) {
        let now = at(self.now_ms);
        let deadline_ms = arrived_ms + KINDS[rank].0;
        let time_left = Duration::from_millis(deadline_ms.saturating_sub(self.now_ms));
        loop {
            let seed: u64 = self.rng.random();
            let drawn = self.rng.random();
            let node = &mut self.nodes[index];
            let request = SelectionRequest {
                idempotence: Idempotence::NonIdempotent,
                tried: &tried,
                limits: &self.limits,
                notices: &self.notices,
                trust: TargetTrust::Known,
                evacuations: &Evacuations::default(),
                crossing: CrossingCost::default(),
                seed,
                spread: if self.is_ranked && node.policy.room().is_short() {
                    CostSpread::Wide
                } else {
                    CostSpread::None
                },
            };
            let Ok(selection) = node.balancer.select(now, &request) else {
                return self.refuse(rank, arrived_ms);
            };
            let typical = node.balancer.timings().typical_of(&self.routes[rank]);
            let is_too_late = selection.expected_wait + typical / 2 > time_left;
            if is_too_late && !self.is_ranked {
                return self.refuse(rank, arrived_ms);
            }
            let service_typical = node.balancer.timings().typical();
            let queueing = selection.queueing(service_typical);
            let predicted = node.policy.room().queueing_wait(queueing, OBJECTIVE);
            if self.is_ranked && tried.is_empty() && !selection.is_trial {
                let request = RankedRequest {
                    rank: PriorityRank(rank as u32),
                    customer: Some(&self.customers[customer]),
                    route: &self.routes[rank],
                    objective: OBJECTIVE,
                    time_left,
                    queueing,
                    pool: selection.pool,
                    drawn,
                };
                if node.policy.decide(now, &self.ranks, &request) != AdmissionDecision::Admit {
                    self.outcomes[rank].refused_by_policy += 1;
                    return self.refuse(rank, arrived_ms);
                }
            }
            if tried.is_empty() {
                self.outcomes[rank].admitted_ms.push(self.now_ms);
            }
            let ids = &mut self.ids.iter();
            let target = ids.position(|id| *id == selection.target);
            let target = target.expect("balancers hold known targets only");
            let server = &mut self.servers[target];
            let attempt = node
                .balancer
                .start_attempt(now, &selection.target, OBJECTIVE);
            if server.running.len() < SLOTS || server.queue.len() < QUEUE {
                server.queue.push_back(Job {
                    node: index,
                    rank,
                    arrived_ms,
                    sent_ms: self.now_ms,
                    predicted,
                    pool: selection.pool,
                    attempt,
                    work_ms,
                });
                return;
            }
            let report = server.report();
            node.balancer.finish_attempt(&selection.target, attempt);
            node.balancer
                .record_load_report(now, &selection.target, report);
            let refusal = node.balancer.record_refusal(now, &selection.target);
            assert_eq!(refusal, CapacityRefusal::Full);
            node.policy.record(
                now,
                &WaitSample {
                    route: &self.routes[rank],
                    objective: OBJECTIVE,
                    predicted,
                    pool: selection.pool,
                    elapsed: Duration::ZERO,
                    end: AttemptEnd::Full(Some(report)),
                },
            );
            tried.push(selection.target);
            if tried.len() >= MAX_ATTEMPTS {
                return self.refuse(rank, arrived_ms);
            }
        }
    }

    fn run_servers(&mut self) {
        let now_ms = self.now_ms;
        for target in 0..self.servers.len() {
            let server = &mut self.servers[target];
            let mut ended = Vec::new();
            let deadline_ms = |job: &Job| job.arrived_ms + KINDS[job.rank].0;
            for queued in std::mem::take(&mut server.queue) {
                // The caller of a request that waited too long is gone, and the target skips it.
                if deadline_ms(&queued) <= now_ms {
                    ended.push((queued, AttemptEnd::TimedOut));
                } else {
                    server.queue.push_back(queued);
                }
            }
            for (end_ms, job) in std::mem::take(&mut server.running) {
                if end_ms > now_ms {
                    server.running.push((end_ms, job));
                } else if deadline_ms(&job) < now_ms {
                    ended.push((job, AttemptEnd::TimedOut));
                } else {
                    ended.push((job, AttemptEnd::Answered));
                }
            }
            while server.running.len() < SLOTS
                && let Some(job) = server.queue.pop_front()
            {
                server.running.push((now_ms + job.work_ms, job));
            }
            let report = server.report();
            for (job, end) in ended {
                self.end(target, &job, end, report);
            }
        }
    }

    fn end(&mut self, target: usize, job: &Job, end: AttemptEnd, report: ReportedLoad) {
        let now = at(self.now_ms);
        let node = &mut self.nodes[job.node];
        let id = &self.ids[target];
        let elapsed = Duration::from_millis(self.now_ms - job.sent_ms);
        node.balancer.finish_attempt(id, job.attempt);
        let end = match end {
            AttemptEnd::Answered => {
                node.balancer.record_load_report(now, id, report);
                node.balancer
                    .record_running_time(&self.routes[job.rank], elapsed);
                self.outcomes[job.rank].served += 1;
                self.useful_ms += job.work_ms as f64;
                AttemptEnd::Answered
            }
            other => {
                self.outcomes[job.rank].failed_after_wait += 1;
                other
            }
        };
        node.policy.record(
            now,
            &WaitSample {
                route: &self.routes[job.rank],
                objective: OBJECTIVE,
                predicted: job.predicted,
                pool: job.pool,
                elapsed,
                end,
            },
        );
    }
}
