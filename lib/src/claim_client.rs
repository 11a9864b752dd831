//! The gateway's side of claims: asks the home before a request runs, and reports how it ended.

use std::time::Duration;

use indexmap::IndexMap;

use crate::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimTicket, FirstClaim, RetainedAnswer,
};
use crate::ids::{Epoch, NodeId};
use crate::outcome::{Execution, Reason, Refusal};
use crate::time::MonoTime;

/// How often an unanswered message is sent again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 100;

/// The time bounds of a gateway's claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimTimes {
    /// The time within which the home must answer.
    pub claim_timeout: Duration,
    /// The time from asking until the run must have begun. It has to be far shorter than the
    /// home's retention, which then outlives every run that a grant allows.
    pub grant_validity: Duration,
    /// The time for which the end of a run is reported to a home that does not answer.
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

/// Where a claim is asked for, by the assignment of one epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimAssignment {
    /// The epoch.
    pub epoch: Epoch,
    /// The home of the request id.
    pub owner: NodeId,
    /// The node of another data centre that keeps the copy.
    pub copy_holder: Option<NodeId>,
}

/// Whether a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// It may, if [`ClaimClient::may_run`] still holds directly before it is sent to a target.
    Run,
    /// It ran before with this answer.
    Answer(RetainedAnswer),
    /// It must not.
    Refuse(Refusal),
}

/// What a claim client wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimClientAction {
    /// Send a message to a home.
    Send {
        /// The home.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// Tell the request that waits for the ticket.
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

/// The claims that one gateway has asked for.
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

    /// Asks for leave to run a request.
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

    /// Takes a message from a home.
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
        // A sending that is decided late must not begin to run after its resend was refused.
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
    /// process that was paused since the grant must not run what the home has forgotten meanwhile.
    pub fn may_run(&self, now: MonoTime, ticket: &ClaimTicket) -> bool {
        self.tickets.get(ticket).is_some_and(|entry| {
            matches!(entry.state, TicketState::Granted)
                && now.since(entry.requested_at) < self.times.grant_validity
        })
    }

    /// Returns the number of requests that were granted and have not ended.
    pub fn granted_count(&self) -> usize {
        let states = self.tickets.values().map(|entry| &entry.state);
        states
            .filter(|state| matches!(state, TicketState::Granted))
            .count()
    }

    /// Reports how the run that a claim allowed has ended, and whether it ran at all.
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

    /// Sends unanswered messages again and gives up what took too long.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ClaimClientAction> {
        let interval = Duration::from_millis(RESEND_INTERVAL_MS);
        let times = &self.times;
        let mut actions = Vec::new();
        for (ticket, entry) in &mut self.tickets {
            if matches!(entry.state, TicketState::Claiming)
                && now.since(entry.requested_at) >= times.claim_timeout
            {
                // Whatever the home grants from here on is not used.
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
        // The content that came with this sending certainly did not run.
        FirstClaim::Reused => ClaimDecision::Refuse(Refusal::not_run(Reason::RequestIdReused)),
    }
}
