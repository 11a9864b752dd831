//! The owner's side of claims on request ids, by which a non-idempotent request runs at most once.
//!
//! Every request id has one owner in an epoch. The owner grants the id to one attempt, once the
//! claim is in the store or, while the store is unavailable, at a second node in another data
//! centre. A granted claim never passes to another attempt, so that a paused or crashed gateway may
//! lose the answer but never causes a second run. An owner that may have lost claims answers that an
//! earlier attempt may have run. See
//! [docs/design/at-most-once.md](../../docs/design/at-most-once.md).

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::claim_action::{ClaimAction, ClaimLimits};
use crate::claim_entry::{ClaimEntry, EntryState, unavailable};
use crate::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimRow, ClaimTicket, RetainedAnswer,
    TransferredClaim,
};
use crate::claim_takeover::{ClaimCertainty, ClaimTakeover};
use crate::ids::{DataCentreId, Epoch, NodeId};
use crate::outcome::Execution;
use crate::time::MonoTime;

/// The interval at which expired claims are removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// The interval at which claims are written to a store that has recovered, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 1_000;
/// The interval at which missing handovers are requested again, in milliseconds.
const HANDOVER_INTERVAL_MS: u64 = 500;

/// The claims that a node holds, as their owner or as a copy holder.
#[derive(Clone, Debug)]
pub struct ClaimLog {
    pub(crate) node: NodeId,
    pub(crate) epoch: Epoch,
    pub(crate) limits: ClaimLimits,
    pub(crate) entries: IndexMap<ClaimKey, ClaimEntry>,
    pub(crate) takeover: ClaimTakeover,
    pub(crate) is_store_available: bool,
    pub(crate) retained: VecDeque<ClaimKey>,
    pub(crate) retained_bytes: usize,
    pub(crate) pending_copies: VecDeque<(MonoTime, ClaimKey)>,
    pub(crate) next_expiry: MonoTime,
    pub(crate) next_flush: MonoTime,
    pub(crate) next_handover_request: MonoTime,
}

impl ClaimLog {
    /// Makes an empty log for a node that belongs to no epoch yet.
    pub fn new(node: NodeId, limits: ClaimLimits) -> Self {
        Self {
            node,
            epoch: Epoch(0),
            limits,
            entries: IndexMap::new(),
            takeover: ClaimTakeover::default(),
            is_store_available: true,
            retained: VecDeque::new(),
            retained_bytes: 0,
            pending_copies: VecDeque::new(),
            next_expiry: MonoTime::ZERO,
            next_flush: MonoTime::ZERO,
            next_handover_request: MonoTime::ZERO,
        }
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what the log may conclude from the absence of a claim.
    pub fn certainty(&self) -> ClaimCertainty {
        self.takeover.certainty()
    }

    /// Enters an epoch, after which nothing is granted or copied for older ones.
    ///
    /// `sources` are the members of all epochs since this node's previous one, without this node
    /// itself. The sources of a new incarnation of a VM include the old incarnation.
    pub fn enter_epoch(
        &mut self,
        now: MonoTime,
        epoch: Epoch,
        sources: impl IntoIterator<Item = (NodeId, DataCentreId)>,
    ) -> Vec<ClaimAction> {
        if epoch <= self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        self.takeover.begin(now, sources);
        let mut actions = Vec::new();
        for (key, entry) in &mut self.entries {
            if entry.is_pending() {
                actions.push(unavailable(key, &entry.ticket, Execution::Unknown));
            }
            entry.close_open();
        }
        actions.extend(self.request_missing_handovers(now));
        actions
    }

    /// Records that a member of an earlier epoch has certainly stopped.
    pub fn source_lost(&mut self, now: MonoTime, node: &NodeId) {
        self.takeover.source_lost(now, node);
    }

    /// Records that the store answers again, so that claims which only nodes hold are written to
    /// it.
    pub fn store_recovered(&mut self) {
        self.is_store_available = true;
    }

    /// Makes the handover to the node that now owns the claims that `belongs` selects.
    pub fn handover(&self, now: MonoTime, belongs: impl Fn(&ClaimKey) -> bool) -> ClaimMessage {
        let claims = self.entries.iter().filter(|(key, _)| belongs(key));
        let claims = claims.map(|(key, entry)| entry.to_transferred(now, key));
        ClaimMessage::Handover {
            epoch: self.epoch,
            claims: claims.collect(),
            lost: self.takeover.lost(now),
            losses_unknown_ms: self.takeover.losses_unknown_ms(now),
        }
    }

    /// Handles a message from a peer or from this node itself.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: ClaimMessage,
    ) -> Vec<ClaimAction> {
        match message {
            ClaimMessage::Claim {
                epoch,
                key,
                ticket,
                fingerprint,
                copy_holder,
            } => match epoch == self.epoch {
                true => self.claim(now, key, ticket, fingerprint, copy_holder),
                false => vec![unavailable(&key, &ticket, Execution::Unknown)],
            },
            ClaimMessage::Complete {
                key,
                ticket,
                result,
            } => self.complete(from, key, ticket, result),
            ClaimMessage::Copy { epoch, key, row } => self.copy(now, from, epoch, key, row),
            ClaimMessage::CopyAck { key, ticket } => self.handle_copy_answer(&key, &ticket, true),
            ClaimMessage::CopyRefused { key, ticket } => {
                self.handle_copy_answer(&key, &ticket, false)
            }
            ClaimMessage::HandoverRequest { epoch } if epoch == self.epoch => {
                vec![ClaimAction::SendHandover { to: from.clone() }]
            }
            ClaimMessage::Handover {
                epoch,
                claims,
                lost,
                losses_unknown_ms,
            } if epoch == self.epoch => {
                claims.into_iter().for_each(|claim| self.merge(now, claim));
                // A sender that has no handover from this node yet lists it as lost.
                let others = lost.into_iter().filter(|other| other.node != self.node);
                let others = others.collect();
                self.takeover
                    .record_handover(now, from, others, losses_unknown_ms);
                Vec::new()
            }
            ClaimMessage::HandoverRequest { .. }
            | ClaimMessage::Handover { .. }
            | ClaimMessage::Granted { .. }
            | ClaimMessage::Duplicate { .. }
            | ClaimMessage::Unavailable { .. }
            | ClaimMessage::Completed { .. } => Vec::new(),
        }
    }

