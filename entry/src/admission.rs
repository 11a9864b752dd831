//! Admits requests: finds the route and the customer of the key, and checks the customer's rate.

use std::rc::Rc;
use std::time::{Duration, Instant};

use damaskloom_gateway::request_check::check_request;
use damaskloom_lib::config::RouteAccess;
use damaskloom_lib::fleet_rate::LimitDecision;
use damaskloom_lib::ids::CustomerId;
use damaskloom_lib::key::RawKey;
use damaskloom_lib::loss_meter::RequestOutcome;
use damaskloom_lib::routing::{PriorityRank, RouteRule, RoutingTable, RoutingVersion};
use damaskloom_platform::header_names::{REQUEST_ID, caller_key, time_left_ms};
use http::header::HOST;
use http::request::Parts;

use crate::caller_answer::{CallerRefusal, RefusalReason};
use crate::entry_state::EntryState;
use crate::request_deadline::RequestDeadline;

/// The `Retry-After` time of refusals by a node that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The `Retry-After` time of refusals by a node with an outdated configuration: enough for a caller
/// to reach another node.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Returns the caller's id of the request for log lines; `-` if there is none.
pub fn request_id(parts: &Parts) -> &str {
    let id = parts.headers.get(REQUEST_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// A request that passed all admission checks.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The version of the configuration that admitted the request.
    pub version: RoutingVersion,
    /// The route that matched.
    pub route: RouteRule,
    /// The customer that the request's key belongs to; none on open routes without a known key.
    pub customer: Option<CustomerId>,
    /// The priority of the request when the service is short of capacity.
    pub priority: PriorityRank,
    /// The time by which the caller must have its answer.
    pub deadline: RequestDeadline,
}

/// Admits a request or refuses it.
///
/// # Errors
///
/// Returns the reason of the refusal; the request was not sent to any target.
pub fn admit(
    state: &EntryState,
    parts: &Parts,
    arrival: Instant,
) -> Result<AdmittedRequest, CallerRefusal> {
    check_request(parts).map_err(|_| RefusalReason::BadRequest)?;
    let table = state.routing.borrow().clone();
    let table = table.ok_or(CallerRefusal::after(
        RefusalReason::NotConfigured,
        UNCONFIGURED_RETRY_AFTER,
    ))?;
    if state.is_routing_outdated() {
        return Err(CallerRefusal::after(
            RefusalReason::OutdatedConfiguration,
            OUTDATED_RETRY_AFTER,
        ));
    }
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("");
    let route = table
        .route(host, parts.uri.path())
        .ok_or(RefusalReason::UnknownRoute)?
        .clone();
    let (customer, customer_priority) = find_customer(&table, &route, parts)?;
    if let Some(customer) = &customer {
        let decision = state.rates.borrow_mut().decide(state.clock.now(), customer);
        if let LimitDecision::Refuse(exceeded) = decision {
            tracing::info!(
                request = request_id(parts),
                %customer,
                level = exceeded.level,
                share = exceeded.share,
                unheard = exceeded.unconfirmed_peers,
                "customer over its rate"
            );
            // The floor binds whatever the reason for which requests are not served.
            for destination in &route.destinations {
                state.record_request_outcome(&destination.service, RequestOutcome::Lost);
            }
            return Err(CallerRefusal::after(
                RefusalReason::RateExceeded,
                exceeded.wait,
            ));
        }
    }
    let mut wait = route.timeout;
    if let Some(left_ms) = time_left_ms(&parts.headers) {
        wait = wait.min(Duration::from_millis(left_ms));
    }
    Ok(AdmittedRequest {
        version: table.document().version,
        priority: customer_priority.unwrap_or(route.priority),
        route,
        customer,
        deadline: RequestDeadline::after(&state.clock, wait.saturating_sub(arrival.elapsed())),
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
