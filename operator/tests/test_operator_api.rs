//! Tests the API's calls: racing operators, lost platform answers, roles, keys and snapshots.

use std::net::{Ipv4Addr, SocketAddr};

use damaskloom_lib::config_reader::{read_deltas, read_head, read_snapshot};
use damaskloom_lib::config_snapshot::write_snapshot_if_due;
use damaskloom_lib::confirm::{PlanOutcome, PlanRefusal};
use damaskloom_lib::ids::Revision;
use damaskloom_lib::key::RawKey;
use damaskloom_lib::platform::TableStore;
use damaskloom_lib::table_layout::{OperatorRole, snapshot_key};
use damaskloom_operator::api::{ApiCall, ApiReply, OperatorApi};
use damaskloom_operator::settings::OperatorSettings;
use damaskloom_operator::wire::{
    AuditList, ConfirmResponse, GrantResponse, KeyList, OperatorResponse, PlanView, RotateResponse,
};
use damaskloom_platform::client::{ClientSettings, PlatformClient};
use damaskloom_testutils::platform_faults::{OutageMode, PlatformFaults};
use damaskloom_testutils::platform_server::PlatformServer;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

const BOOTSTRAP: &str = "bootstrap-credential";

struct Fixture {
    platform: PlatformServer,
    settings: OperatorSettings,
}

/// Starts a platform stand-in and two API instances on it, so that operators can race.
async fn start_apis() -> (Fixture, OperatorApi, OperatorApi) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = PlatformServer::start(address).await.unwrap();
    let digest = RawKey::new(BOOTSTRAP).digest();
    let settings = json!({
        "listen": address,
        "platform": platform.address(),
        "platform_client": {
            "attempt_timeout_ms": 10_000,
            "call_timeout_ms": 20_000,
            "reads_per_second": 10_000,
            "writes_per_second": 10_000,
        },
        "bootstrap_credential": digest,
    });
    let settings: OperatorSettings = serde_json::from_value(settings).unwrap();
    let apis = [(); 2].map(|()| OperatorApi::new(settings.clone()));
    let [one, two] = apis;
    (Fixture { platform, settings }, one, two)
}

async fn call(api: &OperatorApi, credential: &str, path: &str, body: Option<Value>) -> ApiReply {
    let mut headers = HeaderMap::new();
    let bearer = HeaderValue::from_str(&format!("Bearer {credential}")).unwrap();
    headers.insert(header::AUTHORIZATION, bearer);
    let method = if body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    api.serve(ApiCall {
        method,
        path: path.to_owned(),
        query: Some(query.to_owned()),
        headers,
        body: body.map(|body| body.to_string()).unwrap_or_default().into(),
    })
    .await
}

async fn post<T: DeserializeOwned>(api: &OperatorApi, path: &str, body: Value) -> T {
    let reply = call(api, BOOTSTRAP, path, Some(body)).await;
    serde_json::from_slice(&reply.body)
        .unwrap_or_else(|_| panic!("{path}: {}", String::from_utf8_lossy(&reply.body)))
}

async fn get<T: DeserializeOwned>(api: &OperatorApi, path: &str) -> T {
    let reply = call(api, BOOTSTRAP, path, None).await;
    serde_json::from_slice(&reply.body).unwrap()
}

fn customer(rate: u32) -> Value {
    json!({"changes": [{"put_customer": {"id": "border-post", "rate": format!("{rate}/s"), "burst": 5}}]})
}

async fn confirm(api: &OperatorApi, plan: &PlanView) -> PlanOutcome {
    let path = format!("/v1/plans/{}/confirm", plan.id);
    post::<ConfirmResponse>(api, &path, json!({})).await.outcome
}

/// Two operators plan a change of the same object and confirm their plans at the same time. Only
/// one plan may be accepted, and the refusal must name it.
#[tokio::test]
async fn second_confirmation_of_a_conflicting_plan_names_the_accepted_plan() {
    let (_fixture, one, two) = start_apis().await;
    let first: PlanView = post(&one, "/v1/plans", customer(10)).await;
    let second: PlanView = post(&two, "/v1/plans", customer(20)).await;
    let (first_outcome, second_outcome) =
        tokio::join!(confirm(&one, &first), confirm(&two, &second));
    let outcomes = [(&first, first_outcome), (&second, second_outcome)];
    let winner = outcomes
        .iter()
        .find(|(_, outcome)| matches!(outcome, PlanOutcome::Accepted(_)));
    let loser = outcomes.iter().find_map(|(_, outcome)| match outcome {
        PlanOutcome::Refused(PlanRefusal::Stale(stale)) => Some(stale),
        _ => None,
    });
    let (winner, loser) = (winner.unwrap().0, loser.unwrap());
    assert_eq!(loser[0].changed_by.as_ref().unwrap().plan, winner.id);
    let audit: AuditList = get(&one, "/v1/audit?after=0").await;
    assert_eq!(audit.records.len(), 1);
}

/// The platform commits a confirmation but its answers are lost, so that the commit is retried, and
/// a second process confirms the plan again.
#[tokio::test]
async fn confirmation_is_applied_once_when_platform_answers_are_lost() {
    let (fixture, one, two) = start_apis().await;
    let plan: PlanView = post(&one, "/v1/plans", customer(10)).await;
    fixture.platform.set_faults(PlatformFaults {
        lose_next_answers: 3,
        ..PlatformFaults::default()
    });
    let first = confirm(&one, &plan).await;
    fixture.platform.set_faults(PlatformFaults::default());
    let again = confirm(&two, &plan).await;
    assert!(matches!(&first, PlanOutcome::Accepted(stamp) if stamp.revision == Revision(1)));
    assert_eq!(first, again);
}

