//! Follows the tables of the store with the routing and the targets.

use std::rc::Rc;
use std::time::Duration;

use damaskloom_lib::platform::PlatformError;
use damaskloom_lib::store_rows::{FeedOutcome, RowBatch, StoreRow};
use damaskloom_lib::table_mirror::MirrorRow;
use damaskloom_lib::time::MonoTime;
use damaskloom_platform::store_client::{OPERATOR_TABLE, StoreClient, TARGET_TABLE};
use rand::Rng;

use crate::entry_state::EntryState;
use crate::table_copy::{TableCopy, TableKind};

/// The timeout of a call to the store; a feed that waits has a shorter one.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time for which a feed call waits for a change, and the time in which its answer must then
/// arrive, as fractions of the time for applying a configuration: a connection that has gone silent
/// shows only by a missing answer, and a change must still be applied in time after that.
const FEED_WAIT_RATIO: f64 = 0.45;
const FEED_ANSWER_RATIO: f64 = 0.25;
/// The delay after changes of targets, so that the changes of one event arrive together.
const TARGET_FEED_DELAY: Duration = Duration::from_millis(250);
/// The first and the maximum delay after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// The interval at which a node that gets its rows from peers checks whether it must read the store
/// itself.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(350);
/// The delay after a failed call of a node that reads only because it receives no heartbeat from a
/// reader.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// The interval of checks for expired targets, unless their grace period ends sooner.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// A delay that doubles while calls fail, with jitter so that nodes do not all call at once.
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    pub(crate) async fn wait(&mut self) {
        let fraction = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.0.mul_f64(fraction)).await;
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// Follows the operators' table until the task is cancelled.
pub async fn watch_routing(state: Rc<EntryState>, client: Rc<StoreClient>) {
    let mut backoff = Backoff::new();
    let mut feed_status = FeedStatus::new(TableKind::Routing);
    loop {
        wait_to_read_store(&state, TableKind::Routing).await;
        // The first read is of the whole table, which may still be empty.
        let is_known = !state.routing_copy.mirror.borrow().version().is_zero();
        let followed = FollowedTable {
            table: OPERATOR_TABLE,
            copy: &state.routing_copy,
            is_known,
        };
        let read = read_changes(&state, &client, &followed, feed_status.feed_times(&state)).await;
        feed_status.record_era(client.era());
        match read {
            Ok(changed_rows) => {
                feed_status.record_success();
                backoff = Backoff::new();
                state.record_store_read(TableKind::Routing);
                state.apply_routing_rows(&changed_rows);
                announce_changes(&state, &changed_rows);
                wait_if_empty(&state.routing_copy).await;
            }
            Err(error) => {
                feed_status.record_failure(&error);
                wait_after_failure(&state, &mut backoff).await;
            }
        }
    }
}

/// Follows the targets' table until the task is cancelled.
pub async fn watch_targets(state: Rc<EntryState>, client: Rc<StoreClient>) {
    let mut backoff = Backoff::new();
    let mut feed_status = FeedStatus::new(TableKind::Targets);
    loop {
        if !state.follows_store() {
            state.store_health.take();
        }
        wait_to_read_store(&state, TableKind::Targets).await;
        let started_at = state.clock.now();
        let era = state.targets_copy.mirror.borrow().version().era();
        let followed = FollowedTable {
            table: TARGET_TABLE,
            copy: &state.targets_copy,
            is_known: state.targets_known.get(),
        };
        let read = read_changes(&state, &client, &followed, feed_status.feed_times(&state)).await;
        feed_status.record_era(client.era());
        let now = state.clock.now();
        match read {
            Ok(changed_rows) => {
                feed_status.record_success();
                backoff = Backoff::new();
                state.record_store_read(TableKind::Targets);
                record_call_end(&state, CallEnd::Answered);
                let is_restored = state.targets_copy.mirror.borrow().version().era() > era;
                if is_restored {
                    state.catalog.borrow_mut().mark_store_restored(now);
                }
                if state.catalog.borrow().is_grace_unconfirmed(now) {
                    state.grace_doubted.notify_one();
                }
                state.apply_target_rows(&changed_rows, is_restored);
                state.set_targets_known();
                announce_changes(&state, &changed_rows);
                if !changed_rows.is_empty() {
                    tokio::time::sleep(TARGET_FEED_DELAY).await;
                }
                wait_if_empty(&state.targets_copy).await;
            }
            Err(error) => {
                feed_status.record_failure(&error);
                record_call_end(&state, CallEnd::Failed(started_at));
                wait_after_failure(&state, &mut backoff).await;
            }
        }
    }
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    Answered,
    /// It failed; it had started at this time.
    Failed(MonoTime),
}

