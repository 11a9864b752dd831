//! Runs a command of `damaskloom-ctl` and prints its result.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use damaskloom_gateway::settings::GatewaySettings;
use damaskloom_lib::confirm::PlanOutcome;
use damaskloom_lib::ids::PlanId;
use damaskloom_lib::key::{KeyDigest, RawKey};
use damaskloom_lib::plan::{Intent, PlanBuilder, PlanError};
use damaskloom_operator::settings::OperatorSettings;
use damaskloom_operator::wire::{
    ConfirmResponse, FleetStatus, GrantRequest, GrantResponse, KeyList, KeyRequest,
    OperatorRequest, OperatorResponse, PlanList, PlanView, RotateResponse,
};
use serde::Serialize;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::ctl_check::{CheckError, RoutingCheck};
use crate::ctl_client::{CallError, CtlClient};
use crate::ctl_command::{
    CheckCommand, CtlCommand, CtlOptions, ExitStatus, ExplainSubject, KeyArgument, KeysCommand,
    StatusCommand,
};
use crate::ctl_output::{
    show_audit, show_grant, show_keys, show_outcome, show_plan, show_plans, show_progress,
    show_rotation, show_status,
};

/// The largest number of attempts to confirm a plan while its outcome is unknown.
const CONFIRM_ATTEMPTS: u32 = 5;

/// The delay between two such attempts.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The interval between two status queries of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The error of a failed command.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// The error of the call.
        source: CallError,
    },
    /// The changes of a file are invalid.
    #[snafu(display("{source}"), context(false))]
    Intent {
        /// The error of the plan.
        source: PlanError,
    },
    /// A routing document cannot be checked.
    #[snafu(display("{source}"), context(false))]
    Check {
        /// The error of the check.
        source: CheckError,
    },
    /// A file does not hold gateway settings.
    #[snafu(display("{source}"), context(false))]
    Gateway {
        /// The error of the settings.
        source: damaskloom_gateway::settings::SettingsError,
    },
    /// An option that the command needs is missing.
    #[snafu(display("{option} is required"))]
    OptionMissing {
        /// The option.
        option: &'static str,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file does not contain the expected document.
    #[snafu(display("{} does not contain {expected}: {source}", path.display()))]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// The expected content.
        expected: &'static str,
        /// The error of the parser.
        source: serde_json::Error,
    },
}

impl RunError {
    /// Returns the exit code for scripts.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Call { source } => source.exit_status(),
            Self::Check { source } => source.exit_status(),
            Self::Intent { .. }
            | Self::Gateway { .. }
            | Self::OptionMissing { .. }
            | Self::ReadFile { .. }
            | Self::ParseFile { .. } => ExitStatus::Usage,
        }
    }
}

type RunResult = Result<ExitStatus, RunError>;

/// Runs the command and returns its exit status.
///
/// # Errors
///
/// Fails if a call fails, or if a file or an option is missing or invalid.
pub async fn run_command(options: &CtlOptions) -> RunResult {
    let run = CommandRunner { options };
    match &options.command {
        CtlCommand::Plan(path) => run.plan(path).await,
        CtlCommand::Plans(None) => {
            let list: PlanList = run.api()?.get("/v1/plans").await?;
            Ok(run.print(&list, show_plans))
        }
        CtlCommand::Plans(Some(id)) => {
            let plan: PlanView = run.api()?.get(&format!("/v1/plans/{id}")).await?;
            Ok(run.print(&plan, show_plan))
        }
        CtlCommand::Confirm(id) => run.confirm(id).await,
        CtlCommand::Status(command) => run.status(command).await,
        CtlCommand::Keys(command) => run.keys(command).await,
        CtlCommand::DrainTarget(target) => {
            let path = format!("/v1/targets/{target}/drain");
            run.make_plan(&path, &json!({})).await
        }
        CtlCommand::ShowObject(object) => {
            let row: Value = run.api()?.get(&format!("/v1/objects/{object}")).await?;
            Ok(run.print(&row, show_document))
        }
        CtlCommand::Audit(after) => {
            let path = format!("/v1/audit?after={after}");
            let list = run.api()?.get(&path).await?;
            Ok(run.print(&list, show_audit))
        }
        CtlCommand::AddOperator(operator, role) => {
            let request = OperatorRequest {
                operator: operator.clone(),
                role: *role,
            };
            let response: OperatorResponse = run.api()?.post("/v1/operators", &request).await?;
            Ok(run.print(&response, show_document))
        }
        CtlCommand::Explain(subject) => run.explain(subject).await,
        CtlCommand::Check(command) => run.check(command).await,
    }
}

