//! Customers' rate limits over the whole fleet, from what the nodes tell each other.
//!
//! Each node keeps one bucket per customer for the whole fleet: it takes its own requests and those
//! that peers report. While the bucket is well filled, requests are admitted at once. Once it runs
//! low, each node admits only its part of the rate, in proportion to the requests that callers bring
//! it. A silent peer is taken to go on as before for a while, since it may only be cut off. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{CustomerId, VmId};
use crate::time::MonoTime;

/// The part of the bucket below which nodes divide the rate: room for what is not reported yet.
const LOW_LEVEL_FRACTION: f64 = 0.35;
/// The time over which demand is averaged, in seconds: some reports.
const DEMAND_WINDOW_S: f64 = 1.0;
/// The time for which a silent peer is taken to go on as before, in milliseconds: longer than a
/// usual cut, at whose other side callers may still be served.
const UNRESPONSIVE_PEER_MS: u64 = 10_000;
/// The time without a message after which a peer's requests are estimated, in milliseconds: two
/// messages of a peer in another data centre.
const REPORT_OVERDUE_MS: u64 = 500;
/// The time after its first request for which a node reckons with peers that it has not heard of, in
/// milliseconds: after a restart of all nodes, their first reports are still on their way.
const STARTUP_PERIOD_MS: u64 = 2_000;
/// The part of the burst by which the fleet may have overdrawn while nodes still admit their parts.
const OVERDRAFT_FRACTION: f64 = 0.25;
/// The time before a peer's first report for which its requests are charged, in seconds.
const FIRST_REPORT_MAX_S: f64 = 1.0;
/// The part of what the platform bears beyond a limit that a starting fleet spends; the rest is for
/// what nodes admit before they hear of each other.
const STARTUP_TOLERANCE_FRACTION: f64 = 0.2;
/// One unconfirmed peer in so many does not matter.
const UNCONFIRMED_TOLERANCE_DIVISOR: usize = 4;
/// The part of its share of the burst that a node may save up while the rate is divided.
const SAVED_BURST_FRACTION: f64 = 0.5;
/// The interval at which peers are told of all customers, in milliseconds: a lost message of a busy
/// customer is made good by the next one, that of an idle one waits so long.
const FULL_REPORT_INTERVAL_MS: u64 = 5_000;
/// The requests that a node may save up at least, whatever its share.
const MIN_SAVED_REQUESTS: f64 = 2.0;

/// What the platform bears beyond a limit in each window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateTolerance {
    /// The window.
    pub window: Duration,
    /// The part of the limit's requests in a window that may come beyond them.
    pub excess: f64,
    /// The requests that may come beyond that.
    pub slack: f64,
}

impl RateTolerance {
    /// Returns what a fleet that starts may spend although it may have spent the limit just before.
    fn startup_level(&self, limit: FleetLimit) -> f64 {
        let requests = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        (requests * self.excess + self.slack) * STARTUP_TOLERANCE_FRACTION
    }
}

/// A customer's limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimit {
    /// The requests per second; zero for no limit.
    pub rate_per_s: f64,
    /// The requests that may come at once beyond the rate.
    pub burst: f64,
}

/// What one node tells the others of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateReport {
    /// The requests that the node has admitted since it started.
    pub admitted: u64,
    /// The requests per second that callers bring the node, admitted or not.
    pub demand_per_s: f64,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitDecision {
    /// The request is within the limit.
    Admit,
    /// The request is over the limit.
    Refuse(LimitExceeded),
}

/// Why a customer's request is over its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitExceeded {
    /// The time after which there is room again.
    pub wait: Duration,
    /// The requests that are left for the fleet, as this node reckons; negative if too many came.
    pub level: f64,
    /// This node's part of what callers ask of the fleet.
    pub share: f64,
    /// The nodes that are reckoned with although they were not heard yet.
    pub unconfirmed_peers: usize,
}

#[derive(Debug)]
struct PeerRate {
    admitted: u64,
    demand_per_s: f64,
    reported_at: MonoTime,
    /// The requests that were charged while messages of the peer were due.
    charged: f64,
    charged_until: MonoTime,
}

