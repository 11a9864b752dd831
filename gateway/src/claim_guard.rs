//! The claim of one sending, which is ended whatever becomes of the request.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use damaskloom_lib::claim_message::{ClaimResult, ClaimTicket};

use crate::claim_registry::ClaimRegistry;

/// Ends the claim of one sending when dropped.
///
/// A sending that was given up before anything was sent releases its claim, so that a resend may
/// run; one that was given up later leaves its request id spent.
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

    /// Says whether the request may be sent now; if so, it counts as sent from here on.
    ///
    /// Call it directly before the first byte goes out: a process that was paused since the grant
    /// must not run what the home may have forgotten meanwhile.
    pub fn begin_send(&self) -> bool {
        let may_run = self.registry.may_run(&self.ticket);
        self.sent.fetch_or(may_run, Ordering::SeqCst);
        may_run
    }

    /// Reports how the run ended; only the first report counts.
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