struct CommandRunner<'a> {
    options: &'a CtlOptions,
}

impl CommandRunner<'_> {
    fn api(&self) -> Result<CtlClient, RunError> {
        let from_environment = || std::env::var("DAMASKLOOM_API").ok()?.parse().ok();
        let address: Option<SocketAddr> = self.options.api.or_else(from_environment);
        let address = address.context(OptionMissingSnafu { option: "--api" })?;
        Ok(CtlClient::new(address, Some(self.credential()?)))
    }

    fn credential(&self) -> Result<String, RunError> {
        let text = match &self.options.credential_file {
            Some(path) => fs::read_to_string(path).context(ReadFileSnafu { path })?,
            None => {
                let option = "--credential-file";
                let credential = std::env::var("DAMASKLOOM_CREDENTIAL").ok();
                credential.context(OptionMissingSnafu { option })?
            }
        };
        Ok(text.trim().to_owned())
    }

    fn print<T: Serialize>(&self, value: &T, show: impl Fn(&T) -> String) -> ExitStatus {
        if self.options.json {
            println!("{}", to_json(value));
        } else {
            print!("{}", show(value));
        }
        ExitStatus::Done
    }

    async fn plan(&self, path: &Path) -> RunResult {
        let intent = read_intent(path)?;
        self.make_plan("/v1/plans", &intent).await
    }

    async fn make_plan(&self, path: &str, request: &impl Serialize) -> RunResult {
        let plan: PlanView = self.api()?.post(path, request).await?;
        self.print(&plan, show_plan);
        self.confirm_if_requested(&plan.id).await
    }

    async fn confirm_if_requested(&self, id: &PlanId) -> RunResult {
        if self.options.confirm {
            self.confirm(id).await
        } else {
            Ok(ExitStatus::Done)
        }
    }

    /// Confirms a plan and retries while its outcome is unknown; repeated confirmations have the
    /// same outcome.
    async fn confirm(&self, id: &PlanId) -> RunResult {
        let client = self.api()?;
        let path = format!("/v1/plans/{id}/confirm");
        let mut attempt = 1;
        let response = loop {
            let result: Result<ConfirmResponse, CallError> = client.post(&path, &json!({})).await;
            match result {
                Err(error) if error.is_undecided() && attempt < CONFIRM_ATTEMPTS => {
                    attempt += 1;
                    tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
                }
                result => break result?,
            }
        };
        self.print(&response, |response| show_outcome(&response.outcome));
        match response.outcome {
            PlanOutcome::Accepted(_) => Ok(ExitStatus::Done),
            PlanOutcome::Refused(_) => Ok(ExitStatus::Refused),
        }
    }

    async fn status(&self, command: &StatusCommand) -> RunResult {
        let client = self.api()?;
        let started = Instant::now();
        loop {
            let status: FleetStatus = client.get("/v1/status").await?;
            let revision = command.revision.or(status.head);
            // An empty list of nodes doesn't show that the revision is in force.
            let is_complete = !status.nodes.is_empty()
                && revision.is_some_and(|revision| status.nodes_at(revision) == status.nodes.len());
            if !command.watch {
                return Ok(self.print(&status, |status| show_status(status, revision)));
            }
            self.print(&status, |status| show_progress(status, revision));
            if is_complete {
                return Ok(ExitStatus::Done);
            }
            if started.elapsed() >= command.timeout {
                return Ok(ExitStatus::Pending);
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    }

    async fn keys(&self, command: &KeysCommand) -> RunResult {
        let client = self.api()?;
        match command {
            KeysCommand::List(customer) => {
                let path = format!("/v1/customers/{customer}/keys");
                let list: KeyList = client.get(&path).await?;
                Ok(self.print(&list, show_keys))
            }
            KeysCommand::Grant(customer) => {
                let customer = customer.clone();
                let request = GrantRequest { customer };
                let grant: GrantResponse = client.post("/v1/keys/grant", &request).await?;
                self.print(&grant, show_grant);
                self.confirm_if_requested(&grant.plan.id).await
            }
            KeysCommand::Withdraw(key) => {
                let digest = key_digest(*key)?;
                self.make_plan("/v1/keys/withdraw", &KeyRequest { digest })
                    .await
            }
            KeysCommand::Rotate(key) => {
                let digest = key_digest(*key)?;
                let request = KeyRequest { digest };
                let rotation: RotateResponse = client.post("/v1/keys/rotate", &request).await?;
                self.print(&rotation, show_rotation);
                self.confirm_if_requested(&rotation.grant.plan.id).await
            }
        }
    }

    async fn explain(&self, subject: &ExplainSubject) -> RunResult {
        let option = "--gateway";
        let address = self.options.gateway;
        let address = address.context(OptionMissingSnafu { option })?;
        let path = match subject {
            ExplainSubject::Target(id) => format!("/v1/explain/target/{id}"),
            ExplainSubject::Request(id) => format!("/v1/explain/request/{id}"),
        };
        let document: Value = CtlClient::new(address, None).get(&path).await?;
        Ok(self.print(&document, show_document))
    }

    async fn check(&self, command: &CheckCommand) -> RunResult {
        let path = &command.path;
        let document: Value = read_document(path, "a JSON document")?;
        let has = |field: &str| document.get(field).is_some();
        if has("routes") {
            let check = RoutingCheck::load(path, command.base.as_ref()).await?;
            self.print(&check, RoutingCheck::text);
            return Ok(check.exit_status());
        }
        let content = if has("changes") {
            PlanBuilder::new(read_intent(path)?)?;
            "changes"
        } else if has("caller_listen") {
            GatewaySettings::load(path)?;
            "gateway settings"
        } else {
            let _: OperatorSettings = read_document(path, "operator settings")?;
            "operator settings"
        };
        let result = json!({"file": path, "holds": content});
        Ok(self.print(&result, |_| format!("{} holds {content}\n", path.display())))
    }
}

fn read_document<T: serde::de::DeserializeOwned>(
    path: &Path,
    expected: &'static str,
) -> Result<T, RunError> {
    let text = fs::read(path).context(ReadFileSnafu { path })?;
    let json = json_strip_comments::StripComments::new(text.as_slice());
    serde_json::from_reader(json).context(ParseFileSnafu { path, expected })
}

fn read_intent(path: &Path) -> Result<Intent, RunError> {
    read_document(path, "changes")
}

fn key_digest(key: KeyArgument) -> Result<KeyDigest, RunError> {
    match key {
        KeyArgument::Digest(digest) => Ok(digest),
        KeyArgument::StandardInput => {
            let path = Path::new("standard input");
            let key = std::io::read_to_string(std::io::stdin()).context(ReadFileSnafu { path })?;
            Ok(RawKey::new(key.trim()).digest())
        }
    }
}

/// Shows the fields of a document, one on each line.
fn show_document(document: &impl Serialize) -> String {
    match serde_json::to_value(document) {
        Ok(Value::Object(fields)) => fields
            .iter()
            .map(|(field, value)| match value {
                Value::String(text) => format!("{field}: {text}\n"),
                value => format!("{field}: {value}\n"),
            })
            .collect(),
        _ => format!("{}\n", to_json(document)),
    }
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("results have text keys only")
}
