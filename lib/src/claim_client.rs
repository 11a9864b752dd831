//! The gateway's side of claims: requests a claim from its owner before a request runs, and reports
//! the result.

use std::time::Duration;

use indexmap::IndexMap;

use crate::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimTicket, FirstClaim, RetainedAnswer,
};
use crate::ids::{Epoch, NodeId};
use crate::outcome::{Execution, Reason, Refusal};
use crate::time::MonoTime;

/// The interval at which an unanswered message is resent, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 100;

/// The time limits of a gateway's claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimTimes {
    /// The time within which the owner must answer.
    pub claim_timeout: Duration,
    /// The time from the claim request until the run must have begun. It must be far shorter than
    /// the owner's retention, so that the owner still knows the claim of every run that it granted.
    pub grant_validity: Duration,
    /// The time for which a result is resent to an owner that does not answer.
    pub report_timeout: Duration,
}

impl Default for ClaimTimes {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_secs(1),
            grant_validity: Duration::from_secs(30),
            report_timeout: Duration::from_secs(10),
        }
    }
}

/// The owner and the copy holder of a claim in one epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimAssignment {
    /// The epoch.
    pub epoch: Epoch,
    /// The owner of the request id.
    pub owner: NodeId,
    /// The node in another data centre that keeps a copy while the store is unavailable.
    pub copy_holder: Option<NodeId>,
}

/// The decision on a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The request may run, if [`ClaimClient::may_run`] still returns true directly before it is
    /// sent to a target.
    Run,
    /// The request ran before, with this answer.
    Answer(RetainedAnswer),
    /// The request must not run.
    Refuse(Refusal),
}

/// An action that the process performs for the claim client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimClientAction {
    /// Sends a message to an owner.
    Send {
        /// The owner.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// Passes a decision to the request that waits for the ticket.
    Decide {
        /// The ticket.
        ticket: ClaimTicket,
        /// The decision.
        decision: ClaimDecision,
    },
}

#[derive(Clone, Debug)]
enum TicketState {
    Claiming,
    Granted,
    Reporting(ClaimResult, MonoTime),
}

#[derive(Clone, Debug)]
struct TicketEntry {
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    assignment: ClaimAssignment,
    requested_at: MonoTime,
    sent_at: MonoTime,
    state: TicketState,
}

/// The claims that one gateway has requested.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    node: NodeId,
    times: ClaimTimes,
    next_number: u64,
    tickets: IndexMap<ClaimTicket, TicketEntry>,
}

impl ClaimClient {
    /// Makes a client without claims.
    pub fn new(node: NodeId, times: ClaimTimes) -> Self {
        Self {
            node,
            times,
            next_number: 0,
            tickets: IndexMap::new(),
        }
    }

    /// Requests the claim of a request, which must be granted before the request runs.
    pub fn claim(
        &mut self,
        now: MonoTime,
        key: ClaimKey,
        fingerprint: BodyFingerprint,
        assignment: ClaimAssignment,
    ) -> (ClaimTicket, Vec<ClaimClientAction>) {
        let ticket = ClaimTicket {
            holder: self.node.clone(),
            number: self.next_number,
        };
        self.next_number += 1;
        let entry = TicketEntry {
            key,
            fingerprint,
            assignment,
            requested_at: now,
            sent_at: now,
            state: TicketState::Claiming,
        };
        let actions = vec![entry.message(&ticket)];
        self.tickets.insert(ticket.clone(), entry);
        (ticket, actions)
    }

