//! Dispatches API calls by path and method, and checks the operator's role.

use std::sync::Arc;

use bytes::Bytes;
use damaskloom_lib::confirm::PlanOutcome;
use damaskloom_lib::ids::{CustomerId, PlanId, Revision};
use damaskloom_lib::object_key::ObjectKey;
use damaskloom_lib::plan::Intent;
use damaskloom_lib::platform::TableStore;
use damaskloom_lib::table_layout::{AUDIT_PREFIX, AuditRow, OperatorRole, audit_key};
use damaskloom_platform::client::PlatformClient;
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};

use crate::api_error::{ApiError, BadRequestSnafu, BadRowSnafu, NotFoundSnafu};
use crate::auth::{Caller, add_operator, authenticate};
use crate::keys::{drain_target, grant_key, list_keys, read_object, rotate_key, withdraw_key};
use crate::plans::{confirm_plan, list_plans, make_plan, read_plan};
use crate::settings::OperatorSettings;
use crate::snapshot::SnapshotWriter;
use crate::status::fleet_status;
use crate::wire::{AuditList, GrantRequest, KeyRequest};

/// The largest number of records that one read of the audit trail returns.
const AUDIT_PAGE_SIZE: usize = 100;

/// A received API call with its whole body.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query, if there is one.
    pub query: Option<String>,
    /// The headers, which carry the caller's credential.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The response to an API call: a status and a JSON document.
#[derive(Clone, Debug)]
pub struct ApiReply {
    /// The status.
    pub status: StatusCode,
    /// The JSON document.
    pub body: Bytes,
}

impl ApiReply {
    fn new(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("responses have text keys only");
        Self {
            status,
            body: body.into(),
        }
    }
}

impl From<ApiError> for ApiReply {
    fn from(error: ApiError) -> Self {
        Self::new(error.status(), &error.body())
    }
}

/// Serves API calls. All state that outlives a call is in the platform's table.
#[derive(Debug)]
pub struct OperatorApi {
    platform: Arc<PlatformClient>,
    settings: OperatorSettings,
    snapshots: SnapshotWriter,
}

