//! The key of a configuration object: its kind and its id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::ConfigChange;
use crate::ids::{CustomerId, RouteId, ServiceId, TargetId};
use crate::key::KeyDigest;

/// The kind and id of a configuration object; written as in `customer/acme`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub enum ObjectKey {
    /// A customer.
    Customer(CustomerId),
    /// A key.
    Key(KeyDigest),
    /// A route.
    Route(RouteId),
    /// A service.
    Service(ServiceId),
    /// A target.
    Target(TargetId),
}

/// The error for a text that is not an object key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("an object is written KIND/ID with customer, key, route, service or target"))]
pub struct ObjectKeyError;

impl ObjectKey {
    /// Returns the change that removes the object.
    pub fn removal(&self) -> ConfigChange {
        match self {
            Self::Customer(id) => ConfigChange::RemoveCustomer(id.clone()),
            Self::Key(digest) => ConfigChange::RemoveKey(*digest),
            Self::Route(id) => ConfigChange::RemoveRoute(id.clone()),
            Self::Service(id) => ConfigChange::RemoveService(id.clone()),
            Self::Target(id) => ConfigChange::RemoveTarget(id.clone()),
        }
    }
}

impl From<&ConfigChange> for ObjectKey {
    fn from(change: &ConfigChange) -> Self {
        match change {
            ConfigChange::PutCustomer(customer) => Self::Customer(customer.id.clone()),
            ConfigChange::RemoveCustomer(id) => Self::Customer(id.clone()),
            ConfigChange::PutKey(grant) => Self::Key(grant.digest),
            ConfigChange::RemoveKey(digest) => Self::Key(*digest),
            ConfigChange::PutRoute(route) => Self::Route(route.id.clone()),
            ConfigChange::RemoveRoute(id) => Self::Route(id.clone()),
            ConfigChange::PutService(service) => Self::Service(service.id.clone()),
            ConfigChange::RemoveService(id) => Self::Service(id.clone()),
            ConfigChange::PutTarget(target) => Self::Target(target.id.clone()),
            ConfigChange::RemoveTarget(id) => Self::Target(id.clone()),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(id) => write!(f, "customer/{id}"),
            Self::Key(digest) => write!(f, "key/{digest}"),
            Self::Route(id) => write!(f, "route/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Target(id) => write!(f, "target/{id}"),
        }
    }
}

impl FromStr for ObjectKey {
    type Err = ObjectKeyError;

    fn from_str(text: &str) -> Result<Self, ObjectKeyError> {
        let (kind, id) = text.split_once('/').ok_or(ObjectKeyError)?;
        let key = match kind {
            "customer" => id.parse().ok().map(Self::Customer),
            "key" => id.parse().ok().map(Self::Key),
            "route" => id.parse().ok().map(Self::Route),
            "service" => id.parse().ok().map(Self::Service),
            "target" => id.parse().ok().map(Self::Target),
            _ => None,
        };
        key.ok_or(ObjectKeyError)
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = ObjectKeyError;

    fn try_from(text: String) -> Result<Self, ObjectKeyError> {
        text.parse()
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> String {
        key.to_string()
    }
}
