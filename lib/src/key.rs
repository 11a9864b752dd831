//! Callers' keys and their digests.
//!
//! The fleet stores digests only. A received key is digested at once and looked up by its digest, so
//! that the time of a lookup reveals nothing about the bytes of a granted key.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

/// The length of a key digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// The error for a text that is not a key digest.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("a key digest is {} hexadecimal digits", DIGEST_BYTES * 2))]
pub struct DigestError;

/// A key as received from a caller; its `Debug` output hides the bytes.
#[derive(Clone, Eq, PartialEq)]
pub struct RawKey(Vec<u8>);

impl RawKey {
    /// Wraps the bytes of a key.
    pub fn new(raw: impl Into<Vec<u8>>) -> Self {
        Self(raw.into())
    }

    /// Returns the digest under which the key is stored.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(&self.0).into())
    }
}

impl fmt::Debug for RawKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RawKey(..)")
    }
}

/// The SHA-256 digest of a key, by which the fleet stores and looks up keys.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest's bytes.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        ensure!(
            text.len() == DIGEST_BYTES * 2 && text.is_ascii(),
            DigestSnafu
        );
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| DigestError)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}
