//! This node's share of the fleet's budget of repeats: retries of requests that reached a target before.
//!
//! In each window, the fleet may send a service repeats up to a fraction of its requests, plus a fixed
//! allowance. Requests of this node earn the fraction, the allowance is divided over the nodes that
//! carry traffic. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::ServiceId;
use crate::time::MonoTime;

/// The fraction of the budget that is used; the rest allows for nodes that differ in their view of the
/// fleet.
const USED_FRACTION: f64 = 0.6;

/// The limit on repeats over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatTerms {
    /// The number of repeats that each request earns.
    pub ratio: f64,
    /// The number of repeats that are allowed in a window in addition.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What a node sent to a service since its usage was last drained.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RepeatUsage {
    /// The number of callers' requests.
    pub requests: u64,
    /// The number of attempts that reached a target after an earlier attempt of the same request had.
    pub repeats: u64,
}

#[derive(Debug)]
struct ServiceAccount {
    tokens: f64,
    refilled_at: MonoTime,
    usage: RepeatUsage,
}

/// The accounts of all services on one node.
#[derive(Debug)]
pub struct RepeatBudget {
    terms: RepeatTerms,
    node_count: f64,
    accounts: IndexMap<ServiceId, ServiceAccount>,
}

impl RepeatBudget {
    /// Creates a budget that this node does not share with others.
    pub fn new(terms: RepeatTerms) -> Self {
        Self {
            terms,
            node_count: 1.0,
            accounts: IndexMap::new(),
        }
    }

    /// Replaces the limit.
    pub fn set_terms(&mut self, terms: RepeatTerms) {
        self.terms = terms;
    }

    /// Sets the number of nodes that share the fixed allowance.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1) as f64;
    }

    /// Records a request for a service, which earns a fraction of a repeat.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceId) {
        let earned = self.terms.ratio * USED_FRACTION;
        let account = self.account(now, service);
        account.tokens += earned;
        account.usage.requests += 1;
    }

    /// Spends a repeat of the service if there is one; returns whether the repeat may be sent.
    pub fn try_spend(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let account = self.account(now, service);
        let allowed = account.tokens >= 1.0;
        if allowed {
            account.tokens -= 1.0;
        }
        allowed
    }

    /// Records that an attempt reached a target after an earlier attempt of the same request had.
    pub fn record_repeat(&mut self, now: MonoTime, service: &ServiceId) {
        self.account(now, service).usage.repeats += 1;
    }

    /// Returns the usage of each service with repeats since the last call.
    pub fn drain_usage(&mut self) -> Vec<(ServiceId, RepeatUsage)> {
        let accounts = self.accounts.iter_mut();
        let usages = accounts.map(|(id, account)| (id, std::mem::take(&mut account.usage)));
        usages
            .filter(|(_, usage)| usage.repeats > 0)
            .map(|(id, usage)| (id.clone(), usage))
            .collect()
    }

    fn account(&mut self, now: MonoTime, service: &ServiceId) -> &mut ServiceAccount {
        // Half of the allowance can be saved up and half refills over a window, so that no window
        // sees more than all of it.
        let half = self.terms.slack * USED_FRACTION / self.node_count / 2.0;
        let per_second = half / self.terms.window.as_secs_f64().max(1.0);
        let account = self
            .accounts
            .entry(service.clone())
            .or_insert(ServiceAccount {
                tokens: half,
                refilled_at: now,
                usage: RepeatUsage::default(),
            });
        let elapsed = now.since(account.refilled_at).as_secs_f64();
        account.refilled_at = now;
        account.tokens = (account.tokens + elapsed * per_second).min(half.max(1.0));
        account
    }
}
