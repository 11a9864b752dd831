//! History of repeated ejections, from which the length of the next ejection follows.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::TargetId;
use crate::time::MonoTime;

/// The time from an ejection to the first trial request, for a target that does not flap.
pub const FIRST_TERM_MS: u64 = 5_000;
const MAX_TERM_DOUBLINGS: u32 = 6;
const FLAP_RETENTION_MS: u64 = 600_000;
const FIRST_TRIAL_LENGTH: u32 = 8;
const MAX_TRIAL_DOUBLINGS: u32 = 3;

#[derive(Debug)]
struct FlapRecord {
    flaps: u32,
    recorded_at: MonoTime,
}

/// The recently ejected targets.
#[derive(Debug, Default)]
pub struct FlapHistory {
    records: IndexMap<TargetId, FlapRecord>,
}

impl FlapHistory {
    /// Returns the number of earlier ejections of the target in close succession.
    pub fn flaps(&self, now: MonoTime, target: &TargetId) -> u32 {
        self.records
            .get(target)
            .filter(|record| is_recent(now, record))
            .map_or(0, |record| record.flaps)
    }

    /// Records an ejection, by this or another node, with the number of earlier ones.
    pub fn record(&mut self, now: MonoTime, target: &TargetId, flaps_before: u32) {
        self.records.retain(|_, record| is_recent(now, record));
        let record = self.records.entry(target.clone()).or_insert(FlapRecord {
            flaps: 0,
            recorded_at: now,
        });
        record.flaps = record.flaps.max(flaps_before + 1);
        record.recorded_at = now;
    }
}

fn is_recent(now: MonoTime, record: &FlapRecord) -> bool {
    now.since(record.recorded_at) < Duration::from_millis(FLAP_RETENTION_MS)
}

/// Returns the time from an ejection to its first trial request.
pub fn ejection_term(flaps: u32) -> Duration {
    Duration::from_millis(FIRST_TERM_MS << flaps.min(MAX_TERM_DOUBLINGS))
}

/// Returns the number of successful trial requests in a row that end an ejection.
pub fn trial_length(flaps: u32) -> u32 {
    FIRST_TRIAL_LENGTH << flaps.min(MAX_TRIAL_DOUBLINGS)
}
