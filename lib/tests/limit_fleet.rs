//! A simulated fleet whose nodes share the limits that targets name, on virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::target_limits::{
    LimitNotice, LimitPermission, LimitSender, LimitStatement, TargetLimits,
};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::RequestRate;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// One in this many statements is lost on its way to a node.
const LOSS_ONE_IN: u32 = 10;
/// The longest time until a node learns which nodes carry traffic, in milliseconds.
const MAX_MEMBERS_DELAY_MS: u64 = 1_000;
/// The window of the promise, and the time after the first naming or a restart from which on it
/// holds, in milliseconds. The platform states both.
const WINDOW_MS: u64 = 4_000;
const CONTACT_MS: u64 = 3_000;

/// A target of the fleet.
#[derive(Debug)]
pub struct LimitedTarget {
    id: TargetId,
    data_centre: DataCentreId,
    /// The limit that the target names; none if it names none.
    pub limit: Option<RequestRate>,
    named_from_ms: Option<u64>,
    /// When requests arrived that count against the limit.
    arrivals_ms: Vec<u64>,
}

#[derive(Debug)]
struct LimitNode {
    vm: VmId,
    data_centre: DataCentreId,
    limits: TargetLimits,
    started_ms: u64,
    senders_due_ms: u64,
    is_up: bool,
}

#[derive(Debug)]
struct Answer {
    at_ms: u64,
    node: usize,
    started_ms: u64,
    target: usize,
    sent_ms: u64,
    notice: LimitNotice,
}

/// A fleet with more callers than its limited targets take.
#[derive(Debug)]
pub struct LimitFleet {
    /// The targets.
    pub targets: Vec<LimitedTarget>,
    nodes: Vec<LimitNode>,
    answers: VecDeque<Answer>,
    now_ms: u64,
    rng: SmallRng,
}

fn data_centre(index: usize) -> DataCentreId {
    format!("dc-{index}").parse().expect("a valid name")
}

