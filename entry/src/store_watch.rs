//! Follows the store: the routing, the targets, and the registration of this node.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::entry_members::NodeRegistration;
use damaskloom_lib::ids::VmId;
use damaskloom_lib::platform::PlatformError;
use damaskloom_lib::table_mirror::{MirrorRow, TableMirror};
use damaskloom_platform::store_client::{
    CreateOutcome, FeedOutcome, OPERATOR_TABLE, RowBatch, StoreClient, StoreRow, TARGET_TABLE,
};
use rand::Rng;

use crate::entry_state::EntryState;

/// The time that an answer of the store may take, beside a wait that was asked for.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time for which a feed waits for a change: keep-alive probes find dead connections sooner.
const FEED_WAIT: Duration = Duration::from_secs(20);
/// The pause after changes of targets, which lets the changes of one event come together.
const TARGET_FEED_PAUSE: Duration = Duration::from_millis(250);
/// The first and the longest pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// The interval at which a node that follows other nodes looks whether it has to read by itself.
const FOLLOWER_LOOK: Duration = Duration::from_millis(350);
/// The pause after a failed call of a node that reads only because no other does.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(2_000);
/// The interval at which lapsed targets are looked for, unless their grace ends sooner.
const LAPSE_LOOK: Duration = Duration::from_millis(700);
/// The table of the fleet's own rows.
const FLEET_TABLE: &str = "damaskloom";
/// The row with what nodes prove themselves to each other with.
const SECRET_ROW: &str = "secret";
/// Precedes the name of a node in the key of its registration.
const NODE_PREFIX: &str = "node:";
/// The length of the secret, in bytes.
const SECRET_BYTES: usize = 32;

/// A pause that grows while calls fail, by chance so that nodes do not call all at once.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(FIRST_PAUSE)
    }

    async fn pause(&mut self) {
        let part = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.0.mul_f64(part)).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }
}

/// Calls until the store answers; logs the first failure and the end of the trouble.
async fn until_answered<T, F>(what: &'static str, mut call: impl FnMut() -> F) -> T
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let mut backoff = Backoff::new();
    let mut failures = 0_u32;
    loop {
        match call().await {
            Ok(value) => {
                if failures > 0 {
                    tracing::info!(what, failures, "store answers again");
                }
                return value;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    tracing::warn!(what, %error, "store does not answer");
                }
                backoff.pause().await;
            }
        }
    }
}

/// Learns of the other nodes and registers this one; ends once both are done.
pub async fn join_fleet(state: Rc<EntryState>) {
    let settings = state.settings();
    let client = StoreClient::new(settings.store);
    let own = NodeRegistration {
        started_at_ms: state.started_at_ms,
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_listen,
        cpu_millicores: settings.machine.cpu_millicores(),
    };
    if settings.first_start {
        // Of any two nodes, the one that reads later sees the registration of the other.
        register(&client, &settings.vm, &own).await;
    }
    let rows = read_fleet(&client).await;
    take_registrations(&state, &rows);
    let find = |name: &str| rows.rows.iter().find(|row| row.key == name);
    let held = find(SECRET_ROW).and_then(|row| row.value.clone());
    let secret = match held {
        Some(secret) => secret.to_vec(),
        None => agree_on_secret(&client).await,
    };
    *state.secret.borrow_mut() = Some(SharedSecret::new(secret));
    state.joined_at.set(Some(state.clock.now()));
    state.choose_role();
    state.turn_changed.notify_waiters();
    state.presence_due.notify_one();
    let held = find(&format!("{NODE_PREFIX}{}", settings.vm));
    let held = held.and_then(read_registration);
    if !held.is_some_and(|held| held.is_same_node(&own)) {
        register(&client, &settings.vm, &own).await;
        // Another new node may have looked before this one's registration was there.
        take_registrations(&state, &read_fleet(&client).await);
        state.presence_due.notify_one();
    }
    let members = state.members.borrow().iter().count();
    tracing::info!(members, "fleet joined");
}

