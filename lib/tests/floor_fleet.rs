//! A simulated fleet that keeps the floor of a service, on virtual time: nodes with Poisson arrivals that
//! exchange counts, signals and losses with delay and loss.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use damaskloom_lib::balanced_target::RunningAttemptId;
use damaskloom_lib::config::Idempotence;
use damaskloom_lib::crossing_cost::CrossingCost;
use damaskloom_lib::evacuation::Evacuations;
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::loss_meter::{RequestOutcome, ServiceCode, ServiceLoss};
use damaskloom_lib::target_balancer::{TargetBalancer, TargetCode};
use damaskloom_lib::target_limits::TargetLimits;
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_selection::{CostSpread, SelectionRequest, TargetTrust};
use damaskloom_lib::target_trial::TrialNode;
use damaskloom_lib::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DATA_CENTRES: usize = 4;
const LOCAL_COUNTS_MS: u64 = 100;
const REMOTE_COUNTS_MS: u64 = 250;
const LOSSES_MS: u64 = 500;
const MEMBERS_MS: u64 = 1_000;
/// How long a node that is gone counts as present, in milliseconds.
const SILENCE_MS: u64 = 2_600;
/// The running time of a request at a healthy target, in milliseconds.
const RUNNING_MS: u64 = 400;
/// The service that all requests are for.
const SERVICE: ServiceCode = ServiceCode(7);

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct FloorTerms {
    pub nodes: usize,
    pub targets: usize,
    pub per_node_s: f64,
    /// The number of targets that fail each request at once.
    pub failing: usize,
    /// The share of requests that are refused before a target is selected.
    pub refused: f64,
    /// The share of requests that can be retried.
    pub retryable: f64,
    /// When a third of the nodes fall silent, in milliseconds; none if they do not.
    pub gone_at_ms: Option<u64>,
    pub seed: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Counts(Vec<(TargetCode, u32)>),
    Signal(usize, FailureSignal),
    Losses(ServiceLoss),
}

#[derive(Clone, Debug)]
enum Event {
    Arrival(usize),
    End(usize, usize, RunningAttemptId),
    Counts(usize, bool),
    Losses(usize),
    Members(usize),
    Deliver(usize, usize, Message),
}

/// What the targets saw.
#[derive(Debug)]
pub struct FloorReport {
    /// The longest time for which any healthy target got nothing, in milliseconds.
    pub longest_ms: u64,
    /// The same of those that fail all the time; nodes cannot know when they recover.
    pub longest_failing_ms: u64,
    /// The most trials at one target, a second.
    pub most_trials_per_s: f64,
    /// The trials a second and target, over all targets.
    pub trials_per_s: f64,
}

pub struct FloorFleet {
    terms: FloorTerms,
    nodes: Vec<TargetBalancer>,
    vms: Vec<VmId>,
    ids: Vec<TargetId>,
    limits: TargetLimits,
    notices: TargetNotices,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    held: indexmap::IndexMap<u64, Event>,
    next_event: u64,
    arrivals: Vec<Vec<u64>>,
    trials: Vec<Vec<u64>>,
    random: SmallRng,
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn named<T: std::str::FromStr>(kind: &str, number: usize) -> T {
    let name = format!("{kind}-{number}");
    name.parse().ok().expect("a valid name")
}

fn centre(number: usize) -> DataCentreId {
    named("centre", number % DATA_CENTRES)
}

impl FloorFleet {
    pub fn new(terms: FloorTerms) -> Self {
        let ids: Vec<TargetId> = (0..terms.targets).map(|id| named("i", id)).collect();
        let vms: Vec<VmId> = (0..terms.nodes).map(|node| named("vm", node)).collect();
        let make = |number: usize| {
            let mut balancer = TargetBalancer::new(&vms[number], centre(number));
            for (index, id) in ids.iter().enumerate() {
                let slots = 1_000;
                balancer.insert(at(0), id.clone(), centre(index), slots, Duration::ZERO);
            }
            balancer
        };
        let mut fleet = Self {
            terms,
            nodes: (0..terms.nodes).map(make).collect(),
            limits: TargetLimits::new(named("vm", 0)),
            notices: TargetNotices::default(),
            events: BinaryHeap::new(),
            held: indexmap::IndexMap::new(),
            next_event: 0,
            arrivals: vec![Vec::new(); terms.targets],
            trials: vec![Vec::new(); terms.targets],
            random: SmallRng::seed_from_u64(terms.seed),
            vms,
            ids,
        };
        for node in 0..terms.nodes {
            fleet.update_members(0, node);
            let offset = fleet.random.random_range(0..100);
            fleet.plan(offset, Event::Counts(node, true));
            fleet.plan(offset, Event::Counts(node, false));
            fleet.plan(offset * 5, Event::Losses(node));
            fleet.plan(offset * 10, Event::Members(node));
            fleet.plan_arrival(0, node);
        }
        fleet
    }

