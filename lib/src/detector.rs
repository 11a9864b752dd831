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
use crate::target_chart::TargetChart;
use crate::time::MonoTime;
use crate::verdict::{ReachCounts, SuspicionCause, TargetExplanation, TargetVerdict};

/// The time for which a service counts as bad after its targets were suspect alike.
const SERVICE_BAD_MS: u64 = 3_000;
/// How far scores may rise above the threshold, so that they also fall again soon.
const CEILING_FACTOR: f32 = 1.25;
/// The share of the threshold from which on a target counts as suspect.
const SUSPECT_SHARE: f32 = 0.25;
/// The share of suspect targets from which on the service is at fault, in percent.
const SERVICE_SHARE_PERCENT: usize = 40;
/// The share of the mean pace from which on a target answers as many requests as others.
const PACE_SHARE: f32 = 0.7;
/// How much longer late answers are watched while the target keeps pace: it then has a long queue
/// and works it off, while a slow target answers less.
const PACE_WATCH_FACTOR: u32 = 6;
/// The time after which the nodes that use a target decide, even if they are few.
const LONE_WATCH_MS: u64 = 1_500;
const OVERLOAD_SHARE: f32 = 0.2;
const MIN_OVERLOAD_SHEDS: f32 = 3.0;
/// The time for which a silent node's digests are remembered.
const PART_MEMORY_MS: u64 = 60_000;
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
struct EvidencePart {
    sequence: u64,
    heard_at: MonoTime,
}

#[derive(Debug, Default)]
struct JudgedTarget {
    chart: TargetChart,
    verdict: TargetVerdict,
    held: bool,
}

#[derive(Clone, Copy, Debug)]
struct ServiceView {
    bad: bool,
    mean_pace: f32,
}

/// A judge's view of the targets of one service.
#[derive(Debug)]
pub struct TargetDetector {
    mode: DetectionMode,
    threshold: f32,
    targets: IndexMap<TargetId, JudgedTarget>,
    parts: IndexMap<NodeId, EvidencePart>,
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
            parts: IndexMap::new(),
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
            let judged = self.targets.swap_remove(&target).unwrap_or_default();
            kept.insert(target, judged);
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
        let part = self.parts.entry(from.clone()).or_insert(EvidencePart {
            sequence: 0,
            heard_at: now,
        });
        if digest.sequence <= part.sequence {
            return;
        }
        part.sequence = digest.sequence;
        part.heard_at = now;
        for entry in &digest.entries {
            self.add_entry(now, from, entry);
        }
    }

    fn add_entry(&mut self, now: MonoTime, from: &NodeId, entry: &EvidenceEntry) {
        let ceiling = self.threshold * CEILING_FACTOR;
        if let Some(judged) = self.targets.get_mut(&entry.target)
            && !judged.held
        {
            judged.chart.add(now, from, entry, ceiling);
        }
    }

    /// Disregards evidence on a target while it is ejected.
    pub fn hold(&mut self, target: &TargetId) {
        if let Some(judged) = self.targets.get_mut(target) {
            judged.held = true;
        }
    }

    /// Starts to judge a target anew, after it was reinstated.
    pub fn release(&mut self, target: &TargetId) {
        if let Some(judged) = self.targets.get_mut(target)
            && judged.held
        {
            judged.held = false;
            judged.verdict = TargetVerdict::Healthy;
            judged.chart.reset();
        }
    }

    /// Judges all targets.
    pub fn tick(&mut self, now: MonoTime) -> Vec<DetectorAction> {
        self.clean_up(now);
        self.check_service(now);
        let service = self.service_view(now);
        let mut actions = Vec::new();
        for (target, judged) in &mut self.targets {
            if judged.held {
                continue;
            }
            let verdict = judge(now, self.mode, judged, service);
            if verdict != judged.verdict {
                actions.push(DetectorAction::VerdictChanged {
                    target: target.clone(),
                    from: judged.verdict,
                    to: verdict,
                });
                judged.verdict = verdict;
            }
            if verdict == TargetVerdict::BadTarget {
                actions.push(DetectorAction::Propose {
                    target: target.clone(),
                    cause: judged.chart.cause().unwrap_or(SuspicionCause::Failures),
                });
            }
        }
        actions
    }

    /// Returns the verdict on a target; targets without evidence are healthy.
    pub fn verdict(&self, target: &TargetId) -> TargetVerdict {
        self.targets
            .get(target)
            .map_or(TargetVerdict::Healthy, |judged| judged.verdict)
    }

    /// Explains the verdict on a target, or returns `None` if it is not judged here.
    pub fn explain(&self, now: MonoTime, target: &TargetId) -> Option<TargetExplanation> {
        let judged = self.targets.get(target)?;
        let tally = judged.chart.tally();
        Some(TargetExplanation {
            target: target.clone(),
            verdict: judged.verdict,
            cause: judged.chart.cause(),
            score: judged.chart.score(self.threshold),
            threshold: self.threshold,
            good: tally.good,
            failed: tally.failed,
            silent: tally.silent,
            rejected: tally.rejected,
            slow: tally.slow,
            shed: tally.shed,
            reach: judged.chart.reach(now),
            evidence_age_ms: judged
                .chart
                .heard_at()
                .map(|at| now.since(at).as_millis() as u64),
            held: judged.held,
        })
    }

    fn service_view(&self, now: MonoTime) -> ServiceView {
        let paces = self
            .targets
            .values()
            .filter(|judged| !judged.held)
            .map(|judged| judged.chart.pace(now));
        let (sum, count) = paces.fold((0.0, 0.0), |(sum, count), pace| (sum + pace, count + 1.0));
        ServiceView {
            bad: now < self.service_bad_until,
            mean_pace: sum / f32::max(count, 1.0),
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
            .filter(|judged| !judged.held)
            .map(|judged| judged.chart.score(self.threshold));
        let (mut suspects, mut alarmed) = (0, false);
        for score in scores {
            suspects += usize::from(score >= SUSPECT_SHARE * self.threshold);
            alarmed |= score >= self.threshold;
        }
        let many = suspects > 1 && suspects * 100 >= self.targets.len() * SERVICE_SHARE_PERCENT;
        if alarmed && many {
            self.service_bad_until = now + Duration::from_millis(SERVICE_BAD_MS);
        }
        if now < self.service_bad_until {
            let judged = self.targets.values_mut().filter(|judged| !judged.held);
            judged.for_each(|judged| judged.chart.clear_scores());
        }
    }

    fn clean_up(&mut self, now: MonoTime) {
        if now < self.next_cleanup_at {
            return;
        }
        self.next_cleanup_at = now + Duration::from_millis(CLEANUP_INTERVAL_MS);
        self.parts
            .retain(|_, part| now.since(part.heard_at).as_millis() < u128::from(PART_MEMORY_MS));
        for judged in self.targets.values_mut() {
            judged.chart.drop_silent_nodes(now);
        }
    }
}

