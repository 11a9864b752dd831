//! Keeps a gateway in step with the fleet: members, epochs, configuration and freshness.
//!
//! One task owns the state machines. Calls of the platform run as separate tasks and return their
//! results as events, so that a slow platform delays nothing else.

use std::sync::Arc;
use std::time::Duration;

use damaskloom_lib::config::{ConfigDelta, FleetConfig};
use damaskloom_lib::config_reader::{read_deltas, read_snapshot};
use damaskloom_lib::distribution::{ConfigReplica, ReplicaAction, ReplicaPeer, ReplicaSettings};
use damaskloom_lib::epoch::EpochKeeper;
use damaskloom_lib::epoch_types::{
    EpochAction, EpochMessage, EpochRow, EpochSettings, StoreCallId,
};
use damaskloom_lib::freshness::FreshnessAction;
use damaskloom_lib::ids::{Epoch, NodeId, Revision};
use damaskloom_lib::membership::{MemberList, MembershipAction, MembershipSettings, ServingStatus};
use damaskloom_lib::platform::{
    CommitOutcome, PlatformError, RowKey, TableRow, TableStore, Transaction, VmEntry, VmList,
};
use damaskloom_lib::registration::MemberRecord;
use damaskloom_lib::rendezvous::{StableHash, rank_members};
use damaskloom_lib::share_basis::ShareBasis;
use damaskloom_lib::time::MonoTime;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::claim_fleet::{ClaimFleet, ClaimMember};
use crate::control_loop::{decode_and_handle, dispatch};
use crate::fleet_epoch::FleetAssignment;
use crate::gateway::GatewayState;
use crate::peer_codec::PeerTopic;
use crate::peer_link::{PeerDelivery, PeerInbox};
use crate::platform_reads::{HeadReading, SharedClient, read_head, read_members};

const TICK_INTERVAL_MS: u64 = 50;
/// The interval at which the scanning members read all registrations, in milliseconds.
const MEMBER_SCAN_INTERVAL_MS: u64 = 2_000;
/// The number of members that read all registrations; the others learn of new members from the next
/// epoch.
const MEMBER_SCANNER_COUNT: usize = 3;
/// The interval at which each member reads the VM list, in milliseconds.
const VM_LIST_INTERVAL_MS: u64 = 5_000;

/// The result of a platform call.
#[derive(Debug)]
enum PlatformEvent {
    Members(Result<Vec<MemberRecord>, PlatformError>),
    Vms(Result<Vec<VmEntry>, PlatformError>),
    Head(Result<HeadReading, PlatformError>),
    Deltas(Result<Vec<ConfigDelta>, PlatformError>),
    Snapshot(Result<Option<FleetConfig>, PlatformError>),
    EpochRow(Result<Option<TableRow>, PlatformError>),
    Committed(StoreCallId, Result<CommitOutcome, PlatformError>),
}

/// The state machines that keep one node in step with the fleet.
pub struct ControlPlane {
    state: Arc<GatewayState>,
    client: SharedClient,
    own: MemberRecord,
    members: MemberList,
    keeper: EpochKeeper,
    replica: ConfigReplica,
    scanned: Vec<MemberRecord>,
    next_scan: MonoTime,
    scan_running: bool,
    next_vm_list: MonoTime,
    last_read_epoch: Epoch,
    held_since: MonoTime,
    status: mpsc::Receiver<ServingStatus>,
    event_sender: mpsc::UnboundedSender<PlatformEvent>,
    event_receiver: mpsc::UnboundedReceiver<PlatformEvent>,
}

impl ControlPlane {
    /// Makes the control plane of a registered node; `status` reports a planned stop.
    pub fn new(
        state: Arc<GatewayState>,
        client: SharedClient,
        own: MemberRecord,
        status: mpsc::Receiver<ServingStatus>,
    ) -> Self {
        let now = state.clock.now();
        let seed = StableHash::of(own.node.to_string()).0;
        let peer = ReplicaPeer {
            node: own.node.clone(),
            data_centre: own.data_centre.clone(),
        };
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        Self {
            members: MemberList::new(MembershipSettings::default(), own.clone(), seed),
            keeper: EpochKeeper::new(EpochSettings::default(), own.node.clone(), seed),
            replica: ConfigReplica::new(now, peer, ReplicaSettings::default(), seed),
            scanned: Vec::new(),
            next_scan: now,
            scan_running: false,
            next_vm_list: now,
            last_read_epoch: Epoch::default(),
            held_since: now,
            state,
            client,
            own,
            status,
            event_sender,
            event_receiver,
        }
    }