impl PeerRate {
    /// Returns the requests per second at a time up to which the peer was last_seen: a report that does
    /// not name the customer says that it requests for nothing.
    fn demand(&self, last_seen: MonoTime) -> f64 {
        let idle = last_seen.since(self.reported_at).as_secs_f64();
        self.demand_per_s * (-idle / DEMAND_WINDOW_S).exp()
    }
}

/// When each peer was heard last.
type PeerLastSeen = IndexMap<VmId, MonoTime>;

#[derive(Debug)]
struct CustomerBucket {
    limit: FleetLimit,
    level: f64,
    own_tokens: f64,
    created_at: MonoTime,
    refilled_at: MonoTime,
    admitted: u64,
    requests: u64,
    /// The admitted requests that were refused in the end and not admitted anew yet.
    refunded: u64,
    demand_per_s: f64,
    last_request_at: MonoTime,
    peers: IndexMap<VmId, PeerRate>,
}

impl CustomerBucket {
    /// Makes a bucket that was nearly empty at a time: what was in it may have been spent before.
    fn new(now: MonoTime, emptied_at: MonoTime, limit: FleetLimit, startup_level: f64) -> Self {
        Self {
            limit,
            level: startup_level.min(limit.burst),
            // The first request at a node need not wait until the node knows its part.
            own_tokens: 1.0,
            created_at: now,
            refilled_at: emptied_at,
            admitted: 0,
            requests: 0,
            refunded: 0,
            demand_per_s: 0.0,
            last_request_at: now,
            peers: IndexMap::new(),
        }
    }

    /// Returns this node's part of what callers ask of the whole fleet.
    fn own_share(&self, now: MonoTime, peers: &PeerView<'_>) -> f64 {
        let others: f64 = self
            .peers
            .iter()
            .filter_map(|(vm, peer)| Some(peer.demand(peers.last_seen(now, vm)?)))
            .sum();
        let own = self.demand(now).max(0.01);
        own / (own * (1.0 + peers.unconfirmed as f64) + others)
    }

    fn demand(&self, now: MonoTime) -> f64 {
        let idle = now.since(self.last_request_at).as_secs_f64();
        self.demand_per_s * (-idle / DEMAND_WINDOW_S).exp()
    }

    fn refill(&mut self, now: MonoTime, peers: &PeerView<'_>) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let gained = elapsed * self.limit.rate_per_s;
        self.level = (self.level + gained).min(self.limit.burst.max(1.0));
        let share = self.own_share(now, peers);
        let saved = MIN_SAVED_REQUESTS.max(self.limit.burst * share * SAVED_BURST_FRACTION);
        self.own_tokens = (self.own_tokens + gained * share).min(saved);
        self.charge_overdue_peers(now, peers);
    }

    /// Charges peers whose message is due for what they admit meanwhile.
    fn charge_overdue_peers(&mut self, now: MonoTime, peers: &PeerView<'_>) {
        let overdue = Duration::from_millis(REPORT_OVERDUE_MS);
        for (vm, peer) in &mut self.peers {
            let Some(last_seen) = peers.last_seen(now, vm) else {
                continue;
            };
            let from = peer.charged_until.max(last_seen + overdue);
            if from >= now {
                continue;
            }
            let demand = peer.demand(last_seen).min(self.limit.rate_per_s);
            let charged = now.since(from).as_secs_f64() * demand;
            self.level -= charged;
            peer.charged += charged;
            peer.charged_until = now;
        }
        self.level = self.level.max(-self.limit.burst.max(self.limit.rate_per_s));
    }

    fn decide(&mut self, now: MonoTime, peers: &PeerView<'_>) -> LimitDecision {
        self.requests += 1;
        let interval = now.since(self.last_request_at).as_secs_f64();
        let decay = (-interval / DEMAND_WINDOW_S).exp();
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_WINDOW_S;
        self.last_request_at = now;
        self.refill(now, peers);
        let filled = self.level >= 1.0 && self.level >= self.limit.burst * LOW_LEVEL_FRACTION;
        if filled && peers.unconfirmed == 0 {
            self.record_admitted();
            return LimitDecision::Admit;
        }
        if self.own_tokens >= 1.0 && self.level > -self.limit.burst * OVERDRAFT_FRACTION {
            self.own_tokens -= 1.0;
            self.record_admitted();
            return LimitDecision::Admit;
        }
        let share = self.own_share(now, peers);
        let own_rate = (self.limit.rate_per_s * share).max(0.1);
        let wait = (1.0 - self.own_tokens) / own_rate;
        LimitDecision::Refuse(LimitExceeded {
            wait: Duration::from_secs_f64(wait.clamp(0.01, 5.0)),
            level: self.level,
            share,
            unconfirmed_peers: peers.unconfirmed,
        })
    }

