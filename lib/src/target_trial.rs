//! Decides which node tries a target that gets no requests, and when.
//!
//! A target without requests is one whose state nobody learns: it may have recovered, or may never have
//! failed. Requests that can be retried try targets that are not suspected. While the fleet loses requests of the
//! service and more of its targets are left alone than its floor allows, every request may try one, the least
//! suspected first. The nodes that carry traffic are ranked for each target by rendezvous hashing, those of its data
//! centre first: the first one owns the target, the next ones are its successors. The later a node's rank, the longer
//! it waits, so that mostly one node tries without any message about it.
//! See [docs/design/ejection.md](../../docs/design/ejection.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::config::Idempotence;
use crate::ids::{DataCentreId, TargetId, VmId};
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

/// The time without a request after which a target is tried, in milliseconds. Together with the waits of the
/// nodes ranked first it stays below the 2 s within which targets that may be healthy get a request.
const TRIAL_MS: u64 = 1_000;
/// The time after which a suspected target is tried again if its last answer was good, in milliseconds.
const FOLLOW_UP_MS: u64 = 200;
/// How much longer a node waits than the node ranked before it, in milliseconds: about the delay of peers'
/// counts.
const RANK_STAGGER_MS: u64 = 150;
/// How much longer a request waits that cannot be retried, so that others try first, in milliseconds.
const NON_IDEMPOTENT_DELAY_MS: u64 = 300;

/// The time without counts of a node of the same data centre after which its successors do not wait for it, in
/// milliseconds: two intervals of counts. A node that is passed over by mistake costs one trial too many.
const LOCAL_SILENT_MS: u64 = 250;
/// The same for nodes of other data centres: one interval of counts with its transit.
const REMOTE_SILENT_MS: u64 = 350;
/// The least share of the other nodes that must not be silent for silent ones to be passed over. At a node that is
/// cut off, nearly all others fall silent at once. With a share of 0.25, targets of a fleet with one request a second
/// a node got nothing for up to 2,145 ms while a third of the nodes was gone; with 0.15 for up to 1,845 ms.
const MIN_AUDIBLE_SHARE: f64 = 0.15;
/// The time for which a node knows when targets got requests after it last heard the fleet, in milliseconds: longer
/// than the counts of a few nodes with few requests are apart, shorter than two lost heartbeats.
const HEARING_MS: u64 = 1_500;
/// The highest rank of a successor, so that a node whose knowledge is late tries few targets only.
const MAX_SUCCESSOR_RANK: usize = 12;
/// The longest time between the start of a request and the message that counts it, in milliseconds: the interval
/// of counts between data centres.
const MAX_COUNT_DELAY_MS: u64 = 250;

/// A target that a request is to try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DueTrial<'a> {
    pub(crate) id: &'a TargetId,
    /// Whether the trial keeps the floor of the service.
    pub(crate) keeps_floor: bool,
}

/// What this node believes of a target without requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleState {
    /// The target is more likely healthy.
    Trusted,
    /// The target is suspected, but its last answer was good.
    Recovering,
    /// The target is suspected, and its last answer was bad.
    Suspected,
}

impl IdleState {
    /// Returns the time without requests after which a node of a rank tries the target.
    pub fn delay(self, rank: u32, idempotence: Idempotence) -> Duration {
        let base_ms = match self {
            Self::Trusted | Self::Suspected => TRIAL_MS,
            Self::Recovering => FOLLOW_UP_MS,
        };
        let patience_ms = match idempotence {
            Idempotence::Idempotent => 0,
            Idempotence::NonIdempotent => NON_IDEMPOTENT_DELAY_MS,
        };
        Duration::from_millis(base_ms + patience_ms + RANK_STAGGER_MS * u64::from(rank))
    }

    /// Returns whether a request tries such a target although the service is above its floor.
    ///
    /// One that can be retried costs its caller little time. Any other may be lost at the target, so it goes
    /// there only to keep the floor.
    pub fn is_tried_above_floor(self, idempotence: Idempotence) -> bool {
        idempotence == Idempotence::Idempotent && self != Self::Suspected
    }
}

/// The floor of a service: the share of its targets that the fleet sends requests to, whatever it believes of
/// them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceFloor(f64);

impl ServiceFloor {
    /// Makes a floor of a share from 0 to 1; a number beyond is bounded.
    pub const fn new(share: f64) -> Self {
        Self(share.clamp(0.0, 1.0))
    }

    /// Returns whether more targets are without requests than the floor allows.
    pub fn is_undercut(self, idle: usize, targets: usize) -> bool {
        let allowed = ((1.0 - self.0) * targets as f64).floor();
        idle as f64 > allowed
    }
}

/// Returns whether a target has been without requests for so long that it counts as left alone.
pub const fn is_left_alone(idle_time: Duration) -> bool {
    idle_time.as_millis() >= TRIAL_MS as u128
}

/// Returns whether a target may be due for a trial, whatever is believed of it.
pub const fn may_be_due(idle_time: Duration) -> bool {
    idle_time.as_millis() >= FOLLOW_UP_MS as u128
}

/// A node that may try targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrialNode {
    hash: StableHash,
    data_centre: DataCentreId,
}

impl TrialNode {
    /// Names a node and its data centre.
    pub fn new(vm: &VmId, data_centre: DataCentreId) -> Self {
        Self {
            hash: StableHash::of(vm.as_bytes()),
            data_centre,
        }
    }
}

