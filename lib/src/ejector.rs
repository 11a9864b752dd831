//! Ejection of targets by the whole fleet, within the floor.
//!
//! Each ejection is backed by one unit of the service's ejectable capacity (capacity less floor),
//! held by the ejecting node. Units come from an escrow and are never held by two nodes. The number
//! of distinct targets ejected anywhere thus never exceeds the capacity less the floor, even if
//! messages are lost, delayed or duplicated and nodes are partitioned. Other nodes honour an
//! ejection under short leases; a holder frees a unit only after every lease on it has expired. An
//! ejection ends after successful trial requests or, if there are none, after a time. See
//! [docs/design/ejection.md](../../docs/design/ejection.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ejection_lease::{EJECTION_LEASE_MS, GrantedEjection, LeaseTable, holder_lease_period};
pub use crate::ejection_message::{EjectionAction, EjectionMessage};
use crate::flap_history::FlapHistory;
use crate::held_ejection::{HeldEjection, HeldState, TrialProgress};
use crate::ids::{NodeId, TargetId};
use crate::proposal_queue::ProposalQueue;
use crate::time::MonoTime;
use crate::verdict::{EjectionExplanation, SuspicionCause};

const CLAIM_RETRY_MS: u64 = 500;
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// The time for which a free unit is kept before it is returned to the escrow.
const IDLE_UNIT_RETENTION_MS: u64 = 10_000;

/// The ejections of one service that one node holds or honours.
#[derive(Debug)]
pub struct TargetEjector {
    node: NodeId,
    peers: Vec<NodeId>,
    units: u32,
    units_to_return: u32,
    next_claim_at: MonoTime,
    units_idle_since: Option<MonoTime>,
    held: IndexMap<TargetId, HeldEjection>,
    proposals: ProposalQueue,
    peers_to_notify: IndexMap<NodeId, MonoTime>,
    leases: LeaseTable,
    history: FlapHistory,
}

