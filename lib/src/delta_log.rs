//! Keeps the newest deltas, which peers that lag behind request.

use std::collections::VecDeque;

use crate::config::ConfigDelta;
use crate::distribution_message::MAX_DELTAS_BYTES;
use crate::ids::Revision;

/// The greatest number of deltas that are kept.
const MAX_KEPT_DELTAS: usize = 4_096;

/// The greatest size of the deltas that are kept, in bytes of JSON.
const MAX_KEPT_BYTES: usize = 8 << 20;

/// A bounded sequence of consecutive deltas.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    deltas: VecDeque<(ConfigDelta, usize)>,
    bytes: usize,
}

impl DeltaLog {
    /// Appends the delta that follows the last one; drops the oldest deltas beyond the bounds.
    pub fn push(&mut self, delta: ConfigDelta) {
        let size = json_bytes(&delta);
        self.bytes += size;
        self.deltas.push_back((delta, size));
        while self.deltas.len() > MAX_KEPT_DELTAS || self.bytes > MAX_KEPT_BYTES {
            let Some((_, size)) = self.deltas.pop_front() else {
                break;
            };
            self.bytes -= size;
        }
    }

    /// Drops all deltas, as after the installation of a whole configuration.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// Returns the deltas that follow `after`, up to the size of one message; empty if the first of
    /// them is not kept.
    pub fn after(&self, after: Revision) -> Vec<ConfigDelta> {
        let Some((first, _)) = self.deltas.front() else {
            return Vec::new();
        };
        let Some(skipped) = after.next().0.checked_sub(first.revision.0) else {
            return Vec::new();
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let kept = self.deltas.iter().skip(skipped);
        let fitting = kept.enumerate().take_while(|(index, (_, size))| {
            bytes += size;
            *index == 0 || bytes <= MAX_DELTAS_BYTES
        });
        fitting.map(|(_, (delta, _))| delta.clone()).collect()
    }
}

fn json_bytes(delta: &ConfigDelta) -> usize {
    serde_json::to_vec(delta).map_or(0, |json| json.len())
}
