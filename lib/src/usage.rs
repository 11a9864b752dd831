//! Counts of the objects that depend on a customer, a service or a path prefix.
//!
//! A transaction's conditions refer to single rows, so an invariant over a set of objects needs a
//! row of its own: no route refers to a removed service, no two routes have the same prefix, and a
//! service keeps enough targets. Usage rows are written in the same transaction as the objects that
//! they count. They are read again when they have changed, so that plans for different objects of
//! one service do not conflict.

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::config::{ConfigChange, KeyState, TargetState};
use crate::ids::{CustomerId, ServiceId};
use crate::key::KeyDigest;
use crate::platform::RowKey;

/// Identifies the object whose dependants a usage row counts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageKey {
    /// A customer and its keys.
    Customer(CustomerId),
    /// A service, its routes and its targets.
    Service(ServiceId),
    /// A path prefix and the routes that have it.
    Prefix(String),
}

impl UsageKey {
    /// Returns the key of the usage row.
    pub fn row_key(&self) -> RowKey {
        RowKey(format!("usage/{self}"))
    }
}

impl fmt::Display for UsageKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(id) => write!(f, "customer/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Prefix(prefix) => write!(f, "prefix/{prefix}"),
        }
    }
}

/// The dependants of one customer, service or prefix; fields that do not apply are empty.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct UsageRow {
    /// Whether the customer or service itself exists.
    pub exists: bool,
    /// The customer's keys that are granted.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub granted_keys: IndexSet<KeyDigest>,
    /// The customer's keys that were withdrawn.
    #[serde(skip_serializing_if = "IndexSet::is_empty")]
    pub withdrawn_keys: IndexSet<KeyDigest>,
    /// The number of routes.
    pub routes: u64,
    /// The number of targets.
    pub targets: u64,
    /// The number of targets that accept new requests.
    pub active_targets: u64,
    /// The service's floor.
    pub floor: u32,
}

impl UsageRow {
    /// Returns whether objects depend on the customer or service.
    pub fn has_dependants(&self) -> bool {
        self.routes + self.targets > 0
            || !self.granted_keys.is_empty()
            || !self.withdrawn_keys.is_empty()
    }
}

/// The usage rows that a set of changes affects.
pub type UsageMap = IndexMap<UsageKey, UsageRow>;

/// Returns the keys of the usage rows that a change of an object affects.
pub fn touched_usages(change: &ConfigChange) -> Vec<UsageKey> {
    match change {
        ConfigChange::PutCustomer(customer) => vec![UsageKey::Customer(customer.id.clone())],
        ConfigChange::RemoveCustomer(id) => vec![UsageKey::Customer(id.clone())],
        ConfigChange::PutKey(grant) => vec![UsageKey::Customer(grant.customer.clone())],
        ConfigChange::PutRoute(route) => vec![
            UsageKey::Service(route.service.clone()),
            UsageKey::Prefix(route.path_prefix.clone()),
        ],
        ConfigChange::PutService(service) => vec![UsageKey::Service(service.id.clone())],
        ConfigChange::RemoveService(id) => vec![UsageKey::Service(id.clone())],
        ConfigChange::PutTarget(target) => vec![UsageKey::Service(target.service.clone())],
        ConfigChange::RemoveKey(_)
        | ConfigChange::RemoveRoute(_)
        | ConfigChange::RemoveTarget(_) => Vec::new(),
    }
}

/// Updates the counts for a change of an object: removes its old value and adds its new one.
pub fn apply_usage(usages: &mut UsageMap, before: Option<&ConfigChange>, after: &ConfigChange) {
    if let Some(before) = before {
        count_object(usages, before, CountStep::Remove);
    }
    count_object(usages, after, CountStep::Add);
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CountStep {
    Add,
    Remove,
}

impl CountStep {
    fn step(self, count: &mut u64) {
        *count = match self {
            Self::Add => *count + 1,
            Self::Remove => count.saturating_sub(1),
        };
    }

    fn step_set(self, set: &mut IndexSet<KeyDigest>, digest: KeyDigest) {
        match self {
            Self::Add => set.insert(digest),
            Self::Remove => set.shift_remove(&digest),
        };
    }
}

fn count_object(usages: &mut UsageMap, object: &ConfigChange, step: CountStep) {
    match object {
        ConfigChange::PutCustomer(customer) => {
            usage(usages, UsageKey::Customer(customer.id.clone())).exists = step == CountStep::Add;
        }
        ConfigChange::PutKey(grant) => {
            let row = usage(usages, UsageKey::Customer(grant.customer.clone()));
            let set = match grant.state {
                KeyState::Granted => &mut row.granted_keys,
                KeyState::Withdrawn => &mut row.withdrawn_keys,
            };
            step.step_set(set, grant.digest);
        }
        ConfigChange::PutRoute(route) => {
            step.step(&mut usage(usages, UsageKey::Service(route.service.clone())).routes);
            step.step(&mut usage(usages, UsageKey::Prefix(route.path_prefix.clone())).routes);
        }
        ConfigChange::PutService(service) => {
            let row = usage(usages, UsageKey::Service(service.id.clone()));
            row.exists = step == CountStep::Add;
            row.floor = service.floor;
        }
        ConfigChange::PutTarget(target) => {
            let row = usage(usages, UsageKey::Service(target.service.clone()));
            step.step(&mut row.targets);
            if target.state == TargetState::Active {
                step.step(&mut row.active_targets);
            }
        }
        ConfigChange::RemoveCustomer(_)
        | ConfigChange::RemoveKey(_)
        | ConfigChange::RemoveRoute(_)
        | ConfigChange::RemoveService(_)
        | ConfigChange::RemoveTarget(_) => {}
    }
}

fn usage(usages: &mut UsageMap, key: UsageKey) -> &mut UsageRow {
    usages.entry(key).or_default()
}
