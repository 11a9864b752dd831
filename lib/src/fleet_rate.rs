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
const LOW_PART: f64 = 0.35;
/// The time over which demand is averaged, in seconds: some reports.
const DEMAND_MEMORY_S: f64 = 1.0;
/// The time for which a silent peer is taken to go on as before, in milliseconds: longer than a
/// usual cut, at whose other side callers may still be served.
const SILENT_PEER_MS: u64 = 10_000;
/// The time between reports after which a peer's requests are estimated, in milliseconds.
const REPORT_DUE_MS: u64 = 300;
/// The time after its first request for which a node reckons with peers that it has not heard of, in
/// milliseconds: after a restart of all nodes, their first reports are still on their way.
const UNHEARD_PEER_MS: u64 = 2_000;
/// The part of the burst by which the fleet may have overdrawn while nodes still admit their parts.
const OVERDRAFT_PART: f64 = 0.25;
/// The time before a peer's first report for which its requests are charged, in seconds.
const FIRST_REPORT_S: f64 = 1.0;
/// The part of what the platform bears beyond a limit that a starting fleet spends; the rest is for
/// what nodes admit before they hear of each other.
const OPENING_PART: f64 = 0.2;
/// One unheard peer in so many does not matter.
const BORNE_UNHEARD: usize = 4;
/// The part of its share of the burst that a node may save up while the rate is divided.
const SAVED_BURST_PART: f64 = 0.5;
/// The requests that a node may save up at least, whatever its share.
const SAVED_REQUESTS: f64 = 2.0;

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
    fn opening(&self, limit: FleetLimit) -> f64 {
        let requests = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        (requests * self.excess + self.slack) * OPENING_PART
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
pub enum RateAnswer {
    /// The request is within the limit.
    Admit,
    /// The request is over the limit; there is room again after the period.
    Refuse(Duration),
}

#[derive(Debug)]
struct PeerRate {
    admitted: u64,
    demand_per_s: f64,
    heard_at: MonoTime,
    charged_until: MonoTime,
}

#[derive(Debug)]
struct CustomerBucket {
    limit: FleetLimit,
    level: f64,
    own_part: f64,
    made_at: MonoTime,
    refilled_at: MonoTime,
    admitted: u64,
    /// The admitted requests that were refused in the end and not admitted anew yet.
    returned: u64,
    demand_per_s: f64,
    asked_at: MonoTime,
    peers: IndexMap<VmId, PeerRate>,
}

impl CustomerBucket {
    /// Makes a bucket that is nearly empty: what was in it may have been spent before the node started.
    fn new(now: MonoTime, limit: FleetLimit, opening: f64) -> Self {
        Self {
            limit,
            level: opening.min(limit.burst),
            // The first request at a node need not wait until the node knows its part.
            own_part: 1.0,
            made_at: now,
            refilled_at: now,
            admitted: 0,
            returned: 0,
            demand_per_s: 0.0,
            asked_at: now,
            peers: IndexMap::new(),
        }
    }

    /// Returns this node's part of what callers ask of the whole fleet.
    fn own_share(&self, now: MonoTime, unheard: usize) -> f64 {
        let others: f64 = self.heard(now).map(|peer| peer.demand_per_s).sum();
        let own = self.demand(now).max(0.01);
        own / (own * (1.0 + unheard as f64) + others)
    }

    fn heard(&self, now: MonoTime) -> impl Iterator<Item = &PeerRate> {
        let silent = Duration::from_millis(SILENT_PEER_MS);
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.heard_at) < silent)
    }

    fn demand(&self, now: MonoTime) -> f64 {
        let idle = now.since(self.asked_at).as_secs_f64();
        self.demand_per_s * (-idle / DEMAND_MEMORY_S).exp()
    }

    fn refill(&mut self, now: MonoTime, unheard: usize) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let gained = elapsed * self.limit.rate_per_s;
        self.level = (self.level + gained).min(self.limit.burst.max(1.0));
        let share = self.own_share(now, unheard);
        let saved = SAVED_REQUESTS.max(self.limit.burst * share * SAVED_BURST_PART);
        self.own_part = (self.own_part + gained * share).min(saved);
        self.charge_silent_peers(now);
    }

    /// Charges peers whose report is due for what they admit meanwhile.
    fn charge_silent_peers(&mut self, now: MonoTime) {
        let due = Duration::from_millis(REPORT_DUE_MS);
        let silent = Duration::from_millis(SILENT_PEER_MS);
        for peer in self.peers.values_mut() {
            let silence = now.since(peer.heard_at);
            if silence < due || silence >= silent {
                continue;
            }
            let from = peer.charged_until.max(peer.heard_at + due);
            let elapsed = now.since(from).as_secs_f64();
            self.level -= elapsed * peer.demand_per_s.min(self.limit.rate_per_s);
            peer.charged_until = now;
        }
        self.level = self.level.max(-self.limit.burst.max(self.limit.rate_per_s));
    }

    fn ask(&mut self, now: MonoTime, unheard: usize) -> RateAnswer {
        let interval = now.since(self.asked_at).as_secs_f64();
        let decay = (-interval / DEMAND_MEMORY_S).exp();
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_MEMORY_S;
        self.asked_at = now;
        self.refill(now, unheard);
        let filled = self.level >= 1.0 && self.level >= self.limit.burst * LOW_PART;
        if filled && unheard == 0 {
            self.note_admitted();
            return RateAnswer::Admit;
        }
        if self.own_part >= 1.0 && self.level > -self.limit.burst * OVERDRAFT_PART {
            self.own_part -= 1.0;
            self.note_admitted();
            return RateAnswer::Admit;
        }
        let share = self.own_share(now, unheard);
        let own_rate = (self.limit.rate_per_s * share).max(0.1);
        let wait = (1.0 - self.own_part) / own_rate;
        RateAnswer::Refuse(Duration::from_secs_f64(wait.clamp(0.01, 5.0)))
    }

    fn note_admitted(&mut self) {
        self.level -= 1.0;
        // The count that peers are told of never goes down, since they take differences.
        match self.returned.checked_sub(1) {
            Some(left) => self.returned = left,
            None => self.admitted += 1,
        }
    }
}

