//! Limits retries and hedges to a fraction of the offered load.
//!
//! Every request deposits a fraction of a retry into the accounts of its service and its customer
//! on the same node; a retry withdraws a whole one from both. So retries stay below that fraction
//! of the load over all nodes without any transfer between them. See
//! [docs/design/escrow.md](../../docs/design/escrow.md).

use indexmap::IndexMap;
use serde::Serialize;

use crate::budget::{MICROS_PER_UNIT, MicroUnits};
use crate::ids::{CustomerId, ServiceId};

/// The deposit of a request: a tenth of a retry.
const DEPOSIT: MicroUnits = MicroUnits(MICROS_PER_UNIT / 10);
/// The largest balance of an account.
const MAX_SAVED: MicroUnits = MicroUnits::from_units(10);
const ONE_RETRY: MicroUnits = MicroUnits(MICROS_PER_UNIT);

/// Whether a service has spare capacity.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceLoad {
    /// Requests find free slots.
    #[default]
    Ample,
    /// Requests wait for slots, or targets shed.
    Short,
}

/// Whether a retry or hedge is allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryDecision {
    /// Both accounts covered the retry.
    Allow,
    /// The service is short of capacity.
    ServiceShort,
    /// The service's account is empty.
    ServiceSpent,
    /// The customer's account is empty.
    CustomerSpent,
}

/// The retry accounts of one shard of one node.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: IndexMap<ServiceId, MicroUnits>,
    customers: IndexMap<(ServiceId, CustomerId), MicroUnits>,
}

impl RetryBudget {
    /// Makes a budget with empty accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt, which deposits into both accounts.
    pub fn record_request(&mut self, service: &ServiceId, customer: &CustomerId) {
        deposit(self.services.entry(service.clone()).or_default());
        let key = (service.clone(), customer.clone());
        deposit(self.customers.entry(key).or_default());
    }

    /// Withdraws a retry or hedge from both accounts, or from none.
    pub fn try_retry(
        &mut self,
        service: &ServiceId,
        customer: &CustomerId,
        load: ServiceLoad,
    ) -> RetryDecision {
        if load == ServiceLoad::Short {
            return RetryDecision::ServiceShort;
        }
        let key = (service.clone(), customer.clone());
        let Some(saved) = self.services.get_mut(service).filter(|s| **s >= ONE_RETRY) else {
            return RetryDecision::ServiceSpent;
        };
        let account = self.customers.get_mut(&key);
        let Some(account) = account.filter(|account| **account >= ONE_RETRY) else {
            return RetryDecision::CustomerSpent;
        };
        *saved = *saved - ONE_RETRY;
        *account = *account - ONE_RETRY;
        RetryDecision::Allow
    }

    /// Drops the accounts of a customer that was removed or has been idle for long.
    pub fn forget(&mut self, customer: &CustomerId) {
        self.customers.retain(|(_, holder), _| holder != customer);
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.services.len() + self.customers.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn deposit(account: &mut MicroUnits) {
    *account = (*account + DEPOSIT).min(MAX_SAVED);
}
