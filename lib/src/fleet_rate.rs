//! Enforces customers' rate limits over the whole fleet, based on reports between the nodes.
//!
//! For each customer, every node keeps a token bucket that stands for the whole fleet. Requests that
//! the node admits and requests that peers report take tokens out of it. While the bucket is well
//! filled, requests are admitted at once. Once it runs low, each node admits only its share of the
//! rate, in proportion to the requests that it receives. A peer that falls silent may be partitioned and
//! still serve callers: at first its requests are assumed to continue at the last rate, and once the
//! partition is known, the limit is divided ([`crate::fleet_partition`]). See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::fleet_partition::{DemandRecord, FleetPartition, PartBucket};
use crate::ids::{CustomerId, VmId};
use crate::time::MonoTime;

/// The fraction of the burst below which nodes divide the rate; it leaves room for requests that are
/// not reported yet.
const LOW_LEVEL_FRACTION: f64 = 0.35;
/// The time constant of the average of demand, in seconds: several report intervals.
const DEMAND_WINDOW_S: f64 = 1.0;
/// How long an unresponsive peer's requests are assumed to continue, in milliseconds: longer than a
/// typical partition, on whose other side callers may still be served.
const UNRESPONSIVE_PEER_MS: u64 = 10_000;
/// The time without a message after which a peer's requests are estimated, in milliseconds: twice the
/// report interval between data centres.
const REPORT_OVERDUE_MS: u64 = 500;
/// How long after the first request a node assumes that expected peers without a report exist, in
/// milliseconds: after a restart of all nodes, their first reports are still on their way.
const STARTUP_PERIOD_MS: u64 = 2_000;
/// The requests per second at a node below which a customer is taken for idle there when a partition is noticed.
const MIN_RECORDED_DEMAND_PER_S: f64 = 0.01;
/// The overdraft as a fraction of the burst up to which nodes still admit their shares.
const OVERDRAFT_FRACTION: f64 = 0.25;
/// The maximum time before a peer's first report for which its requests are charged, in seconds.
const FIRST_REPORT_MAX_S: f64 = 1.0;
/// The fraction of the tolerated excess that a fleet spends at its start; the rest is for requests that
/// nodes admit before they receive each other's reports.
const STARTUP_TOLERANCE_FRACTION: f64 = 0.2;
/// Unconfirmed peers are ignored if they are at most one in this many of the expected peers.
const UNCONFIRMED_TOLERANCE_DIVISOR: usize = 4;
/// The fraction of its share of the burst that a node may save up while the rate is divided.
const SAVED_BURST_FRACTION: f64 = 0.5;
/// The interval of reports of all customers, in milliseconds. The next report of a busy customer
/// replaces a lost one; for an idle customer that takes up to this long.
const FULL_REPORT_INTERVAL_MS: u64 = 5_000;
/// The minimum number of requests that a node may save up, whatever its share.
const MIN_SAVED_REQUESTS: f64 = 2.0;

/// The requests beyond a limit that the platform tolerates in each window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateTolerance {
    /// The window.
    pub window: Duration,
    /// The tolerated excess as a fraction of the limit's requests in a window.
    pub excess: f64,
    /// The number of requests that are tolerated in addition.
    pub slack: f64,
}

impl RateTolerance {
    /// Returns the initial level of a bucket, given that the limit may have been spent just before.
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
    /// The requests that may arrive at once beyond the rate.
    pub burst: f64,
}

/// A customer's counts on one node, as it reports them to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateReport {
    /// The requests that the node has admitted since it started.
    pub admitted: u64,
    /// The requests per second that the node receives, admitted or not.
    pub demand_per_s: f64,
}

/// Whether a request is within the customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitDecision {
    /// The request is within the limit.
    Admit,
    /// The request is over the limit.
    Refuse(LimitExceeded),
}

/// The state of the bucket when a request was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitExceeded {
    /// The time after which a request may be admitted again.
    pub wait: Duration,
    /// The requests that are left for the fleet, as estimated by this node; negative if overdrawn.
    pub level: f64,
    /// This node's share of the customer's requests, from 0 to 1.
    pub share: f64,
    /// The expected peers from which no message was received yet.
    pub unconfirmed_peers: usize,
}

#[derive(Debug)]
struct PeerRate {
    admitted: u64,
    demand_per_s: f64,
    reported_at: MonoTime,
    /// The requests that were charged while messages of the peer were overdue.
    charged: f64,
    charged_until: MonoTime,
}