    fn claim(
        &mut self,
        now: MonoTime,
        key: ClaimKey,
        ticket: ClaimTicket,
        fingerprint: BodyFingerprint,
        copy_holder: Option<NodeId>,
    ) -> Vec<ClaimAction> {
        if let Some(entry) = self.entries.get_mut(&key) {
            let again = entry.claim_existing(now, &key, &ticket, fingerprint, &self.limits);
            if let Some(actions) = again {
                return actions;
            }
            entry.copy_holder = copy_holder;
            return self.store_claim(now, &key);
        }
        let execution = self.execution_if_absent();
        let is_full = self.entries.len() >= self.limits.max_claims;
        if is_full || self.certainty() == ClaimCertainty::Uncertain {
            return vec![unavailable(&key, &ticket, execution)];
        }
        let entry = ClaimEntry {
            row: ClaimRow {
                ticket: ticket.clone(),
                fingerprint,
            },
            ticket,
            copy_holder,
            state: EntryState::Failed,
            in_store: false,
            since: now,
        };
        self.entries.insert(key.clone(), entry);
        self.store_claim(now, &key)
    }

    fn complete(
        &mut self,
        from: &NodeId,
        key: ClaimKey,
        ticket: ClaimTicket,
        result: ClaimResult,
    ) -> Vec<ClaimAction> {
        let entry = self.entries.get_mut(&key);
        if let Some(entry) = entry.filter(|entry| entry.ticket == ticket) {
            // A result cannot be recorded before the claim is durable; the sender resends it.
            if entry.is_pending() {
                return Vec::new();
            }
            if matches!(entry.state, EntryState::Granted) {
                let answer = entry.record_result(result, self.limits.max_answer_bytes);
                self.record_retained(key, answer);
            }
        }
        vec![ClaimAction::Send {
            to: from.clone(),
            message: ClaimMessage::Completed { ticket },
        }]
    }

    fn record_retained(&mut self, key: ClaimKey, size: Option<usize>) {
        let Some(size) = size else {
            return;
        };
        self.retained.push_back(key);
        self.retained_bytes += size;
        while self.retained_bytes > self.limits.max_retained_bytes {
            let Some(oldest) = self.retained.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.retained_bytes -= entry.drop_answer();
            }
        }
    }

    fn merge(&mut self, now: MonoTime, claim: TransferredClaim) {
        let since = now - Duration::from_millis(claim.age_ms);
        let size = claim.answer.as_ref().map(RetainedAnswer::size);
        let state = match claim.answer {
            Some(answer) => EntryState::Done(Some(answer)),
            None => EntryState::Spent,
        };
        if let Some(held) = self.entries.get_mut(&claim.key) {
            held.in_store |= claim.in_store;
            if size.is_some() && matches!(held.state, EntryState::Spent) {
                held.state = state;
                self.record_retained(claim.key, size);
            }
            return;
        }
        let entry = ClaimEntry {
            ticket: claim.row.ticket.clone(),
            row: claim.row,
            copy_holder: None,
            state,
            in_store: claim.in_store,
            since,
        };
        self.entries.insert(claim.key.clone(), entry);
        self.record_retained(claim.key, size);
    }

    /// Performs what is due: copy timeouts, handover requests, expiry, and writes to a store that
    /// has recovered.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ClaimAction> {
        let mut actions = self.expire_copies(now);
        if now >= self.next_handover_request {
            actions.extend(self.request_missing_handovers(now));
        }
        if now >= self.next_expiry {
            self.next_expiry = now + Duration::from_millis(EXPIRY_INTERVAL_MS);
            actions.extend(self.expire(now));
        }
        if self.is_store_available && now >= self.next_flush {
            self.next_flush = now + Duration::from_millis(FLUSH_INTERVAL_MS);
            actions.extend(self.flush());
        }
        actions
    }

    fn request_missing_handovers(&mut self, now: MonoTime) -> Vec<ClaimAction> {
        self.next_handover_request = now + Duration::from_millis(HANDOVER_INTERVAL_MS);
        let missing = self.takeover.missing().filter(|node| **node != self.node);
        let requests = missing.map(|to| ClaimAction::Send {
            to: to.clone(),
            message: ClaimMessage::HandoverRequest { epoch: self.epoch },
        });
        requests.collect()
    }

    fn expire(&mut self, now: MonoTime) -> Vec<ClaimAction> {
        let retention = self.limits.retention;
        self.takeover.expire(now, retention);
        let mut actions = Vec::new();
        let mut freed = 0;
        self.entries.retain(|key, entry| {
            let is_retained = now.since(entry.since) < retention;
            if !is_retained {
                freed += entry.drop_answer();
                if entry.in_store {
                    actions.push(ClaimAction::DeleteRow {
                        key: key.clone(),
                        ticket: entry.row.ticket.clone(),
                    });
                }
            }
            is_retained
        });
        self.retained_bytes -= freed;
        let entries = &self.entries;
        self.retained.retain(|key| entries.contains_key(key));
        actions
    }
}
