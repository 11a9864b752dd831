//! Scenario commands for requests that run at most once: one claim log and its store.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

use damaskloom_lib::claim_action::{ClaimAction, ClaimLimits, RowRead, RowWrite};
use damaskloom_lib::claim_log::ClaimLog;
use damaskloom_lib::claim_message::{
    ClaimKey, ClaimMessage, ClaimResult, ClaimRow, ClaimTicket, FirstClaim, RetainedAnswer,
};
use damaskloom_lib::ids::{Epoch, NodeId};
use damaskloom_lib::outcome::Execution;
use damaskloom_lib::time::MonoTime;
use goldenscript::{Command, Context, Runner};

use crate::claim_fleet::{fingerprint, key, node};
use crate::scenario_words::{SceneResult, index, millis, unknown, value, word};

/// How the store answers the next calls.
#[derive(Clone, Copy, PartialEq)]
enum Store {
    Up,
    Unavailable,
    /// Writes take effect, but their answers are lost.
    AnswersLost,
}

pub struct ClaimScene {
    log: ClaimLog,
    rows: BTreeMap<ClaimKey, ClaimRow>,
    store: Store,
    now: MonoTime,
}

impl Default for ClaimScene {
    fn default() -> Self {
        let now = MonoTime::from_millis(1_000_000);
        let mut log = ClaimLog::new(node(0, 0), ClaimLimits::default());
        log.enter_epoch(now, Epoch(1), []);
        Self {
            log,
            rows: BTreeMap::new(),
            store: Store::Up,
            now,
        }
    }
}

impl ClaimScene {
    /// Performs the log's actions until there are none, and describes the messages to gateways.
    fn perform(&mut self, mut actions: Vec<ClaimAction>) -> String {
        let mut output = String::new();
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    ClaimAction::Send { to, message } => output += &describe(&to, &message),
                    ClaimAction::WriteRow { key, row } => {
                        let outcome = self.write(&key, row);
                        next.extend(self.log.row_written(self.now, &key, outcome));
                    }
                    ClaimAction::ReadRow { key } => {
                        let outcome = match (self.store, self.rows.get(&key)) {
                            (Store::Unavailable, _) => RowRead::Failed,
                            (_, Some(row)) => RowRead::Found(row.clone()),
                            (_, None) => RowRead::Absent,
                        };
                        next.extend(self.log.row_read(self.now, &key, outcome));
                    }
                    ClaimAction::DeleteRow { key, ticket } => {
                        self.rows
                            .retain(|held, row| *held != key || row.ticket != ticket);
                    }
                    ClaimAction::SendHandover { .. } => {}
                }
            }
            actions = next;
        }
        output
    }

    fn write(&mut self, key: &ClaimKey, row: ClaimRow) -> RowWrite {
        if self.store == Store::Unavailable {
            return RowWrite::Unavailable;
        }
        let is_taken = self.rows.contains_key(key);
        self.rows.entry(key.clone()).or_insert(row);
        match (self.store, is_taken) {
            (Store::AnswersLost, _) => RowWrite::AnswerLost,
            (_, true) => RowWrite::Conflict,
            (_, false) => RowWrite::Committed,
        }
    }

    /// Requests the claim of a booking for a gateway.
    fn book(&mut self, command: &Command) -> SceneResult<String> {
        let from = node(index(word(command, 0)?)?, 0);
        let message = ClaimMessage::Claim {
            epoch: Epoch(1),
            key: key(index(word(command, 1)?)?),
            ticket: ticket(&from, command)?,
            fingerprint: fingerprint(value(command, "body").unwrap_or("0").parse()?),
            copy_holder: None,
        };
        let actions = self.log.handle(self.now, &from, message);
        Ok(self.perform(actions))
    }

    /// Reports the result of a granted booking.
    fn complete(&mut self, command: &Command) -> SceneResult<String> {
        let from = node(index(word(command, 0)?)?, 0);
        let result = match word(command, 2)? {
            "answered" => ClaimResult::Answered(RetainedAnswer {
                status: 201,
                headers: Vec::new(),
                body: "booked".into(),
            }),
            "not-run" => ClaimResult::NotRun,
            _ => ClaimResult::Unknown,
        };
        let message = ClaimMessage::Complete {
            key: key(index(word(command, 1)?)?),
            ticket: ticket(&from, command)?,
            result,
        };
        let actions = self.log.handle(self.now, &from, message);
        Ok(self.perform(actions))
    }
}

impl Runner for ClaimScene {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "book" => self.book(command),
            "done" => self.complete(command),
            "run" => {
                self.now = self.now + Duration::from_millis(millis(word(command, 0)?)?);
                let actions = self.log.tick(self.now);
                Ok(self.perform(actions))
            }
            "store" => {
                self.store = match word(command, 0)? {
                    "up" => Store::Up,
                    "out" => Store::Unavailable,
                    "answers-lost" => Store::AnswersLost,
                    other => return Err(format!("unknown state {other}").into()),
                };
                if self.store == Store::Up {
                    self.log.store_recovered();
                }
                Ok(String::new())
            }
            _ => unknown(command),
        }
    }
}

fn ticket(holder: &NodeId, command: &Command) -> SceneResult<ClaimTicket> {
    Ok(ClaimTicket {
        holder: holder.clone(),
        number: value(command, "try")?.parse()?,
    })
}

/// Describes a message to a gateway.
fn describe(to: &NodeId, message: &ClaimMessage) -> String {
    let text = match message {
        ClaimMessage::Granted { .. } => "may run".to_owned(),
        ClaimMessage::Duplicate { first, .. } => match first {
            FirstClaim::Busy => "must not run, the first is in flight".to_owned(),
            FirstClaim::Answered(answer) => format!("gets the first answer, {}", answer.status),
            FirstClaim::Spent => "must not run, the first ran or may have run".to_owned(),
            FirstClaim::Reused => "must not run, the id stood for another body".to_owned(),
        },
        ClaimMessage::Unavailable { execution, .. } => match execution {
            Execution::NotRun => "refused, not run".to_owned(),
            Execution::Ran => "refused, ran".to_owned(),
            Execution::Unknown => "refused, may have run".to_owned(),
        },
        _ => return String::new(),
    };
    format!("{}: {text}\n", to.vm)
}
