//! This node's part of the fleet's budget of repeated sendings.
//!
//! The whole fleet may send a service so many repeats in a window: a part of its requests, and a
//! fixed allowance. The part is earned by the requests of this node, the allowance is divided over
//! the nodes that carry traffic. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::ServiceId;
use crate::time::MonoTime;

/// The part of the budget that is used; the rest is for nodes that see the fleet differently.
const USED_FRACTION: f64 = 0.6;

/// The bound on repeats over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatTerms {
    /// The repeats that each request pays for.
    pub ratio: f64,
    /// The repeats that are allowed in a window beside that.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug)]
struct ServiceAccount {
    tokens: f64,
    refilled_at: MonoTime,
}

/// The accounts of all services on one node.
#[derive(Debug)]
pub struct RepeatBudget {
    terms: RepeatTerms,
    node_count: f64,
    accounts: IndexMap<ServiceId, ServiceAccount>,
}

impl RepeatBudget {
    /// Makes a budget that this node has for itself.
    pub fn new(terms: RepeatTerms) -> Self {
        Self {
            terms,
            node_count: 1.0,
            accounts: IndexMap::new(),
        }
    }

    /// Changes the bound, as settings do.
    pub fn set_terms(&mut self, terms: RepeatTerms) {
        self.terms = terms;
    }

    /// Changes how many nodes divide the fixed allowance.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1) as f64;
    }

    /// Counts a request for a service, which pays towards repeats.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceId) {
        let earned = self.terms.ratio * USED_FRACTION;
        let account = self.account(now, service);
        account.tokens += earned;
    }

    /// Takes a repeat from the service's account; returns whether it may be sent.
    pub fn try_spend(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let account = self.account(now, service);
        let allowed = account.tokens >= 1.0;
        if allowed {
            account.tokens -= 1.0;
        }
        allowed
    }

    fn account(&mut self, now: MonoTime, service: &ServiceId) -> &mut ServiceAccount {
        // Half of the allowance can be saved up and half flows in over a window, so that no window
        // sees more than all of it.
        let half = self.terms.slack * USED_FRACTION / self.node_count / 2.0;
        let per_second = half / self.terms.window.as_secs_f64().max(1.0);
        let account = self
            .accounts
            .entry(service.clone())
            .or_insert(ServiceAccount {
                tokens: half,
                refilled_at: now,
            });
        let elapsed = now.since(account.refilled_at).as_secs_f64();
        account.refilled_at = now;
        account.tokens = (account.tokens + elapsed * per_second).min(half.max(1.0));
        account
    }
}
