//! The interval at which shares and queues are processed: short while a request waits, else long.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

/// The interval while a request waits for a share or a slot.
const BUSY_TICK_MS: u64 = 5;
/// The interval while no request waits; loans are renewed at this interval.
const IDLE_TICK_MS: u64 = 50;

/// Counts the waiting requests of a node, which set the interval of its ticks.
#[derive(Debug, Default)]
pub struct TickInterval {
    waiting: AtomicUsize,
    wait_started: Notify,
}

impl TickInterval {
    /// Counts a request as waiting until the returned guard is dropped.
    pub fn count_waiting(self: &Arc<Self>) -> WaitingGuard {
        if self.waiting.fetch_add(1, Ordering::AcqRel) == 0 {
            self.wait_started.notify_one();
        }
        WaitingGuard {
            tick_interval: Arc::clone(self),
        }
    }

    /// Waits until the next tick is due; a request that begins to wait shortens the interval.
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

/// Counts a waiting request until it is dropped.
#[derive(Debug)]
pub struct WaitingGuard {
    tick_interval: Arc<TickInterval>,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.tick_interval.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
