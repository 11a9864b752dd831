//! The commands, options and exit codes of `damaskloom-ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use damaskloom_lib::ids::{CustomerId, OperatorId, PlanId, Revision, TargetId};
use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::object_key::ObjectKey;
use damaskloom_lib::table_layout::OperatorRole;

/// The help text.
pub const USAGE: &str = "\
Changes and monitors the configuration of a damaskloom fleet.

Usage: damaskloom-ctl [OPTIONS] COMMAND

Commands:
  plan -f FILE              plans the changes of a JSON file; nothing takes effect
  plans [PLAN]              lists the newest plans, or shows one
  confirm PLAN              puts a plan into force; repeating it gives the same outcome
  status [--watch]          shows how many nodes have the newest revision
    --revision N            checks for revision N instead of the newest
    --timeout SECONDS       stops watching after this time (default 60)
  keys list CUSTOMER        lists the digests of a customer's keys
  keys grant CUSTOMER       plans a new key, which is shown only once
  keys withdraw KEY         plans the withdrawal of a key
  keys rotate KEY           plans a new key, and separately the old one's withdrawal
  targets drain TARGET      plans that a target gets no new requests
  objects KIND/ID           shows a customer, key, route, service or target
  audit [--after REVISION]  shows accepted plans
  operators add NAME ROLE   creates a credential; ROLE is read, plan or confirm
  explain target ID         shows why a gateway uses or avoids a target
  explain request ID        shows how a gateway handled a request
  check FILE                checks a settings file, a changes file or a routing document
    --against FILE          shows what a routing document changes in this one
    --store ADDRESS         shows what it changes in the one in force

KEY is a digest, or - to read the key itself from standard input.

Options:
  --api ADDRESS             the operator API's address (or DAMASKLOOM_API)
  --credential-file FILE    the file with the credential (or DAMASKLOOM_CREDENTIAL)
  --gateway ADDRESS         the gateway's admin listener, for explain
  --confirm                 confirms the plan that the command makes
  --json                    prints JSON
  -h, --help                prints this help
  -V, --version             prints the version

Exit codes:
  0  done                          3  the plan was refused
  1  failed, nothing is known      4  unknown object or plan, or not allowed
  2  wrong command line or file    5  not decided or not complete yet, ask again
";

/// The exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed without a definite answer.
    Failed = 1,
    /// The command line, a file or an intent is invalid.
    Usage = 2,
    /// The plan was refused and never takes effect.
    Refused = 3,
    /// The object or plan does not exist, or the operator's role does not allow the command.
    NotAllowed = 4,
    /// There is no decision yet, or the roll-out is not complete; a retry is safe.
    Pending = 5,
}

/// A key argument of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyArgument {
    /// The key's digest.
    Digest(KeyDigest),
    /// The key itself, which is read from standard input to keep it out of process lists.
    StandardInput,
}

/// The subcommands of `keys`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeysCommand {
    /// List a customer's keys.
    List(CustomerId),
    /// Plan a new key.
    Grant(CustomerId),
    /// Plan a key's withdrawal.
    Withdraw(KeyArgument),
    /// Plan a new key and the old one's withdrawal.
    Rotate(KeyArgument),
}

/// The subject of `explain`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExplainSubject {
    /// Why a gateway uses or avoids a target.
    Target(TargetId),
    /// How a gateway handled a request.
    Request(String),
}

/// The options of `status`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusCommand {
    /// Whether to wait until all nodes have the revision.
    pub watch: bool,
    /// The revision to check for; none for the newest.
    pub revision: Option<Revision>,
    /// The time limit for watching.
    pub timeout: Duration,
}

/// The document that a routing document is compared with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CheckBase {
    /// The document in a file.
    File(PathBuf),
    /// The document in force, in the platform's store at this address.
    Store(SocketAddr),
}

/// The file and the options of `check`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckCommand {
    /// The file.
    pub path: PathBuf,
    /// What a routing document is compared with, if it is.
    pub base: Option<CheckBase>,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CtlCommand {
    /// Plan the changes of a file.
    Plan(PathBuf),
    /// List plans, or show one.
    Plans(Option<PlanId>),
    /// Confirm a plan.
    Confirm(PlanId),
    /// Show the roll-out status of a revision.
    Status(StatusCommand),
    /// List, grant, withdraw or rotate keys.
    Keys(KeysCommand),
    /// Plan that a target gets no new requests.
    DrainTarget(TargetId),
    /// Show an object.
    ShowObject(ObjectKey),
    /// Show accepted plans after a revision.
    Audit(Revision),
    /// Create an operator's credential.
    AddOperator(OperatorId, OperatorRole),
    /// Request an explanation from a gateway.
    Explain(ExplainSubject),
    /// Check a file.
    Check(CheckCommand),
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CtlOptions {
    /// The address of the operator API.
    pub api: Option<SocketAddr>,
    /// The file that holds the credential.
    pub credential_file: Option<PathBuf>,
    /// The address of the gateway's admin listener, for `explain`.
    pub gateway: Option<SocketAddr>,
    /// Whether to confirm the plan that the command makes.
    pub confirm: bool,
    /// Whether to print JSON.
    pub json: bool,
    /// The command.
    pub command: CtlCommand,
}
