//! Avoidance of targets by one node on its own evidence.
//!
//! The path of one node to a target may be cut while the target is fine, and a node should not wait
//! for the fleet's judgement before it looks elsewhere. Avoidance is a preference of one node: it
//! needs no unit of ejectable capacity, since the guard avoids at most as many targets as may be
//! ejected. A target that no node serves is avoided by every node, so there are at most that many.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::TargetObservation;
use crate::ids::TargetId;
use crate::time::MonoTime;

const AVOIDANCE_SCORE: f32 = 5.0;
const UNANSWERED_STREAK: u32 = 2;
const INITIAL_AVOIDANCE_MS: u64 = 1_000;
const MAX_DOUBLINGS: u32 = 5;
/// The good answers in a row after which earlier avoidance is forgotten.
const RESET_STREAK: u32 = 8;

#[derive(Debug, Default)]
struct AvoidanceState {
    score: f32,
    unanswered_streak: u32,
    success_streak: u32,
    avoidances: u32,
    avoided_until: MonoTime,
}

/// One node's own view of its paths to the targets of one service.
#[derive(Debug, Default)]
pub struct AvoidanceList {
    paths: IndexMap<TargetId, AvoidanceState>,
}

impl AvoidanceList {
    /// Takes in an observation; `limit` is the number of targets that may be avoided at once.
    pub fn record_observation(
        &mut self,
        now: MonoTime,
        observation: &TargetObservation,
        limit: usize,
    ) {
        if !self.paths.contains_key(&observation.target) && !observation.is_bad() {
            return;
        }
        let path = self.paths.entry(observation.target.clone()).or_default();
        path.score = (path.score + observation.score).clamp(0.0, AVOIDANCE_SCORE);
        if observation.is_bad() {
            path.success_streak = 0;
            path.unanswered_streak += u32::from(observation.is_unanswered());
        } else {
            path.success_streak += 1;
            path.unanswered_streak = 0;
        }
        if path.success_streak >= RESET_STREAK && path.score == 0.0 {
            self.paths.swap_remove(&observation.target);
            return;
        }
        let suspect = path.score >= AVOIDANCE_SCORE || path.unanswered_streak >= UNANSWERED_STREAK;
        let relapsed = path.avoidances > 0 && path.avoided_until <= now && observation.is_bad();
        if (suspect || relapsed) && self.avoided_count(now) < limit {
            self.avoid(now, &observation.target);
        }
    }

    /// Returns whether this node prefers other targets.
    pub fn is_avoided(&self, now: MonoTime, target: &TargetId) -> bool {
        self.paths
            .get(target)
            .is_some_and(|path| now < path.avoided_until)
    }

    /// Returns the number of targets that this node avoids.
    pub fn avoided_count(&self, now: MonoTime) -> usize {
        self.paths
            .values()
            .filter(|path| now < path.avoided_until)
            .count()
    }

    /// Forgets targets that left the configuration.
    pub fn retain_targets(&mut self, is_kept: impl Fn(&TargetId) -> bool) {
        self.paths.retain(|target, _| is_kept(target));
    }

    fn avoid(&mut self, now: MonoTime, target: &TargetId) {
        let Some(path) = self.paths.get_mut(target) else {
            return;
        };
        if now < path.avoided_until {
            return;
        }
        let doublings = path.avoidances.min(MAX_DOUBLINGS);
        path.avoidances += 1;
        path.avoided_until = now + Duration::from_millis(INITIAL_AVOIDANCE_MS << doublings);
        path.score = 0.0;
        path.unanswered_streak = 0;
    }
}
