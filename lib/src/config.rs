//! The configuration that operators confirm and all nodes apply.
//!
//! A [`FleetConfig`] is the state at one [`Revision`]; a [`ConfigDelta`] leads from one revision to the
//! next. A configuration changes only by applying deltas in order, so no node can return to an earlier
//! revision. See [docs/design/configuration.md](../../docs/design/configuration.md).

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::ids::{CustomerId, DataCentreId, Revision, RouteId, ServiceId, TargetId};
use crate::key::KeyDigest;
use crate::key_table::{KeyEntry, KeyTable};
use crate::object_list;
use crate::units::{BurstSize, ByteSize, RequestRate};

/// A customer and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Customer {
    /// The customer's name.
    pub id: CustomerId,
    /// The request rate over the whole fleet.
    pub rate: RequestRate,
    /// The requests that may arrive at once over the whole fleet, beyond the rate.
    pub burst: BurstSize,
    /// The customer's weight when a service is short of capacity.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

const fn default_weight() -> u32 {
    1
}

/// Whether a key is valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Requests with the key are served.
    Granted,
    /// Requests with the key are refused; the digest is kept so that the refusal can state the reason.
    Withdrawn,
}

/// A key and the customer that it authenticates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct KeyGrant {
    /// The key's digest.
    pub digest: KeyDigest,
    /// The customer that the key belongs to.
    pub customer: CustomerId,
    /// Whether the key is valid.
    pub state: KeyState,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Only requests with a granted key.
    Keyed,
    /// Every request.
    Open,
}

/// Whether requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotence {
    /// Executing a request again has no further effect, so it may be retried and hedged.
    Idempotent,
    /// A request is executed at most once.
    #[default]
    NonIdempotent,
}

/// The format of directory answers; old devices understand one format only.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryFormat {
    /// A JSON document.
    #[default]
    Json,
    /// One `address:port` per line.
    Lines,
}

/// A path prefix that is served by one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub id: RouteId,
    /// The path prefix; the longest matching prefix wins.
    pub path_prefix: String,
    /// The service that serves the route.
    pub service: ServiceId,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Whether a request may be executed more than once.
    #[serde(default)]
    pub idempotence: Idempotence,
    /// The header that carries the caller's request id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id_header: Option<String>,
    /// The format of directory answers for the route.
    #[serde(default)]
    pub directory_format: DirectoryFormat,
    /// The time from a request's arrival to the end of its answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The largest request body.
    #[serde(default = "default_max_body")]
    pub max_body: ByteSize,
}

const fn default_deadline_ms() -> u64 {
    10_000
}

const fn default_max_body() -> ByteSize {
    ByteSize(16 << 20)
}

/// The trade-off between fast detection and wrong ejections for a service's targets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DetectionMode {
    /// Detects failures soonest, at the cost of more wrong ejections.
    Fast,
    /// Balances both costs.
    #[default]
    Balanced,
    /// Ejects on strong evidence only.
    Careful,
}

/// The policies that a service is served by.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyMode {
    /// The fleet's own policies.
    #[default]
    Adaptive,
    /// Round robin, ejection after five consecutive errors, static limits, first come first served.
    Baseline,
}

/// A set of targets that can serve the same requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub id: ServiceId,
    /// The minimum number of targets that remain after ejections.
    pub floor: u32,
    /// The trade-off between fast detection and wrong ejections.
    #[serde(default)]
    pub detection: DetectionMode,
    /// The policies that apply.
    #[serde(default)]
    pub policy: PolicyMode,
    /// The service level objective: the fraction of successful answers, in parts per million.
    #[serde(default = "default_objective_ppm")]
    pub objective_ppm: u32,
}

const fn default_objective_ppm() -> u32 {
    999_000
}

/// Whether a target gets new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target gets new requests.
    #[default]
    Active,
    /// The target is leaving and gets no new requests.
    Leaving,
}

/// One server of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Target {
    /// The target's name.
    pub id: TargetId,
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The target's data centre.
    pub data_centre: DataCentreId,
    /// The maximum number of requests that the target runs at once.
    pub slots: u32,
    /// The maximum number of connections that the target accepts from all gateways together.
    pub connections: u32,
    /// Whether the target gets new requests.
    #[serde(default)]
    pub state: TargetState,
}

/// One change of one object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Adds or replaces a customer.
    PutCustomer(Customer),
    /// Removes a customer, which invalidates its keys.
    RemoveCustomer(CustomerId),
    /// Adds or replaces a key.
    PutKey(KeyGrant),
    /// Removes a key permanently.
    RemoveKey(KeyDigest),
    /// Adds or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(RouteId),
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService(ServiceId),
    /// Adds or replaces a target.
    PutTarget(Target),
    /// Removes a target.
    RemoveTarget(TargetId),
}

