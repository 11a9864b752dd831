//! Exchanges the revisions in force with peers.

use super::{ConfigReplica, DistributionMessage, ReplicaAction};
use crate::distribution_message::HeadReading;
use crate::ids::{NodeId, Revision};
use crate::time::MonoTime;

/// Every this many rounds of gossip, the recipients are drawn from all data centres rather than from
/// the local one only.
const REMOTE_ROUND_INTERVAL: u64 = 4;

impl ConfigReplica {
    pub(super) fn handle_stamp(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        revision: Option<Revision>,
        reading: Option<HeadReading>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.record_peer_revision(from, revision);
        if let Some(reading) = reading.filter(|reading| reading.reader != self.node) {
            self.poller.record_remote_reading(now, reading);
        }
        if revision < self.revision {
            actions.push(self.stamp(from.clone()));
        }
        if self.revision.is_some() && revision > self.revision {
            self.pulls.retry_now(now);
            self.pull(now, actions);
        }
        self.update_readiness(now, actions);
    }

    pub(super) fn record_peer_revision(&mut self, from: &NodeId, revision: Option<Revision>) {
        if self.peers.contains_key(from) {
            self.peer_revisions.insert(from.clone(), revision);
        }
        if let Some(revision) = revision {
            self.record_head(revision);
        }
    }

    pub(super) fn record_head(&mut self, revision: Revision) {
        self.is_head_known = true;
        self.known_head = self.known_head.max(revision);
    }

    /// Sends a few peers the revision in force here.
    pub(super) fn gossip(&mut self, actions: &mut Vec<ReplicaAction>) {
        self.gossip_rounds += 1;
        // A node that is not ready contacts more peers, since it serves nothing until then.
        let count = if self.ready { 1 } else { self.settings.fanout };
        self.send_stamps(count, actions);
    }

    pub(super) fn send_stamps(&mut self, count: usize, actions: &mut Vec<ReplicaAction>) {
        let includes_remote =
            self.gossip_rounds.is_multiple_of(REMOTE_ROUND_INTERVAL) || !self.ready;
        let recipients: Vec<NodeId> = self
            .peers
            .iter()
            .filter(|(_, at)| includes_remote || **at == self.data_centre)
            .map(|(node, _)| node.clone())
            .collect();
        let mut selected: Vec<usize> = Vec::new();
        for _ in 0..count.min(recipients.len()) {
            let index = self.draw_index(recipients.len());
            if !selected.contains(&index) {
                selected.push(index);
                actions.push(self.stamp(recipients[index].clone()));
            }
        }
    }

    fn stamp(&self, to: NodeId) -> ReplicaAction {
        ReplicaAction::Send {
            to,
            message: DistributionMessage::HeadStamp {
                revision: self.revision,
                reading: self.poller.newest().cloned(),
            },
        }
    }
}