    fn plan(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_ms, self.next_event)));
        self.held.insert(self.next_event, event);
    }

    fn plan_arrival(&mut self, now: u64, node: usize) {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let gap_ms = -uniform.ln() / self.terms.per_node_s * 1_000.0;
        self.plan(now + gap_ms.round() as u64, Event::Arrival(node));
    }

    fn is_gone(&self, now: u64, node: usize) -> bool {
        node % 3 == 1 && self.terms.gone_at_ms.is_some_and(|gone_at| now >= gone_at)
    }

    fn update_members(&mut self, now: u64, node: usize) {
        let heard_at = now.saturating_sub(SILENCE_MS);
        let others: Vec<TrialNode> = (0..self.terms.nodes)
            .filter(|other| *other != node && !self.is_gone(heard_at, *other))
            .map(|other| TrialNode::new(&self.vms[other], centre(other)))
            .collect();
        self.nodes[node].set_trial_nodes(&others);
    }

    /// Sends a message to the other nodes, or to those of a scope: local or remote ones.
    fn send(&mut self, now: u64, node: usize, scope: Option<bool>, message: &Message) {
        for other in 0..self.terms.nodes {
            let is_local = other % DATA_CENTRES == node % DATA_CENTRES;
            let is_in_scope = scope.is_none_or(|local| local == is_local);
            if other == node || !is_in_scope || self.random.random_bool(0.02) {
                continue;
            }
            let transit = if is_local { 2..20 } else { 20..60 };
            let due = now + self.random.random_range(transit);
            self.plan(due, Event::Deliver(other, node, message.clone()));
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        let node = match &event {
            Event::Arrival(node)
            | Event::End(node, ..)
            | Event::Counts(node, _)
            | Event::Losses(node)
            | Event::Members(node)
            | Event::Deliver(node, ..) => *node,
        };
        if self.is_gone(now, node) {
            return;
        }
        match event {
            Event::Arrival(_) => {
                self.request(now, node);
                self.plan_arrival(now, node);
            }
            Event::End(_, target, attempt) => {
                let id = &self.ids[target];
                self.nodes[node].finish_attempt(id, attempt);
                self.record_end(now, node, target, FailureSignal::Good);
            }
            Event::Counts(_, local) => {
                let running: Vec<_> = self.nodes[node]
                    .running_counts()
                    .map(|(id, count)| (TargetCode::from(id), count))
                    .collect();
                if !running.is_empty() {
                    self.send(now, node, Some(local), &Message::Counts(running));
                }
                let interval = if local {
                    LOCAL_COUNTS_MS
                } else {
                    REMOTE_COUNTS_MS
                };
                self.plan(now + interval, Event::Counts(node, local));
            }
            Event::Losses(_) => {
                let report = self.nodes[node].loss_mut().take_report(at(now), SERVICE);
                if let Some(report) = report {
                    self.send(now, node, None, &Message::Losses(report));
                }
                self.plan(now + LOSSES_MS, Event::Losses(node));
            }
            Event::Members(_) => {
                self.update_members(now, node);
                self.plan(now + MEMBERS_MS, Event::Members(node));
            }
            Event::Deliver(_, from, message) => {
                let balancer = &mut self.nodes[node];
                match message {
                    Message::Counts(running) => {
                        balancer.record_peer_counts(at(now), &self.vms[from], &running);
                    }
                    Message::Signal(target, signal) => {
                        balancer.record_peer_signal(at(now), &self.ids[target], signal);
                    }
                    Message::Losses(report) => {
                        let loss = balancer.loss_mut();
                        loss.record_report(at(now), &self.vms[from], report);
                    }
                }
            }
        }
    }

    fn record_end(&mut self, now: u64, node: usize, target: usize, signal: FailureSignal) {
        let outcome = self.nodes[node].record_signal(at(now), &self.ids[target], signal);
        if outcome.is_some_and(|outcome| outcome.should_share) {
            self.send(now, node, None, &Message::Signal(target, signal));
        }
    }

    fn request(&mut self, now: u64, node: usize) {
        if self.random.random_bool(self.terms.refused) {
            self.nodes[node].record_request(at(now), RequestOutcome::Lost);
            return;
        }
        let idempotence = if self.random.random_bool(self.terms.retryable) {
            Idempotence::Idempotent
        } else {
            Idempotence::NonIdempotent
        };
        let request = SelectionRequest {
            idempotence,
            tried: &[],
            limits: &self.limits,
            notices: &self.notices,
            trust: TargetTrust::Known,
            evacuations: &Evacuations::default(),
            crossing: CrossingCost::default(),
            seed: self.random.random(),
            spread: CostSpread::None,
        };
        let balancer = &mut self.nodes[node];
        let selection = balancer
            .select(at(now), &request)
            .expect("there are targets");
        let id = selection.target;
        let target = self.ids.iter().position(|known| *known == id);
        let target = target.expect("a known target");
        self.arrivals[target].push(now);
        if selection.is_trial {
            self.trials[target].push(now);
        }
        let attempt = balancer.start_attempt(at(now), &id, Duration::from_secs(2));
        if target < self.terms.failing {
            balancer.finish_attempt(&id, attempt);
            balancer.record_request(at(now), RequestOutcome::Lost);
            self.record_end(now, node, target, FailureSignal::FailedAtOnce);
        } else {
            balancer.record_request(at(now), RequestOutcome::Served);
            self.plan(now + RUNNING_MS, Event::End(node, target, attempt));
        }
    }

    /// Plays until a time; the report is about what happened from another one on.
    pub fn play(mut self, from_ms: u64, until_ms: u64) -> FloorReport {
        while let Some(Reverse((now, number))) = self.events.pop() {
            if now >= until_ms {
                break;
            }
            let event = self.held.swap_remove(&number).expect("it was planned");
            self.handle(now, event);
        }
        let longest = |arrivals: &Vec<u64>| {
            let within = arrivals.iter().copied().filter(|time| *time >= from_ms);
            let times: Vec<u64> = std::iter::once(from_ms)
                .chain(within)
                .chain([until_ms])
                .collect();
            times.windows(2).map(|pair| pair[1] - pair[0]).max()
        };
        let seconds = (until_ms - from_ms) as f64 / 1_000.0;
        let count = |trials: &Vec<u64>| trials.iter().filter(|time| **time >= from_ms).count();
        let trials = || self.trials.iter().map(count);
        let (failing, healthy) = self.arrivals.split_at(self.terms.failing);
        FloorReport {
            longest_ms: healthy.iter().filter_map(longest).max().unwrap_or(0),
            longest_failing_ms: failing.iter().filter_map(longest).max().unwrap_or(0),
            most_trials_per_s: trials().max().unwrap_or(0) as f64 / seconds,
            trials_per_s: trials().sum::<usize>() as f64 / seconds / self.terms.targets as f64,
        }
    }
}