/// The changes from the previous revision to `revision`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfigDelta {
    /// The revision that the changes lead to.
    pub revision: Revision,
    /// The changes, in order.
    pub changes: Vec<ConfigChange>,
}

/// The reason why a delta was not applied; the configuration is unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ApplyError {
    /// The delta does not follow the configuration's revision.
    #[snafu(display("revision {offered} does not follow revision {held}"))]
    NotNext {
        /// The revision of the configuration.
        held: Revision,
        /// The revision of the delta.
        offered: Revision,
    },
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetConfig {
    /// The revision that the configuration is at.
    pub revision: Revision,
    /// All customers.
    #[serde(with = "object_list::customers", default)]
    pub customers: IndexMap<CustomerId, Customer>,
    /// All keys, granted and withdrawn.
    #[serde(default)]
    pub keys: KeyTable,
    /// All routes.
    #[serde(with = "object_list::routes", default)]
    pub routes: IndexMap<RouteId, Route>,
    /// All services.
    #[serde(with = "object_list::services", default)]
    pub services: IndexMap<ServiceId, Service>,
    /// All targets.
    #[serde(with = "object_list::targets", default)]
    pub targets: IndexMap<TargetId, Target>,
}

impl FleetConfig {
    /// Applies the delta that follows this revision.
    ///
    /// # Errors
    ///
    /// Fails with [`ApplyError::NotNext`] if the delta is old, repeated or leaves a gap.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Result<(), ApplyError> {
        ensure!(
            delta.revision == self.revision.next(),
            NotNextSnafu {
                held: self.revision,
                offered: delta.revision
            }
        );
        delta.changes.iter().for_each(|change| self.put(change));
        self.revision = delta.revision;
        Ok(())
    }

    /// Applies the changes of one part of a snapshot without changing the revision.
    ///
    /// The result is consistent only after all parts were applied, so this must not be used on a
    /// configuration in force.
    pub(crate) fn put_objects(&mut self, changes: &[ConfigChange]) {
        changes.iter().for_each(|change| self.put(change));
    }

    /// Applies one change without changing the revision, to build a configuration from parts.
    pub fn put(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::PutCustomer(customer) => {
                self.customers.insert(customer.id.clone(), customer.clone());
            }
            ConfigChange::RemoveCustomer(id) => {
                self.customers.swap_remove(id);
            }
            ConfigChange::PutKey(grant) => {
                self.put_key(grant);
            }
            ConfigChange::RemoveKey(digest) => {
                self.keys.remove(digest);
            }
            ConfigChange::PutRoute(route) => {
                self.routes.insert(route.id.clone(), route.clone());
            }
            ConfigChange::RemoveRoute(id) => {
                self.routes.swap_remove(id);
            }
            ConfigChange::PutService(service) => {
                self.services.insert(service.id.clone(), service.clone());
            }
            ConfigChange::RemoveService(id) => {
                self.services.swap_remove(id);
            }
            ConfigChange::PutTarget(target) => {
                self.targets.insert(target.id.clone(), target.clone());
            }
            ConfigChange::RemoveTarget(id) => {
                self.targets.swap_remove(id);
            }
        }
    }

    /// Adds or replaces a key whose customer name shares its bytes with the customer's entry, which
    /// halves the memory per key.
    fn put_key(&mut self, grant: &KeyGrant) {
        let held = self.customers.get_key_value(&grant.customer);
        let entry = KeyEntry {
            customer: held.map_or(&grant.customer, |(id, _)| id).clone(),
            state: grant.state,
        };
        self.keys.put(grant.digest, entry);
    }

    /// Returns the changes that build this configuration from an empty one.
    pub fn changes(&self) -> impl Iterator<Item = ConfigChange> {
        let services = self
            .services
            .values()
            .cloned()
            .map(ConfigChange::PutService);
        let targets = self.targets.values().cloned().map(ConfigChange::PutTarget);
        let routes = self.routes.values().cloned().map(ConfigChange::PutRoute);
        let customers = self
            .customers
            .values()
            .cloned()
            .map(ConfigChange::PutCustomer);
        let keys = self.keys.iter().map(ConfigChange::PutKey);
        services
            .chain(targets)
            .chain(routes)
            .chain(customers)
            .chain(keys)
    }

    /// Returns the targets of a service, in configuration order.
    pub fn targets_of(&self, service: &ServiceId) -> impl Iterator<Item = &Target> {
        self.targets
            .values()
            .filter(move |target| &target.service == service)
    }
}
