//! The configuration in force, indexed for lookups on the request path.

use std::sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard};

use damaskloom_lib::config::{
    ApplyError, ConfigChange, ConfigDelta, Customer, FleetConfig, Route, Service, Target,
};
use damaskloom_lib::ids::{CustomerId, Revision, ServiceId, TargetId};
use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::key_table::KeyStatus;
use damaskloom_lib::route_table::RouteTable;
use indexmap::IndexMap;
use tokio::sync::watch;

#[derive(Debug, Default)]
struct ViewState {
    config: FleetConfig,
    routes: RouteTable,
    targets: IndexMap<ServiceId, Arc<Vec<Target>>>,
}

/// The configuration in force on this node.
///
/// Lookups hold a read lock for one hash lookup. The cost of a delta depends on the size of the
/// delta, not of the configuration.
#[derive(Debug)]
pub struct ConfigView {
    state: RwLock<ViewState>,
    changed: watch::Sender<Revision>,
}

impl Default for ConfigView {
    fn default() -> Self {
        let (changed, _) = watch::channel(Revision::default());
        Self {
            state: RwLock::default(),
            changed,
        }
    }
}

impl ConfigView {
    /// Replaces the configuration by a newer revision; an older or equal one is ignored.
    pub fn replace(&self, config: FleetConfig) {
        let mut state = self.write();
        if config.revision <= state.config.revision {
            return;
        }
        state.routes = config.routes.values().collect();
        state.targets = IndexMap::new();
        for target in config.targets.values() {
            let targets = state.targets.entry(target.service.clone()).or_default();
            Arc::make_mut(targets).push(target.clone());
        }
        state.config = config;
        self.changed.send_replace(state.config.revision);
    }

    /// Applies the delta that follows the revision in force.
    ///
    /// # Errors
    ///
    /// Fails if the delta does not follow the revision in force, which then stays unchanged.
    pub fn apply(&self, delta: &ConfigDelta) -> Result<(), ApplyError> {
        let mut state = self.write();
        let old_prefixes: Vec<String> = delta
            .changes
            .iter()
            .filter_map(|change| match change {
                ConfigChange::RemoveRoute(id) => state.config.routes.get(id),
                ConfigChange::PutRoute(route) => state.config.routes.get(&route.id),
                _ => None,
            })
            .map(|route| route.path_prefix.clone())
            .collect();
        let services = state.changed_services(delta);
        state.config.apply(delta)?;
        old_prefixes
            .iter()
            .for_each(|prefix| state.routes.remove(prefix));
        for change in &delta.changes {
            if let ConfigChange::PutRoute(route) = change {
                state.routes.insert(Arc::new(route.clone()));
            }
        }
        for service in services {
            let targets: Vec<Target> = state.config.targets_of(&service).cloned().collect();
            state.targets.insert(service, Arc::new(targets));
        }
        self.changed.send_replace(delta.revision);
        Ok(())
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.read().config.revision
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.changed.subscribe()
    }

    /// Returns the status of the key with this digest.
    pub fn key_status(&self, digest: &KeyDigest) -> KeyStatus {
        let state = self.read();
        match state.config.keys.lookup(digest) {
            // The removal of a customer invalidates its keys.
            KeyStatus::Granted(customer) if !state.config.customers.contains_key(&customer) => {
                KeyStatus::Withdrawn
            }
            status => status,
        }
    }

    /// Returns the route of a path.
    pub fn route(&self, path: &str) -> Option<Arc<Route>> {
        self.read().routes.find(path).cloned()
    }

    /// Returns a customer.
    pub fn customer(&self, id: &CustomerId) -> Option<Customer> {
        self.read().config.customers.get(id).cloned()
    }

    /// Returns all customers.
    pub fn customers(&self) -> Vec<Customer> {
        self.read().config.customers.values().cloned().collect()
    }

    /// Returns a service.
    pub fn service(&self, id: &ServiceId) -> Option<Service> {
        self.read().config.services.get(id).cloned()
    }

    /// Returns all services.
    pub fn services(&self) -> Vec<Service> {
        self.read().config.services.values().cloned().collect()
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &ServiceId) -> Arc<Vec<Target>> {
        self.read()
            .targets
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns a target.
    pub fn target(&self, id: &TargetId) -> Option<Target> {
        self.read().config.targets.get(id).cloned()
    }

    /// Calls `read` with the whole configuration; it must be short, since changes wait for it.
    pub fn with<R>(&self, read: impl FnOnce(&FleetConfig) -> R) -> R {
        read(&self.read().config)
    }

    /// Returns a copy of the whole configuration.
    pub fn snapshot(&self) -> FleetConfig {
        self.read().config.clone()
    }

    fn read(&self) -> RwLockReadGuard<'_, ViewState> {
        self.state
            .read()
            .expect("no holder of the configuration lock panics")
    }

    fn write(&self) -> RwLockWriteGuard<'_, ViewState> {
        self.state
            .write()
            .expect("no holder of the configuration lock panics")
    }
}

impl ViewState {
    fn changed_services(&self, delta: &ConfigDelta) -> Vec<ServiceId> {
        let mut services = Vec::new();
        for change in &delta.changes {
            let id = match change {
                ConfigChange::PutTarget(target) => {
                    services.push(target.service.clone());
                    &target.id
                }
                ConfigChange::RemoveTarget(id) => id,
                _ => continue,
            };
            services.extend(
                self.config
                    .targets
                    .get(id)
                    .map(|target| target.service.clone()),
            );
        }
        services.sort();
        services.dedup();
        services
    }
}
