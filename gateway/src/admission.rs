//! Decides whether a customer's request may run now.

use std::sync::Mutex;
use std::time::Instant;

use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::units::{BurstSize, RequestRate};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::MonoClock;
use crate::config_view::ConfigView;

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Debug)]
struct TokenBucket {
    level_micro: u64,
    updated: MonoTime,
}

/// Holds the customers to their rates.
#[derive(Debug)]
pub struct AdmissionGate {
    clock: MonoClock,
    config: Arc<ConfigView>,
    buckets: Mutex<IndexMap<CustomerId, TokenBucket>>,
}

impl AdmissionGate {
    /// Makes a gate that takes rates from `config`.
    pub fn new(clock: MonoClock, config: Arc<ConfigView>) -> Self {
        Self {
            clock,
            config,
            buckets: Mutex::default(),
        }
    }

    /// Takes one request off the customer's rate.
    ///
    /// # Errors
    ///
    /// Refuses with [`Reason::RateExceeded`] if the customer is over its rate and burst.
    pub async fn admit(&self, customer: &CustomerId, _deadline: Instant) -> Result<(), Refusal> {
        let Some(limits) = self.config.customer(customer) else {
            return Err(Refusal::not_run(Reason::KeyWithdrawn));
        };
        self.take(customer, limits.rate, limits.burst)
    }

    fn take(
        &self,
        customer: &CustomerId,
        rate: RequestRate,
        burst: BurstSize,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let capacity = u64::from(burst.0) * MICROS_PER_SECOND;
        let mut buckets = self
            .buckets
            .lock()
            .expect("no holder of the bucket lock panics");
        let bucket = buckets.entry(customer.clone()).or_insert(TokenBucket {
            level_micro: capacity,
            updated: now,
        });
        let elapsed = now.since(bucket.updated).as_micros() as u64;
        let gained = elapsed.saturating_mul(rate.millis_per_second()) / 1_000;
        bucket.level_micro = bucket.level_micro.saturating_add(gained).min(capacity);
        bucket.updated = now;
        if bucket.level_micro < MICROS_PER_SECOND {
            let missing = MICROS_PER_SECOND - bucket.level_micro;
            let wait = missing * 1_000 / rate.millis_per_second().max(1);
            let refusal = Refusal::not_run(Reason::RateExceeded);
            return Err(refusal.with_retry_after(Duration::from_micros(wait)));
        }
        bucket.level_micro -= MICROS_PER_SECOND;
        Ok(())
    }
}
