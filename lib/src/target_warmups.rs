//! Keeps the fleet within the request rate that cold targets stand.
//!
//! A warm-up is a limit with an end and without overdraft. It has a fixed number of places, each with a
//! fixed part of the rate and one saved request, so that the bound holds whichever nodes have the places,
//! as long as each place has one holder. See
//! [docs/design/cold-targets.md](../../docs/design/cold-targets.md).

use std::ops::RangeInclusive;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{DataCentreId, TargetId, VmId};
use crate::limit_share::SteadyTokens;
use crate::rendezvous::StableHash;
use crate::routing::WarmupRule;
use crate::sender_roster::SenderRoster;
use crate::target_limits::{LimitPermission, LimitSender};
use crate::time::MonoTime;

/// The smallest rate of a place, in requests a second; a node with a smaller one would rarely send.
const MIN_PLACE_RATE_PER_S: f64 = 1.0;
/// The time for which a place that a node takes over stays unused, in seconds: the interval of heartbeats,
/// in which the earlier holder may still send.
const TAKEOVER_S: f64 = 1.2;

/// The range of rates that are used, in requests a second: above zero, since waits are derived from them.
const RATES_PER_S: RangeInclusive<f64> = 0.1..=1e6;

/// How far a cold target's rate may be exceeded in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBound {
    /// The factor by which the rate is multiplied.
    pub excess: f64,
    /// The number of further requests.
    pub slack: f64,
}

impl Default for WarmupBound {
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 4.0,
        }
    }
}

impl WarmupBound {
    fn total_rate(&self, rule: &WarmupRule) -> f64 {
        let rate_per_s = rule.rate_per_s * self.excess;
        rate_per_s.clamp(*RATES_PER_S.start(), *RATES_PER_S.end())
    }

    /// Returns the number of places: each saves one request, which the slack covers, and has a useful rate.
    fn places(&self, rule: &WarmupRule) -> usize {
        let useful = self.total_rate(rule) / MIN_PLACE_RATE_PER_S;
        (self.slack.min(useful) as usize).max(1)
    }
}

/// What shows that a target is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdSource {
    /// The target's row.
    Row,
    /// An answer of the target.
    Answer,
    /// The target accepts connections again.
    Reconnect,
    /// The target is new or has restarted.
    Start,
    /// The evacuation of the target's data centre has ended.
    Evacuation,
}

impl ColdSource {
    /// Returns the name of the source in log lines.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Answer => "answer",
            Self::Reconnect => "reconnect",
            Self::Start => "start",
            Self::Evacuation => "evacuation",
        }
    }

    /// Returns whether the target itself says that it is cold.
    const fn is_reported(self) -> bool {
        matches!(self, Self::Row | Self::Answer)
    }
}

/// A cold target.
#[derive(Clone, Copy, Debug)]
pub struct ColdTarget<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// The warm-up of its service.
    pub rule: WarmupRule,
}

/// This node's places for a target.
#[derive(Clone, Copy, Debug)]
struct HeldPlaces {
    count: usize,
    /// What is left after the requests that wait for their permits.
    planned: SteadyTokens,
    /// What is left after the requests that were sent.
    sent: SteadyTokens,
}

impl HeldPlaces {
    fn new(now: MonoTime, count: usize, rate_per_s: f64, delay_s: f64) -> Self {
        let total = rate_per_s * count as f64;
        let tokens = SteadyTokens::with_capacity(now, total, count as f64, -delay_s * total);
        Self {
            count,
            planned: tokens,
            sent: tokens,
        }
    }

    fn wait(&self, now: MonoTime) -> Duration {
        self.planned.wait(now).max(self.sent.wait(now))
    }
}

#[derive(Debug)]
struct WarmupState {
    data_centre: DataCentreId,
    rule: WarmupRule,
    since: MonoTime,
    until: MonoTime,
    source: ColdSource,
    /// What has shown last that the target is cold, and when.
    shown_last: (ColdSource, MonoTime),
    /// The nodes that have places.
    holders: Vec<VmId>,
    /// This node's places; none if it has none.
    held: Option<HeldPlaces>,
}

