//! Tracks the request rates that targets in need name as their limits.
//!
//! A target names its limit in its answers, for all nodes together and for as long as its answers say
//! so. See [docs/design/target-limits.md](../../docs/design/target-limits.md).

use indexmap::IndexMap;

use crate::ids::TargetId;
use crate::time::MonoTime;
use crate::units::RequestRate;

/// What an answer says about its target's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitNotice {
    /// Nothing: there is no answer that is certainly the target's own.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// The target takes this rate from all nodes together.
    Limited(RequestRate),
}

#[derive(Debug)]
struct NamedLimit {
    rate: RequestRate,
    named_at: MonoTime,
    /// The requests sent since the last report.
    sent: u32,
}

/// The limits that targets have named to this node.
#[derive(Debug, Default)]
pub struct TargetLimits {
    limits: IndexMap<TargetId, NamedLimit>,
}

impl TargetLimits {
    /// Records what the answer to a request that was sent at `sent_at` says; returns whether the
    /// target's limit has changed.
    ///
    /// Answers may arrive in another order than the target made them, so only a request that was sent
    /// after the limit was last named can show that it is lifted.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        sent_at: MonoTime,
        notice: LimitNotice,
    ) -> bool {
        match notice {
            LimitNotice::Unknown => false,
            LimitNotice::Unlimited => {
                let held = self.limits.get(target);
                let is_lifted = held.is_some_and(|limit| limit.named_at < sent_at);
                is_lifted && self.limits.shift_remove(target).is_some()
            }
            LimitNotice::Limited(rate) => {
                let limit = self.limits.entry(target.clone()).or_insert(NamedLimit {
                    rate: RequestRate::default(),
                    named_at: now,
                    sent: 0,
                });
                limit.named_at = now;
                std::mem::replace(&mut limit.rate, rate) != rate
            }
        }
    }

    /// Counts a request that is sent to a target.
    pub fn record_sent(&mut self, target: &TargetId) {
        if let Some(limit) = self.limits.get_mut(target) {
            limit.sent += 1;
        }
    }

    /// Returns the number of requests that were sent to each target with a limit since the last call.
    pub fn drain_sent(&mut self) -> Vec<(TargetId, RequestRate, u32)> {
        let limits = self.limits.iter_mut();
        limits
            .map(|(id, limit)| (id.clone(), limit.rate, std::mem::take(&mut limit.sent)))
            .collect()
    }

    /// Forgets a target that is gone or has restarted.
    pub fn remove(&mut self, target: &TargetId) {
        self.limits.shift_remove(target);
    }
}