fn judge(
    now: MonoTime,
    mode: DetectionMode,
    judged: &JudgedTarget,
    service: ServiceView,
) -> TargetVerdict {
    let chart = &judged.chart;
    let threshold = alarm_threshold(mode);
    if service.bad {
        return TargetVerdict::ServiceBad;
    }
    if chart.score(threshold) < threshold {
        return verdict_below_alarm(judged);
    }
    let cause = chart.cause();
    let delayed = matches!(
        cause,
        Some(SuspicionCause::Silence | SuspicionCause::Slowness)
    );
    if delayed && !chart.is_late(now) {
        return verdict_below_alarm(judged);
    }
    let keeps_pace = chart.pace(now) >= PACE_SHARE * service.mean_pace;
    let watch = delay_watch(mode) * if keeps_pace { PACE_WATCH_FACTOR } else { 1 };
    if delayed && chart.suspected_for(now).is_some_and(|time| time < watch) {
        return judged.verdict;
    }
    if delayed && is_path_at_fault(chart.reach(now)) {
        return TargetVerdict::BadPath;
    }
    if chart.accusing_nodes(now) < required_accusers(now, mode, chart) {
        return judged.verdict;
    }
    TargetVerdict::BadTarget
}

fn verdict_below_alarm(judged: &JudgedTarget) -> TargetVerdict {
    let tally = judged.chart.tally();
    let answered = tally.good + tally.rejected + tally.slow + tally.failed + tally.shed;
    if tally.shed >= MIN_OVERLOAD_SHEDS && tally.shed >= answered * OVERLOAD_SHARE {
        return TargetVerdict::Overloaded;
    }
    TargetVerdict::Healthy
}

/// A path is at fault if enough nodes get answers only, few get answers at times and hardly any got
/// a bad answer, which only the target can have given.
const fn is_path_at_fault(reach: ReachCounts) -> bool {
    reach.clean > 0
        && reach.clean * 4 >= reach.cut
        && reach.mixed * 2 <= reach.cut + reach.clean
        && reach.accusing <= 1 + reach.clean / 6
}

/// Returns the time for which missing and slow answers are watched before they count.
///
/// Slow answers come in clumps while a queue is long, and the first missing answers do not tell a
/// bad path from a bad target.
const fn delay_watch(mode: DetectionMode) -> Duration {
    Duration::from_millis(match mode {
        DetectionMode::Fast => 550,
        DetectionMode::Balanced => 800,
        DetectionMode::Careful => 1_000,
    })
}

/// Returns the nodes on whose word a target is bad.
///
/// Where few nodes use the target, the others have had their chance to speak for it after a while.
fn required_accusers(now: MonoTime, mode: DetectionMode, chart: &TargetChart) -> usize {
    let required = match mode {
        DetectionMode::Fast => 2,
        DetectionMode::Balanced | DetectionMode::Careful => 3,
    };
    let watched = chart
        .suspected_for(now)
        .is_some_and(|time| time >= Duration::from_millis(LONE_WATCH_MS));
    if watched {
        required.min(chart.reporting_nodes(now)).max(1)
    } else {
        required
    }
}
