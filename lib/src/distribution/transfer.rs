//! Transfers a whole configuration from a peer.

use super::pull::PullSource;
use super::{ConfigReplica, DistributionMessage, ReplicaAction};
use crate::config::ConfigDelta;
use crate::ids::{NodeId, Revision};
use crate::snapshot_transfer::{ConfigAssembly, SnapshotCursor};
use crate::time::MonoTime;

/// The transfer of a whole configuration from a peer that is in progress.
#[derive(Clone, Debug)]
pub(super) struct SnapshotPull {
    transfer: u64,
    generation: Option<u64>,
    cursor: Option<SnapshotCursor>,
    assembly: ConfigAssembly,
}

impl ConfigReplica {
    pub(super) fn start_transfer(&mut self, peer: NodeId) -> ReplicaAction {
        self.transfers += 1;
        let cursor = SnapshotCursor::START;
        self.snapshot = Some(SnapshotPull {
            transfer: self.transfers,
            generation: None,
            cursor: Some(cursor),
            assembly: ConfigAssembly::default(),
        });
        ReplicaAction::Send {
            to: peer,
            message: DistributionMessage::SnapshotRequest {
                transfer: self.transfers,
                cursor,
            },
        }
    }

    pub(super) fn handle_offer(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        offer: DistributionMessage,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let DistributionMessage::SnapshotOffer {
            transfer,
            cursor,
            generation,
            revision,
            changes,
            next,
        } = offer
        else {
            return;
        };
        self.record_peer_revision(from, revision);
        let Some(pull) = &mut self.snapshot else {
            return;
        };
        if pull.transfer != transfer || pull.cursor != Some(cursor) {
            return;
        }
        let same_generation = *pull.generation.get_or_insert(generation) == generation;
        let Some(revision) = revision.filter(|_| same_generation) else {
            self.drop_transfer();
            return;
        };
        pull.assembly.add_part(revision, &changes, next.is_none());
        pull.cursor = next;
        self.continue_transfer(now, from, actions);
    }

    /// Requests the next part or the deltas that make the parts consistent, or installs the result.
    fn continue_transfer(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let Some(pull) = self.snapshot.take() else {
            return;
        };
        self.pulls.give_up();
        if pull.assembly.is_consistent() {
            self.install(now, pull.assembly.into_config(), actions);
            self.pull(now, actions);
            return;
        }
        let message = match (pull.cursor, pull.assembly.missing_after()) {
            (Some(cursor), _) => DistributionMessage::SnapshotRequest {
                transfer: pull.transfer,
                cursor,
            },
            (None, Some(after)) => DistributionMessage::DeltaRequest { after },
            (None, None) => return,
        };
        self.snapshot = Some(pull);
        self.pulls.await_answer(now, PullSource::Peer(from.clone()));
        let to = from.clone();
        actions.push(ReplicaAction::Send { to, message });
    }

    /// Applies the deltas that a transfer's parts still need.
    pub(super) fn complete_transfer(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        after: Revision,
        deltas: &[ConfigDelta],
        actions: &mut Vec<ReplicaAction>,
    ) {
        let Some(mut pull) = self.snapshot.take() else {
            return;
        };
        if pull.assembly.missing_after() != Some(after) {
            self.snapshot = Some(pull);
            return;
        }
        let mut has_gap = deltas.is_empty();
        for delta in deltas {
            has_gap |= pull.assembly.apply(delta).is_err();
        }
        self.snapshot = Some(pull);
        // The peer no longer keeps all the deltas, so the transfer starts over.
        if has_gap {
            self.drop_transfer();
            return;
        }
        self.continue_transfer(now, from, actions);
    }
}
