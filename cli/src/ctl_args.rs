//! Parser for the command line of `damaskloom-ctl`.

use std::ffi::OsString;
use std::str::FromStr;
use std::time::Duration;

use damaskloom_lib::table_layout::OperatorRole;
use pico_args::Arguments;
use snafu::{OptionExt, Snafu, ensure};

use crate::ctl_command::{
    CheckBase, CheckCommand, CtlCommand, CtlOptions, ExplainSubject, KeyArgument, KeysCommand,
    StatusCommand,
};

/// The default time limit of `status --watch`, in seconds.
const WATCH_TIMEOUT_SECS: u64 = 60;

/// The error of an invalid command line.
#[derive(Debug, Snafu)]
pub enum ArgsError {
    /// The value of an option is missing or invalid.
    #[snafu(display("{source}"), context(false))]
    Option {
        /// The error of the parser.
        source: pico_args::Error,
    },
    /// A command or an argument is missing.
    #[snafu(display("{what} is missing"))]
    Missing {
        /// The missing argument.
        what: &'static str,
    },
    /// An argument is invalid.
    #[snafu(display("{text:?} is not {expected}"))]
    Invalid {
        /// The argument.
        text: String,
        /// The expected kind of argument.
        expected: &'static str,
    },
    /// Arguments are left over.
    #[snafu(display("unexpected argument {text:?}"))]
    Unexpected {
        /// The first such argument.
        text: String,
    },
}

/// Parses the arguments that follow the program's name.
///
/// # Errors
///
/// Fails if an argument is missing, invalid or left over.
pub fn parse_args(words: Vec<OsString>) -> Result<CtlOptions, ArgsError> {
    let mut arguments = Arguments::from_vec(words);
    let options = CtlOptions {
        api: arguments.opt_value_from_str("--api")?,
        credential_file: arguments.opt_value_from_str("--credential-file")?,
        gateway: arguments.opt_value_from_str("--gateway")?,
        confirm: arguments.contains("--confirm"),
        json: arguments.contains("--json"),
        command: parse_command(&mut arguments)?,
    };
    let leftover = arguments.finish();
    if let Some(word) = leftover.first() {
        let text = word.to_string_lossy();
        return UnexpectedSnafu { text }.fail();
    }
    Ok(options)
}

fn parse_command(arguments: &mut Arguments) -> Result<CtlCommand, ArgsError> {
    match next_word(arguments, "a command")?.as_str() {
        "plan" => Ok(CtlCommand::Plan(arguments.value_from_str("-f")?)),
        "plans" => Ok(CtlCommand::Plans(optional_argument(arguments, "a plan")?)),
        "confirm" => Ok(CtlCommand::Confirm(required_argument(arguments, "a plan")?)),
        "status" => parse_status(arguments),
        "keys" => parse_keys(arguments).map(CtlCommand::Keys),
        "targets" => {
            let verb = next_word(arguments, "drain")?;
            ensure!(
                verb == "drain",
                InvalidSnafu {
                    text: verb,
                    expected: "drain"
                }
            );
            Ok(CtlCommand::DrainTarget(required_argument(
                arguments, "a target",
            )?))
        }
        "objects" => Ok(CtlCommand::ShowObject(required_argument(
            arguments, "KIND/ID",
        )?)),
        "audit" => {
            let after = arguments.opt_value_from_str("--after")?;
            Ok(CtlCommand::Audit(after.unwrap_or_default()))
        }
        "operators" => parse_operators(arguments),
        "explain" => parse_explain(arguments).map(CtlCommand::Explain),
        "check" => parse_check(arguments).map(CtlCommand::Check),
        text => {
            let expected = "a command";
            InvalidSnafu { text, expected }.fail()
        }
    }
}

fn parse_status(arguments: &mut Arguments) -> Result<CtlCommand, ArgsError> {
    let seconds: Option<u64> = arguments.opt_value_from_str("--timeout")?;
    Ok(CtlCommand::Status(StatusCommand {
        watch: arguments.contains("--watch"),
        revision: arguments.opt_value_from_str("--revision")?,
        timeout: Duration::from_secs(seconds.unwrap_or(WATCH_TIMEOUT_SECS)),
    }))
}

