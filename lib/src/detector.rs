//! Detects bad targets of one service from the pooled evidence of several nodes.
//!
//! Each evaluator runs its own detector. An alarm leads to a proposal to eject the target; whether
//! it is ejected depends on the ejectable capacity that [`crate::ejector`] holds. See
//! [docs/design/detection.md](../../docs/design/detection.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::config::DetectionMode;
use crate::evidence::{EvidenceDigest, EvidenceEntry, EvidenceMessage};
use crate::ids::{NodeId, TargetId};
use crate::sequential_test::alarm_threshold;
use crate::target_statistics::TargetStatistics;
use crate::time::MonoTime;
use crate::verdict::{ReachCounts, SuspicionCause, TargetExplanation, TargetVerdict};

/// The time for which the service counts as bad after many of its targets were suspected at once.
const SERVICE_FAULT_HOLD_MS: u64 = 3_000;
/// Bounds scores to this multiple of the alarm threshold, so that they fall soon after a fault.
const SCORE_CEILING_RATIO: f32 = 1.25;
/// The fraction of the alarm threshold at which a target counts as suspected.
const SUSPECT_SCORE_RATIO: f32 = 0.25;
/// The percentage of suspected targets at which the fault is put down to the service.
const SERVICE_FAULT_PERCENT: usize = 40;
/// The fraction of the mean answer rate at which a target is considered to keep up with others.
const MIN_ANSWER_RATE_RATIO: f32 = 0.7;
/// Multiplies the observation time for late answers while the target keeps up: it then works off a
/// long queue, whereas a slow target answers fewer requests than others.
const LONG_QUEUE_OBSERVATION_FACTOR: u32 = 6;
/// The suspicion time after which the nodes that use a target suffice, even if they are few.
const FEW_NODES_DECISION_MS: u64 = 1_500;
/// The fraction of shed requests among the answers at which a target counts as overloaded.
const MIN_OVERLOAD_RATIO: f32 = 0.2;
/// The decayed count of shed requests below which a target does not count as overloaded.
const MIN_OVERLOAD_SHEDS: f32 = 3.0;
/// The time for which the digest number of a node that sends nothing is kept.
const SOURCE_RETENTION_MS: u64 = 60_000;
const CLEANUP_INTERVAL_MS: u64 = 5_000;

/// An action that a [`TargetDetector`] requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DetectorAction {
    /// Propose to eject the target; repeated at each tick while the alarm lasts.
    Propose {
        /// The target.
        target: TargetId,
        /// Why it is suspected.
        cause: SuspicionCause,
    },
    /// The verdict on a target changed.
    VerdictChanged {
        /// The target.
        target: TargetId,
        /// The previous verdict.
        from: TargetVerdict,
        /// The new verdict.
        to: TargetVerdict,
    },
}

#[derive(Debug)]
struct DigestSource {
    sequence: u64,
    received_at: MonoTime,
}

#[derive(Debug, Default)]
struct TrackedTarget {
    statistics: TargetStatistics,
    verdict: TargetVerdict,
    suspended: bool,
}

#[derive(Clone, Copy, Debug)]
struct ServiceView {
    bad: bool,
    mean_answer_rate: f32,
}

/// Detects bad targets of one service on one evaluator.
#[derive(Debug)]
pub struct TargetDetector {
    mode: DetectionMode,
    threshold: f32,
    targets: IndexMap<TargetId, TrackedTarget>,
    sources: IndexMap<NodeId, DigestSource>,
    service_bad_until: MonoTime,
    next_cleanup_at: MonoTime,
}

impl TargetDetector {
    /// Creates a detector without evidence.
    pub fn new(mode: DetectionMode) -> Self {
        Self {
            mode,
            threshold: alarm_threshold(mode),
            targets: IndexMap::new(),
            sources: IndexMap::new(),
            service_bad_until: MonoTime::ZERO,
            next_cleanup_at: MonoTime::ZERO,
        }
    }

    /// Sets the detection mode; evidence is kept.
    pub fn set_mode(&mut self, mode: DetectionMode) {
        self.mode = mode;
        self.threshold = alarm_threshold(mode);
    }

