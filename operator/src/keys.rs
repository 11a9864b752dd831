//! Plans changes of a single object: granting, withdrawing and rotating keys, draining targets.

use damaskloom_lib::config::{ConfigChange, KeyGrant, KeyState, TargetState};
use damaskloom_lib::ids::{CustomerId, OperatorId, TargetId};
use damaskloom_lib::key::{KeyDigest, RawKey};
use damaskloom_lib::object_key::ObjectKey;
use damaskloom_lib::plan::{Intent, parse_row};
use damaskloom_lib::platform::TableStore;
use damaskloom_lib::table_layout::{ObjectRow, object_row_key};
use damaskloom_lib::usage::{UsageKey, UsageRow};
use rand::Rng;

use crate::api_error::{ApiError, NotFoundSnafu};
use crate::driver::read_rows;
use crate::plans::make_plan;
use crate::wire::{GrantResponse, KeyList, PlanView, RotateResponse};

/// The prefix of customers' keys, which distinguishes them from operators' credentials.
const KEY_PREFIX: &str = "dlk-";

/// The number of random bytes in a key or credential.
const SECRET_BYTES: usize = 24;

/// Generates a secret in hexadecimal digits with a cryptographic random number generator.
pub(crate) fn new_secret(prefix: &str) -> String {
    let bytes: [u8; SECRET_BYTES] = rand::rng().random();
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    [prefix.to_owned()].into_iter().chain(digits).collect()
}

/// Reads the current value of an object.
pub(crate) async fn read_object(
    store: &impl TableStore,
    object: &ObjectKey,
) -> Result<ObjectRow, ApiError> {
    let key = object_row_key(object);
    let rows = read_rows(store, vec![key.clone()]).await?;
    let row: Option<ObjectRow> = parse_row(&rows, &key)?;
    match row {
        Some(row) if row.change != object.removal() => Ok(row),
        _ => {
            let what = object.to_string();
            NotFoundSnafu { what }.fail()
        }
    }
}

/// Plans a new key for a customer.
pub(crate) async fn grant_key(
    store: &impl TableStore,
    operator: &OperatorId,
    customer: CustomerId,
) -> Result<GrantResponse, ApiError> {
    let key = new_secret(KEY_PREFIX);
    let digest = RawKey::new(key.as_str()).digest();
    let note = format!("grant a key to {customer}");
    let grant = KeyGrant {
        digest,
        customer,
        state: KeyState::Granted,
    };
    let plan = make_plan(store, operator, intent(ConfigChange::PutKey(grant), note)).await?;
    Ok(GrantResponse { key, digest, plan })
}

/// Plans the withdrawal of a key.
pub(crate) async fn withdraw_key(
    store: &impl TableStore,
    operator: &OperatorId,
    digest: KeyDigest,
) -> Result<PlanView, ApiError> {
    let mut grant = read_grant(store, digest).await?;
    grant.state = KeyState::Withdrawn;
    let note = format!("withdraw a key of {}", grant.customer);
    make_plan(store, operator, intent(ConfigChange::PutKey(grant), note)).await
}

/// Plans a new key for the customer of an old one, and in a second plan the withdrawal of the
/// old key, so that both keys work between the two confirmations.
pub(crate) async fn rotate_key(
    store: &impl TableStore,
    operator: &OperatorId,
    digest: KeyDigest,
) -> Result<RotateResponse, ApiError> {
    let customer = read_grant(store, digest).await?.customer;
    let withdraw = withdraw_key(store, operator, digest).await?;
    let grant = grant_key(store, operator, customer).await?;
    Ok(RotateResponse { grant, withdraw })
}

async fn read_grant(store: &impl TableStore, digest: KeyDigest) -> Result<KeyGrant, ApiError> {
    let object = ObjectKey::Key(digest);
    match read_object(store, &object).await?.change {
        ConfigChange::PutKey(grant) => Ok(grant),
        _ => {
            let what = object.to_string();
            NotFoundSnafu { what }.fail()
        }
    }
}

/// Lists the keys of a customer.
pub(crate) async fn list_keys(
    store: &impl TableStore,
    customer: CustomerId,
) -> Result<KeyList, ApiError> {
    let key = UsageKey::Customer(customer).row_key();
    let rows = read_rows(store, vec![key.clone()]).await?;
    let usage: UsageRow = parse_row(&rows, &key)?.unwrap_or_default();
    Ok(KeyList {
        granted: usage.granted_keys.into_iter().collect(),
        withdrawn: usage.withdrawn_keys.into_iter().collect(),
    })
}

/// Plans that a target gets no new requests.
pub(crate) async fn drain_target(
    store: &impl TableStore,
    operator: &OperatorId,
    target: TargetId,
) -> Result<PlanView, ApiError> {
    let note = format!("drain {target}");
    let object = ObjectKey::Target(target);
    let mut change = read_object(store, &object).await?.change;
    if let ConfigChange::PutTarget(target) = &mut change {
        target.state = TargetState::Leaving;
    }
    make_plan(store, operator, intent(change, note)).await
}

fn intent(change: ConfigChange, note: String) -> Intent {
    Intent {
        changes: vec![change],
        note,
    }
}
