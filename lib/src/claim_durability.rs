//! Makes a claim durable before its request may run: as a row in the store or, while the store is
//! unavailable, as a copy at a node in another data centre.

use crate::claim_action::{ClaimAction, RowRead, RowWrite};
use crate::claim_entry::{ClaimEntry, EntryState, duplicate, unavailable, write_row};
use crate::claim_log::ClaimLog;
use crate::claim_message::{ClaimKey, ClaimMessage, ClaimRow, ClaimTicket, FirstClaim};
use crate::claim_takeover::ClaimCertainty;
use crate::ids::{Epoch, NodeId};
use crate::outcome::Execution;
use crate::time::MonoTime;

impl ClaimLog {
    /// Returns whether a request without a claim may have run.
    pub(crate) fn execution_if_absent(&self) -> Execution {
        match self.certainty() {
            ClaimCertainty::Known => Execution::NotRun,
            ClaimCertainty::KnownWithStore | ClaimCertainty::Uncertain => Execution::Unknown,
        }
    }

    pub(crate) fn store_claim(&mut self, now: MonoTime, key: &ClaimKey) -> Vec<ClaimAction> {
        if !self.is_store_available {
            return self.copy_claim(now, key);
        }
        let entry = self.entries.get_mut(key).expect("the claim is in the log");
        entry.state = EntryState::Storing;
        vec![write_row(key, entry)]
    }

    /// Makes a claim durable by a copy at a second node.
    ///
    /// It fails unless the absence of a claim is certain without the store, since the copy holder
    /// does not know the claims that only the store has.
    fn copy_claim(&mut self, now: MonoTime, key: &ClaimKey) -> Vec<ClaimAction> {
        let is_certain = self.certainty() == ClaimCertainty::Known;
        let execution = self.execution_if_absent();
        let entry = self.entries.get_mut(key).expect("the claim is in the log");
        let Some(to) = entry.copy_holder.clone().filter(|_| is_certain) else {
            entry.state = EntryState::Failed;
            return vec![unavailable(key, &entry.ticket, execution)];
        };
        let limit = now + self.limits.copy_timeout;
        entry.state = EntryState::Copying(limit);
        self.pending_copies.push_back((limit, key.clone()));
        let message = ClaimMessage::Copy {
            epoch: self.epoch,
            key: key.clone(),
            row: entry.row.clone(),
        };
        vec![ClaimAction::Send { to, message }]
    }

    /// Handles the outcome of [`ClaimAction::WriteRow`].
    pub fn row_written(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        outcome: RowWrite,
    ) -> Vec<ClaimAction> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let is_storing = matches!(entry.state, EntryState::Storing);
        match outcome {
            RowWrite::Committed if is_storing => entry.grant_stored(key),
            RowWrite::Conflict | RowWrite::AnswerLost if is_storing => {
                vec![ClaimAction::ReadRow { key: key.clone() }]
            }
            // After a flush the id is taken in the store, whichever node wrote its row.
            RowWrite::Committed | RowWrite::Conflict => {
                entry.in_store = true;
                Vec::new()
            }
            RowWrite::Unavailable | RowWrite::AnswerLost => {
                self.is_store_available = false;
                match is_storing {
                    true => self.copy_claim(now, key),
                    false => Vec::new(),
                }
            }
        }
    }

    /// Handles the outcome of [`ClaimAction::ReadRow`].
    pub fn row_read(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        outcome: RowRead,
    ) -> Vec<ClaimAction> {
        let entry = self.entries.get_mut(key);
        let Some(entry) = entry.filter(|entry| matches!(entry.state, EntryState::Storing)) else {
            return Vec::new();
        };
        match outcome {
            RowRead::Found(row) if row.ticket == entry.row.ticket => entry.grant_stored(key),
            RowRead::Found(row) => {
                let claimed = entry.row.fingerprint;
                entry.row = row;
                entry.in_store = true;
                entry.state = EntryState::Spent;
                let first = match entry.row.fingerprint == claimed {
                    true => FirstClaim::Spent,
                    false => FirstClaim::Reused,
                };
                vec![duplicate(key, &entry.ticket, first)]
            }
            RowRead::Absent => vec![write_row(key, entry)],
            RowRead::Failed => {
                self.is_store_available = false;
                self.copy_claim(now, key)
            }
        }
    }

    pub(crate) fn copy(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        epoch: Epoch,
        key: ClaimKey,
        row: ClaimRow,
    ) -> Vec<ClaimAction> {
        let ticket = row.ticket.clone();
        let is_full = self.entries.len() >= self.limits.max_claims;
        let held = self.entries.get(&key);
        let is_accepted = match held {
            _ if epoch != self.epoch => false,
            Some(held) => held.row.ticket == ticket,
            None => !is_full,
        };
        let message = match is_accepted {
            true => ClaimMessage::CopyAck {
                key: key.clone(),
                ticket: ticket.clone(),
            },
            false => ClaimMessage::CopyRefused {
                key: key.clone(),
                ticket: ticket.clone(),
            },
        };
        if is_accepted {
            self.entries.entry(key).or_insert_with(|| ClaimEntry {
                ticket,
                row,
                copy_holder: None,
                state: EntryState::Spent,
                in_store: false,
                since: now,
            });
        }
        vec![ClaimAction::Send {
            to: from.clone(),
            message,
        }]
    }

    pub(crate) fn handle_copy_answer(
        &mut self,
        key: &ClaimKey,
        ticket: &ClaimTicket,
        retained: bool,
    ) -> Vec<ClaimAction> {
        let entry = self.entries.get_mut(key);
        let is_copying = |entry: &&mut ClaimEntry| {
            entry.row.ticket == *ticket && matches!(entry.state, EntryState::Copying(_))
        };
        let Some(entry) = entry.filter(is_copying) else {
            return Vec::new();
        };
        match retained {
            true => entry.grant(key),
            false => {
                entry.state = EntryState::Failed;
                vec![unavailable(key, &entry.ticket, Execution::Unknown)]
            }
        }
    }

    pub(crate) fn expire_copies(&mut self, now: MonoTime) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        while let Some((limit, key)) = self.pending_copies.pop_front() {
            if limit > now {
                self.pending_copies.push_front((limit, key));
                break;
            }
            let entry = self.entries.get_mut(&key);
            let is_late = |entry: &&mut ClaimEntry| matches!(entry.state, EntryState::Copying(at) if at == limit);
            if let Some(entry) = entry.filter(is_late) {
                entry.state = EntryState::Failed;
                actions.push(unavailable(&key, &entry.ticket, Execution::NotRun));
            }
        }
        actions
    }

    pub(crate) fn flush(&self) -> Vec<ClaimAction> {
        let held = self.entries.iter().filter(|(_, entry)| entry.needs_flush());
        let writes = held.map(|(key, entry)| write_row(key, entry));
        writes.take(self.limits.flush_batch).collect()
    }
}
