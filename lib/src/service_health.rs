//! Picking and ejection for one service on one node, by the policy in the service's settings.
//!
//! A gateway calls `pick`, `begin` and `finish` on its request path, and `handle` and `tick`
//! outside of it. Both policies have the same interface, so that one run can measure both.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::adaptive_policy::AdaptivePolicy;
use crate::baseline_policy::BaselinePolicy;
use crate::config::{Idempotence, PolicyMode, Service, Target};
use crate::ejector::EjectionMessage;
use crate::evidence::{AttemptOutcome, AttemptScope, EvidenceMessage};
use crate::ids::{DataCentreId, NodeId, TargetId};
use crate::pending::{AttemptId, PendingTable};
use crate::target_picker::TargetStanding;
use crate::time::MonoTime;
use crate::verdict::{SuspicionCause, TargetExplanation, TargetVerdict};

/// A message between nodes about the targets of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthMessage {
    /// Evidence for an evaluator.
    Evidence(EvidenceMessage),
    /// Announcements, polls and grants of ejections.
    Ejection(EjectionMessage),
}

/// An action that a [`ServiceHealth`] requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// Send the message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: HealthMessage,
    },
    /// Request units of ejectable capacity from the escrow.
    ClaimUnits(u32),
    /// Return units to the escrow.
    ReleaseUnits(u32),
    /// The verdict on a target changed.
    VerdictChanged {
        /// The target.
        target: TargetId,
        /// The previous verdict.
        from: TargetVerdict,
        /// The new verdict.
        to: TargetVerdict,
    },
    /// This node ejected the target for the whole fleet.
    Ejected {
        /// The target.
        target: TargetId,
        /// Why it was ejected.
        cause: SuspicionCause,
    },
    /// This node ended its ejection of the target.
    Lifted(TargetId),
}

/// A request for which a target is picked.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Whether the request may be a trial of an ejected target.
    pub idempotence: Idempotence,
    /// A fresh random number.
    pub seed: u64,
    /// The targets that have been tried for this request.
    pub excluded: &'a [TargetId],
}

/// The target for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PickedTarget {
    /// The target.
    pub target: TargetId,
    /// Whether the request is a trial of an ejected target.
    pub trial: bool,
}

#[derive(Debug)]
enum HealthPolicy {
    Adaptive(Box<AdaptivePolicy>),
    Baseline(BaselinePolicy, PendingTable),
}

/// Picks and ejects the targets of one service on one node.
#[derive(Debug)]
pub struct ServiceHealth {
    policy: HealthPolicy,
}

impl ServiceHealth {
    /// Creates the policy in the service's settings, without targets, peers and units.
    pub fn new(node: NodeId, service: &Service, data_centre: DataCentreId) -> Self {
        let policy = match service.policy {
            PolicyMode::Adaptive => {
                HealthPolicy::Adaptive(Box::new(AdaptivePolicy::new(node, service, data_centre)))
            }
            PolicyMode::Baseline => {
                HealthPolicy::Baseline(BaselinePolicy::new(service.floor), PendingTable::default())
            }
        };
        Self { policy }
    }

    /// Sets the targets of the service.
    pub fn set_targets(&mut self, now: MonoTime, targets: &[&Target]) {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => policy.set_targets(now, targets),
            HealthPolicy::Baseline(policy, _) => policy.set_targets(targets.iter().copied()),
        }
    }

    /// Sets the live nodes that serve the service, including this one.
    pub fn set_peers(&mut self, peers: &[NodeId]) {
        if let Some(policy) = self.adaptive_mut() {
            policy.set_peers(peers);
        }
    }

    /// Adds units of ejectable capacity that the escrow granted.
    pub fn add_units(&mut self, count: u32) {
        if let Some(policy) = self.adaptive_mut() {
            policy.add_units(count);
        }
    }

    /// Returns units to the escrow, as soon as they are free.
    pub fn withdraw_units(&mut self, now: MonoTime, count: u32) -> Vec<HealthAction> {
        self.adaptive_mut()
            .map_or_else(Vec::new, |policy| policy.withdraw_units(now, count))
    }

    /// Picks a target, or returns `None` if no target may get requests.
    pub fn pick(&mut self, now: MonoTime, request: &PickRequest<'_>) -> Option<PickedTarget> {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => policy.pick(now, request),
            HealthPolicy::Baseline(policy, _) => {
                let target = policy.pick(now, request.excluded)?;
                Some(PickedTarget {
                    target,
                    trial: false,
                })
            }
        }
    }

    /// Records the start of an attempt on a picked target.
    pub fn begin(&mut self, now: MonoTime, scope: AttemptScope, trial: bool) -> AttemptId {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => policy.begin(now, scope, trial),
            HealthPolicy::Baseline(_, pending) => pending.insert(now, scope),
        }
    }

    /// Records the end of an attempt.
    pub fn finish(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        target: &TargetId,
        outcome: AttemptOutcome,
    ) -> Vec<HealthAction> {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => policy.finish(now, id, target, outcome),
            HealthPolicy::Baseline(policy, pending) => {
                pending.remove(id);
                policy.finish(now, target, outcome);
                Vec::new()
            }
        }
    }

    /// Handles a message from a peer; `now` must be read after the message has arrived.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: HealthMessage,
    ) -> Vec<HealthAction> {
        self.adaptive_mut()
            .map_or_else(Vec::new, |policy| policy.handle(now, from, message))
    }

    /// Advances the policy; to be called about every 50 ms.
    pub fn tick(&mut self, now: MonoTime) -> Vec<HealthAction> {
        self.adaptive_mut()
            .map_or_else(Vec::new, |policy| policy.tick(now))
    }

    /// Returns whether a target may be picked at `now`.
    pub fn standing(&self, now: MonoTime, target: &TargetId) -> TargetStanding {
        match &self.policy {
            HealthPolicy::Adaptive(policy) => policy.standing(now, target),
            HealthPolicy::Baseline(policy, _) if policy.is_ejected(now, target) => {
                TargetStanding::Ejected
            }
            HealthPolicy::Baseline(..) => TargetStanding::Serving,
        }
    }

    /// Records the load that a target reports, in requests.
    pub fn set_reported_load(&mut self, now: MonoTime, target: &TargetId, load: f32) {
        if let Some(policy) = self.adaptive_mut() {
            policy.picker_mut().set_reported_load(now, target, load);
        }
    }

    /// Ignores missing answers of a target for `period`, since a request crashed it.
    pub fn exempt(&mut self, now: MonoTime, target: &TargetId, period: Duration) {
        if let Some(policy) = self.adaptive_mut() {
            policy.exempt(now, target, period);
        }
    }

    /// Explains the verdict on a target, or returns `None` if this node does not evaluate it.
    pub fn explain(&self, now: MonoTime, target: &TargetId) -> Option<TargetExplanation> {
        self.adaptive()
            .and_then(|policy| policy.explain(now, target))
    }

    /// Returns the adaptive policy, if the service uses it.
    pub fn adaptive(&self) -> Option<&AdaptivePolicy> {
        match &self.policy {
            HealthPolicy::Adaptive(policy) => Some(policy),
            HealthPolicy::Baseline(..) => None,
        }
    }

    /// Returns the adaptive policy for changes, if the service uses it.
    pub fn adaptive_mut(&mut self) -> Option<&mut AdaptivePolicy> {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => Some(policy),
            HealthPolicy::Baseline(..) => None,
        }
    }
}