impl PeerRate {
    /// Returns the requests per second as of the peer's last message: a message without a report of the
    /// customer means that there were no new requests.
    fn demand(&self, last_seen: MonoTime) -> f64 {
        let idle = last_seen.since(self.reported_at).as_secs_f64();
        self.demand_per_s * (-idle / DEMAND_WINDOW_S).exp()
    }
}

/// The time of the last message from each peer.
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
    /// The refunded requests that later requests have not used yet.
    refunded: u64,
    demand_per_s: f64,
    last_request_at: MonoTime,
    peers: IndexMap<VmId, PeerRate>,
    /// What this part of the fleet may use; none while all nodes are heard.
    part: Option<Box<PartBucket>>,
}

impl CustomerBucket {
    /// Creates a bucket that was nearly empty at `emptied_at`: its tokens may have been spent before.
    fn new(now: MonoTime, emptied_at: MonoTime, limit: FleetLimit, startup_level: f64) -> Self {
        Self {
            limit,
            level: startup_level.min(limit.burst),
            // The first request at a node need not wait until the node knows its share.
            own_tokens: 1.0,
            created_at: now,
            refilled_at: emptied_at,
            admitted: 0,
            requests: 0,
            refunded: 0,
            demand_per_s: 0.0,
            last_request_at: now,
            peers: IndexMap::new(),
            part: None,
        }
    }

    /// Returns the limit of this part of the fleet.
    fn part_limit(&self) -> FleetLimit {
        let share = self.part.as_ref().map_or(1.0, |part| part.share);
        FleetLimit {
            rate_per_s: self.limit.rate_per_s * share,
            burst: self.limit.burst * share,
        }
    }

    /// Returns the requests that are left for this part of the fleet; negative if overdrawn.
    fn part_level(&self) -> f64 {
        self.part.as_ref().map_or(self.level, |part| part.level)
    }

    fn part_level_mut(&mut self) -> &mut f64 {
        match &mut self.part {
            Some(part) => &mut part.level,
            None => &mut self.level,
        }
    }

    /// Divides the limit after other peers fell silent or were heard again; `was_whole` says whether all were heard
    /// before.
    fn divide(&mut self, now: MonoTime, peers: &PeerView<'_>, was_whole: bool) {
        if peers.partition.is_whole() {
            if let Some(part) = self.part.take() {
                self.level = part.fleet_level();
            }
            return;
        }
        if let Some(part) = &mut self.part {
            part.adapt(peers.partition);
            return;
        }
        if !was_whole {
            return;
        }
        let reported = self.peers.iter().filter_map(|(vm, peer)| {
            let demand = peer.demand(peers.last_seen(now, vm)?);
            (demand > MIN_RECORDED_DEMAND_PER_S).then(|| (vm.clone(), demand))
        });
        let demand = DemandRecord {
            own: self.demand(now),
            peers: reported.collect(),
        };
        // Most customers are idle; they get their part with the next request, and demand that begins until then
        // says nothing.
        if demand.own > MIN_RECORDED_DEMAND_PER_S || !demand.peers.is_empty() {
            self.take_part(peers.partition, demand);
        }
    }

    fn take_part(&mut self, partition: &FleetPartition, demand: DemandRecord) {
        let part = PartBucket::new(partition, demand, self.level);
        self.part = Some(Box::new(part));
    }

    /// Returns this node's share of the customer's requests; an unconfirmed peer counts like this node.
    fn own_share(&self, now: MonoTime, peers: &PeerView<'_>) -> f64 {
        let others: f64 = self
            .peers
            .iter()
            .filter(|(vm, _)| !peers.partition.silent.contains(*vm))
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
        let limit = self.part_limit();
        let gained = elapsed * limit.rate_per_s;
        let level = self.part_level_mut();
        *level = (*level + gained).min(limit.burst.max(1.0));
        if let Some(part) = &mut self.part {
            part.refill_others(elapsed * self.limit.rate_per_s);
        }
        let share = self.own_share(now, peers);
        let saved = MIN_SAVED_REQUESTS.max(limit.burst * share * SAVED_BURST_FRACTION);
        self.own_tokens = (self.own_tokens + gained * share).min(saved);
        self.charge_overdue_peers(now, peers);
    }

    /// Charges the estimated requests of peers whose messages are overdue. Those of silent peers belong to
    /// another part of the limit.
    fn charge_overdue_peers(&mut self, now: MonoTime, peers: &PeerView<'_>) {
        let overdue = Duration::from_millis(REPORT_OVERDUE_MS);
        let mut charged_sum = 0.0;
        for (vm, peer) in &mut self.peers {
            let Some(last_seen) = peers.last_seen(now, vm) else {
                continue;
            };
            if peers.partition.silent.contains(vm) {
                continue;
            }
            let from = peer.charged_until.max(last_seen + overdue);
            if from >= now {
                continue;
            }
            let demand = peer.demand(last_seen).min(self.limit.rate_per_s);
            let charged = now.since(from).as_secs_f64() * demand;
            charged_sum += charged;
            peer.charged += charged;
            peer.charged_until = now;
        }
        let lowest = -self.limit.burst.max(self.limit.rate_per_s);
        let level = self.part_level_mut();
        *level = (*level - charged_sum).max(lowest);
    }

