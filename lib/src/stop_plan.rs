//! Decides which requests a process still takes once its planned stop has begun.
//!
//! A request that is still running at the end of the grace period is cut off, although it may have run. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use crate::time::MonoTime;

/// The planned stop of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// When the process ends at the latest.
    pub ends_at: MonoTime,
}

impl StopPlan {
    /// Returns whether a request that starts now is likely to be answered before the end; `usual` is the
    /// time within which nearly all requests of its service are answered.
    pub fn allows(&self, now: MonoTime, usual: Duration) -> bool {
        now + usual <= self.ends_at
    }
}
