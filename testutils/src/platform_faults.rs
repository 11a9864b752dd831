//! The faults that the platform's stand-in can show, and what it counts.

use serde::{Deserialize, Serialize};

/// How the stand-in fails its calls while it is out.
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

/// The faults in force; the default is none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether and how all calls fail.
    pub outage: OutageMode,
    /// The delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// The number of next writes that take effect and lose their answer.
    pub lose_next_answers: u32,
    /// The share of writes that take effect and lose their answer, in thousandths.
    pub lost_answers_per_mille: u32,
    /// The share of calls that are refused with status 503, in thousandths.
    pub refused_per_mille: u32,
    /// How far table and object reads lie in the past, in milliseconds.
    pub read_lag_ms: u64,
    /// How far the VM list lies in the past, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// Whether the history is forgotten, so that feeds must read their table anew.
    pub forgetful: bool,
}

impl PlatformFaults {
    /// Refuses all calls.
    pub fn refusing() -> Self {
        Self {
            outage: OutageMode::Refuse,
            ..Self::default()
        }
    }
}

/// The calls that the stand-in got since its start.
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
    /// Writes whose answer was lost on purpose.
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
