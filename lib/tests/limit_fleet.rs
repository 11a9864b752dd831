//! A simulated fleet whose nodes share the limits that targets name, on virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::routing::WarmupRule;
use damaskloom_lib::target_limits::{
    LimitNotice, LimitPermission, LimitSender, LimitStatement, TargetLimits,
};
use damaskloom_lib::target_warmups::{ColdSource, ColdTarget};
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
/// The interval at which nodes update whom they hear, and the time after a node's last heartbeat for which
/// others hear it, in milliseconds; heartbeats come each second.
const ROSTER_INTERVAL_MS: u64 = 1_000;
const HEARTBEAT_MS: u64 = 1_000;
const RESPONSIVE_MS: u64 = 2_600;
/// The longest time after the first node at which a node learns that a target is cold, in milliseconds.
pub const MAX_LEARNING_MS: u64 = 500;
/// How long a request waits for a permit at most, in milliseconds.
const MAX_PERMIT_WAIT_MS: u64 = 1_000;
/// The longest time from a request's permit to its first byte, in milliseconds: a connect.
const MAX_CONNECT_MS: u64 = 250;

/// A warm-up of all targets.
#[derive(Clone, Copy, Debug)]
struct FleetWarmup {
    rule: WarmupRule,
    from_ms: u64,
    until_ms: u64,
}

/// A request that waits for its permit and a connection.
#[derive(Debug)]
struct WaitingRequest {
    at_ms: u64,
    node: usize,
    started_ms: u64,
    target: usize,
}

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
    /// Whether the node has learned who sends since that changed last.
    knows_senders: bool,
    is_up: bool,
    /// When the node stopped; none if it never did.
    stopped_ms: Option<u64>,
    /// How far the node's clock is ahead.
    clock_ms: u64,
    /// Whether the node is on the lesser side of a cut.
    is_cut_off: bool,
    /// When the node learns that the targets are cold.
    learns_ms: Option<u64>,
}

impl LimitNode {
    fn clock(&self, now_ms: u64) -> MonoTime {
        MonoTime::from_millis(now_ms + self.clock_ms)
    }