impl OperatorApi {
    /// Creates the API with a client of the platform that the settings name.
    pub fn new(settings: OperatorSettings) -> Self {
        let platform = PlatformClient::new(settings.platform, settings.platform_client.clone());
        Self {
            platform: Arc::new(platform),
            settings,
            snapshots: SnapshotWriter::default(),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &OperatorSettings {
        &self.settings
    }

    /// Serves a call; an error becomes a response with its status and code.
    pub async fn serve(&self, call: ApiCall) -> ApiReply {
        self.dispatch(&call).await.unwrap_or_else(ApiReply::from)
    }

    async fn dispatch(&self, call: &ApiCall) -> Result<ApiReply, ApiError> {
        let bootstrap = self.settings.bootstrap_credential;
        let caller = authenticate(self.platform.as_ref(), bootstrap, &call.headers).await?;
        let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (&call.method, segments.as_slice()) {
            (&Method::GET, path) => {
                caller.require(OperatorRole::Read)?;
                self.read(path, call).await
            }
            (&Method::POST, ["v1", "plans", id, "confirm"]) => {
                caller.require(OperatorRole::Confirm)?;
                self.confirm(&caller, id).await
            }
            (&Method::POST, ["v1", "operators"]) => {
                let request = parse_body(call)?;
                let response = add_operator(self.platform.as_ref(), &caller, request).await?;
                Ok(ApiReply::new(StatusCode::CREATED, &response))
            }
            (&Method::POST, path) => {
                caller.require(OperatorRole::Plan)?;
                self.plan(&caller, path, call).await
            }
            _ => unknown_path(call),
        }
    }

    async fn read(&self, path: &[&str], call: &ApiCall) -> Result<ApiReply, ApiError> {
        let store = self.platform.as_ref();
        match path {
            ["v1", "plans"] => ok(&list_plans(store).await?),
            ["v1", "plans", id] => ok(&read_plan(store, &parse_id(id)?).await?),
            ["v1", "objects", kind, id] => {
                let object: ObjectKey = parse_id(&format!("{kind}/{id}"))?;
                ok(&read_object(store, &object).await?)
            }
            ["v1", "customers", id, "keys"] => {
                let customer: CustomerId = parse_id(id)?;
                ok(&list_keys(store, customer).await?)
            }
            ["v1", "audit"] => ok(&self.audit(call.query.as_deref()).await?),
            ["v1", "status"] => ok(&fleet_status(store, &self.settings).await),
            _ => unknown_path(call),
        }
    }

    async fn plan(
        &self,
        caller: &Caller,
        path: &[&str],
        call: &ApiCall,
    ) -> Result<ApiReply, ApiError> {
        let (store, operator) = (self.platform.as_ref(), &caller.operator);
        match path {
            ["v1", "plans"] => {
                let intent: Intent = parse_body(call)?;
                created(&make_plan(store, operator, intent).await?)
            }
            ["v1", "keys", "grant"] => {
                let request: GrantRequest = parse_body(call)?;
                created(&grant_key(store, operator, request.customer).await?)
            }
            ["v1", "keys", "withdraw"] => {
                let request: KeyRequest = parse_body(call)?;
                created(&withdraw_key(store, operator, request.digest).await?)
            }
            ["v1", "keys", "rotate"] => {
                let request: KeyRequest = parse_body(call)?;
                created(&rotate_key(store, operator, request.digest).await?)
            }
            ["v1", "targets", id, "drain"] => {
                created(&drain_target(store, operator, parse_id(id)?).await?)
            }
            _ => unknown_path(call),
        }
    }

    async fn confirm(&self, caller: &Caller, id: &str) -> Result<ApiReply, ApiError> {
        let id: PlanId = parse_id(id)?;
        let response = confirm_plan(self.platform.as_ref(), &caller.operator, id).await?;
        let status = match &response.outcome {
            PlanOutcome::Accepted(_) => {
                let interval = self.settings.snapshot_every;
                self.snapshots.start(self.platform.clone(), interval);
                StatusCode::OK
            }
            PlanOutcome::Refused(_) => StatusCode::CONFLICT,
        };
        Ok(ApiReply::new(status, &response))
    }

    async fn audit(&self, query: Option<&str>) -> Result<AuditList, ApiError> {
        let after = query
            .and_then(|query| query.strip_prefix("after="))
            .map(parse_id::<Revision>)
            .transpose()?
            .unwrap_or_default();
        let after = audit_key(after);
        let scan = self
            .platform
            .scan(AUDIT_PREFIX, Some(&after), AUDIT_PAGE_SIZE);
        let mut records = Vec::new();
        for row in scan.await? {
            let record = AuditRow::deserialize(&row.value).ok();
            records.push(record.context(BadRowSnafu { key: row.key })?);
        }
        Ok(AuditList { records })
    }
}

fn ok(body: &impl Serialize) -> Result<ApiReply, ApiError> {
    Ok(ApiReply::new(StatusCode::OK, body))
}

fn created(body: &impl Serialize) -> Result<ApiReply, ApiError> {
    Ok(ApiReply::new(StatusCode::CREATED, body))
}

fn unknown_path(call: &ApiCall) -> Result<ApiReply, ApiError> {
    let what = format!("{} {}", call.method, call.path);
    NotFoundSnafu { what }.fail()
}

fn parse_id<T: std::str::FromStr>(raw: &str) -> Result<T, ApiError> {
    let detail = format!("{raw:?} is not a valid name here");
    raw.parse().ok().context(BadRequestSnafu { detail })
}

fn parse_body<T: DeserializeOwned>(call: &ApiCall) -> Result<T, ApiError> {
    let detail = "the body is empty";
    ensure!(!call.body.is_empty(), BadRequestSnafu { detail });
    serde_json::from_slice(&call.body).map_err(|error| ApiError::BadRequest {
        detail: error.to_string(),
    })
}
