//! Authenticates operators by their credentials and checks their roles.

use damaskloom_lib::ids::OperatorId;
use damaskloom_lib::key::{KeyDigest, RawKey};
use damaskloom_lib::platform::{Condition, Mutation, RowKey, TableStore, Transaction};
use damaskloom_lib::table_layout::{OperatorRole, OperatorRow, operator_key};
use http::{HeaderMap, header};
use serde::Deserialize;
use snafu::{OptionExt, ensure};

use crate::api_error::{
    ApiError, BadRequestSnafu, BadRowSnafu, ForbiddenSnafu, UnauthenticatedSnafu,
};
use crate::keys::new_secret;
use crate::wire::{OperatorRequest, OperatorResponse};

/// The operator name of the bootstrap credential.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// The prefix of operators' credentials, which distinguishes them from customers' keys.
const CREDENTIAL_PREFIX: &str = "dlo-";

/// An authenticated operator.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) operator: OperatorId,
    pub(crate) role: OperatorRole,
    is_bootstrap: bool,
}

impl Caller {
    /// Returns an error unless the caller has the role or a higher one.
    pub(crate) fn require(&self, role: OperatorRole) -> Result<(), ApiError> {
        ensure!(self.role >= role, ForbiddenSnafu);
        Ok(())
    }
}

/// Finds the operator whose credential the request carries as a bearer token.
///
/// Fails if the credential is missing or unknown.
pub(crate) async fn authenticate(
    store: &impl TableStore,
    bootstrap: Option<KeyDigest>,
    headers: &HeaderMap,
) -> Result<Caller, ApiError> {
    let credential = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .context(UnauthenticatedSnafu)?;
    let digest = RawKey::new(credential).digest();
    if bootstrap == Some(digest) {
        return Ok(Caller {
            operator: bootstrap_operator(),
            role: OperatorRole::Confirm,
            is_bootstrap: true,
        });
    }
    let key = operator_key(&digest);
    let row = store.get(&key).await?.context(UnauthenticatedSnafu)?;
    match OperatorRow::deserialize(&row.value) {
        Ok(row) => Ok(Caller {
            operator: row.operator,
            role: row.role,
            is_bootstrap: false,
        }),
        Err(_) => BadRowSnafu { key }.fail(),
    }
}

fn bootstrap_operator() -> OperatorId {
    BOOTSTRAP_OPERATOR
        .parse()
        .expect("the bootstrap name is a valid identifier")
}

/// Creates an operator's credential. Only the bootstrap operator may do so, since an operator
/// could otherwise raise its own role.
pub(crate) async fn add_operator(
    store: &impl TableStore,
    caller: &Caller,
    request: OperatorRequest,
) -> Result<OperatorResponse, ApiError> {
    ensure!(caller.is_bootstrap, ForbiddenSnafu);
    let detail = "this name is reserved";
    ensure!(
        request.operator != bootstrap_operator(),
        BadRequestSnafu { detail }
    );
    let credential = new_secret(CREDENTIAL_PREFIX);
    let digest = RawKey::new(credential.as_str()).digest();
    let row = OperatorRow {
        operator: request.operator,
        role: request.role,
    };
    let value = serde_json::to_value(row).expect("operator rows have text keys only");
    insert_new_row(store, operator_key(&digest), value).await?;
    Ok(OperatorResponse { credential, digest })
}

/// Inserts a row with a random key, and retries once.
///
/// Since the key is random, a conflict can only come from the first attempt.
pub(crate) async fn insert_new_row(
    store: &impl TableStore,
    key: RowKey,
    value: serde_json::Value,
) -> Result<(), ApiError> {
    let transaction = Transaction {
        conditions: vec![Condition::Absent(key.clone())],
        mutations: vec![Mutation::Put(key, value)],
    };
    if store.commit(&transaction).await.is_err() {
        store.commit(&transaction).await?;
    }
    Ok(())
}