impl WarmupState {
    /// Returns whether a row may be older than what shows that the target is cold.
    const fn is_lasting(&self) -> bool {
        matches!(self.source, ColdSource::Reconnect | ColdSource::Evacuation)
    }
}

/// The targets that are cold, and this node's parts of the rates that they stand.
#[derive(Debug)]
pub struct TargetWarmups {
    own: VmId,
    bound: WarmupBound,
    roster: SenderRoster,
    cold: IndexMap<TargetId, WarmupState>,
    /// The targets that refused or broke a connection at connect and have not accepted one since.
    refusing: IndexMap<TargetId, MonoTime>,
}

impl TargetWarmups {
    /// Creates the warm-ups of a node; it knows none.
    pub fn new(own: VmId) -> Self {
        Self {
            own,
            bound: WarmupBound::default(),
            roster: SenderRoster::default(),
            cold: IndexMap::new(),
            refusing: IndexMap::new(),
        }
    }

    /// Sets the bound; it applies to targets that turn cold afterwards.
    pub const fn set_bound(&mut self, bound: WarmupBound) {
        self.bound = bound;
    }

    /// Returns the number of cold targets.
    pub fn cold_count(&self, now: MonoTime) -> usize {
        let cold = self.cold.values().filter(|state| now < state.until);
        cold.count()
    }

    /// Returns whether a target is cold.
    pub fn is_cold(&self, now: MonoTime, target: &TargetId) -> bool {
        self.get(now, target).is_some()
    }

    fn get(&self, now: MonoTime, target: &TargetId) -> Option<&WarmupState> {
        self.cold.get(target).filter(|state| now < state.until)
    }

    /// Sets the nodes that send to targets, see [`SenderRoster::update`].
    pub fn set_senders(
        &mut self,
        now: MonoTime,
        heard: impl IntoIterator<Item = LimitSender>,
        ended: &[VmId],
    ) {
        if self.roster.update(now, heard, ended) {
            for (id, state) in &mut self.cold {
                assign_places(state, id, now, &self.roster, &self.own, self.bound);
            }
        }
    }

    /// Records that a target is cold for a time from now on; returns whether it was warm as far as was
    /// known.
    ///
    /// What the target itself says replaces what was known, except that it does not shorten a warm-up that
    /// is concluded from a connect or an evacuation: it may have been said before.
    pub fn begin(
        &mut self,
        now: MonoTime,
        cold: ColdTarget<'_>,
        left: Duration,
        source: ColdSource,
    ) -> bool {
        if left.is_zero() {
            return false;
        }
        let until = now + left;
        if let Some(state) = self
            .cold
            .get_mut(cold.target)
            .filter(|state| now < state.until)
        {
            let is_replaced = source.is_reported() && !state.is_lasting();
            state.until = if is_replaced {
                until
            } else {
                state.until.max(until)
            };
            state.shown_last = (source, now);
            if !source.is_reported() {
                (state.source, state.since) = (source, now);
            }
            return false;
        }
        // It starts without saved requests, also after an earlier one: in between the target was served freely.
        let mut state = WarmupState {
            data_centre: cold.data_centre.clone(),
            rule: cold.rule,
            since: now,
            until,
            source,
            shown_last: (source, now),
            holders: Vec::new(),
            held: None,
        };
        assign_places(
            &mut state,
            cold.target,
            now,
            &self.roster,
            &self.own,
            self.bound,
        );
        self.cold.insert(cold.target.clone(), state);
        true
    }

    /// Records that the target's row, which arrived at `announced_at`, says that it is warm; returns whether
    /// that ends its warm-up. A row may be older than what an answer, a start, a connect or the end of an
    /// evacuation shows, so it ends only what an earlier row said.
    pub fn end_by_row(&mut self, now: MonoTime, target: &TargetId, announced_at: MonoTime) -> bool {
        self.end_if(now, target, |state| {
            let (shown_by, shown_at) = state.shown_last;
            shown_by == ColdSource::Row && shown_at < announced_at && !state.is_lasting()
        })
    }

