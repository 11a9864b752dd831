//! The fleet's own rows in the store: the secret that nodes authenticate to each other with, and the
//! registrations of the nodes.
//!
//! The store's secret counts. A store that was restored from a copy may have lost these rows, so the
//! nodes that follow the store write what is missing again.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::entry_members::NodeRegistration;
use damaskloom_lib::ids::VmId;
use damaskloom_lib::platform::PlatformError;
use damaskloom_lib::store_rows::{CreateOutcome, RowBatch, RowTransaction, StoreRow};
use damaskloom_platform::store_client::StoreClient;
use rand::Rng;

use crate::entry_state::EntryState;
use crate::store_watch::{Backoff, CALL_TIMEOUT};

/// The table with the fleet's own rows.
const FLEET_TABLE: &str = "damaskloom";
/// The row with the secret that nodes authenticate to each other with.
const SECRET_ROW: &str = "secret";
/// The prefix of the key of a node's registration; the node's name follows.
const NODE_PREFIX: &str = "node:";
/// The length of the secret, in bytes.
const SECRET_BYTES: usize = 32;
/// The minimum interval between two checks of the secret, so that forged messages cause few calls.
const SECRET_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// The number of registrations that are written at a time; each needs a condition and a write.
const REGISTRATIONS_PER_CALL: usize = 40;

/// Retries a call until the store answers; logs the first failure and the recovery.
async fn retry_until_answered<T, F>(what: &'static str, mut call: impl FnMut() -> F) -> T
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
                backoff.wait().await;
            }
        }
    }
}

/// Reads the registrations of the other nodes and registers this one; returns once both are done.
pub async fn join_fleet(state: Rc<EntryState>, client: Rc<StoreClient>) {
    let settings = state.settings();
    let own = own_registration(&state);
    if settings.first_start {
        // Each node registers before it reads, so of any two nodes the one that reads later sees
        // the other's registration.
        register(&client, &settings.vm, &own).await;
    }
    let rows = read_fleet(&client).await;
    apply_registrations(&state, &rows);
    let find = |name: &str| rows.rows.iter().find(|row| row.key == name);
    let existing = find(SECRET_ROW).and_then(|row| row.value.clone());
    let secret = match existing {
        Some(secret) => secret.to_vec(),
        None => agree_on_secret(&client, new_secret()).await,
    };
    *state.secret.borrow_mut() = Some(SharedSecret::new(secret));
    state.joined_at.set(Some(state.clock.now()));
    state.update_role();
    state.update_repeat_share();
    state.role_changed.notify_waiters();
    state.heartbeat_due.notify_one();
    let existing = find(&format!("{NODE_PREFIX}{}", settings.vm));
    let existing = existing.and_then(read_registration);
    if !existing.is_some_and(|existing| existing.is_same_node(&own)) {
        register(&client, &settings.vm, &own).await;
        // Another new node may have read the table before this node's registration was written.
        apply_registrations(&state, &read_fleet(&client).await);
        state.heartbeat_due.notify_one();
    }
    let members = state.members.borrow().iter().count();
    tracing::info!(members, "fleet joined");
}

fn own_registration(state: &EntryState) -> NodeRegistration {
    let settings = state.settings();
    NodeRegistration {
        started_at_ms: state.started_at_ms,
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_listen,
        capacity_millicores: settings.machine.capacity_millicores(),
    }
}

fn encode_registration(node: &NodeRegistration) -> Bytes {
    let value = serde_json::to_vec(node).expect("a registration can be encoded");
    value.into()
}

async fn register(client: &StoreClient, vm: &VmId, own: &NodeRegistration) {
    let key = format!("{NODE_PREFIX}{vm}");
    let value = encode_registration(own);
    retry_until_answered("registration", || {
        client.write_row(FLEET_TABLE, &key, value.clone(), CALL_TIMEOUT)
    })
    .await;
}

fn read_registration(row: &StoreRow) -> Option<NodeRegistration> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

