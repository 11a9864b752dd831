//! The fault modes of a simulated target.

use std::time::Duration;

use damaskloom_lib::time::MonoTime;

/// A fault mode of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultMode {
    /// Answers this fraction of requests with errors.
    Errors(f64),
    /// Answers this fraction of requests with errors within a millisecond.
    FastErrors(f64),
    /// Answers every request with a status that blames the caller.
    WrongStatus,
    /// Accepts requests and never answers.
    Hang,
    /// Takes this many times as long as usual.
    Slow(f64),
    /// Takes this many times as long as usual on the first route.
    SlowRoute(f64),
    /// Cannot be reached from this many nodes, the first ones.
    Unreachable(usize),
    /// Answers with errors in the first half of each period.
    Flap(Duration),
    /// Always reports a load of zero.
    StuckLoad,
    /// Sheds this fraction of requests.
    Shed(f64),
}

/// A fault of one target during a period.
#[derive(Clone, Copy, Debug)]
pub struct TargetFault {
    /// The index of the target.
    pub target: usize,
    /// The fault mode.
    pub mode: FaultMode,
    /// When the fault starts.
    pub from: MonoTime,
    /// When the fault ends.
    pub until: MonoTime,
}

impl TargetFault {
    /// Returns whether the fault is active at `now`.
    pub fn is_active(&self, now: MonoTime) -> bool {
        now >= self.from && now < self.until
    }
}
