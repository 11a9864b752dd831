//! Tells an outage of the platform's store from calls of one node that fail.
//!
//! A call also fails if a connection is reset or goes silent, or if the store turns away this node
//! alone. Only in an outage do announcements of running targets expire. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

/// The number of failed calls in a row that show that the store does not answer this node: the first
/// one may have failed with its connection.
const MIN_FAILED_CALLS: u32 = 2;
/// The number of announcement intervals for which the store is away at least before an announcement expires.
const MIN_LAPSED_INTERVALS: u32 = 2;
/// The time in which every node that reads the store notices that it does not answer, and says so in
/// its heartbeat, in milliseconds.
const NOTICE_PERIOD_MS: u64 = 5_000;

/// What this node's calls show of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    has_answered: bool,
    failures: u32,
    /// When the first failed call in a row started.
    failing_since: Option<MonoTime>,
    /// The answers without two failed calls in a row between them, in one era of the store.
    series: Option<AnswerSeries>,
}

/// A series of answers of the store.
#[derive(Clone, Copy, Debug)]
struct AnswerSeries {
    era: u16,
    first_at: MonoTime,
    last_at: MonoTime,
}

/// What a node that reads the store says of it to one whose own calls have failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct StoreReading {
    /// The era of the store that the node reads.
    pub era: u16,
    /// For how long the store has answered the node in that era without an outage, in milliseconds.
    pub answering_ms: u64,
}

impl StoreHealth {
    /// Records an answer of the store in an era.
    pub fn record_answer(&mut self, now: MonoTime, era: u16) {
        let unbroken = self
            .series
            .filter(|series| series.era == era && self.is_answering());
        let first_at = unbroken.map_or(now, |series| series.first_at);
        *self = Self {
            has_answered: true,
            series: Some(AnswerSeries {
                era,
                first_at,
                last_at: now,
            }),
            ..Self::default()
        };
    }

    /// Returns what this node can say of the store to one whose own calls have failed; none unless the last
    /// call was answered, within the time in which no announcement can expire.
    ///
    /// An announcement expires after several intervals without renewal, of which at most one can have passed
    /// before an outage.
    pub fn reading(&self, now: MonoTime, announcement_interval: Duration) -> Option<StoreReading> {
        let series = self.series.filter(|_| self.is_last_call_answered())?;
        let is_recent = now.since(series.last_at) < announcement_interval * MIN_LAPSED_INTERVALS;
        let answering = now.since(series.first_at);
        is_recent.then_some(StoreReading {
            era: series.era,
            answering_ms: u64::try_from(answering.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Records that a call failed which started at a time.
    pub fn record_failure(&mut self, started_at: MonoTime) {
        self.failures += 1;
        self.failing_since.get_or_insert(started_at);
    }

    /// Returns whether the last call was answered.
    pub const fn is_last_call_answered(&self) -> bool {
        self.has_answered && self.failures == 0
    }

    /// Returns whether the store answers this node; a single failed call does not show that it does not.
    pub const fn is_answering(&self) -> bool {
        self.has_answered && self.failures < MIN_FAILED_CALLS
    }

    /// Returns when the first failed call in a row started; none if the last one was answered.
    pub const fn failing_since(&self) -> Option<MonoTime> {
        self.failing_since
    }

    /// Returns whether announcements may have expired since calls fail: the store has not answered for
    /// at least `announcement_interval`, in which targets renew them, and has not answered others either.
    ///
    /// `answers_others` says whether another node has read the store without a break since
    /// [`Self::failing_since`]. It counts once the other node would have noticed an outage.
    pub fn is_outage(
        &self,
        now: MonoTime,
        announcement_interval: Duration,
        answers_others: bool,
    ) -> bool {
        let Some(failing_since) = self.failing_since else {
            return false;
        };
        let period = now.since(failing_since);
        let is_noticed = period >= Duration::from_millis(NOTICE_PERIOD_MS);
        self.failures >= MIN_FAILED_CALLS
            && period >= announcement_interval
            && !(answers_others && is_noticed)
    }
}
