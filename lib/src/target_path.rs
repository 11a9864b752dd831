//! Notices that this node is cut off from all targets, or from those of a service.
//!
//! A node cannot tell a failing target from a broken path by one target. Failures at several targets of
//! a service with no answer from any of them put the path in doubt; connects to further targets then
//! decide. See [docs/design/cut-off-nodes.md](../../docs/design/cut-off-nodes.md).

use indexmap::{IndexMap, IndexSet};

use crate::ids::{ServiceId, TargetId};

/// The number of different targets that fail on the way, with no answer between, before the path is in
/// doubt.
const TARGETS_TO_DOUBT: usize = 3;
/// The number of successful tries in a row after which a path that was cut is sound again, so that one
/// that comes and goes does not bring callers back each time.
const TRIES_TO_RETURN: u32 = 3;

/// The state of the path from this node to the targets of a service.
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

/// Tracks the path from this node to the targets of a service.
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

    /// Puts a sound path in doubt.
    pub fn doubt(&mut self) {
        if self.state == PathState::Sound {
            self.state = PathState::Doubtful;
        }
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

/// The paths from this node to the targets of all services that it has sent requests to.
#[derive(Debug, Default)]
pub struct TargetPaths {
    paths: IndexMap<ServiceId, TargetPath>,
}

impl TargetPaths {
    /// Returns the path to the targets of a service.
    pub fn path_mut(&mut self, service: &ServiceId) -> &mut TargetPath {
        if !self.paths.contains_key(service) {
            self.paths.insert(service.clone(), TargetPath::default());
        }
        &mut self.paths[service]
    }

    /// Returns the state of the path to the targets of a service.
    pub fn state(&self, service: &ServiceId) -> PathState {
        self.paths
            .get(service)
            .map_or(PathState::Sound, TargetPath::state)
    }

    /// Puts all sound paths in doubt, since another one was found cut.
    pub fn doubt_all(&mut self) {
        for path in self.paths.values_mut() {
            path.doubt();
        }
    }

    /// Returns the services whose paths are not sound, with their states.
    pub fn unsound(&self) -> Vec<(ServiceId, PathState)> {
        self.paths
            .iter()
            .filter(|(_, path)| path.state() != PathState::Sound)
            .map(|(service, path)| (service.clone(), path.state()))
            .collect()
    }

    /// Returns whether the paths to all services are cut; false before the first request.
    pub fn are_all_cut(&self) -> bool {
        let mut paths = self.paths.values();
        !self.paths.is_empty() && paths.all(|path| path.state() == PathState::Cut)
    }
}
