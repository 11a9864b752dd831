//! Picking and ejection for one service on one node, by the policy that the service's settings name.
//!
//! This is the whole of what a gateway calls on its request path: pick, begin, finish; and beside
//! it: handle and tick. Both policies have the same shape, so that each figure can be taken for
//! both in one run.

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

/// What nodes tell each other about the targets of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthMessage {
    /// Evidence, for judges.
    Evidence(EvidenceMessage),
    /// Ejections.
    Ejection(EjectionMessage),
}

/// What the shell is to do for a [`ServiceHealth`].
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// Send the message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: HealthMessage,
    },
    /// Ask the escrow for units of ejectable capacity.
    ClaimUnits(u32),
    /// Give units back to the escrow.
    ReleaseUnits(u32),
    /// The verdict on a target changed.
    VerdictChanged {
        /// The target.
        target: TargetId,
        /// The verdict before.
        from: TargetVerdict,
        /// The verdict now.
        to: TargetVerdict,
    },
    /// This node ejected the target for the fleet.
    Ejected {
        /// The target.
        target: TargetId,
        /// What speaks against it.
        cause: SuspicionCause,
    },
    /// This node ended its ejection of the target.
    Lifted(TargetId),
}

/// What a target is picked for.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Whether the request may be a trial of an ejected target.
    pub idempotence: Idempotence,
    /// A fresh random number.
    pub seed: u64,
    /// The targets that were tried before.
    pub excluded: &'a [TargetId],
}

/// The target for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PickedTarget {
    /// The target.
    pub target: TargetId,
    /// Whether the request tries an ejected target.
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
    /// Makes the policy that the service's settings name, without targets, peers and units.
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

    /// Sets the live nodes that serve the service, this one included.
    pub fn set_peers(&mut self, peers: &[NodeId]) {
        if let Some(policy) = self.adaptive_mut() {
            policy.set_peers(peers);
        }
    }

    /// Takes over units of ejectable capacity from the escrow.
    pub fn add_units(&mut self, count: u32) {
        if let Some(policy) = self.adaptive_mut() {
            policy.add_units(count);
        }
    }

    /// Gives units back to the escrow.
    pub fn withdraw_units(&mut self, now: MonoTime, count: u32) -> Vec<HealthAction> {
        self.adaptive_mut()
            .map_or_else(Vec::new, |policy| policy.withdraw_units(now, count))
    }

    /// Picks a target, or returns `None` if none may get work.
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

    /// Notes that an attempt starts on a picked target.
    pub fn begin(&mut self, now: MonoTime, scope: AttemptScope, trial: bool) -> AttemptId {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => policy.begin(now, scope, trial),
            HealthPolicy::Baseline(_, pending) => pending.insert(now, scope),
        }
    }

    /// Notes how an attempt ended.
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

    /// Takes in a peer's message; read the clock after the message has arrived.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: HealthMessage,
    ) -> Vec<HealthAction> {
        self.adaptive_mut()
            .map_or_else(Vec::new, |policy| policy.handle(now, from, message))
    }

    /// Advances the policy; call it every 50 ms or so.
    pub fn tick(&mut self, now: MonoTime) -> Vec<HealthAction> {
        self.adaptive_mut()
            .map_or_else(Vec::new, |policy| policy.tick(now))
    }

    /// Returns whether a target may be picked, at the time of the call.
    pub fn standing(&self, now: MonoTime, target: &TargetId) -> TargetStanding {
        match &self.policy {
            HealthPolicy::Adaptive(policy) => policy.standing(now, target),
            HealthPolicy::Baseline(policy, _) if policy.is_ejected(now, target) => {
                TargetStanding::Ejected
            }
            HealthPolicy::Baseline(..) => TargetStanding::Serving,
        }
    }

    /// Takes in the load that a target reports, in requests.
    pub fn set_reported_load(&mut self, now: MonoTime, target: &TargetId, load: f32) {
        if let Some(policy) = self.adaptive_mut() {
            policy.picker_mut().set_reported_load(now, target, load);
        }
    }

    /// Disregards missing answers of a target for a while, since a request crashed it.
    pub fn exempt(&mut self, now: MonoTime, target: &TargetId, period: Duration) {
        if let Some(policy) = self.adaptive_mut() {
            policy.exempt(now, target, period);
        }
    }

    /// Explains the state of a target as this node sees it, if this node judges it.
    pub fn explain(&self, now: MonoTime, target: &TargetId) -> Option<TargetExplanation> {
        self.adaptive()
            .and_then(|policy| policy.explain(now, target))
    }

    /// Returns the parts of the adaptive policy, if the service is served by it.
    pub fn adaptive(&self) -> Option<&AdaptivePolicy> {
        match &self.policy {
            HealthPolicy::Adaptive(policy) => Some(policy),
            HealthPolicy::Baseline(..) => None,
        }
    }

    /// Returns the parts of the adaptive policy for changes, if the service is served by it.
    pub fn adaptive_mut(&mut self) -> Option<&mut AdaptivePolicy> {
        match &mut self.policy {
            HealthPolicy::Adaptive(policy) => Some(policy),
            HealthPolicy::Baseline(..) => None,
        }
    }
}
