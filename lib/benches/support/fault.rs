//! The gray modes of a stand-in target.

use std::time::Duration;

use damaskloom_lib::time::MonoTime;

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultMode {
    /// Answers this share of requests with errors.
    Errors(f64),
    /// Answers this share of requests with errors in a millisecond.
    FastErrors(f64),
    /// Answers every request with a status that blames the caller.
    WrongStatus,
    /// Accepts requests and never answers.
    Hang,
    /// Takes this many times as long.
    Slow(f64),
    /// Takes this many times as long on the first route.
    SlowRoute(f64),
    /// Cannot be reached by the first so many nodes.
    Unreachable(usize),
    /// Answers with errors in the first half of each period.
    Flap(Duration),
    /// Reports a load of zero.
    StuckLoad,
    /// Sheds this share of requests.
    Shed(f64),
}

/// A fault of one target over a time.
#[derive(Clone, Copy, Debug)]
pub struct TargetFault {
    /// The index of the target.
    pub target: usize,
    /// How it misbehaves.
    pub mode: FaultMode,
    /// When the fault starts.
    pub from: MonoTime,
    /// When the fault ends.
    pub until: MonoTime,
}

impl TargetFault {
    /// Returns whether the fault lasts at `now`.
    pub fn is_active(&self, now: MonoTime) -> bool {
        now >= self.from && now < self.until
    }
}
