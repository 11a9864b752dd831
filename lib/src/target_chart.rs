//! The charts and recent counts of one target, as a judge keeps them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::EvidenceEntry;
use crate::ids::{NodeId, RouteId};
use crate::sequential_test::ScorePair;
use crate::time::MonoTime;
use crate::verdict::{ReachCounts, SuspicionCause};

/// The half-life of recent counts.
const TALLY_HALF_LIFE_S: f32 = 3.0;
/// The half-life of the pace of answers.
const PACE_HALF_LIFE_S: f32 = 0.4;
/// The time for which a late answer shows that a target is late: two digests of a node.
const LATE_MEMORY_MS: u64 = 400;
/// The score from which on a target is on its way to an alarm, in nats.
const ONSET_SCORE: f32 = 1.0;
/// The time after the onset in which answers may still be from before it.
const SETTLING_MS: u64 = 300;
/// The time for which an answer shows that a path works.
const REACH_MEMORY_MS: u64 = 1_500;
/// The time for which a missing answer among others is counted.
const MIXED_MEMORY_MS: u64 = 3_000;
/// The time for which a node that sends nothing is still counted.
const NODE_MEMORY_MS: u64 = 5_000;
/// The score that one failed probe adds, in nats.
const PROBE_SCORE: f32 = 0.5;
/// The most that probes may add, as a share of the alarm threshold.
const MAX_PROBE_SHARE: f32 = 0.25;
const MAX_CHARTED_ROUTES: usize = 32;

/// Recent counts that fade with a half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct FadingTally {
    /// The answers that were neither failures nor slow.
    pub good: f32,
    /// The failures that the target answered with.
    pub failed: f32,
    /// The attempts without an answer.
    pub silent: f32,
    /// The requests that the target blamed on the caller.
    pub rejected: f32,
    /// The slow answers.
    pub slow: f32,
    /// The shed requests.
    pub shed: f32,
    /// The score of failed probes, in nats.
    pub probes: f32,
    faded_at: MonoTime,
}

impl FadingTally {
    fn fade(&mut self, now: MonoTime) {
        let elapsed = now.since(self.faded_at).as_secs_f32();
        let factor = (-elapsed / TALLY_HALF_LIFE_S).exp2();
        for count in [
            &mut self.good,
            &mut self.failed,
            &mut self.silent,
            &mut self.rejected,
            &mut self.slow,
            &mut self.shed,
            &mut self.probes,
        ] {
            *count *= factor;
        }
        self.faded_at = now;
    }

    fn add(&mut self, now: MonoTime, entry: &EvidenceEntry) {
        self.fade(now);
        self.good += entry.good as f32;
        self.failed += entry.failed as f32;
        self.silent += entry.silent as f32;
        self.rejected += entry.rejected as f32;
        self.slow += entry.slow as f32;
        self.shed += entry.shed as f32;
        self.probes += entry.probes_failed as f32 * PROBE_SCORE;
    }
}

/// How many answers arrive, over a time much shorter than that of the tally.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerPace {
    count: f32,
    faded_at: MonoTime,
}

impl AnswerPace {
    fn at(self, now: MonoTime) -> f32 {
        let elapsed = now.since(self.faded_at).as_secs_f32();
        self.count * (-elapsed / PACE_HALF_LIFE_S).exp2()
    }

