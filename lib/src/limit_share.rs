//! Shares of limits on requests to a target: requests that may be sent, gained at a steady rate.

use std::time::Duration;

use crate::target_limits::LimitPermission;
use crate::time::MonoTime;

/// The rate up to which a limit is exceeded while the rest of the service is busy, as a factor. The
/// platform tolerates one and a half times the limit.
const OVERDRAFT_FACTOR: f64 = 1.15;
/// The time in which a node may save up its share, in seconds; it always may save up one request.
const SAVED_S: f64 = 0.2;

fn saved_requests(rate_per_s: f64) -> f64 {
    (rate_per_s * SAVED_S).max(1.0)
}

/// Requests that may be sent, gained at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteadyTokens {
    rate_per_s: f64,
    capacity: f64,
    /// Negative if requests wait for theirs.
    tokens: f64,
    refilled_at: MonoTime,
}

impl SteadyTokens {
    fn empty(now: MonoTime, rate_per_s: f64) -> Self {
        Self::with_capacity(now, rate_per_s, saved_requests(rate_per_s), 0.0)
    }

    /// Makes tokens of which `capacity` may be saved up.
    pub(crate) const fn with_capacity(
        now: MonoTime,
        rate_per_s: f64,
        capacity: f64,
        tokens: f64,
    ) -> Self {
        Self {
            rate_per_s,
            capacity,
            tokens,
            refilled_at: now,
        }
    }

    fn at(&self, now: MonoTime) -> f64 {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        (self.tokens + gained).min(self.capacity)
    }

    /// Adds tokens, or takes them with a negative count.
    pub(crate) fn add(&mut self, now: MonoTime, count: f64) {
        self.tokens = self.at(now) + count;
        self.refilled_at = now;
    }

    fn set_rate(&mut self, now: MonoTime, rate_per_s: f64) {
        self.add(now, 0.0);
        self.rate_per_s = rate_per_s;
        self.capacity = saved_requests(rate_per_s);
    }

    /// Returns the time until a request may be sent.
    pub(crate) fn wait(&self, now: MonoTime) -> Duration {
        let missing = (1.0 - self.at(now)).max(0.0);
        Duration::from_secs_f64(missing / self.rate_per_s)
    }
}

/// This node's share of a limit: every request takes a token of both kinds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnShare {
    within: SteadyTokens,
    /// Bounds all requests, those beyond the limit included.
    beyond: SteadyTokens,
}

impl OwnShare {
    /// Makes a share that holds nothing yet.
    pub(crate) fn empty(now: MonoTime, rate_per_s: f64) -> Self {
        Self {
            within: SteadyTokens::empty(now, rate_per_s),
            beyond: SteadyTokens::empty(now, rate_per_s * OVERDRAFT_FACTOR),
        }
    }

    /// Changes the rate of the share.
    pub(crate) fn set_rate(&mut self, now: MonoTime, rate_per_s: f64) {
        self.within.set_rate(now, rate_per_s);
        self.beyond.set_rate(now, rate_per_s * OVERDRAFT_FACTOR);
    }

    /// Adds requests, or takes them with a negative count.
    pub(crate) fn add(&mut self, now: MonoTime, count: f64) {
        self.within.add(now, count);
        self.beyond.add(now, count);
    }

    /// Returns whether and when the share allows a request.
    pub(crate) fn permission(&self, now: MonoTime) -> LimitPermission {
        let wait = self.beyond.wait(now);
        if wait.is_zero() && self.within.at(now) >= 1.0 {
            LimitPermission::Within
        } else {
            LimitPermission::Beyond(wait)
        }
    }
}