impl TargetEjector {
    /// Creates an ejector without units.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            peers: Vec::new(),
            units: 0,
            units_to_return: 0,
            next_claim_at: MonoTime::ZERO,
            units_idle_since: None,
            held: IndexMap::new(),
            proposals: ProposalQueue::default(),
            peers_to_notify: IndexMap::new(),
            leases: LeaseTable::default(),
            history: FlapHistory::default(),
        }
    }

    /// Sets the nodes that serve the service; this node is filtered out.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = NodeId>) {
        self.peers = peers
            .into_iter()
            .filter(|peer| *peer != self.node)
            .collect();
        let peers = &self.peers;
        self.peers_to_notify.retain(|peer, _| peers.contains(peer));
    }

    /// Adds units that the escrow granted.
    pub fn add_units(&mut self, count: u32) {
        self.units += count;
    }

    /// Returns `count` units as soon as they are free; lifts ejections that no unit is left for.
    pub fn withdraw_units(&mut self, now: MonoTime, count: u32) -> Vec<EjectionAction> {
        self.units_to_return = (self.units_to_return + count).min(self.units);
        let mut actions = Vec::new();
        while self.active_count() as u32 > self.units - self.units_to_return {
            let newest = self
                .held
                .iter()
                .rfind(|(_, ejection)| ejection.is_active())
                .map(|(target, _)| target.clone())
                .expect("an active ejection exists, since their number is above a limit");
            self.lift(now, &newest, &mut actions);
        }
        actions
    }

    /// Returns the number of units that this node holds, bound or free.
    pub const fn units(&self) -> u32 {
        self.units
    }

    /// Proposes to eject a target; `rank` is this node's rank among the evaluators.
    ///
    /// Later ranks wait for earlier ones, so that evaluators that agree don't bind a unit each.
    pub fn propose(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        cause: SuspicionCause,
        rank: usize,
    ) {
        self.proposals.propose(now, target, cause, rank);
    }

    /// Returns whether the target gets no requests but trial requests.
    pub fn is_ejected(&self, now: MonoTime, target: &TargetId) -> bool {
        if self.held.is_empty() && self.leases.is_empty() {
            return false;
        }
        self.is_held(target) || self.leases.find(now, target).is_some()
    }

    /// Returns the number of targets that are ejected on this node.
    pub fn ejected_count(&self, now: MonoTime) -> usize {
        let leased = self
            .leases
            .ejected_targets(now)
            .filter(|target| !self.is_held(target))
            .count();
        self.active_count() + leased
    }

    /// Returns the node whose unit backs the ejection of a target.
    pub fn holder_of(&self, now: MonoTime, target: &TargetId) -> Option<&NodeId> {
        if self.is_held(target) {
            return Some(&self.node);
        }
        self.leases.find(now, target).map(|(holder, _)| holder)
    }

    /// Explains the ejection of a target, or returns `None` if it is not ejected.
    pub fn explain(&self, now: MonoTime, target: &TargetId) -> Option<EjectionExplanation> {
        let held = self.held.get(target).and_then(|ejection| {
            let (ends, on_trial) = match ejection.state {
                HeldState::Ejected { term_ends } => (term_ends, false),
                HeldState::OnTrial { expires_at, .. } => (expires_at, true),
                HeldState::Lifted => return None,
            };
            Some((self.node.clone(), ejection.cause, ends, on_trial))
        });
        let leased = || {
            let (holder, lease) = self.leases.find(now, target)?;
            Some((holder.clone(), lease.cause, lease.until, false))
        };
        let (holder, cause, ends, on_trial) = held.or_else(leased)?;
        Some(EjectionExplanation {
            holder,
            cause,
            flaps: self.history.flaps(now, target).saturating_sub(1),
            remaining_ms: ends.since(now).as_millis() as u64,
            on_trial,
        })
    }

    /// Returns a target that is due for a trial request, which must be idempotent.
    pub fn next_trial(&mut self, now: MonoTime) -> Option<TargetId> {
        self.held.iter_mut().find_map(|(target, ejection)| {
            ejection.start_trial_request(now).then(|| target.clone())
        })
    }

    /// Records the result of a trial request, which succeeded if the answer was good and not slow.
    pub fn trial_result(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        succeeded: bool,
    ) -> Vec<EjectionAction> {
        let mut actions = Vec::new();
        let Some(ejection) = self.held.get_mut(target) else {
            return actions;
        };
        let progress = ejection.end_trial_request(now, succeeded);
        let flaps = ejection.flaps;
        match progress {
            TrialProgress::Unchanged => {}
            TrialProgress::Passed => self.lift(now, target, &mut actions),
            TrialProgress::Failed => self.history.record(now, target, flaps),
        }
        actions
    }

    /// Handles a message from a peer.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: EjectionMessage,
    ) -> Vec<EjectionAction> {
        match message {
            EjectionMessage::Announce => {
                self.leases.handle_announcement(now, from);
                self.poll_holders(now)
            }
            EjectionMessage::Poll { number } => vec![EjectionAction::Send {
                to: from.clone(),
                message: self.grant(now, from, number),
            }],
            EjectionMessage::Grant { number, ejections } => {
                self.handle_grant(now, from, number, &ejections)
            }
        }
    }

    /// Advances terms, trials, leases and proposals.
    pub fn tick(&mut self, now: MonoTime) -> Vec<EjectionAction> {
        let mut actions = Vec::new();
        self.advance_terms(now, &mut actions);
        self.held
            .retain(|_, ejection| ejection.is_active() || now < ejection.leased_until);
        self.decide_proposals(now, &mut actions);
        self.return_units(now, &mut actions);
        self.announce(now, &mut actions);
        actions.extend(self.poll_holders(now));
        actions
    }

    fn is_held(&self, target: &TargetId) -> bool {
        self.held.get(target).is_some_and(HeldEjection::is_active)
    }

    fn active_count(&self) -> usize {
        self.held
            .values()
            .filter(|ejection| ejection.is_active())
            .count()
    }

    fn free_units(&self) -> u32 {
        self.units.saturating_sub(self.held.len() as u32)
    }

    fn grant(&mut self, now: MonoTime, to: &NodeId, number: u64) -> EjectionMessage {
        // A peer whose renewals fail for long stops polling, so the ejections are announced again.
        match self.peers_to_notify.get_mut(to) {
            Some(next_at) if self.held.values().any(HeldEjection::is_active) => {
                *next_at = now + Duration::from_millis(EJECTION_LEASE_MS);
            }
            _ => drop(self.peers_to_notify.swap_remove(to)),
        }
        let mut ejections = Vec::new();
        for (target, ejection) in &mut self.held {
            if !ejection.is_active() {
                continue;
            }
            ejection.leased_until = now + holder_lease_period(EJECTION_LEASE_MS);
            ejections.push(GrantedEjection {
                target: target.clone(),
                lease_ms: EJECTION_LEASE_MS,
                flaps: ejection.flaps,
                cause: ejection.cause,
            });
        }
        EjectionMessage::Grant { number, ejections }
    }

    fn handle_grant(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        number: u64,
        ejections: &[GrantedEjection],
    ) -> Vec<EjectionAction> {
        let mut actions = Vec::new();
        if !self.leases.handle_grant(now, from, number, ejections) {
            return actions;
        }
        for ejection in ejections {
            self.history.record(now, &ejection.target, ejection.flaps);
            // If two holders ejected the same target, the one with the lower identifier keeps it
            // and the other's unit becomes free for another target.
            if *from < self.node && self.is_held(&ejection.target) {
                self.lift(now, &ejection.target, &mut actions);
            }
        }
        actions
    }

    fn poll_holders(&mut self, now: MonoTime) -> Vec<EjectionAction> {
        self.leases
            .due_polls(now)
            .into_iter()
            .map(|(to, number)| EjectionAction::Send {
                to,
                message: EjectionMessage::Poll { number },
            })
            .collect()
    }

    fn advance_terms(&mut self, now: MonoTime, actions: &mut Vec<EjectionAction>) {
        let expired: Vec<TargetId> = self
            .held
            .iter_mut()
            .filter_map(|(target, ejection)| ejection.advance(now).then(|| target.clone()))
            .collect();
        for target in expired {
            self.lift(now, &target, actions);
        }
    }

    fn decide_proposals(&mut self, now: MonoTime, actions: &mut Vec<EjectionAction>) {
        let mut missing_units = 0;
        for (target, cause) in self.proposals.due(now) {
            if self.is_ejected(now, &target) {
                self.proposals.remove(&target);
            } else if self.can_bind_unit(&target) {
                self.proposals.remove(&target);
                self.eject(now, target, cause, actions);
            } else {
                missing_units += 1;
            }
        }
        if missing_units > 0 && now >= self.next_claim_at {
            self.next_claim_at = now + Duration::from_millis(CLAIM_RETRY_MS);
            actions.push(EjectionAction::ClaimUnits(missing_units));
        }
    }

    /// Returns whether a unit is left; a target whose ejection was just lifted still has its own.
    fn can_bind_unit(&self, target: &TargetId) -> bool {
        let needed = u32::from(!self.held.contains_key(target));
        self.free_units() >= self.units_to_return + needed
            && (self.active_count() as u32) < self.units - self.units_to_return
    }

    fn eject(
        &mut self,
        now: MonoTime,
        target: TargetId,
        cause: SuspicionCause,
        actions: &mut Vec<EjectionAction>,
    ) {
        let flaps = self.history.flaps(now, &target);
        self.history.record(now, &target, flaps);
        let leased_until = self
            .held
            .get(&target)
            .map_or(now, |ejection| ejection.leased_until);
        let ejection = HeldEjection::new(now, cause, flaps, leased_until);
        self.held.insert(target.clone(), ejection);
        self.schedule_announcements(now);
        actions.push(EjectionAction::Ejected { target, cause });
    }

    fn lift(&mut self, now: MonoTime, target: &TargetId, actions: &mut Vec<EjectionAction>) {
        let Some(ejection) = self.held.get_mut(target) else {
            return;
        };
        ejection.state = HeldState::Lifted;
        self.history.record(now, target, ejection.flaps);
        self.schedule_announcements(now);
        actions.push(EjectionAction::Lifted(target.clone()));
    }

    fn return_units(&mut self, now: MonoTime, actions: &mut Vec<EjectionAction>) {
        let due = self.units_to_return.min(self.free_units());
        self.units_to_return -= due;
        let mut released = due;
        let spare = self.free_units() - due;
        if spare == 0 || !self.proposals.is_empty() {
            self.units_idle_since = None;
        } else {
            let since = *self.units_idle_since.get_or_insert(now);
            if now.since(since) >= Duration::from_millis(IDLE_UNIT_RETENTION_MS) {
                self.units_idle_since = None;
                released += spare;
            }
        }
        self.units -= released;
        if released > 0 {
            actions.push(EjectionAction::ReleaseUnits(released));
        }
    }

    fn schedule_announcements(&mut self, now: MonoTime) {
        self.peers_to_notify = self.peers.iter().map(|peer| (peer.clone(), now)).collect();
    }

    fn announce(&mut self, now: MonoTime, actions: &mut Vec<EjectionAction>) {
        if self.active_count() == 0 && self.held.is_empty() {
            self.peers_to_notify.clear();
        }
        for (peer, next_at) in &mut self.peers_to_notify {
            if now >= *next_at {
                *next_at = now + Duration::from_millis(ANNOUNCE_INTERVAL_MS);
                actions.push(EjectionAction::Send {
                    to: peer.clone(),
                    message: EjectionMessage::Announce,
                });
            }
        }
    }
}
