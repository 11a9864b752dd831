//! How often the shares are looked after: closely while a request waits, else seldom.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

/// The interval while a request waits for a share or a slot.
const BUSY_TICK_MS: u64 = 5;
/// The interval while none waits; loans are renewed at this interval.
const IDLE_TICK_MS: u64 = 50;

/// Counts the waiting requests of a node and paces its ticks by them.
#[derive(Debug, Default)]
pub struct TickInterval {
    waiting: AtomicUsize,
    wait_started: Notify,
}

impl TickInterval {
    /// Counts a waiting request until the returned guard is dropped.
    pub fn count_waiting(self: &Arc<Self>) -> WaitingGuard {
        if self.waiting.fetch_add(1, Ordering::AcqRel) == 0 {
            self.wait_started.notify_one();
        }
        WaitingGuard {
            tick_interval: Arc::clone(self),
        }
    }

    /// Waits until the next tick is due, which is soon once a request begins to wait.
    pub async fn next_tick(&self) {
        let busy = Duration::from_millis(BUSY_TICK_MS);
        if self.waiting.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(busy).await;
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(IDLE_TICK_MS)) => {}
            () = self.wait_started.notified() => tokio::time::sleep(busy).await,
        }
    }
}

/// A waiting request; it is counted until this is dropped.
#[derive(Debug)]
pub struct WaitingGuard {
    tick_interval: Arc<TickInterval>,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.tick_interval.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
