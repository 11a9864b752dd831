//! Freshness: the age of the newest proof of the configuration's head, and when to refuse work.
//!
//! A node that can reach neither the store nor its peers cannot learn of a withdrawn key, so it
//! refuses requests with keys after a bounded time. A fleet in which no node reaches the store goes
//! on serving, since no change can be accepted then. Two-way exchanges with more than half of the
//! members distinguish the two cases. Nodes send each other durations only, and every age is counted
//! from before the ping was sent, so that neither delays nor pauses make a proof look younger. See
//! [docs/design/freshness.md](../../docs/design/freshness.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, NodeId};
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

const DEFAULT_TERM_MS: u64 = 10_000;
const DEFAULT_PING_INTERVAL_MS: u64 = 1_000;
const DEFAULT_STEADY_PINGS: usize = 2;
/// How far the clocks of two machines may drift apart, in parts per million.
const MAX_DRIFT_PPM: u32 = 1_000;
const PPM: u32 = 1_000_000;
/// The node pings all members once its newest proof is older than the term divided by this.
const URGENT_AGE_DIVISOR: u32 = 2;
/// The number of intervals over which the pings to all members are spread.
const URGENT_ROUNDS: usize = 2;
/// The fewest members that are pinged in each of these intervals, since all of a few answers may
/// easily be lost.
const MIN_URGENT_PINGS: usize = 8;

/// Settings of the guard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct FreshnessSettings {
    /// The age of the newest proof beyond which the node must be in contact with its peers, in
    /// milliseconds.
    pub term_ms: u64,
    /// The time between two rounds of pings, in milliseconds.
    pub ping_interval_ms: u64,
    /// The number of peers that are pinged in each interval while the proof is young.
    #[serde(rename = "calm_pings")]
    pub steady_pings: usize,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self {
            term_ms: DEFAULT_TERM_MS,
            ping_interval_ms: DEFAULT_PING_INTERVAL_MS,
            steady_pings: DEFAULT_STEADY_PINGS,
        }
    }
}

impl FreshnessSettings {
    /// Returns the greatest age of the newest proof.
    pub const fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns the time on one clock after which the term has ended on every other clock.
    pub fn safe_term(&self) -> Duration {
        // The drift counts twice: the clock that waits may be fast, and the other one slow.
        with_drift(with_drift(self.term()))
    }

    const fn ping_interval(&self) -> Duration {
        Duration::from_millis(self.ping_interval_ms)
    }
}

/// Lengthens a duration by the greatest drift between the clocks of two machines over it.
pub fn with_drift(duration: Duration) -> Duration {
    duration + duration * MAX_DRIFT_PPM / PPM
}

/// Whether a node may rely on its configuration or shares at one moment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Freshness {
    /// The newest proof is within the term.
    Fresh,
    /// There is no proof within the term, but more than half of the members are in contact: no node
    /// reaches the store, and work goes on.
    StoreLost,
    /// Neither the store nor enough peers are in contact; requests with keys are refused.
    Fenced,
}

impl Freshness {
    /// Returns whether requests with keys may be served.
    pub const fn allows_work(self) -> bool {
        match self {
            Self::Fresh | Self::StoreLost => true,
            Self::Fenced => false,
        }
    }
}

/// A message about proofs between two nodes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FreshnessMessage {
    /// Requests the age of the peer's newest proof.
    Ping {
        /// The number of the ping, which the answer repeats.
        id: u64,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        id: u64,
        /// The age of the sender's newest proof, in microseconds.
        #[serde(default)]
        proof_age_us: Option<u64>,
        /// The newest epoch that the proof showed.
        #[serde(default)]
        proof_epoch: Epoch,
        /// The epoch that the sender has entered.
        #[serde(default)]
        entered: Epoch,
    },
}

/// An action that the guard requests from its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FreshnessAction {
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: FreshnessMessage,
    },
}

