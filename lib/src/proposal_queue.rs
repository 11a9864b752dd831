//! Proposals to eject targets that wait for their turn or for a unit.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::TargetId;
use crate::time::MonoTime;
use crate::verdict::SuspicionCause;

/// The time by which each further judge waits for those before it.
const RANK_DELAY_MS: u64 = 300;
/// The time after which a proposal that is not repeated is dropped.
const PROPOSAL_RETENTION_MS: u64 = 1_000;

#[derive(Debug)]
struct EjectionProposal {
    cause: SuspicionCause,
    due: MonoTime,
    repeated_at: MonoTime,
}

/// The targets that this node's detector proposes to eject.
#[derive(Debug, Default)]
pub(crate) struct ProposalQueue {
    proposals: IndexMap<TargetId, EjectionProposal>,
}

impl ProposalQueue {
    /// Adds or repeats a proposal; it is due at once for the first judge and later for others.
    pub(crate) fn propose(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        cause: SuspicionCause,
        rank: usize,
    ) {
        let delay = Duration::from_millis(RANK_DELAY_MS) * rank as u32;
        let proposal = self
            .proposals
            .entry(target.clone())
            .or_insert(EjectionProposal {
                cause,
                due: now + delay,
                repeated_at: now,
            });
        proposal.cause = cause;
        proposal.repeated_at = now;
    }

    /// Drops proposals that were not repeated, and returns those that are due.
    pub(crate) fn due(&mut self, now: MonoTime) -> Vec<(TargetId, SuspicionCause)> {
        let retention = Duration::from_millis(PROPOSAL_RETENTION_MS);
        self.proposals
            .retain(|_, proposal| now.since(proposal.repeated_at) <= retention);
        self.proposals
            .iter()
            .filter(|(_, proposal)| now >= proposal.due)
            .map(|(target, proposal)| (target.clone(), proposal.cause))
            .collect()
    }

    pub(crate) fn remove(&mut self, target: &TargetId) {
        self.proposals.swap_remove(target);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.proposals.is_empty()
    }
}
