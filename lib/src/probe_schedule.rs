//! Which peers are probed when, and the rounds that are under way.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::ids::VmId;
use crate::peer_probe::ProbeRound;
use crate::time::MonoTime;

/// Answers to rounds that are over still count for so many intervals.
const ROUND_RETENTION_INTERVALS: u32 = 3;

/// Probes peers in turn, and those of which something was heard before it is their turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    rounds: IndexMap<u64, (VmId, ProbeRound)>,
    next_seq: u64,
    cursor: usize,
    prioritised: IndexSet<VmId>,
}

impl ProbeSchedule {
    /// Has a peer probed in the next interval.
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

    /// Returns a peer's round, if it is remembered.
    pub(crate) fn round_mut(&mut self, vm: &VmId, seq: u64) -> Option<&mut ProbeRound> {
        let round = self.rounds.get_mut(&seq);
        round
            .filter(|(target, _)| target == vm)
            .map(|(_, round)| round)
    }

    /// Ends a peer's round with an answer; returns whether it was remembered.
    pub(crate) fn finish(&mut self, vm: &VmId, seq: u64) -> bool {
        let is_found = self.round_mut(vm, seq).is_some();
        if is_found {
            self.rounds.swap_remove(&seq);
        }
        is_found
    }

    /// Drops all rounds without a verdict.
    pub(crate) fn clear(&mut self) {
        self.rounds.clear();
    }

    /// Returns the rounds for which helpers are to be asked now, each once.
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

    /// Returns the rounds that have failed by now, each once, and forgets old ones.
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

    /// Returns the peers to probe in this interval: some out of turn, then the next in turn.
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
