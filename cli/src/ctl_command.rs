//! What `damaskloom-ctl` can be asked to do, and the exit codes it answers with.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use damaskloom_lib::ids::{CustomerId, OperatorId, PlanId, Revision, TargetId};
use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::object_key::ObjectKey;
use damaskloom_lib::table_layout::OperatorRole;

/// The help text.
pub const USAGE: &str = "\
Changes and watches the configuration of a damaskloom fleet.

Usage: damaskloom-ctl [OPTIONS] COMMAND

Commands:
  plan -f FILE              plans the changes of a JSON file; nothing takes effect
  plans [PLAN]              lists the newest plans, or shows one
  confirm PLAN              puts a plan into force; repeating it gives the same outcome
  status [--watch]          shows how many nodes have the newest revision
    --revision N            asks for revision N in place of the newest
    --timeout SECONDS       gives up watching after this time (default 60)
  keys list CUSTOMER        lists the digests of a customer's keys
  keys grant CUSTOMER       plans a new key, which is shown this once
  keys withdraw KEY         plans the withdrawal of a key
  keys rotate KEY           plans a new key beside the old one, and the old one's withdrawal
  targets drain TARGET      plans that a target gets no new work
  objects KIND/ID           shows a customer, key, route, service or target
  audit [--after REVISION]  shows accepted plans
  operators add NAME ROLE   makes a credential; ROLE is read, plan or confirm
  explain target ID         asks a gateway why it uses or avoids a target
  explain request ID        asks a gateway what became of a request
  check FILE                checks a settings file or a changes file

KEY is a digest, or - to read the key itself from standard input.

Options:
  --api ADDRESS             the operator API (or DAMASKLOOM_API)
  --credential-file FILE    holds the credential (or DAMASKLOOM_CREDENTIAL holds it)
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

/// How a run ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Done = 0,
    /// The command failed without a definite answer.
    Failed = 1,
    /// The command line, a file or an intent is wrong.
    Usage = 2,
    /// The plan was refused and never takes effect.
    Refused = 3,
    /// There is no such object or plan, or the operator may not do this.
    NotAllowed = 4,
    /// There is no decision yet, or the roll-out is not complete; asking again is safe.
    Pending = 5,
}

/// How a key is named on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyArgument {
    /// By its digest.
    Digest(KeyDigest),
    /// By the key itself, which is read from standard input to keep it out of process lists.
    StandardInput,
}

/// What `keys` is asked to do.
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

/// What is to be explained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExplainSubject {
    /// Why a gateway uses or avoids a target.
    Target(TargetId),
    /// What became of a request.
    Request(String),
}

/// How `status` is shown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusCommand {
    /// Whether to wait until all nodes have the revision.
    pub watch: bool,
    /// The revision to look for; none for the newest.
    pub revision: Option<Revision>,
    /// How long to watch.
    pub timeout: Duration,
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
    /// Show how far a revision has come.
    Status(StatusCommand),
    /// Work on keys.
    Keys(KeysCommand),
    /// Plan that a target gets no new work.
    DrainTarget(TargetId),
    /// Show an object.
    ShowObject(ObjectKey),
    /// Show accepted plans after a revision.
    Audit(Revision),
    /// Make a credential.
    AddOperator(OperatorId, OperatorRole),
    /// Ask a gateway for its reasons.
    Explain(ExplainSubject),
    /// Check a file.
    Check(PathBuf),
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CtlOptions {
    /// The operator API.
    pub api: Option<SocketAddr>,
    /// The file that holds the credential.
    pub credential_file: Option<PathBuf>,
    /// The gateway to ask for explanations.
    pub gateway: Option<SocketAddr>,
    /// Whether to confirm the plan that the command makes.
    pub confirm: bool,
    /// Whether to print JSON.
    pub json: bool,
    /// The command.
    pub command: CtlCommand,
}
