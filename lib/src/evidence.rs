//! Evidence on targets that one node collects and sends to the service's evaluators.
//!
//! Each node scores the outcomes of its own requests against its own populations: the failure rates
//! of the customer and the route, and the latencies of the route. A customer whose own requests
//! fail thus raises its own baseline and no suspicion against the targets that it happens to reach.
//! The scores are summed per target and route and sent in small digests to a few evaluators, the
//! nodes that pool the evidence of the service. See
//! [docs/design/detection.md](../../docs/design/detection.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::evidence_digest::{CountClass, EntryDraft};
pub use crate::evidence_digest::{EvidenceDigest, EvidenceEntry, EvidenceMessage};
use crate::ids::{CustomerId, NodeId, RouteId, ServiceId, TargetId};
use crate::mixer::hash_bytes;
use crate::pending::{AttemptId, PendingAttempt, PendingTable};
use crate::service_baseline::ServiceBaseline;
use crate::time::MonoTime;

/// The time between two digests of a node.
pub const DIGEST_INTERVAL_MS: u64 = 200;
/// The maximum number of entries in one digest; others wait for the next.
pub const MAX_DIGEST_ENTRIES: usize = 24;
/// The number of nodes that pool and evaluate the evidence of one service.
pub const EVALUATOR_COUNT: usize = 3;

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The target answered and executed the request.
    #[serde(rename = "good")]
    Success,
    /// The target rejected the request as faulty, as with the HTTP statuses from 400 to 499.
    Rejected,
    /// The target answered with an error.
    Failed,
    /// The target refused to run the request for lack of capacity.
    Shed,
    /// The target accepted the request and did not answer in time.
    TimedOut,
    /// No connection to the target could be made.
    ConnectFailed,
    /// The connection was lost before the answer was complete.
    Broken,
    /// The attempt was cancelled for a reason that is unrelated to the target.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the outcome is a failure of the target or of the path to it.
    pub const fn is_failure(self) -> bool {
        matches!(
            self,
            Self::Failed | Self::TimedOut | Self::ConnectFailed | Self::Broken
        )
    }

    /// Returns whether no answer arrived, so that the path may be at fault.
    pub const fn is_unanswered(self) -> bool {
        matches!(self, Self::TimedOut | Self::ConnectFailed | Self::Broken)
    }
}

/// The target, route and customer of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptScope {
    /// The target.
    pub target: TargetId,
    /// The route of the request.
    pub route: RouteId,
    /// The customer of the request; open routes use one name for all callers.
    pub customer: CustomerId,
}

/// One scored outcome of an attempt on a target, for decisions on this node.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetObservation {
    /// The target.
    pub target: TargetId,
    /// The outcome, or `None` for an attempt that is late and still pending.
    pub outcome: Option<AttemptOutcome>,
    /// Whether the answer was slow compared with its population.
    pub slow: bool,
    /// The score against the target, in nats.
    pub score: f32,
}

impl TargetObservation {
    /// Returns whether the observation is a failure or a slow answer.
    pub fn is_bad(&self) -> bool {
        self.slow || self.outcome.is_some_and(AttemptOutcome::is_failure)
    }

    /// Returns whether no answer arrived in time.
    pub fn is_unanswered(&self) -> bool {
        self.outcome.is_none_or(AttemptOutcome::is_unanswered)
    }
}

/// An action that an [`EvidenceLog`] requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum EvidenceAction {
    /// Send the message to an evaluator.
    Send {
        /// The evaluator.
        to: NodeId,
        /// The message.
        message: EvidenceMessage,
    },
    /// Pass the digest to this node's own detector, since this node is an evaluator.
    Pool(EvidenceDigest),
}

