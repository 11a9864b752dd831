//! Freshness: how old a node's newest proof of the configuration's head is, and when to stop.
//!
//! A node that can reach neither the store nor its peers cannot know of a withdrawn key, so it
//! refuses keyed work after a bound. A fleet whose store is gone for everybody goes on serving, since
//! nothing can be accepted then. The two are told apart by two-way exchanges with more than half of
//! the members. Only durations travel between nodes, and every age is counted from before the
//! question was asked, so that neither delays nor pauses make a proof look younger. See
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
/// With a proof older than this part of the term, the node asks everybody.
const URGENT_AGE_DIVISOR: u32 = 2;
/// Asking everybody is spread over this many intervals.
const URGENT_ROUNDS: usize = 2;
/// At least so many members are asked in each of them, since few answers are easily lost.
const MIN_URGENT_PINGS: usize = 8;

/// Settings of the guard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct FreshnessSettings {
    /// How old the newest proof may be before the node must be in touch with its peers, in
    /// milliseconds.
    pub term_ms: u64,
    /// How often peers are asked, in milliseconds.
    pub ping_interval_ms: u64,
    /// How many peers are asked at once while the proof is young.
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
    /// Returns how old the newest proof may be.
    pub const fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns after what time on one clock the term is over on every other clock.
    pub fn safe_term(&self) -> Duration {
        // The drift counts twice: the clock that waits may be fast, and the other one slow.
        with_drift(with_drift(self.term()))
    }

    const fn ping_interval(&self) -> Duration {
        Duration::from_millis(self.ping_interval_ms)
    }
}

/// Lengthens a duration by what the clocks of two machines may differ over it.
pub fn with_drift(duration: Duration) -> Duration {
    duration + duration * MAX_DRIFT_PPM / PPM
}

/// What a node may rely on at one moment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Freshness {
    /// The newest proof is within the term.
    Fresh,
    /// Nobody has a proof within the term, and more than half of the members are in touch: the store
    /// is gone for everybody, and work goes on.
    StoreLost,
    /// Neither the store nor enough peers are in touch: keyed work is refused.
    Fenced,
}

impl Freshness {
    /// Returns whether keyed work may be done.
    pub const fn allows_work(self) -> bool {
        match self {
            Self::Fresh | Self::StoreLost => true,
            Self::Fenced => false,
        }
    }
}

/// What nodes tell each other about their proofs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FreshnessMessage {
    /// Asks for the peer's newest proof.
    Ping {
        /// Comes back in the answer.
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

/// What the guard wants done.
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

/// When a node last knew that it was not cut off.
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

/// Tells whether a node may work, by its own reads of the store and by exchanges with peers.
///
/// A proof says that at some time the store's head and epoch were as the node knows them. Proofs are
/// kept by the time at which their question was asked, on this node's clock.
#[derive(Clone, Debug)]
pub struct FreshnessGuard {
    settings: FreshnessSettings,
    node: NodeId,
    seed: StableHash,
    members: Vec<NodeId>,
    entered: Epoch,
    /// The epoch that the newest proof showed.
    proof_epoch: Epoch,
    /// Counts every proof.
    configuration: ProofClock,
    /// Counts only what showed that no epoch after the entered one existed.
    shares: ProofClock,
    pings: IndexMap<u64, (NodeId, MonoTime)>,
    next_ping: u64,
    next_tick: Option<MonoTime>,
    cursor: usize,
}

impl FreshnessGuard {
    /// Makes a guard without proof; the seed decides the order in which peers are asked.
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

    /// Takes note of an own read of the store's head and epoch.
    ///
    /// `started` is the time before the read was sent; `epoch` is the epoch that it showed. A read
    /// that shows an earlier epoch than the entered one is an answer from the past and proves
    /// nothing.
    pub fn record_read(&mut self, started: MonoTime, epoch: Epoch) {
        if epoch >= self.entered {
            self.record_proof(started, epoch);
        }
    }

    /// Returns the state directly before an act that needs it.
    ///
    /// Call it with a reading of the clock that was taken after any possible pause.
    pub fn check(&self, now: MonoTime) -> Freshness {
        let term = self.settings.term();
        self.configuration
            .state(now, term, &self.node, &self.members)
    }

    /// Returns whether shares of the entered epoch may be used, directly before their use.
    ///
    /// Proofs and exchanges that showed a later epoch do not lengthen the term of this one.
    pub fn check_shares(&self, now: MonoTime) -> Freshness {
        let term = self.settings.term();
        self.shares.state(now, term, &self.node, &self.members)
    }

    /// Returns the age of the newest proof, if there ever was one.
    pub fn proof_age(&self, now: MonoTime) -> Option<Duration> {
        let newest = self.configuration.newest_proof;
        newest.map(|newest| now.since(newest))
    }

    /// Handles a message of a peer.
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
                let asked = self.pings.get(&id).filter(|(peer, _)| peer == from);
                if let Some((_, asked_at)) = asked.cloned() {
                    self.pings.swap_remove(&id);
                    self.record_exchange(from, asked_at, entered);
                    if let Some(age) = proof_age_us {
                        let age = with_drift(Duration::from_micros(age));
                        // The age was taken after the question was asked. A proof from before this
                        // clock's origin counts as one from the origin's time only if it is.
                        if age <= asked_at.since(MonoTime::ZERO) {
                            self.record_proof(asked_at - age, proof_epoch);
                        }
                    }
                }
                Vec::new()
            }
        }
    }

    /// Asks peers: a few while the proof is young, and all within two intervals once it is not.
    pub fn tick(&mut self, now: MonoTime) -> Vec<FreshnessAction> {
        if self.next_tick.is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.next_tick = Some(now + self.settings.ping_interval());
        let term = self.settings.term();
        self.pings.retain(|_, (_, asked)| now.since(*asked) <= term);
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

    fn record_exchange(&mut self, peer: &NodeId, asked: MonoTime, entered: Epoch) {
        if !self.members.contains(peer) {
            return;
        }
        self.configuration.exchange(peer, asked);
        if entered <= self.entered {
            self.shares.exchange(peer, asked);
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
