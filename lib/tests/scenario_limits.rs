//! Scenario commands for rates and bursts: a few limiters that share the customers' budgets.

use std::collections::BTreeMap;
use std::error::Error;

use damaskloom_lib::rate_limiter::LimitPolicy;
use goldenscript::{Command, Context, Runner};

use crate::scenario_words::{SceneResult, index, millis, unknown, value, word};
use crate::share_fleet::ShareFleet;
use crate::test_shares::{customer, terms};

pub struct LimitScene {
    fleet: ShareFleet,
}

impl Default for LimitScene {
    fn default() -> Self {
        Self {
            fleet: ShareFleet::new(0, LimitPolicy::Escrow, 1),
        }
    }
}

impl LimitScene {
    /// Configures a customer before its first request.
    fn add_customer(&mut self, command: &Command) -> SceneResult<String> {
        let terms = terms(
            value(command, "rate")?.parse()?,
            value(command, "burst")?.parse()?,
        );
        self.fleet.terms.insert(customer(word(command, 0)?), terms);
        Ok(String::new())
    }

    /// Sends requests to all nodes in turn or to one node, evenly over the time.
    fn send(&mut self, command: &Command) -> SceneResult<String> {
        let customer = customer(word(command, 0)?);
        let count: u64 = word(command, 1)?.parse()?;
        let only = value(command, "to").ok().map(index).transpose()?;
        let over = value(command, "over").ok().map(millis).transpose()?;
        let gap = over.unwrap_or(0) * 1_000 / count.max(1);
        for number in 0..count {
            let node = only.unwrap_or(number as usize % self.fleet.nodes.len());
            self.fleet.request(node, &customer);
            self.fleet.advance(gap);
        }
        Ok(String::new())
    }

    /// Reports the outcomes of a customer's requests, and how many a single bucket would have
    /// refused.
    fn report(&self, command: &Command) -> SceneResult<String> {
        let name = word(command, 0)?;
        let customer = customer(name);
        let admitted = self.fleet.admissions.get(&customer).map_or(0, Vec::len);
        let refusals = self.fleet.refusals.iter();
        let refused = refusals.filter(|(_, refused)| *refused == customer).count();
        let over = self
            .fleet
            .over_admitted(&customer, &self.fleet.terms[&customer]);
        Ok(format!(
            "{name}: {admitted} admitted, {refused} refused, {over} beyond rate and burst\n"
        ))
    }
}

impl Runner for LimitScene {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "nodes" => {
                let count = word(command, 0)?.parse()?;
                let terms = std::mem::take(&mut self.fleet.terms);
                self.fleet = ShareFleet::new(count, LimitPolicy::Escrow, 1);
                self.fleet.terms = BTreeMap::from_iter(terms);
            }
            "customer" => return self.add_customer(command),
            "send" => return self.send(command),
            "report" => return self.report(command),
            "run" => self.fleet.advance(millis(word(command, 0)?)? * 1_000),
            "cut" => {
                let link = (
                    index(value(command, "from")?)?,
                    index(value(command, "to")?)?,
                );
                self.fleet.net.blocked_links.insert(link);
            }
            "heal" => self.fleet.net.blocked_links.clear(),
            "pause" => {
                let until = self.fleet.now + millis(word(command, 1)?)? * 1_000;
                self.fleet.nodes[index(word(command, 0)?)?].paused_until = until;
            }
            "stop" => self.fleet.nodes[index(word(command, 0)?)?].is_alive = false,
            "restart" => self.fleet.restart(index(word(command, 0)?)?),
            _ => return unknown(command),
        }
        Ok(String::new())
    }
}
