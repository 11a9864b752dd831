//! The adaptive policy: evidence, detection, ejection and picking for one service on one node.
//!
//! The components can also be embedded one by one; this module connects them. A gateway holds one
//! policy for each service under one lock.

use std::time::Duration;

use indexmap::IndexMap;

use crate::avoidance_list::AvoidanceList;
use crate::config::{Idempotence, Service, Target, TargetState};
use crate::detector::{DetectorAction, TargetDetector};
use crate::ejector::{EjectionAction, TargetEjector};
use crate::evidence::{
    AttemptOutcome, AttemptScope, EvidenceAction, EvidenceLog, TargetObservation,
};
use crate::ids::{DataCentreId, NodeId, TargetId};
use crate::pending::AttemptId;
use crate::service_health::{HealthAction, HealthMessage, PickRequest, PickedTarget};
use crate::target_picker::{TargetPicker, TargetStanding};
use crate::time::MonoTime;
use crate::verdict::TargetExplanation;

/// Picks targets of one service by least load, and ejects them by pooled evidence within the units
/// that the escrow granted.
#[derive(Debug)]
pub struct AdaptivePolicy {
    node: NodeId,
    floor: usize,
    target_count: usize,
    log: EvidenceLog,
    avoidance: AvoidanceList,
    detector: TargetDetector,
    ejector: TargetEjector,
    picker: TargetPicker,
    trials: IndexMap<AttemptId, TargetId>,
}

impl AdaptivePolicy {
    /// Creates a policy without targets, peers and units.
    pub fn new(node: NodeId, service: &Service, data_centre: DataCentreId) -> Self {
        Self {
            floor: service.floor as usize,
            target_count: 0,
            log: EvidenceLog::new(node.clone(), service.id.clone()),
            avoidance: AvoidanceList::default(),
            detector: TargetDetector::new(service.detection),
            ejector: TargetEjector::new(node.clone()),
            picker: TargetPicker::new(data_centre),
            trials: IndexMap::new(),
            node,
        }
    }

    /// Applies changed settings of the service.
    pub fn set_service(&mut self, service: &Service) {
        self.floor = service.floor as usize;
        self.detector.set_mode(service.detection);
    }

    /// Sets the targets of the service.
    pub fn set_targets(&mut self, now: MonoTime, targets: &[&Target]) {
        let is_kept = |id: &TargetId| targets.iter().any(|target| target.id == *id);
        self.log.retain_targets(is_kept);
        self.avoidance.retain_targets(is_kept);
        let active: Vec<TargetId> = targets
            .iter()
            .filter(|target| target.state == TargetState::Active)
            .map(|target| target.id.clone())
            .collect();
        self.target_count = active.len();
        self.detector.set_targets(active);
        self.picker.set_targets(now, targets.iter().copied());
    }

    /// Sets the live nodes that serve the service, including this one.
    pub fn set_peers(&mut self, peers: &[NodeId]) {
        self.log.set_peers(peers.iter().cloned());
        self.ejector.set_peers(peers.iter().cloned());
    }

    /// Returns the ejector of the service.
    pub const fn ejector(&self) -> &TargetEjector {
        &self.ejector
    }

    /// Returns the picker, for reports of loads, drains and shed delays.
    pub const fn picker_mut(&mut self) -> &mut TargetPicker {
        &mut self.picker
    }

    /// Returns the evidence log, for reports of probes and exempt targets.
    pub const fn log_mut(&mut self) -> &mut EvidenceLog {
        &mut self.log
    }

    /// Returns the evaluators of the targets in the order of their rank; they can explain verdicts.
    pub fn evaluators(&self) -> &[NodeId] {
        self.log.evaluators()
    }

    /// Adds units of ejectable capacity that the escrow granted.
    pub fn add_units(&mut self, count: u32) {
        self.ejector.add_units(count);
    }

    /// Returns units to the escrow, as soon as they are free.
    pub fn withdraw_units(&mut self, now: MonoTime, count: u32) -> Vec<HealthAction> {
        let actions = self.ejector.withdraw_units(now, count);
        actions.into_iter().map(HealthAction::from).collect()
    }

    /// Picks a target, or returns `None` if no target may get requests.
    pub fn pick(&mut self, now: MonoTime, request: &PickRequest<'_>) -> Option<PickedTarget> {
        if request.idempotence == Idempotence::Idempotent
            && let Some(target) = self.ejector.next_trial(now)
        {
            return Some(PickedTarget {
                target,
                trial: true,
            });
        }
        let target = self
            .picker
            .pick(now, request.seed, request.excluded, |target| {
                self.standing(now, target)
            })?;
        Some(PickedTarget {
            target,
            trial: false,
        })
    }

    /// Returns whether a target may be picked at `now`.
    pub fn standing(&self, now: MonoTime, target: &TargetId) -> TargetStanding {
        if self.ejector.is_ejected(now, target) {
            TargetStanding::Ejected
        } else if self.avoidance.is_avoided(now, target) && self.may_avoid(now) {
            TargetStanding::Avoided
        } else {
            TargetStanding::Serving
        }
    }

