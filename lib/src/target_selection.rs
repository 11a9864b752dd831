//! The selection of a target for a request: what is asked, and its outcome.

use std::time::Duration;

use crate::config::Idempotence;
use crate::crossing_cost::CrossingCost;
use crate::evacuation::Evacuations;
use crate::ids::TargetId;
use crate::target_limits::TargetLimits;
use crate::target_notices::TargetNotices;

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
    /// The data centres whose targets get no requests.
    pub evacuations: &'a Evacuations,
    /// What a target in another data centre costs the request.
    pub crossing: CrossingCost,
    /// A number that differs between requests, to break ties.
    pub seed: u64,
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
    /// The number of the service's targets.
    pub candidates: usize,
    /// Whether the target was selected to learn its state, since it had no requests.
    pub is_trial: bool,
    /// Whether such a trial keeps the floor of the service, which loses requests.
    pub keeps_floor: bool,
}

/// The reasons why no target can be selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionError {
    /// There is no target that the request was not sent to.
    NoTarget,
    /// All targets are in data centres that are evacuated.
    Evacuated,
    /// The limits of all such targets are used up. Holds the time until this node's share of one
    /// allows a request again; none if only other nodes may send to them.
    Limited(Option<Duration>),
    /// All such targets have asked this node for rest, or are limited. Holds the time until the first one
    /// may be asked again.
    Resting(Duration),
}

impl SelectionError {
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
            Self::NoTarget | Self::Evacuated => None,
            Self::Limited(wait) => wait,
            Self::Resting(wait) => Some(wait),
        }
    }
}
