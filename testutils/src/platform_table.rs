//! In-memory transactional tables with a limited history.
//!
//! The number of a transaction is the version of all rows that it writes, so that a row that is
//! removed and written again never has an old version. The history allows reads as of an earlier
//! time, as from a lagging replica of a real table.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// How long superseded values are kept.
const HISTORY_RETENTION: Duration = Duration::from_secs(120);

/// A value with the time at which it was written.
#[derive(Clone, Debug)]
struct StampedValue<T> {
    since: Instant,
    value: T,
}

/// A value and its recent history.
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
    /// Sets the value as of `now` and drops history beyond the retention period.
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

/// A row's version and bytes; a removed row has no bytes.
type RowState = (u64, Option<Bytes>);

/// A row as a read returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemoryRow {
    /// The row's key within its table.
    pub key: String,
    /// The number of the transaction that wrote the row.
    pub version: u64,
    /// The row's bytes; none if it was removed.
    pub value: Option<Bytes>,
}

/// The table and key of a row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowName {
    /// The table.
    pub table: String,
    /// The key within the table.
    pub key: String,
}

/// The conditions and writes of a transaction.
#[derive(Clone, Debug, Default)]
pub struct MemoryTransaction {
    /// The versions that rows must have; zero means that the row must not exist.
    pub expected: Vec<(RowName, u64)>,
    /// The rows to write, or to remove if there are no bytes.
    pub writes: Vec<(RowName, Option<Bytes>)>,
}

/// Tables of versioned rows with atomic conditional transactions.
#[derive(Clone, Debug, Default)]
pub struct MemoryTables {
    rows: BTreeMap<RowName, ValueHistory<RowState>>,
    version: u64,
}

impl MemoryTables {
    /// Returns the number of the newest transaction.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Reads at most `limit` rows of a table as of `at`, from key `from` up to and without
    /// `before`; also returns whether there are more.
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

    /// Returns the newest state of the rows of a table that changed after a version, in order of
    /// their versions.
    pub fn changes(&self, table: &str, after: u64) -> Vec<MemoryRow> {
        let mut rows: Vec<MemoryRow> = self
            .table(table, "")
            .filter_map(|(name, history)| Some(to_row(name, history.newest()?)))
            .filter(|row| row.version > after)
            .collect();
        rows.sort_by_key(|row| row.version);
        rows
    }

    /// Applies a transaction if all its expected versions match; otherwise returns the existing
    /// rows among those expected.
    pub fn transact(
        &mut self,
        transaction: MemoryTransaction,
        now: Instant,
    ) -> Result<(), Vec<MemoryRow>> {
        let find = |name: &RowName| {
            let row = to_row(name, self.rows.get(name)?.newest()?);
            row.value.is_some().then_some(row)
        };
        let met =
            |(name, version): &(RowName, u64)| find(name).map_or(0, |row| row.version) == *version;
        if !transaction.expected.iter().all(met) {
            let names = transaction.expected.iter().map(|(name, _)| name);
            return Err(names.filter_map(find).collect());
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
