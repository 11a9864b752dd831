//! Notices that this node is cut off from all targets.
//!
//! A node cannot tell a failing target from a broken path by one target. Failures at several targets
//! with no answer from any of them put the path in doubt; connects to further targets then decide. See
//! [docs/design/cut-off-nodes.md](../../docs/design/cut-off-nodes.md).

use indexmap::IndexSet;

use crate::ids::TargetId;

/// The number of different targets that fail on the way, with no answer between, before the path is in
/// doubt.
const TARGETS_TO_DOUBT: usize = 3;
/// The number of successful tries in a row after which a path that was cut is sound again, so that one
/// that comes and goes does not bring callers back each time.
const TRIES_TO_RETURN: u32 = 3;

/// The state of the path from this node to the targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PathState {
    /// Targets answer, or nothing is known.
    #[default]
    Sound,
    /// Attempts at several targets failed on the way; connects to further targets decide.
    Doubtful,
    /// No target can be reached.
    Cut,
}

/// Tracks the path from this node to all targets.
#[derive(Debug, Default)]
pub struct TargetPath {
    state: PathState,
    /// The targets that failed on the way since the last answer of any target.
    failed: IndexSet<TargetId>,
    /// The number of successful tries in a row since the path was cut.
    successful_tries: u32,
}

impl TargetPath {
    /// Returns the state.
    pub const fn state(&self) -> PathState {
        self.state
    }

    /// Returns whether failures on the way are evidence against targets.
    pub fn is_evidence(&self) -> bool {
        self.state == PathState::Sound
    }

    /// Records that a target answered. A path that was cut is sound again only after connects succeed,
    /// since answers may still arrive on connections from before the cut.
    pub fn record_answer(&mut self) {
        self.failed.clear();
        if self.state == PathState::Doubtful {
            self.state = PathState::Sound;
        }
    }

    /// Records that an attempt at a target failed on the way; returns whether the path is in doubt now
    /// and was not before.
    pub fn record_failure(&mut self, target: &TargetId) -> bool {
        if self.state != PathState::Sound {
            return false;
        }
        self.failed.insert(target.clone());
        if self.failed.len() < TARGETS_TO_DOUBT {
            return false;
        }
        self.state = PathState::Doubtful;
        true
    }

    /// Records whether any of the targets that were tried for the sake of the path accepted a
    /// connection; returns whether the state changed.
    pub fn record_try(&mut self, has_connected: bool) -> bool {
        let before = self.state;
        self.successful_tries = match (before, has_connected) {
            (PathState::Cut, true) => self.successful_tries + 1,
            _ => 0,
        };
        self.state = match (before, has_connected) {
            (PathState::Doubtful, false) => PathState::Cut,
            (PathState::Cut, true) if self.successful_tries < TRIES_TO_RETURN => PathState::Cut,
            (PathState::Doubtful | PathState::Cut, true) => PathState::Sound,
            (state, _) => state,
        };
        if self.state == PathState::Sound {
            self.failed.clear();
        }
        self.state != before
    }
}
