//! Schedules probes of peers and keeps the pending probe rounds.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::ids::VmId;
use crate::peer_probe::ProbeRound;
use crate::time::MonoTime;

/// The number of probe intervals for which answers to a round still count.
const ROUND_RETENTION_INTERVALS: u32 = 3;

/// Schedules probes of all peers in turn, and out of turn of peers whose state is in doubt.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    rounds: IndexMap<u64, (VmId, ProbeRound)>,
    next_seq: u64,
    cursor: usize,
    prioritised: IndexSet<VmId>,
}

impl ProbeSchedule {
    /// Schedules a probe of a peer out of turn.
    pub(crate) fn prioritise(&mut self, vm: VmId) {
        self.prioritised.insert(vm);
    }

    /// Starts a round, and returns its number.
    pub(crate) fn start(&mut self, now: MonoTime, vm: VmId) -> u64 {
        self.next_seq += 1;
        self.rounds
            .insert(self.next_seq, (vm, ProbeRound::new(now)));
        self.next_seq
    }

    /// Returns the round of a peer with a sequence number, if it is still kept.
    pub(crate) fn round_mut(&mut self, vm: &VmId, seq: u64) -> Option<&mut ProbeRound> {
        let round = self.rounds.get_mut(&seq);
        round
            .filter(|(target, _)| target == vm)
            .map(|(_, round)| round)
    }

    /// Ends a peer's round on an answer; returns whether it was still kept.
    pub(crate) fn finish(&mut self, vm: &VmId, seq: u64) -> bool {
        let is_found = self.round_mut(vm, seq).is_some();
        if is_found {
            self.rounds.swap_remove(&seq);
        }
        is_found
    }

    /// Drops all rounds without a result.
    pub(crate) fn clear(&mut self) {
        self.rounds.clear();
    }

    /// Marks and returns the rounds without answer for which indirect probes are to be requested.
    pub(crate) fn mark_late(&mut self, now: MonoTime, timeout: Duration) -> Vec<(u64, VmId)> {
        let mut late = Vec::new();
        for (seq, (vm, round)) in &mut self.rounds {
            if !round.requested_indirect && now.since(round.started) >= timeout {
                round.requested_indirect = true;
                late.push((*seq, vm.clone()));
            }
        }
        late
    }

    /// Marks and returns the rounds that have failed, and drops old ones.
    pub(crate) fn conclude_failed(
        &mut self,
        now: MonoTime,
        interval: Duration,
    ) -> Vec<(VmId, ProbeRound)> {
        let mut failed = Vec::new();
        for (vm, round) in self.rounds.values_mut() {
            if !round.concluded && now.since(round.started) >= interval {
                round.concluded = true;
                failed.push((vm.clone(), round.clone()));
            }
        }
        let retention = interval * ROUND_RETENTION_INTERVALS;
        self.rounds
            .retain(|_, (_, round)| now.since(round.started) < retention);
        failed
    }

    /// Returns the peers to probe in this interval: prioritised ones, then the next in turn.
    pub(crate) fn select_targets<T>(
        &mut self,
        peers: &IndexMap<VmId, T>,
        out_of_turn: usize,
        in_turn: usize,
    ) -> IndexSet<VmId> {
        let mut targets = IndexSet::new();
        for _ in 0..out_of_turn {
            targets.extend(self.prioritised.shift_remove_index(0));
        }
        for _ in 0..in_turn.min(peers.len()) {
            self.cursor = (self.cursor + 1) % peers.len();
            let next = peers.get_index(self.cursor);
            targets.extend(next.map(|(vm, _)| vm.clone()));
        }
        targets
    }
}