    fn decide(&mut self, now: MonoTime, peers: &PeerView<'_>) -> LimitDecision {
        self.requests += 1;
        let interval = now.since(self.last_request_at).as_secs_f64();
        let decay = (-interval / DEMAND_WINDOW_S).exp();
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_WINDOW_S;
        self.last_request_at = now;
        self.refill(now, peers);
        if self.part.is_none() && !peers.partition.is_whole() {
            self.take_part(peers.partition, DemandRecord::default());
        }
        let (limit, level) = (self.part_limit(), self.part_level());
        let filled = level >= 1.0 && level >= limit.burst * LOW_LEVEL_FRACTION;
        if filled && peers.unconfirmed == 0 {
            self.record_admitted();
            return LimitDecision::Admit;
        }
        if self.own_tokens >= 1.0 && level > -limit.burst * OVERDRAFT_FRACTION {
            self.own_tokens -= 1.0;
            self.record_admitted();
            return LimitDecision::Admit;
        }
        let share = self.own_share(now, peers);
        let own_rate = (limit.rate_per_s * share).max(0.1);
        let wait = (1.0 - self.own_tokens) / own_rate;
        LimitDecision::Refuse(LimitExceeded {
            wait: Duration::from_secs_f64(wait.clamp(0.01, 5.0)),
            level,
            share,
            unconfirmed_peers: peers.unconfirmed,
        })
    }

    fn record_admitted(&mut self) {
        *self.part_level_mut() -= 1.0;
        // The reported count never decreases, since peers take differences.
        match self.refunded.checked_sub(1) {
            Some(left) => self.refunded = left,
            None => self.admitted += 1,
        }
    }
}

/// The peers as this node sees them.
#[derive(Clone, Copy, Debug)]
struct PeerView<'a> {
    last_seen: &'a PeerLastSeen,
    partition: &'a FleetPartition,
    /// The expected peers from which no message was received yet.
    unconfirmed: usize,
}

impl PeerView<'_> {
    /// Returns the time of a peer's last message; `None` once it is unresponsive.
    fn last_seen(&self, now: MonoTime, vm: &VmId) -> Option<MonoTime> {
        let timeout = Duration::from_millis(UNRESPONSIVE_PEER_MS);
        let last_seen = self.last_seen.get(vm).copied();
        last_seen.filter(|at| now.since(*at) < timeout)
    }
}

/// The limits of all customers, as enforced by one node.
#[derive(Debug)]
pub struct FleetRates {
    tolerance: RateTolerance,
    started_at: MonoTime,
    expected_peers: usize,
    first_request_at: Option<MonoTime>,
    last_seen: PeerLastSeen,
    partition: FleetPartition,
    buckets: IndexMap<CustomerId, CustomerBucket>,
}

