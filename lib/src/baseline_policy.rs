//! The baseline for comparison: round robin, and ejection after five consecutive errors.

use std::time::Duration;

use indexmap::IndexMap;

use crate::config::{Target, TargetState};
use crate::evidence::AttemptOutcome;
use crate::ids::TargetId;
use crate::time::MonoTime;

const CONSECUTIVE_ERRORS: u32 = 5;
const EJECTION_MS: u64 = 30_000;

#[derive(Clone, Debug, Default)]
struct BaselineTarget {
    leaving: bool,
    errors: u32,
    ejected_until: MonoTime,
}

/// Picks and ejects targets of one service on one node, independently of other nodes.
#[derive(Debug, Default)]
pub struct BaselinePolicy {
    targets: IndexMap<TargetId, BaselineTarget>,
    next: usize,
    floor: usize,
}

impl BaselinePolicy {
    /// Creates a policy that keeps at least `floor` targets serving.
    pub fn new(floor: u32) -> Self {
        Self {
            floor: floor as usize,
            ..Self::default()
        }
    }

    /// Sets the targets of the service.
    pub fn set_targets<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        let mut kept = IndexMap::new();
        for target in targets {
            let mut state = self.targets.swap_remove(&target.id).unwrap_or_default();
            state.leaving = target.state == TargetState::Leaving;
            kept.insert(target.id.clone(), state);
        }
        self.targets = kept;
    }

    /// Returns the next target that is not ejected, in turn.
    pub fn pick(&mut self, now: MonoTime, excluded: &[TargetId]) -> Option<TargetId> {
        for _ in 0..self.targets.len() {
            self.next = (self.next + 1) % self.targets.len();
            let (target, state) = self.targets.get_index(self.next)?;
            if !state.leaving && now >= state.ejected_until && !excluded.contains(target) {
                return Some(target.clone());
            }
        }
        None
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: MonoTime, target: &TargetId, outcome: AttemptOutcome) {
        let may_eject = self.targets.len() > self.floor + self.ejected_count(now);
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if !outcome.is_failure() {
            state.errors = 0;
            return;
        }
        state.errors += 1;
        if state.errors >= CONSECUTIVE_ERRORS && may_eject && now >= state.ejected_until {
            state.errors = 0;
            state.ejected_until = now + Duration::from_millis(EJECTION_MS);
        }
    }

    /// Returns whether the target is ejected on this node.
    pub fn is_ejected(&self, now: MonoTime, target: &TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|state| now < state.ejected_until)
    }

    /// Returns the number of targets that are ejected on this node.
    pub fn ejected_count(&self, now: MonoTime) -> usize {
        self.targets
            .values()
            .filter(|state| now < state.ejected_until)
            .count()
    }
}
