//! The claims of request ids at their home, by which a non-idempotent request runs at most once.
//!
//! Every request id has one home in an epoch. The home grants an id to one sending, once the claim
//! is in the store or, while the store is out, at a second node in another data centre. A granted
//! claim never passes to another sending, so that a paused or crashed gateway costs the answer and
//! never a second run. A home that may have forgotten claims says so.
//! See [docs/design/at-most-once.md](../../docs/design/at-most-once.md).

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::claim_action::{ClaimAction, ClaimLimits};
use crate::claim_entry::{ClaimEntry, EntryState, unavailable};
use crate::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimRow, ClaimTicket, HandedClaim,
    KeptAnswer,
};
use crate::claim_takeover::{ClaimCertainty, ClaimTakeover};
use crate::ids::{DataCentreId, Epoch, NodeId};
use crate::outcome::Execution;
use crate::time::MonoTime;

/// How often a tick looks for expired claims, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// How often claims are written to a store that has come back, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 1_000;
/// How often the members that have not handed over are asked again, in milliseconds.
const HANDOVER_INTERVAL_MS: u64 = 500;

/// The claims that a node holds, as their home or as a copy holder.
#[derive(Clone, Debug)]
pub struct ClaimLog {
    pub(crate) node: NodeId,
    pub(crate) epoch: Epoch,
    pub(crate) limits: ClaimLimits,
    pub(crate) entries: IndexMap<ClaimKey, ClaimEntry>,
    pub(crate) takeover: ClaimTakeover,
    pub(crate) store_up: bool,
    pub(crate) kept: VecDeque<ClaimKey>,
    pub(crate) kept_bytes: usize,
    pub(crate) copying: VecDeque<(MonoTime, ClaimKey)>,
    pub(crate) next_expiry: MonoTime,
    pub(crate) next_flush: MonoTime,
    pub(crate) next_request: MonoTime,
}

impl ClaimLog {
    /// Makes an empty log of a node that belongs to no epoch yet.
    pub fn new(node: NodeId, limits: ClaimLimits) -> Self {
        Self {
            node,
            epoch: Epoch(0),
            limits,
            entries: IndexMap::new(),
            takeover: ClaimTakeover::default(),
            store_up: true,
            kept: VecDeque::new(),
            kept_bytes: 0,
            copying: VecDeque::new(),
            next_expiry: MonoTime::ZERO,
            next_flush: MonoTime::ZERO,
            next_request: MonoTime::ZERO,
        }
    }

    /// Returns the number of claims that are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what the log may conclude from not knowing a claim.
    pub fn certainty(&self) -> ClaimCertainty {
        self.takeover.certainty()
    }

