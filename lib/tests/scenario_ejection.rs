//! Scenario commands for ejections: ejectors that share the units above a service's floor.

use std::error::Error;

use damaskloom_lib::ejector::{EjectionAction, EjectionMessage, TargetEjector};
use goldenscript::{Command, Context, Runner};

use crate::fake_network::{FakeNetwork, clock_of, index_of, node_id};
use crate::scenario_words::{SceneResult, index, millis, unknown, value, word};
use crate::test_ejection::{propose, target};

const TICK_MS: u64 = 50;

pub struct EjectionScene {
    ejectors: Vec<TargetEjector>,
    paused: Vec<bool>,
    queue: FakeNetwork<EjectionMessage>,
    targets: usize,
    free_units: u32,
    now: u64,
}

impl Default for EjectionScene {
    fn default() -> Self {
        Self {
            ejectors: Vec::new(),
            paused: Vec::new(),
            queue: FakeNetwork::new(1),
            targets: 0,
            free_units: 0,
            now: 0,
        }
    }
}

impl EjectionScene {
    fn add_nodes(&mut self, count: usize) {
        let ejector = |index| {
            let mut ejector = TargetEjector::new(node_id(index));
            ejector.set_peers((0..count).map(node_id));
            ejector
        };
        self.ejectors = (0..count).map(ejector).collect();
        self.paused = vec![false; count];
    }

    fn act(&mut self, from: usize, actions: Vec<EjectionAction>) {
        for action in actions {
            match action {
                EjectionAction::Send { to, message } => {
                    self.queue.send(self.now, from, index_of(&to), message);
                }
                EjectionAction::ClaimUnits(count) => {
                    let granted = count.min(self.free_units);
                    self.free_units -= granted;
                    self.ejectors[from].add_units(granted);
                }
                EjectionAction::ReleaseUnits(count) => self.free_units += count,
                EjectionAction::Ejected { .. } | EjectionAction::Lifted(_) => {}
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        for flight in self.queue.arrivals(self.now) {
            if self.paused[flight.to] {
                self.queue.in_flight.push(flight);
                continue;
            }
            let clock = clock_of(flight.to, self.now);
            let from = node_id(flight.from);
            let actions = self.ejectors[flight.to].handle(clock, &from, flight.message);
            self.act(flight.to, actions);
        }
        for node in 0..self.ejectors.len() {
            if !self.paused[node] {
                let actions = self.ejectors[node].tick(clock_of(node, self.now));
                self.act(node, actions);
            }
        }
    }

    /// Lists the ejected targets of each node and counts the targets that no node ejects.
    fn report(&self) -> String {
        let is_ejected = |node: usize, index: usize| {
            self.ejectors[node].is_ejected(clock_of(node, self.now), &target(index))
        };
        let mut output = String::new();
        for node in 0..self.ejectors.len() {
            let out = (0..self.targets).filter(|index| is_ejected(node, *index));
            let names: Vec<_> = out.map(|index| format!("t{index}")).collect();
            let names = if names.is_empty() {
                "none".into()
            } else {
                names.join(" ")
            };
            output += &format!("n{node}: ejected {names}\n");
        }
        let nodes = 0..self.ejectors.len();
        let is_kept = |index: &usize| !nodes.clone().any(|node| is_ejected(node, *index));
        let kept = (0..self.targets).filter(is_kept).count();
        output + &format!("{kept} of {} targets serve for all\n", self.targets)
    }

    fn run_trials(&mut self, command: &Command) -> SceneResult<()> {
        let (node, target) = (index(word(command, 0)?)?, target(index(word(command, 1)?)?));
        let succeeded = word(command, 2)? == "good";
        for _ in 0..word(command, 3)?.parse()? {
            let clock = clock_of(node, self.now);
            let actions = self.ejectors[node].trial_result(clock, &target, succeeded);
            self.act(node, actions);
        }
        Ok(())
    }
}

impl Runner for EjectionScene {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "nodes" => self.add_nodes(word(command, 0)?.parse()?),
            "service" => {
                self.targets = value(command, "targets")?.parse()?;
                let floor: usize = value(command, "floor")?.parse()?;
                self.free_units = u32::try_from(self.targets - floor)?;
            }
            "eject" => {
                let node = index(word(command, 0)?)?;
                let suspect = index(word(command, 1)?)?;
                propose(&mut self.ejectors[node], clock_of(node, self.now), suspect);
            }
            "trial" => self.run_trials(command)?,
            "run" => (0..millis(word(command, 0)?)? / TICK_MS).for_each(|_| self.tick()),
            "cut" => {
                let link = (
                    index(value(command, "from")?)?,
                    index(value(command, "to")?)?,
                );
                self.queue.blocked_links.insert(link);
            }
            "heal" => self.queue.blocked_links.clear(),
            "pause" => self.paused[index(word(command, 0)?)?] = true,
            "resume" => self.paused[index(word(command, 0)?)?] = false,
            "report" => return Ok(self.report()),
            _ => return unknown(command),
        }
        Ok(String::new())
    }
}
