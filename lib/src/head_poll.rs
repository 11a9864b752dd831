//! When a node reads the platform's head itself.
//!
//! In each data centre the nodes are ranked by rendezvous hashing, so that no election is needed:
//! the first few read the head at each interval, and the others read it only when they have not
//! heard of a fresh reading for longer than their rank allows. So a cut-off or paused reader is
//! replaced within seconds, and an outage of the platform does not make the whole fleet read at
//! once. See [docs/design/distribution.md](../../docs/design/distribution.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::distribution_message::HeadReading;
use crate::ids::NodeId;
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

/// How long an unanswered reading counts as in flight.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The intervals of silence after which the ranks behind the readers start to read.
const STALE_INTERVALS: u32 = 2;

/// The greatest number of further intervals that a rank waits.
const MAX_RANK_INTERVALS: u32 = 3;

/// The intervals between failed readings of a reader, at most.
const MAX_READER_BACKOFF_INTERVALS: u32 = 2;

/// The intervals between readings of the other ranks, at most.
const MAX_OTHER_BACKOFF_INTERVALS: u32 = 16;

/// Decides when to read the head.
#[derive(Clone, Debug)]
pub struct HeadPoller {
    interval: Duration,
    /// The rank divided by the number of readers; zero for the readers.
    level: u32,
    next_read: MonoTime,
    reading_since: Option<MonoTime>,
    failures: u32,
    own_readings: u64,
    newest_numbers: IndexMap<NodeId, u64>,
    newest: Option<HeadReading>,
    last_new_reading: MonoTime,
}

impl HeadPoller {
    /// Makes a poller that reads at once.
    pub fn new(now: MonoTime, interval: Duration) -> Self {
        Self {
            interval,
            level: 0,
            next_read: now,
            reading_since: None,
            failures: 0,
            own_readings: 0,
            newest_numbers: IndexMap::new(),
            newest: None,
            last_new_reading: now,
        }
    }

    /// Sets the node's rank in its data centre.
    pub fn set_rank(&mut self, rank: usize, readers: usize) {
        self.level = u32::try_from(rank / readers.max(1)).unwrap_or(u32::MAX);
    }

    /// Notes a reading of another node, unless it was heard of before.
    pub fn record_remote_reading(&mut self, now: MonoTime, reading: HeadReading) {
        let known = self
            .newest_numbers
            .entry(reading.reader.clone())
            .or_default();
        if reading.number > *known {
            *known = reading.number;
            self.newest = Some(reading);
            self.last_new_reading = now;
        }
    }

    /// Forgets readings of nodes that are no members any more.
    pub fn retain_readers(&mut self, is_member: impl Fn(&NodeId) -> bool) {
        self.newest_numbers.retain(|node, _| is_member(node));
    }

    /// Returns the newest reading that the node made or heard of.
    pub const fn newest(&self) -> Option<&HeadReading> {
        self.newest.as_ref()
    }

    /// Returns whether to read now, and notes the reading.
    pub fn start_read(&mut self, now: MonoTime, jitter: StableHash) -> bool {
        let in_flight = self
            .reading_since
            .is_some_and(|since| now.since(since) < READ_TIMEOUT);
        if in_flight || now < self.next_read || !self.is_due(now) {
            return false;
        }
        self.reading_since = Some(now);
        self.next_read = now + self.read_delay(jitter);
        true
    }

    /// Notes the answer to the reading that is in flight; returns when the reading started.
    pub fn finish_read(
        &mut self,
        now: MonoTime,
        node: &NodeId,
        succeeded: bool,
    ) -> Option<MonoTime> {
        if succeeded {
            self.failures = 0;
            self.own_readings += 1;
            self.newest = Some(HeadReading {
                reader: node.clone(),
                number: self.own_readings,
            });
            self.last_new_reading = now;
        } else {
            self.failures += 1;
        }
        self.reading_since.take()
    }

    fn is_due(&self, now: MonoTime) -> bool {
        let stale_after = STALE_INTERVALS + self.level.min(MAX_RANK_INTERVALS);
        self.level == 0 || now.since(self.last_new_reading) > self.interval * stale_after
    }

    /// Returns the pause after a reading: one interval, or a growing one while readings fail.
    fn read_delay(&self, jitter: StableHash) -> Duration {
        let cap = if self.level == 0 {
            MAX_READER_BACKOFF_INTERVALS
        } else {
            MAX_OTHER_BACKOFF_INTERVALS
        };
        let delay = self.interval * (1 << self.failures.min(5)).min(cap);
        // Up to a quarter is taken off, so that readers spread over the interval.
        let percent = u32::try_from(jitter.0 % 25).unwrap_or_default();
        delay * (100 - percent) / 100
    }
}
