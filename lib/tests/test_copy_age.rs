//! Tests that no copy of a table gets older than the time in which changes must take effect, on virtual time.

use std::time::Duration;

use damaskloom_lib::copy_age::{CopyAge, TableReading};
use damaskloom_lib::entry_nodes::rollout_step;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BOUND: Duration = Duration::from_secs(2);
/// The time for which a feed of the reader waits.
const FEED_WAIT_MS: u64 = 900;
/// The longest delay after changes before the reader's next feed.
const FEED_DELAY_MS: u64 = 250;
/// The longest time in which the store answers, and in which a message arrives.
const TRANSIT_MS: u64 = 20;
/// The time after which a call that is not answered is repeated.
const RETRY_MS: u64 = 2_000;
const STEP_MS: u64 = 2;

fn version() -> StoreVersion {
    StoreVersion::from(7)
}

/// The nodes of a data centre, of which the first one reads the store for the others.
struct CopyFleet {
    copies: Vec<CopyAge>,
    /// The nodes that the store does not answer, from `silent_at` on.
    silent: Vec<bool>,
    silent_at: u64,
    /// When each node's running call or pause ends.
    busy_until: Vec<u64>,
    /// Readings on their way: when each arrives.
    messages: Vec<(u64, TableReading)>,
    calls: usize,
    rng: SmallRng,
}

impl CopyFleet {
    fn new(seed: u64, nodes: usize, silent_at: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let silent = (0..nodes).map(|node| node == 0 || rng.random_bool(0.35));
        let silent = silent.collect();
        let mut copies = vec![CopyAge::default(); nodes];
        for copy in &mut copies {
            copy.record_read(MonoTime::from_millis(1));
        }
        Self {
            copies,
            silent,
            silent_at,
            busy_until: vec![0; nodes],
            messages: Vec::new(),
            calls: 0,
            rng,
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = MonoTime::from_millis(now_ms);
        let (arrived, waiting) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.messages = waiting;
        for (_, reading) in arrived {
            for copy in &mut self.copies {
                copy.record_reading(now, version(), reading);
            }
        }
        for node in 0..self.copies.len() {
            if now_ms < self.busy_until[node] {
                continue;
            }
            let copy = &mut self.copies[node];
            let until_read = copy.time_until_read(now, BOUND, rollout_step(node));
            if node > 0 && until_read != Some(Duration::ZERO) {
                continue;
            }
            self.calls += usize::from(node > 0);
            if self.silent[node] && now_ms >= self.silent_at {
                self.busy_until[node] = now_ms + RETRY_MS;
                continue;
            }
            // The answer is taken to arrive at once; its time is in the pause before the next call.
            copy.record_read(now);
            let reading = copy.reading(now, version()).expect("the copy was read");
            let transit = self.rng.random_range(1..=TRANSIT_MS);
            self.messages.push((now_ms + transit, reading));
            let pause = self.rng.random_range(0..=FEED_DELAY_MS + TRANSIT_MS);
            self.busy_until[node] = match node {
                0 => now_ms + FEED_WAIT_MS + pause,
                _ => now_ms,
            };
        }
    }
}

/// Guards against a change that takes effect late at nodes that the store serves, since the store gives no
/// answer to the node that reads it for them.
#[test]
fn no_copy_is_older_than_the_bound_while_the_reader_waits_for_an_answer() {
    for seed in 0..200 {
        let mut fleet = CopyFleet::new(seed, 2 + seed as usize % 80, 3_000 + seed * 7);
        if fleet.silent.iter().all(|is_silent| *is_silent) {
            continue;
        }
        for now_ms in (STEP_MS..12_000).step_by(STEP_MS as usize) {
            fleet.step(now_ms);
            let now = MonoTime::from_millis(now_ms);
            // The rest of the bound is for the rows to reach the nodes that the store does not answer.
            let oldest = fleet.copies.iter().filter_map(|copy| copy.age(now)).max();
            assert!(
                oldest < Some(BOUND.mul_f64(0.85)),
                "seed {seed}: {oldest:?}"
            );
        }
    }
}

/// Guards against calls to the store of nodes whose reader works.
#[test]
fn only_the_reader_calls_the_store_while_it_is_answered() {
    for seed in 0..50 {
        let mut fleet = CopyFleet::new(seed, 40, u64::MAX);
        for now_ms in (STEP_MS..12_000).step_by(STEP_MS as usize) {
            fleet.step(now_ms);
        }
        assert_eq!(fleet.calls, 0, "seed {seed}");
    }
}

/// Guards against a copy that counts as current by a reading of rows that it lacks, or by a reading that is
/// told again and again.
#[test]
fn only_a_reading_of_the_same_rows_shows_that_a_copy_is_current() {
    let at = MonoTime::from_millis;
    let mut copy = CopyAge::default();
    assert_eq!(copy.time_until_read(at(0), BOUND, 0), None);
    copy.record_read(at(0));
    let newer = TableReading {
        version: StoreVersion::from(8),
        age_ms: 0,
    };
    copy.record_reading(at(1_000), version(), newer);
    copy.record_reached(version());
    assert_eq!(copy.age(at(1_000)), Some(Duration::from_secs(1)));
    for (now_ms, age_ms) in [(1_000, 500), (1_400, 900)] {
        let reading = TableReading {
            version: version(),
            age_ms,
        };
        copy.record_reading(at(now_ms), version(), reading);
    }
    assert_eq!(copy.age(at(1_400)), Some(Duration::from_millis(900)));
    // The rows that the first reading showed have arrived.
    copy.record_reached(newer.version);
    assert_eq!(copy.age(at(1_400)), Some(Duration::from_millis(400)));
    // What peers have read is not told as this node's own reading.
    let told = copy.reading(at(1_400), version());
    assert_eq!(told.map(|reading| reading.age_ms), Some(1_400));
}
