//! Decides which requests a process still takes once its planned stop has begun.
//!
//! A request that is still running at the end of the grace period is cut off, although it may have run. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use crate::time::MonoTime;

/// The planned stop of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// When the last answer must be on its way.
    pub ends_at: MonoTime,
}

impl StopPlan {
    /// Returns whether a request is certain to be over before the end, given the time by which its caller
    /// must have an answer. How long requests usually take is no bound: a longer one would be cut off.
    pub fn allows(&self, deadline: MonoTime) -> bool {
        deadline <= self.ends_at
    }
}
