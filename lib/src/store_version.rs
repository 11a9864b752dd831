//! The order of what the platform's store has written, across its restores.
//!
//! A store that is restored from a copy gives out versions again that it gave out before; its era,
//! which rises with each restore, says which of two equal versions is the later one. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of bits that hold the version within its era in the encoded form.
const VERSION_BITS: u32 = 48;

/// A version of the store within one of its eras; versions of a later era are higher.
///
/// Eras count from 0. The encoded form is one number with the era in its upper bits, so that the
/// versions of a store that was never restored are encoded as plain numbers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct StoreVersion {
    era: u16,
    version: u64,
}

impl StoreVersion {
    /// Creates a version; none if it is too large to be encoded.
    pub fn new(era: u16, version: u64) -> Option<Self> {
        (version >> VERSION_BITS == 0).then_some(Self { era, version })
    }

    /// Returns the version at which an era begins, before anything is written in it.
    pub const fn era_start(era: u16) -> Self {
        Self { era, version: 0 }
    }

    /// Returns whether this is the version at which a later era than the first one begins: that of rows
    /// which were lost when the store was restored.
    pub const fn is_era_start(self) -> bool {
        self.era > 0 && self.version == 0
    }

    /// Returns the era of the store.
    pub const fn era(self) -> u16 {
        self.era
    }

    /// Returns the version within the era.
    pub const fn version(self) -> u64 {
        self.version
    }

    /// Returns whether nothing was read from the store yet.
    pub const fn is_zero(self) -> bool {
        self.era == 0 && self.version == 0
    }
}

impl From<u64> for StoreVersion {
    fn from(encoded: u64) -> Self {
        Self {
            era: (encoded >> VERSION_BITS) as u16,
            version: encoded & ((1 << VERSION_BITS) - 1),
        }
    }
}

impl From<StoreVersion> for u64 {
    fn from(version: StoreVersion) -> Self {
        (Self::from(version.era) << VERSION_BITS) | version.version
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}