async fn read_fleet(client: &StoreClient) -> RowBatch {
    retry_until_answered("members", || client.read_table(FLEET_TABLE, CALL_TIMEOUT)).await
}

fn apply_registrations(state: &EntryState, batch: &RowBatch) {
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
            _ => tracing::warn!(row = %row.key, "invalid registration row"),
        }
    }
}

fn new_secret() -> Bytes {
    let mut secret = [0_u8; SECRET_BYTES];
    rand::rng().fill(&mut secret);
    Bytes::copy_from_slice(&secret)
}

/// Creates the fleet's secret unless another node has created it; returns the one in the store.
async fn agree_on_secret(client: &StoreClient, proposed: Bytes) -> Vec<u8> {
    let outcome = retry_until_answered("secret", || {
        client.create_row(FLEET_TABLE, SECRET_ROW, proposed.clone(), CALL_TIMEOUT)
    })
    .await;
    match outcome {
        CreateOutcome::Created => proposed.to_vec(),
        // This node may have created it itself, if the answer of an earlier attempt was lost.
        CreateOutcome::Exists(secret) => secret.to_vec(),
    }
}

/// Keeps the fleet's rows and this node's secret in agreement, until the task is cancelled.
///
/// A reader checks them after the store was restored from a copy. Any node checks its secret after
/// messages of peers with another one.
pub async fn keep_fleet_rows(state: Rc<EntryState>, client: Rc<StoreClient>) {
    let mut era = 0;
    loop {
        tokio::select! {
            () = client.wait_for_later_era(era) => {
                let is_first = state.joined_at.get().is_none();
                era = client.era();
                if is_first || !state.is_reader.get() {
                    continue;
                }
                let rows = read_fleet(&client).await;
                check_secret(&state, &client, &rows).await;
                restore_registrations(&state, &client, &rows).await;
            }
            () = state.secret_doubted.notified() => {
                let rows = read_fleet(&client).await;
                check_secret(&state, &client, &rows).await;
                tokio::time::sleep(SECRET_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Adopts the secret in the store, or writes this node's secret if there is none.
async fn check_secret(state: &EntryState, client: &StoreClient, rows: &RowBatch) {
    let Some(own) = state.secret.borrow().clone() else {
        return;
    };
    let row = rows.rows.iter().find(|row| row.key == SECRET_ROW);
    let stored = match row.and_then(|row| row.value.clone()) {
        Some(stored) => stored.to_vec(),
        None => {
            tracing::warn!("the store has lost the fleet's secret; writing it again");
            agree_on_secret(client, Bytes::copy_from_slice(own.as_bytes())).await
        }
    };
    if stored != own.as_bytes() {
        tracing::warn!("the store holds another secret; adopting it");
        *state.secret.borrow_mut() = Some(SharedSecret::new(stored));
        state.heartbeat_due.notify_one();
    }
}

/// Writes the registrations of responsive nodes that the store has lost.
async fn restore_registrations(state: &EntryState, client: &StoreClient, rows: &RowBatch) {
    let now = state.clock.now();
    let mut known: Vec<_> = state.members.borrow().registrations(now).collect();
    known.push((state.settings().vm.clone(), own_registration(state)));
    let missing: Vec<(String, Bytes)> = known
        .into_iter()
        .map(|(vm, node)| (format!("{NODE_PREFIX}{vm}"), encode_registration(&node)))
        .filter(|(key, _)| !rows.rows.iter().any(|row| row.key == *key))
        .collect();
    if missing.is_empty() {
        return;
    }
    tracing::warn!(
        count = missing.len(),
        "the store has lost registrations; writing them again"
    );
    for part in missing.chunks(REGISTRATIONS_PER_CALL) {
        let transaction = RowTransaction {
            expected: part.iter().map(|(key, _)| (key.clone(), 0)).collect(),
            puts: part.to_vec(),
            removals: Vec::new(),
        };
        // After a conflict the rows stand there: another reader has written them.
        retry_until_answered("registrations", || {
            client.transact(FLEET_TABLE, &transaction, CALL_TIMEOUT)
        })
        .await;
    }
}
