//! The counters of an entry process.

use std::cell::Cell;

/// Counts what happened to requests since the start.
#[derive(Debug, Default)]
pub struct EntryCounters {
    /// The requests that arrived.
    pub requests: Cell<u64>,
    /// The requests that ended with a target's answer.
    pub answered: Cell<u64>,
    /// The requests that were refused and did not run.
    pub refused: Cell<u64>,
    /// The requests that may have run and got no answer of their target.
    pub lost: Cell<u64>,
    /// The sendings to targets.
    pub sendings: Cell<u64>,
    /// The sendings after the first of a request.
    pub repeats: Cell<u64>,
    /// The connections that were opened to targets.
    pub connects: Cell<u64>,
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