async fn register(client: &StoreClient, vm: &VmId, own: &NodeRegistration) {
    let key = format!("{NODE_PREFIX}{vm}");
    let value = serde_json::to_vec(own).expect("a registration can be written");
    let value = Bytes::from(value);
    until_answered("registration", || {
        client.write_row(FLEET_TABLE, &key, value.clone(), CALL_TIMEOUT)
    })
    .await;
}

fn read_registration(row: &StoreRow) -> Option<NodeRegistration> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

async fn read_fleet(client: &StoreClient) -> RowBatch {
    until_answered("members", || client.read_table(FLEET_TABLE, CALL_TIMEOUT)).await
}

fn take_registrations(state: &EntryState, batch: &RowBatch) {
    let now = state.clock.now();
    let own = state.settings().vm.clone();
    for row in &batch.rows {
        let Some(name) = row.key.strip_prefix(NODE_PREFIX) else {
            continue;
        };
        match (name.parse::<VmId>(), read_registration(row)) {
            (Ok(vm), Some(_)) if vm == own => {}
            (Ok(vm), Some(node)) => {
                let mut members = state.members.borrow_mut();
                members.register(now, vm, node);
            }
            _ => tracing::warn!(row = %row.key, "registration cannot be read"),
        }
    }
}

/// Writes a secret if there is none; the one that stands there counts.
async fn agree_on_secret(client: &StoreClient) -> Vec<u8> {
    let mut proposed = [0_u8; SECRET_BYTES];
    rand::rng().fill(&mut proposed);
    let proposed = Bytes::copy_from_slice(&proposed);
    let outcome = until_answered("secret", || {
        client.create_row(FLEET_TABLE, SECRET_ROW, proposed.clone(), CALL_TIMEOUT)
    })
    .await;
    match outcome {
        CreateOutcome::Created => proposed.to_vec(),
        // Perhaps by this node, if the answer of an earlier try was lost.
        CreateOutcome::Exists(secret) => secret.to_vec(),
    }
}

/// Follows the operators' table until the task is ended.
pub async fn watch_routing(state: Rc<EntryState>) {
    let client = StoreClient::new(state.settings().store);
    let mut backoff = Backoff::new();
    let mut link = LinkLog::new("configuration");
    loop {
        wait_for_turn(&state).await;
        let version = state.routing_mirror.borrow().version();
        // The first read is of the whole table; nobody may have published a configuration yet.
        let read = if version > 0 {
            let feed = client
                .read_feed(OPERATOR_TABLE, version, link.feed_wait(), CALL_TIMEOUT)
                .await;
            match feed {
                Ok(FeedOutcome::Changes(batch)) => Ok(take_changes(&state.routing_mirror, batch)),
                Ok(FeedOutcome::Forgotten) => {
                    read_whole(&client, OPERATOR_TABLE, &state.routing_mirror).await
                }
                Err(error) => Err(error),
            }
        } else {
            read_whole(&client, OPERATOR_TABLE, &state.routing_mirror).await
        };
        match read {
            Ok(news) => {
                link.up();
                backoff = Backoff::new();
                state.take_routing_rows(&news);
                pass_on(&state, &news);
                pause_if_empty(&state.routing_mirror).await;
            }
            Err(error) => {
                link.down(&error);
                pause_after_failure(&state, &mut backoff).await;
            }
        }
    }
}