    fn record_admitted(&mut self) {
        self.level -= 1.0;
        // The count that peers are told of never goes down, since they take differences.
        match self.refunded.checked_sub(1) {
            Some(left) => self.refunded = left,
            None => self.admitted += 1,
        }
    }
}

/// What a node knows of which peers it hears.
#[derive(Clone, Copy, Debug)]
struct PeerView<'a> {
    last_seen: &'a PeerLastSeen,
    /// The peers that are reckoned with and were not heard of yet.
    unconfirmed: usize,
}

impl PeerView<'_> {
    /// Returns when a peer was heard; none once it has been silent for long.
    fn last_seen(&self, now: MonoTime, vm: &VmId) -> Option<MonoTime> {
        let timeout = Duration::from_millis(UNRESPONSIVE_PEER_MS);
        let last_seen = self.last_seen.get(vm).copied();
        last_seen.filter(|at| now.since(*at) < timeout)
    }
}

/// The limits of all customers, as one node applies them.
#[derive(Debug)]
pub struct FleetRates {
    tolerance: RateTolerance,
    started_at: MonoTime,
    expected_peers: usize,
    first_request_at: Option<MonoTime>,
    last_seen: PeerLastSeen,
    buckets: IndexMap<CustomerId, CustomerBucket>,
}

