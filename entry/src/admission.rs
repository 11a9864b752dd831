//! Who asks for what: route, key, customer and rate of a request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use damaskloom_gateway::request_check::check_request;
use damaskloom_lib::config::RouteAccess;
use damaskloom_lib::fleet_rate::LimitDecision;
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::key::RawKey;
use damaskloom_lib::routing::{PriorityRank, RouteRule, RoutingTable, RoutingVersion};
use damaskloom_platform::header_names::{REQUEST_ID, caller_key, time_left_ms};
use http::header::HOST;
use http::request::Parts;

use crate::caller_answer::{CallerRefusal, RefusalReason};
use crate::entry_state::EntryState;

/// The time after which a caller may do better at a node that has no configuration yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);

/// Returns the id that the caller gave the request, for log lines.
pub fn request_id(parts: &Parts) -> &str {
    let id = parts.headers.get(REQUEST_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// A request that may run.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The version of the configuration that admitted the request.
    pub version: RoutingVersion,
    /// The route that matched.
    pub route: RouteRule,
    /// The customer whose key came with the request.
    pub customer: Option<CustomerId>,
    /// The rank of the request when the service is short of capacity.
    pub priority: PriorityRank,
    /// When the caller gets its final answer at the latest.
    pub deadline: Instant,
}

/// Admits a request, or says why it is refused.
///
/// # Errors
///
/// The refusal is final for this sending; nothing of the request has run.
pub fn admit(
    state: &EntryState,
    parts: &Parts,
    arrival: Instant,
) -> Result<AdmittedRequest, CallerRefusal> {
    check_request(parts).map_err(|_| RefusalReason::BadRequest)?;
    let table = state.routing.borrow().clone();
    let table = table.ok_or(CallerRefusal::after(
        RefusalReason::NotConfigured,
        UNCONFIGURED_RETRY,
    ))?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("");
    let route = table
        .route(host, parts.uri.path())
        .ok_or(RefusalReason::UnknownRoute)?
        .clone();
    let (customer, rank) = find_customer(&table, &route, parts)?;
    if let Some(customer) = &customer {
        let answer = state.rates.borrow_mut().decide(state.clock.now(), customer);
        if let LimitDecision::Refuse(shortage) = answer {
            tracing::info!(
                request = request_id(parts),
                %customer,
                level = shortage.level,
                share = shortage.share,
                unheard = shortage.unconfirmed_peers,
                "over rate"
            );
            return Err(CallerRefusal::after(
                RefusalReason::RateExceeded,
                shortage.wait,
            ));
        }
    }
    let mut wait = route.timeout;
    if let Some(left_ms) = time_left_ms(&parts.headers) {
        wait = wait.min(Duration::from_millis(left_ms));
    }
    Ok(AdmittedRequest {
        version: table.document().version,
        priority: rank.unwrap_or(route.priority),
        route,
        customer,
        deadline: arrival + wait,
    })
}

fn find_customer(
    table: &Rc<RoutingTable>,
    route: &RouteRule,
    parts: &Parts,
) -> Result<(Option<CustomerId>, Option<PriorityRank>), RefusalReason> {
    if table.document().customers.is_none() {
        return Ok((None, None));
    }
    let digest = caller_key(&parts.headers).map(|key| RawKey::new(key).digest());
    let customer = digest.and_then(|digest| table.customer(&digest));
    match (customer, route.access) {
        (Some(customer), _) => Ok((Some(customer.id.clone()), customer.priority)),
        (None, RouteAccess::Open) => Ok((None, None)),
        (None, RouteAccess::Keyed) => Err(RefusalReason::UnknownKey),
    }
}