/// The nodes that may try targets, as this node knows them.
#[derive(Clone, Debug)]
pub struct TrialOrder {
    own: TrialNode,
    others: Vec<TrialNode>,
    /// When each of the other nodes last sent counts, in the order of `others`.
    heard_at: IndexMap<StableHash, MonoTime>,
    /// When any of them did.
    any_heard_at: MonoTime,
    /// Since when there was no long time without any counts.
    hearing_since: MonoTime,
}

impl TrialOrder {
    /// Makes the order of a node that knows of no others.
    pub fn new(own: TrialNode) -> Self {
        Self {
            own,
            others: Vec::new(),
            heard_at: IndexMap::new(),
            any_heard_at: MonoTime::ZERO,
            hearing_since: MonoTime::ZERO,
        }
    }

    /// Replaces the other nodes; returns whether they changed.
    pub fn set_others(&mut self, others: &[TrialNode]) -> bool {
        let has_changed = self.others != others;
        if has_changed {
            self.others = others.to_vec();
            let heard_at = std::mem::take(&mut self.heard_at);
            let last_heard = |node: &TrialNode| heard_at.get(&node.hash).copied();
            self.heard_at = others
                .iter()
                .map(|node| (node.hash, last_heard(node).unwrap_or(MonoTime::ZERO)))
                .collect();
        }
        has_changed
    }

    /// Returns the number of other nodes.
    pub const fn other_count(&self) -> usize {
        self.others.len()
    }

    /// Returns the number of other nodes that try a target before this one.
    pub fn rank(&self, target: StableHash, data_centre: &DataCentreId) -> u32 {
        u32::try_from(self.predecessors(target, data_centre).len()).unwrap_or(u32::MAX)
    }

    /// Returns the positions of the other nodes that try a target before this one, in no order.
    pub(crate) fn predecessors(&self, target: StableHash, data_centre: &DataCentreId) -> Vec<u32> {
        let key = |node: &TrialNode| (node.data_centre == *data_centre, target.with(node.hash));
        let own = key(&self.own);
        let others = (0_u32..).zip(&self.others);
        let before = others.filter(|(_, node)| key(node) > own);
        before.map(|(position, _)| position).collect()
    }

    /// Records that a node has sent counts; returns the earliest time at which a request that they count for the
    /// first time may have started.
    pub fn record_counts(&mut self, now: MonoTime, peer: &VmId) -> MonoTime {
        let hash = StableHash::of(peer.as_bytes());
        let Some(heard_at) = self.heard_at.get_mut(&hash) else {
            return now;
        };
        if now.since(self.any_heard_at) > Duration::from_millis(HEARING_MS) {
            self.hearing_since = now;
        }
        self.any_heard_at = now;
        let last = std::mem::replace(heard_at, now);
        let max_delay = Duration::from_millis(MAX_COUNT_DELAY_MS);
        if now.since(last) > max_delay {
            now - max_delay
        } else {
            last
        }
    }

    fn is_silent(&self, now: MonoTime, node: &TrialNode, heard_at: MonoTime) -> bool {
        let limit_ms = if node.data_centre == self.own.data_centre {
            LOCAL_SILENT_MS
        } else {
            REMOTE_SILENT_MS
        };
        now.since(heard_at) > Duration::from_millis(limit_ms)
    }

    /// Returns what this node knows of the other nodes' requests; none if it does not know enough of them to keep
    /// the floor together with them.
    pub fn view(&self, now: MonoTime) -> Option<FleetView<'_>> {
        let hearing = Duration::from_millis(HEARING_MS);
        if self.others.is_empty() || now.since(self.any_heard_at) > hearing {
            return None;
        }
        let nodes = self.others.iter().zip(self.heard_at.values());
        let audible = nodes.filter(|(node, at)| !self.is_silent(now, node, **at));
        let audible = audible.count();
        let passes_over_silent = audible as f64 >= MIN_AUDIBLE_SHARE * self.others.len() as f64;
        Some(FleetView {
            order: self,
            now,
            passes_over_silent,
        })
    }
}

/// What a node knows of the other nodes' requests at one moment.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    order: &'a TrialOrder,
    now: MonoTime,
    passes_over_silent: bool,
}

impl FleetView<'_> {
    /// Returns the time for which a target is known to have got no request; `requested_at` is the start of the last
    /// one. While the node heard nothing, the target may have got some.
    pub fn idle_time(&self, requested_at: MonoTime) -> Duration {
        self.now.since(requested_at.max(self.order.hearing_since))
    }

    /// Returns whether it is this node's turn to keep the floor at a target, given the nodes that come before it.
    pub(crate) fn is_turn(&self, idle_time: Duration, predecessors: &[u32]) -> bool {
        let Some(overdue) = idle_time.checked_sub(Duration::from_millis(TRIAL_MS)) else {
            return false;
        };
        let turns = overdue.as_millis() / u128::from(RANK_STAGGER_MS);
        let highest_rank = usize::try_from(turns)
            .map_or(MAX_SUCCESSOR_RANK, |turns| turns.min(MAX_SUCCESSOR_RANK));
        let before = predecessors
            .iter()
            .filter(|index| self.is_waited_for(**index));
        before.take(highest_rank + 1).count() <= highest_rank
    }

    fn is_waited_for(&self, index: u32) -> bool {
        let index = index as usize;
        let heard_at = self.order.heard_at.get_index(index).map(|(_, at)| *at);
        let node = self.order.others.get(index).zip(heard_at);
        let is_silent = node.is_none_or(|(node, at)| self.order.is_silent(self.now, node, at));
        !(is_silent && self.passes_over_silent)
    }
}
