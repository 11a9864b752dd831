//! Reads the settings files of the stand-ins: JSON with comments.

use std::io::Read;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Says why a settings file was not taken.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file does not hold valid settings.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong and on which line.
        source: serde_json::Error,
    },
}

/// Reads settings from a file; comments keep their lines, so that errors name the right one.
///
/// # Errors
///
/// Fails if the file cannot be read or a field is wrong or unknown.
pub fn read_settings<T: DeserializeOwned>(path: impl AsRef<Path>) -> Result<T, SettingsError> {
    let path = path.as_ref();
    let text = std::fs::read(path).context(ReadSnafu { path })?;
    let mut stripped = Vec::with_capacity(text.len());
    json_strip_comments::StripComments::new(text.as_slice())
        .read_to_end(&mut stripped)
        .context(ReadSnafu { path })?;
    serde_json::from_slice(&stripped).context(ParseSnafu { path })
}
