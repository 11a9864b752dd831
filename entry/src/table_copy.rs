//! This node's copy of a table of the store, and what it knows of newer versions.

use std::cell::RefCell;

use damaskloom_lib::entry_members::NodeHeartbeat;
use damaskloom_lib::table_mirror::{MirrorRow, TableMirror};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::version_lag::VersionLag;
use tokio::sync::Notify;

/// The tables that nodes keep copies of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableKind {
    /// The operators' table with the routing.
    Routing,
    /// The table with the targets.
    Targets,
}

impl TableKind {
    /// Returns the path at which peers fetch rows of the table.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Routing => "/rows/routing",
            Self::Targets => "/rows/targets",
        }
    }

    /// Returns the version of the sender's newest row.
    pub const fn version(self, heartbeat: &NodeHeartbeat) -> u64 {
        match self {
            Self::Routing => heartbeat.routing_version,
            Self::Targets => heartbeat.targets_version,
        }
    }
}

/// The copy of one table.
#[derive(Debug, Default)]
pub struct TableCopy {
    /// The rows.
    pub mirror: RefCell<TableMirror>,
    /// For how long peers have had rows that are missing here.
    lag: RefCell<VersionLag>,
    /// Wakes the task that fetches rows from peers: a peer has newer ones.
    pub newer_known: Notify,
}

impl TableCopy {
    /// Records that a peer has a version; returns whether it is the first missing one.
    pub fn announce(&self, now: MonoTime, version: u64) -> bool {
        if version <= self.mirror.borrow().version() {
            return false;
        }
        self.newer_known.notify_one();
        self.lag.borrow_mut().announce(now, version)
    }

    /// Applies changes up to a version; returns those that were newer than the copy.
    pub fn apply(&self, rows: Vec<MirrorRow>, version: u64) -> Vec<MirrorRow> {
        let changed_rows = self.mirror.borrow_mut().apply(rows, version);
        self.record_reached();
        changed_rows
    }

    /// Replaces the copy by the whole table as of a version; returns the changes.
    pub fn replace(&self, rows: Vec<MirrorRow>, version: u64) -> Vec<MirrorRow> {
        let changed_rows = self.mirror.borrow_mut().replace(rows, version);
        self.record_reached();
        changed_rows
    }

    fn record_reached(&self) {
        let version = self.mirror.borrow().version();
        self.lag.borrow_mut().record_reached(version);
    }

    /// Returns for how long peers have had rows that are missing here, in milliseconds; none if the
    /// copy has all versions that this node knows of.
    pub fn lag_ms(&self, now: MonoTime) -> Option<u64> {
        let lag = self.lag.borrow().lag(now);
        lag.map(|lag| lag.as_millis() as u64)
    }
}