/// The times of the newest proof and of the newest exchange with each peer.
#[derive(Clone, Debug, Default)]
struct ProofClock {
    newest_proof: Option<MonoTime>,
    exchanges: IndexMap<NodeId, MonoTime>,
}

impl ProofClock {
    fn prove(&mut self, at: MonoTime) {
        self.newest_proof = self.newest_proof.max(Some(at));
    }

    fn exchange(&mut self, peer: &NodeId, at: MonoTime) {
        let known = self.exchanges.entry(peer.clone()).or_insert(at);
        *known = at.max(*known);
    }

    fn state(&self, now: MonoTime, term: Duration, node: &NodeId, members: &[NodeId]) -> Freshness {
        let within_term = |at: &MonoTime| now.since(*at) <= term;
        if self.newest_proof.as_ref().is_some_and(within_term) {
            return Freshness::Fresh;
        }
        let is_reachable = |member: &&NodeId| {
            *member == node || self.exchanges.get(*member).is_some_and(within_term)
        };
        let reachable = members.iter().filter(is_reachable).count();
        if self.newest_proof.is_some() && reachable * 2 > members.len() {
            Freshness::StoreLost
        } else {
            Freshness::Fenced
        }
    }
}

/// Decides whether a node may serve, by its own reads of the store and by exchanges with peers.
///
/// A proof shows that at some time the store's head and epoch were as the node knows them. Its time
/// is that at which the read or ping was sent, on this node's clock.
#[derive(Clone, Debug)]
pub struct FreshnessGuard {
    settings: FreshnessSettings,
    node: NodeId,
    seed: StableHash,
    members: Vec<NodeId>,
    entered: Epoch,
    /// The epoch that the newest proof showed.
    proof_epoch: Epoch,
    /// Records every proof and exchange.
    configuration: ProofClock,
    /// Records only proofs and exchanges that showed no epoch later than the entered one.
    shares: ProofClock,
    pings: IndexMap<u64, (NodeId, MonoTime)>,
    next_ping: u64,
    next_tick: Option<MonoTime>,
    cursor: usize,
}

impl FreshnessGuard {
    /// Creates a guard without a proof; the seed determines the order in which peers are pinged.
    pub fn new(settings: FreshnessSettings, node: NodeId, seed: u64) -> Self {
        Self {
            settings,
            node,
            seed: StableHash(seed),
            members: Vec::new(),
            entered: Epoch::default(),
            proof_epoch: Epoch::default(),
            configuration: ProofClock::default(),
            shares: ProofClock::default(),
            pings: IndexMap::new(),
            next_ping: 0,
            next_tick: None,
            cursor: 0,
        }
    }

    /// Sets the epoch that was entered and its members, this node included if it is one.
    pub fn set_epoch(&mut self, epoch: Epoch, members: impl IntoIterator<Item = NodeId>) {
        self.entered = self.entered.max(epoch);
        self.members = members.into_iter().collect();
        let seed = self.seed;
        self.members.sort_by_cached_key(|member| {
            let vm = StableHash::of(member.vm.as_bytes());
            (seed.with(vm), member.clone())
        });
        for clock in [&mut self.configuration, &mut self.shares] {
            clock
                .exchanges
                .retain(|peer, _| self.members.contains(peer));
        }
    }

    /// Records this node's own read of the store's head and epoch.
    ///
    /// `started` is a time before the read was sent; `epoch` is the epoch that it showed. A read
    /// that shows an earlier epoch than the entered one is outdated and proves nothing.
    pub fn record_read(&mut self, started: MonoTime, epoch: Epoch) {
        if epoch >= self.entered {
            self.record_proof(started, epoch);
        }
    }

    /// Returns the freshness of the configuration; call it directly before it is relied on.
    ///
    /// `now` must have been read from the clock after any possible pause.
    pub fn check(&self, now: MonoTime) -> Freshness {
        let term = self.settings.term();
        self.configuration
            .state(now, term, &self.node, &self.members)
    }

