//! Membership: the registered nodes of the fleet and the state of each as this node sees it.
//!
//! Nodes are known from their registration in the table; the platform's VM list, which lags, shows
//! whether a VM is leaving or was removed. Each node decides by its own direct and indirect probes
//! which peers are alive. Another node's suspicion only makes it probe sooner, so that one node
//! behind a broken path cannot make the fleet drop a healthy peer. Heartbeats write nothing to the
//! store. See [docs/design/membership.md](../../docs/design/membership.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::directory::DirectoryMember;
use crate::gossip_queue::GossipQueue;
use crate::ids::{NodeId, VmId};
use crate::member_entry::{MemberEntry, directory_member};
pub use crate::membership_types::{
    MembershipAction, MembershipMessage, MembershipSettings, MembershipUpdate, PartitionDirection,
    PeerState, ServingStatus,
};
use crate::platform::VmEntry;
use crate::probe_schedule::ProbeSchedule;
use crate::registration::MemberRecord;
use crate::rendezvous::{StableHash, top_members};
use crate::time::MonoTime;

/// The node was paused if two ticks are more than this many probe intervals apart.
const MAX_TICK_GAP_INTERVALS: u32 = 2;

/// Keeps the state of every peer and probes them.
#[derive(Clone, Debug)]
pub struct MemberList {
    settings: MembershipSettings,
    own: MemberRecord,
    seed: StableHash,
    status: ServingStatus,
    members: IndexMap<VmId, MemberEntry>,
    schedule: ProbeSchedule,
    updates: GossipQueue,
    next_round: MonoTime,
    last_tick: Option<MonoTime>,
}

impl MemberList {
    /// Creates a list of this node alone; the seed determines the order of probes.
    pub fn new(settings: MembershipSettings, own: MemberRecord, seed: u64) -> Self {
        Self {
            settings,
            own,
            seed: StableHash(seed),
            status: ServingStatus::Serving,
            members: IndexMap::new(),
            schedule: ProbeSchedule::default(),
            updates: GossipQueue::default(),
            next_round: MonoTime::ZERO,
            last_tick: None,
        }
    }

    /// Adds registered nodes; a later start replaces the state of an earlier one on the same VM.
    ///
    /// Drops a peer whose VM was removed and which is no longer registered.
    pub fn set_registered(&mut self, records: impl IntoIterator<Item = MemberRecord>) {
        let mut seen = IndexSet::new();
        for record in records {
            let vm = record.node.vm.clone();
            seen.insert(vm.clone());
            if vm == self.own.node.vm {
                continue;
            }
            match self.members.get_mut(&vm) {
                Some(member) if record.node.incarnation < member.record.node.incarnation => {}
                Some(member) if record.node.incarnation == member.record.node.incarnation => {
                    member.record = record;
                }
                Some(_) | None => {
                    self.members.insert(vm, MemberEntry::new(record));
                }
            }
        }
        self.members
            .retain(|vm, member| !member.removed || seen.contains(vm));
        let seed = self.seed;
        self.members
            .sort_by_cached_key(|vm, _| seed.with(StableHash::of(vm.as_bytes())));
    }

    /// Applies a reading of the platform's VM list.
    pub fn set_vm_list(&mut self, now: MonoTime, entries: &[VmEntry]) {
        let by_vm: IndexMap<_, _> = entries.iter().map(|entry| (&entry.id, entry)).collect();
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        for (vm, member) in &mut self.members {
            member.apply_vm_list(now, by_vm.get(vm).copied(), lag);
        }
    }

