//! Decides whether this node may serve requests with keys, directly before each one.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use damaskloom_lib::freshness::{FreshnessAction, FreshnessGuard, FreshnessMessage};
use damaskloom_lib::ids::{Epoch, NodeId};
use damaskloom_lib::time::MonoTime;

/// The longest time for which a node may know of a newer revision than the one in force on it, in
/// milliseconds.
const MAX_BEHIND_MS: u64 = 5_000;
const NOT_BEHIND: u64 = u64::MAX;

/// Combines the conditions for serving requests with keys.
///
/// The node must have its first configuration, must not be behind for long, and must have fresh
/// proofs of the head and of its shares; see
/// [docs/design/freshness.md](../../docs/design/freshness.md).
#[derive(Debug)]
pub struct ServingGuard {
    /// `None` for a gateway without a platform, whose configuration has no newer revision
    /// elsewhere.
    freshness: Option<RwLock<FreshnessGuard>>,
    ready: AtomicBool,
    superseded: AtomicBool,
    behind_since_micros: AtomicU64,
}

impl ServingGuard {
    /// Makes the guard of a gateway that is a fleet of its own and always serves.
    pub fn standalone() -> Self {
        Self {
            freshness: None,
            ready: AtomicBool::new(true),
            superseded: AtomicBool::new(false),
            behind_since_micros: AtomicU64::new(NOT_BEHIND),
        }
    }

    /// Makes the guard of a member of a fleet, which does not allow requests yet.
    pub fn member(freshness: FreshnessGuard) -> Self {
        Self {
            freshness: Some(RwLock::new(freshness)),
            ready: AtomicBool::new(false),
            ..Self::standalone()
        }
    }

    /// Returns whether requests with keys may be served now.
    pub fn allows_work(&self, now: MonoTime) -> bool {
        let Some(freshness) = &self.freshness else {
            return true;
        };
        if !self.ready.load(Ordering::Acquire) || self.superseded.load(Ordering::Acquire) {
            return false;
        }
        let behind_since = self.behind_since_micros.load(Ordering::Acquire);
        if behind_since != NOT_BEHIND {
            let since = MonoTime::from_micros(behind_since);
            if now.since(since) > Duration::from_millis(MAX_BEHIND_MS) {
                return false;
            }
        }
        let freshness = freshness
            .read()
            .expect("no holder of the freshness lock panics");
        freshness.check(now).allows_work() && freshness.check_shares(now).allows_work()
    }

    /// Records whether the node has caught up with the fleet once.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Records that a later start of this VM is a member, so that this process must not serve
    /// again.
    pub fn set_superseded(&self) {
        self.superseded.store(true, Ordering::Release);
    }

    /// Records whether a newer revision than the one in force is known.
    pub fn set_behind(&self, now: MonoTime, behind: bool) {
        if !behind {
            self.behind_since_micros
                .store(NOT_BEHIND, Ordering::Release);
            return;
        }
        // Keeps the time at which the node was first found behind.
        let _ = self.behind_since_micros.compare_exchange(
            NOT_BEHIND,
            now.as_micros(),
            Ordering::AcqRel,
            Ordering::Acquire,
        );
    }

    /// Sets the epoch that the node entered and the members whose contact counts.
    pub fn set_epoch(&self, epoch: Epoch, members: impl IntoIterator<Item = NodeId>) {
        self.with(|freshness| freshness.set_epoch(epoch, members));
    }

    /// Records a read of the head, started at the given time, and the epoch that it returned.
    pub fn record_read(&self, started: MonoTime, epoch: Epoch) {
        self.with(|freshness| freshness.record_read(started, epoch));
    }

    /// Handles a message from a peer.
    pub fn handle(
        &self,
        now: MonoTime,
        from: &NodeId,
        message: FreshnessMessage,
    ) -> Vec<FreshnessAction> {
        self.with(|freshness| freshness.handle(now, from, message))
            .unwrap_or_default()
    }

    /// Requests proofs from peers when due.
    pub fn tick(&self, now: MonoTime) -> Vec<FreshnessAction> {
        self.with(|freshness| freshness.tick(now))
            .unwrap_or_default()
    }

    fn with<R>(&self, act: impl FnOnce(&mut FreshnessGuard) -> R) -> Option<R> {
        let freshness = self.freshness.as_ref()?;
        Some(act(&mut freshness
            .write()
            .expect("no holder of the freshness lock panics")))
    }
}
