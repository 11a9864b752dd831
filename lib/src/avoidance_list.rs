//! Lists the targets that one node avoids on its own evidence.
//!
//! A target may be unreachable from one node while it is healthy, and a node should not wait for the
//! fleet's verdict before it prefers other targets. Avoidance is a preference of one node. It needs no
//! unit of ejectable capacity, since the list holds at most as many targets as may be ejected. A target
//! gets no requests at all only if every node avoids it, so the same bound applies to such targets.

use std::time::Duration;

use indexmap::IndexMap;

use crate::evidence::TargetObservation;
use crate::ids::TargetId;
use crate::time::MonoTime;

/// The score from which on a target is avoided, in the unit of [`TargetObservation::score`].
const AVOIDANCE_THRESHOLD: f32 = 5.0;
/// The number of attempts without answer, and without a success in between, from which on a target is
/// avoided.
const UNANSWERED_TO_AVOID: u32 = 2;
/// How long a target is avoided at first, in milliseconds; the time doubles with each avoidance.
const INITIAL_AVOIDANCE_MS: u64 = 1_000;
const MAX_DOUBLINGS: u32 = 5;
/// The number of successive successes after which earlier avoidances no longer count.
const SUCCESSES_TO_RESET: u32 = 8;

#[derive(Debug, Default)]
struct AvoidanceState {
    score: f32,
    unanswered_streak: u32,
    success_streak: u32,
    avoidances: u32,
    avoided_until: MonoTime,
}

/// The targets of one service that one node avoids or has recently avoided.
#[derive(Debug, Default)]
pub struct AvoidanceList {
    states: IndexMap<TargetId, AvoidanceState>,
}

impl AvoidanceList {
    /// Records an observation; `limit` is the number of targets that may be avoided at once.
    pub fn record_observation(
        &mut self,
        now: MonoTime,
        observation: &TargetObservation,
        limit: usize,
    ) {
        if !self.states.contains_key(&observation.target) && !observation.is_bad() {
            return;
        }
        let state = self.states.entry(observation.target.clone()).or_default();
        state.score = (state.score + observation.score).clamp(0.0, AVOIDANCE_THRESHOLD);
        if observation.is_bad() {
            state.success_streak = 0;
            state.unanswered_streak += u32::from(observation.is_unanswered());
        } else {
            state.success_streak += 1;
            state.unanswered_streak = 0;
        }
        if state.success_streak >= SUCCESSES_TO_RESET && state.score == 0.0 {
            self.states.swap_remove(&observation.target);
            return;
        }
        let suspect =
            state.score >= AVOIDANCE_THRESHOLD || state.unanswered_streak >= UNANSWERED_TO_AVOID;
        let relapsed = state.avoidances > 0 && state.avoided_until <= now && observation.is_bad();
        if (suspect || relapsed) && self.avoided_count(now) < limit {
            self.avoid(now, &observation.target);
        }
    }

    /// Returns whether this node prefers other targets.
    pub fn is_avoided(&self, now: MonoTime, target: &TargetId) -> bool {
        self.states
            .get(target)
            .is_some_and(|state| now < state.avoided_until)
    }

    /// Returns the number of targets that this node avoids.
    pub fn avoided_count(&self, now: MonoTime) -> usize {
        self.states
            .values()
            .filter(|state| now < state.avoided_until)
            .count()
    }

    /// Drops targets that are no longer configured.
    pub fn retain_targets(&mut self, is_kept: impl Fn(&TargetId) -> bool) {
        self.states.retain(|target, _| is_kept(target));
    }

    fn avoid(&mut self, now: MonoTime, target: &TargetId) {
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        if now < state.avoided_until {
            return;
        }
        let doublings = state.avoidances.min(MAX_DOUBLINGS);
        state.avoidances += 1;
        state.avoided_until = now + Duration::from_millis(INITIAL_AVOIDANCE_MS << doublings);
        state.score = 0.0;
        state.unanswered_streak = 0;
    }
}
