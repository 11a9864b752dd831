//! The settings of a gateway process.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use damaskloom_lib::config::FleetConfig;
use damaskloom_lib::ids::{DataCentreId, VmId};
use http::header::HeaderName;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::key_removal::KeyPlaces;

/// The reason why settings were rejected, with the place in the operator's file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read", path.display()))]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The comments or the structure of the file are malformed.
    #[snafu(display("{}: comments are malformed", path.display()))]
    BadComments {
        /// The settings file.
        path: PathBuf,
        /// The error of the parser.
        source: std::io::Error,
    },
    /// The file is not a valid settings document.
    #[snafu(display("{}:{line}: field `{field}`: {expected}", path.display()))]
    BadDocument {
        /// The settings file.
        path: PathBuf,
        /// The line of the file.
        line: usize,
        /// The path of the field within the document.
        field: String,
        /// What was found and what was expected.
        expected: String,
    },
    /// A field has an invalid value.
    #[snafu(display("{}: field `{field}`: expected {expected}", path.display()))]
    BadField {
        /// The settings file.
        path: PathBuf,
        /// The field's name.
        field: &'static str,
        /// What the field must hold.
        expected: &'static str,
    },
}

/// The settings as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct RawSettings {
    /// The VM's name, as in the platform's VM list.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// The address that callers connect to.
    pub caller_listen: SocketAddr,
    /// The address that operators' tools connect to.
    pub admin_listen: SocketAddr,
    /// The address that other gateways connect to.
    pub peer_listen: SocketAddr,
    /// The platform's address; without one, the gateway serves the `config` of this file alone.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// The secret with which gateways authenticate each other.
    #[serde(default)]
    pub peer_secret: String,
    /// Header fields whose value is a key.
    #[serde(default)]
    pub key_headers: Option<Vec<String>>,
    /// Query parameters whose value is a key.
    #[serde(default)]
    pub key_query_parameters: Option<Vec<String>>,
    /// Cookies whose value is a key.
    #[serde(default)]
    pub key_cookies: Option<Vec<String>>,
    /// The time for which callers may cache a directory answer, in milliseconds.
    #[serde(default = "default_directory_lifetime_ms")]
    pub directory_lifetime_ms: u64,
    /// The time within which a caller must send a request head, in milliseconds.
    #[serde(default = "default_head_timeout_ms")]
    pub head_timeout_ms: u64,
    /// The largest request head, in bytes.
    #[serde(default = "default_max_head_bytes")]
    pub max_head_bytes: usize,
    /// The largest number of simultaneous caller connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// The number of threads that serve requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The configuration to serve when there is no platform.
    #[serde(default)]
    pub config: Option<FleetConfig>,
}

const fn default_directory_lifetime_ms() -> u64 {
    5_000
}

const fn default_head_timeout_ms() -> u64 {
    5_000
}

const fn default_max_head_bytes() -> usize {
    32 << 10
}

const fn default_max_connections() -> usize {
    25_000
}

const fn default_threads() -> usize {
    2
}

/// The shortest secret between gateways, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// The smallest head buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Settings that have been validated.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// The address that callers connect to.
    pub caller_listen: SocketAddr,
    /// The address that operators' tools connect to.
    pub admin_listen: SocketAddr,
    /// The address that other gateways connect to.
    pub peer_listen: SocketAddr,
    /// The platform's address.
    pub platform: Option<SocketAddr>,
    /// The secret with which gateways authenticate each other.
    pub peer_secret: String,
    /// The places of a request in which callers send their keys.
    pub key_places: KeyPlaces,
    /// The time for which callers may cache a directory answer, in milliseconds.
    pub directory_lifetime_ms: u64,
    /// The time within which a caller must send a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// The largest request head, in bytes.
    pub max_head_bytes: usize,
    /// The largest number of simultaneous caller connections.
    pub max_connections: usize,
    /// The number of threads that serve requests.
    pub threads: usize,
    /// The configuration to serve when there is no platform.
    pub config: Option<FleetConfig>,
}