impl FleetRates {
    /// Makes limits under what the platform bears beyond them, for a node that starts now.
    pub fn new(now: MonoTime, tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            started_at: now,
            expected_peers: 0,
            first_request_at: None,
            last_seen: PeerLastSeen::new(),
            buckets: IndexMap::new(),
        }
    }

    /// Changes how many other nodes are expected to carry traffic.
    pub fn set_expected_peers(&mut self, nodes: usize) {
        self.expected_peers = nodes;
    }

    /// Changes the limits to those of a newer configuration.
    pub fn set_limits(
        &mut self,
        now: MonoTime,
        limits: impl IntoIterator<Item = (CustomerId, FleetLimit)>,
    ) {
        let unconfirmed = self.unconfirmed(now);
        // This node's first limits were in force before it started; later ones are new.
        let first = self.buckets.is_empty();
        let emptied_at = if first { self.started_at } else { now };
        let mut old = std::mem::take(&mut self.buckets);
        for (id, limit) in limits {
            let bucket = match old.swap_remove(&id) {
                None => {
                    CustomerBucket::new(now, emptied_at, limit, self.tolerance.startup_level(limit))
                }
                Some(mut bucket) => {
                    let last_seen = &self.last_seen;
                    bucket.refill(
                        now,
                        &PeerView {
                            last_seen,
                            unconfirmed,
                        },
                    );
                    bucket.level = bucket.level.min(limit.burst);
                    bucket.limit = limit;
                    bucket
                }
            };
            self.buckets.insert(id, bucket);
        }
    }

    /// Decides on a request of a customer.
    pub fn decide(&mut self, now: MonoTime, customer: &CustomerId) -> LimitDecision {
        self.first_request_at.get_or_insert(now);
        let unconfirmed = self.unconfirmed(now);
        let last_seen = &self.last_seen;
        match self.buckets.get_mut(customer) {
            Some(bucket) if bucket.limit.rate_per_s > 0.0 => bucket.decide(
                now,
                &PeerView {
                    last_seen,
                    unconfirmed,
                },
            ),
            _ => LimitDecision::Admit,
        }
    }

    /// Says whether the fleet's first requests came just now: until all nodes have told each other
    /// their counts, also those without any, each one reckons with the others.
    pub fn is_starting_up(&self, now: MonoTime) -> bool {
        let startup = Duration::from_millis(STARTUP_PERIOD_MS);
        self.first_request_at
            .is_some_and(|at| now.since(at) < startup)
    }

    /// Says whether any request was requests for, here or at a peer.
    pub fn has_seen_request(&self) -> bool {
        self.first_request_at.is_some()
    }

    /// Returns how many peers are reckoned with that were not heard of yet.
    fn unconfirmed(&self, now: MonoTime) -> usize {
        let unconfirmed = match self.first_request_at {
            Some(_) if !self.is_starting_up(now) => 0,
            _ => self.expected_peers.saturating_sub(self.last_seen.len()),
        };
        // What a few take before they are heard of is within the room that the low part leaves.
        if unconfirmed * UNCONFIRMED_TOLERANCE_DIVISOR <= self.expected_peers {
            0
        } else {
            unconfirmed
        }
    }

    /// Gives back what a request took that was then refused for another reason.
    pub fn refund(&mut self, customer: &CustomerId) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += 1.0;
            bucket.refunded += 1;
        }
    }

    /// Takes in a peer's message: customers that it does not name have requests for nothing more.
    pub fn record_message(&mut self, now: MonoTime, peer: &VmId) {
        self.first_request_at.get_or_insert(now);
        // The silence until now is charged before it is forgotten.
        let previous = self.last_seen.get(peer).copied();
        let overdue = Duration::from_millis(REPORT_OVERDUE_MS);
        if previous.is_some_and(|at| now.since(at) >= overdue) {
            let unconfirmed = self.unconfirmed(now);
            let last_seen = &self.last_seen;
            for bucket in self.buckets.values_mut() {
                bucket.refill(
                    now,
                    &PeerView {
                        last_seen,
                        unconfirmed,
                    },
                );
            }
        }
        self.last_seen.insert(peer.clone(), now);
    }

    /// Takes in what a peer tells of a customer, after [`FleetRates::record_message`].
    pub fn record_report(
        &mut self,
        now: MonoTime,
        peer: &VmId,
        customer: &CustomerId,
        report: RateReport,
    ) {
        let unconfirmed = self.unconfirmed(now);
        let last_seen = &self.last_seen;
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(
            now,
            &PeerView {
                last_seen,
                unconfirmed,
            },
        );
        let fresh = PeerRate {
            admitted: report.admitted,
            demand_per_s: report.demand_per_s,
            reported_at: now,
            charged: 0.0,
            charged_until: now,
        };
        let Some(held) = bucket.peers.insert(peer.clone(), fresh) else {
            // What the peer admitted since this node's bucket was made is not in the bucket yet.
            let age = now
                .since(bucket.created_at)
                .as_secs_f64()
                .min(FIRST_REPORT_MAX_S);
            let since = age * report.demand_per_s;
            bucket.level -= since.min(report.admitted as f64);
            return;
        };
        // A peer that started anew counts from zero.
        let admitted = report.admitted.checked_sub(held.admitted);
        bucket.level -= admitted.unwrap_or(report.admitted) as f64 - held.charged;
    }

    /// Returns what there is to tell of the customers that requests for something, and how often they
    /// have requests.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = (&CustomerId, u64, RateReport)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.requests > 0)
            .map(move |(id, bucket)| {
                let report = RateReport {
                    admitted: bucket.admitted,
                    demand_per_s: bucket.demand(now),
                };
                (id, bucket.requests, report)
            })
    }
}

/// Chooses what some peers are sent: the customers that have requests since the peers were told last,
/// and now and then all that ever requests, since messages may be lost.
#[derive(Debug, Default)]
pub struct ReportFilter {
    sent: IndexMap<CustomerId, u64>,
    full_report_at: MonoTime,
}

impl ReportFilter {
    /// Returns what is to be told now.
    pub fn drain_due(
        &mut self,
        now: MonoTime,
        rates: &FleetRates,
    ) -> Vec<(CustomerId, RateReport)> {
        let is_full =
            now.since(self.full_report_at) >= Duration::from_millis(FULL_REPORT_INTERVAL_MS);
        if is_full {
            self.full_report_at = now;
        }
        let mut due = Vec::new();
        for (customer, requests, report) in rates.reports(now) {
            let changed = self.sent.insert(customer.clone(), requests) != Some(requests);
            if changed || is_full {
                due.push((customer.clone(), report));
            }
        }
        due
    }
}