    fn begin_warmups(&mut self, now_ms: u64, targets: &[LimitedTarget], warmup: FleetWarmup) {
        let left = Duration::from_millis(warmup.until_ms.saturating_sub(now_ms));
        for target in targets {
            let cold = ColdTarget {
                target: &target.id,
                data_centre: &target.data_centre,
                rule: warmup.rule,
            };
            let now = self.clock(now_ms);
            self.limits.warmups.begin(now, cold, left, ColdSource::Row);
        }
    }
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
    waiting: Vec<WaitingRequest>,
    warmup: Option<FleetWarmup>,
    cut_ms: Option<u64>,
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
                knows_senders: false,
                is_up: true,
                stopped_ms: None,
                clock_ms: index as u64 * 7_919 % 10_007,
                is_cut_off: false,
                learns_ms: None,
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
            waiting: Vec::new(),
            warmup: None,
            cut_ms: None,
            now_ms: 10_000,
            rng: SmallRng::seed_from_u64(seed),
        }
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
        node.stopped_ms = Some(self.now_ms);
        node.limits = TargetLimits::new(node.vm.clone());
        if let Some(warmup) = self.warmup.filter(|_| is_up) {
            // A node accepts requests once it has read the targets' rows.
            node.begin_warmups(self.now_ms, &self.targets, warmup);
        }
        for other in &mut self.nodes {
            let delay = self.rng.random_range(0..MAX_MEMBERS_DELAY_MS);
            other.senders_due_ms = other.senders_due_ms.max(self.now_ms + delay);
            other.knows_senders = false;
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
            self.update_rosters();
            self.learn_of_warmups();
            self.receive_answers();
            self.send_waiting();
            let chance = per_s * STEP_MS as f64 / 1_000.0;
            for node in 0..self.nodes.len() {
                if self.nodes[node].is_up && self.rng.random_bool(chance.min(1.0)) {
                    self.send(node);
                }
            }
        }
    }

    /// Cuts the first nodes off from the others; they still reach the targets.
    pub fn cut_off(&mut self, count: usize) {
        self.cut_ms = Some(self.now_ms);
        for node in &mut self.nodes[..count] {
            node.is_cut_off = true;
        }
    }

    /// Turns all targets cold; each node learns of it after a time of its own.
    pub fn begin_warmup(&mut self, rule: WarmupRule) {
        self.warmup = Some(FleetWarmup {
            rule,
            from_ms: self.now_ms,
            until_ms: self.now_ms + rule.period.as_millis() as u64,
        });
        for node in &mut self.nodes {
            let delay = self.rng.random_range(0..=MAX_LEARNING_MS);
            node.learns_ms = Some(self.now_ms + delay);
        }
    }

    fn learn_of_warmups(&mut self) {
        let Some(warmup) = self.warmup else { return };
        for node in &mut self.nodes {
            if node.is_up && node.learns_ms.is_some_and(|at_ms| at_ms <= self.now_ms) {
                node.learns_ms = None;
                node.begin_warmups(self.now_ms, &self.targets, warmup);
            }
        }
    }

    /// Returns whether a node hears another one, whose last heartbeat came up to a second before it fell
    /// silent and whose first comes up to a second after a start.
    fn hears(&self, listener: usize, other: usize) -> bool {
        let phase_ms = (listener * 37 + other * 101) as u64 * 13 % HEARTBEAT_MS;
        let (from, to) = (&self.nodes[listener], &self.nodes[other]);
        let is_cut = from.is_cut_off != to.is_cut_off;
        let lost_ms = self.cut_ms.filter(|_| is_cut);
        let lost_ms = lost_ms
            .into_iter()
            .chain(to.stopped_ms.filter(|_| !to.is_up))
            .min();
        let started_ms = from.started_ms.max(to.started_ms);
        match lost_ms {
            _ if listener == other => to.is_up,
            Some(at_ms) => {
                from.started_ms < at_ms
                    && self.now_ms < at_ms + RESPONSIVE_MS - HEARTBEAT_MS + phase_ms
            }
            None => started_ms == 0 || self.now_ms >= started_ms + phase_ms,
        }
    }

    fn update_rosters(&mut self) {
        for index in 0..self.nodes.len() {
            // Nodes update at different times.
            let phase_ms = index as u64 * STEP_MS * 7;
            if !(self.now_ms + phase_ms).is_multiple_of(ROSTER_INTERVAL_MS) {
                continue;
            }
            let heard = (0..self.nodes.len()).filter(|other| self.hears(index, *other));
            let heard: Vec<LimitSender> = heard
                .map(|other| LimitSender {
                    vm: self.nodes[other].vm.clone(),
                    data_centre: self.nodes[other].data_centre.clone(),
                })
                .collect();
            let node = &mut self.nodes[index];
            let now = node.clock(self.now_ms);
            node.limits.warmups.set_senders(now, heard, &[]);
        }
    }

    fn exchange(&mut self) {
        let now_ms = self.now_ms;
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
            let now = node.clock(now_ms);
            if now_ms >= node.senders_due_ms && !node.knows_senders {
                node.knows_senders = true;
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
                let now = node.clock(now_ms);
                node.limits.record_statement(now, centre, &statement);
            }
        }
    }

    fn receive_answers(&mut self) {
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
            let (now, sent_at) = (node.clock(self.now_ms), node.clock(answer.sent_ms));
            let target = (&target.id, &target.data_centre);
            node.limits
                .record_answer(now, target, sent_at, answer.notice);
        }
    }

    fn send(&mut self, node: usize) {
        let now = self.nodes[node].clock(self.now_ms);
        let start = self.rng.random_range(0..self.targets.len());
        let mut shortest: Option<(Duration, usize)> = None;
        for step in 0..self.targets.len() {
            let index = (start + step) % self.targets.len();
            let limits = &mut self.nodes[node].limits;
            let id = &self.targets[index].id;
            match limits.permission(now, id) {
                LimitPermission::Unlimited
                | LimitPermission::Within
                | LimitPermission::Beyond(Duration::ZERO) => {}
                LimitPermission::Beyond(wait) => {
                    if limits.warmups.is_cold(now, id) {
                        let first = shortest.unwrap_or((wait, index));
                        shortest = Some(first.min((wait, index)));
                    }
                    continue;
                }
                LimitPermission::Elsewhere => continue,
            }
            limits.reserve(now, id);
            self.connect(Duration::ZERO, node, index);
            return;
        }
        let max_wait = Duration::from_millis(MAX_PERMIT_WAIT_MS);
        if let Some((wait, index)) = shortest.filter(|(wait, _)| *wait <= max_wait) {
            let id = &self.targets[index].id;
            self.nodes[node].limits.reserve(now, id);
            self.connect(wait, node, index);
        }
    }

    /// Sends a request after its wait for a permit, and for a connection if there is a warm-up.
    fn connect(&mut self, wait: Duration, node: usize, target: usize) {
        let connect_ms = match self.warmup {
            Some(_) if self.rng.random_range(0..4) == 0 => self.rng.random_range(0..MAX_CONNECT_MS),
            _ => 0,
        };
        let request = WaitingRequest {
            at_ms: self.now_ms + wait.as_micros().div_ceil(1_000) as u64 + connect_ms,
            node,
            started_ms: self.nodes[node].started_ms,
            target,
        };
        if request.at_ms == self.now_ms {
            self.send_now(&request);
        } else {
            self.waiting.push(request);
        }
    }

    fn send_waiting(&mut self) {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let (due, later): (Vec<_>, Vec<_>) =
            waiting.partition(|request| request.at_ms <= self.now_ms);
        self.waiting = later;
        for request in due {
            self.send_now(&request);
        }
    }

    fn send_now(&mut self, request: &WaitingRequest) {
        let index = request.target;
        let sender = &mut self.nodes[request.node];
        let target = &mut self.targets[index];
        if !sender.is_up || sender.started_ms != request.started_ms {
            return;
        }
        let now = sender.clock(self.now_ms);
        if !sender.limits.warmups.take_send_permit(now, &target.id) {
            sender.limits.refund(now, &target.id);
            return;
        }
        let contact = self.now_ms >= sender.started_ms + CONTACT_MS || sender.started_ms == 0;
        let counts = target
            .named_from_ms
            .is_some_and(|from_ms| self.now_ms >= from_ms + CONTACT_MS);
        let is_known_cold = self.warmup.is_some_and(|warmup| {
            (warmup.from_ms + MAX_LEARNING_MS..warmup.until_ms).contains(&self.now_ms)
        });
        if (counts && contact) || is_known_cold {
            target.arrivals_ms.push(self.now_ms);
        }
        let notice = match target.limit {
            Some(rate) => LimitNotice::Limited(rate),
            None => LimitNotice::Unlimited,
        };
        self.answers.push_back(Answer {
            at_ms: self.now_ms + self.rng.random_range(20..400),
            node: request.node,
            started_ms: sender.started_ms,
            target: index,
            sent_ms: self.now_ms,
            notice,
        });
    }

    /// Returns the largest number of requests to a cold target in one second, and the used share of what the
    /// targets' rates allow, since all nodes know of the warm-up.
    pub fn cold_use(&self) -> (usize, f64) {
        let Some(warmup) = self.warmup else {
            return (0, 0.0);
        };
        let in_a_second = |arrivals: &[u64]| {
            let within = arrivals
                .iter()
                .take_while(|at_ms| **at_ms - arrivals[0] < 1_000);
            within.count()
        };
        let arrivals = self.targets.iter().map(|target| &target.arrivals_ms);
        let starts = arrivals
            .clone()
            .flat_map(|list| (0..list.len()).map(|at| &list[at..]));
        let worst = starts.map(in_a_second).max().unwrap_or(0);
        let sent: usize = arrivals.map(Vec::len).sum();
        let elapsed_ms = self.now_ms.min(warmup.until_ms) - warmup.from_ms - MAX_LEARNING_MS;
        let rate = warmup.rule.rate_per_s * self.targets.len() as f64;
        (worst, sent as f64 / (rate * elapsed_ms as f64 / 1_000.0))
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