    /// Sets the targets to evaluate and drops the state of all others.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetId>) {
        let mut kept = IndexMap::new();
        for target in targets {
            let tracked = self.targets.swap_remove(&target).unwrap_or_default();
            kept.insert(target, tracked);
        }
        self.targets = kept;
    }

    /// Handles an evidence message from a peer.
    pub fn handle(&mut self, now: MonoTime, from: &NodeId, message: &EvidenceMessage) {
        match message {
            EvidenceMessage::Digest(digest) => self.pool(now, from, digest),
        }
    }

    /// Adds a digest of one node to the pooled evidence, unless it was added before.
    pub fn pool(&mut self, now: MonoTime, from: &NodeId, digest: &EvidenceDigest) {
        let source = self.sources.entry(from.clone()).or_insert(DigestSource {
            sequence: 0,
            received_at: now,
        });
        if digest.sequence <= source.sequence {
            return;
        }
        source.sequence = digest.sequence;
        source.received_at = now;
        for entry in &digest.entries {
            self.add_entry(now, from, entry);
        }
    }

    fn add_entry(&mut self, now: MonoTime, from: &NodeId, entry: &EvidenceEntry) {
        let ceiling = self.threshold * SCORE_CEILING_RATIO;
        if let Some(tracked) = self.targets.get_mut(&entry.target)
            && !tracked.suspended
        {
            tracked.statistics.add(now, from, entry, ceiling);
        }
    }

    /// Ignores evidence on a target from now on, since it is ejected.
    pub fn suspend(&mut self, target: &TargetId) {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.suspended = true;
        }
    }

    /// Evaluates a reinstated target again, without its earlier evidence.
    pub fn resume(&mut self, target: &TargetId) {
        if let Some(tracked) = self.targets.get_mut(target)
            && tracked.suspended
        {
            tracked.suspended = false;
            tracked.verdict = TargetVerdict::Healthy;
            tracked.statistics.reset();
        }
    }

    /// Evaluates all targets.
    pub fn tick(&mut self, now: MonoTime) -> Vec<DetectorAction> {
        self.clean_up(now);
        self.check_service(now);
        let service = self.service_view(now);
        let mut actions = Vec::new();
        for (target, tracked) in &mut self.targets {
            if tracked.suspended {
                continue;
            }
            let verdict = evaluate(now, self.mode, tracked, service);
            if verdict != tracked.verdict {
                actions.push(DetectorAction::VerdictChanged {
                    target: target.clone(),
                    from: tracked.verdict,
                    to: verdict,
                });
                tracked.verdict = verdict;
            }
            if verdict == TargetVerdict::BadTarget {
                actions.push(DetectorAction::Propose {
                    target: target.clone(),
                    cause: tracked
                        .statistics
                        .cause()
                        .unwrap_or(SuspicionCause::Failures),
                });
            }
        }
        actions
    }

    /// Returns the verdict on a target; a target without evidence is healthy.
    pub fn verdict(&self, target: &TargetId) -> TargetVerdict {
        self.targets
            .get(target)
            .map_or(TargetVerdict::Healthy, |tracked| tracked.verdict)
    }

    /// Explains the verdict on a target, or returns `None` if this node does not evaluate it.
    pub fn explain(&self, now: MonoTime, target: &TargetId) -> Option<TargetExplanation> {
        let tracked = self.targets.get(target)?;
        let counts = tracked.statistics.counts();
        Some(TargetExplanation {
            target: target.clone(),
            verdict: tracked.verdict,
            cause: tracked.statistics.cause(),
            score: tracked.statistics.score(self.threshold),
            threshold: self.threshold,
            successes: counts.successes,
            failed: counts.failed,
            unanswered: counts.unanswered,
            rejected: counts.rejected,
            slow: counts.slow,
            shed: counts.shed,
            reach: tracked.statistics.reach(now),
            evidence_age_ms: tracked
                .statistics
                .received_at()
                .map(|at| now.since(at).as_millis() as u64),
            suspended: tracked.suspended,
        })
    }

    fn service_view(&self, now: MonoTime) -> ServiceView {
        let rates = self
            .targets
            .values()
            .filter(|tracked| !tracked.suspended)
            .map(|tracked| tracked.statistics.answer_rate(now));
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        ServiceView {
            bad: now < self.service_bad_until,
            mean_answer_rate: sum / f32::max(count, 1.0),
        }
    }

    /// Clears all scores if so many targets are suspected that the fault is the service's.
    ///
    /// The scores were computed against a baseline that no longer holds; the populations adapt
    /// while the service counts as bad.
    fn check_service(&mut self, now: MonoTime) {
        let scores = self
            .targets
            .values()
            .filter(|tracked| !tracked.suspended)
            .map(|tracked| tracked.statistics.score(self.threshold));
        let (mut suspects, mut alarmed) = (0, false);
        for score in scores {
            suspects += usize::from(score >= SUSPECT_SCORE_RATIO * self.threshold);
            alarmed |= score >= self.threshold;
        }
        let many = suspects > 1 && suspects * 100 >= self.targets.len() * SERVICE_FAULT_PERCENT;
        if alarmed && many {
            self.service_bad_until = now + Duration::from_millis(SERVICE_FAULT_HOLD_MS);
        }
        if now < self.service_bad_until {
            let tracked = self
                .targets
                .values_mut()
                .filter(|tracked| !tracked.suspended);
            tracked.for_each(|tracked| tracked.statistics.clear_scores());
        }
    }

    fn clean_up(&mut self, now: MonoTime) {
        if now < self.next_cleanup_at {
            return;
        }
        self.next_cleanup_at = now + Duration::from_millis(CLEANUP_INTERVAL_MS);
        self.sources.retain(|_, source| {
            now.since(source.received_at).as_millis() < u128::from(SOURCE_RETENTION_MS)
        });
        for tracked in self.targets.values_mut() {
            tracked.statistics.remove_inactive_nodes(now);
        }
    }
}

