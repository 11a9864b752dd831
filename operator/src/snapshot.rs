//! Writes a snapshot of the configuration after an accepted plan, if one is due.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use damaskloom_lib::config_snapshot::write_snapshot_if_due;
use damaskloom_platform::client::PlatformClient;
use rand::Rng;

/// Writes snapshots in the background, at most one at a time in this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotWriter {
    is_busy: Arc<AtomicBool>,
}

impl SnapshotWriter {
    /// Starts writing a snapshot in the background if at least `interval` revisions were accepted
    /// since the last one.
    pub(crate) fn start(&self, platform: Arc<PlatformClient>, interval: u64) {
        if self.is_busy.swap(true, Ordering::AcqRel) {
            return;
        }
        let guard = BusyGuard(self.is_busy.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let nonce = rand::rng().random();
            match write_snapshot_if_due(platform.as_ref(), interval, nonce).await {
                Ok(None) => {}
                Ok(Some(revision)) => tracing::info!(%revision, "snapshot written"),
                // The next accepted plan retries.
                Err(error) => tracing::warn!(%error, "cannot write snapshot"),
            }
        });
    }
}

/// Clears the busy flag when dropped.
struct BusyGuard(Arc<AtomicBool>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}
