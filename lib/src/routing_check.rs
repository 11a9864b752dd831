//! Checks a routing document before it is published: errors, entries that can never match, and limits that
//! contradict each other.
//!
//! A document that can be read may still refuse every request of a route. The checks need nothing but the document,
//! so operators can run them before they write it. See
//! [docs/operators/changes.md](../../docs/operators/changes.md).

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

use crate::config::RouteAccess;
use crate::ids::{CustomerId, RouteId, ServiceId};
use crate::key::KeyDigest;
use crate::routing::{RouteRule, RoutingDocument};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingLevel {
    /// Requests are refused or handled otherwise than the document says.
    Error,
    /// An entry has no effect, or an unusual one.
    Warning,
}

/// A limit that another one makes useless.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitConflict {
    /// The time within which answers have their full value is longer than the timeout.
    ObjectiveBeyondTimeout,
    /// The timeout is zero, so that every request fails.
    NoTime,
    /// The service may have no connection to its targets.
    NoConnections,
    /// The customer has a rate, but no request may arrive at once.
    RateWithoutBurst,
    /// The customer has a burst, but no rate, which means no limit.
    BurstWithoutRate,
    /// A connection may be idle for less time than a request head may take.
    IdleBeforeHead,
}

impl LimitConflict {
    const fn level(self) -> FindingLevel {
        match self {
            Self::NoTime | Self::NoConnections | Self::RateWithoutBurst => FindingLevel::Error,
            Self::ObjectiveBeyondTimeout | Self::BurstWithoutRate | Self::IdleBeforeHead => {
                FindingLevel::Warning
            }
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Self::ObjectiveBeyondTimeout => "the latency objective is longer than the timeout",
            Self::NoTime => "the timeout is zero, so that every request fails",
            Self::NoConnections => "no connection to targets is allowed",
            Self::RateWithoutBurst => {
                "the rate has a burst below one request, so that none is admitted"
            }
            Self::BurstWithoutRate => "the burst has no effect without a rate",
            Self::IdleBeforeHead => {
                "idle connections close before a request head may take its time"
            }
        }
    }
}

/// Something in a routing document that an operator hardly means.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "finding")]
pub enum RoutingFinding {
    /// A route sends requests to a service that the document does not define.
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same name.
    RepeatedRoute {
        /// The name.
        route: RouteId,
    },
    /// Two customers have the same name.
    RepeatedCustomer {
        /// The name.
        customer: CustomerId,
    },
    /// Two customers hold the same key; requests with it count as the later one's.
    SharedKey {
        /// The first customer.
        customer: CustomerId,
        /// The customer whose requests those with the key are.
        taken_by: CustomerId,
        /// The key's digest.
        key: KeyDigest,
    },
    /// A path prefix does not begin and end with a slash.
    BadPrefix {
        /// The route.
        route: RouteId,
    },
    /// A host that no request names, since the port is no part of it.
    BadHost {
        /// The route.
        route: RouteId,
    },
    /// A route never matches, since an earlier one has the same host and prefix.
    HiddenRoute {
        /// The route.
        route: RouteId,
        /// The route that gets its requests.
        hidden_by: RouteId,
    },
    /// A route needs a key, but no customer has one: all its requests are refused.
    NoKeyFits {
        /// The route.
        route: RouteId,
    },
    /// A part of a split never gets a request.
    WeightlessPart {
        /// The route.
        route: RouteId,
        /// The service of the part.
        service: ServiceId,
    },
    /// No route sends requests to a service.
    UnusedService {
        /// The service.
        service: ServiceId,
    },
    /// A customer has no key, so that no request is its own.
    CustomerWithoutKey {
        /// The customer.
        customer: CustomerId,
    },
    /// Limits contradict each other.
    Conflict {
        /// The object that has them.
        object: String,
        /// The contradiction.
        conflict: LimitConflict,
    },
}

impl RoutingFinding {
    /// Returns how serious the finding is.
    pub const fn level(&self) -> FindingLevel {
        match self {
            Self::UnknownService { .. }
            | Self::RepeatedRoute { .. }
            | Self::RepeatedCustomer { .. }
            | Self::SharedKey { .. }
            | Self::BadPrefix { .. }
            | Self::BadHost { .. }
            | Self::HiddenRoute { .. }
            | Self::NoKeyFits { .. } => FindingLevel::Error,
            Self::WeightlessPart { .. }
            | Self::UnusedService { .. }
            | Self::CustomerWithoutKey { .. } => FindingLevel::Warning,
            Self::Conflict { conflict, .. } => conflict.level(),
        }
    }
}

impl fmt::Display for RoutingFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not defined")
            }
            Self::RepeatedRoute { route } => write!(f, "route {route}: the name is used twice"),
            Self::RepeatedCustomer { customer } => {
                write!(f, "customer {customer}: the name is used twice")
            }
            Self::SharedKey {
                customer,
                taken_by,
                key,
            } => write!(
                f,
                "customer {customer}: requests with key {key} count as customer {taken_by}'s"
            ),
            Self::BadPrefix { route } => write!(
                f,
                "route {route}: the prefix must begin and end with a slash"
            ),
            Self::BadHost { route } => write!(
                f,
                "route {route}: the host must be a name without a port, or it never matches"
            ),
            Self::HiddenRoute { route, hidden_by } => write!(
                f,
                "route {route}: never matches, route {hidden_by} has the same host and prefix"
            ),
            Self::NoKeyFits { route } => write!(
                f,
                "route {route}: needs a key, but no customer has one, so that all requests are refused"
            ),
            Self::WeightlessPart { route, service } => {
                write!(
                    f,
                    "route {route}: service {service} has weight 0 and gets no request"
                )
            }
            Self::UnusedService { service } => {
                write!(f, "service {service}: no route sends requests to it")
            }
            Self::CustomerWithoutKey { customer } => {
                write!(
                    f,
                    "customer {customer}: has no key, so that no request is its own"
                )
            }
            Self::Conflict { object, conflict } => write!(f, "{object}: {}", conflict.text()),
        }
    }
}