impl FleetRates {
    /// Creates the limits of a node that starts at `now`.
    pub fn new(now: MonoTime, tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            started_at: now,
            expected_peers: 0,
            first_request_at: None,
            last_seen: PeerLastSeen::new(),
            partition: FleetPartition::default(),
            buckets: IndexMap::new(),
        }
    }

    /// Sets the number of other nodes that are expected to carry traffic.
    pub fn set_expected_peers(&mut self, nodes: usize) {
        self.expected_peers = nodes;
    }

    /// Sets which peers fell silent, and divides the limits if they are others than before; returns whether
    /// they are.
    pub fn set_partition(&mut self, now: MonoTime, partition: FleetPartition) -> bool {
        if partition.silent == self.partition.silent {
            return false;
        }
        let was_whole = self.partition.is_whole();
        let unconfirmed = self.unconfirmed(now);
        // Up to now, peers that have just fallen silent are charged at their last rate.
        let before = std::mem::replace(&mut self.partition, partition);
        let view = |partition| PeerView {
            last_seen: &self.last_seen,
            partition,
            unconfirmed,
        };
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, &view(&before));
            bucket.divide(now, &view(&self.partition), was_whole);
        }
        true
    }

    /// Replaces the limits by those of a newer configuration.
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
                            partition: &self.partition,
                            unconfirmed,
                        },
                    );
                    bucket.level = bucket.level.min(limit.burst);
                    bucket.limit = limit;
                    let part_burst = bucket.part_limit().burst;
                    let level = bucket.part_level_mut();
                    *level = level.min(part_burst);
                    bucket
                }
            };
            self.buckets.insert(id, bucket);
        }
    }

    /// Decides whether a request of a customer is admitted, and counts it.
    pub fn decide(&mut self, now: MonoTime, customer: &CustomerId) -> LimitDecision {
        self.first_request_at.get_or_insert(now);
        let unconfirmed = self.unconfirmed(now);
        let last_seen = &self.last_seen;
        match self.buckets.get_mut(customer) {
            Some(bucket) if bucket.limit.rate_per_s > 0.0 => bucket.decide(
                now,
                &PeerView {
                    last_seen,
                    partition: &self.partition,
                    unconfirmed,
                },
            ),
            _ => LimitDecision::Admit,
        }
    }

    /// Returns whether the fleet received its first requests a moment ago.
    ///
    /// During that time a node assumes that all expected peers admit requests; nodes without requests
    /// report too, which ends that assumption.
    pub fn is_starting_up(&self, now: MonoTime) -> bool {
        let startup = Duration::from_millis(STARTUP_PERIOD_MS);
        self.first_request_at
            .is_some_and(|at| now.since(at) < startup)
    }

    /// Returns whether there was any request, here or at a peer.
    pub fn has_seen_request(&self) -> bool {
        self.first_request_at.is_some()
    }

    /// Returns the number of expected peers without a message yet; zero if there are too few to matter.
    fn unconfirmed(&self, now: MonoTime) -> usize {
        let unconfirmed = match self.first_request_at {
            Some(_) if !self.is_starting_up(now) => 0,
            _ => self.expected_peers.saturating_sub(self.last_seen.len()),
        };
        // The requests that a few admit meanwhile fit into the room below the low level.
        if unconfirmed * UNCONFIRMED_TOLERANCE_DIVISOR <= self.expected_peers {
            0
        } else {
            unconfirmed
        }
    }

    /// Refunds an admitted request that was then refused for another reason.
    pub fn refund(&mut self, customer: &CustomerId) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            *bucket.part_level_mut() += 1.0;
            bucket.refunded += 1;
        }
    }

    /// Records a peer's message; customers without a report in it had no new requests.
    pub fn record_message(&mut self, now: MonoTime, peer: &VmId) {
        self.first_request_at.get_or_insert(now);
        // The time without a message is charged before the new message resets it.
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
                        partition: &self.partition,
                        unconfirmed,
                    },
                );
            }
        }
        self.last_seen.insert(peer.clone(), now);
    }

    /// Records a peer's report of a customer; call [`FleetRates::record_message`] first.
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
                partition: &self.partition,
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
            // Requests that the peer admitted since this bucket was created are not charged yet.
            let age = now
                .since(bucket.created_at)
                .as_secs_f64()
                .min(FIRST_REPORT_MAX_S);
            let since = age * report.demand_per_s;
            *bucket.part_level_mut() -= since.min(report.admitted as f64);
            return;
        };
        if self.partition.silent.contains(peer) {
            // What it admitted meanwhile was in the part of others.
            return;
        }
        // A restarted peer counts from zero.
        let admitted = report.admitted.checked_sub(held.admitted);
        *bucket.part_level_mut() -= admitted.unwrap_or(report.admitted) as f64 - held.charged;
    }

    /// Returns the report and the number of requests of each customer that had any.
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

/// Selects the reports to send to a group of peers: those of customers with requests since the last
/// report, and at an interval those of all customers, since messages may be lost.
#[derive(Debug, Default)]
pub struct ReportFilter {
    sent: IndexMap<CustomerId, SentReport>,
    full_report_at: MonoTime,
    repeats: u8,
}

/// A customer's last report.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    requests: u64,
    repeats_left: u8,
}

impl ReportFilter {
    /// Creates a filter that sends each changed report a second time with the next message. A lost
    /// message to a relay would otherwise withhold an idle customer's last report from a whole data
    /// centre until the next report of all customers.
    pub fn repeating() -> Self {
        Self {
            repeats: 1,
            ..Self::default()
        }
    }

    /// Returns the reports that are due, and marks them as sent.
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
            let last = self.sent.get(customer);
            let repeats_left = match last.filter(|last| last.requests == requests) {
                Some(last) if last.repeats_left == 0 && !is_full => continue,
                Some(last) => last.repeats_left.saturating_sub(1),
                None => self.repeats,
            };
            let sent = SentReport {
                requests,
                repeats_left,
            };
            self.sent.insert(customer.clone(), sent);
            due.push((customer.clone(), report));
        }
        due
    }
}
