//! A node's copy of a table in the platform's store, which peers can fetch from it.
//!
//! Removed rows are kept as tombstones, so that a peer that fetches the changes after a version
//! receives removals too. See [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::store_version::StoreVersion;

/// A row, or the tombstone of a removed one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MirrorRow {
    /// The row's key.
    pub key: String,
    /// The row's bytes; none if it was removed.
    pub value: Option<Bytes>,
    /// The version at which it was written or removed.
    pub version: StoreVersion,
}

/// The copy of one table.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: IndexMap<String, (Option<Bytes>, StoreVersion)>,
    version: StoreVersion,
}

impl TableMirror {
    /// Returns the newest version that the copy reflects.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the version of the newest row or removal.
    pub fn newest_row_version(&self) -> StoreVersion {
        let versions = self.rows.values().map(|(_, version)| *version);
        versions.max().unwrap_or_default()
    }

    /// Applies changes up to a version; returns those that were newer than the copy.
    ///
    /// Changes up to a version of a later era must be the whole table: rows that are not among them
    /// were lost when the store was restored.
    pub fn apply(&mut self, rows: Vec<MirrorRow>, version: StoreVersion) -> Vec<MirrorRow> {
        if version.era() > self.version.era() {
            return self.replace(rows, version);
        }
        let changes = rows.into_iter().filter(|row| {
            let held = self.rows.get(&row.key);
            if held.is_some_and(|(_, version)| *version >= row.version) {
                return false;
            }
            // The removal of an unknown row is kept as well, since peers may have the row.
            self.rows
                .insert(row.key.clone(), (row.value.clone(), row.version));
            true
        });
        let changes = changes.collect();
        self.version = self.version.max(version);
        changes
    }

    /// Replaces the copy by the whole table as of a version; returns the changes, removals included.
    pub fn replace(&mut self, rows: Vec<MirrorRow>, version: StoreVersion) -> Vec<MirrorRow> {
        if version < self.version {
            return Vec::new();
        }
        let missing: Vec<MirrorRow> = self
            .rows
            .iter()
            .filter(|(key, (value, _))| value.is_some() && !rows.iter().any(|row| row.key == **key))
            .map(|(key, _)| MirrorRow {
                key: key.clone(),
                value: None,
                version,
            })
            .collect();
        self.version = version;
        let mut changes = self.apply(rows, version);
        changes.extend(self.apply(missing, version));
        changes
    }

    /// Returns the changes after a version.
    pub fn changes_after(&self, version: StoreVersion) -> Vec<MirrorRow> {
        self.rows
            .iter()
            .filter(|(_, (_, changed_at))| *changed_at > version)
            .map(|(key, (value, version))| MirrorRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect()
    }
}