/// Returns what is wrong with a document, errors first.
pub fn check_routing(document: &RoutingDocument) -> Vec<RoutingFinding> {
    let mut findings = Vec::new();
    check_routes(document, &mut findings);
    check_services(document, &mut findings);
    check_customers(document, &mut findings);
    if document.limits.idle_timeout < document.limits.head_timeout {
        findings.push(RoutingFinding::Conflict {
            object: "limits".to_owned(),
            conflict: LimitConflict::IdleBeforeHead,
        });
    }
    findings.sort_by_key(RoutingFinding::level);
    findings
}

fn check_routes(document: &RoutingDocument, findings: &mut Vec<RoutingFinding>) {
    let has_keys = document.customers.is_none() || document.keys().next().is_some();
    let mut names: IndexMap<&RouteId, ()> = IndexMap::new();
    let mut places: IndexMap<(&str, &str), &RouteId> = IndexMap::new();
    for rule in &document.routes {
        let route = rule.id.clone();
        if names.insert(&rule.id, ()).is_some() {
            findings.push(RoutingFinding::RepeatedRoute {
                route: route.clone(),
            });
        }
        let prefix = &rule.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            findings.push(RoutingFinding::BadPrefix {
                route: route.clone(),
            });
        }
        if rule.host.is_empty() || rule.host.contains([':', '/']) {
            findings.push(RoutingFinding::BadHost {
                route: route.clone(),
            });
        }
        match places.get(&(rule.host.as_str(), prefix.as_str())) {
            Some(first) => findings.push(RoutingFinding::HiddenRoute {
                route: route.clone(),
                hidden_by: (*first).clone(),
            }),
            None => {
                places.insert((&rule.host, prefix), &rule.id);
            }
        }
        if rule.access == RouteAccess::Keyed && !has_keys {
            findings.push(RoutingFinding::NoKeyFits {
                route: route.clone(),
            });
        }
        check_destinations(document, rule, findings);
        let conflict = if rule.timeout == Duration::ZERO {
            Some(LimitConflict::NoTime)
        } else if rule.latency_objective > rule.timeout {
            Some(LimitConflict::ObjectiveBeyondTimeout)
        } else {
            None
        };
        findings.extend(conflict.map(|conflict| RoutingFinding::Conflict {
            object: format!("route {route}"),
            conflict,
        }));
    }
}

fn check_destinations(
    document: &RoutingDocument,
    rule: &RouteRule,
    findings: &mut Vec<RoutingFinding>,
) {
    for destination in &rule.destinations {
        let (route, service) = (rule.id.clone(), destination.service.clone());
        if !document.services.contains_key(&service) {
            findings.push(RoutingFinding::UnknownService { route, service });
        } else if destination.weight == 0 {
            findings.push(RoutingFinding::WeightlessPart { route, service });
        }
    }
}

fn check_services(document: &RoutingDocument, findings: &mut Vec<RoutingFinding>) {
    for (service, rule) in &document.services {
        let mut destinations = document.routes.iter().flat_map(|rule| &rule.destinations);
        if !destinations.any(|destination| destination.service == *service) {
            findings.push(RoutingFinding::UnusedService {
                service: service.clone(),
            });
        }
        if rule.connections == 0 {
            findings.push(RoutingFinding::Conflict {
                object: format!("service {service}"),
                conflict: LimitConflict::NoConnections,
            });
        }
    }
}

fn check_customers(document: &RoutingDocument, findings: &mut Vec<RoutingFinding>) {
    let mut names: IndexMap<&CustomerId, ()> = IndexMap::new();
    let mut holders: IndexMap<&KeyDigest, &CustomerId> = IndexMap::new();
    for rule in document.customers.iter().flatten() {
        let customer = rule.id.clone();
        if names.insert(&rule.id, ()).is_some() {
            findings.push(RoutingFinding::RepeatedCustomer {
                customer: customer.clone(),
            });
        }
        if rule.keys.is_empty() {
            findings.push(RoutingFinding::CustomerWithoutKey {
                customer: customer.clone(),
            });
        }
        for key in &rule.keys {
            let earlier = holders.insert(key, &rule.id);
            if let Some(earlier) = earlier.filter(|earlier| **earlier != rule.id) {
                findings.push(RoutingFinding::SharedKey {
                    customer: earlier.clone(),
                    taken_by: customer.clone(),
                    key: *key,
                });
            }
        }
        let conflict = if rule.rate_per_s > 0.0 && rule.burst < 1.0 {
            Some(LimitConflict::RateWithoutBurst)
        } else if rule.rate_per_s <= 0.0 && rule.burst > 0.0 {
            Some(LimitConflict::BurstWithoutRate)
        } else {
            None
        };
        findings.extend(conflict.map(|conflict| RoutingFinding::Conflict {
            object: format!("customer {customer}"),
            conflict,
        }));
    }
}