/// A confirmation that times out during an outage must report that the plan is undecided (503), and
/// must not prevent a later confirmation.
#[tokio::test]
async fn retried_confirmation_decides_a_plan_after_a_platform_outage() {
    let (fixture, _, two) = start_apis().await;
    let plan: PlanView = post(&two, "/v1/plans", customer(10)).await;
    let client = ClientSettings {
        call_timeout_ms: 1,
        ..fixture.settings.platform_client.clone()
    };
    let short_timeout_api = OperatorApi::new(OperatorSettings {
        platform_client: client,
        ..fixture.settings.clone()
    });
    fixture.platform.set_faults(PlatformFaults {
        outage: OutageMode::Refuse,
        ..PlatformFaults::default()
    });
    let path = format!("/v1/plans/{}/confirm", plan.id);
    let reply = call(&short_timeout_api, BOOTSTRAP, &path, Some(json!({}))).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    fixture.platform.set_faults(PlatformFaults::default());
    assert!(matches!(
        confirm(&two, &plan).await,
        PlanOutcome::Accepted(_)
    ));
}

#[tokio::test]
async fn both_keys_work_during_a_rotation_and_the_old_one_is_withdrawn() {
    let (fixture, api, _) = start_apis().await;
    let plan: PlanView = post(&api, "/v1/plans", customer(10)).await;
    confirm(&api, &plan).await;
    let request = json!({"customer": "border-post"});
    let old: GrantResponse = post(&api, "/v1/keys/grant", request).await;
    assert_eq!(RawKey::new(old.key.as_str()).digest(), old.digest);
    confirm(&api, &old.plan).await;
    let rotation: RotateResponse =
        post(&api, "/v1/keys/rotate", json!({"digest": old.digest})).await;
    confirm(&api, &rotation.grant.plan).await;
    let both: KeyList = get(&api, "/v1/customers/border-post/keys").await;
    assert_eq!(both.granted, [old.digest, rotation.grant.digest]);
    confirm(&api, &rotation.withdraw).await;
    let after: KeyList = get(&api, "/v1/customers/border-post/keys").await;
    assert_eq!(after.granted, [rotation.grant.digest]);
    assert_eq!(after.withdrawn, [old.digest]);
    // The platform stores digests only, never a key.
    let client = PlatformClient::new(fixture.platform.address(), ClientSettings::default());
    let rows = client.scan("", None, 1_000).await.unwrap();
    let text = serde_json::to_string(&rows).unwrap();
    assert!(!text.contains(&old.key) && !text.contains(&rotation.grant.key));
}

/// The expected statuses are listed by role; each role lists plans, makes a plan, confirms a plan
/// and adds an operator.
#[tokio::test]
async fn calls_are_allowed_by_role_and_need_a_credential() {
    let (_fixture, api, _) = start_apis().await;
    let plan: PlanView = post(&api, "/v1/plans", customer(10)).await;
    let confirm_path = format!("/v1/plans/{}/confirm", plan.id);
    let mut statuses = Vec::new();
    for role in [
        OperatorRole::Read,
        OperatorRole::Plan,
        OperatorRole::Confirm,
    ] {
        let request = json!({"operator": "ada", "role": role});
        let operator: OperatorResponse = post(&api, "/v1/operators", request.clone()).await;
        let credential = operator.credential.as_str();
        let calls = [
            ("/v1/plans", None),
            ("/v1/plans", Some(customer(5))),
            (confirm_path.as_str(), Some(json!({}))),
            ("/v1/operators", Some(request)),
        ];
        for (path, body) in calls {
            statuses.push(call(&api, credential, path, body).await.status.as_u16());
        }
    }
    let expected = [200, 403, 403, 403, 200, 201, 403, 403, 200, 201, 200, 403];
    assert_eq!(statuses, expected);
    let unauthenticated = call(&api, "unknown", "/v1/plans", None).await;
    assert_eq!(unauthenticated.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn snapshot_and_later_deltas_give_the_whole_configuration() {
    let (fixture, api, _) = start_apis().await;
    let client = PlatformClient::new(
        fixture.platform.address(),
        fixture.settings.platform_client.clone(),
    );
    let mut snapshots = Vec::new();
    for rate in 1..=7 {
        let plan: PlanView = post(&api, "/v1/plans", customer(rate)).await;
        confirm(&api, &plan).await;
        snapshots.extend(write_snapshot_if_due(&client, 2, 7).await.unwrap());
    }
    assert_eq!(snapshots, [Revision(2), Revision(4), Revision(6)]);
    assert_eq!(read_head(&client).await, Ok(Revision(7)));
    let mut config = read_snapshot(&client, None).await.unwrap().unwrap();
    assert_eq!(config.revision, Revision(6));
    let deltas = read_deltas(&client, config.revision).await.unwrap();
    deltas.iter().for_each(|delta| config.apply(delta).unwrap());
    assert_eq!(config.customers[0].rate.to_string(), "7/s");
    // Deltas are kept for a node at the snapshot before the last; older ones are deleted.
    let oldest = read_deltas(&client, Revision(0)).await.unwrap()[0].revision;
    assert_eq!(oldest, Revision(5));
    assert_eq!(read_snapshot(&client, Some(Revision(6))).await, Ok(None));
    assert!(client.get(&snapshot_key()).await.unwrap().is_some());
}