/// Follows the targets' table until the task is ended.
pub async fn watch_targets(state: Rc<EntryState>) {
    let client = StoreClient::new(state.settings().store);
    let mut backoff = Backoff::new();
    let mut link = LinkLog::new("targets");
    loop {
        if !state.follows_store() {
            state.store_linked.set(false);
        }
        wait_for_turn(&state).await;
        let version = state.target_mirror.borrow().version();
        let read = if state.targets_known.get() {
            let feed = client
                .read_feed(TARGET_TABLE, version, link.feed_wait(), CALL_TIMEOUT)
                .await;
            match feed {
                Ok(FeedOutcome::Changes(batch)) => Ok(take_changes(&state.target_mirror, batch)),
                Ok(FeedOutcome::Forgotten) => {
                    read_whole(&client, TARGET_TABLE, &state.target_mirror).await
                }
                Err(error) => Err(error),
            }
        } else {
            read_whole(&client, TARGET_TABLE, &state.target_mirror).await
        };
        let now = state.clock.now();
        match read {
            Ok(news) => {
                link.up();
                backoff = Backoff::new();
                state.catalog.borrow_mut().mark_store_available(now);
                state.store_linked.set(true);
                state.take_target_rows(&news);
                state.set_targets_known();
                pass_on(&state, &news);
                if !news.is_empty() {
                    tokio::time::sleep(TARGET_FEED_PAUSE).await;
                }
                pause_if_empty(&state.target_mirror).await;
            }
            Err(error) => {
                link.down(&error);
                state.catalog.borrow_mut().mark_store_unavailable(now);
                state.store_linked.set(false);
                pause_after_failure(&state, &mut backoff).await;
            }
        }
    }
}

/// Drops targets that did not come back after an outage, until the task is ended.
pub async fn run_lapses(state: Rc<EntryState>) {
    loop {
        let left = state.catalog.borrow().grace_remaining(state.clock.now());
        let pause = if left.is_zero() {
            LAPSE_LOOK
        } else {
            left.min(LAPSE_LOOK)
        };
        tokio::time::sleep(pause).await;
        state.tick_catalog();
    }
}

/// Waits until this node has to follow the store itself.
async fn wait_for_turn(state: &EntryState) {
    while !state.follows_store() {
        tokio::select! {
            () = state.turn_changed.notified() => {}
            () = tokio::time::sleep(FOLLOWER_LOOK) => {}
        }
    }
}

/// Pauses before an empty store is read again: there is no version yet that a feed could follow.
async fn pause_if_empty(mirror: &std::cell::RefCell<TableMirror>) {
    if mirror.borrow().version() == 0 {
        tokio::time::sleep(FIRST_PAUSE).await;
    }
}

/// Tells the nodes that follow this one of changes.
fn pass_on(state: &EntryState, news: &[MirrorRow]) {
    if !news.is_empty() && state.is_reader.get() {
        state.presence_due.notify_one();
    }
}

async fn pause_after_failure(state: &EntryState, backoff: &mut Backoff) {
    if state.is_reader.get() {
        backoff.pause().await;
    } else {
        tokio::time::sleep(FOLLOWER_PAUSE).await;
    }
}

async fn read_whole(
    client: &StoreClient,
    table: &str,
    mirror: &std::cell::RefCell<TableMirror>,
) -> Result<Vec<MirrorRow>, PlatformError> {
    let batch = client.read_table(table, CALL_TIMEOUT).await?;
    let rows = batch.rows.into_iter().map(mirror_row).collect();
    Ok(mirror.borrow_mut().replace(rows, batch.version))
}

fn take_changes(mirror: &std::cell::RefCell<TableMirror>, batch: RowBatch) -> Vec<MirrorRow> {
    let rows = batch.rows.into_iter().map(mirror_row).collect();
    mirror.borrow_mut().apply(rows, batch.version)
}

fn mirror_row(row: StoreRow) -> MirrorRow {
    MirrorRow {
        key: row.key,
        value: row.value,
        version: row.version,
    }
}

/// Logs when a feed is lost and regained, once each.
struct LinkLog {
    what: &'static str,
    is_down: bool,
}

impl LinkLog {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            is_down: false,
        }
    }

    /// Returns how long a feed may wait: not at all after trouble, so that its end is noticed at once
    /// and not with the next change.
    fn feed_wait(&self) -> Duration {
        if self.is_down {
            Duration::ZERO
        } else {
            FEED_WAIT
        }
    }

    fn up(&mut self) {
        if std::mem::take(&mut self.is_down) {
            tracing::info!(what = self.what, "store answers again");
        }
    }

    fn down(&mut self, error: &PlatformError) {
        if !std::mem::replace(&mut self.is_down, true) {
            tracing::warn!(what = self.what, %error, "store does not answer");
        }
    }
}
