//! The CUSUM scores and recent counts of one target, as an evaluator keeps them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::EvidenceEntry;
use crate::ids::{NodeId, RouteId};
use crate::sequential_test::ScorePair;
use crate::time::MonoTime;
use crate::verdict::{ReachCounts, SuspicionCause};

/// The half-life of recent counts, in seconds.
const COUNT_HALF_LIFE_S: f32 = 3.0;
/// The half-life of the answer rate, in seconds.
const ANSWER_RATE_HALF_LIFE_S: f32 = 0.4;
/// The time for which a late answer shows that a target is late: two digest intervals.
const LATE_ANSWER_WINDOW_MS: u64 = 400;
/// The score at which a suspicion begins, in nats.
const ONSET_SCORE: f32 = 1.0;
/// The time after the onset in which answers may still be from before the fault.
const SETTLING_TIME_MS: u64 = 300;
/// The time for which an answer shows that a path works.
const REACH_WINDOW_MS: u64 = 1_500;
/// The time for which a missing answer counts when the node also gets answers.
const MIXED_REACH_WINDOW_MS: u64 = 3_000;
/// The time for which a node that sends no evidence still counts.
const NODE_RETENTION_MS: u64 = 5_000;
/// The score that one failed probe adds, in nats.
const PROBE_SCORE: f32 = 0.5;
/// The most that failed probes may add, as a fraction of the alarm threshold.
const MAX_PROBE_SCORE_RATIO: f32 = 0.25;
/// The maximum number of routes of a target that are scored separately.
const MAX_TRACKED_ROUTES: usize = 32;

/// Recent counts with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounts {
    /// The answers that were neither failures nor rejections nor slow.
    pub successes: f32,
    /// The failures that the target answered with.
    pub failed: f32,
    /// The attempts without an answer.
    pub unanswered: f32,
    /// The requests that the target rejected as the caller's fault.
    pub rejected: f32,
    /// The slow answers.
    pub slow: f32,
    /// The shed requests.
    pub shed: f32,
    /// The score of failed probes, in nats.
    pub probes: f32,
    decayed_at: MonoTime,
}

impl DecayingCounts {
    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.decayed_at).as_secs_f32();
        let factor = (-elapsed / COUNT_HALF_LIFE_S).exp2();
        for count in [
            &mut self.successes,
            &mut self.failed,
            &mut self.unanswered,
            &mut self.rejected,
            &mut self.slow,
            &mut self.shed,
            &mut self.probes,
        ] {
            *count *= factor;
        }
        self.decayed_at = now;
    }

    fn add(&mut self, now: MonoTime, entry: &EvidenceEntry) {
        self.decay(now);
        self.successes += entry.successes as f32;
        self.failed += entry.failed as f32;
        self.unanswered += entry.unanswered as f32;
        self.rejected += entry.rejected as f32;
        self.slow += entry.slow as f32;
        self.shed += entry.shed as f32;
        self.probes += entry.probes_failed as f32 * PROBE_SCORE;
    }
}

/// Counts answers with a half-life much shorter than that of [`DecayingCounts`].
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRate {
    count: f32,
    decayed_at: MonoTime,
}

impl AnswerRate {
    fn at(self, now: MonoTime) -> f32 {
        let elapsed = now.since(self.decayed_at).as_secs_f32();
        self.count * (-elapsed / ANSWER_RATE_HALF_LIFE_S).exp2()
    }

