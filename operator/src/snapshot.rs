//! Writes a snapshot now and then, after a plan was accepted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use damaskloom_lib::config_snapshot::write_snapshot_if_due;
use damaskloom_platform::client::PlatformClient;
use rand::Rng;

/// Lets at most one snapshot be written at a time by this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotWriter {
    is_busy: Arc<AtomicBool>,
}

impl SnapshotWriter {
    /// Starts to write a snapshot in the background if enough revisions were accepted.
    pub(crate) fn start(&self, platform: Arc<PlatformClient>, every: u64) {
        if self.is_busy.swap(true, Ordering::AcqRel) {
            return;
        }
        let guard = BusyGuard(self.is_busy.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let nonce = rand::rng().random();
            match write_snapshot_if_due(platform.as_ref(), every, nonce).await {
                Ok(None) => {}
                Ok(Some(revision)) => tracing::info!(%revision, "snapshot written"),
                // The next accepted plan tries again.
                Err(error) => tracing::warn!(%error, "no snapshot written"),
            }
        });
    }
}

/// Lets the next snapshot start when dropped.
struct BusyGuard(Arc<AtomicBool>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}