    fn add(&mut self, now: MonoTime, answers: u32) {
        self.count = self.at(now) + answers as f32;
        self.faded_at = now;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ChartPair {
    failure: ScorePair,
    rejection: ScorePair,
    slowness: f32,
}

impl ChartPair {
    fn add(&mut self, entry: &EvidenceEntry, ceiling: f32) {
        self.failure
            .accumulate(scores_of(entry.failure_millinats), ceiling);
        self.rejection
            .accumulate(scores_of(entry.rejection_millinats), ceiling);
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

fn scores_of([strong, weak]: [i32; 2]) -> ScorePair {
    ScorePair {
        strong: strong as f32 / 1_000.0,
        weak: weak as f32 / 1_000.0,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct NodeView {
    heard_at: Option<MonoTime>,
    answered_at: Option<MonoTime>,
    silent_at: Option<MonoTime>,
    bad_at: Option<MonoTime>,
    bad_answer_at: Option<MonoTime>,
}

/// Everything that a judge knows about one target.
#[derive(Clone, Debug, Default)]
pub struct TargetChart {
    overall: ChartPair,
    routes: IndexMap<RouteId, ChartPair>,
    nodes: IndexMap<NodeId, NodeView>,
    tally: FadingTally,
    pace: AnswerPace,
    late_at: Option<MonoTime>,
    onset: Option<MonoTime>,
    heard_at: Option<MonoTime>,
}

impl TargetChart {
    /// Adds the evidence of one node; scores stay below `ceiling`.
    pub fn add(&mut self, now: MonoTime, node: &NodeId, entry: &EvidenceEntry, ceiling: f32) {
        self.heard_at = Some(now);
        self.tally.add(now, entry);
        self.pace.add(now, answers_in(entry));
        if entry.slowness_millinats > 0 || entry.silent > 0 {
            self.late_at = Some(now);
        }
        self.overall.add(entry, ceiling);
        if self.routes.contains_key(&entry.route) || self.routes.len() < MAX_CHARTED_ROUTES {
            let chart = self.routes.entry(entry.route.clone()).or_default();
            chart.add(entry, ceiling);
        }
        self.note_node(now, node, entry);
        self.note_onset(now);
    }

    /// Returns the score to compare with the alarm threshold, in nats.
    ///
    /// Charts of single routes give a discount for their number, so that together they raise no
    /// more false alarms than the overall chart does.
    pub fn score(&self, threshold: f32) -> f32 {
        let discount = (self.routes.len().max(1) as f32).ln();
        let by_route = self
            .routes
            .values()
            .map(|chart| chart.highest() - discount)
            .fold(0.0, f32::max);
        let answers = self.overall.highest().max(by_route);
        if answers <= 0.0 {
            return 0.0;
        }
        answers + self.tally.probes.min(MAX_PROBE_SHARE * threshold)
    }

    /// Returns what speaks most against the target, or `None` if nothing does.
    pub fn cause(&self) -> Option<SuspicionCause> {
        if self.score(f32::MAX) <= 0.0 {
            return None;
        }
        if self.tally.silent > self.tally.failed + self.tally.rejected + self.tally.slow {
            return Some(SuspicionCause::Silence);
        }
        let failure = self.highest_of(|chart| chart.failure.highest());
        let rejection = self.highest_of(|chart| chart.rejection.highest());
        let slowness = self.highest_of(|chart| chart.slowness);
        Some(if slowness > failure.max(rejection) {
            SuspicionCause::Slowness
        } else if rejection > failure {
            SuspicionCause::Rejections
        } else {
            SuspicionCause::Failures
        })
    }

    fn highest_of(&self, score: impl Fn(&ChartPair) -> f32) -> f32 {
        self.routes
            .values()
            .map(&score)
            .fold(score(&self.overall), f32::max)
    }

    /// Returns how long the strong charts have spoken against the target.
    pub fn suspected_for(&self, now: MonoTime) -> Option<Duration> {
        self.onset.map(|onset| now.since(onset))
    }

    /// Returns whether late answers have been reported in the last moments.
    ///
    /// After a long queue the score is high and the target is fine; it then gets few requests, so
    /// that the score alone would take long to fall.
    pub fn is_late(&self, now: MonoTime) -> bool {
        is_within(now, self.late_at, LATE_MEMORY_MS)
    }

    /// Returns the answers of the last moments, for comparison with other targets.
    pub fn pace(&self, now: MonoTime) -> f32 {
        self.pace.at(now)
    }

    /// Returns the recent counts as of the last evidence.
    pub const fn tally(&self) -> &FadingTally {
        &self.tally
    }

    /// Returns when evidence was last heard.
    pub const fn heard_at(&self) -> Option<MonoTime> {
        self.heard_at
    }

    /// Returns the nodes that have recently seen the target serve badly.
    pub fn accusing_nodes(&self, now: MonoTime) -> usize {
        self.nodes
            .values()
            .filter(|view| is_within(now, view.bad_at, NODE_MEMORY_MS))
            .count()
    }

    /// Returns the nodes that have sent evidence since the suspicion began, or recently without one.
    pub fn reporting_nodes(&self, now: MonoTime) -> usize {
        let recent = now - millis(NODE_MEMORY_MS);
        let since = self.onset.map_or(recent, |onset| onset.max(recent));
        self.nodes
            .values()
            .filter(|view| view.heard_at.is_some_and(|at| at >= since))
            .count()
    }

    /// Returns how the nodes fare with the target since the suspicion began.
    pub fn reach(&self, now: MonoTime) -> ReachCounts {
        let onset = self.onset.unwrap_or(now - millis(NODE_MEMORY_MS));
        let settled = (onset + millis(SETTLING_MS)).max(now - millis(REACH_MEMORY_MS));
        let mut counts = ReachCounts::default();
        for view in self.nodes.values() {
            let silent = view.silent_at.filter(|at| *at >= onset);
            let answered = view.answered_at.filter(|at| *at >= settled);
            match (silent, answered) {
                (Some(_), None) => counts.cut += 1,
                (None, Some(_)) => counts.clean += 1,
                (Some(at), Some(_)) if is_within(now, Some(at), MIXED_MEMORY_MS) => {
                    counts.mixed += 1;
                }
                _ => {}
            }
            let accuses = view
                .bad_answer_at
                .is_some_and(|at| at >= onset.max(settled));
            counts.accusing += u32::from(accuses);
        }
        counts
    }

    /// Takes all scores back to zero and keeps the recent counts.
    pub fn clear_scores(&mut self) {
        self.overall = ChartPair::default();
        self.routes.clear();
        self.onset = None;
    }

    /// Forgets all evidence, so that the target starts anew.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Drops nodes that have sent nothing for a while.
    pub fn drop_silent_nodes(&mut self, now: MonoTime) {
        self.nodes
            .retain(|_, view| is_within(now, view.heard_at, NODE_MEMORY_MS));
    }

    fn note_node(&mut self, now: MonoTime, node: &NodeId, entry: &EvidenceEntry) {
        let view = self.nodes.entry(node.clone()).or_default();
        view.heard_at = Some(now);
        if answers_in(entry) > 0 {
            view.answered_at = Some(now);
        }
        if entry.failed + entry.rejected + entry.slow > 0 {
            view.bad_answer_at = Some(now);
        }
        if entry.silent > 0 {
            view.silent_at = Some(now);
        }
        if entry.failed + entry.rejected + entry.slow + entry.silent > 0 {
            view.bad_at = Some(now);
        }
    }

    fn note_onset(&mut self, now: MonoTime) {
        let strong = self.highest_of(|chart| chart.strongest());
        if strong < ONSET_SCORE {
            self.onset = None;
        } else {
            self.onset.get_or_insert(now);
        }
    }
}

const fn answers_in(entry: &EvidenceEntry) -> u32 {
    entry.good + entry.failed + entry.rejected + entry.slow
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn is_within(now: MonoTime, at: Option<MonoTime>, period_ms: u64) -> bool {
    at.is_some_and(|at| now.since(at) <= millis(period_ms))
}
