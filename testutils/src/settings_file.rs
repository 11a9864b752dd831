//! Reads the settings files of the stand-ins: JSON with comments.

use std::io::Read;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// An error on reading a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file does not hold valid settings.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The error, with its line.
        source: serde_json::Error,
    },
}

/// Reads settings from a file; removed comments leave their line breaks, so that the line numbers
/// in errors are right.
///
/// # Errors
///
/// Fails if the file cannot be read, or a field is invalid or unknown.
pub fn read_settings<T: DeserializeOwned>(path: impl AsRef<Path>) -> Result<T, SettingsError> {
    let path = path.as_ref();
    let text = std::fs::read(path).context(ReadSnafu { path })?;
    let mut stripped = Vec::with_capacity(text.len());
    json_strip_comments::StripComments::new(text.as_slice())
        .read_to_end(&mut stripped)
        .context(ReadSnafu { path })?;
    serde_json::from_slice(&stripped).context(ParseSnafu { path })
}