    /// Runs until the peer link ends.
    pub async fn run(mut self, mut inbox: PeerInbox) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(event) = self.event_receiver.recv() => self.handle_event(event),
                Some(status) = self.status.recv() => {
                    let actions = self.members.set_status(status);
                    self.perform_membership(actions);
                    self.publish_members();
                }
                delivery = inbox.deliveries.recv() => match delivery {
                    Some(delivery) => self.handle_delivery(&delivery),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.state.clock.now();
        let actions = self.members.tick(now);
        self.perform_membership(actions);
        self.keeper.set_candidates(self.members.candidates(now));
        let stopped: Vec<NodeId> = self.members.removed_nodes().cloned().collect();
        self.keeper.set_stopped_nodes(stopped);
        let actions = self.keeper.tick(now);
        self.perform_epoch(actions);
        let actions = self.replica.tick(now);
        self.perform_replica(actions);
        for FreshnessAction::Send { to, message } in self.state.guard.tick(now) {
            self.state.outbox.send(&to, PeerTopic::Freshness, &message);
        }
        self.read_members_when_due(now);
        self.update_serving_status(now);
    }

    fn update_serving_status(&mut self, now: MonoTime) {
        let behind = self.replica.revision() < Some(self.replica.known_head());
        self.state.guard.set_behind(now, behind);
        self.state.guard.set_ready(self.replica.is_ready());
        let allowed = self.state.record_freshness(now);
        if let Some(allowed) = allowed {
            let status = if allowed {
                ServingStatus::Serving
            } else {
                ServingStatus::Fenced
            };
            if !self.state.is_leaving() {
                let actions = self.members.set_status(status);
                self.perform_membership(actions);
                self.publish_members();
            }
        }
    }

    fn handle_delivery(&mut self, delivery: &PeerDelivery) {
        let now = self.state.clock.now();
        match delivery.topic {
            PeerTopic::Membership => decode_and_handle(delivery, |from, message| {
                let actions = self.members.handle(now, from, message);
                self.perform_membership(actions);
            }),
            PeerTopic::Epoch => decode_and_handle(delivery, |from, message| {
                let actions = self.keeper.handle(from, message);
                self.perform_epoch(actions);
            }),
            PeerTopic::Distribution => decode_and_handle(delivery, |from, message| {
                let actions = self.replica.handle(now, from, message);
                self.perform_replica(actions);
            }),
            PeerTopic::Freshness => decode_and_handle(delivery, |from, message| {
                for FreshnessAction::Send { to, message } in
                    self.state.guard.handle(now, from, message)
                {
                    self.state.outbox.send(&to, PeerTopic::Freshness, &message);
                }
            }),
            PeerTopic::Shares
            | PeerTopic::Evidence
            | PeerTopic::Ejection
            | PeerTopic::Crash
            | PeerTopic::Claims => dispatch(&self.state, delivery),
        }
    }

    fn handle_event(&mut self, event: PlatformEvent) {
        let now = self.state.clock.now();
        match event {
            PlatformEvent::Members(answer) => {
                self.scan_running = false;
                if let Ok(members) = answer {
                    self.scanned = members;
                    self.update_known_members();
                }
            }
            PlatformEvent::Vms(answer) => {
                if let Ok(vms) = answer {
                    self.members.set_vm_list(now, &vms);
                    self.publish_members();
                }
            }
            PlatformEvent::Head(answer) => {
                let reading = answer.ok();
                if let Some(reading) = &reading {
                    self.record_epoch_row(reading.epoch.as_ref());
                    let actions = self.keeper.on_row(Ok(reading.epoch.clone()));
                    self.perform_epoch(actions);
                }
                let actions = self
                    .replica
                    .head_read(now, reading.map(|reading| reading.revision));
                self.perform_replica(actions);
            }
            PlatformEvent::Deltas(answer) => {
                let actions = self.replica.deltas_read(now, answer.ok());
                self.perform_replica(actions);
            }
            PlatformEvent::Snapshot(answer) => {
                let actions = self.replica.snapshot_read(now, answer.ok().flatten());
                self.perform_replica(actions);
            }
            PlatformEvent::EpochRow(answer) => {
                let actions = self.keeper.on_row(answer);
                self.perform_epoch(actions);
            }
            PlatformEvent::Committed(call, outcome) => {
                let actions = self.keeper.on_commit(call, outcome);
                self.perform_epoch(actions);
            }
        }
    }

