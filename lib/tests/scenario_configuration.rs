//! The runner of the configuration scenarios: one node's configuration and the deltas that it
//! receives.

use std::error::Error;

use damaskloom_lib::config::{ConfigChange, ConfigDelta, FleetConfig, KeyGrant, KeyState};
use damaskloom_lib::ids::Revision;
use damaskloom_lib::key::RawKey;
use damaskloom_lib::key_table::KeyStatus;
use goldenscript::{Command, Context, Runner};

use crate::scenario_words::{SceneResult, unknown, value, word};

#[derive(Default)]
pub struct ConfigurationScene {
    config: FleetConfig,
}

impl ConfigurationScene {
    /// Applies a delta with one key, and reports the keys whose connections end.
    fn offer(&mut self, command: &Command, state: KeyState) -> SceneResult<String> {
        let name = word(command, 0)?;
        let change = ConfigChange::PutKey(KeyGrant {
            digest: RawKey::new(name.as_bytes().to_vec()).digest(),
            customer: word(command, 1)?.parse()?,
            state,
        });
        let delta = ConfigDelta {
            revision: Revision(value(command, "revision")?.parse()?),
            changes: vec![change],
        };
        let before = self.config.keys.clone();
        if let Err(error) = self.config.apply(&delta) {
            return Ok(format!("refused: {error}\n"));
        }
        let ended = match before.revoked_by_delta(&delta).len() {
            0 => String::new(),
            _ => format!(", connections with {name} end"),
        };
        Ok(format!(
            "in force at revision {}{ended}\n",
            self.config.revision
        ))
    }

    /// Reports the customer of a key, or why the key is refused.
    fn check(&self, command: &Command) -> SceneResult<String> {
        let name = word(command, 0)?;
        let digest = RawKey::new(name.as_bytes().to_vec()).digest();
        Ok(match self.config.keys.lookup(&digest) {
            KeyStatus::Granted(customer) => format!("{name} runs for {customer}\n"),
            KeyStatus::Withdrawn => format!("{name} is refused: withdrawn\n"),
            KeyStatus::Unknown => format!("{name} is refused: unknown\n"),
        })
    }
}

impl Runner for ConfigurationScene {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "grant" => self.offer(command, KeyState::Granted),
            "withdraw" => self.offer(command, KeyState::Withdrawn),
            "check" => self.check(command),
            _ => unknown(command),
        }
    }
}
