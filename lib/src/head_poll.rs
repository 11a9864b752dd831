//! Decides when a node reads the platform's head itself.
//!
//! The nodes of each data centre are ranked by rendezvous hashing, so that no election is needed.
//! The first few are readers and read the head at each interval. The others read it only after they
//! have received no new reading for a time that grows with their rank. A partitioned or paused
//! reader is thus replaced within seconds, and an outage of the platform does not make the whole
//! fleet read at once. See [docs/design/distribution.md](../../docs/design/distribution.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::distribution_message::HeadReading;
use crate::ids::NodeId;
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

/// The time for which an unanswered read counts as in flight.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of intervals without a new reading after which the ranks behind the readers start to
/// read.
const STALE_INTERVALS: u32 = 2;

/// The greatest number of further intervals that a rank waits for.
const MAX_RANK_INTERVALS: u32 = 3;

/// The greatest number of intervals between failed reads of a reader.
const MAX_READER_BACKOFF_INTERVALS: u32 = 2;

/// The greatest number of intervals between failed reads of the other ranks.
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
    /// Creates a poller that reads at once.
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

    /// Records another node's reading unless it is known already.
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

    /// Drops the readings of nodes that are no longer members.
    pub fn retain_readers(&mut self, is_member: impl Fn(&NodeId) -> bool) {
        self.newest_numbers.retain(|node, _| is_member(node));
    }

    /// Returns the newest reading that the node made or received.
    pub const fn newest(&self) -> Option<&HeadReading> {
        self.newest.as_ref()
    }

    /// Returns whether to read now; if so, records the start of the read.
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

    /// Records the end of the read in flight, and returns when it started.
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

    /// Returns the delay until the next read: one interval, or more while reads fail.
    fn read_delay(&self, jitter: StableHash) -> Duration {
        let cap = if self.level == 0 {
            MAX_READER_BACKOFF_INTERVALS
        } else {
            MAX_OTHER_BACKOFF_INTERVALS
        };
        let delay = self.interval * (1 << self.failures.min(5)).min(cap);
        // Shortened by up to a quarter, so that reads are spread over the interval.
        let percent = u32::try_from(jitter.0 % 25).unwrap_or_default();
        delay * (100 - percent) / 100
    }
}