impl LimitFleet {
    /// Makes a fleet in three data centres.
    pub fn new(seed: u64, nodes: usize, targets: usize) -> Self {
        let node = |index: usize| {
            let vm: VmId = format!("vm-{index}").parse().expect("a valid name");
            LimitNode {
                limits: TargetLimits::new(vm.clone()),
                vm,
                data_centre: data_centre(index % 3),
                started_ms: 0,
                senders_due_ms: 0,
                is_up: true,
            }
        };
        let target = |index: usize| LimitedTarget {
            id: format!("i-{index}").parse().expect("a valid name"),
            data_centre: data_centre(index % 3),
            limit: None,
            named_from_ms: None,
            arrivals_ms: Vec::new(),
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            targets: (0..targets).map(target).collect(),
            answers: VecDeque::new(),
            now_ms: 10_000,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    /// Lets a target name a limit; none lifts it.
    pub fn set_limit(&mut self, target: usize, limit: Option<RequestRate>) {
        let target = &mut self.targets[target];
        target.limit = limit;
        target.named_from_ms = limit.map(|_| self.now_ms);
        target.arrivals_ms.clear();
    }

    /// Stops a node, or starts it anew without what it knew.
    pub fn set_up(&mut self, node: usize, is_up: bool) {
        let node = &mut self.nodes[node];
        node.is_up = is_up;
        node.started_ms = self.now_ms;
        node.limits = TargetLimits::new(node.vm.clone());
        for other in &mut self.nodes {
            let delay = self.rng.random_range(0..MAX_MEMBERS_DELAY_MS);
            other.senders_due_ms = other.senders_due_ms.max(self.now_ms + delay);
        }
        if is_up {
            self.nodes
                .iter_mut()
                .for_each(|node| node.limits.repeat_soon());
        }
    }

    /// Runs the fleet; each node tries to send `per_s` requests a second.
    pub fn run(&mut self, duration_ms: u64, per_s: f64) {
        for _ in 0..duration_ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.exchange();
            self.receive_answers();
            let chance = per_s * STEP_MS as f64 / 1_000.0;
            for node in 0..self.nodes.len() {
                if self.nodes[node].is_up && self.rng.random_bool(chance.min(1.0)) {
                    self.send(node);
                }
            }
        }
    }

    fn exchange(&mut self) {
        let now = self.now();
        let senders: Vec<LimitSender> = self
            .nodes
            .iter()
            .filter(|node| node.is_up)
            .map(|node| LimitSender {
                vm: node.vm.clone(),
                data_centre: node.data_centre.clone(),
            })
            .collect();
        let mut statements: Vec<(usize, LimitStatement)> = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.is_up {
                continue;
            }
            if self.now_ms >= node.senders_due_ms {
                node.limits.set_senders(now, senders.clone());
            }
            node.limits.tick(now);
            let own = node.limits.drain_changes(now).into_iter();
            let own = own.chain(node.limits.due_repeats(now));
            statements.extend(own.map(|statement| (index, statement)));
        }
        for (from, statement) in statements {
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let is_lost = self.rng.random_range(0..LOSS_ONE_IN) == 0;
                if index == from || !node.is_up || is_lost {
                    continue;
                }
                let target = self
                    .targets
                    .iter()
                    .find(|target| target.id == statement.target);
                let centre = &target.expect("nodes name known targets").data_centre;
                node.limits.record_statement(now, centre, &statement);
            }
        }
    }

    fn receive_answers(&mut self) {
        let now = self.now();
        let (due, later): (VecDeque<Answer>, VecDeque<Answer>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.at_ms <= self.now_ms);
        self.answers = later;
        for answer in due {
            let node = &mut self.nodes[answer.node];
            if node.started_ms != answer.started_ms {
                continue;
            }
            let target = &self.targets[answer.target];
            let sent_at = MonoTime::from_millis(answer.sent_ms);
            let target = (&target.id, &target.data_centre);
            node.limits
                .record_answer(now, target, sent_at, answer.notice);
        }
    }

    fn send(&mut self, node: usize) {
        let now = self.now();
        let start = self.rng.random_range(0..self.targets.len());
        for step in 0..self.targets.len() {
            let index = (start + step) % self.targets.len();
            let sender = &mut self.nodes[node];
            let target = &mut self.targets[index];
            match sender.limits.permission(now, &target.id) {
                LimitPermission::Unlimited
                | LimitPermission::Within
                | LimitPermission::Beyond(Duration::ZERO) => {}
                LimitPermission::Beyond(_) | LimitPermission::Elsewhere => continue,
            }
            sender.limits.reserve(now, &target.id);
            let contact = self.now_ms >= sender.started_ms + CONTACT_MS || sender.started_ms == 0;
            let counts = target
                .named_from_ms
                .is_some_and(|from_ms| self.now_ms >= from_ms + CONTACT_MS);
            if counts && contact {
                target.arrivals_ms.push(self.now_ms);
            }
            let notice = match target.limit {
                Some(rate) => LimitNotice::Limited(rate),
                None => LimitNotice::Unlimited,
            };
            self.answers.push_back(Answer {
                at_ms: self.now_ms + self.rng.random_range(20..400),
                node,
                started_ms: sender.started_ms,
                target: index,
                sent_ms: self.now_ms,
                notice,
            });
            return;
        }
    }

    /// Returns the largest number of requests in a window as a fraction of what the platform allows:
    /// one and a half times the limit, and five requests.
    pub fn worst_window(&self) -> f64 {
        let targets = self.targets.iter().filter_map(|target| {
            let per_s = target.limit?.millis_per_second() as f64 / 1_000.0;
            let allowed = per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0;
            let arrivals = &target.arrivals_ms;
            let counts = arrivals.iter().enumerate().map(|(first, at_ms)| {
                let within = arrivals[first..]
                    .iter()
                    .take_while(|other| **other - at_ms < WINDOW_MS);
                within.count() as f64 / allowed
            });
            Some(counts.fold(0.0, f64::max))
        });
        targets.fold(0.0, f64::max)
    }

    /// Returns the requests that arrived as a fraction of what the limits allowed since
    /// [`CONTACT_MS`] after their naming.
    pub fn used_fraction(&self) -> f64 {
        let (mut used, mut allowed) = (0.0, 0.0);
        for target in &self.targets {
            if let (Some(limit), Some(from_ms)) = (target.limit, target.named_from_ms) {
                let elapsed_ms = self.now_ms.saturating_sub(from_ms + CONTACT_MS);
                used += target.arrivals_ms.len() as f64;
                allowed += limit.millis_per_second() as f64 * elapsed_ms as f64 / 1e6;
            }
        }
        used / allowed
    }

    /// Returns the number of limits that the nodes believe in, one count for each node.
    pub fn limited_counts(&self) -> Vec<usize> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| node.limits.limited_count()).collect()
    }
}
