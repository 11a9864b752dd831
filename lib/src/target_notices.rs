//! What targets say of themselves in their answers: that they leave, and that they want no requests for
//! some time.
//!
//! A notice belongs to one start of a target. It ends with that start, never by a row of the store that is
//! late. That a target leaves concerns all nodes, which tell each other; the rest that it asks for concerns the
//! node that it has answered. See [docs/design/target-notices.md](../../docs/design/target-notices.md).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::TargetId;
use crate::target_limits::LimitNotice;
use crate::time::MonoTime;

/// The longest rest that is granted, in milliseconds. A target that asks for more is asked again after
/// it, so that a wrong figure does not cost it its requests for good.
pub const MAX_REST_MS: u64 = 60_000;
/// The interval between the requests that a target gets after its rest until one is answered without a
/// new one, in milliseconds: longer than most requests run.
const TRIAL_INTERVAL_MS: u64 = 300;
/// How long the notices of a target that is gone are remembered, in milliseconds: longer than the age of a
/// copy that the store is restored from.
const DEPARTED_MS: u64 = 120_000;
/// How often this node tells the others that a target leaves, since messages get lost.
const TELLINGS: u32 = 2;
/// The interval between two tellings, in milliseconds.
const TELLING_INTERVAL_MS: u64 = 400;

/// What an answer says about the rest that its target wants from this node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RestNotice {
    /// Nothing: there is no answer that is certainly the target's own, or it is a refusal.
    #[default]
    Unknown,
    /// The target wants no rest.
    NotAsked,
    /// The target wants no requests for this time.
    Asked(Duration),
}

/// What the head of an answer says about the target that made it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// What it says about the target's limit.
    pub limit: LimitNotice,
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// Whether and how long the target wants no requests of this node.
    pub rest: RestNotice,
    /// How long the target is still cold, if the answer says so.
    pub warmup_left: Option<Duration>,
    /// Whether the answer is certainly the target's own and shows that it had not begun to leave.
    pub is_staying: bool,
}

