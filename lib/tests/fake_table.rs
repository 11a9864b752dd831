//! A table in memory that can serve stale reads.

use std::collections::BTreeMap;

use damaskloom_lib::plan::RowMap;
use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, RowKey, RowVersion, TableRow, Transaction,
};
use serde::de::DeserializeOwned;

/// The history of each row's values, with the numbers of the commits that wrote them.
#[derive(Default)]
pub struct FakeTable {
    rows: BTreeMap<RowKey, Vec<(u64, Option<serde_json::Value>)>>,
    commits: u64,
}

impl FakeTable {
    /// Reads rows as they were before the last `lag` commits. Only rows whose bit is set in `mask`
    /// are stale, since each may be read from another replica.
    pub fn read(&self, keys: Vec<RowKey>, lag: usize, mask: u8) -> RowMap {
        let read = |(index, key): (usize, RowKey)| {
            let lag = if mask >> (index % 8) & 1 == 1 { lag } else { 0 };
            let visible = self.commits.saturating_sub(lag as u64);
            (key.clone(), self.get(&key, visible))
        };
        keys.into_iter().enumerate().map(read).collect()
    }

    /// Reads and parses one row.
    pub fn row<T: DeserializeOwned>(&self, key: RowKey) -> Option<T> {
        let row = self.get(&key, self.commits)?;
        Some(serde_json::from_value(row.value).expect("rows are well-formed"))
    }

    /// Returns the rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        let keys = self.rows.keys().filter(|key| key.0.starts_with(prefix));
        keys.filter_map(|key| self.get(key, self.commits)).collect()
    }

    /// Commits a transaction if its conditions hold now.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let held = |key| self.get(key, self.commits).map(|row| row.version);
        let failed: Vec<RowKey> = transaction
            .conditions
            .iter()
            .filter_map(|condition| match condition {
                Condition::VersionIs(key, version) => {
                    (held(key) != Some(*version)).then(|| key.clone())
                }
                Condition::Absent(key) => held(key).map(|_| key.clone()),
            })
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        self.commits += 1;
        for mutation in &transaction.mutations {
            let (key, value) = match mutation {
                Mutation::Put(key, value) => (key, Some(value.clone())),
                Mutation::Delete(key) => (key, None),
            };
            let history = self.rows.entry(key.clone()).or_default();
            history.push((self.commits, value));
        }
        CommitOutcome::Committed
    }

    fn get(&self, key: &RowKey, visible: u64) -> Option<TableRow> {
        let mut history = self.rows.get(key)?.iter().rev();
        let (commit, value) = history.find(|(commit, _)| *commit <= visible)?;
        Some(TableRow {
            key: key.clone(),
            value: value.clone()?,
            version: RowVersion(*commit),
        })
    }
}
