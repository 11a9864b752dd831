//! Parsing of command arguments, shared by all scenarios.

use std::error::Error;

use goldenscript::Command;

pub type SceneResult<T> = Result<T, Box<dyn Error>>;

/// Returns the positional arguments of a command.
pub fn words(command: &Command) -> Vec<&str> {
    let mut arguments = command.consume_args();
    std::iter::from_fn(|| arguments.next_pos()).collect()
}

/// Returns the value of an argument such as `rate=10`, or an error if it is missing.
pub fn value<'a>(command: &'a Command, key: &str) -> SceneResult<&'a str> {
    let argument = command.consume_args().take_key(key);
    argument.ok_or_else(|| format!("{} needs {key}=", command.name).into())
}

/// Returns the positional argument at `position`, or an error if it is missing.
pub fn word(command: &Command, position: usize) -> SceneResult<&str> {
    let found = words(command).get(position).copied();
    found.ok_or_else(|| format!("{} needs more arguments", command.name).into())
}

/// Parses the index of a node such as `n2` or a target such as `t2`.
pub fn index(name: &str) -> SceneResult<usize> {
    Ok(name
        .get(1..)
        .ok_or("a name is a letter and a number")?
        .parse()?)
}

/// Parses a duration such as `500ms` or `2s` into milliseconds.
pub fn millis(text: &str) -> SceneResult<u64> {
    match text.strip_suffix("ms") {
        Some(number) => Ok(number.parse()?),
        None => {
            let number = text.strip_suffix('s').ok_or("a duration ends in ms or s")?;
            Ok(number.parse::<u64>()? * 1_000)
        }
    }
}

/// Returns the error for a command that the scenario doesn't have.
pub fn unknown(command: &Command) -> SceneResult<String> {
    Err(format!("unknown command {}", command.name).into())
}
