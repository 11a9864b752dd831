//! Looks up the customer of a caller's key, for every request.
//!
//! Keys are looked up by digest, so that the time of a lookup reveals nothing about the bytes of a
//! granted key. The table is itself the configuration's list of keys, not an index beside it: at full
//! size the keys are a third of a node's configuration, and a second copy would not fit into memory.
//! See [docs/design/configuration.md](../../docs/design/configuration.md).

use std::hash::{BuildHasherDefault, Hasher};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::config::{ConfigChange, ConfigDelta, KeyGrant, KeyState};
use crate::ids::CustomerId;
use crate::key::KeyDigest;

/// The result of a key lookup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyStatus {
    /// The key is valid and belongs to this customer.
    Granted(CustomerId),
    /// The key was withdrawn.
    Withdrawn,
    /// The key was never granted, or was removed permanently.
    Unknown,
}

/// Hashes a digest by taking its first bytes, which are uniformly distributed already.
///
/// Only operators add digests to the table, so callers cannot cause collisions.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestHasher(u64);

impl Hasher for DigestHasher {
    fn write(&mut self, bytes: &[u8]) {
        let head = bytes.first_chunk::<8>();
        self.0 ^= head.map_or(0, |head| u64::from_le_bytes(*head));
    }

    // The length of the array is the same for all digests.
    fn write_usize(&mut self, _length: usize) {}

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A key's customer, and whether the key is valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyEntry {
    /// The customer that the key belongs to.
    pub customer: CustomerId,
    /// Whether the key is valid.
    pub state: KeyState,
}

/// The error for a list that contains a key twice.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("key {digest} is listed twice"))]
pub struct DuplicateKey {
    digest: KeyDigest,
}

/// All keys, granted and withdrawn.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "Vec<KeyGrant>", into = "Vec<KeyGrant>")]
pub struct KeyTable {
    entries: IndexMap<KeyDigest, KeyEntry, BuildHasherDefault<DigestHasher>>,
}

impl KeyTable {
    /// Looks a key up.
    pub fn lookup(&self, digest: &KeyDigest) -> KeyStatus {
        match self.entries.get(digest) {
            None => KeyStatus::Unknown,
            Some(entry) => match entry.state {
                KeyState::Withdrawn => KeyStatus::Withdrawn,
                KeyState::Granted => KeyStatus::Granted(entry.customer.clone()),
            },
        }
    }

    /// Returns a key's entry.
    pub fn get(&self, digest: &KeyDigest) -> Option<&KeyEntry> {
        self.entries.get(digest)
    }

    /// Returns the key at an index; removals change the indices of other keys.
    pub(crate) fn grant_at(&self, index: usize) -> Option<KeyGrant> {
        self.entries.get_index(index).map(to_grant)
    }

    /// Returns all keys.
    pub fn iter(&self) -> impl Iterator<Item = KeyGrant> {
        self.entries.iter().map(to_grant)
    }

    /// Adds or replaces a key.
    pub fn put(&mut self, digest: KeyDigest, entry: KeyEntry) {
        self.entries.insert(digest, entry);
    }

    /// Removes a key.
    pub fn remove(&mut self, digest: &KeyDigest) {
        self.entries.swap_remove(digest);
    }

    /// Returns the number of keys, granted and withdrawn.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the valid keys that a delta invalidates or moves to another customer.
    ///
    /// A connection that used one of them is closed, even if it is idle or streams an answer.
    pub fn revoked_by_delta(&self, delta: &ConfigDelta) -> Vec<KeyDigest> {
        let changed = delta.changes.iter().filter_map(|change| match change {
            ConfigChange::PutKey(grant) => Some((grant.digest, Some(grant))),
            ConfigChange::RemoveKey(digest) => Some((*digest, None)),
            _ => None,
        });
        changed
            .filter(|(digest, after)| {
                let after = after.map(|grant| (&grant.customer, grant.state));
                self.is_revoked(digest, after)
            })
            .map(|(digest, _)| digest)
            .collect()
    }

    /// Returns the valid keys that are not valid in `newer`, or belong to another customer there.
    pub fn revoked_by_replacement(&self, newer: &Self) -> Vec<KeyDigest> {
        let digests = self.entries.keys().copied();
        digests
            .filter(|digest| {
                let after = newer.get(digest);
                self.is_revoked(digest, after.map(|entry| (&entry.customer, entry.state)))
            })
            .collect()
    }

    fn is_revoked(&self, digest: &KeyDigest, after: Option<(&CustomerId, KeyState)>) -> bool {
        let before = self.entries.get(digest);
        before.is_some_and(|before| {
            before.state == KeyState::Granted
                && after != Some((&before.customer, KeyState::Granted))
        })
    }
}

fn to_grant((digest, entry): (&KeyDigest, &KeyEntry)) -> KeyGrant {
    KeyGrant {
        digest: *digest,
        customer: entry.customer.clone(),
        state: entry.state,
    }
}

impl TryFrom<Vec<KeyGrant>> for KeyTable {
    type Error = DuplicateKey;

    fn try_from(grants: Vec<KeyGrant>) -> Result<Self, DuplicateKey> {
        let mut table = Self::default();
        table.entries.reserve(grants.len());
        for grant in grants {
            let KeyGrant {
                digest,
                customer,
                state,
            } = grant;
            let old = table.entries.insert(digest, KeyEntry { customer, state });
            ensure!(old.is_none(), DuplicateKeySnafu { digest });
        }
        Ok(table)
    }
}

impl From<KeyTable> for Vec<KeyGrant> {
    fn from(table: KeyTable) -> Self {
        table.iter().collect()
    }
}
