//! Bounds the age of a node's copy of a table of the platform's store, whoever reads the store for it.
//!
//! Nodes that read the store tell the nodes of their data centre when they did, so that a copy is known
//! to be current as of a time. A node whose copy is older than a fraction of the time in which changes must
//! take effect reads the store itself, whatever it hears of the nodes that read it for others: a call that
//! is not answered fails late, and a node that waits for one seems to work. See
//! [docs/design/copy-age.md](../../docs/design/copy-age.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store_version::StoreVersion;
use crate::time::MonoTime;

/// The age of a copy at which the first node of a data centre reads the store, as a fraction of the time in
/// which a change must take effect: the cycle of a feed, with the delay after a change, is shorter.
const READ_AGE_RATIO: f64 = 0.65;
/// The delay between the steps in which the nodes of a data centre read the store, as a fraction of that
/// time: an answer to the nodes of one step reaches those of the next one before they read.
const STEP_RATIO: f64 = 0.02;
/// The maximum number of steps.
const MAX_STEPS: u32 = 5;
/// The age of a copy from which a feed that should have ended by then is not waited for, as a fraction of
/// that time.
const OVERDUE_AGE_RATIO: f64 = 0.55;

/// What a node says of its last reading of a table from the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableReading {
    /// The version of the newest change that the node knows.
    pub version: StoreVersion,
    /// The time since the store answered, in milliseconds.
    pub age_ms: u32,
}

/// Tracks when a copy was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyAge {
    /// When the store last answered this node.
    read_at: Option<MonoTime>,
    /// The latest time at which the copy had all changes, by own readings and those of peers.
    current_at: Option<MonoTime>,
    /// The newest reading of rows that the copy lacks, and its time.
    missed: Option<(StoreVersion, MonoTime)>,
}

impl CopyAge {
    /// Records that the store has answered this node.
    pub fn record_read(&mut self, now: MonoTime) {
        self.read_at = Some(now);
        self.current_at = Some(now);
    }

    /// Records what a peer says of its reading, given the version of this node's copy. A copy that lacks a
    /// change is current as of that reading once it has the change.
    pub fn record_reading(&mut self, now: MonoTime, version: StoreVersion, reading: TableReading) {
        let read_at = now - Duration::from_millis(reading.age_ms.into());
        if reading.version <= version {
            self.current_at = self.current_at.max(Some(read_at));
        } else {
            self.missed = self.missed.max(Some((reading.version, read_at)));
        }
    }

    /// Records that the copy has all changes up to a version.
    pub fn record_reached(&mut self, version: StoreVersion) {
        if let Some((_, read_at)) = self.missed.take_if(|(missed, _)| *missed <= version) {
            self.current_at = self.current_at.max(Some(read_at));
        }
    }

    /// Returns what this node can tell peers of its own reading, given the version of the newest change that
    /// it knows. What it has from peers is not passed on, since the delays would add up.
    pub fn reading(&self, now: MonoTime, version: StoreVersion) -> Option<TableReading> {
        let age = now.since(self.read_at?);
        Some(TableReading {
            version,
            age_ms: u32::try_from(age.as_millis()).ok()?,
        })
    }

    /// Returns the age of the copy; none before it was read.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.current_at.map(|at| now.since(at))
    }

    /// Returns the time until this node reads the store, given the time in which changes must take effect
    /// and this node's step among those of its data centre; none before the copy was first read.
    pub fn time_until_read(&self, now: MonoTime, bound: Duration, step: u32) -> Option<Duration> {
        let ratio = READ_AGE_RATIO + STEP_RATIO * f64::from(step.min(MAX_STEPS));
        let age = self.age(now)?;
        Some(bound.mul_f64(ratio).saturating_sub(age))
    }

    /// Returns whether the last answer to this node's feed is so old that the next one seems to be lost.
    pub fn is_feed_overdue(&self, now: MonoTime, bound: Duration) -> bool {
        let overdue = bound.mul_f64(OVERDUE_AGE_RATIO);
        self.read_at.is_some_and(|at| now.since(at) >= overdue)
    }
}
