//! This node's share of the fleet's budget of repeats: retries of requests that reached a target before.
//!
//! In each window, the fleet may send a service repeats up to a fraction of its requests, plus a fixed
//! allowance. Requests of this node earn the fraction, the allowance is divided over the nodes that
//! carry traffic or are expected to. A process has no part of it before it knows of the others. See [docs/design/attempts.md](../../docs/design/attempts.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::config::Idempotence;
use crate::ids::ServiceId;
use crate::time::MonoTime;

/// The fraction of the allowance that is used; the rest allows for nodes that differ in their view of the
/// fleet. A fleet whose nodes see a third of it less uses 0.9.
const USED_FRACTION: f64 = 0.6;
/// The part of the used allowance that a new process starts with: no more than the stock, which the process before
/// may have spent.
const STARTING_PART: f64 = 0.5;
/// The reserve, as a part of what can be saved beyond one repeat.
const RESERVED_PART: f64 = 1.0 / 3.0;
/// The part of the reserve that the least urgent rank leaves to the others; the rest is left by requests that
/// may run twice to those that may not.
const RANK_RESERVE: f64 = 0.7;

/// Which requests get the repeats of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RepeatOrder {
    /// The first ones that need one.
    #[default]
    FirstCome,
    /// Those of most value: the others leave a reserve.
    ByValue,
}

impl RepeatOrder {
    /// Returns the part of the used allowance that can be saved up; the rest refills over a window, so that no window
    /// sees more than all of it. By value, few repeats refill, since what requests earn beyond the stock is lost.
    const fn saved_part(self) -> f64 {
        match self {
            Self::FirstCome => 0.5,
            Self::ByValue => 0.75,
        }
    }
}

/// The limit on repeats over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatTerms {
    /// The number of repeats that each request earns.
    pub ratio: f64,
    /// The number of repeats that are allowed in a window in addition.
    pub slack: f64,
    /// The window.
    pub window: Duration,
    /// Which requests get the repeats.
    pub order: RepeatOrder,
}

/// What a node sent to a service since its usage was last drained.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RepeatUsage {
    /// The number of callers' requests.
    pub requests: u64,
    /// The number of attempts that reached a target after an earlier attempt of the same request had.
    pub repeats: u64,
}

/// What a repeat is worth beside the other requests of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatValue {
    /// All requests of the service have the same rank; the first come is served first.
    Equal,
    /// The requests differ in rank.
    Ranked {
        /// The place of its rank, from 0 for the most urgent one to 1 for the least urgent one.
        place: f64,
        /// Whether it may run more than once. One that may not can be repeated only since it was refused
        /// unrun, so it has no other chance.
        idempotence: Idempotence,
    },
}

impl RepeatValue {
    /// Returns the part of the reserve that is left to repeats of more value.
    fn reserved(self) -> f64 {
        match self {
            Self::Equal => 0.0,
            Self::Ranked { place, idempotence } => {
                let twice = match idempotence {
                    Idempotence::Idempotent => 1.0 - RANK_RESERVE,
                    Idempotence::NonIdempotent => 0.0,
                };
                place.clamp(0.0, 1.0) * RANK_RESERVE + twice
            }
        }
    }
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
        // What a node earns is its own, so it needs no margin. Without enough allowance for a whole repeat,
        // the stock of one that each node may have is covered by a part of what it earns.
        let covered = match self.terms.order {
            RepeatOrder::FirstCome => 0.0,
            RepeatOrder::ByValue => self.saved_allowance().min(1.0),
        };
        let earned = self.terms.ratio * (USED_FRACTION + (1.0 - USED_FRACTION) * covered);
        let account = self.account(now, service);
        account.tokens += earned;
        account.usage.requests += 1;
    }

    /// Spends a repeat of the service if there is one for its value; returns whether the repeat may be sent.
    pub fn try_spend(&mut self, now: MonoTime, service: &ServiceId, value: RepeatValue) -> bool {
        let reserve = match self.terms.order {
            RepeatOrder::FirstCome => 0.0,
            RepeatOrder::ByValue => (self.saved_allowance().max(1.0) - 1.0) * RESERVED_PART,
        };
        let account = self.account(now, service);
        let allowed = account.tokens >= 1.0 + reserve * value.reserved();
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

    /// Returns the part of the allowance that this node uses.
    fn used_allowance(&self) -> f64 {
        self.terms.slack * USED_FRACTION * self.share
    }

    /// Returns the part of the allowance that this node can save up.
    fn saved_allowance(&self) -> f64 {
        self.used_allowance() * self.terms.order.saved_part()
    }

    fn account(&mut self, now: MonoTime, service: &ServiceId) -> &mut ServiceAccount {
        let used = self.used_allowance();
        let saved = self.saved_allowance();
        let per_second = (used - saved) / self.terms.window.as_secs_f64().max(1.0);
        let account = self
            .accounts
            .entry(service.clone())
            .or_insert(ServiceAccount {
                tokens: 0.0,
                is_endowed: false,
                refilled_at: now,
                usage: RepeatUsage::default(),
            });
        if !account.is_endowed && used > 0.0 {
            account.is_endowed = true;
            account.tokens += used * STARTING_PART;
        }
        let elapsed = now.since(account.refilled_at).as_secs_f64();
        account.refilled_at = now;
        account.tokens = (account.tokens + elapsed * per_second).min(saved.max(1.0));
        account
    }
}
