//! A node's copy of a table in the platform's store, which peers can fetch from it.
//!
//! Removed rows are kept as tombstones, so that a peer that fetches the changes after a version
//! receives removals too. A copy that was read as a whole table knows no earlier removals; a peer with
//! an older version gets the keys of all rows then. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
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

/// What the rows of an answer to a peer stand for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowExtent {
    /// All changes after the requested version, removals included.
    Changes,
    /// The whole table: the rows that are newer than the requested version, and those with these
    /// keys, which have not changed since. All other rows were removed.
    Table {
        /// The keys of the unchanged rows.
        unchanged: Vec<String>,
    },
}

impl RowExtent {
    /// Returns the name of the extent in log lines.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Changes => "changes",
            Self::Table { .. } => "table",
        }
    }
}

/// The copy of one table.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: IndexMap<String, (Option<Bytes>, StoreVersion)>,
    version: StoreVersion,
    /// The version since when all removals are known.
    history_since: StoreVersion,
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

    /// Returns the version before which a peer's copy may differ from this one: that of the newest row or
    /// removal, or of the reading of the whole table, which may have missed removals.
    pub fn newest_change_version(&self) -> StoreVersion {
        self.newest_row_version().max(self.history_since)
    }

    /// Applies changes up to a version; returns those that were newer than the copy.
    ///
    /// Changes up to a version of a later era must be the whole table: rows that are not among them
    /// were lost when the store was restored.
    pub fn apply(&mut self, rows: Vec<MirrorRow>, version: StoreVersion) -> Vec<MirrorRow> {
        if version.era() > self.version.era() {
            return self.replace(rows, version);
        }
        let changes = self.insert_unreflected(rows);
        self.version = self.version.max(version);
        changes
    }

    /// Applies a peer's answer, which leads to a version; returns the changes, removals included.
    pub fn apply_answer(
        &mut self,
        rows: Vec<MirrorRow>,
        version: StoreVersion,
        extent: &RowExtent,
    ) -> Vec<MirrorRow> {
        match extent {
            RowExtent::Changes => self.apply(rows, version),
            RowExtent::Table { .. } if version <= self.version => Vec::new(),
            RowExtent::Table { unchanged } => {
                let live = rows.iter().filter(|row| row.value.is_some());
                let keys = live.map(|row| &row.key).chain(unchanged);
                let missing = self.missing_rows(&keys.collect(), version);
                let mut changes = self.insert_unreflected(rows);
                self.version = version;
                self.history_since = version;
                changes.extend(self.insert_newer(missing));
                changes
            }
        }
    }

    /// Replaces the copy by the whole table as of a version; returns the changes, removals included.
    pub fn replace(&mut self, rows: Vec<MirrorRow>, version: StoreVersion) -> Vec<MirrorRow> {
        if version < self.version {
            return Vec::new();
        }
        let missing = self.missing_rows(&rows.iter().map(|row| &row.key).collect(), version);
        if version > self.version {
            // Rows may have been written and removed since the last version.
            self.history_since = version;
        }
        self.version = version;
        let mut changes = self.insert_newer(rows);
        changes.extend(self.insert_newer(missing));
        changes
    }

    /// Returns tombstones of the rows whose keys are missing in a table, except newer rows.
    ///
    /// A row of an earlier era was lost when the store was restored. Its tombstone has the version at which
    /// the era begins, the same at all nodes, so that it differs from a removal in the new era.
    fn missing_rows(&self, keys: &IndexSet<&String>, version: StoreVersion) -> Vec<MirrorRow> {
        let held = self.rows.iter();
        held.filter(|(key, (value, held_version))| {
            value.is_some() && *held_version <= version && !keys.contains(key)
        })
        .map(|(key, (_, held_version))| MirrorRow {
            key: key.clone(),
            value: None,
            version: if held_version.era() < version.era() {
                StoreVersion::era_start(version.era())
            } else {
                version
            },
        })
        .collect()
    }

    /// Inserts the rows that are newer than the copy. It already reflects older ones: one that it does
    /// not hold was removed meanwhile.
    fn insert_unreflected(&mut self, rows: Vec<MirrorRow>) -> Vec<MirrorRow> {
        let reflected = self.version;
        let newer = rows.into_iter().filter(|row| row.version > reflected);
        self.insert_newer(newer)
    }

    /// Inserts the rows that are newer than the held ones, and returns them.
    fn insert_newer(&mut self, rows: impl IntoIterator<Item = MirrorRow>) -> Vec<MirrorRow> {
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
        changes.collect()
    }

    /// Returns the rows and known removals after a version.
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

    /// Returns what [`Self::changes_after`] stands for: the whole table if rows may have been removed
    /// after the version that this copy does not know of.
    pub fn extent_after(&self, version: StoreVersion) -> RowExtent {
        if version >= self.history_since {
            return RowExtent::Changes;
        }
        let unchanged = self
            .rows
            .iter()
            .filter(|(_, (value, changed_at))| value.is_some() && *changed_at <= version)
            .map(|(key, _)| key.clone())
            .collect();
        RowExtent::Table { unchanged }
    }
}
