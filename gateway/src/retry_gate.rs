//! Bounds the retries that this node adds to a service's load.

use std::sync::Mutex;

use damaskloom_lib::ids::ServiceId;
use indexmap::IndexMap;

/// The retries that one request earns, in parts of a thousand.
const RETRY_PERMILLE: u32 = 100;
/// The retries that can be saved up, in parts of a thousand.
const MAX_SAVED_PERMILLE: u32 = 10_000;

/// Lets each service have retries in proportion to its requests.
#[derive(Debug, Default)]
pub struct RetryGate {
    saved: Mutex<IndexMap<ServiceId, u32>>,
}

impl RetryGate {
    /// Notes a first attempt, which earns a share of a retry.
    pub fn note_request(&self, service: &ServiceId) {
        let mut saved = self
            .saved
            .lock()
            .expect("no holder of the retry lock panics");
        let balance = saved.entry(service.clone()).or_insert(0);
        *balance = (*balance + RETRY_PERMILLE).min(MAX_SAVED_PERMILLE);
    }

    /// Takes a retry if one was earned.
    pub fn take(&self, service: &ServiceId) -> bool {
        let mut saved = self
            .saved
            .lock()
            .expect("no holder of the retry lock panics");
        match saved.get_mut(service) {
            Some(balance) if *balance >= 1_000 => {
                *balance -= 1_000;
                true
            }
            _ => false,
        }
    }
}
