//! This node's copy of a table of the store, and what it knows of newer versions.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use damaskloom_lib::copy_age::CopyAge;
use damaskloom_lib::entry_members::NodeHeartbeat;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::table_mirror::{MirrorRow, RowExtent, TableMirror};
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
    pub const fn version(self, heartbeat: &NodeHeartbeat) -> StoreVersion {
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
    /// How old the copy may be.
    pub age: RefCell<CopyAge>,
    /// The lag that ended with the last change.
    ended_lag: Cell<Option<Duration>>,
    /// Wakes the task that fetches rows from peers: a peer has newer ones.
    pub newer_known: Notify,
}

impl TableCopy {
    /// Records that a peer has a version; returns whether it is the first missing one.
    pub fn announce(&self, now: MonoTime, version: StoreVersion) -> bool {
        if version <= self.mirror.borrow().version() {
            return false;
        }
        self.newer_known.notify_one();
        self.lag.borrow_mut().announce(now, version)
    }

    /// Applies changes up to a version; returns those that were newer than the copy.
    pub fn apply(
        &self,
        now: MonoTime,
        rows: Vec<MirrorRow>,
        version: StoreVersion,
    ) -> Vec<MirrorRow> {
        let changed_rows = self.mirror.borrow_mut().apply(rows, version);
        self.record_reached(now);
        changed_rows
    }

    /// Applies a peer's answer; returns the changes, removals included.
    pub fn apply_answer(
        &self,
        now: MonoTime,
        rows: Vec<MirrorRow>,
        version: StoreVersion,
        extent: &RowExtent,
    ) -> Vec<MirrorRow> {
        let mut mirror = self.mirror.borrow_mut();
        let changed_rows = mirror.apply_answer(rows, version, extent);
        drop(mirror);
        self.record_reached(now);
        changed_rows
    }

    /// Replaces the copy by the whole table as of a version; returns the changes.
    pub fn replace(
        &self,
        now: MonoTime,
        rows: Vec<MirrorRow>,
        version: StoreVersion,
    ) -> Vec<MirrorRow> {
        let changed_rows = self.mirror.borrow_mut().replace(rows, version);
        self.record_reached(now);
        changed_rows
    }

    fn record_reached(&self, now: MonoTime) {
        let version = self.mirror.borrow().version();
        self.ended_lag.set(self.lag(now));
        self.lag.borrow_mut().record_reached(version);
        self.age.borrow_mut().record_reached(version);
    }

    /// Returns for how long peers have had rows that are missing here; none if the copy has all
    /// versions that this node knows of.
    pub fn lag(&self, now: MonoTime) -> Option<Duration> {
        self.lag.borrow().lag(now)
    }

    /// Returns for how long peers had the rows of the last change before this node, in milliseconds;
    /// none if no peer had announced them.
    pub fn ended_lag_ms(&self) -> Option<u64> {
        let lag = self.ended_lag.get();
        lag.map(|lag| lag.as_millis() as u64)
    }
}
