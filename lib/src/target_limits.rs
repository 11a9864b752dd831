//! Keeps the fleet within the request rates that targets in need name as their limits.
//!
//! A target names its limit in its answers, for all nodes together and for as long as its answers say
//! so. Nodes tell each other what they learn. Only a few nodes send to a limited target: all nodes
//! select the same ones by rendezvous hashing, each of them gets an even share, and none of them saves
//! up more than a request or two. Cold targets have limits of the same kind, see `target_warmups`. See
//! [docs/design/target-limits.md](../../docs/design/target-limits.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, TargetId, VmId};
use crate::limit_share::OwnShare;
use crate::rendezvous::{StableHash, rank_members};
use crate::target_warmups::TargetWarmups;
use crate::time::MonoTime;
use crate::units::{MILLIS_PER_REQUEST, RequestRate};

/// The smallest share of a limit, in requests a second. A node with a smaller one would rarely send,
/// and the requests that all nodes save up would exceed the limit.
const MIN_SHARE_PER_S: f64 = 1.0;
/// The rate at which a target is asked whatever its limit, since only an answer can lift it.
const MIN_RATE_PER_S: f64 = 0.1;
/// The interval at which one node repeats each limit to all others, in milliseconds.
const REPEAT_INTERVAL_MS: u64 = 2_000;
/// The same interval while a node that may know no limits has appeared.
const SOON_INTERVAL_MS: u64 = 250;
/// How long a node that does not send to a target itself believes in its limit without a repetition,
/// in milliseconds: several repetitions may be lost.
const SILENCE_MS: u64 = 8_000;
/// How long a lifted limit is remembered, in milliseconds: longer than a node that has not heard of it
/// repeats the limit.
const LIFTED_MS: u64 = 30_000;

/// What an answer says about its target's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitNotice {
    /// Nothing: there is no answer that is certainly the target's own.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// The target takes this rate from all nodes together.
    Limited(RequestRate),
}

/// What a node tells others about a target's limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LimitStatement {
    /// The target.
    pub target: TargetId,
    /// The limit in thousandths of a request a second; none if it was lifted.
    pub rate_milli: Option<u64>,
    /// The age of the answer that shows this, in milliseconds.
    pub age_ms: u64,
}

/// Whether this node may send to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPermission {
    /// The target names no limit.
    Unlimited,
    /// This node's share of the limit allows a request now.
    Within,
    /// The limit was used up, and this node's share of what may exceed it allows a request after this
    /// time.
    Beyond(Duration),
    /// Only other nodes may send to the target.
    Elsewhere,
}

impl LimitPermission {
    /// Returns whether this node may send a request at once without exceeding a limit.
    pub const fn is_unhindered(&self) -> bool {
        matches!(self, Self::Unlimited | Self::Within)
    }

    /// Returns the permission under two limits: the smaller one applies.
    const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Elsewhere, _) | (_, Self::Elsewhere) => Self::Elsewhere,
            (Self::Beyond(a), Self::Beyond(b)) => {
                Self::Beyond(if a.as_micros() > b.as_micros() { a } else { b })
            }
            (Self::Beyond(wait), _) | (_, Self::Beyond(wait)) => Self::Beyond(wait),
            (Self::Within, _) | (_, Self::Within) => Self::Within,
            (Self::Unlimited, Self::Unlimited) => Self::Unlimited,
        }
    }
}

/// A node that shares in limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitSender {
    /// The node.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

#[derive(Debug)]
struct NamedLimit {
    rate: RequestRate,
    data_centre: DataCentreId,
    /// When the newest answer that named the limit arrived, here or at a peer.
    named_at: MonoTime,
    /// When this node last had an answer or a statement that named the limit.
    heard_at: MonoTime,
    /// None if only other nodes send to the target.
    share: Option<OwnShare>,
    /// Whether this node repeats the limit to the others.
    repeats: bool,
    /// The requests sent since the last report.
    sent: u32,
}

#[derive(Debug)]
enum LimitState {
    Named(NamedLimit),
    /// The limit was lifted at this time.
    Lifted(MonoTime),
}

/// The limits that targets name, and this node's shares of them.
#[derive(Debug)]
pub struct TargetLimits {
    own: VmId,
    senders: Vec<LimitSender>,
    limits: IndexMap<TargetId, LimitState>,
    /// The limits of cold targets.
    pub warmups: TargetWarmups,
    /// The targets whose limits this node's own answers have changed, until the others are told.
    changed: IndexSet<TargetId>,
    repeated_at: MonoTime,
    repeats_soon: bool,
}

impl TargetLimits {
    /// Creates the limits of a node; it knows none.
    pub fn new(own: VmId) -> Self {
        Self {
            warmups: TargetWarmups::new(own.clone()),
            own,
            senders: Vec::new(),
            limits: IndexMap::new(),
            changed: IndexSet::new(),
            repeated_at: MonoTime::ZERO,
            repeats_soon: false,
        }
    }

    /// Returns whether no target has had a limit recently.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of targets with a limit.
    pub fn limited_count(&self) -> usize {
        self.named().count()
    }