/// The limits of all customers, as one node applies them.
#[derive(Debug, Default)]
pub struct FleetRates {
    tolerance: RateTolerance,
    expected_peers: usize,
    first_asked_at: Option<MonoTime>,
    heard: IndexMap<VmId, MonoTime>,
    buckets: IndexMap<CustomerId, CustomerBucket>,
}

impl FleetRates {
    /// Makes limits under what the platform bears beyond them.
    pub fn new(tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
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
        let unheard = self.unheard(now);
        let mut old = std::mem::take(&mut self.buckets);
        for (id, limit) in limits {
            let bucket = match old.swap_remove(&id) {
                None => CustomerBucket::new(now, limit, self.tolerance.opening(limit)),
                Some(mut bucket) => {
                    bucket.refill(now, unheard);
                    bucket.level = bucket.level.min(limit.burst);
                    bucket.limit = limit;
                    bucket
                }
            };
            self.buckets.insert(id, bucket);
        }
    }

    /// Decides on a request of a customer.
    pub fn ask(&mut self, now: MonoTime, customer: &CustomerId) -> RateAnswer {
        self.first_asked_at.get_or_insert(now);
        let unheard = self.unheard(now);
        match self.buckets.get_mut(customer) {
            Some(bucket) if bucket.limit.rate_per_s > 0.0 => bucket.ask(now, unheard),
            _ => RateAnswer::Admit,
        }
    }

    /// Returns how many peers are reckoned with that were not heard of yet.
    fn unheard(&self, now: MonoTime) -> usize {
        let starts = Duration::from_millis(UNHEARD_PEER_MS);
        let unheard = match self.first_asked_at {
            Some(first) if now.since(first) >= starts => 0,
            _ => self.expected_peers.saturating_sub(self.heard.len()),
        };
        // What a few take before they are heard of is within the room that the low part leaves.
        if unheard * BORNE_UNHEARD <= self.expected_peers {
            0
        } else {
            unheard
        }
    }

    /// Gives back what a request took that was then refused for another reason.
    pub fn give_back(&mut self, customer: &CustomerId) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += 1.0;
            bucket.returned += 1;
        }
    }

    /// Takes in what a peer tells of a customer.
    pub fn note_report(
        &mut self,
        now: MonoTime,
        peer: &VmId,
        customer: &CustomerId,
        report: RateReport,
    ) {
        self.heard.insert(peer.clone(), now);
        let unheard = self.unheard(now);
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(now, unheard);
        let fresh = PeerRate {
            admitted: report.admitted,
            demand_per_s: report.demand_per_s,
            heard_at: now,
            charged_until: now,
        };
        let Some(held) = bucket.peers.insert(peer.clone(), fresh) else {
            // What the peer admitted since this node's bucket was made is not in the bucket yet.
            let age = now.since(bucket.made_at).as_secs_f64().min(FIRST_REPORT_S);
            let since = age * report.demand_per_s;
            bucket.level -= since.min(report.admitted as f64);
            return;
        };
        let due = Duration::from_millis(REPORT_DUE_MS);
        let charged = held.charged_until.since(held.heard_at + due).as_secs_f64()
            * held.demand_per_s.min(bucket.limit.rate_per_s);
        // A peer that started anew counts from zero.
        let admitted = report.admitted.checked_sub(held.admitted);
        bucket.level -= admitted.unwrap_or(report.admitted) as f64 - charged;
    }

    /// Returns what peers are to be told of the customers that asked for something.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = (&CustomerId, RateReport)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.admitted > 0 || bucket.demand_per_s > 0.0)
            .map(move |(id, bucket)| {
                let report = RateReport {
                    admitted: bucket.admitted,
                    demand_per_s: bucket.demand(now),
                };
                (id, report)
            })
    }
}
