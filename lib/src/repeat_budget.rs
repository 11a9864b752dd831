//! This node's share of the fleet's budget of repeats: retries of requests that reached a target before.
//!
//! In each window, the fleet may send a service repeats up to a fraction of its requests, plus a fixed
//! allowance. Requests of this node earn the fraction, the allowance is divided over the nodes that
//! carry traffic or are expected to. A process has no part of it before it knows of the others. See [docs/design/attempts.md](../../docs/design/attempts.md).

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

/// A node's part of the fixed allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceShare {
    /// The node carries no traffic; its requests earn repeats all the same.
    None,
    /// The node is one of so many that carry traffic or are expected to.
    OneOf(usize),
}

#[derive(Debug)]
struct ServiceAccount {
    tokens: f64,
    /// Whether the account has had the part of the allowance that can be saved up.
    is_endowed: bool,
    refilled_at: MonoTime,
    usage: RepeatUsage,
}

/// The accounts of all services on one node.
#[derive(Debug)]
pub struct RepeatBudget {
    terms: RepeatTerms,
    /// The fraction of the allowance that is this node's.
    share: f64,
    accounts: IndexMap<ServiceId, ServiceAccount>,
}

impl RepeatBudget {
    /// Creates a budget without a share of the allowance.
    pub fn new(terms: RepeatTerms) -> Self {
        Self {
            terms,
            share: 0.0,
            accounts: IndexMap::new(),
        }
    }

    /// Replaces the limit.
    pub fn set_terms(&mut self, terms: RepeatTerms) {
        self.terms = terms;
    }

    /// Sets this node's part of the fixed allowance.
    pub fn set_share(&mut self, share: AllowanceShare) {
        self.share = match share {
            AllowanceShare::None => 0.0,
            AllowanceShare::OneOf(nodes) => 1.0 / nodes.max(1) as f64,
        };
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
        let half = self.terms.slack * USED_FRACTION * self.share / 2.0;
        let per_second = half / self.terms.window.as_secs_f64().max(1.0);
        let account = self
            .accounts
            .entry(service.clone())
            .or_insert(ServiceAccount {
                tokens: 0.0,
                is_endowed: false,
                refilled_at: now,
                usage: RepeatUsage::default(),
            });
        if !account.is_endowed && half > 0.0 {
            account.is_endowed = true;
            account.tokens += half;
        }
        let elapsed = now.since(account.refilled_at).as_secs_f64();
        account.refilled_at = now;
        account.tokens = (account.tokens + elapsed * per_second).min(half.max(1.0));
        account
    }
}
