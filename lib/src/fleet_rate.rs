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
/// The time without a message after which a peer's requests are estimated, in milliseconds: two
/// messages of a peer in another data centre.
const REPORT_DUE_MS: u64 = 500;
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
/// The interval at which peers are told of all customers, in milliseconds: a lost message of a busy
/// customer is made good by the next one, that of an idle one waits so long.
const REPEAT_ALL_MS: u64 = 5_000;
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
    /// The request is over the limit.
    Refuse(RateShortage),
}

/// Why a customer's request is over its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShortage {
    /// The time after which there is room again.
    pub wait: Duration,
    /// The requests that are left for the fleet, as this node reckons; negative if too many came.
    pub level: f64,
    /// This node's part of what callers ask of the fleet.
    pub share: f64,
    /// The nodes that are reckoned with although they were not heard yet.
    pub unheard: usize,
}

#[derive(Debug)]
struct PeerRate {
    admitted: u64,
    demand_per_s: f64,
    told_at: MonoTime,
    /// The requests that were charged while messages of the peer were due.
    charged: f64,
    charged_until: MonoTime,
}

impl PeerRate {
    /// Returns the requests per second at a time up to which the peer was heard: a report that does
    /// not name the customer says that it asked for nothing.
    fn demand(&self, heard_at: MonoTime) -> f64 {
        let idle = heard_at.since(self.told_at).as_secs_f64();
        self.demand_per_s * (-idle / DEMAND_MEMORY_S).exp()
    }
}

/// When each peer was heard last.
type HeardPeers = IndexMap<VmId, MonoTime>;

#[derive(Debug)]
struct CustomerBucket {
    limit: FleetLimit,
    level: f64,
    own_part: f64,
    made_at: MonoTime,
    refilled_at: MonoTime,
    admitted: u64,
    asked: u64,
    /// The admitted requests that were refused in the end and not admitted anew yet.
    returned: u64,
    demand_per_s: f64,
    asked_at: MonoTime,
    peers: IndexMap<VmId, PeerRate>,
}

impl CustomerBucket {
    /// Makes a bucket that was nearly empty at a time: what was in it may have been spent before.
    fn new(now: MonoTime, empty_at: MonoTime, limit: FleetLimit, opening: f64) -> Self {
        Self {
            limit,
            level: opening.min(limit.burst),
            // The first request at a node need not wait until the node knows its part.
            own_part: 1.0,
            made_at: now,
            refilled_at: empty_at,
            admitted: 0,
            asked: 0,
            returned: 0,
            demand_per_s: 0.0,
            asked_at: now,
            peers: IndexMap::new(),
        }
    }

    /// Returns this node's part of what callers ask of the whole fleet.
    fn own_share(&self, now: MonoTime, peers: &PeerView<'_>) -> f64 {
        let others: f64 = self
            .peers
            .iter()
            .filter_map(|(vm, peer)| Some(peer.demand(peers.heard_at(now, vm)?)))
            .sum();
        let own = self.demand(now).max(0.01);
        own / (own * (1.0 + peers.unheard as f64) + others)
    }

    fn demand(&self, now: MonoTime) -> f64 {
        let idle = now.since(self.asked_at).as_secs_f64();
        self.demand_per_s * (-idle / DEMAND_MEMORY_S).exp()
    }

    fn refill(&mut self, now: MonoTime, peers: &PeerView<'_>) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let gained = elapsed * self.limit.rate_per_s;
        self.level = (self.level + gained).min(self.limit.burst.max(1.0));
        let share = self.own_share(now, peers);
        let saved = SAVED_REQUESTS.max(self.limit.burst * share * SAVED_BURST_PART);
        self.own_part = (self.own_part + gained * share).min(saved);
        self.charge_silent_peers(now, peers);
    }

    /// Charges peers whose message is due for what they admit meanwhile.
    fn charge_silent_peers(&mut self, now: MonoTime, peers: &PeerView<'_>) {
        let due = Duration::from_millis(REPORT_DUE_MS);
        for (vm, peer) in &mut self.peers {
            let Some(heard_at) = peers.heard_at(now, vm) else {
                continue;
            };
            let from = peer.charged_until.max(heard_at + due);
            if from >= now {
                continue;
            }
            let demand = peer.demand(heard_at).min(self.limit.rate_per_s);
            let charged = now.since(from).as_secs_f64() * demand;
            self.level -= charged;
            peer.charged += charged;
            peer.charged_until = now;
        }
        self.level = self.level.max(-self.limit.burst.max(self.limit.rate_per_s));
    }

    fn ask(&mut self, now: MonoTime, peers: &PeerView<'_>) -> RateAnswer {
        self.asked += 1;
        let interval = now.since(self.asked_at).as_secs_f64();
        let decay = (-interval / DEMAND_MEMORY_S).exp();
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_MEMORY_S;
        self.asked_at = now;
        self.refill(now, peers);
        let filled = self.level >= 1.0 && self.level >= self.limit.burst * LOW_PART;
        if filled && peers.unheard == 0 {
            self.note_admitted();
            return RateAnswer::Admit;
        }
        if self.own_part >= 1.0 && self.level > -self.limit.burst * OVERDRAFT_PART {
            self.own_part -= 1.0;
            self.note_admitted();
            return RateAnswer::Admit;
        }
        let share = self.own_share(now, peers);
        let own_rate = (self.limit.rate_per_s * share).max(0.1);
        let wait = (1.0 - self.own_part) / own_rate;
        RateAnswer::Refuse(RateShortage {
            wait: Duration::from_secs_f64(wait.clamp(0.01, 5.0)),
            level: self.level,
            share,
            unheard: peers.unheard,
        })
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

/// What a node knows of which peers it hears.
#[derive(Clone, Copy, Debug)]
struct PeerView<'a> {
    heard: &'a HeardPeers,
    /// The peers that are reckoned with and were not heard of yet.
    unheard: usize,
}

impl PeerView<'_> {
    /// Returns when a peer was heard; none once it has been silent for long.
    fn heard_at(&self, now: MonoTime, vm: &VmId) -> Option<MonoTime> {
        let silent = Duration::from_millis(SILENT_PEER_MS);
        let heard_at = self.heard.get(vm).copied();
        heard_at.filter(|at| now.since(*at) < silent)
    }
}

