//! The judgement on the targets of one service, from the pooled evidence of several nodes.
//!
//! Every judge runs its own detector. An alarm leads to a proposal to eject the target; whether it
//! is ejected depends on the ejectable capacity that [`crate::ejector`] holds. See
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

/// The time for which a service counts as bad after its targets were suspect alike.
const SERVICE_FAULT_HOLD_MS: u64 = 3_000;
/// How far scores may rise above the threshold, so that they also fall again soon.
const SCORE_CEILING_RATIO: f32 = 1.25;
/// The share of the threshold from which on a target counts as suspect.
const SUSPECT_SCORE_RATIO: f32 = 0.25;
/// The share of suspect targets from which on the service is at fault, in percent.
const SERVICE_FAULT_PERCENT: usize = 40;
/// The share of the mean pace from which on a target answers as many requests as others.
const MIN_ANSWER_RATE_RATIO: f32 = 0.7;
/// How much longer late answers are watched while the target keeps pace: it then has a long queue
/// and works it off, while a slow target answers less.
const LONG_QUEUE_OBSERVATION_FACTOR: u32 = 6;
/// The time after which the nodes that use a target decide, even if they are few.
const FEW_NODES_DECISION_MS: u64 = 1_500;
const MIN_OVERLOAD_RATIO: f32 = 0.2;
const MIN_OVERLOAD_SHEDS: f32 = 3.0;
/// The time for which a silent node's digests are remembered.
const SOURCE_RETENTION_MS: u64 = 60_000;
const CLEANUP_INTERVAL_MS: u64 = 5_000;

/// What the shell is to do for a [`TargetDetector`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DetectorAction {
    /// The target should be ejected; proposed again at each tick while that holds.
    Propose {
        /// The target.
        target: TargetId,
        /// What speaks against it.
        cause: SuspicionCause,
    },
    /// The verdict on a target changed.
    VerdictChanged {
        /// The target.
        target: TargetId,
        /// The verdict before.
        from: TargetVerdict,
        /// The verdict now.
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

/// A judge's view of the targets of one service.
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
    /// Makes a detector without evidence.
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

    /// Sets how eagerly targets are judged; evidence is kept.
    pub fn set_mode(&mut self, mode: DetectionMode) {
        self.mode = mode;
        self.threshold = alarm_threshold(mode);
    }

    /// Sets the targets to judge, forgetting others.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetId>) {
        let mut kept = IndexMap::new();
        for target in targets {
            let tracked = self.targets.swap_remove(&target).unwrap_or_default();
            kept.insert(target, tracked);
        }
        self.targets = kept;
    }

    /// Takes in evidence of a peer.
    pub fn handle(&mut self, now: MonoTime, from: &NodeId, message: &EvidenceMessage) {
        match message {
            EvidenceMessage::Digest(digest) => self.pool(now, from, digest),
        }
    }

    /// Adds one node's digest to the pool unless it was added before.
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

    /// Disregards evidence on a target while it is ejected.
    pub fn suspend(&mut self, target: &TargetId) {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.suspended = true;
        }
    }

    /// Starts to judge a target anew, after it was reinstated.
    pub fn resume(&mut self, target: &TargetId) {
        if let Some(tracked) = self.targets.get_mut(target)
            && tracked.suspended
        {
            tracked.suspended = false;
            tracked.verdict = TargetVerdict::Healthy;
            tracked.statistics.reset();
        }
    }

    /// Judges all targets.
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

    /// Returns the verdict on a target; targets without evidence are healthy.
    pub fn verdict(&self, target: &TargetId) -> TargetVerdict {
        self.targets
            .get(target)
            .map_or(TargetVerdict::Healthy, |tracked| tracked.verdict)
    }

    /// Explains the verdict on a target, or returns `None` if it is not judged here.
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

    /// Starts all targets anew when so many are suspect that the fault is the service's.
    ///
    /// Their scores were taken against a yardstick that no longer holds; the populations follow the
    /// change while the service counts as bad.
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
        Some(SuspicionCause::MissingAnswers | SuspicionCause::Slowness)
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

/// A path is at fault if enough nodes get answers only, few get answers at times and hardly any got
/// a bad answer, which only the target can have given.
const fn is_path_at_fault(reach: ReachCounts) -> bool {
    reach.clean > 0
        && reach.clean * 4 >= reach.unreachable
        && reach.mixed * 2 <= reach.unreachable + reach.clean
        && reach.bad_answers <= 1 + reach.clean / 6
}

/// Returns the time for which missing and slow answers are watched before they count.
///
/// Slow answers come in clumps while a queue is long, and the first missing answers do not tell a
/// bad path from a bad target.
const fn observation_time(mode: DetectionMode) -> Duration {
    Duration::from_millis(match mode {
        DetectionMode::Fast => 550,
        DetectionMode::Balanced => 800,
        DetectionMode::Careful => 1_000,
    })
}

/// Returns the nodes on whose word a target is bad.
///
/// Where few nodes use the target, the others have had their chance to speak for it after a while.
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
