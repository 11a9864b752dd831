//! The routing that operators publish as one document, and its index for requests.
//!
//! A [`RoutingDocument`] is the content of one version; a [`RoutingTable`] indexes it for the lookups
//! of the request path. See [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::admission_policy::ServiceRanks;
use crate::config::{Idempotence, RouteAccess};
use crate::ids::{CustomerId, RouteId, ServiceId};
use crate::key::KeyDigest;

/// The version of a routing document; versions increase and may have gaps.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RoutingVersion(pub u64);

/// The rank of a request when a service is short of capacity; lower ranks go first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PriorityRank(pub u32);

/// A service that a route sends requests to, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// The service's share of requests, relative to the weights of the route's other destinations.
    pub weight: u32,
}

/// A host and path prefix, and how its requests are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// The route's name.
    pub id: RouteId,
    /// The host of the request, in lower case.
    pub host: String,
    /// The path prefix; the longest matching prefix of the host wins.
    pub path_prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotence: Idempotence,
    /// The maximum time from a request's arrival to its answer.
    pub timeout: Duration,
    /// The latency within which an answer has its full value.
    pub latency_objective: Duration,
    /// The rank of the route's requests.
    pub priority: PriorityRank,
    /// The services that requests are sent to; never empty, and at least one weight is positive.
    pub destinations: Vec<Destination>,
    /// The maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Who may use the route.
    pub access: RouteAccess,
}

/// The settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The path that a target's health endpoint answers.
    pub health_path: String,
    /// The maximum number of connections from the whole fleet to each target.
    pub connections: u32,
    /// How targets of the service warm up; none if cold ones are served like others.
    pub warmup: Option<WarmupRule>,
}

/// How the targets of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRule {
    /// How long a target is cold after its start; zero if only targets themselves know.
    pub period: Duration,
    /// The requests a second that a cold target takes from all nodes together.
    pub rate_per_s: f64,
}

/// A customer, its keys and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// The customer's name.
    pub id: CustomerId,
    /// The digests of the customer's valid keys.
    pub keys: Vec<KeyDigest>,
    /// The rank of the customer's requests, which overrides the route's.
    pub priority: Option<PriorityRank>,
    /// The requests per second over the whole fleet; zero for no limit.
    pub rate_per_s: f64,
    /// The requests that may arrive at once beyond the rate.
    pub burst: f64,
}

/// Size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub max_head_bytes: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The time in which a request head must arrive.
    pub head_timeout: Duration,
    /// The time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One published version of the routing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingDocument {
    /// The version.
    pub version: RoutingVersion,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: IndexMap<ServiceId, ServiceRule>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The customers; none if requests need no key.
    pub customers: Option<Vec<CustomerRule>>,
}

impl RoutingDocument {
    /// Returns the digests of all valid keys.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.customers
            .iter()
            .flatten()
            .flat_map(|customer| &customer.keys)
    }

    /// Returns the number of keys of an earlier document that are no longer valid.
    pub fn removed_keys_since(&self, earlier: &Self) -> usize {
        let current: IndexSet<&KeyDigest> = self.keys().collect();
        earlier.keys().filter(|key| !current.contains(key)).count()
    }
}

/// A routing document indexed for the lookups of the request path.
#[derive(Debug, Default)]
pub struct RoutingTable {
    document: RoutingDocument,
    /// The indices of a host's routes, longest prefix first.
    hosts: IndexMap<String, Vec<usize>>,
    keys: IndexMap<KeyDigest, usize>,
    /// The median latency objective of each service's routes.
    latency_objectives: IndexMap<ServiceId, Duration>,
    /// The ranks of each service's requests.
    ranks: IndexMap<ServiceId, ServiceRanks>,
}

impl From<RoutingDocument> for RoutingTable {
    fn from(document: RoutingDocument) -> Self {
        let mut hosts: IndexMap<String, Vec<usize>> = IndexMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes
                .sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path_prefix.len()));
        }
        let mut keys = IndexMap::new();
        for (index, customer) in document.customers.iter().flatten().enumerate() {
            keys.extend(customer.keys.iter().map(|key| (*key, index)));
        }
        Self {
            ranks: service_ranks(&document),
            latency_objectives: latency_objectives(&document.routes),
            document,
            hosts,
            keys,
        }
    }
}

fn service_ranks(document: &RoutingDocument) -> IndexMap<ServiceId, ServiceRanks> {
    let routes = document.routes.iter();
    let services: IndexSet<&ServiceId> = routes
        .flat_map(|route| &route.destinations)
        .map(|destination| &destination.service)
        .collect();
    let services = services.into_iter();
    services
        .map(|service| (service.clone(), ServiceRanks::new(document, service)))
        .collect()
}

fn latency_objectives(routes: &[RouteRule]) -> IndexMap<ServiceId, Duration> {
    let mut objectives: IndexMap<ServiceId, Vec<Duration>> = IndexMap::new();
    for route in routes {
        for destination in &route.destinations {
            let latencies = objectives.entry(destination.service.clone()).or_default();
            latencies.push(route.latency_objective);
        }
    }
    let median = |mut latencies: Vec<Duration>| {
        latencies.sort();
        latencies[latencies.len() / 2]
    };
    objectives
        .into_iter()
        .map(|(service, latencies)| (service, median(latencies)))
        .collect()
}

impl RoutingTable {
    /// Returns the document that the table indexes.
    pub fn document(&self) -> &RoutingDocument {
        &self.document
    }

    /// Finds the route of a request: the longest prefix of its path among the routes of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        let routes = self.hosts.get(host)?.iter();
        routes
            .map(|index| &self.document.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the latency objective of a service: the median over its routes, so that a single outlier
    /// has no effect.
    pub fn latency_objective(&self, service: &ServiceId) -> Option<Duration> {
        self.latency_objectives.get(service).copied()
    }

    /// Returns the ranks of the requests to a service; none if no route leads to it.
    pub fn ranks(&self, service: &ServiceId) -> Option<&ServiceRanks> {
        self.ranks.get(service)
    }

    /// Finds the customer that holds a key.
    pub fn customer(&self, key: &KeyDigest) -> Option<&CustomerRule> {
        let index = *self.keys.get(key)?;
        self.document.customers.as_ref()?.get(index)
    }
}