    fn record_epoch_row(&mut self, row: Option<&TableRow>) {
        let epoch = row
            .and_then(|row| serde_json::from_value::<EpochRow>(row.value.clone()).ok())
            .map_or(Epoch::default(), |row| row.epoch);
        self.last_read_epoch = epoch;
    }

    fn perform_membership(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.state.outbox.send(&to, PeerTopic::Membership, &message);
                }
                MembershipAction::Changed { node, from, to } => {
                    tracing::info!(%node, %from, %to, "peer state changed");
                    self.publish_members();
                }
                MembershipAction::Refresh => self.next_scan = self.state.clock.now(),
            }
        }
    }

    fn perform_epoch(&mut self, actions: Vec<EpochAction>) {
        for action in actions {
            match action {
                EpochAction::Entered(epoch) => self.enter_epoch(epoch),
                EpochAction::Settled(_) => self.apply_assignment(),
                EpochAction::Superseded(node) => {
                    tracing::error!(%node, "a later start of this VM is a member; serving ends");
                    self.state.guard.set_superseded();
                }
                EpochAction::ReadRow => {
                    let client = Arc::clone(&self.client);
                    self.call(async move {
                        PlatformEvent::EpochRow(client.get(&RowKey::from(EPOCH_ROW_KEY)).await)
                    });
                }
                EpochAction::Commit { call, transaction } => self.commit(call, transaction),
                EpochAction::Send { to, message } => self.send_epoch(&to, &message),
            }
        }
    }

    /// Sends a message about epochs, unless it would acknowledge an epoch while this node's shares
    /// are still too large for it.
    fn send_epoch(&self, to: &NodeId, message: &EpochMessage) {
        let acknowledges = matches!(message, EpochMessage::Digest { .. });
        if !acknowledges || self.state.conforms() {
            self.state.outbox.send(to, PeerTopic::Epoch, message);
        }
    }

    fn enter_epoch(&mut self, epoch: Epoch) {
        tracing::info!(%epoch, members = self.keeper.nodes().len(), "epoch entered");
        self.held_since = self.state.clock.now();
        if let Some(handle) = self.state.outbox.handle() {
            handle.set_epoch(epoch);
        }
        self.update_known_members();
        self.enter_claims(epoch);
        self.apply_assignment();
        self.state
            .guard
            .set_epoch(epoch, self.keeper.nodes().to_vec());
    }

    fn apply_assignment(&self) {
        let unsettled = match self.keeper.basis() {
            ShareBasis::Settled(_) => Vec::new(),
            ShareBasis::Moving { from, .. } => vec![from.to_vec()],
        };
        self.state.epoch.set_assignment(FleetAssignment {
            epoch: self.keeper.epoch(),
            members: self.keeper.nodes().to_vec(),
            unsettled,
            held_since: self.held_since,
        });
        if self.keeper.is_settled() {
            self.report_lost_claim_sources();
        }
        self.state.refresh();
    }

    /// Moves the claims of request ids to their owners in the epoch.
    fn enter_claims(&self, epoch: Epoch) {
        let members = self.keeper.members().iter().map(|record| ClaimMember {
            node: record.node.clone(),
            data_centre: record.data_centre.clone(),
        });
        let fleet = ClaimFleet::new(epoch, members);
        let sources = self.keeper.previous().iter().cloned();
        self.state.claims.enter_epoch(fleet, sources);
    }

    /// Stops waiting for claims from nodes that are no longer members: in a settled epoch each of
    /// them has entered it or has stopped, and grants nothing under an earlier one.
    fn report_lost_claim_sources(&self) {
        for node in self.keeper.previous() {
            if !self.keeper.nodes().contains(node) {
                self.state.claims.source_lost(node);
            }
        }
    }

    /// Updates all parts with the members that are known from the table and from the epoch.
    fn update_known_members(&mut self) {
        let mut known: Vec<MemberRecord> = self.keeper.members().to_vec();
        for record in &self.scanned {
            match known
                .iter_mut()
                .find(|other| other.node.vm == record.node.vm)
            {
                Some(other) if other.node.incarnation < record.node.incarnation => {
                    *other = record.clone();
                }
                Some(_) => {}
                None => known.push(record.clone()),
            }
        }
        if let Some(handle) = self.state.outbox.handle() {
            for record in known
                .iter()
                .filter(|record| record.node.vm != self.own.node.vm)
            {
                handle.set_address(record.node.vm.clone(), record.peer_address);
            }
        }
        self.replica
            .set_peers(known.iter().map(|record| ReplicaPeer {
                node: record.node.clone(),
                data_centre: record.data_centre.clone(),
            }));
        self.members.set_registered(known);
        self.publish_members();
    }

    fn publish_members(&self) {
        self.state
            .directory
            .set_members(self.members.directory_members());
    }

    fn perform_replica(&mut self, actions: Vec<ReplicaAction>) {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => {
                    self.state
                        .outbox
                        .send(&to, PeerTopic::Distribution, &message);
                }
                ReplicaAction::ReadHead => {
                    let client = Arc::clone(&self.client);
                    self.call(async move { PlatformEvent::Head(read_head(&client).await) });
                }
                ReplicaAction::ReadDeltas { after } => self.read_deltas(after),
                ReplicaAction::ReadSnapshot { newer_than } => {
                    let client = Arc::clone(&self.client);
                    self.call(async move {
                        PlatformEvent::Snapshot(read_snapshot(&*client, newer_than).await)
                    });
                }
                ReplicaAction::OfferSnapshot {
                    to,
                    transfer,
                    cursor,
                } => {
                    let offer = self
                        .state
                        .config
                        .with(|config| self.replica.offer(config, transfer, cursor));
                    self.state.outbox.send(&to, PeerTopic::Distribution, &offer);
                }
                ReplicaAction::Install(config) => self.state.config.replace(config),
                ReplicaAction::Apply(delta) => {
                    let applied = self.state.config.apply(&delta);
                    applied.expect("the replica applies deltas in order");
                }
                ReplicaAction::HeadProven { at, .. } => {
                    self.state.guard.record_read(at, self.last_read_epoch);
                }
            }
        }
    }

    fn read_deltas(&self, after: Revision) {
        let client = Arc::clone(&self.client);
        self.call(async move { PlatformEvent::Deltas(read_deltas(&*client, after).await) });
    }

    fn commit(&self, call: StoreCallId, transaction: Transaction) {
        let client = Arc::clone(&self.client);
        self.call(async move { PlatformEvent::Committed(call, client.commit(&transaction).await) });
    }

    fn read_members_when_due(&mut self, now: MonoTime) {
        if now >= self.next_vm_list {
            self.next_vm_list = now + Duration::from_millis(VM_LIST_INTERVAL_MS);
            let client = Arc::clone(&self.client);
            self.call(async move { PlatformEvent::Vms(client.list_vms().await) });
        }
        if now >= self.next_scan && !self.scan_running && self.is_scanner() {
            self.next_scan = now + Duration::from_millis(MEMBER_SCAN_INTERVAL_MS);
            self.scan_running = true;
            let client = Arc::clone(&self.client);
            self.call(async move { PlatformEvent::Members(read_members(&client).await) });
        }
    }

    /// Returns whether this node is one of the few that read all registrations to find new members.
    ///
    /// A node that is not a member yet reads them as well.
    fn is_scanner(&self) -> bool {
        let nodes = self.keeper.nodes();
        let hashes: Vec<StableHash> = nodes
            .iter()
            .map(|node| StableHash::of(node.to_string()))
            .collect();
        let ranking = rank_members(StableHash::of("member-scan"), &hashes);
        let rank = ranking
            .iter()
            .position(|index| nodes[*index] == self.own.node);
        rank.is_none_or(|rank| rank < MEMBER_SCANNER_COUNT)
    }

    fn call(&self, call: impl Future<Output = PlatformEvent> + Send + 'static) {
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            // The control plane may have ended during the call.
            let _ = event_sender.send(call.await);
        });
    }
}

const EPOCH_ROW_KEY: &str = damaskloom_lib::epoch_types::EPOCH_ROW;
