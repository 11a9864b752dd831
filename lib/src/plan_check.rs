//! The checks of a plan when it is made and again when it is confirmed.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::config::ConfigChange;
use crate::ids::{CustomerId, ServiceId};
use crate::usage::{UsageKey, UsageMap, UsageRow};

/// The greatest number of keys of one customer, working and withdrawn together.
pub const MAX_KEYS_PER_CUSTOMER: usize = 64;

/// The longest path prefix of a route, in bytes.
pub const MAX_PREFIX_BYTES: usize = 512;

/// The whole, in parts per million.
const PPM_WHOLE: u32 = 1_000_000;

/// A warning to the operator before a plan is confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanWarning {
    /// The service will have fewer targets that take new requests than its floor.
    FloorUnreachable {
        /// The service.
        service: ServiceId,
        /// The floor after the plan.
        floor: u32,
        /// The number of targets that take new requests after the plan.
        active_targets: u64,
    },
    /// Keys of the customer will stop working.
    KeysStop {
        /// The customer.
        customer: CustomerId,
        /// The number of keys that stop working.
        keys: u64,
    },
    /// The service will have fewer targets that take new requests than before.
    CapacityLost {
        /// The service.
        service: ServiceId,
        /// The number of targets that take new requests before the plan.
        before: u64,
        /// The number of targets that take new requests after the plan.
        after: u64,
    },
}

impl PlanWarning {
    /// Returns whether an operator who has seen `other` has been warned of this too.
    ///
    /// Both must be of the same kind and service, whatever their numbers, or `other` must warn of
    /// at least as many keys of the same customer.
    pub fn is_covered_by(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::FloorUnreachable { service, .. },
                Self::FloorUnreachable { service: other, .. },
            )
            | (Self::CapacityLost { service, .. }, Self::CapacityLost { service: other, .. }) => {
                service == other
            }
            (
                Self::KeysStop { customer, keys },
                Self::KeysStop {
                    customer: other,
                    keys: known,
                },
            ) => customer == other && keys <= known,
            _ => false,
        }
    }
}

impl fmt::Display for PlanWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FloorUnreachable {
                service,
                floor,
                active_targets,
            } => write!(
                f,
                "service {service} will have {active_targets} targets that take work, \
                 under its floor of {floor}"
            ),
            Self::KeysStop { customer, keys } => {
                write!(f, "{keys} keys of customer {customer} will stop working")
            }
            Self::CapacityLost {
                service,
                before,
                after,
            } => write!(
                f,
                "service {service} will go from {before} to {after} targets that take work"
            ),
        }
    }
}

/// The reason why a set of changes would leave the configuration inconsistent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum IntegrityError {
    /// An object names a customer or service that does not exist.
    #[snafu(display("{parent} does not exist"))]
    ParentMissing {
        /// The customer or service.
        parent: UsageKey,
    },
    /// A service is to be removed while routes or targets name it.
    #[snafu(display("{parent} is still used by {routes} routes and {targets} targets"))]
    ParentInUse {
        /// The service.
        parent: UsageKey,
        /// The number of routes that name it.
        routes: u64,
        /// The number of targets that name it.
        targets: u64,
    },
    /// Two routes would have the same path prefix.
    #[snafu(display("another route has {prefix}"))]
    PrefixTaken {
        /// The prefix.
        prefix: UsageKey,
    },
    /// A customer would have more than [`MAX_KEYS_PER_CUSTOMER`] keys.
    #[snafu(display("{parent} would have more than {MAX_KEYS_PER_CUSTOMER} keys"))]
    TooManyKeys {
        /// The customer.
        parent: UsageKey,
    },
}

/// Checks the usages after a plan, and returns the warnings.
///
/// # Errors
///
/// Fails if the configuration would be inconsistent.
pub fn check_usages(
    before: &UsageMap,
    after: &UsageMap,
) -> Result<Vec<PlanWarning>, IntegrityError> {
    let mut warnings = Vec::new();
    let absent = UsageRow::default();
    for (key, row) in after {
        let old = before.get(key).unwrap_or(&absent);
        match key {
            UsageKey::Customer(customer) => {
                check_parent(key, old, row)?;
                let keys = row.granted_keys.len() + row.withdrawn_keys.len();
                ensure!(
                    keys <= MAX_KEYS_PER_CUSTOMER,
                    TooManyKeysSnafu {
                        parent: key.clone()
                    }
                );
                warnings.extend(keys_warning(customer, old, row));
            }
            UsageKey::Service(service) => {
                check_parent(key, old, row)?;
                warnings.extend(capacity_warnings(service, old, row));
            }
            UsageKey::Prefix(_) => {
                ensure!(
                    row.routes <= 1,
                    PrefixTakenSnafu {
                        prefix: key.clone()
                    }
                );
            }
        }
    }
    Ok(warnings)
}

fn check_parent(key: &UsageKey, old: &UsageRow, new: &UsageRow) -> Result<(), IntegrityError> {
    if new.exists || !new.has_dependants() {
        return Ok(());
    }
    let parent = key.clone();
    if old.exists {
        let (routes, targets) = (new.routes, new.targets);
        return ParentInUseSnafu {
            parent,
            routes,
            targets,
        }
        .fail();
    }
    ParentMissingSnafu { parent }.fail()
}

fn keys_warning(customer: &CustomerId, old: &UsageRow, new: &UsageRow) -> Option<PlanWarning> {
    let keys = old.granted_keys.difference(&new.granted_keys).count() as u64;
    (keys > 0).then(|| PlanWarning::KeysStop {
        customer: customer.clone(),
        keys,
    })
}

fn capacity_warnings(
    service: &ServiceId,
    old: &UsageRow,
    new: &UsageRow,
) -> impl Iterator<Item = PlanWarning> {
    let floor = PlanWarning::FloorUnreachable {
        service: service.clone(),
        floor: new.floor,
        active_targets: new.active_targets,
    };
    let lost = PlanWarning::CapacityLost {
        service: service.clone(),
        before: old.active_targets,
        after: new.active_targets,
    };
    let under_floor = new.exists && u64::from(new.floor) > new.active_targets;
    let loses = new.active_targets < old.active_targets;
    let floor = under_floor.then_some(floor);
    floor.into_iter().chain(loses.then_some(lost))
}

/// Checks the values of one object.
///
/// # Errors
///
/// Fails with a description of the rule that is broken.
pub fn check_object(change: &ConfigChange) -> Result<(), &'static str> {
    let (holds, message) = match change {
        ConfigChange::PutCustomer(customer) => {
            (customer.weight >= 1, "a customer's weight is at least 1")
        }
        ConfigChange::PutRoute(route) => {
            let prefix = &route.path_prefix;
            let holds = prefix.starts_with('/')
                && prefix.len() <= MAX_PREFIX_BYTES
                && prefix.bytes().all(|byte| byte.is_ascii_graphic())
                && route.deadline_ms >= 1;
            (
                holds,
                "a route has a visible ASCII prefix that starts with / and is not too long, \
                 and a deadline of at least 1 ms",
            )
        }
        ConfigChange::PutService(service) => (
            service.objective_ppm <= PPM_WHOLE,
            "a service's objective is at most 1000000 parts per million",
        ),
        ConfigChange::PutTarget(target) => (
            target.slots >= 1 && target.connections >= 1,
            "a target has at least one slot and one connection",
        ),
        _ => (true, ""),
    };
    if holds { Ok(()) } else { Err(message) }
}