    /// Sets this node's serving status; on a planned stop, pings every peer with the new status.
    pub fn set_status(&mut self, status: ServingStatus) -> Vec<MembershipAction> {
        let changed = self.status != status;
        self.status = status;
        match status {
            ServingStatus::Leaving | ServingStatus::Stopping if changed => {
                let nodes: Vec<_> = self.nodes().cloned().collect();
                nodes.into_iter().map(|node| self.ping(node, 0)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the state of the peer on a VM.
    pub fn state_of(&self, vm: &VmId) -> Option<PeerState> {
        self.members.get(vm).map(MemberEntry::state)
    }

    /// Returns all peers with their states.
    pub fn peers(&self) -> impl Iterator<Item = (&MemberRecord, PeerState)> {
        self.members
            .values()
            .map(|member| (&member.record, member.state()))
    }

    /// Returns the nodes that should be members of the next epoch, this one included.
    ///
    /// A leaving node stays a member while it still serves its connected callers.
    pub fn candidates(&self, now: MonoTime) -> Vec<MemberRecord> {
        let give_up = Duration::from_millis(self.settings.give_up_ms);
        let should_be_member = |member: &&MemberEntry| {
            let unreachable = member.probe.unreachable_for(now);
            !member.removed
                && member.status != ServingStatus::Stopping
                && unreachable.is_none_or(|time| time < give_up)
        };
        let peers = self.members.values().filter(should_be_member);
        let own = (self.status != ServingStatus::Stopping).then_some(&self.own);
        peers
            .map(|member| &member.record)
            .chain(own)
            .cloned()
            .collect()
    }

    /// Returns the nodes whose VMs have disappeared from the VM list.
    pub fn removed_nodes(&self) -> impl Iterator<Item = &NodeId> {
        let removed = self.members.values().filter(|member| member.removed);
        removed.map(|member| &member.record.node)
    }

    /// Returns the directory's view of all nodes, this one included.
    ///
    /// A peer that only this node cannot reach stays in answers, since callers can reach it.
    pub fn directory_members(&self) -> Vec<DirectoryMember> {
        let own = directory_member(&self.own, PeerState::Alive, self.status);
        let peers = self.members.values().map(MemberEntry::directory_member);
        peers.chain([own]).collect()
    }

    /// Handles a message from a peer.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: MembershipMessage,
    ) -> Vec<MembershipAction> {
        let known = self.members.get_mut(&from.vm);
        let Some(member) = known.filter(|member| member.record.node == *from) else {
            return self.handle_unknown_sender(from, &message);
        };
        member.probe.last_received = Some(now);
        if member.probe.state() != PeerState::Alive {
            self.schedule.prioritise(from.vm.clone());
        }
        let mut actions = match message {
            MembershipMessage::Ping {
                seq,
                status,
                updates,
            } => {
                self.apply_status(from, status);
                self.apply_updates(now, updates);
                vec![self.ack(from, seq)]
            }
            MembershipMessage::Ack {
                seq,
                status,
                updates,
            } => {
                self.apply_ack(now, from, seq);
                self.apply_status(from, status);
                self.apply_updates(now, updates);
                Vec::new()
            }
            MembershipMessage::PingRequest { seq, target } => {
                let origin = from.clone();
                vec![send(
                    &target,
                    MembershipMessage::IndirectPing { seq, origin },
                )]
            }
            MembershipMessage::IndirectPing { seq, origin } => {
                self.answer_indirect_ping(now, from, seq, origin)
            }
            MembershipMessage::IndirectHello { seq } => {
                if let Some(round) = self.schedule.round_mut(&from.vm, seq) {
                    round.received_hello = true;
                }
                Vec::new()
            }
            MembershipMessage::IndirectAck {
                seq,
                origin,
                last_received_ago_ms,
            } => {
                let target = from.clone();
                let report = MembershipMessage::IndirectReport {
                    seq,
                    target,
                    last_received_ago_ms,
                };
                vec![send(&origin, report)]
            }
            MembershipMessage::IndirectReport {
                seq,
                target,
                last_received_ago_ms,
            } => {
                let last_received_ago = last_received_ago_ms.map(Duration::from_millis);
                if let Some(round) = self.schedule.round_mut(&target.vm, seq) {
                    round.add_report(now, last_received_ago);
                }
                Vec::new()
            }
        };
        actions.extend(self.report_changes());
        actions
    }

    /// Requests indirect probes, concludes rounds and starts new ones, each when it is due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<MembershipAction> {
        let interval = Duration::from_millis(self.settings.probe_interval_ms);
        let paused = |last| now.since(last) > interval * MAX_TICK_GAP_INTERVALS;
        if self.last_tick.is_some_and(paused) {
            // Answers may still wait unread, so the peers were not necessarily unresponsive.
            self.schedule.clear();
        }
        self.last_tick = Some(now);
        let mut actions = self.request_indirect_probes(now);
        self.conclude_rounds(now, interval);
        if now >= self.next_round {
            self.next_round = now + interval;
            actions.extend(self.start_rounds(now));
        }
        actions.extend(self.report_changes());
        actions
    }

    fn handle_unknown_sender(
        &self,
        from: &NodeId,
        message: &MembershipMessage,
    ) -> Vec<MembershipAction> {
        let known = self.members.get(&from.vm);
        if known.is_some_and(|member| member.record.node.incarnation > from.incarnation) {
            return Vec::new();
        }
        let mut actions = vec![MembershipAction::Refresh];
        if let MembershipMessage::Ping { seq, .. } = message {
            let ack = MembershipMessage::Ack {
                seq: *seq,
                status: self.status,
                updates: Vec::new(),
            };
            actions.push(send(from, ack));
        }
        actions
    }

    fn answer_indirect_ping(
        &self,
        now: MonoTime,
        helper: &NodeId,
        seq: u64,
        origin: NodeId,
    ) -> Vec<MembershipAction> {
        let last_received = self
            .members
            .get(&origin.vm)
            .and_then(|member| member.probe.last_received);
        let last_received_ago_ms = last_received.map(|at| now.since(at).as_millis() as u64);
        let hello = send(&origin, MembershipMessage::IndirectHello { seq });
        let ack = MembershipMessage::IndirectAck {
            seq,
            origin,
            last_received_ago_ms,
        };
        vec![hello, send(helper, ack)]
    }

    fn apply_ack(&mut self, now: MonoTime, from: &NodeId, seq: u64) {
        if !self.schedule.finish(&from.vm, seq) {
            return;
        }
        if let Some(member) = self.members.get_mut(&from.vm) {
            member.probe.succeed(now);
        }
    }

    fn apply_status(&mut self, from: &NodeId, status: ServingStatus) {
        let member = self.members.get_mut(&from.vm);
        if member.is_some_and(|member| member.apply_status(status)) {
            let updates = MembershipUpdate::Leaving(from.clone());
            self.updates.push(updates, self.members.len());
        }
    }

    fn apply_updates(&mut self, now: MonoTime, updates: Vec<MembershipUpdate>) {
        for item in updates {
            let (MembershipUpdate::Suspect(node) | MembershipUpdate::Leaving(node)) = &item;
            let known = self.members.get_mut(&node.vm);
            let Some(member) = known.filter(|member| member.record.node == *node) else {
                continue;
            };
            match item {
                MembershipUpdate::Suspect(_) => {
                    let interval = Duration::from_millis(self.settings.probe_interval_ms);
                    let recent = |ack| now.since(ack) < interval;
                    if !member.probe.last_ack.is_some_and(recent) {
                        self.schedule.prioritise(node.vm.clone());
                    }
                }
                MembershipUpdate::Leaving(_) => {
                    if member.apply_status(ServingStatus::Leaving) {
                        self.updates.push(item, self.members.len());
                    }
                }
            }
        }
    }

    fn ping(&mut self, to: NodeId, seq: u64) -> MembershipAction {
        let message = MembershipMessage::Ping {
            seq,
            status: self.status,
            updates: self.updates.next_batch(),
        };
        MembershipAction::Send { to, message }
    }

    fn ack(&mut self, to: &NodeId, seq: u64) -> MembershipAction {
        let message = MembershipMessage::Ack {
            seq,
            status: self.status,
            updates: self.updates.next_batch(),
        };
        send(to, message)
    }

    fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        let present = self.members.values().filter(|member| !member.removed);
        present.map(|member| &member.record.node)
    }

    fn request_indirect_probes(&mut self, now: MonoTime) -> Vec<MembershipAction> {
        let timeout = Duration::from_millis(self.settings.probe_timeout_ms);
        let late = self.schedule.mark_late(now, timeout);
        late.into_iter()
            .flat_map(|(seq, vm)| self.request_indirect_probes_of(seq, &vm))
            .collect()
    }

    fn request_indirect_probes_of(&self, seq: u64, vm: &VmId) -> Vec<MembershipAction> {
        let Some(target) = self.members.get(vm).map(|member| &member.record.node) else {
            return Vec::new();
        };
        let can_help = |member: &&MemberEntry| {
            member.record.node != *target
                && member.probe.state() == PeerState::Alive
                && !member.removed
        };
        let helpers: Vec<_> = self.members.values().filter(can_help).collect();
        let hashes: Vec<_> = helpers
            .iter()
            .map(|member| StableHash::of(member.record.node.vm.as_bytes()))
            .collect();
        let key = self.seed.with(StableHash(seq));
        let message = MembershipMessage::PingRequest {
            seq,
            target: target.clone(),
        };
        top_members(key, &hashes, self.settings.helpers)
            .into_iter()
            .map(|index| send(&helpers[index].record.node, message.clone()))
            .collect()
    }

    fn conclude_rounds(&mut self, now: MonoTime, interval: Duration) {
        for (vm, round) in self.schedule.conclude_failed(now, interval) {
            let Some(member) = self.members.get_mut(&vm) else {
                continue;
            };
            let was_unreachable = member.probe.state() == PeerState::Unreachable;
            member.probe.fail(now, &round);
            let node = member.record.node.clone();
            if !was_unreachable {
                self.schedule.prioritise(vm);
                self.updates
                    .push(MembershipUpdate::Suspect(node), self.members.len());
            }
        }
    }

    fn start_rounds(&mut self, now: MonoTime) -> Vec<MembershipAction> {
        let MembershipSettings {
            probes,
            extra_probes,
            ..
        } = self.settings;
        let targets = self
            .schedule
            .select_targets(&self.members, extra_probes, probes);
        let mut actions = Vec::new();
        for vm in targets {
            let known = self.members.get(&vm).filter(|member| !member.removed);
            if let Some(to) = known.map(|member| member.record.node.clone()) {
                let seq = self.schedule.start(now, vm);
                actions.push(self.ping(to, seq));
            }
        }
        actions
    }

    fn report_changes(&mut self) -> Vec<MembershipAction> {
        let mut changes = Vec::new();
        for member in self.members.values_mut() {
            let to = member.state();
            let from = std::mem::replace(&mut member.reported, to);
            if from != to {
                let node = member.record.node.clone();
                changes.push(MembershipAction::Changed { node, from, to });
            }
        }
        changes
    }
}

fn send(to: &NodeId, message: MembershipMessage) -> MembershipAction {
    let to = to.clone();
    MembershipAction::Send { to, message }
}