    /// Returns whether shares of the entered epoch may be used; call it directly before their use.
    ///
    /// Proofs and exchanges that showed a later epoch do not extend the term of this one.
    pub fn check_shares(&self, now: MonoTime) -> Freshness {
        let term = self.settings.term();
        self.shares.state(now, term, &self.node, &self.members)
    }

    /// Returns the age of the newest proof; none before the first.
    pub fn proof_age(&self, now: MonoTime) -> Option<Duration> {
        let newest = self.configuration.newest_proof;
        newest.map(|newest| now.since(newest))
    }

    /// Handles a message from a peer.
    pub fn handle(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: FreshnessMessage,
    ) -> Vec<FreshnessAction> {
        match message {
            FreshnessMessage::Ping { id } => vec![FreshnessAction::Send {
                to: from.clone(),
                message: self.ack(now, id),
            }],
            FreshnessMessage::Ack {
                id,
                proof_age_us,
                proof_epoch,
                entered,
            } => {
                let ping = self.pings.get(&id).filter(|(peer, _)| peer == from);
                if let Some((_, sent_at)) = ping.cloned() {
                    self.pings.swap_remove(&id);
                    self.record_exchange(from, sent_at, entered);
                    if let Some(age) = proof_age_us {
                        let age = with_drift(Duration::from_micros(age));
                        // The peer took the age after the ping was sent, so subtracting it from the
                        // time of the ping never makes the proof look younger. A proof from before
                        // this clock's origin has no time on the clock and is skipped.
                        if age <= sent_at.since(MonoTime::ZERO) {
                            self.record_proof(sent_at - age, proof_epoch);
                        }
                    }
                }
                Vec::new()
            }
        }
    }

    /// Pings peers: a few while the proof is young, and all within two intervals once it is old.
    pub fn tick(&mut self, now: MonoTime) -> Vec<FreshnessAction> {
        if self.next_tick.is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.next_tick = Some(now + self.settings.ping_interval());
        let term = self.settings.term();
        self.pings
            .retain(|_, (_, sent_at)| now.since(*sent_at) <= term);
        let urgent_age = term / URGENT_AGE_DIVISOR;
        let is_urgent = [&self.configuration, &self.shares]
            .into_iter()
            .any(|clock| {
                clock
                    .newest_proof
                    .is_none_or(|newest| now.since(newest) > urgent_age)
            });
        let count = if is_urgent {
            let part = self.members.len().div_ceil(URGENT_ROUNDS);
            part.max(MIN_URGENT_PINGS)
        } else {
            self.settings.steady_pings
        };
        (0..count.min(self.members.len()))
            .filter_map(|_| self.ping_next(now))
            .collect()
    }

    fn ping_next(&mut self, now: MonoTime) -> Option<FreshnessAction> {
        self.cursor = (self.cursor + 1) % self.members.len();
        let to = self.members[self.cursor].clone();
        if to == self.node {
            return None;
        }
        self.next_ping += 1;
        let id = self.next_ping;
        self.pings.insert(id, (to.clone(), now));
        let message = FreshnessMessage::Ping { id };
        Some(FreshnessAction::Send { to, message })
    }

    fn ack(&self, now: MonoTime, id: u64) -> FreshnessMessage {
        let age = self.proof_age(now).map(|age| age.as_micros());
        FreshnessMessage::Ack {
            id,
            proof_age_us: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            proof_epoch: self.proof_epoch,
            entered: self.entered,
        }
    }

    fn record_exchange(&mut self, peer: &NodeId, sent_at: MonoTime, entered: Epoch) {
        if !self.members.contains(peer) {
            return;
        }
        self.configuration.exchange(peer, sent_at);
        if entered <= self.entered {
            self.shares.exchange(peer, sent_at);
        }
    }

    fn record_proof(&mut self, at: MonoTime, epoch: Epoch) {
        if self.configuration.newest_proof < Some(at) {
            self.configuration.prove(at);
            self.proof_epoch = self.proof_epoch.max(epoch);
        }
        if epoch <= self.entered {
            self.shares.prove(at);
        }
    }
}
