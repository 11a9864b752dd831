//! The guard of one attempt's claim, which ends the claim however the request ends.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use damaskloom_lib::claim_message::{ClaimResult, ClaimTicket};

use crate::claim_registry::ClaimRegistry;

/// Ends the claim of one attempt when dropped.
///
/// An attempt that is abandoned before anything was sent releases its claim, so that a retry may
/// run; one that is abandoned later leaves its request id spent.
pub struct ClaimGuard {
    registry: Arc<ClaimRegistry>,
    ticket: ClaimTicket,
    sent: AtomicBool,
    ended: AtomicBool,
}

impl ClaimGuard {
    pub(crate) const fn new(registry: Arc<ClaimRegistry>, ticket: ClaimTicket) -> Self {
        Self {
            registry,
            ticket,
            sent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        }
    }

    /// Returns whether the request may be sent now; if so, it counts as sent from here on.
    ///
    /// Call it directly before the first byte is sent: a process that was paused since the grant
    /// must not run a request whose claim the owner may have dropped meanwhile.
    pub fn begin_send(&self) -> bool {
        let may_run = self.registry.may_run(&self.ticket);
        self.sent.fetch_or(may_run, Ordering::SeqCst);
        may_run
    }

    /// Reports the result of the run; only the first report counts.
    pub fn end(&self, result: ClaimResult) {
        if !self.ended.swap(true, Ordering::SeqCst) {
            self.registry.complete(&self.ticket, result);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let result = match self.sent.load(Ordering::SeqCst) {
            true => ClaimResult::Unknown,
            false => ClaimResult::NotRun,
        };
        self.end(result);
    }
}

impl fmt::Debug for ClaimGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimGuard")
            .field("ticket", &self.ticket)
            .field("sent", &self.sent)
            .finish_non_exhaustive()
    }
}
