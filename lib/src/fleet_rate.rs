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

use crate::customer_bucket::{CustomerBucket, PeerLastSeen, PeerView, REPORT_OVERDUE_MS};
pub use crate::customer_bucket::{FleetLimit, LimitDecision, LimitExceeded};
use crate::fleet_partition::FleetPartition;
use crate::ids::{CustomerId, VmId};
use crate::rate_report::RateReport;
use crate::time::MonoTime;

/// How long after the first request a node assumes that expected peers without a report exist, in
/// milliseconds: after a restart of all nodes, their first reports are still on their way.
const STARTUP_PERIOD_MS: u64 = 2_000;
/// The fraction of the tolerated excess that a fleet spends at its start; the rest is for requests that
/// nodes admit before they receive each other's reports.
const STARTUP_TOLERANCE_FRACTION: f64 = 0.2;
/// Unconfirmed peers are ignored if they are at most one in this many of the expected peers.
const UNCONFIRMED_TOLERANCE_DIVISOR: usize = 4;

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
                    bucket.set_limit(now, limit, &self.peer_view(now));
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
        let view = PeerView {
            last_seen: &self.last_seen,
            partition: &self.partition,
            unconfirmed,
        };
        match self.buckets.get_mut(customer) {
            Some(bucket) if bucket.is_limited() => bucket.decide(now, &view),
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
            bucket.refund();
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
            let view = PeerView {
                last_seen: &self.last_seen,
                partition: &self.partition,
                unconfirmed,
            };
            for bucket in self.buckets.values_mut() {
                bucket.refill(now, &view);
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
        let view = PeerView {
            last_seen: &self.last_seen,
            partition: &self.partition,
            unconfirmed,
        };
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.record_report(now, peer, report, &view);
        }
    }

    /// Returns the report and the number of requests of each customer that had any.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = (&CustomerId, u64, RateReport)> {
        let reports = self.buckets.iter();
        reports.filter_map(move |(id, bucket)| {
            let (requests, report) = bucket.report(now)?;
            Some((id, requests, report))
        })
    }

    fn peer_view(&self, now: MonoTime) -> PeerView<'_> {
        PeerView {
            last_seen: &self.last_seen,
            partition: &self.partition,
            unconfirmed: self.unconfirmed(now),
        }
    }
}
