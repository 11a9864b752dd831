//! Advances the revision in force.

use super::{ConfigReplica, ReplicaAction};
use crate::config::{ConfigDelta, FleetConfig};
use crate::ids::Revision;
use crate::time::MonoTime;

impl ConfigReplica {
    /// Applies the deltas that follow the revision in force; ignores those that are old, repeated
    /// or leave a gap.
    pub(super) fn apply_deltas(
        &mut self,
        now: MonoTime,
        deltas: &[ConfigDelta],
        actions: &mut Vec<ReplicaAction>,
    ) {
        let before = self.revision;
        for delta in deltas {
            if self.revision.map(Revision::next) == Some(delta.revision) {
                self.revision = Some(delta.revision);
                self.log.push(delta.clone());
                actions.push(ReplicaAction::Apply(delta.clone()));
            }
        }
        if self.revision > before {
            self.advance(now, actions);
        }
    }

    /// Installs a whole configuration if it is newer than the revision in force.
    pub(super) fn install(
        &mut self,
        now: MonoTime,
        config: FleetConfig,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if self.revision.is_some_and(|held| config.revision <= held) {
            return;
        }
        self.revision = Some(config.revision);
        self.generation += 1;
        self.log.clear();
        actions.push(ReplicaAction::Install(config));
        self.advance(now, actions);
    }

    /// Updates the state after the revision has advanced, and announces it to peers once the node
    /// has caught up.
    fn advance(&mut self, now: MonoTime, actions: &mut Vec<ReplicaAction>) {
        self.pulls.record_progress(now);
        self.snapshot = None;
        self.known_head = self.known_head.max(self.revision.unwrap_or_default());
        self.update_readiness(now, actions);
        if !self.is_behind() {
            self.send_stamps(self.settings.fanout, actions);
        }
    }

    /// Marks the node ready and reports the head as proven, once it has caught up.
    pub(super) fn update_readiness(&mut self, now: MonoTime, actions: &mut Vec<ReplicaAction>) {
        // Until the newest revision is known, an old snapshot may be all that the node has.
        let is_awaiting_peers = self.is_awaiting_peers(now);
        if self.is_head_known && !self.is_behind() && !is_awaiting_peers {
            self.ready = true;
        }
        let proven = self
            .unproven_head
            .take_if(|(head, _)| self.revision >= Some(*head));
        if let Some((revision, at)) = proven {
            actions.push(ReplicaAction::HeadProven { revision, at });
        }
    }
}
