//! Guards that hold for one attempt of a request and release what they hold when dropped.

use std::time::Duration;

use damaskloom_lib::balanced_target::RunningAttemptId;
use damaskloom_lib::ids::{ServiceId, TargetId};
use damaskloom_lib::target_limits::LimitPermission;
use damaskloom_lib::time::MonoTime;

use crate::entry_state::EntryState;

/// A request's part of this node's share of its target's limit; returned if the request is not sent.
pub struct LimitPermit<'a> {
    state: &'a EntryState,
    target: TargetId,
    is_spent: bool,
}

impl<'a> LimitPermit<'a> {
    /// Takes a request out of this node's share of the target's limit, if the target names one.
    pub fn reserve(state: &'a EntryState, target: &TargetId) -> Self {
        let now = state.clock.now();
        state.limits.borrow_mut().reserve(now, target);
        Self {
            state,
            target: target.clone(),
            is_spent: false,
        }
    }

    /// Returns whether the target still accepts requests, and those of this node.
    pub fn is_valid(&self, service: &ServiceId) -> bool {
        let now = self.state.clock.now();
        let balancers = self.state.balancers.borrow();
        let balancer = balancers.get(service);
        balancer.is_some_and(|balancer| balancer.contains(&self.target))
            && !self.state.is_evacuated(&self.target)
            && self.state.limits.borrow().permission(now, &self.target)
                != LimitPermission::Elsewhere
    }

    /// Keeps the permit, since the request is sent now.
    pub fn spend(mut self) {
        self.is_spent = true;
        self.state.limits.borrow_mut().record_sent(&self.target);
    }
}

impl Drop for LimitPermit<'_> {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = self.state.clock.now();
            self.state.limits.borrow_mut().refund(now, &self.target);
        }
    }
}

/// Counts an attempt as running at a target until the guard is dropped.
pub struct RunningGuard<'a> {
    state: &'a EntryState,
    service: &'a ServiceId,
    target: TargetId,
    started_at: MonoTime,
    running: Option<RunningAttemptId>,
}

impl<'a> RunningGuard<'a> {
    /// Counts the attempt from now on; its answer is late after `late_after`.
    pub fn begin(
        state: &'a EntryState,
        service: &'a ServiceId,
        target: &TargetId,
        late_after: Duration,
    ) -> Self {
        let now = state.clock.now();
        let running = state.with_balancer(service, |balancer| {
            balancer.start_attempt(now, target, late_after)
        });
        Self {
            state,
            service,
            target: target.clone(),
            started_at: now,
            running,
        }
    }

    /// Ends the attempt; returns how long it ran, and whether it was already counted as late.
    pub fn end(mut self) -> (Duration, bool) {
        self.finish()
    }

    fn finish(&mut self) -> (Duration, bool) {
        let now = self.state.clock.now();
        let was_late = self.running.take().and_then(|running| {
            self.state.with_balancer(self.service, |balancer| {
                balancer.finish_attempt(&self.target, running)
            })
        });
        (now.since(self.started_at), was_late.unwrap_or_default())
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}
