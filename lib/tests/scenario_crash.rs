//! Runs the scenarios of requests that crash targets: crash guards with immediate message delivery.

use std::error::Error;
use std::time::Duration;

use damaskloom_lib::crash_guard::{CrashAction, CrashGuard};
use damaskloom_lib::time::MonoTime;
use goldenscript::{Command, Context, Runner};

use crate::scenario_words::{SceneResult, index, millis, unknown, word, words};
use crate::test_crash_guard::{messages, node, request, target};

pub struct CrashScene {
    guards: Vec<CrashGuard>,
    now: MonoTime,
}

impl Default for CrashScene {
    fn default() -> Self {
        Self {
            guards: Vec::new(),
            now: MonoTime::from_millis(1_000),
        }
    }
}

impl CrashScene {
    /// Delivers the messages of one guard to the others, and prints which targets the nodes exempt.
    fn deliver(&mut self, from: usize, actions: &[CrashAction]) -> String {
        let mut output = format_exemptions(from, actions);
        for message in messages(actions) {
            for to in (0..self.guards.len()).filter(|to| *to != from) {
                let peer_actions = self.guards[to].handle_message(self.now, message.clone());
                output += &format_exemptions(to, &peer_actions);
            }
        }
        output
    }

    /// A node loses the connection to the target while the requests run there, and cannot reconnect.
    fn crash(&mut self, command: &Command) -> SceneResult<String> {
        let (from, lost) = (index(word(command, 0)?)?, target(index(word(command, 1)?)?));
        for name in words(command).into_iter().skip(2) {
            let fingerprint = request(0, index(name)?);
            self.guards[from].record_lost_connection(self.now, &fingerprint, &lost);
        }
        let actions = self.guards[from].record_unreachable(self.now, &lost);
        Ok(self.deliver(from, &actions))
    }

    /// Prints for each node whether the request would be refused.
    fn check(&self, command: &Command) -> SceneResult<String> {
        let name = word(command, 0)?;
        let fingerprint = request(0, index(name)?);
        let format_result =
            |(node, guard): (usize, &CrashGuard)| match guard.check(self.now, &fingerprint) {
                Some(_) => format!("n{node}: {name} is refused\n"),
                None => format!("n{node}: {name} may run\n"),
            };
        Ok(self.guards.iter().enumerate().map(format_result).collect())
    }
}

impl Runner for CrashScene {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "nodes" => {
                let count: usize = word(command, 0)?.parse()?;
                self.guards = (0..count).map(|_| CrashGuard::new()).collect();
                for guard in &mut self.guards {
                    guard.set_peers([node(9)]);
                }
            }
            "crash" => return self.crash(command),
            "check" => return self.check(command),
            "answer" => {
                let from = index(word(command, 0)?)?;
                let fingerprint = request(0, index(word(command, 1)?)?);
                let actions = self.guards[from].record_success(self.now, &fingerprint);
                return Ok(self.deliver(from, &actions));
            }
            "run" => {
                self.now = self.now + Duration::from_millis(millis(word(command, 0)?)?);
                self.guards
                    .iter_mut()
                    .for_each(|guard| guard.tick(self.now));
            }
            _ => return unknown(command),
        }
        Ok(String::new())
    }
}

/// Prints the targets whose missing answers a node does not count.
fn format_exemptions(node: usize, actions: &[CrashAction]) -> String {
    let exempted = actions.iter().filter_map(|action| match action {
        CrashAction::Exempt { target, .. } => Some(format!("n{node}: {target} isn't blamed\n")),
        _ => None,
    });
    exempted.collect()
}