fn parse_check(arguments: &mut Arguments) -> Result<CheckCommand, ArgsError> {
    let file = arguments.opt_value_from_str("--against")?;
    let store = arguments.opt_value_from_str("--store")?;
    let base = match (file, store) {
        (Some(_), Some(_)) => {
            let text = "--store";
            let expected = "to be combined with --against";
            return InvalidSnafu { text, expected }.fail();
        }
        (Some(path), None) => Some(CheckBase::File(path)),
        (None, store) => store.map(CheckBase::Store),
    };
    let path = required_argument(arguments, "a file")?;
    Ok(CheckCommand { path, base })
}

fn parse_keys(arguments: &mut Arguments) -> Result<KeysCommand, ArgsError> {
    match next_word(arguments, "list, grant, withdraw or rotate")?.as_str() {
        "list" => Ok(KeysCommand::List(required_argument(
            arguments,
            "a customer",
        )?)),
        "grant" => Ok(KeysCommand::Grant(required_argument(
            arguments,
            "a customer",
        )?)),
        "withdraw" => Ok(KeysCommand::Withdraw(parse_key(arguments)?)),
        "rotate" => Ok(KeysCommand::Rotate(parse_key(arguments)?)),
        text => {
            let expected = "list, grant, withdraw or rotate";
            InvalidSnafu { text, expected }.fail()
        }
    }
}

fn parse_key(arguments: &mut Arguments) -> Result<KeyArgument, ArgsError> {
    let text = next_word(arguments, "a key digest or -")?;
    if text == "-" {
        return Ok(KeyArgument::StandardInput);
    }
    let digest = text.parse().ok();
    let expected = "a key digest or -";
    let digest = digest.context(InvalidSnafu { text, expected })?;
    Ok(KeyArgument::Digest(digest))
}

fn parse_operators(arguments: &mut Arguments) -> Result<CtlCommand, ArgsError> {
    let verb = next_word(arguments, "add")?;
    ensure!(
        verb == "add",
        InvalidSnafu {
            text: verb,
            expected: "add"
        }
    );
    let operator = required_argument(arguments, "an operator's name")?;
    let role = match next_word(arguments, "a role")?.as_str() {
        "read" => OperatorRole::Read,
        "plan" => OperatorRole::Plan,
        "confirm" => OperatorRole::Confirm,
        text => {
            let expected = "read, plan or confirm";
            return InvalidSnafu { text, expected }.fail();
        }
    };
    Ok(CtlCommand::AddOperator(operator, role))
}

fn parse_explain(arguments: &mut Arguments) -> Result<ExplainSubject, ArgsError> {
    match next_word(arguments, "target or request")?.as_str() {
        "target" => Ok(ExplainSubject::Target(required_argument(
            arguments, "a target",
        )?)),
        "request" => Ok(ExplainSubject::Request(next_word(
            arguments,
            "a request id",
        )?)),
        text => {
            let expected = "target or request";
            InvalidSnafu { text, expected }.fail()
        }
    }
}

fn next_word(arguments: &mut Arguments, what: &'static str) -> Result<String, ArgsError> {
    let word: Option<String> = arguments.opt_free_from_str()?;
    word.context(MissingSnafu { what })
}

fn required_argument<T: FromStr>(
    arguments: &mut Arguments,
    expected: &'static str,
) -> Result<T, ArgsError> {
    optional_argument(arguments, expected)?.context(MissingSnafu { what: expected })
}

fn optional_argument<T: FromStr>(
    arguments: &mut Arguments,
    expected: &'static str,
) -> Result<Option<T>, ArgsError> {
    let word: Option<String> = arguments.opt_free_from_str()?;
    let Some(text) = word else {
        return Ok(None);
    };
    let value = text.parse().ok();
    let value = value.context(InvalidSnafu { text, expected })?;
    Ok(Some(value))
}
