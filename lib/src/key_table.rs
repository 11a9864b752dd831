//! The lookup from a caller's key to its customer, on every request.
//!
//! Keys are found by their digest, so that the time of a lookup says nothing about the bytes of a
//! granted key. The table is split into shards by the digest, each under its own lock, so that a
//! withdrawal holds up only a few of the lookups and copies nothing. A withdrawn key is refused
//! from the next lookup on; [`KeyTable::apply`] names it, so that idle and streaming connections
//! that used it can be closed. See [docs/design/configuration.md](../../docs/design/configuration.md).

use std::hash::{BuildHasherDefault, Hasher};
use std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};

use indexmap::IndexMap;

use crate::config::{ConfigChange, ConfigDelta, KeyGrant, KeyState};
use crate::ids::CustomerId;
use crate::key::KeyDigest;

/// The number of shards.
const SHARDS: usize = 64;

/// What a key stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyStanding {
    /// The key belongs to this customer and works.
    Granted(CustomerId),
    /// The key was withdrawn.
    Withdrawn,
    /// The key was never granted, or removed for good.
    Unknown,
}

/// Hashes a digest by taking its first bytes, which are uniform already.
///
/// Only operators put digests into the table, so callers cannot make them collide.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestHasher(u64);

impl Hasher for DigestHasher {
    fn write(&mut self, bytes: &[u8]) {
        let head = bytes.first_chunk::<8>();
        self.0 ^= head.map_or(0, |head| u64::from_le_bytes(*head));
    }

    // The length of the array that follows is the same for all digests.
    fn write_usize(&mut self, _length: usize) {}

    fn finish(&self) -> u64 {
        self.0
    }
}

#[derive(Clone, Debug)]
struct KeyEntry {
    customer: CustomerId,
    state: KeyState,
}

type KeyShard = IndexMap<KeyDigest, KeyEntry, BuildHasherDefault<DigestHasher>>;

/// All keys, granted and withdrawn, for lookups from many threads.
#[derive(Debug)]
pub struct KeyTable {
    shards: Vec<RwLock<KeyShard>>,
}

impl Default for KeyTable {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| RwLock::default()).collect(),
        }
    }
}

impl KeyTable {
    /// Looks a key up.
    pub fn lookup(&self, digest: &KeyDigest) -> KeyStanding {
        match self.read(digest).get(digest) {
            None => KeyStanding::Unknown,
            Some(entry) => match entry.state {
                KeyState::Withdrawn => KeyStanding::Withdrawn,
                KeyState::Granted => KeyStanding::Granted(entry.customer.clone()),
            },
        }
    }

    /// Adds or replaces a key; returns whether the key worked and stopped working.
    pub fn put(&self, grant: &KeyGrant) -> bool {
        let entry = KeyEntry {
            customer: grant.customer.clone(),
            state: grant.state,
        };
        let old = self.write(&grant.digest).insert(grant.digest, entry);
        old.is_some_and(|old| {
            old.state == KeyState::Granted
                && (grant.state == KeyState::Withdrawn || old.customer != grant.customer)
        })
    }

    /// Removes a key; returns whether it worked until now.
    pub fn remove(&self, digest: &KeyDigest) -> bool {
        let old = self.write(digest).swap_remove(digest);
        old.is_some_and(|old| old.state == KeyState::Granted)
    }

    /// Applies the key changes of a delta and returns the keys that stopped working, or that now
    /// belong to another customer.
    pub fn apply(&self, delta: &ConfigDelta) -> Vec<KeyDigest> {
        let mut stopped = Vec::new();
        for change in &delta.changes {
            let (digest, has_stopped) = match change {
                ConfigChange::PutKey(grant) => (grant.digest, self.put(grant)),
                ConfigChange::RemoveKey(digest) => (*digest, self.remove(digest)),
                _ => continue,
            };
            if has_stopped {
                stopped.push(digest);
            }
        }
        stopped
    }

    /// Replaces all keys, as when a whole configuration is taken over, and returns the keys that
    /// stopped working.
    ///
    /// Keys that stay are found at every moment of the replacement.
    pub fn replace<'a>(&self, grants: impl Iterator<Item = &'a KeyGrant>) -> Vec<KeyDigest> {
        let mut fresh: Vec<KeyShard> = (0..SHARDS).map(|_| KeyShard::default()).collect();
        for grant in grants {
            let entry = KeyEntry {
                customer: grant.customer.clone(),
                state: grant.state,
            };
            fresh[shard_of(&grant.digest)].insert(grant.digest, entry);
        }
        let mut stopped = Vec::new();
        for (shard, mut fresh) in self.shards.iter().zip(fresh) {
            fresh.shrink_to_fit();
            let old = std::mem::replace(&mut *write_shard(shard), fresh);
            let fresh = read_shard(shard);
            let worked = old
                .iter()
                .filter(|(_, entry)| entry.state == KeyState::Granted);
            let gone = worked.filter(|(digest, entry)| {
                let kept = fresh.get(*digest);
                !kept.is_some_and(|kept| {
                    kept.state == KeyState::Granted && kept.customer == entry.customer
                })
            });
            stopped.extend(gone.map(|(digest, _)| *digest));
        }
        stopped
    }

    /// Returns the number of keys, granted and withdrawn.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| read_shard(shard).len())
            .sum()
    }

    /// Returns whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn read(&self, digest: &KeyDigest) -> RwLockReadGuard<'_, KeyShard> {
        read_shard(&self.shards[shard_of(digest)])
    }

    fn write(&self, digest: &KeyDigest) -> RwLockWriteGuard<'_, KeyShard> {
        write_shard(&self.shards[shard_of(digest)])
    }
}

/// Picks the shard by the digest's last byte, since its first ones pick the place in the shard.
fn shard_of(digest: &KeyDigest) -> usize {
    let [.., last] = digest.as_bytes();
    usize::from(*last) % SHARDS
}

fn read_shard(shard: &RwLock<KeyShard>) -> RwLockReadGuard<'_, KeyShard> {
    shard.read().expect("no holder of a key shard panics")
}

fn write_shard(shard: &RwLock<KeyShard>) -> RwLockWriteGuard<'_, KeyShard> {
    shard.write().expect("no holder of a key shard panics")
}
