//! An in-memory transactional table that remembers the past for a while.
//!
//! Each commit gives the rows that it writes the number of the commit as their version, so that a
//! row that is deleted and written again never has an old version. The past is kept so that reads
//! can be answered as of an earlier time, as a lagging replica of a real table would.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, RowKey, RowVersion, TableRow, Transaction,
};

/// How long superseded values are kept.
const HISTORY_RETENTION: Duration = Duration::from_secs(120);

/// A value with the times at which it was written; `None` stands for a deletion.
#[derive(Clone, Debug)]
struct StampedValue<T> {
    since: Instant,
    value: T,
}

/// A value and its recent past.
#[derive(Clone, Debug)]
pub struct ValueHistory<T> {
    entries: Vec<StampedValue<T>>,
}

impl<T> Default for ValueHistory<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T> ValueHistory<T> {
    /// Sets the value from `now` on and forgets the distant past.
    pub fn set(&mut self, now: Instant, value: T) {
        self.entries.push(StampedValue { since: now, value });
        let superseded = self
            .entries
            .iter()
            .skip(1)
            .take_while(|entry| now.duration_since(entry.since) > HISTORY_RETENTION)
            .count();
        self.entries.drain(..superseded);
    }

    /// Returns the value as of `at`.
    pub fn as_of(&self, at: Instant) -> Option<&T> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.since <= at)
            .map(|entry| &entry.value)
    }

    /// Returns the newest value.
    pub fn newest(&self) -> Option<&T> {
        self.entries.last().map(|entry| &entry.value)
    }
}

type RowState = Option<(RowVersion, serde_json::Value)>;

/// A table of versioned rows with atomic conditional transactions.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<RowKey, ValueHistory<RowState>>,
    last_commit: u64,
}

impl MemoryTable {
    /// Reads a row as of `at`.
    pub fn get(&self, key: &RowKey, at: Instant) -> Option<TableRow> {
        let state = self.rows.get(key)?.as_of(at)?;
        to_row(key, state)
    }

    /// Reads at most `limit` rows of a key range as of `at`.
    pub fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
        at: Instant,
    ) -> Vec<TableRow> {
        let start = match after {
            Some(after) if after.0.as_str() >= prefix => Bound::Excluded(after.clone()),
            _ => Bound::Included(RowKey::from(prefix)),
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.0.starts_with(prefix))
            .filter_map(|(key, history)| to_row(key, history.as_of(at)?))
            .take(limit)
            .collect()
    }

    /// Commits a transaction if all its conditions hold now.
    pub fn commit(&mut self, transaction: &Transaction, now: Instant) -> CommitOutcome {
        let failed: Vec<RowKey> = transaction
            .conditions
            .iter()
            .filter(|condition| !self.holds(condition))
            .map(|condition| condition_key(condition).clone())
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        self.last_commit += 1;
        for mutation in &transaction.mutations {
            self.mutate(mutation, now);
        }
        CommitOutcome::Committed
    }

    fn holds(&self, condition: &Condition) -> bool {
        let held = self.newest_version(condition_key(condition));
        match condition {
            Condition::VersionIs(_, version) => held == Some(*version),
            Condition::Absent(_) => held.is_none(),
        }
    }

    fn newest_version(&self, key: &RowKey) -> Option<RowVersion> {
        let state = self.rows.get(key)?.newest()?;
        state.as_ref().map(|(version, _)| *version)
    }

    fn mutate(&mut self, mutation: &Mutation, now: Instant) {
        let (key, state) = match mutation {
            Mutation::Put(key, value) => (key, Some((RowVersion(self.last_commit), value.clone()))),
            Mutation::Delete(key) => (key, None),
        };
        self.rows.entry(key.clone()).or_default().set(now, state);
    }
}

fn condition_key(condition: &Condition) -> &RowKey {
    match condition {
        Condition::VersionIs(key, _) | Condition::Absent(key) => key,
    }
}

fn to_row(key: &RowKey, state: &RowState) -> Option<TableRow> {
    let (version, value) = state.as_ref()?;
    Some(TableRow {
        key: key.clone(),
        value: value.clone(),
        version: *version,
    })
}
