//! Decides when a node fetches newer rows of a table from its peers, and from which of them.
//!
//! A fetch takes several round trips, which are slow while a link on the path is full. A slow fetch
//! is therefore kept and another one is started beside it: a fetch that is abandoned and started
//! again never ends on such a path. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use crate::ids::VmId;
use crate::time::MonoTime;

/// The time after which a fetch is abandoned, in milliseconds. It only bounds what unanswered
/// fetches hold.
pub const FETCH_TIMEOUT_MS: u64 = 5_000;
/// The maximum number of fetches of a table at the same time: enough to find a peer that answers
/// although many do not.
const MAX_CONCURRENT_FETCHES: usize = 8;
/// The time without an answer after which another peer is asked as well, in milliseconds: several
/// times a usual fetch.
const ADDITIONAL_FETCH_DELAY_MS: u64 = 150;
/// The delay after the first failed fetch and the maximum delay after further ones, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 400;

/// The delay before a node fetches newer rows from a peer if its own feed may deliver them, in milliseconds:
/// the feed usually does so in that time.
const OWN_FEED_DELAY_MS: u64 = 700;
/// The delay between the steps in which a change spreads in a data centre, in milliseconds. In each step
/// every node that has the rows can serve another one; a step is several times as long as a fetch.
const FETCH_STEP_DELAY_MS: u64 = 30;

/// Whether a node reads the store itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnFeed {
    /// It gets its rows from peers.
    None,
    /// It follows the store, and its last call was answered.
    Answered,
    /// It follows the store, and its last call failed.
    Failed,
}

/// Returns the delay before a node fetches newer rows from a peer, in a step of the rollout.
pub fn initial_delay(feed: OwnFeed, step: u32) -> Duration {
    match feed {
        OwnFeed::Answered => Duration::from_millis(OWN_FEED_DELAY_MS),
        OwnFeed::None | OwnFeed::Failed => Duration::from_millis(FETCH_STEP_DELAY_MS) * step,
    }
}

/// Where a peer is, as far as that matters for fetching from it, best first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerRank {
    /// A responsive node of the own data centre.
    Local,
    /// A responsive node of another one.
    Remote,
    /// A node that was not heard recently.
    Unresponsive,
}

/// A peer that announced newer rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewerPeer {
    /// The peer.
    pub vm: VmId,
    /// Its preference.
    pub rank: PeerRank,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchStep {
    /// No peer has newer rows: running fetches are dropped, and the next announcement is awaited.
    Idle,
    /// Nothing is due before a time, unless a fetch ends.
    WaitUntil(MonoTime),
    /// Nothing is due until a fetch ends.
    AwaitFetch,
    /// A fetch from a peer starts.
    Start(VmId),
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchEnd {
    /// It brought newer rows.
    Applied,
    /// The peer had nothing newer, contrary to its announcement.
    Unchanged,
    /// It failed.
    Failed,
}

/// The fetches of one table by one node.
#[derive(Debug, Default)]
pub struct RowFetcher {
    /// Whether peers are known to have newer rows.
    is_behind: bool,
    running: Vec<VmId>,
    /// The peers that were asked since rows last arrived and have brought none.
    asked: Vec<NewerPeer>,
    /// When the next fetch may start.
    next_at: MonoTime,
    failures: u32,
}

impl RowFetcher {
    /// Returns the next step, given the peers that announced newer rows.
    ///
    /// The first fetch starts after `initial_delay`, which spreads the nodes of a fleet over time.
    /// `seed` selects the peer, so that the nodes do not all ask the same one.
    pub fn step(
        &mut self,
        now: MonoTime,
        newer_peers: &[NewerPeer],
        initial_delay: Duration,
        seed: u64,
    ) -> FetchStep {
        if newer_peers.is_empty() {
            self.is_behind = false;
            self.running.clear();
            self.asked.clear();
            return FetchStep::Idle;
        }
        if !self.is_behind {
            self.is_behind = true;
            self.next_at = now + initial_delay;
        }
        let has_idle_peer = newer_peers.iter().any(|peer| !self.is_running(&peer.vm));
        if self.running.len() >= MAX_CONCURRENT_FETCHES || !has_idle_peer {
            return FetchStep::AwaitFetch;
        }
        if now < self.next_at {
            return FetchStep::WaitUntil(self.next_at);
        }
        let peer = self.choose_peer(newer_peers, seed).clone();
        self.running.push(peer.vm.clone());
        self.asked.push(peer.clone());
        self.next_at = now + Duration::from_millis(ADDITIONAL_FETCH_DELAY_MS);
        FetchStep::Start(peer.vm)
    }

    fn is_running(&self, vm: &VmId) -> bool {
        self.running.contains(vm)
    }

    /// Chooses the next peer to ask among those without a running fetch, of which there is one.
    ///
    /// A peer whose announcements arrive need not answer: it may be partitioned in one direction, or have
    /// stopped just after it sent them. The ranks therefore take turns until rows arrive, and no peer
    /// is asked again before all others.
    fn choose_peer<'a>(&mut self, newer_peers: &'a [NewerPeer], seed: u64) -> &'a NewerPeer {
        let mut candidates: Vec<&NewerPeer> = newer_peers
            .iter()
            .filter(|peer| !self.is_running(&peer.vm))
            .collect();
        let was_asked = |peer: &NewerPeer| self.asked.iter().any(|asked| asked.vm == peer.vm);
        if candidates.iter().any(|peer| !was_asked(peer)) {
            candidates.retain(|peer| !was_asked(peer));
        } else {
            let running = &self.running;
            self.asked.retain(|asked| running.contains(&asked.vm));
        }
        let asked_count = |rank| self.asked.iter().filter(|asked| asked.rank == rank).count();
        let turn = |rank: PeerRank| (rank == PeerRank::Unresponsive, asked_count(rank), rank);
        let next_rank = candidates
            .iter()
            .map(|peer| peer.rank)
            .min_by_key(|rank| turn(*rank));
        candidates.retain(|peer| Some(peer.rank) == next_rank);
        candidates[(seed % candidates.len() as u64) as usize]
    }

    /// Records the end of a fetch; `jitter` from 0 to 1 shortens the delay before the next one.
    pub fn record_end(&mut self, now: MonoTime, peer: &VmId, end: FetchEnd, jitter: f64) {
        self.running.retain(|running| running != peer);
        match end {
            FetchEnd::Applied => {
                self.failures = 0;
                let running = &self.running;
                self.asked.retain(|asked| running.contains(&asked.vm));
                self.next_at = now;
            }
            FetchEnd::Unchanged | FetchEnd::Failed => {
                let backoff_ms = INITIAL_BACKOFF_MS << self.failures.min(8);
                let backoff = Duration::from_millis(backoff_ms.min(MAX_BACKOFF_MS));
                self.failures += 1;
                self.next_at = now + backoff.mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0);
            }
        }
    }
}
