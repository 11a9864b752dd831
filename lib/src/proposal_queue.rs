//! Queue of proposals to eject targets that wait for the delay of their rank or for a unit.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::TargetId;
use crate::time::MonoTime;
use crate::verdict::SuspicionCause;

/// The delay per rank by which an evaluator waits for those before it.
const RANK_DELAY_MS: u64 = 300;
/// The time after which a proposal is dropped unless it is repeated.
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
    /// Adds or repeats a proposal; it is due at once for the first evaluator and later for others.
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

    /// Drops proposals that were not repeated in time, and returns those that are due.
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