impl GatewaySettings {
    /// Reads and checks a settings file: JSON with comments.
    ///
    /// # Errors
    ///
    /// The error names the file and, where possible, the line, the field and what was expected.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        Self::parse(read_document(path)?, path)
    }

    /// Checks the text of a settings file; `path` is used in errors only.
    ///
    /// # Errors
    ///
    /// See [`GatewaySettings::load`].
    pub fn parse(text: impl Into<String>, path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let raw: RawSettings = parse_document(text, path)?;
        Self::check(raw, path)
    }

    fn check(raw: RawSettings, path: &Path) -> Result<Self, SettingsError> {
        let invalid = |field, expected| BadFieldSnafu {
            path,
            field,
            expected,
        };
        let has_platform = raw.platform.is_some();
        ensure!(
            !has_platform || raw.peer_secret.len() >= MIN_SECRET_BYTES,
            invalid("peer_secret", "at least 16 bytes when `platform` is set")
        );
        ensure!(
            has_platform || raw.config.is_some(),
            invalid("config", "a configuration, or `platform`")
        );
        ensure!(
            (500..=3_600_000).contains(&raw.directory_lifetime_ms),
            invalid("directory_lifetime_ms", "500 to 3600000")
        );
        ensure!(
            (100..=60_000).contains(&raw.head_timeout_ms),
            invalid("head_timeout_ms", "100 to 60000")
        );
        ensure!(
            (MIN_HEAD_BYTES..=1 << 20).contains(&raw.max_head_bytes),
            invalid("max_head_bytes", "8192 to 1048576")
        );
        ensure!(
            raw.max_connections > 0,
            invalid("max_connections", "at least 1")
        );
        ensure!(
            (1..=64).contains(&raw.threads),
            invalid("threads", "1 to 64")
        );
        let key_places = check_key_places(&raw, path)?;
        Ok(Self {
            vm: raw.vm,
            data_centre: raw.data_centre,
            caller_listen: raw.caller_listen,
            admin_listen: raw.admin_listen,
            peer_listen: raw.peer_listen,
            platform: raw.platform,
            peer_secret: raw.peer_secret,
            key_places,
            directory_lifetime_ms: raw.directory_lifetime_ms,
            head_timeout_ms: raw.head_timeout_ms,
            max_head_bytes: raw.max_head_bytes,
            max_connections: raw.max_connections,
            threads: raw.threads,
            config: raw.config,
        })
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Fails with the file's name if the system cannot read it.
pub fn read_document(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).context(UnreadableSnafu { path })
}

/// Reads settings of any daemon from JSON with comments; `path` is used in errors only.
///
/// # Errors
///
/// The error names the file and, where possible, the line, the field and what was expected.
pub fn parse_document<T: DeserializeOwned>(
    text: impl Into<String>,
    path: &Path,
) -> Result<T, SettingsError> {
    let mut text = text.into();
    json_strip_comments::strip(&mut text).context(BadCommentsSnafu { path })?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| bad_document(path, &error))
}

fn bad_document(
    path: &Path,
    error: &serde_path_to_error::Error<serde_json::Error>,
) -> SettingsError {
    let inner = error.inner();
    let text = inner.to_string();
    // The error states the position once, before the message, as compilers do.
    let expected = text
        .rsplit_once(" at line ")
        .map_or(&text[..], |(message, _)| message);
    SettingsError::BadDocument {
        path: path.to_owned(),
        line: inner.line(),
        field: error.path().to_string(),
        expected: expected.to_owned(),
    }
}

fn check_key_places(raw: &RawSettings, path: &Path) -> Result<KeyPlaces, SettingsError> {
    let default = KeyPlaces::default();
    let headers = match &raw.key_headers {
        None => default.headers,
        Some(names) => names
            .iter()
            .map(|name| HeaderName::from_bytes(name.as_bytes()))
            .collect::<Result<_, _>>()
            .ok()
            .ok_or_else(|| {
                BadFieldSnafu {
                    path,
                    field: "key_headers",
                    expected: "names of header fields",
                }
                .build()
            })?,
    };
    Ok(KeyPlaces {
        headers,
        query_parameters: raw
            .key_query_parameters
            .clone()
            .unwrap_or(default.query_parameters),
        cookies: raw.key_cookies.clone().unwrap_or(default.cookies),
    })
}