    /// Returns whether the targets that are neither avoided nor ejected reach the floor; if not, no
    /// target counts as avoided.
    fn may_avoid(&self, now: MonoTime) -> bool {
        let out = self.avoidance.avoided_count(now) + self.ejector.ejected_count(now);
        self.target_count >= self.floor + out
    }

    /// Records the start of an attempt on a picked target.
    pub fn begin(&mut self, now: MonoTime, scope: AttemptScope, trial: bool) -> AttemptId {
        let target = scope.target.clone();
        self.picker.start(&target);
        let id = self.log.begin(now, scope);
        if trial {
            self.trials.insert(id, target);
        }
        id
    }

    /// Records the end of an attempt.
    pub fn finish(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        target: &TargetId,
        outcome: AttemptOutcome,
    ) -> Vec<HealthAction> {
        self.picker.finish(now, target, outcome);
        let trial = self.trials.swap_remove(&id).is_some();
        let Some(observation) = self.log.finish(now, id, outcome) else {
            return Vec::new();
        };
        self.observe_path(now, &observation);
        if !trial || outcome == AttemptOutcome::Rejected {
            return Vec::new();
        }
        self.end_trial(now, target, !observation.is_bad())
    }

    /// Handles a message from a peer.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: HealthMessage,
    ) -> Vec<HealthAction> {
        match message {
            HealthMessage::Evidence(message) => {
                self.detector.handle(now, from, &message);
                Vec::new()
            }
            HealthMessage::Ejection(message) => self
                .ejector
                .handle(now, from, message)
                .into_iter()
                .map(HealthAction::from)
                .collect(),
        }
    }

    /// Advances all components; to be called about every 50 ms.
    pub fn tick(&mut self, now: MonoTime) -> Vec<HealthAction> {
        let mut actions = self.check_overdue(now);
        self.send_evidence(now, &mut actions);
        if let Some(rank) = self.log.evaluator_rank() {
            self.evaluate_targets(now, rank, &mut actions);
        }
        actions.extend(self.ejector.tick(now).into_iter().map(HealthAction::from));
        self.update_picker(now);
        actions
    }

    /// Explains the verdict on a target, or returns `None` if this node does not evaluate it.
    pub fn explain(&self, now: MonoTime, target: &TargetId) -> Option<TargetExplanation> {
        self.log.evaluator_rank()?;
        self.detector.explain(now, target)
    }

    fn check_overdue(&mut self, now: MonoTime) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        for observation in self.log.check_overdue(now) {
            self.observe_path(now, &observation);
            if self
                .trials
                .values()
                .any(|target| *target == observation.target)
            {
                actions.extend(self.end_trial(now, &observation.target, false));
            }
        }
        actions
    }

    fn observe_path(&mut self, now: MonoTime, observation: &TargetObservation) {
        let ejectable = self.target_count.saturating_sub(self.floor);
        let limit = ejectable.saturating_sub(self.ejector.ejected_count(now));
        self.avoidance.record_observation(now, observation, limit);
    }

    fn end_trial(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        succeeded: bool,
    ) -> Vec<HealthAction> {
        let actions = self.ejector.trial_result(now, target, succeeded);
        actions.into_iter().map(HealthAction::from).collect()
    }

    fn send_evidence(&mut self, now: MonoTime, actions: &mut Vec<HealthAction>) {
        for action in self.log.tick(now) {
            match action {
                EvidenceAction::Send { to, message } => actions.push(HealthAction::Send {
                    to,
                    message: HealthMessage::Evidence(message),
                }),
                EvidenceAction::Pool(digest) => self.detector.pool(now, &self.node, &digest),
            }
        }
    }

    fn evaluate_targets(&mut self, now: MonoTime, rank: usize, actions: &mut Vec<HealthAction>) {
        for target in self.picker.targets() {
            if self.ejector.is_ejected(now, target) {
                self.detector.suspend(target);
            } else {
                self.detector.resume(target);
            }
        }
        for action in self.detector.tick(now) {
            match action {
                DetectorAction::Propose { target, cause } => {
                    self.ejector.propose(now, &target, cause, rank);
                }
                DetectorAction::VerdictChanged { target, from, to } => {
                    actions.push(HealthAction::VerdictChanged { target, from, to });
                }
            }
        }
    }

    fn update_picker(&mut self, now: MonoTime) {
        let ejector = &self.ejector;
        self.picker
            .set_ejected_by(now, |target| ejector.is_ejected(now, target));
    }

    /// Ignores missing answers of a target for `period`, since a request crashed it.
    pub fn exempt(&mut self, now: MonoTime, target: &TargetId, period: Duration) {
        self.log.exempt(now, target, period);
    }
}

impl From<EjectionAction> for HealthAction {
    fn from(action: EjectionAction) -> Self {
        match action {
            EjectionAction::Send { to, message } => Self::Send {
                to,
                message: HealthMessage::Ejection(message),
            },
            EjectionAction::ClaimUnits(count) => Self::ClaimUnits(count),
            EjectionAction::ReleaseUnits(count) => Self::ReleaseUnits(count),
            EjectionAction::Ejected { target, cause } => Self::Ejected { target, cause },
            EjectionAction::Lifted(target) => Self::Lifted(target),
        }
    }
}