    /// Handles a message from an owner.
    pub fn handle(&mut self, now: MonoTime, message: ClaimMessage) -> Vec<ClaimClientAction> {
        match message {
            ClaimMessage::Granted { ticket, .. } => self.handle_granted(now, ticket),
            ClaimMessage::Duplicate { ticket, first, .. } => {
                self.handle_refused(ticket, duplicate_decision(first))
            }
            ClaimMessage::Unavailable {
                ticket, execution, ..
            } => self.handle_refused(ticket, ClaimDecision::Refuse(claim_unavailable(execution))),
            ClaimMessage::Completed { ticket } => {
                let entry = self.tickets.get(&ticket);
                if entry.is_some_and(|entry| matches!(entry.state, TicketState::Reporting(..))) {
                    self.tickets.swap_remove(&ticket);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn unanswered_entry(&mut self, ticket: &ClaimTicket) -> Option<&mut TicketEntry> {
        let entry = self.tickets.get_mut(ticket)?;
        matches!(entry.state, TicketState::Claiming).then_some(entry)
    }

    fn handle_granted(&mut self, now: MonoTime, ticket: ClaimTicket) -> Vec<ClaimClientAction> {
        let timeout = self.times.claim_timeout;
        let Some(entry) = self.unanswered_entry(&ticket) else {
            return Vec::new();
        };
        // An attempt that is granted late must not begin to run after its retry was refused.
        if now.since(entry.requested_at) >= timeout {
            return Vec::new();
        }
        entry.state = TicketState::Granted;
        let decision = ClaimDecision::Run;
        vec![ClaimClientAction::Decide { ticket, decision }]
    }

    fn handle_refused(
        &mut self,
        ticket: ClaimTicket,
        decision: ClaimDecision,
    ) -> Vec<ClaimClientAction> {
        if self.unanswered_entry(&ticket).is_none() {
            return Vec::new();
        }
        self.tickets.swap_remove(&ticket);
        vec![ClaimClientAction::Decide { ticket, decision }]
    }

    /// Returns whether a granted request may still begin to run.
    ///
    /// Call it with a fresh reading of the clock directly before the request is sent to a target: a
    /// process that was paused since the grant must not run a request whose claim the owner has
    /// dropped meanwhile.
    pub fn may_run(&self, now: MonoTime, ticket: &ClaimTicket) -> bool {
        self.tickets.get(ticket).is_some_and(|entry| {
            matches!(entry.state, TicketState::Granted)
                && now.since(entry.requested_at) < self.times.grant_validity
        })
    }

    /// Returns the number of granted requests without a result.
    pub fn granted_count(&self) -> usize {
        let states = self.tickets.values().map(|entry| &entry.state);
        states
            .filter(|state| matches!(state, TicketState::Granted))
            .count()
    }

    /// Reports the result of a granted request, or that it did not run.
    pub fn complete(
        &mut self,
        now: MonoTime,
        ticket: &ClaimTicket,
        result: ClaimResult,
    ) -> Vec<ClaimClientAction> {
        let Some(entry) = self.tickets.get_mut(ticket) else {
            return Vec::new();
        };
        entry.state = TicketState::Reporting(result, now);
        entry.sent_at = now;
        vec![entry.message(ticket)]
    }

    /// Resends unanswered messages, and gives up on those that took too long.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ClaimClientAction> {
        let interval = Duration::from_millis(RESEND_INTERVAL_MS);
        let times = &self.times;
        let mut actions = Vec::new();
        for (ticket, entry) in &mut self.tickets {
            if matches!(entry.state, TicketState::Claiming)
                && now.since(entry.requested_at) >= times.claim_timeout
            {
                // A grant that arrives from here on is not used.
                entry.state = TicketState::Reporting(ClaimResult::NotRun, now);
                actions.push(ClaimClientAction::Decide {
                    ticket: ticket.clone(),
                    decision: ClaimDecision::Refuse(claim_unavailable(Execution::Unknown)),
                });
            }
            let awaits_answer = !matches!(entry.state, TicketState::Granted);
            if awaits_answer && now.since(entry.sent_at) >= interval {
                entry.sent_at = now;
                actions.push(entry.message(ticket));
            }
        }
        self.tickets.retain(|_, entry| match &entry.state {
            TicketState::Reporting(_, since) => now.since(*since) < times.report_timeout,
            TicketState::Claiming | TicketState::Granted => true,
        });
        actions
    }
}

impl TicketEntry {
    fn message(&self, ticket: &ClaimTicket) -> ClaimClientAction {
        let (key, ticket) = (self.key.clone(), ticket.clone());
        let message = match &self.state {
            TicketState::Claiming | TicketState::Granted => ClaimMessage::Claim {
                epoch: self.assignment.epoch,
                key,
                ticket,
                fingerprint: self.fingerprint,
                copy_holder: self.assignment.copy_holder.clone(),
            },
            TicketState::Reporting(result, _) => ClaimMessage::Complete {
                key,
                ticket,
                result: result.clone(),
            },
        };
        ClaimClientAction::Send {
            to: self.assignment.owner.clone(),
            message,
        }
    }
}

fn claim_unavailable(execution: Execution) -> Refusal {
    match execution {
        Execution::NotRun => Refusal::not_run(Reason::ClaimUnavailable),
        Execution::Ran | Execution::Unknown => Refusal::unknown(Reason::ClaimUnavailable),
    }
}

fn duplicate_decision(first: FirstClaim) -> ClaimDecision {
    match first {
        FirstClaim::Answered(answer) => ClaimDecision::Answer(answer),
        FirstClaim::Busy => ClaimDecision::Refuse(Refusal::unknown(Reason::RequestIdBusy)),
        FirstClaim::Spent => ClaimDecision::Refuse(Refusal::unknown(Reason::RequestIdSpent)),
        // The content of this attempt certainly did not run.
        FirstClaim::Reused => ClaimDecision::Refuse(Refusal::not_run(Reason::RequestIdReused)),
    }
}
