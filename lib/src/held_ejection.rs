//! The states of an ejection that this node holds: term, trial and end.

use std::time::Duration;

use crate::flap_history::{ejection_term, trial_length};
use crate::time::MonoTime;
use crate::verdict::SuspicionCause;

/// The time between two trial requests to one target.
const TRIAL_INTERVAL_MS: u64 = 100;
/// The time after which an ejection without enough trial requests ends.
const MAX_TRIAL_DURATION_MS: u64 = 20_000;

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum HeldState {
    Ejected {
        term_ends: MonoTime,
    },
    OnTrial {
        successes: u32,
        next_at: MonoTime,
        expires_at: MonoTime,
    },
    /// The target serves again; the unit stays bound while other nodes may still honour a lease.
    Lifted,
}

#[derive(Debug)]
pub(crate) struct HeldEjection {
    pub(crate) state: HeldState,
    pub(crate) cause: SuspicionCause,
    pub(crate) flaps: u32,
    pub(crate) leased_until: MonoTime,
}

/// The effect of the result of a trial request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TrialProgress {
    /// The trial continues, or there is none.
    Unchanged,
    /// The target passed its trial.
    Passed,
    /// The target failed and is ejected for a longer term.
    Failed,
}

impl HeldEjection {
    pub(crate) fn new(
        now: MonoTime,
        cause: SuspicionCause,
        flaps: u32,
        leased_until: MonoTime,
    ) -> Self {
        Self {
            state: HeldState::Ejected {
                term_ends: now + ejection_term(flaps),
            },
            cause,
            flaps,
            leased_until,
        }
    }

    /// Returns whether the target gets no requests but trial requests.
    pub(crate) fn is_active(&self) -> bool {
        self.state != HeldState::Lifted
    }

    /// Returns whether a trial request is due, and schedules the next one if so.
    pub(crate) fn start_trial_request(&mut self, now: MonoTime) -> bool {
        match &mut self.state {
            HeldState::OnTrial { next_at, .. } if now >= *next_at => {
                *next_at = now + Duration::from_millis(TRIAL_INTERVAL_MS);
                true
            }
            _ => false,
        }
    }

    /// Records the result of a trial request.
    pub(crate) fn end_trial_request(&mut self, now: MonoTime, succeeded: bool) -> TrialProgress {
        let HeldState::OnTrial {
            successes: streak, ..
        } = &mut self.state
        else {
            return TrialProgress::Unchanged;
        };
        if !succeeded {
            self.flaps += 1;
            self.state = HeldState::Ejected {
                term_ends: now + ejection_term(self.flaps),
            };
            return TrialProgress::Failed;
        }
        *streak += 1;
        if *streak >= trial_length(self.flaps) {
            TrialProgress::Passed
        } else {
            TrialProgress::Unchanged
        }
    }

    /// Starts the trial at the end of the term; returns whether the trial has expired.
    pub(crate) fn advance(&mut self, now: MonoTime) -> bool {
        match self.state {
            HeldState::Ejected { term_ends } if now >= term_ends => {
                self.state = HeldState::OnTrial {
                    successes: 0,
                    next_at: now,
                    expires_at: now + Duration::from_millis(MAX_TRIAL_DURATION_MS),
                };
                false
            }
            HeldState::OnTrial { expires_at, .. } => now >= expires_at,
            _ => false,
        }
    }
}
