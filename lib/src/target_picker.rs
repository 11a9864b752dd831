//! Picks the target for a request: the least loaded of a few random candidates.
//!
//! Few candidates keep many nodes with the same outdated loads from picking the same target.
//! Targets in the node's own data centre are preferred unless they are busier than others by more
//! than the cost of crossing data centres. Gateways use this module; entry nodes select targets with
//! [`target_balancer`](crate::target_balancer). See
//! [docs/design/picking.md](../../docs/design/picking.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::config::{Target, TargetState};
use crate::evidence::AttemptOutcome;
use crate::ids::{DataCentreId, TargetId};
use crate::mixer::SeedSequence;
use crate::target_load::TargetLoad;
use crate::time::MonoTime;

const LOCAL_CANDIDATES: usize = 2;
const REMOTE_CANDIDATES: usize = 1;
/// The number of random draws for one pick; if none is usable, all targets are compared.
const MAX_DRAWS: usize = 12;
/// The difference in load per slot above which a remote target is preferred to a local one.
const REMOTE_PENALTY: f32 = 0.5;
/// The time in which the share of a new or reinstated target grows to its full size.
pub const RAMP_UP_MS: u64 = 10_000;
const MIN_RAMP_UP_WEIGHT: f32 = 0.1;
/// The delay after a shed request whose answer doesn't name one.
const DEFAULT_SHED_DELAY_MS: u64 = 100;
const MAX_SHED_DELAY_MS: u64 = 10_000;

/// Whether a target may be picked, according to detection and ejection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetStanding {
    /// The target serves.
    Serving,
    /// This node prefers other targets.
    Avoided,
    /// The target gets no requests.
    Ejected,
}

#[derive(Clone, Debug)]
struct PickerTarget {
    slots: u32,
    local: bool,
    leaving: bool,
    load: TargetLoad,
    shed_until: MonoTime,
    ejected: bool,
    ramp_up_since: Option<MonoTime>,
}

impl PickerTarget {
    fn weight(&self, now: MonoTime) -> f32 {
        let Some(from) = self.ramp_up_since else {
            return 1.0;
        };
        let progress = now.since(from).as_secs_f32() * 1_000.0 / RAMP_UP_MS as f32;
        progress.clamp(MIN_RAMP_UP_WEIGHT, 1.0)
    }
}

/// Picks targets of one service on one node.
#[derive(Debug)]
pub struct TargetPicker {
    data_centre: DataCentreId,
    targets: IndexMap<TargetId, PickerTarget>,
    local: Vec<usize>,
    all: Vec<usize>,
    typical_load: f32,
}

