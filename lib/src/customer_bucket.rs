//! One customer's limit on one node.
//!
//! See [`crate::fleet_rate`].

use std::time::Duration;

use indexmap::IndexMap;

use crate::fleet_partition::{DemandRecord, FleetPartition, PartBucket};
use crate::ids::VmId;
use crate::rate_report::RateReport;
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
pub(crate) const REPORT_OVERDUE_MS: u64 = 500;
/// The requests per second at a node below which a customer is taken for idle there when a partition is noticed.
const MIN_RECORDED_DEMAND_PER_S: f64 = 0.01;
/// The overdraft as a fraction of the burst up to which nodes still admit their shares.
const OVERDRAFT_FRACTION: f64 = 0.25;
/// The maximum time before a peer's first report for which its requests are charged, in seconds.
const FIRST_REPORT_MAX_S: f64 = 1.0;
/// The fraction of its share of the burst that a node may save up while the rate is divided.
const SAVED_BURST_FRACTION: f64 = 0.5;
/// The minimum number of requests that a node may save up, whatever its share.
const MIN_SAVED_REQUESTS: f64 = 2.0;

/// A customer's limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimit {
    /// The requests per second; zero for no limit.
    pub rate_per_s: f64,
    /// The requests that may arrive at once beyond the rate.
    pub burst: f64,
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
    /// Whether the peer fell silent after this report: what it admits until the next one is in the part of others.
    fell_silent: bool,
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
pub(crate) type PeerLastSeen = IndexMap<VmId, MonoTime>;

/// What one node knows of a customer's limit: a token bucket that stands for the whole fleet, or for the part of it
/// that this node hears.
#[derive(Debug)]
pub(crate) struct CustomerBucket {
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
    pub(crate) fn new(
        now: MonoTime,
        emptied_at: MonoTime,
        limit: FleetLimit,
        startup_level: f64,
    ) -> Self {
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
    pub(crate) fn divide(&mut self, now: MonoTime, peers: &PeerView<'_>, was_whole: bool) {
        for vm in &peers.partition.silent {
            if let Some(peer) = self.peers.get_mut(vm) {
                peer.fell_silent = true;
            }
        }
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

    pub(crate) fn refill(&mut self, now: MonoTime, peers: &PeerView<'_>) {
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

    pub(crate) fn decide(&mut self, now: MonoTime, peers: &PeerView<'_>) -> LimitDecision {
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

    /// Returns whether requests are limited at all.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit.rate_per_s > 0.0
    }

    /// Replaces the limit by that of a newer configuration.
    pub(crate) fn set_limit(&mut self, now: MonoTime, limit: FleetLimit, peers: &PeerView<'_>) {
        self.refill(now, peers);
        self.level = self.level.min(limit.burst);
        self.limit = limit;
        let part_burst = self.part_limit().burst;
        let level = self.part_level_mut();
        *level = level.min(part_burst);
    }

    /// Refunds an admitted request that was then refused for another reason.
    pub(crate) fn refund(&mut self) {
        *self.part_level_mut() += 1.0;
        self.refunded += 1;
    }

    /// Records a peer's report.
    pub(crate) fn record_report(
        &mut self,
        now: MonoTime,
        peer: &VmId,
        report: RateReport,
        peers: &PeerView<'_>,
    ) {
        self.refill(now, peers);
        let fresh = PeerRate {
            admitted: report.admitted,
            demand_per_s: report.demand_per_s,
            reported_at: now,
            charged: 0.0,
            charged_until: now,
            fell_silent: false,
        };
        let Some(held) = self.peers.insert(peer.clone(), fresh) else {
            // Requests that the peer admitted since this bucket was created are not charged yet.
            let age = now.since(self.created_at).as_secs_f64();
            let since = age.min(FIRST_REPORT_MAX_S) * report.demand_per_s;
            *self.part_level_mut() -= since.min(report.admitted as f64);
            return;
        };
        *self.part_level_mut() -= match report.admitted.checked_sub(held.admitted) {
            Some(_) if held.fell_silent => 0.0,
            Some(admitted) => admitted as f64 - held.charged,
            // A restarted peer counts from zero.
            None => report.admitted as f64 - held.charged,
        };
    }

    /// Returns this node's report and the number of its requests; none if there were none.
    pub(crate) fn report(&self, now: MonoTime) -> Option<(u64, RateReport)> {
        let report = RateReport {
            admitted: self.admitted,
            demand_per_s: self.demand(now),
        };
        (self.requests > 0).then_some((self.requests, report))
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
pub(crate) struct PeerView<'a> {
    pub(crate) last_seen: &'a PeerLastSeen,
    pub(crate) partition: &'a FleetPartition,
    /// The expected peers from which no message was received yet.
    pub(crate) unconfirmed: usize,
}

impl PeerView<'_> {
    /// Returns the time of a peer's last message; `None` once it is unresponsive.
    fn last_seen(&self, now: MonoTime, vm: &VmId) -> Option<MonoTime> {
        let timeout = Duration::from_millis(UNRESPONSIVE_PEER_MS);
        let last_seen = self.last_seen.get(vm).copied();
        last_seen.filter(|at| now.since(*at) < timeout)
    }
}
