//! Checks a routing document for `damaskloom-ctl check`, and compares it with the one in force.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use damaskloom_lib::platform::PlatformError;
use damaskloom_lib::routing::RoutingDocument;
use damaskloom_lib::routing_check::{FindingLevel, RoutingFinding, check_routing};
use damaskloom_lib::routing_diff::{RoutingDiff, diff_routing};
use damaskloom_platform::column_table::DocumentError;
use damaskloom_platform::routing_reader::read_routing;
use damaskloom_platform::store_client::{OPERATOR_TABLE, ROUTING_ROW, StoreClient};
use serde::Serialize;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::ctl_command::{CheckBase, ExitStatus};

/// The timeout of the call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// The reasons why a routing document cannot be checked.
#[derive(Debug, Snafu)]
pub enum CheckError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A document is invalid.
    #[snafu(display("{name}: {source}"))]
    BadDocument {
        /// The file or row with the document.
        name: String,
        /// The reader's error, which names the field.
        source: DocumentError,
    },
    /// The store does not answer.
    #[snafu(display("cannot read the version in force: {source}"))]
    Store {
        /// The error of the call.
        source: PlatformError,
    },
    /// The store has no document.
    #[snafu(display("no version is in force"))]
    NotInForce,
}

impl CheckError {
    /// Returns the exit code for scripts.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. } | Self::BadDocument { .. } => ExitStatus::Usage,
            Self::Store { .. } => ExitStatus::Failed,
            Self::NotInForce => ExitStatus::NotAllowed,
        }
    }
}

/// A finding with its level and text.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct CheckFinding {
    level: FindingLevel,
    text: String,
    #[serde(flatten)]
    detail: RoutingFinding,
}

/// The result of a check.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingCheck {
    file: PathBuf,
    holds: &'static str,
    version: u64,
    findings: Vec<CheckFinding>,
    #[serde(skip_serializing_if = "Option::is_none")]
    diff: Option<RoutingDiff>,
}

impl RoutingCheck {
    /// Checks the document in a file, and compares it with `base`.
    ///
    /// # Errors
    ///
    /// Fails if a document cannot be read; the error names the field.
    pub async fn load(path: &Path, base: Option<&CheckBase>) -> Result<Self, CheckError> {
        let document = read_file(path)?;
        let in_force = match base {
            None => None,
            Some(CheckBase::File(path)) => Some(read_file(path)?),
            Some(CheckBase::Store(address)) => {
                let client = StoreClient::new(*address);
                let batch = client.read_table(OPERATOR_TABLE, STORE_TIMEOUT).await;
                let rows = batch.context(StoreSnafu)?.rows;
                let row = rows.into_iter().find(|row| row.key == ROUTING_ROW);
                let text = row.and_then(|row| row.value).context(NotInForceSnafu)?;
                Some(read_document(ROUTING_ROW, &text)?)
            }
        };
        let findings = check_routing(&document).into_iter();
        let findings = findings.map(|detail| CheckFinding {
            level: detail.level(),
            text: detail.to_string(),
            detail,
        });
        Ok(Self {
            file: path.to_owned(),
            holds: "a routing document",
            version: document.version.0,
            findings: findings.collect(),
            diff: in_force.map(|in_force| diff_routing(&in_force, &document)),
        })
    }

    /// Returns the exit code for scripts: a document with errors should not be published.
    pub fn exit_status(&self) -> ExitStatus {
        let mut levels = self.findings.iter().map(|finding| finding.level);
        let is_ignored = self.diff.as_ref().is_some_and(|diff| !diff.is_newer);
        if is_ignored || levels.any(|level| level == FindingLevel::Error) {
            ExitStatus::Refused
        } else {
            ExitStatus::Done
        }
    }

    /// Returns the result as text.
    pub fn text(&self) -> String {
        let file = self.file.display();
        let mut text = format!("{file} holds {}, version {}\n", self.holds, self.version);
        for finding in &self.findings {
            let level = match finding.level {
                FindingLevel::Error => "error",
                FindingLevel::Warning => "warning",
            };
            text += &format!("{level}: {}\n", finding.text);
        }
        if let Some(diff) = &self.diff {
            if !diff.is_newer {
                text += &format!(
                    "error: version {} is in force, so that nodes ignore this one\n",
                    diff.in_force
                );
            }
            text += &format!(
                "changes to version {}: {}\n",
                diff.in_force,
                diff.changes.len()
            );
            for change in &diff.changes {
                text += &format!("{change}\n");
            }
        }
        text
    }
}

fn read_file(path: &Path) -> Result<RoutingDocument, CheckError> {
    let text = fs::read(path).context(ReadFileSnafu { path })?;
    read_document(&path.display().to_string(), &text)
}

fn read_document(name: &str, text: &[u8]) -> Result<RoutingDocument, CheckError> {
    read_routing(text).context(BadDocumentSnafu { name })
}