/// Records the end of a call. After an outage, targets whose announcements may have expired get time to
/// announce themselves again.
fn record_call_end(state: &EntryState, end: CallEnd) {
    let now = state.clock.now();
    let was_answering = state.store_health.borrow().is_answering();
    match end {
        CallEnd::Answered => {
            // The outage may have become long enough to count since the last failed call.
            update_outage(state, now);
            let era = state.targets_copy.mirror.borrow().version().era();
            state.store_health.borrow_mut().record_answer(now, era);
            state.catalog.borrow_mut().mark_store_available(now);
        }
        CallEnd::Failed(started_at) => {
            state.store_health.borrow_mut().record_failure(started_at);
            update_outage(state, now);
        }
    }
    let is_answering = state.store_health.borrow().is_answering();
    if state.is_reader.get() && is_answering != was_answering {
        // Without a node that reads the store, the others read it themselves.
        state.heartbeat_due.notify_one();
    }
}

/// Tells the catalogue whether the failed calls so far are an outage in which announcements expire.
fn update_outage(state: &EntryState, now: MonoTime) {
    let health = *state.store_health.borrow();
    let Some(failing_since) = health.failing_since() else {
        return;
    };
    let interval = state.settings().bounds.announcement_interval();
    let members = state.members.borrow();
    let answers_others = members.has_node_linked_since(now, failing_since);
    let is_outage = health.is_outage(now, interval, answers_others);
    let mut catalog = state.catalog.borrow_mut();
    if is_outage == catalog.is_store_unavailable() {
        return;
    }
    tracing::info!(
        is_outage,
        answers_others,
        failing_ms = now.since(failing_since).as_millis() as u64,
        "store outage assessed"
    );
    if is_outage {
        catalog.mark_store_unavailable();
    } else {
        catalog.end_grace(now);
    }
}

/// Removes targets that did not announce themselves again after an outage, and ends the evacuations whose
/// rows a restored store has lost, until the task is cancelled.
pub async fn run_target_expiry(state: Rc<EntryState>) {
    loop {
        let left = state.catalog.borrow().grace_remaining(state.clock.now());
        let delay = if left.is_zero() {
            EXPIRY_CHECK_INTERVAL
        } else {
            left.min(EXPIRY_CHECK_INTERVAL)
        };
        let delay = state
            .evacuation_time_left()
            .map_or(delay, |left| left.min(delay));
        tokio::time::sleep(delay).await;
        state.remove_expired_targets();
        state.update_evacuations();
    }
}

/// Waits until this node must read a table from the store itself.
async fn wait_to_read_store(state: &EntryState, kind: TableKind) {
    while !state.reads_store(kind) {
        let due = state.time_until_store_read(kind);
        let wait = due.map_or(FOLLOWER_CHECK_INTERVAL, |due| {
            due.min(FOLLOWER_CHECK_INTERVAL)
        });
        tokio::select! {
            () = state.role_changed.notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
    }
    if !state.follows_store() {
        let lag = state.table_copy(kind).lag(state.clock.now());
        let missing_ms = lag.unwrap_or_default().as_millis() as u64;
        let age = state.table_copy(kind).age.borrow().age(state.clock.now());
        let age_ms = age.unwrap_or_default().as_millis() as u64;
        tracing::info!(
            what = kind.path(),
            missing_ms,
            age_ms,
            "rows missing or copy old; reading the store"
        );
    }
}

/// Waits before an empty table is read again: there is no version yet that a feed could start from.
async fn wait_if_empty(copy: &TableCopy) {
    if copy.mirror.borrow().version().is_zero() {
        tokio::time::sleep(INITIAL_BACKOFF).await;
    }
}

/// Sends a heartbeat after changes, so that peers fetch them from this reader.
fn announce_changes(state: &EntryState, changed_rows: &[MirrorRow]) {
    if !changed_rows.is_empty() && state.is_reader.get() {
        state.heartbeat_due.notify_one();
    }
}

async fn wait_after_failure(state: &EntryState, backoff: &mut Backoff) {
    if state.is_reader.get() {
        backoff.wait().await;
    } else {
        tokio::time::sleep(FOLLOWER_RETRY_DELAY).await;
    }
}

/// A table that is followed, with this node's copy of it.
struct FollowedTable<'a> {
    table: &'static str,
    copy: &'a TableCopy,
    /// Whether the copy reflects a version of the store, which a feed can continue from.
    is_known: bool,
}