impl TargetPicker {
    /// Creates a picker without targets for a node in `data_centre`.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            targets: IndexMap::new(),
            local: Vec::new(),
            all: Vec::new(),
            typical_load: 0.0,
        }
    }

    /// Sets the targets of the service; a target that joins others ramps up slowly.
    pub fn set_targets<'a>(
        &mut self,
        now: MonoTime,
        targets: impl IntoIterator<Item = &'a Target>,
    ) {
        let joins_others = !self.targets.is_empty();
        let mut kept = IndexMap::new();
        for target in targets {
            let mut state = self
                .targets
                .swap_remove(&target.id)
                .unwrap_or_else(|| PickerTarget {
                    slots: 1,
                    local: false,
                    leaving: false,
                    load: TargetLoad::default(),
                    shed_until: MonoTime::ZERO,
                    ejected: false,
                    ramp_up_since: joins_others.then_some(now),
                });
            state.slots = target.slots.max(1);
            state.local = target.data_centre == self.data_centre;
            state.leaving = target.state == TargetState::Leaving;
            kept.insert(target.id.clone(), state);
        }
        self.targets = kept;
        self.index_targets();
    }

    fn index_targets(&mut self) {
        let usable = |(index, target): (usize, &PickerTarget)| (!target.leaving).then_some(index);
        self.all = self
            .targets
            .values()
            .enumerate()
            .filter_map(usable)
            .collect();
        self.local = self
            .all
            .iter()
            .copied()
            .filter(|index| self.targets[*index].local)
            .collect();
    }

    /// Records whether a target drains; it then gets no new requests.
    pub fn set_leaving(&mut self, target: &TargetId, leaving: bool) {
        if let Some(state) = self.targets.get_mut(target) {
            state.leaving = leaving;
            self.index_targets();
        }
    }

    /// Records the load that a target reports, in requests.
    pub fn set_reported_load(&mut self, now: MonoTime, target: &TargetId, load: f32) {
        if let Some(state) = self.targets.get_mut(target) {
            state.load.set_report(now, load);
            self.typical_load = self.typical_reported_load(now);
        }
    }

    /// Records the requests that peers have in flight on a target.
    pub fn set_peer_load(&mut self, now: MonoTime, target: &TargetId, in_flight: f32) {
        if let Some(state) = self.targets.get_mut(target) {
            state.load.set_peers(now, in_flight);
        }
    }

    /// Records which targets are ejected; reinstated ones ramp up slowly.
    pub fn set_ejected_by(&mut self, now: MonoTime, is_ejected: impl Fn(&TargetId) -> bool) {
        for (target, state) in &mut self.targets {
            let ejected = is_ejected(target);
            if state.ejected && !ejected {
                state.ramp_up_since = Some(now);
            }
            state.ejected = ejected;
        }
    }

    /// Records the start of a request on a target.
    pub fn start(&mut self, target: &TargetId) {
        if let Some(state) = self.targets.get_mut(target) {
            state.load.start();
        }
    }

    /// Records the end of a request on a target.
    pub fn finish(&mut self, now: MonoTime, target: &TargetId, outcome: AttemptOutcome) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.load.finish();
        let shed = outcome == AttemptOutcome::Shed;
        if outcome.is_failure() || shed {
            state.load.add_failure(now, state.slots);
        }
        if shed {
            state.shed_until = state.shed_until.max(now + bounded_shed_delay(None));
        }
    }

    /// Records the delay that a target requested when it shed a request.
    pub fn set_shed_delay(&mut self, now: MonoTime, target: &TargetId, delay: Duration) {
        if let Some(state) = self.targets.get_mut(target) {
            state.shed_until = now + bounded_shed_delay(Some(delay));
        }
    }

    /// Returns the targets in the order of the configuration, including leaving ones.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Picks a target, or returns `None` if no target may get requests.
    ///
    /// `seed` is a fresh random number, `standing_of` returns the standing at `now`, and `excluded`
    /// are the targets that have been tried for this request.
    pub fn pick(
        &self,
        now: MonoTime,
        seed: u64,
        excluded: &[TargetId],
        standing_of: impl Fn(&TargetId) -> TargetStanding,
    ) -> Option<TargetId> {
        let mut sequence = SeedSequence::new(seed);
        let is_open = |index: usize, worst: TargetStanding| {
            let (target, state) = self.targets.get_index(index)?;
            let standing = standing_of(target);
            let open = !state.leaving
                && !excluded.contains(target)
                && (standing == TargetStanding::Serving || standing == worst);
            open.then_some(state)
        };
        let best = self.draw_best(now, &mut sequence, |index| {
            is_open(index, TargetStanding::Serving).is_some_and(|state| now >= state.shed_until)
        });
        let best = best.or_else(|| self.scan_best(now, &is_open, TargetStanding::Serving));
        let best = best.or_else(|| self.scan_best(now, &is_open, TargetStanding::Avoided));
        best.and_then(|index| self.targets.get_index(index))
            .map(|(target, _)| target.clone())
    }

    fn draw_best(
        &self,
        now: MonoTime,
        sequence: &mut SeedSequence,
        is_usable: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if self.all.is_empty() {
            return None;
        }
        let mut best: Option<(f32, usize)> = None;
        let mut accepted = 0;
        for _ in 0..MAX_DRAWS {
            let prefers_local = accepted < LOCAL_CANDIDATES && !self.local.is_empty();
            let pool = if prefers_local {
                &self.local
            } else {
                &self.all
            };
            let index = pool[sequence.next_below(pool.len())];
            let state = &self.targets[index];
            let admitted = sequence.next_unit() < f64::from(state.weight(now));
            if !admitted || !is_usable(index) {
                continue;
            }
            let cost = self.cost(now, state);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
            accepted += 1;
            if accepted == LOCAL_CANDIDATES + REMOTE_CANDIDATES {
                break;
            }
        }
        best.map(|(_, index)| index)
    }

    fn scan_best<'a>(
        &'a self,
        now: MonoTime,
        is_open: &impl Fn(usize, TargetStanding) -> Option<&'a PickerTarget>,
        worst: TargetStanding,
    ) -> Option<usize> {
        self.all
            .iter()
            .filter_map(|index| is_open(*index, worst).map(|state| (*index, state)))
            .min_by(|(_, a), (_, b)| {
                let shed = |state: &PickerTarget| now < state.shed_until;
                (shed(a), self.cost(now, a))
                    .partial_cmp(&(shed(b), self.cost(now, b)))
                    .expect("costs are finite")
            })
            .map(|(index, _)| index)
    }

    fn cost(&self, now: MonoTime, state: &PickerTarget) -> f32 {
        let load = state.load.estimate(now, self.typical_load) + 1.0;
        let penalty = if state.local { 0.0 } else { REMOTE_PENALTY };
        load / (state.slots as f32 * state.weight(now)) + penalty
    }

    /// Returns the mean reported load, weighted by load.
    ///
    /// Busy targets weigh more than idle ones, so that a target of unknown load is not preferred to
    /// one of known average load.
    fn typical_reported_load(&self, now: MonoTime) -> f32 {
        let (sum, squares) = self
            .targets
            .values()
            .filter_map(|state| state.load.fresh_report(now))
            .fold((0.0, 0.0), |(sum, squares), load| {
                (sum + load, squares + load * load)
            });
        if sum == 0.0 { 0.0 } else { squares / sum }
    }
}

fn bounded_shed_delay(delay: Option<Duration>) -> Duration {
    delay
        .unwrap_or(Duration::from_millis(DEFAULT_SHED_DELAY_MS))
        .min(Duration::from_millis(MAX_SHED_DELAY_MS))
}
