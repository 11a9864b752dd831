//! The settings of the operator process: JSON with comments.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use damaskloom_lib::key::KeyDigest;
use damaskloom_platform::client::ClientSettings;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// What the process learns from its settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address that the API listens on.
    pub listen: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// How the platform is called.
    #[serde(default)]
    pub platform_client: ClientSettings,
    /// The digest of the credential that works before any operator has a row in the table.
    #[serde(default)]
    pub bootstrap_credential: Option<KeyDigest>,
    /// The addresses at which gateways answer `GET /v1/status`.
    #[serde(default)]
    pub gateways: Vec<SocketAddr>,
    /// The port at which the gateways of the VM list answer `GET /v1/status`.
    #[serde(default)]
    pub gateway_status_port: Option<u16>,
    /// The number of revisions after which a new snapshot is written.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: u64,
}

const fn default_snapshot_every() -> u64 {
    1_000
}

/// Says why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not the settings of an operator process.
    #[snafu(display("{} does not hold operator settings: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: serde_json::Error,
    },
}

impl OperatorSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not hold settings.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).context(ReadSnafu { path })?;
        let json = json_strip_comments::StripComments::new(text.as_slice());
        serde_json::from_reader(json).context(ParseSnafu { path })
    }
}