/// Returns the evaluators of a service in the order of their rank.
///
/// Nodes that know the same peers select the same evaluators, so that no election is needed.
pub fn select_evaluators(
    service: &ServiceId,
    peers: impl IntoIterator<Item = NodeId>,
) -> Vec<NodeId> {
    let seed = hash_bytes(service.as_bytes(), 0);
    let mut ranked: Vec<(u64, NodeId)> = peers
        .into_iter()
        .map(|node| {
            (
                hash_bytes(node.vm.as_bytes(), seed ^ node.incarnation.0),
                node,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(EVALUATOR_COUNT);
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Whether the latency of an answer is still to be tested.
#[derive(Clone, Copy, Debug)]
enum AnswerTiming {
    /// The latency was not tested yet.
    Untested(Duration),
    /// The attempt counted as late while it was pending.
    KnownLate,
}

/// The evidence of one node on the targets of one service.
#[derive(Debug)]
pub struct EvidenceLog {
    node: NodeId,
    service: ServiceId,
    evaluators: Vec<NodeId>,
    sequence: u64,
    next_digest_at: MonoTime,
    drafts: IndexMap<(TargetId, RouteId), EntryDraft>,
    baseline: ServiceBaseline,
    exempted: IndexMap<TargetId, MonoTime>,
    pending: PendingTable,
}

impl EvidenceLog {
    /// Creates an empty log of `node` for `service`, with the node itself as the only evaluator.
    pub fn new(node: NodeId, service: ServiceId) -> Self {
        Self {
            evaluators: vec![node.clone()],
            node,
            service,
            sequence: 0,
            next_digest_at: MonoTime::ZERO,
            drafts: IndexMap::new(),
            baseline: ServiceBaseline::default(),
            exempted: IndexMap::new(),
            pending: PendingTable::default(),
        }
    }

    /// Sets the live nodes that serve the service, including this one, and selects the evaluators.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = NodeId>) {
        self.evaluators = select_evaluators(&self.service, peers);
    }

    /// Returns this node's rank among the evaluators, or `None` if it is not an evaluator.
    pub fn evaluator_rank(&self) -> Option<usize> {
        self.evaluators
            .iter()
            .position(|evaluator| *evaluator == self.node)
    }

    /// Returns the evaluators of the service in the order of their rank.
    pub fn evaluators(&self) -> &[NodeId] {
        &self.evaluators
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, now: MonoTime, scope: AttemptScope) -> AttemptId {
        self.pending.insert(now, scope)
    }

    /// Records the end of an attempt.
    ///
    /// Returns `None` if the attempt is not pending or its outcome is no evidence.
    pub fn finish(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<TargetObservation> {
        let attempt = self.pending.remove(id)?;
        let latency = now.since(attempt.started);
        let timing = match attempt.overdue_count {
            0 => AnswerTiming::Untested(latency),
            _ => AnswerTiming::KnownLate,
        };
        self.score_outcome(now, &attempt.scope, outcome, timing)
    }

    /// Records a completed attempt; `latency` is the time from its start to its end.
    ///
    /// Returns `None` if the outcome is no evidence for or against the target.
    pub fn record(
        &mut self,
        now: MonoTime,
        scope: &AttemptScope,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> Option<TargetObservation> {
        self.score_outcome(now, scope, outcome, AnswerTiming::Untested(latency))
    }

    /// Records a health probe; passed ones are ignored, since a bad target may pass them.
    pub fn record_probe(&mut self, target: &TargetId, route: &RouteId, passed: bool) {
        if !passed {
            self.draft(target, route).count(CountClass::ProbeFailed);
        }
    }

    /// Ignores missing answers of `target` for `period`, since a request is known to crash it.
    pub fn exempt(&mut self, now: MonoTime, target: &TargetId, period: Duration) {
        self.exempted.retain(|_, until| *until > now);
        self.exempted.insert(target.clone(), now + period);
    }

    /// Drops evidence on targets that left the configuration.
    pub fn retain_targets(&mut self, is_kept: impl Fn(&TargetId) -> bool) {
        self.drafts.retain(|(target, _), _| is_kept(target));
        self.exempted.retain(|target, _| is_kept(target));
    }

    /// Scores pending attempts that have become late and returns the observations.
    pub fn check_overdue(&mut self, now: MonoTime) -> Vec<TargetObservation> {
        let baseline = &self.baseline;
        let overdue = self
            .pending
            .mark_overdue(now, |route| baseline.slow_threshold(route));
        overdue
            .into_iter()
            .filter_map(|attempt| self.score_overdue(now, &attempt))
            .collect()
    }

    /// Sends the collected evidence to the evaluators if a digest is due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<EvidenceAction> {
        if now < self.next_digest_at {
            return Vec::new();
        }
        self.next_digest_at = self.next_digest_time(now);
        if self.drafts.is_empty() {
            return Vec::new();
        }
        let digest = self.build_digest();
        self.evaluators
            .iter()
            .map(|evaluator| {
                if *evaluator == self.node {
                    return EvidenceAction::Pool(digest.clone());
                }
                EvidenceAction::Send {
                    to: evaluator.clone(),
                    message: EvidenceMessage::Digest(digest.clone()),
                }
            })
            .collect()
    }

    /// Returns the time of the next digest, with a phase per node that spreads the digests evenly.
    fn next_digest_time(&self, now: MonoTime) -> MonoTime {
        let interval = DIGEST_INTERVAL_MS * 1_000;
        let phase = hash_bytes(self.node.vm.as_bytes(), 0) % interval;
        let started = (now.as_micros() + interval - phase) / interval;
        MonoTime::from_micros(started * interval + phase)
    }

    fn build_digest(&mut self) -> EvidenceDigest {
        self.sequence += 1;
        // The oldest drafts are sent first; selecting the worst ones would bias the pooled test.
        let count = self.drafts.len().min(MAX_DIGEST_ENTRIES);
        let entries = self
            .drafts
            .drain(..count)
            .map(|((target, route), draft)| draft.into_entry(target, route))
            .collect();
        EvidenceDigest {
            sequence: self.sequence,
            entries,
        }
    }

    fn draft(&mut self, target: &TargetId, route: &RouteId) -> &mut EntryDraft {
        self.drafts
            .entry((target.clone(), route.clone()))
            .or_default()
    }

    fn score_outcome(
        &mut self,
        now: MonoTime,
        scope: &AttemptScope,
        outcome: AttemptOutcome,
        timing: AnswerTiming,
    ) -> Option<TargetObservation> {
        match outcome {
            AttemptOutcome::Cancelled => return None,
            AttemptOutcome::Shed => {
                self.draft(&scope.target, &scope.route)
                    .count(CountClass::Shed);
                return None;
            }
            _ if outcome.is_unanswered() && self.is_exempt(now, &scope.target) => return None,
            _ => {}
        }
        let (failure, rejection) = self.baseline.test_failure(scope, outcome);
        let (slow, slowness) = match timing {
            AnswerTiming::KnownLate => (true, 0.0),
            AnswerTiming::Untested(latency) if outcome == AttemptOutcome::Success => {
                self.baseline.test_latency(&scope.route, latency)
            }
            AnswerTiming::Untested(_) => (false, 0.0),
        };
        let draft = self.draft(&scope.target, &scope.route);
        draft.failure.add(failure);
        draft.rejection.add(rejection);
        draft.slowness += slowness;
        let class = match outcome {
            _ if outcome.is_unanswered() => CountClass::Unanswered,
            AttemptOutcome::Failed => CountClass::Failed,
            AttemptOutcome::Rejected => CountClass::Rejected,
            _ if slow => CountClass::Slow,
            _ => CountClass::Success,
        };
        draft.count(class);
        Some(TargetObservation {
            target: scope.target.clone(),
            outcome: Some(outcome),
            slow,
            score: failure.strong + rejection.strong + slowness,
        })
    }

    fn is_exempt(&self, now: MonoTime, target: &TargetId) -> bool {
        self.exempted.get(target).is_some_and(|until| now < *until)
    }

    fn score_overdue(
        &mut self,
        now: MonoTime,
        attempt: &PendingAttempt,
    ) -> Option<TargetObservation> {
        let scope = &attempt.scope;
        if self.is_exempt(now, &scope.target) {
            return None;
        }
        let is_first = attempt.overdue_count == 1;
        let score = self.baseline.test_overdue(&scope.route, is_first);
        let draft = self.draft(&scope.target, &scope.route);
        draft.slowness += score;
        if is_first {
            draft.count(CountClass::Unanswered);
        }
        Some(TargetObservation {
            target: scope.target.clone(),
            outcome: None,
            slow: true,
            score,
        })
    }
}
