//! The runner of the freshness scenarios: guards of a fleet in which n0 and n1 read the store.

use std::error::Error;

use damaskloom_lib::freshness::Freshness;
use goldenscript::{Command, Context, Runner};

use crate::scenario_words::{SceneResult, index, millis, unknown, value, word};
use crate::test_freshness::World;

pub struct FreshnessScene {
    world: World,
}

impl Default for FreshnessScene {
    fn default() -> Self {
        Self {
            world: World::new(0),
        }
    }
}

impl FreshnessScene {
    /// Returns what each node would do with requests with keys.
    fn report(&self) -> String {
        let say = |node: usize| match self.world.check(node) {
            _ if self.world.paused[node] => format!("n{node}: paused\n"),
            Freshness::Fresh => format!("n{node}: serves, up to date\n"),
            Freshness::StoreLost => format!("n{node}: serves, the store is lost for all\n"),
            Freshness::Fenced => format!("n{node}: refuses keyed work, cut off\n"),
        };
        (0..self.world.guards.len()).map(say).collect()
    }

    fn set_paused(&mut self, command: &Command, paused: bool) -> SceneResult<()> {
        self.world.paused[index(word(command, 0)?)?] = paused;
        Ok(())
    }
}

impl Runner for FreshnessScene {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "nodes" => self.world = World::new(word(command, 0)?.parse()?),
            "run" => self.world.run(millis(word(command, 0)?)?),
            "store" => self.world.store_up = word(command, 0)? == "up",
            "cut" => {
                let link = (
                    index(value(command, "from")?)?,
                    index(value(command, "to")?)?,
                );
                self.world.queue.blocked_links.insert(link);
            }
            "isolate" => self.world.isolate(index(word(command, 0)?)?),
            "heal" => self.world.heal(),
            "pause" => self.set_paused(command, true)?,
            "resume" => self.set_paused(command, false)?,
            "report" => return Ok(self.report()),
            _ => return unknown(command),
        }
        Ok(String::new())
    }
}
