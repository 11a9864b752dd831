//! One claim of a claim log, and the answers to further attempts that follow from its state.

use crate::claim_action::{ClaimAction, ClaimLimits};
use crate::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimRow, ClaimTicket, FirstClaim,
    RetainedAnswer, TransferredClaim,
};
use crate::ids::NodeId;
use crate::outcome::Execution;
use crate::time::MonoTime;

#[derive(Clone, Debug)]
pub(crate) enum EntryState {
    /// The row is being written or read.
    Storing,
    /// The copy holder must answer before this time.
    Copying(MonoTime),
    /// No durable record was made, and no attempt was granted.
    Failed,
    /// An attempt was granted.
    Granted,
    /// The attempt that was granted certainly did not run.
    Released,
    /// The target answered; the answer may be retained.
    Done(Option<RetainedAnswer>),
    /// Another node or the store recorded the claim, or its run ended without an answer.
    Spent,
}

#[derive(Clone, Debug)]
pub(crate) struct ClaimEntry {
    pub ticket: ClaimTicket,
    pub row: ClaimRow,
    pub copy_holder: Option<NodeId>,
    pub state: EntryState,
    pub in_store: bool,
    pub since: MonoTime,
}

impl ClaimEntry {
    pub fn is_pending(&self) -> bool {
        matches!(self.state, EntryState::Storing | EntryState::Copying(_))
    }

    /// Spends a claim that is still open, since an owner of a later epoch may have granted the id.
    pub fn close_open(&mut self) {
        let is_open = matches!(self.state, EntryState::Failed | EntryState::Released);
        if is_open || self.is_pending() {
            self.state = EntryState::Spent;
        }
    }

    pub fn needs_flush(&self) -> bool {
        !self.in_store && !self.is_pending() && !matches!(self.state, EntryState::Failed)
    }

    /// Answers a further claim of the id; `None` means that it must be made durable like a new one.
    pub fn claim_existing(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        ticket: &ClaimTicket,
        fingerprint: BodyFingerprint,
        limits: &ClaimLimits,
    ) -> Option<Vec<ClaimAction>> {
        let is_same = self.ticket == *ticket;
        // A record that expires soon must not cover a new run.
        let is_young = now.since(self.since) < limits.retention / 2;
        match &self.state {
            EntryState::Granted if is_same => return Some(self.grant(key)),
            EntryState::Storing | EntryState::Copying(_) if is_same => return Some(Vec::new()),
            _ if self.row.fingerprint != fingerprint => {
                return Some(vec![duplicate(key, ticket, FirstClaim::Reused)]);
            }
            // The claim was resent before its refusal arrived, and its holder has given it up by now.
            EntryState::Failed if is_same => {
                return Some(vec![unavailable(key, ticket, Execution::Unknown)]);
            }
            EntryState::Failed if is_young => {
                self.ticket = ticket.clone();
                return None;
            }
            // The durable record of the first attempt covers this one as well.
            EntryState::Released if !is_same && is_young => {
                self.ticket = ticket.clone();
                return Some(self.grant(key));
            }
            _ => {}
        }
        let first = match &self.state {
            EntryState::Done(Some(answer)) => FirstClaim::Answered(answer.clone()),
            EntryState::Granted | EntryState::Storing | EntryState::Copying(_)
                if now.since(self.since) < limits.in_flight_timeout =>
            {
                FirstClaim::Busy
            }
            _ => FirstClaim::Spent,
        };
        Some(vec![duplicate(key, ticket, first)])
    }

    pub fn grant(&mut self, key: &ClaimKey) -> Vec<ClaimAction> {
        self.state = EntryState::Granted;
        let message = ClaimMessage::Granted {
            key: key.clone(),
            ticket: self.ticket.clone(),
        };
        vec![send_to_holder(&self.ticket, message)]
    }

    pub fn grant_stored(&mut self, key: &ClaimKey) -> Vec<ClaimAction> {
        self.in_store = true;
        self.grant(key)
    }

    /// Records the result and returns the size of the retained answer in bytes, if there is one.
    pub fn record_result(&mut self, result: ClaimResult, max_answer_bytes: usize) -> Option<usize> {
        self.state = match result {
            ClaimResult::Answered(answer) => {
                let size = answer.size();
                EntryState::Done((size <= max_answer_bytes).then_some(answer))
            }
            ClaimResult::Unknown => EntryState::Spent,
            ClaimResult::NotRun => EntryState::Released,
        };
        match &self.state {
            EntryState::Done(Some(answer)) => Some(answer.size()),
            _ => None,
        }
    }

    pub fn drop_answer(&mut self) -> usize {
        match &mut self.state {
            EntryState::Done(answer) => answer.take().map_or(0, |answer| answer.size()),
            _ => 0,
        }
    }

    pub fn to_transferred(&self, now: MonoTime, key: &ClaimKey) -> TransferredClaim {
        TransferredClaim {
            key: key.clone(),
            row: self.row.clone(),
            in_store: self.in_store,
            answer: match &self.state {
                EntryState::Done(answer) => answer.clone(),
                _ => None,
            },
            age_ms: now.since(self.since).as_millis() as u64,
        }
    }
}

pub(crate) fn write_row(key: &ClaimKey, entry: &ClaimEntry) -> ClaimAction {
    ClaimAction::WriteRow {
        key: key.clone(),
        row: entry.row.clone(),
    }
}

pub(crate) fn send_to_holder(ticket: &ClaimTicket, message: ClaimMessage) -> ClaimAction {
    ClaimAction::Send {
        to: ticket.holder.clone(),
        message,
    }
}

pub(crate) fn unavailable(
    key: &ClaimKey,
    ticket: &ClaimTicket,
    execution: Execution,
) -> ClaimAction {
    let message = ClaimMessage::Unavailable {
        key: key.clone(),
        ticket: ticket.clone(),
        execution,
    };
    send_to_holder(ticket, message)
}

pub(crate) fn duplicate(key: &ClaimKey, ticket: &ClaimTicket, first: FirstClaim) -> ClaimAction {
    let message = ClaimMessage::Duplicate {
        key: key.clone(),
        ticket: ticket.clone(),
        first,
    };
    send_to_holder(ticket, message)
}
