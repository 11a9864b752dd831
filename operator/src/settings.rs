//! The settings of the operator process, which are read from a file of JSON with comments.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use damaskloom_lib::key::KeyDigest;
use damaskloom_platform::client::ClientSettings;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The settings of the operator process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address that the API listens on.
    pub listen: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The settings of the platform's client.
    #[serde(default)]
    pub platform_client: ClientSettings,
    /// The digest of the bootstrap credential, which needs no operator row in the table.
    #[serde(default)]
    pub bootstrap_credential: Option<KeyDigest>,
    /// The addresses at which gateways serve `GET /v1/status`.
    #[serde(default)]
    pub gateways: Vec<SocketAddr>,
    /// The port at which the gateways of the VM list serve `GET /v1/status`.
    #[serde(default)]
    pub gateway_status_port: Option<u16>,
    /// The number of revisions after which a new snapshot is written.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: u64,
}

const fn default_snapshot_every() -> u64 {
    1_000
}

/// The error of settings that cannot be read or parsed.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not the settings of an operator process.
    #[snafu(display("{} does not hold operator settings: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: serde_json::Error,
    },
}

impl OperatorSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not hold valid settings.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).context(ReadSnafu { path })?;
        let json = json_strip_comments::StripComments::new(text.as_slice());
        serde_json::from_reader(json).context(ParseSnafu { path })
    }
}