/// The limits of all customers, as one node applies them.
#[derive(Debug)]
pub struct FleetRates {
    tolerance: RateTolerance,
    started_at: MonoTime,
    expected_peers: usize,
    opened_at: Option<MonoTime>,
    heard: HeardPeers,
    buckets: IndexMap<CustomerId, CustomerBucket>,
}

impl FleetRates {
    /// Makes limits under what the platform bears beyond them, for a node that starts now.
    pub fn new(now: MonoTime, tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            started_at: now,
            expected_peers: 0,
            opened_at: None,
            heard: HeardPeers::new(),
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
        let unheard = self.unheard(now);
        // This node's first limits were in force before it started; later ones are new.
        let first = self.buckets.is_empty();
        let empty_at = if first { self.started_at } else { now };
        let mut old = std::mem::take(&mut self.buckets);
        for (id, limit) in limits {
            let bucket = match old.swap_remove(&id) {
                None => CustomerBucket::new(now, empty_at, limit, self.tolerance.opening(limit)),
                Some(mut bucket) => {
                    let heard = &self.heard;
                    bucket.refill(now, &PeerView { heard, unheard });
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
        self.opened_at.get_or_insert(now);
        let unheard = self.unheard(now);
        let heard = &self.heard;
        match self.buckets.get_mut(customer) {
            Some(bucket) if bucket.limit.rate_per_s > 0.0 => {
                bucket.ask(now, &PeerView { heard, unheard })
            }
            _ => RateAnswer::Admit,
        }
    }

    /// Says whether the fleet's first requests came just now: until all nodes have told each other
    /// their counts, also those without any, each one reckons with the others.
    pub fn is_opening(&self, now: MonoTime) -> bool {
        let opening = Duration::from_millis(UNHEARD_PEER_MS);
        self.opened_at.is_some_and(|at| now.since(at) < opening)
    }

    /// Says whether any request was asked for, here or at a peer.
    pub fn is_opened(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Returns how many peers are reckoned with that were not heard of yet.
    fn unheard(&self, now: MonoTime) -> usize {
        let unheard = match self.opened_at {
            Some(_) if !self.is_opening(now) => 0,
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

    /// Takes in a peer's message: customers that it does not name have asked for nothing more.
    pub fn note_heard(&mut self, now: MonoTime, peer: &VmId) {
        self.opened_at.get_or_insert(now);
        // The silence until now is charged before it is forgotten.
        let silent = self.heard.get(peer).copied();
        let due = Duration::from_millis(REPORT_DUE_MS);
        if silent.is_some_and(|at| now.since(at) >= due) {
            let unheard = self.unheard(now);
            let heard = &self.heard;
            for bucket in self.buckets.values_mut() {
                bucket.refill(now, &PeerView { heard, unheard });
            }
        }
        self.heard.insert(peer.clone(), now);
    }

    /// Takes in what a peer tells of a customer, after [`FleetRates::note_heard`].
    pub fn note_report(
        &mut self,
        now: MonoTime,
        peer: &VmId,
        customer: &CustomerId,
        report: RateReport,
    ) {
        let unheard = self.unheard(now);
        let heard = &self.heard;
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(now, &PeerView { heard, unheard });
        let fresh = PeerRate {
            admitted: report.admitted,
            demand_per_s: report.demand_per_s,
            told_at: now,
            charged: 0.0,
            charged_until: now,
        };
        let Some(held) = bucket.peers.insert(peer.clone(), fresh) else {
            // What the peer admitted since this node's bucket was made is not in the bucket yet.
            let age = now.since(bucket.made_at).as_secs_f64().min(FIRST_REPORT_S);
            let since = age * report.demand_per_s;
            bucket.level -= since.min(report.admitted as f64);
            return;
        };
        // A peer that started anew counts from zero.
        let admitted = report.admitted.checked_sub(held.admitted);
        bucket.level -= admitted.unwrap_or(report.admitted) as f64 - held.charged;
    }

    /// Returns what there is to tell of the customers that asked for something, and how often they
    /// have asked.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = (&CustomerId, u64, RateReport)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.asked > 0)
            .map(move |(id, bucket)| {
                let report = RateReport {
                    admitted: bucket.admitted,
                    demand_per_s: bucket.demand(now),
                };
                (id, bucket.asked, report)
            })
    }
}

/// Chooses what some peers are told: the customers that have asked since the peers were told last,
/// and now and then all that ever asked, since messages may be lost.
#[derive(Debug, Default)]
pub struct ReportFilter {
    told: IndexMap<CustomerId, u64>,
    repeated_at: MonoTime,
}

impl ReportFilter {
    /// Returns what is to be told now.
    pub fn take_due(&mut self, now: MonoTime, rates: &FleetRates) -> Vec<(CustomerId, RateReport)> {
        let repeats = now.since(self.repeated_at) >= Duration::from_millis(REPEAT_ALL_MS);
        if repeats {
            self.repeated_at = now;
        }
        let mut due = Vec::new();
        for (customer, asked, report) in rates.reports(now) {
            let changed = self.told.insert(customer.clone(), asked) != Some(asked);
            if changed || repeats {
                due.push((customer.clone(), report));
            }
        }
        due
    }
}