/// One start of a target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetStart {
    /// The target.
    pub target: TargetId,
    /// When it started, in Unix milliseconds; none if its row does not say so.
    pub started_at_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct RestPeriod {
    until: MonoTime,
    /// When the next request may be sent once the rest is over.
    next_trial_at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct TellingPlan {
    left: u32,
    due_at: MonoTime,
}

#[derive(Debug)]
struct HeldNotices {
    started_at_ms: Option<u64>,
    is_leaving: bool,
    rest: Option<RestPeriod>,
    telling: Option<TellingPlan>,
    /// When the target was last among the known ones, or a notice of it arrived.
    known_at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct StayingStart {
    started_at_ms: Option<u64>,
    /// When the newest request was sent whose answer did not say that the target leaves.
    asked_at: MonoTime,
}

/// What targets have said of themselves, as far as this node knows.
#[derive(Debug, Default)]
pub struct TargetNotices {
    held: IndexMap<TargetId, HeldNotices>,
    /// The starts of targets that did not leave yet at a time, by their answers.
    staying: IndexMap<TargetId, StayingStart>,
}

impl TargetNotices {
    /// Returns the notices of a start, or none if a later start of the target is known.
    fn of_start(&mut self, now: MonoTime, start: &TargetStart) -> Option<&mut HeldNotices> {
        let fresh = || HeldNotices {
            started_at_ms: start.started_at_ms,
            is_leaving: false,
            rest: None,
            telling: None,
            known_at: now,
        };
        let held = self.held.entry(start.target.clone()).or_insert_with(fresh);
        if held.started_at_ms != start.started_at_ms {
            let is_earlier = matches!(
                (start.started_at_ms, held.started_at_ms),
                (Some(start), Some(held)) if start < held
            );
            if is_earlier {
                return None;
            }
            *held = fresh();
        }
        held.known_at = now;
        Some(held)
    }

    /// Records that an answer to this node says that the target leaves; returns whether that is news.
    /// The other nodes are to be told.
    pub fn record_leaving(&mut self, now: MonoTime, start: &TargetStart) -> bool {
        let is_news = self.record_told(now, start);
        if let Some(held) = self.held.get_mut(&start.target).filter(|_| is_news) {
            held.telling = Some(TellingPlan {
                left: TELLINGS,
                due_at: now,
            });
        }
        is_news
    }

    /// Records that another node says that the target leaves; returns whether that is news.
    pub fn record_told(&mut self, now: MonoTime, start: &TargetStart) -> bool {
        let held = self.of_start(now, start);
        held.is_some_and(|held| !std::mem::replace(&mut held.is_leaving, true))
    }

    /// Returns whether this start of the target has said that it leaves.
    pub fn is_leaving(&self, target: &TargetId, started_at_ms: Option<u64>) -> bool {
        let held = self.held.get(target);
        held.is_some_and(|held| held.is_leaving && held.started_at_ms == started_at_ms)
    }

    /// Records that an answer to a request that was sent at `sent_at` did not say that the target leaves.
    pub fn record_staying(&mut self, start: &TargetStart, sent_at: MonoTime) {
        let staying = StayingStart {
            started_at_ms: start.started_at_ms,
            asked_at: sent_at,
        };
        let held = self.staying.entry(start.target.clone()).or_insert(staying);
        if held.started_at_ms != staying.started_at_ms || held.asked_at < sent_at {
            *held = staying;
        }
    }

    /// Returns whether the target had not begun to leave at a time, as an answer of it shows.
    pub fn is_staying_at(&self, target: &TargetId, at: MonoTime) -> bool {
        let staying = self.staying.get(target);
        staying.is_some_and(|staying| staying.asked_at >= at)
    }

    /// Records what an answer to this node says about rest. `sent_at` is when its request was sent: only a
    /// request that was sent after a rest shows that the target takes requests again.
    pub fn record_rest(
        &mut self,
        now: MonoTime,
        start: &TargetStart,
        sent_at: MonoTime,
        notice: RestNotice,
    ) {
        let rest = match notice {
            RestNotice::Unknown => return,
            RestNotice::NotAsked => {
                self.end_rest(start, sent_at);
                return;
            }
            RestNotice::Asked(rest) => rest,
        };
        let granted = rest.min(Duration::from_millis(MAX_REST_MS));
        if let Some(held) = self.of_start(now, start) {
            let asked_before = held.rest.map_or(MonoTime::ZERO, |rest| rest.until);
            let until = asked_before.max(now + granted);
            held.rest = Some(RestPeriod {
                until,
                next_trial_at: until,
            });
        }
    }

    fn end_rest(&mut self, start: &TargetStart, sent_at: MonoTime) {
        let held = self.held.get_mut(&start.target);
        if let Some(held) = held.filter(|held| held.started_at_ms == start.started_at_ms) {
            held.rest.take_if(|rest| sent_at >= rest.until);
        }
    }

    /// Returns the time until the target may be selected for a request; zero if it may be now.
    pub fn rest_left(&self, now: MonoTime, target: &TargetId) -> Duration {
        let rest = self.held.get(target).and_then(|held| held.rest);
        rest.map_or(Duration::ZERO, |rest| rest.next_trial_at.since(now))
    }

    /// Returns whether the target has asked for a rest that is not over.
    pub fn is_resting(&self, now: MonoTime, target: &TargetId) -> bool {
        let rest = self.held.get(target).and_then(|held| held.rest);
        rest.is_some_and(|rest| now < rest.until)
    }

    /// Records that the target was selected for a request: after a rest, the next one waits for its answer
    /// or for some time.
    pub fn record_selection(&mut self, now: MonoTime, target: &TargetId) {
        let held = self.held.get_mut(target);
        if let Some(rest) = held.and_then(|held| held.rest.as_mut()) {
            rest.next_trial_at = rest
                .until
                .max(now + Duration::from_millis(TRIAL_INTERVAL_MS));
        }
    }

    /// Forgets what an earlier start of the target said.
    pub fn end_earlier_starts(&mut self, target: &TargetId, started_at_ms: Option<u64>) {
        let is_earlier =
            self.held
                .get(target)
                .is_some_and(|held| match (held.started_at_ms, started_at_ms) {
                    (Some(held), Some(current)) => held < current,
                    (held, current) => held != current,
                });
        if is_earlier {
            self.held.shift_remove(target);
        }
        let staying = self.staying.get(target);
        if staying.is_some_and(|staying| staying.started_at_ms != started_at_ms) {
            self.staying.swap_remove(target);
        }
    }

    /// Returns the starts that leave and that the other nodes are to be told of now.
    pub fn drain_tellings(&mut self, now: MonoTime) -> Vec<TargetStart> {
        let mut due = Vec::new();
        for (id, held) in &mut self.held {
            let Some(telling) = held.telling.as_mut().filter(|plan| now >= plan.due_at) else {
                continue;
            };
            telling.left -= 1;
            telling.due_at = now + Duration::from_millis(TELLING_INTERVAL_MS);
            let is_last = telling.left == 0;
            held.telling.take_if(|_| is_last);
            due.push(TargetStart {
                target: id.clone(),
                started_at_ms: held.started_at_ms,
            });
        }
        due
    }

    /// Forgets rests that are long over, and targets that have been gone for long.
    pub fn tick(&mut self, now: MonoTime, is_known: impl Fn(&TargetId) -> bool) {
        self.staying.retain(|id, _| is_known(id));
        self.held.retain(|id, held| {
            if is_known(id) {
                held.known_at = now;
            }
            let max_rest = Duration::from_millis(MAX_REST_MS);
            held.rest.take_if(|rest| now.since(rest.until) > max_rest);
            let is_gone = now.since(held.known_at) >= Duration::from_millis(DEPARTED_MS);
            !is_gone && (held.is_leaving || held.rest.is_some())
        });
    }

    /// Returns the number of targets that have said that they leave.
    pub fn leaving_count(&self) -> usize {
        self.held.values().filter(|held| held.is_leaving).count()
    }

    /// Returns the number of targets that have asked this node for a rest that is not over.
    pub fn resting_count(&self, now: MonoTime) -> usize {
        let rests = self.held.values().filter_map(|held| held.rest);
        rests.filter(|rest| now < rest.until).count()
    }
}
