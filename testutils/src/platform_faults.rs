//! The faults that the platform's stand-in can inject, and its call counters.

use serde::{Deserialize, Serialize};

/// How calls fail during an outage of the stand-in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Calls are served.
    #[default]
    None,
    /// Calls are refused with status 503.
    Refuse,
    /// Calls get no answer and have no effect.
    Hang,
}

/// The active faults; none by default.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether and how all calls fail.
    pub outage: OutageMode,
    /// The delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// The number of upcoming writes that take effect but lose their answer.
    pub lose_next_answers: u32,
    /// The share of writes that take effect but lose their answer, in thousandths.
    pub lost_answers_per_mille: u32,
    /// The share of calls that are refused with status 503, in thousandths.
    pub refused_per_mille: u32,
    /// The lag of table and object reads, in milliseconds.
    pub read_lag_ms: u64,
    /// The lag of the VM list, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// Whether the change history is discarded, so that feeds must read their table again.
    pub forgetful: bool,
}

impl PlatformFaults {
    /// Returns faults that refuse all calls.
    pub fn refusing() -> Self {
        Self {
            outage: OutageMode::Refuse,
            ..Self::default()
        }
    }
}

/// The calls that the stand-in received since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct PlatformCounters {
    /// Reads of one row.
    pub gets: u64,
    /// Reads of a key range.
    pub scans: u64,
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions whose conditions failed.
    pub conflicts: u64,
    /// Object reads.
    pub object_reads: u64,
    /// Object writes.
    pub object_writes: u64,
    /// Reads of the VM list.
    pub vm_lists: u64,
    /// Reads of feeds.
    pub feeds: u64,
    /// Calls that were refused or hung.
    pub failed: u64,
    /// Writes whose answer was dropped by a fault.
    pub lost_answers: u64,
}

impl PlatformCounters {
    /// Returns the number of reads of every kind.
    pub const fn reads(&self) -> u64 {
        self.gets + self.scans + self.object_reads + self.vm_lists + self.feeds
    }

    /// Returns the number of writes of every kind.
    pub const fn writes(&self) -> u64 {
        self.commits + self.conflicts + self.object_writes
    }
}