    fn add(&mut self, now: MonoTime, answers: u32) {
        self.count = self.at(now) + answers as f32;
        self.decayed_at = now;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct CusumScores {
    failure: ScorePair,
    rejection: ScorePair,
    slowness: f32,
}

impl CusumScores {
    fn add(&mut self, entry: &EvidenceEntry, ceiling: f32) {
        self.failure
            .accumulate(nats_from_millinats(entry.failure_millinats), ceiling);
        self.rejection
            .accumulate(nats_from_millinats(entry.rejection_millinats), ceiling);
        let slowness = entry.slowness_millinats as f32 / 1_000.0;
        self.slowness = (self.slowness + slowness).clamp(0.0, ceiling);
    }

    fn strongest(self) -> f32 {
        self.failure
            .strong
            .max(self.rejection.strong)
            .max(self.slowness)
    }

    fn highest(self) -> f32 {
        self.failure
            .highest()
            .max(self.rejection.highest())
            .max(self.slowness)
    }
}

fn nats_from_millinats([strong, weak]: [i32; 2]) -> ScorePair {
    ScorePair {
        strong: strong as f32 / 1_000.0,
        weak: weak as f32 / 1_000.0,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct NodeView {
    received_at: Option<MonoTime>,
    answered_at: Option<MonoTime>,
    unanswered_at: Option<MonoTime>,
    bad_outcome_at: Option<MonoTime>,
    bad_answer_at: Option<MonoTime>,
}

/// The pooled evidence on one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStatistics {
    overall: CusumScores,
    routes: IndexMap<RouteId, CusumScores>,
    nodes: IndexMap<NodeId, NodeView>,
    counts: DecayingCounts,
    answer_rate: AnswerRate,
    late_at: Option<MonoTime>,
    onset: Option<MonoTime>,
    received_at: Option<MonoTime>,
}

impl TargetStatistics {
    /// Adds the evidence of one node; scores stay below `ceiling`.
    pub fn add(&mut self, now: MonoTime, node: &NodeId, entry: &EvidenceEntry, ceiling: f32) {
        self.received_at = Some(now);
        self.counts.add(now, entry);
        self.answer_rate.add(now, answers_in(entry));
        if entry.slowness_millinats > 0 || entry.unanswered > 0 {
            self.late_at = Some(now);
        }
        self.overall.add(entry, ceiling);
        if self.routes.contains_key(&entry.route) || self.routes.len() < MAX_TRACKED_ROUTES {
            let scores = self.routes.entry(entry.route.clone()).or_default();
            scores.add(entry, ceiling);
        }
        self.record_node(now, node, entry);
        self.update_onset(now);
    }

    /// Returns the score to compare with the alarm threshold, in nats.
    ///
    /// The scores of single routes are reduced by the logarithm of their number, so that together
    /// they raise no more false alarms than the overall scores do.
    pub fn score(&self, threshold: f32) -> f32 {
        let discount = (self.routes.len().max(1) as f32).ln();
        let by_route = self
            .routes
            .values()
            .map(|scores| scores.highest() - discount)
            .fold(0.0, f32::max);
        let answers = self.overall.highest().max(by_route);
        if answers <= 0.0 {
            return 0.0;
        }
        answers + self.counts.probes.min(MAX_PROBE_SCORE_RATIO * threshold)
    }

    /// Returns the main cause of the suspicion, or `None` if there is none.
    pub fn cause(&self) -> Option<SuspicionCause> {
        if self.score(f32::MAX) <= 0.0 {
            return None;
        }
        if self.counts.unanswered > self.counts.failed + self.counts.rejected + self.counts.slow {
            return Some(SuspicionCause::Silence);
        }
        let failure = self.highest_of(|scores| scores.failure.highest());
        let rejection = self.highest_of(|scores| scores.rejection.highest());
        let slowness = self.highest_of(|scores| scores.slowness);
        Some(if slowness > failure.max(rejection) {
            SuspicionCause::Slowness
        } else if rejection > failure {
            SuspicionCause::Rejections
        } else {
            SuspicionCause::Failures
        })
    }

    fn highest_of(&self, score: impl Fn(&CusumScores) -> f32) -> f32 {
        self.routes
            .values()
            .map(&score)
            .fold(score(&self.overall), f32::max)
    }

    /// Returns how long the scores for the strong alternative have shown a suspicion.
    pub fn suspected_for(&self, now: MonoTime) -> Option<Duration> {
        self.onset.map(|onset| now.since(onset))
    }

    /// Returns whether late or missing answers were reported within `LATE_ANSWER_WINDOW_MS`.
    ///
    /// After a long queue the score is high although the target is healthy again. It then gets few
    /// requests, so that the score alone would take long to fall.
    pub fn is_late(&self, now: MonoTime) -> bool {
        is_within(now, self.late_at, LATE_ANSWER_WINDOW_MS)
    }

    /// Returns the decayed count of the latest answers, for comparison with other targets.
    pub fn answer_rate(&self, now: MonoTime) -> f32 {
        self.answer_rate.at(now)
    }

    /// Returns the recent counts as of the last evidence.
    pub const fn counts(&self) -> &DecayingCounts {
        &self.counts
    }

    /// Returns when evidence was last received.
    pub const fn received_at(&self) -> Option<MonoTime> {
        self.received_at
    }

    /// Returns the number of nodes that have recently seen a bad outcome on the target.
    pub fn confirming_nodes(&self, now: MonoTime) -> usize {
        self.nodes
            .values()
            .filter(|view| is_within(now, view.bad_outcome_at, NODE_RETENTION_MS))
            .count()
    }

    /// Returns the number of nodes that have sent evidence lately and after any onset.
    pub fn reporting_nodes(&self, now: MonoTime) -> usize {
        let recent = now - millis(NODE_RETENTION_MS);
        let since = self.onset.map_or(recent, |onset| onset.max(recent));
        self.nodes
            .values()
            .filter(|view| view.received_at.is_some_and(|at| at >= since))
            .count()
    }

    /// Counts the nodes by whether they got answers from the target since the suspicion began.
    pub fn reach(&self, now: MonoTime) -> ReachCounts {
        let onset = self.onset.unwrap_or(now - millis(NODE_RETENTION_MS));
        let settled = (onset + millis(SETTLING_TIME_MS)).max(now - millis(REACH_WINDOW_MS));
        let mut counts = ReachCounts::default();
        for view in self.nodes.values() {
            let unanswered = view.unanswered_at.filter(|at| *at >= onset);
            let answered = view.answered_at.filter(|at| *at >= settled);
            match (unanswered, answered) {
                (Some(_), None) => counts.unreachable += 1,
                (None, Some(_)) => counts.clean += 1,
                (Some(at), Some(_)) if is_within(now, Some(at), MIXED_REACH_WINDOW_MS) => {
                    counts.mixed += 1;
                }
                _ => {}
            }
            let has_bad_answer = view
                .bad_answer_at
                .is_some_and(|at| at >= onset.max(settled));
            counts.bad_answers += u32::from(has_bad_answer);
        }
        counts
    }

    /// Resets all scores to zero and keeps the recent counts.
    pub fn clear_scores(&mut self) {
        self.overall = CusumScores::default();
        self.routes.clear();
        self.onset = None;
    }

    /// Drops all evidence.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Removes nodes that have sent no evidence within `NODE_RETENTION_MS`.
    pub fn remove_inactive_nodes(&mut self, now: MonoTime) {
        self.nodes
            .retain(|_, view| is_within(now, view.received_at, NODE_RETENTION_MS));
    }

    fn record_node(&mut self, now: MonoTime, node: &NodeId, entry: &EvidenceEntry) {
        let view = self.nodes.entry(node.clone()).or_default();
        view.received_at = Some(now);
        if answers_in(entry) > 0 {
            view.answered_at = Some(now);
        }
        if entry.failed + entry.rejected + entry.slow > 0 {
            view.bad_answer_at = Some(now);
        }
        if entry.unanswered > 0 {
            view.unanswered_at = Some(now);
        }
        if entry.failed + entry.rejected + entry.slow + entry.unanswered > 0 {
            view.bad_outcome_at = Some(now);
        }
    }

    fn update_onset(&mut self, now: MonoTime) {
        let strong = self.highest_of(|scores| scores.strongest());
        if strong < ONSET_SCORE {
            self.onset = None;
        } else {
            self.onset.get_or_insert(now);
        }
    }
}

const fn answers_in(entry: &EvidenceEntry) -> u32 {
    entry.successes + entry.failed + entry.rejected + entry.slow
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn is_within(now: MonoTime, at: Option<MonoTime>, period_ms: u64) -> bool {
    at.is_some_and(|at| now.since(at) <= millis(period_ms))
}