    fn named(&self) -> impl Iterator<Item = (&TargetId, &NamedLimit)> {
        self.limits.iter().filter_map(|(id, state)| match state {
            LimitState::Named(limit) => Some((id, limit)),
            LimitState::Lifted(_) => None,
        })
    }

    fn get(&self, target: &TargetId) -> Option<&NamedLimit> {
        match self.limits.get(target)? {
            LimitState::Named(limit) => Some(limit),
            LimitState::Lifted(_) => None,
        }
    }

    fn get_mut(&mut self, target: &TargetId) -> Option<&mut NamedLimit> {
        match self.limits.get_mut(target)? {
            LimitState::Named(limit) => Some(limit),
            LimitState::Lifted(_) => None,
        }
    }

    /// Sets the nodes that share in limits, which should include this one if it has callers.
    pub fn set_senders(&mut self, now: MonoTime, mut senders: Vec<LimitSender>) {
        senders.sort_by(|left, right| left.vm.cmp(&right.vm));
        if senders == self.senders {
            return;
        }
        self.senders = senders;
        for (id, state) in &mut self.limits {
            if let LimitState::Named(limit) = state {
                assign_share(limit, id, now, &self.senders, &self.own);
            }
        }
    }

    /// Records what the answer to a request that was sent at `sent_at` says about its target, which is
    /// in `data_centre`; returns whether the limit has changed.
    ///
    /// Answers may arrive in another order than the target made them, so only a request that was sent
    /// after the limit was last named can show that it is lifted.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        (target, data_centre): (&TargetId, &DataCentreId),
        sent_at: MonoTime,
        notice: LimitNotice,
    ) -> bool {
        let changed = match notice {
            LimitNotice::Unknown => false,
            LimitNotice::Unlimited => {
                let held = self.get(target);
                let is_lifted = held.is_some_and(|limit| limit.named_at < sent_at);
                if is_lifted {
                    let lifted = LimitState::Lifted(now);
                    self.limits.insert(target.clone(), lifted);
                }
                is_lifted
            }
            LimitNotice::Limited(rate) => self.set_limit(now, (target, data_centre), now, rate),
        };
        if changed {
            self.changed.insert(target.clone());
        }
        changed
    }

    /// Records what a peer says about a target in `data_centre`; returns whether the limit has
    /// changed.
    pub fn record_statement(
        &mut self,
        now: MonoTime,
        data_centre: &DataCentreId,
        statement: &LimitStatement,
    ) -> bool {
        let target = &statement.target;
        let shown_at = now - Duration::from_millis(statement.age_ms);
        let is_newer = match self.limits.get(target) {
            None => true,
            Some(LimitState::Lifted(lifted_at)) => shown_at > *lifted_at,
            Some(LimitState::Named(limit)) => shown_at > limit.named_at,
        };
        let rate = statement
            .rate_milli
            .map(RequestRate::from_millis_per_second);
        match rate {
            Some(rate) if is_newer => self.set_limit(now, (target, data_centre), shown_at, rate),
            Some(rate) => {
                if let Some(limit) = self.get_mut(target).filter(|limit| limit.rate == rate) {
                    limit.heard_at = now;
                }
                false
            }
            None if is_newer && self.get(target).is_some() => {
                let lifted = LimitState::Lifted(shown_at);
                self.limits.insert(target.clone(), lifted);
                true
            }
            None => false,
        }
    }

    fn set_limit(
        &mut self,
        now: MonoTime,
        (target, data_centre): (&TargetId, &DataCentreId),
        named_at: MonoTime,
        rate: RequestRate,
    ) -> bool {
        if let Some(limit) = self.get_mut(target).filter(|limit| limit.rate == rate) {
            limit.named_at = named_at;
            limit.heard_at = now;
            return false;
        }
        let held = self.get(target);
        let mut limit = NamedLimit {
            rate,
            data_centre: data_centre.clone(),
            named_at,
            heard_at: now,
            share: held.and_then(|limit| limit.share),
            repeats: false,
            sent: held.map_or(0, |limit| limit.sent),
        };
        assign_share(&mut limit, target, now, &self.senders, &self.own);
        self.limits.insert(target.clone(), LimitState::Named(limit));
        true
    }

    /// Returns whether and when this node may send to a target.
    pub fn permission(&self, now: MonoTime, target: &TargetId) -> LimitPermission {
        let named = match self.get(target).map(|limit| limit.share) {
            None => LimitPermission::Unlimited,
            Some(None) => LimitPermission::Elsewhere,
            Some(Some(share)) => share.permission(now),
        };
        named.and(self.warmups.permission(now, target))
    }

    /// Takes a request out of this node's share; it may be sent after the wait that
    /// [`TargetLimits::permission`] has returned.
    pub fn reserve(&mut self, now: MonoTime, target: &TargetId) {
        self.add_tokens(now, target, -1.0);
    }

    /// Returns a request that did not reach the target.
    pub fn refund(&mut self, now: MonoTime, target: &TargetId) {
        self.add_tokens(now, target, 1.0);
    }

    fn add_tokens(&mut self, now: MonoTime, target: &TargetId, count: f64) {
        self.warmups.add_planned(now, target, count);
        let share = self.get_mut(target).and_then(|limit| limit.share.as_mut());
        if let Some(share) = share {
            share.add(now, count);
        }
    }

    /// Counts a request that is sent to a target.
    pub fn record_sent(&mut self, target: &TargetId) {
        if let Some(limit) = self.get_mut(target) {
            limit.sent += 1;
        }
    }

    /// Returns the number of requests that were sent to each target with a limit since the last call.
    pub fn drain_sent(&mut self) -> Vec<(TargetId, RequestRate, u32)> {
        let mut counts = Vec::new();
        for (id, state) in &mut self.limits {
            if let LimitState::Named(limit) = state {
                counts.push((id.clone(), limit.rate, std::mem::take(&mut limit.sent)));
            }
        }
        counts
    }

    /// Returns what this node's own answers have changed since the last call, to tell all nodes.
    pub fn drain_changes(&mut self, now: MonoTime) -> Vec<LimitStatement> {
        let changed = std::mem::take(&mut self.changed);
        let known = |id: TargetId| {
            let state = self.limits.get(&id)?;
            Some(statement(now, id, state))
        };
        changed.into_iter().filter_map(known).collect()
    }

    /// Repeats limits sooner, since a node has appeared that may know none.
    pub fn repeat_soon(&mut self) {
        self.repeats_soon = true;
    }

    /// Returns the limits that this node is to repeat to all nodes now.
    pub fn due_repeats(&mut self, now: MonoTime) -> Vec<LimitStatement> {
        let interval_ms = if self.repeats_soon {
            SOON_INTERVAL_MS
        } else {
            REPEAT_INTERVAL_MS
        };
        if now.since(self.repeated_at) < Duration::from_millis(interval_ms) {
            return Vec::new();
        }
        self.repeated_at = now;
        self.repeats_soon = false;
        let repeated = self
            .limits
            .iter()
            .filter(|(_, state)| matches!(state, LimitState::Named(limit) if limit.repeats));
        repeated
            .map(|(id, state)| statement(now, id.clone(), state))
            .collect()
    }

    /// Forgets limits that nobody repeats any more; returns their targets.
    pub fn tick(&mut self, now: MonoTime) -> Vec<TargetId> {
        let mut silent = Vec::new();
        self.limits.retain(|id, state| match state {
            LimitState::Lifted(at) => now.since(*at) < Duration::from_millis(LIFTED_MS),
            LimitState::Named(limit) => {
                let is_silent = now.since(limit.heard_at) >= Duration::from_millis(SILENCE_MS);
                let is_kept = limit.share.is_some() || !is_silent;
                if !is_kept {
                    silent.push(id.clone());
                }
                is_kept
            }
        });
        silent
    }

    /// Forgets a target that is gone or has restarted.
    pub fn remove(&mut self, target: &TargetId) {
        self.limits.shift_remove(target);
        self.changed.shift_remove(target);
    }
}

