//! In-memory transactional tables that remember the past for a while.
//!
//! Each transaction gives the rows that it writes its number as their version, so that a row that is
//! removed and written again never has an old version. The past is kept so that reads
//! can be answered as of an earlier time, as a lagging replica of a real table would.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

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

/// A row's version and bytes; no bytes stand for a row that was removed.
type RowState = (u64, Option<Bytes>);

/// A row as it is read: its key, its version and its bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemoryRow {
    /// The row's key within its table.
    pub key: String,
    /// The number of the transaction that wrote the row.
    pub version: u64,
    /// The row's bytes; none if it was removed.
    pub value: Option<Bytes>,
}

/// A row that a transaction names.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowName {
    /// The table.
    pub table: String,
    /// The key within the table.
    pub key: String,
}

/// What a transaction expects and writes.
#[derive(Clone, Debug, Default)]
pub struct MemoryTransaction {
    /// The versions that rows must have; zero for a row that must not exist.
    pub expected: Vec<(RowName, u64)>,
    /// The rows that are written, or removed if there are no bytes.
    pub writes: Vec<(RowName, Option<Bytes>)>,
}

/// Tables of versioned rows with atomic conditional transactions.
#[derive(Debug, Default)]
pub struct MemoryTables {
    rows: BTreeMap<RowName, ValueHistory<RowState>>,
    version: u64,
}

impl MemoryTables {
    /// Returns the number of the newest transaction.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Reads at most `limit` rows of a table from a key on, as of `at`; says whether there are more.
    pub fn read(
        &self,
        table: &str,
        from: &str,
        before: Option<&str>,
        limit: usize,
        at: Instant,
    ) -> (Vec<MemoryRow>, bool) {
        let mut rows: Vec<MemoryRow> = self
            .table(table, from)
            .take_while(|(name, _)| before.is_none_or(|before| name.key.as_str() < before))
            .filter_map(|(name, history)| Some(to_row(name, history.as_of(at)?)))
            .filter(|row| row.value.is_some())
            .take(limit.saturating_add(1))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (rows, has_more)
    }

    /// Returns the newest state of the rows of a table that changed after a version, in order.
    pub fn changes(&self, table: &str, after: u64) -> Vec<MemoryRow> {
        let mut rows: Vec<MemoryRow> = self
            .table(table, "")
            .filter_map(|(name, history)| Some(to_row(name, history.newest()?)))
            .filter(|row| row.version > after)
            .collect();
        rows.sort_by_key(|row| row.version);
        rows
    }

    /// Applies a transaction if all its expectations hold now; returns the rows of the expectations
    /// that exist if they do not.
    pub fn transact(
        &mut self,
        transaction: MemoryTransaction,
        now: Instant,
    ) -> Result<(), Vec<MemoryRow>> {
        let held = |name: &RowName| {
            let row = to_row(name, self.rows.get(name)?.newest()?);
            row.value.is_some().then_some(row)
        };
        let holds =
            |(name, version): &(RowName, u64)| held(name).map_or(0, |row| row.version) == *version;
        if !transaction.expected.iter().all(holds) {
            let names = transaction.expected.iter().map(|(name, _)| name);
            return Err(names.filter_map(held).collect());
        }
        self.version += 1;
        for (name, value) in transaction.writes {
            let history = self.rows.entry(name).or_default();
            history.set(now, (self.version, value));
        }
        Ok(())
    }

    fn table(
        &self,
        table: &str,
        from: &str,
    ) -> impl Iterator<Item = (&RowName, &ValueHistory<RowState>)> {
        let start = RowName {
            table: table.to_owned(),
            key: from.to_owned(),
        };
        let end = table.to_owned();
        self.rows
            .range(start..)
            .take_while(move |(name, _)| name.table == end)
    }
}

fn to_row(name: &RowName, (version, value): &RowState) -> MemoryRow {
    MemoryRow {
        key: name.key.clone(),
        version: *version,
        value: value.clone(),
    }
}