fn evaluate(
    now: MonoTime,
    mode: DetectionMode,
    tracked: &TrackedTarget,
    service: ServiceView,
) -> TargetVerdict {
    let statistics = &tracked.statistics;
    let threshold = alarm_threshold(mode);
    if service.bad {
        return TargetVerdict::ServiceBad;
    }
    if statistics.score(threshold) < threshold {
        return verdict_below_alarm(tracked);
    }
    let cause = statistics.cause();
    let delayed = matches!(
        cause,
        Some(SuspicionCause::Silence | SuspicionCause::Slowness)
    );
    if delayed && !statistics.is_late(now) {
        return verdict_below_alarm(tracked);
    }
    let keeps_up = statistics.answer_rate(now) >= MIN_ANSWER_RATE_RATIO * service.mean_answer_rate;
    let observation = observation_time(mode)
        * if keeps_up {
            LONG_QUEUE_OBSERVATION_FACTOR
        } else {
            1
        };
    if delayed
        && statistics
            .suspected_for(now)
            .is_some_and(|time| time < observation)
    {
        return tracked.verdict;
    }
    if delayed && is_path_at_fault(statistics.reach(now)) {
        return TargetVerdict::BadPath;
    }
    if statistics.confirming_nodes(now) < required_confirmations(now, mode, statistics) {
        return tracked.verdict;
    }
    TargetVerdict::BadTarget
}

fn verdict_below_alarm(tracked: &TrackedTarget) -> TargetVerdict {
    let counts = tracked.statistics.counts();
    let answered = counts.successes + counts.rejected + counts.slow + counts.failed + counts.shed;
    if counts.shed >= MIN_OVERLOAD_SHEDS && counts.shed >= answered * MIN_OVERLOAD_RATIO {
        return TargetVerdict::Overloaded;
    }
    TargetVerdict::Healthy
}

/// Returns whether late and missing answers are the fault of some nodes' path to the target.
///
/// They are if enough nodes have all attempts answered, few have only some answered and hardly any
/// got a bad answer, which only the target can have given.
const fn is_path_at_fault(reach: ReachCounts) -> bool {
    reach.clean > 0
        && reach.clean * 4 >= reach.unreachable
        && reach.mixed * 2 <= reach.unreachable + reach.clean
        && reach.bad_answers <= 1 + reach.clean / 6
}

/// Returns the time for which missing and slow answers are observed before they count.
///
/// Slow answers cluster while a queue is long, and the first missing answers don't distinguish a
/// bad path from a bad target.
const fn observation_time(mode: DetectionMode) -> Duration {
    Duration::from_millis(match mode {
        DetectionMode::Fast => 550,
        DetectionMode::Balanced => 800,
        DetectionMode::Careful => 1_000,
    })
}

/// Returns the number of nodes that must have seen a target fail before it counts as bad.
///
/// After [`FEW_NODES_DECISION_MS`] all nodes that report on the target suffice, if they are fewer.
fn required_confirmations(
    now: MonoTime,
    mode: DetectionMode,
    statistics: &TargetStatistics,
) -> usize {
    let required = match mode {
        DetectionMode::Fast => 2,
        DetectionMode::Balanced | DetectionMode::Careful => 3,
    };
    let is_observed = statistics
        .suspected_for(now)
        .is_some_and(|time| time >= Duration::from_millis(FEW_NODES_DECISION_MS));
    if is_observed {
        required.min(statistics.reporting_nodes(now)).max(1)
    } else {
        required
    }
}