/// Selects the nodes that send to a target, from its data centre if that has any, since other nodes
/// would leave their shares unused, and sets what of that concerns this node. A new share starts empty, since another node may have spent it just before.
fn assign_share(
    limit: &mut NamedLimit,
    target: &TargetId,
    now: MonoTime,
    senders: &[LimitSender],
    own: &VmId,
) {
    let rate_per_s = limit.rate.millis_per_second() as f64 / MILLIS_PER_REQUEST as f64;
    let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
    let (local, remote): (Vec<_>, Vec<_>) = senders
        .iter()
        .partition(|sender| sender.data_centre == limit.data_centre);
    let nearest = if local.is_empty() { remote } else { local };
    let count = (rate_per_s / MIN_SHARE_PER_S) as usize;
    let count = count.clamp(1, nearest.len().max(1));
    let mut selected = ranked(target, &nearest);
    selected.truncate(count);
    let rate_per_s = rate_per_s / count as f64;
    limit.repeats = selected.first() == Some(&own);
    limit.share = selected.contains(&own).then(|| {
        let mut share = limit
            .share
            .unwrap_or_else(|| OwnShare::empty(now, rate_per_s));
        share.set_rate(now, rate_per_s);
        share
    });
}

fn ranked<'a>(target: &TargetId, nodes: &[&'a LimitSender]) -> Vec<&'a VmId> {
    let hashes: Vec<StableHash> = nodes
        .iter()
        .map(|node| StableHash::of(node.vm.as_bytes()))
        .collect();
    let order = rank_members(StableHash::of(target.as_bytes()), &hashes);
    order.into_iter().map(|index| &nodes[index].vm).collect()
}

fn statement(now: MonoTime, target: TargetId, state: &LimitState) -> LimitStatement {
    let (rate_milli, shown_at) = match state {
        LimitState::Named(limit) => (Some(limit.rate.millis_per_second()), limit.named_at),
        LimitState::Lifted(at) => (None, *at),
    };
    LimitStatement {
        target,
        rate_milli,
        age_ms: u64::try_from(now.since(shown_at).as_millis()).unwrap_or(u64::MAX),
    }
}