/// How long a feed call waits for a change, and how long its answer may take in addition.
#[derive(Clone, Copy, Debug)]
struct FeedTimes {
    wait: Duration,
    timeout: Duration,
}

/// Waits for changes of a table; returns those that are new to the copy.
///
/// If the store was restored from a copy, the whole table is read again: rows may have gone back or
/// vanished without a change in the feed.
async fn read_changes(
    state: &EntryState,
    client: &StoreClient,
    followed: &FollowedTable<'_>,
    FeedTimes { wait, timeout }: FeedTimes,
) -> Result<Vec<MirrorRow>, PlatformError> {
    let (table, copy) = (followed.table, followed.copy);
    let version = copy.mirror.borrow().version();
    if followed.is_known && client.era() <= version.era() {
        let feed = tokio::select! {
            feed = client.read_feed(table, version.version(), wait, timeout) => feed?,
            // Another call was answered by a restored store; this one may never be answered.
            () = client.wait_for_later_era(version.era()) => FeedOutcome::Forgotten,
        };
        match feed {
            FeedOutcome::Changes(batch) if batch.version.era() == version.era() => {
                return Ok(apply_changes(state, copy, batch));
            }
            FeedOutcome::Changes(_) | FeedOutcome::Forgotten => {}
        }
    }
    let batch = client.read_table(table, CALL_TIMEOUT).await?;
    if batch.version < version {
        let detail = format!(
            "version {} is older than the copy's {version}",
            batch.version
        );
        return Err(PlatformError::unavailable(detail));
    }
    let rows = batch.rows.into_iter().map(mirror_row).collect();
    Ok(copy.replace(state.clock.now(), rows, batch.version))
}

fn apply_changes(state: &EntryState, copy: &TableCopy, batch: RowBatch) -> Vec<MirrorRow> {
    let rows = batch.rows.into_iter().map(mirror_row).collect();
    copy.apply(state.clock.now(), rows, batch.version)
}

fn mirror_row(row: StoreRow) -> MirrorRow {
    MirrorRow {
        key: row.key,
        value: row.value,
        version: row.version,
    }
}

/// Tracks whether a feed works, and logs each failure and recovery once.
struct FeedStatus {
    table: TableKind,
    what: &'static str,
    is_down: bool,
    /// The newest era that the store has named; none before the first answer.
    era: Option<u16>,
}

impl FeedStatus {
    fn new(table: TableKind) -> Self {
        Self {
            table,
            what: match table {
                TableKind::Routing => "configuration",
                TableKind::Targets => "targets",
            },
            is_down: false,
            era: None,
        }
    }

    /// Returns the times of the next feed call. After a failure it does not wait, so that the recovery
    /// is noticed at once and not with the next change, and a slow store has the time to answer. A node that
    /// does not follow the store reads once, to know whether its copy is current.
    fn feed_times(&self, state: &EntryState) -> FeedTimes {
        let bounds = &state.settings().bounds;
        let routing_time = bounds.apply_time(TableKind::Routing);
        let apply_time = bounds.apply_time(self.table).min(routing_time);
        let timeout = match self.is_down {
            true => CALL_TIMEOUT,
            false => apply_time.mul_f64(FEED_ANSWER_RATIO).min(CALL_TIMEOUT),
        };
        let wait = match self.is_down || !state.follows_store() {
            true => Duration::ZERO,
            false => apply_time.mul_f64(FEED_WAIT_RATIO),
        };
        FeedTimes { wait, timeout }
    }

    fn record_era(&mut self, era: u16) {
        if self.era.is_some_and(|known| era > known) {
            tracing::warn!(
                what = self.what,
                era,
                before = self.era,
                "store restored from a copy"
            );
        }
        self.era = Some(era);
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.is_down) {
            tracing::info!(what = self.what, "store answers again");
        }
    }

    fn record_failure(&mut self, error: &PlatformError) {
        if !std::mem::replace(&mut self.is_down, true) {
            tracing::warn!(what = self.what, %error, "store does not answer");
        }
    }
}