    /// Enters an epoch, after which nothing is granted or copied under older ones.
    ///
    /// `sources` are the members of the epochs since the one that this node was in, without this
    /// node itself; a new incarnation of a VM has the old one among its sources.
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
            entry.close();
        }
        actions.extend(self.ask_missing(now));
        actions
    }

    /// Notes that a member of an earlier epoch is proven to run no longer.
    pub fn source_gone(&mut self, now: MonoTime, node: &NodeId) {
        self.takeover.source_gone(now, node);
    }

    /// Notes that the store answers again; claims that only nodes hold are then written to it.
    pub fn store_recovered(&mut self) {
        self.store_up = true;
    }

    /// Makes the handover to the node that is now the home of the claims that `belongs` picks.
    pub fn handover(&self, now: MonoTime, belongs: impl Fn(&ClaimKey) -> bool) -> ClaimMessage {
        let claims = self.entries.iter().filter(|(key, _)| belongs(key));
        let claims = claims.map(|(key, entry)| entry.hand_over(now, key));
        ClaimMessage::Handover {
            epoch: self.epoch,
            claims: claims.collect(),
            gone: self.takeover.gone(now),
            uninformed_ms: self.takeover.uninformed_ms(now),
        }
    }

    /// Takes a message from a peer or from this node itself.
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
                copy,
            } => match epoch == self.epoch {
                true => self.claim(now, key, ticket, fingerprint, copy),
                false => vec![unavailable(&key, &ticket, Execution::Unknown)],
            },
            ClaimMessage::Complete {
                key,
                ticket,
                result,
            } => self.complete(from, key, ticket, result),
            ClaimMessage::Copy { epoch, key, row } => self.copy(now, from, epoch, key, row),
            ClaimMessage::CopyAck { key, ticket } => self.copy_answered(&key, &ticket, true),
            ClaimMessage::CopyRefused { key, ticket } => self.copy_answered(&key, &ticket, false),
            ClaimMessage::HandoverRequest { epoch } if epoch == self.epoch => {
                vec![ClaimAction::HandOver { to: from.clone() }]
            }
            ClaimMessage::Handover {
                epoch,
                claims,
                gone,
                uninformed_ms,
            } if epoch == self.epoch => {
                claims.into_iter().for_each(|claim| self.merge(now, claim));
                // A sender that has not heard from this node yet counts it among the gone.
                let others = gone.into_iter().filter(|other| other.node != self.node);
                let others = others.collect();
                self.takeover.handed_over(now, from, others, uninformed_ms);
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
        copy: Option<NodeId>,
    ) -> Vec<ClaimAction> {
        if let Some(entry) = self.entries.get_mut(&key) {
            let again = entry.claim_again(now, &key, &ticket, fingerprint, &self.limits);
            if let Some(actions) = again {
                return actions;
            }
            entry.copy = copy;
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
            copy,
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
            // A claim that is still being made durable ends after that; the sender asks again.
            if entry.is_pending() {
                return Vec::new();
            }
            if matches!(entry.state, EntryState::Granted) {
                let answer = entry.end(result, self.limits.max_answer_bytes);
                self.count_kept(key, answer);
            }
        }
        vec![ClaimAction::Send {
            to: from.clone(),
            message: ClaimMessage::Completed { ticket },
        }]
    }

    fn count_kept(&mut self, key: ClaimKey, size: Option<usize>) {
        let Some(size) = size else {
            return;
        };
        self.kept.push_back(key);
        self.kept_bytes += size;
        while self.kept_bytes > self.limits.max_kept_bytes {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.kept_bytes -= entry.drop_answer();
            }
        }
    }

    fn merge(&mut self, now: MonoTime, claim: HandedClaim) {
        let since = now - Duration::from_millis(claim.age_ms);
        let size = claim.answer.as_ref().map(KeptAnswer::size);
        let state = match claim.answer {
            Some(answer) => EntryState::Done(Some(answer)),
            None => EntryState::Spent,
        };
        if let Some(held) = self.entries.get_mut(&claim.key) {
            held.in_store |= claim.in_store;
            if size.is_some() && matches!(held.state, EntryState::Spent) {
                held.state = state;
                self.count_kept(claim.key, size);
            }
            return;
        }
        let entry = ClaimEntry {
            ticket: claim.row.ticket.clone(),
            row: claim.row,
            copy: None,
            state,
            in_store: claim.in_store,
            since,
        };
        self.entries.insert(claim.key.clone(), entry);
        self.count_kept(claim.key, size);
    }

    /// Advances time bounds: copies, handovers, expiry, and the flush to a store that is back.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ClaimAction> {
        let mut actions = self.end_copies(now);
        if now >= self.next_request {
            actions.extend(self.ask_missing(now));
        }
        if now >= self.next_expiry {
            self.next_expiry = now + Duration::from_millis(EXPIRY_INTERVAL_MS);
            actions.extend(self.expire(now));
        }
        if self.store_up && now >= self.next_flush {
            self.next_flush = now + Duration::from_millis(FLUSH_INTERVAL_MS);
            actions.extend(self.flush());
        }
        actions
    }

    fn ask_missing(&mut self, now: MonoTime) -> Vec<ClaimAction> {
        self.next_request = now + Duration::from_millis(HANDOVER_INTERVAL_MS);
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
            let lives = now.since(entry.since) < retention;
            if !lives {
                freed += entry.drop_answer();
                if entry.in_store {
                    actions.push(ClaimAction::ForgetRow {
                        key: key.clone(),
                        ticket: entry.row.ticket.clone(),
                    });
                }
            }
            lives
        });
        self.kept_bytes -= freed;
        let entries = &self.entries;
        self.kept.retain(|key| entries.contains_key(key));
        actions
    }
}
