//! Checks of a soak that nodes do what targets say of themselves in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::soak_records::{SeenEnd, SentRequest, SoakBreach};

/// How long after a node has passed on that a target leaves, requests may still be sent to that target,
/// as the platform states it.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// How long after a target has asked a node for rest its requests do not count, and how many later ones are
/// tolerated, as the platform states it.
const REST_MARGIN: Duration = Duration::from_millis(500);
const REST_TOLERATED: usize = 2;

/// What a target says of itself in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SaidNotice {
    /// It leaves.
    Leaving,
    /// It wants no requests of the node for some time.
    Rest(Duration),
}

/// A request that reached the target which it names.
#[derive(Clone, Debug)]
pub struct ReceptionRecord {
    /// The request's id.
    pub request: String,
    /// The target.
    pub target: String,
    /// The number of the target's start.
    pub start: u64,
    /// When it arrived.
    pub at: Instant,
}

/// The requests that targets received, and what they said of themselves in the answers.
#[derive(Debug, Default)]
pub struct NoticeBook {
    receptions: Vec<ReceptionRecord>,
    /// The indices of the receptions whose answers said something.
    said: Vec<(usize, SaidNotice)>,
}

/// What the checks need to know of the rest of a soak.
pub struct NoticeContext<'a> {
    /// The requests as their callers recorded them.
    pub sent: &'a HashMap<String, SentRequest>,
    /// Returns whether a node had a fault or started between two times.
    pub had_fault: &'a dyn Fn(usize, Instant, Instant) -> bool,
    /// Returns whether any node was cut off between two times, so that others sent its requests.
    pub had_cut: &'a dyn Fn(Instant, Instant) -> bool,
}

impl NoticeBook {
    /// Records that a request reached the target which it names, and what the answer will say.
    pub fn record(&mut self, reception: ReceptionRecord, said: Option<SaidNotice>) {
        let index = self.receptions.len();
        self.receptions.push(reception);
        self.said.extend(said.map(|said| (index, said)));
    }

    /// Returns the number of answers that said something.
    pub fn said_count(&self) -> usize {
        self.said.len()
    }

    /// Checks what nodes sent to targets after these had said something of themselves.
    pub fn check(&self, context: &NoticeContext<'_>, breaches: &mut Vec<SoakBreach>) {
        for (index, said) in &self.said {
            let told = &self.receptions[*index];
            let Some(request) = context.sent.get(&told.request) else {
                continue;
            };
            let Some((SeenEnd::Answer { status, .. }, passed_on_at)) = &request.end else {
                continue;
            };
            // A booking whose answer was lost on the way to the node is not sent again, so that one with an answer
            // shows that the node got the target's.
            if !request.once {
                continue;
            }
            let later = self.receptions.iter().filter(|later| {
                let sender = context.sent.get(&later.request);
                later.target == told.target
                    && later.start == told.start
                    && sender.is_some_and(|sender| sender.node == request.node)
            });
            match said {
                SaidNotice::Leaving if *status == 200 => {
                    let bound = *passed_on_at + LEAVING_BOUND;
                    let mut late = later.filter(|later| {
                        context.sent[&later.request].sent_at > bound
                            && !(context.had_fault)(request.node, told.at, later.at)
                            && !(context.had_cut)(told.at, later.at)
                    });
                    if let Some(late) = late.next() {
                        breaches.push(SoakBreach {
                            promise: "a node sends nothing to a target that it has heard leaves",
                            seen: format!(
                                "node {}: {late:?}, {:?} after an answer",
                                request.node,
                                late.at - *passed_on_at
                            ),
                        });
                        return;
                    }
                }
                SaidNotice::Rest(rest) if matches!(*status, 200 | 503) => {
                    let until = told.at + *rest;
                    let counted = later
                        .filter(|later| later.at > told.at + REST_MARGIN && later.at < until)
                        .count();
                    let is_exempt = (context.had_fault)(request.node, told.at, until)
                        || (context.had_cut)(told.at, until);
                    if counted > REST_TOLERATED && !is_exempt {
                        breaches.push(SoakBreach {
                            promise: "a node sends nothing to a target that has asked it for rest",
                            seen: format!(
                                "node {}: {counted} requests reached {} in its rest",
                                request.node, told.target
                            ),
                        });
                        return;
                    }
                }
                SaidNotice::Leaving | SaidNotice::Rest(_) => {}
            }
        }
    }
}
