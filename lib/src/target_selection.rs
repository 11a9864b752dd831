//! The selection of a target for a request: what is asked, and its outcome.

use std::time::Duration;

use crate::config::Idempotence;
use crate::crossing_cost::CrossingCost;
use crate::evacuation::Evacuations;
use crate::ids::TargetId;
use crate::rendezvous::StableHash;
use crate::target_limits::TargetLimits;
use crate::target_notices::TargetNotices;
use crate::time::MonoTime;

/// The request that a target is selected for.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Whether the request may be retried.
    pub idempotence: Idempotence,
    /// The targets to which the request was already sent.
    pub tried: &'a [TargetId],
    /// The limits that targets name.
    pub limits: &'a TargetLimits,
    /// The rests that targets have asked this node for.
    pub notices: &'a TargetNotices,
    /// The targets that the request may go to.
    pub trust: TargetTrust,
    /// The data centres whose targets get no requests.
    pub evacuations: &'a Evacuations,
    /// What a target in another data centre costs the request.
    pub crossing: CrossingCost,
    /// A number that differs between requests, to break ties.
    pub seed: u64,
    /// How far targets may differ in cost and still be selected alike.
    pub spread: CostSpread,
}

/// The targets that a request may go to, by what this node knows of their leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetTrust {
    /// All known ones.
    #[default]
    Known,
    /// Those that had not begun to leave at a time, as their answers show: rows of targets have been missing for
    /// so long that any known target may be about to stop.
    StayingAt(MonoTime),
}

impl TargetTrust {
    /// Returns whether a request may go to a target.
    pub fn includes(self, notices: &TargetNotices, target: &TargetId) -> bool {
        match self {
            Self::Known => true,
            Self::StayingAt(at) => notices.is_staying_at(target, at),
        }
    }
}

/// How far targets may differ in cost and still be selected alike.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CostSpread {
    /// The target with the lowest cost is selected.
    #[default]
    None,
    /// A random part of the wait for a running time is added, so that nodes with the same outdated reports
    /// do not all select the same target. Where requests differ in rank, the queues that this saves are
    /// worth more than the best guess.
    Wide,
}

/// The largest cost that is added to spread requests: about that of the wait for a typical running time.
const WIDE_SPREAD_COST: f64 = 0.3;

impl SelectionRequest<'_> {
    /// Returns the random cost of the candidate at an index, the same for the same request.
    pub(crate) fn spread_cost(&self, index: usize) -> f64 {
        match self.spread {
            CostSpread::None => 0.0,
            CostSpread::Wide => {
                let drawn = StableHash(self.seed).with(StableHash(index as u64 + 1)).0 >> 11;
                WIDE_SPREAD_COST * drawn as f64 / (1_u64 << 53) as f64
            }
        }
    }
}

/// The load and the slots of a service's targets together.
///
/// The sums of outdated loads err far less than the least of them, which all nodes choose at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    load: f64,
    slots: f64,
}

impl PoolLoad {
    /// Adds a target.
    pub fn add(&mut self, load: f64, slots: u32) {
        self.load += load;
        self.slots += f64::from(slots);
    }

    /// Returns how many running times a request would wait if all requests were spread evenly.
    pub fn queueing(self) -> f64 {
        if self.slots > 0.0 {
            (self.load + 1.0 - self.slots).max(0.0) / self.slots
        } else {
            0.0
        }
    }
}

/// The target that was selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSelection {
    /// The target.
    pub target: TargetId,
    /// The time until the target's limit allows the request; zero for targets without one.
    pub permit_wait: Duration,
    /// The expected wait before the target runs the request: for the permit, then in its queue.
    pub expected_wait: Duration,
    /// The probability that the target is failing.
    pub failing_probability: f64,
    /// The estimated number of requests that run there.
    pub load: f64,
    /// The load of all targets that the request may go to.
    pub pool: PoolLoad,
    /// The number of the service's targets.
    pub candidates: usize,
    /// Whether the target was selected to learn its state, since it had no requests.
    pub is_trial: bool,
    /// Whether such a trial keeps the floor of the service, which loses requests.
    pub keeps_floor: bool,
}

impl TargetSelection {
    /// Returns the expected wait in the target's queue, without the wait for a permit, in running times of
    /// which the balancer took the typical one.
    pub fn queueing(&self, typical: Duration) -> f64 {
        let queue_wait = self.expected_wait.saturating_sub(self.permit_wait);
        queue_wait.as_secs_f64() / typical.as_secs_f64().max(1e-3)
    }
}

/// The reasons why no target can be selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionError {
    /// There is no target that the request was not sent to.
    NoTarget,
    /// All targets are in data centres that are evacuated.
    Evacuated,
    /// Any such target may have left, as far as this node knows.
    Untrusted,
    /// The limits of all such targets are used up. Holds the time until this node's share of one
    /// allows a request again; none if only other nodes may send to them.
    Limited(Option<Duration>),
    /// All such targets have asked this node for rest, or are limited. Holds the time until the first one
    /// may be asked again.
    Resting(Duration),
}

impl SelectionError {
    /// Returns the error if another target may have left.
    #[must_use]
    pub fn or_untrusted(self) -> Self {
        match self {
            Self::NoTarget => Self::Untrusted,
            other => other,
        }
    }

    /// Returns the error if another target asks for rest.
    #[must_use]
    pub fn or_resting(self, left: Duration) -> Self {
        Self::Resting(self.wait().map_or(left, |wait| wait.min(left)))
    }

    /// Returns the error if the limit of another target allows no request before `wait`, or none of this
    /// node.
    #[must_use]
    pub fn or_limited(self, wait: Option<Duration>) -> Self {
        let shortest = self.wait().into_iter().chain(wait).min();
        match (self, shortest) {
            (Self::Resting(_), Some(wait)) => Self::Resting(wait),
            (_, shortest) => Self::Limited(shortest),
        }
    }

    /// Returns the time until a target may be asked again, if that is known.
    pub fn wait(self) -> Option<Duration> {
        match self {
            Self::NoTarget | Self::Evacuated | Self::Untrusted => None,
            Self::Limited(wait) => wait,
            Self::Resting(wait) => Some(wait),
        }
    }
}
