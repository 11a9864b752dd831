//! Measures which share of a service's requests is not served, over the nodes of the fleet.
//!
//! Each node counts its own requests. While it loses some, it tells the nodes that carry traffic how many; see
//! [docs/design/ejection.md](../../docs/design/ejection.md).

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, VmId};
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

/// The half-life of a request's weight, in seconds: the window in which a lasting loss shows.
const HALF_LIFE_S: f64 = 2.0;
/// The share of lost requests from which on a service loses requests: below the tenth at which the floor binds.
const MIN_LOST_SHARE: f64 = 0.08;
/// The weight of lost requests below which a share says nothing: more than one request.
const MIN_LOST: f64 = 1.5;
/// The share of lost requests below which a node reports nothing: the margin below the tenth at which the floor
/// binds. If all nodes stay below it, the pooled share is too low by that much at most.
const MIN_REPORTED_SHARE: f64 = 0.02;
/// The time after which a peer's last report has no weight, in half-lives.
const FADED_HALF_LIVES: f64 = 16.0;

/// Whether a request was served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The caller got the target's answer, and it is no error.
    Served,
    /// The request was refused or failed, for whatever reason.
    Lost,
}

/// A digest of a service's id, which names it in frequent messages.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ServiceCode(pub u32);

impl From<&ServiceId> for ServiceCode {
    fn from(id: &ServiceId) -> Self {
        Self(StableHash::of(id.as_bytes()).0 as u32)
    }
}

/// The requests of a service at one node since its last report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceLoss {
    /// The service.
    pub service: ServiceCode,
    /// The number of requests, each weighed by its age.
    pub requests: u32,
    /// The number of those that were not served.
    pub lost: u32,
}

/// Weights of requests.
#[derive(Clone, Copy, Debug, Default)]
struct RequestTally {
    requests: f64,
    lost: f64,
}

impl RequestTally {
    fn scale(&mut self, weight: f64) {
        self.requests *= weight;
        self.lost *= weight;
    }
}

/// The recent requests of a service at this node, and what peers report of theirs.
#[derive(Clone, Debug)]
pub struct LossMeter {
    own: RequestTally,
    /// The part of `own` that was not reported to peers.
    unreported: RequestTally,
    peers: RequestTally,
    /// The number of peers whose recent requests are known. One that has not reported for a half-life counts half.
    covered_peers: f64,
    /// When each peer reported last.
    reported_at: IndexMap<VmId, MonoTime>,
    peer_count: usize,
    updated_at: MonoTime,
    was_losing: bool,
}

impl LossMeter {
    /// Creates a meter without requests.
    pub fn new(now: MonoTime) -> Self {
        Self {
            own: RequestTally::default(),
            unreported: RequestTally::default(),
            peers: RequestTally::default(),
            covered_peers: 0.0,
            reported_at: IndexMap::new(),
            peer_count: 0,
            updated_at: now,
            was_losing: false,
        }
    }

    /// Sets the number of other nodes that carry traffic.
    pub const fn set_peer_count(&mut self, count: usize) {
        self.peer_count = count;
    }

    /// Records the outcome of a request.
    pub fn record(&mut self, now: MonoTime, outcome: RequestOutcome) {
        self.fade(now);
        for tally in [&mut self.own, &mut self.unreported] {
            tally.requests += 1.0;
            if outcome == RequestOutcome::Lost {
                tally.lost += 1.0;
            }
        }
    }

    /// Records what a peer reports of its requests since its report before.
    pub fn record_report(&mut self, now: MonoTime, peer: &VmId, report: ServiceLoss) {
        self.fade(now);
        let reported_at = self.reported_at.insert(peer.clone(), now);
        // Requests of the peer weigh the same here and there, so the report covers the time since the last one
        // with the weight that requests of that time have.
        self.covered_peers += 1.0 - reported_at.map_or(0.0, |at| weight_after(at, now));
        self.peers.requests += f64::from(report.requests.max(report.lost));
        self.peers.lost += f64::from(report.lost);
        if self.reported_at.len() > 2 * self.peer_count + 1 {
            let faded = (-FADED_HALF_LIVES).exp2();
            self.reported_at
                .retain(|_, at| weight_after(*at, now) > faded);
        }
    }

    /// Returns what peers are told, if this node loses requests; the next report begins afterwards.
    pub fn take_report(&mut self, now: MonoTime, service: ServiceCode) -> Option<ServiceLoss> {
        self.fade(now);
        let is_losing = self.own.lost >= MIN_REPORTED_SHARE * self.own.requests;
        let report = ServiceLoss {
            service,
            requests: self.unreported.requests.round() as u32,
            lost: self.unreported.lost.round() as u32,
        };
        let is_due = is_losing && report.lost > 0;
        is_due.then(|| {
            self.unreported = RequestTally::default();
            report
        })
    }

    /// Returns whether the fleet loses so many requests of the service that its floor binds.
    ///
    /// Peers that report nothing count as having served requests at the mean rate of this node and of those that
    /// report, since callers spread evenly.
    pub fn is_losing(&self, now: MonoTime) -> bool {
        let weight = weight_after(self.updated_at, now);
        let lost = (self.own.lost + self.peers.lost) * weight;
        lost >= MIN_LOST && self.lost_share(now) >= MIN_LOST_SHARE
    }

    /// Returns whether this node by itself loses so many requests.
    pub fn is_losing_here(&self, now: MonoTime) -> bool {
        self.own.lost * weight_after(self.updated_at, now) >= MIN_LOST
            && self.own.lost >= MIN_LOST_SHARE * self.own.requests
    }

    /// Returns the share of the fleet's requests that is lost.
    pub fn lost_share(&self, now: MonoTime) -> f64 {
        let weight = weight_after(self.updated_at, now);
        let known = self.own.requests + self.peers.requests;
        if known <= 0.0 {
            return 0.0;
        }
        let known_nodes = 1.0 + self.covered_peers * weight;
        let nodes = (1.0 + self.peer_count as f64).max(known_nodes);
        (self.own.lost + self.peers.lost) / (known * nodes / known_nodes)
    }

    /// Returns whether the service has begun to lose requests since the last call, or ceased to; none if neither.
    pub fn take_change(&mut self, now: MonoTime) -> Option<bool> {
        let is_losing = self.is_losing(now);
        let was_losing = std::mem::replace(&mut self.was_losing, is_losing);
        (is_losing != was_losing).then_some(is_losing)
    }

    /// Returns whether the service lost requests at the last call of [`LossMeter::take_change`].
    pub const fn was_losing(&self) -> bool {
        self.was_losing
    }

    fn fade(&mut self, now: MonoTime) {
        let weight = weight_after(self.updated_at, now);
        for tally in [&mut self.own, &mut self.unreported, &mut self.peers] {
            tally.scale(weight);
        }
        self.covered_peers *= weight;
        self.updated_at = now;
    }
}

/// Returns the weight at `now` of what weighed 1 at `then`.
fn weight_after(then: MonoTime, now: MonoTime) -> f64 {
    (-now.since(then).as_secs_f64() / HALF_LIFE_S).exp2()
}