    /// Records that the answer to a request that was sent at `sent_at` says that its target is warm; returns
    /// whether that ends its warm-up.
    pub fn end_by_answer(&mut self, now: MonoTime, target: &TargetId, sent_at: MonoTime) -> bool {
        self.end_if(now, target, |state| state.since < sent_at)
    }

    fn end_if(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        is_ended: impl Fn(&WarmupState) -> bool,
    ) -> bool {
        let state = self.cold.get_mut(target);
        let Some(state) = state.filter(|state| now < state.until && is_ended(state)) else {
            return false;
        };
        state.until = now;
        true
    }

    /// Returns the targets whose warm-ups have ended since the last call.
    pub fn drain_ended(&mut self, now: MonoTime) -> Vec<TargetId> {
        let ended = self.cold.iter().filter(|(_, state)| now >= state.until);
        let ended: Vec<TargetId> = ended.map(|(id, _)| id.clone()).collect();
        self.cold.retain(|_, state| now < state.until);
        ended
    }

    /// Records that a target refused a connection or broke one at connect.
    pub fn record_refusal(&mut self, now: MonoTime, target: &TargetId) {
        self.refusing.insert(target.clone(), now);
    }

    /// Records that a target has accepted a connection; returns whether it had refused one before.
    pub fn record_accepted(&mut self, target: &TargetId) -> bool {
        !self.refusing.is_empty() && self.refusing.swap_remove(target).is_some()
    }

    /// Forgets the refused connections of targets that are gone.
    pub fn retain_refusing(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.refusing.retain(|id, _| is_known(id));
    }

    /// Returns whether and when this node may send to a target, as far as its warm-up goes.
    pub fn permission(&self, now: MonoTime, target: &TargetId) -> LimitPermission {
        match self.get(now, target).map(|state| state.held) {
            None => LimitPermission::Unlimited,
            Some(None) => LimitPermission::Elsewhere,
            Some(Some(held)) => match held.wait(now) {
                Duration::ZERO => LimitPermission::Within,
                wait => LimitPermission::Beyond(wait),
            },
        }
    }

    /// Plans a request, or undoes that with a count of 1.
    pub(crate) fn add_planned(&mut self, now: MonoTime, target: &TargetId, count: f64) {
        let state = self.cold.get_mut(target);
        if let Some(held) = state.and_then(|state| state.held.as_mut()) {
            held.planned.add(now, count);
        }
    }

    /// Takes the permit for a request whose first byte is sent next; returns whether there is one.
    ///
    /// A request may be sent later than it was planned, or was selected before its target turned cold.
    pub fn take_send_permit(&mut self, now: MonoTime, target: &TargetId) -> bool {
        let state = self.cold.get_mut(target);
        let Some(state) = state.filter(|state| now < state.until) else {
            return true;
        };
        let Some(held) = state.held.as_mut() else {
            return false;
        };
        if !held.sent.wait(now).is_zero() {
            return false;
        }
        held.sent.add(now, -1.0);
        true
    }
}

/// Sets the nodes that have the places of a cold target, and what of that concerns this node.
fn assign_places(
    state: &mut WarmupState,
    target: &TargetId,
    now: MonoTime,
    roster: &SenderRoster,
    own: &VmId,
    bound: WarmupBound,
) {
    let places = bound.places(&state.rule);
    let key = StableHash::of(target.as_bytes());
    let ranked = roster.ranked(key, &state.data_centre, &state.holders);
    let is_first = state.holders.is_empty();
    // A fleet with fewer nodes than places gives nodes several.
    state.holders = ranked.iter().cycle().take(places).cloned().collect();
    let had = state.held.map_or(0, |held| held.count);
    let due = state.holders.iter().filter(|vm| *vm == own).count();
    let count = if roster.takes_places() {
        due
    } else {
        due.min(had)
    };
    if count == had {
        return;
    }
    let place_rate = bound.total_rate(&state.rule) / places as f64;
    let delay_s = if is_first { 0.0 } else { TAKEOVER_S };
    state.held = (count > 0).then(|| HeldPlaces::new(now, count, place_rate, delay_s));
}
