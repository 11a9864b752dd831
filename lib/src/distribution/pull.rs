//! Requests missing deltas or snapshots from a peer that has them, or from the platform.

use std::time::Duration;

use super::{ConfigReplica, DistributionMessage, ReplicaAction};
use crate::config::ConfigDelta;
use crate::ids::{NodeId, Revision};
use crate::time::MonoTime;

/// One of this many attempts goes to the platform rather than to a peer.
const STORE_ATTEMPT_INTERVAL: u32 = 3;

/// The number of answers without the missing delta after which a whole configuration is requested.
const MAX_REFUSALS: u32 = 4;

/// The greatest number of doublings of the delay between attempts.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The source that a request went to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PullSource {
    Peer(NodeId),
    Store,
}

#[derive(Clone, Debug)]
struct PendingPull {
    source: PullSource,
    sent_at: MonoTime,
}

/// The request in flight, and when to send the next.
#[derive(Clone, Debug)]
pub(super) struct PullState {
    pending: Option<PendingPull>,
    attempts: u32,
    refusals: u32,
    next_attempt: MonoTime,
    /// Whether deltas are not enough and a whole configuration is needed.
    pub(super) needs_snapshot: bool,
}

impl PullState {
    pub(super) const fn new(now: MonoTime) -> Self {
        Self {
            pending: None,
            attempts: 0,
            refusals: 0,
            next_attempt: now,
            needs_snapshot: true,
        }
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// Allows the next attempt at once, since there is a new source.
    pub(super) fn retry_now(&mut self, now: MonoTime) {
        self.next_attempt = self.next_attempt.min(now);
    }

    /// Records an answer; returns whether it was expected.
    pub(super) fn finish(&mut self, source: &PullSource) -> bool {
        let is_expected = self.pending.as_ref().map(|pending| &pending.source) == Some(source);
        if is_expected {
            self.pending = None;
        }
        is_expected
    }

    /// Records that the revision in force has advanced.
    pub(super) fn record_progress(&mut self, now: MonoTime) {
        self.attempts = 0;
        self.refusals = 0;
        self.next_attempt = now;
        self.needs_snapshot = false;
    }

    /// Records that the source did not have the missing delta.
    ///
    /// The platform's answer may be outdated, and a peer may have installed a whole configuration
    /// recently, so that a single refusal is no proof that nobody has the delta.
    pub(super) fn record_refusal(&mut self) {
        self.refusals += 1;
        self.needs_snapshot |= self.refusals >= MAX_REFUSALS;
    }

    /// Records that a whole configuration was requested; if it does not arrive or is not newer,
    /// deltas are tried again.
    pub(super) fn record_snapshot_attempt(&mut self, has_config: bool) {
        self.refusals = 0;
        self.needs_snapshot = !has_config;
    }

    /// Starts to wait for an answer.
    pub(super) fn await_answer(&mut self, now: MonoTime, source: PullSource) {
        self.pending = Some(PendingPull {
            source,
            sent_at: now,
        });
    }

    /// Stops waiting for an answer; the next attempt selects a source again.
    pub(super) fn give_up(&mut self) {
        self.pending = None;
    }

    fn is_overdue(&self, now: MonoTime, timeout: Duration) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| now.since(pending.sent_at) >= timeout)
    }

    /// Counts an attempt and returns its number; failed attempts are spaced exponentially.
    fn start_attempt(&mut self, now: MonoTime, timeout: Duration) -> u32 {
        let doublings = self.attempts.checked_sub(STORE_ATTEMPT_INTERVAL);
        self.next_attempt = match doublings {
            None => now,
            Some(doublings) => now + timeout * (1 << doublings.min(MAX_BACKOFF_DOUBLINGS)),
        };
        self.attempts += 1;
        self.attempts
    }
}

impl ConfigReplica {
    /// Requests what is missing from the next peer or from the platform, if it is due.
    pub(super) fn pull(&mut self, now: MonoTime, actions: &mut Vec<ReplicaAction>) {
        let timeout = Duration::from_millis(self.settings.pull_timeout_ms);
        if self.pulls.is_overdue(now, timeout) {
            // The peer may have stopped, so a transfer from it starts over elsewhere.
            self.drop_transfer();
        }
        let is_early = now < self.pulls.next_attempt;
        if !self.pulls.is_idle() || is_early || !self.is_behind() || self.is_awaiting_peers(now) {
            return;
        }
        let attempt = self.pulls.start_attempt(now, timeout);
        let source = self.select_source(attempt);
        self.pull_from(now, source, actions);
    }

    /// Abandons the transfer or request in flight.
    pub(super) fn drop_transfer(&mut self) {
        if self.snapshot.take().is_some() {
            self.pulls.record_snapshot_attempt(self.revision.is_some());
        }
        self.pulls.give_up();
    }

    pub(super) fn is_behind(&self) -> bool {
        self.revision.is_none_or(|held| held < self.known_head)
    }

    /// Returns whether deltas are enough to catch up.
    pub(super) const fn wants_deltas(&self) -> bool {
        self.revision.is_some() && !self.pulls.needs_snapshot
    }

    /// Returns whether a starting node still waits for its peers to report their revisions.
    pub(super) fn is_awaiting_peers(&self, now: MonoTime) -> bool {
        let may_wait = now.since(self.started) < Duration::from_millis(self.settings.listen_ms);
        !self.ready && may_wait && self.peer_revisions.len() < self.peers.len()
    }

    fn select_source(&mut self, attempt: u32) -> PullSource {
        let held = self.revision;
        let newest = self.peer_revisions.values().max().copied().flatten();
        let ahead: Vec<NodeId> = self
            .peer_revisions
            .iter()
            // A starting node selects one of the peers with the newest revision.
            .filter(|(_, revision)| **revision > held && (held.is_some() || **revision == newest))
            .map(|(node, _)| node.clone())
            .collect();
        if ahead.is_empty() || attempt.is_multiple_of(STORE_ATTEMPT_INTERVAL) {
            return PullSource::Store;
        }
        let index = self.draw_index(ahead.len());
        PullSource::Peer(ahead[index].clone())
    }

    pub(super) fn pull_from(
        &mut self,
        now: MonoTime,
        source: PullSource,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let after = self.revision.filter(|_| self.wants_deltas());
        let action = match (&source, after) {
            (PullSource::Store, Some(after)) => ReplicaAction::ReadDeltas { after },
            (PullSource::Store, None) => ReplicaAction::ReadSnapshot {
                newer_than: self.revision,
            },
            (PullSource::Peer(peer), Some(after)) => ReplicaAction::Send {
                to: peer.clone(),
                message: DistributionMessage::DeltaRequest { after },
            },
            (PullSource::Peer(peer), None) => self.start_transfer(peer.clone()),
        };
        actions.push(action);
        self.pulls.await_answer(now, source);
    }

    pub(super) fn handle_deltas(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        after: Revision,
        deltas: &[ConfigDelta],
        revision: Option<Revision>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let was_expected = self.pulls.finish(&PullSource::Peer(from.clone()));
        if self.snapshot.is_some() {
            self.complete_transfer(now, from, after, deltas, actions);
        } else if was_expected && deltas.is_empty() && revision > Some(after) {
            self.pulls.record_refusal();
        }
        self.apply_deltas(now, deltas, actions);
        self.pull(now, actions);
    }
}
