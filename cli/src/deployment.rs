//! Descriptions of deployments, and the configuration and load plan derived from them.

use std::net::SocketAddr;

use damaskloom_lib::config::PolicyMode;
use damaskloom_lib::config::{
    Customer, DetectionMode, FleetConfig, KeyState, Route, Service, Target, TargetState,
};
use damaskloom_lib::ids::{CustomerId, DataCentreId, IdError, Revision, ServiceId};
use damaskloom_lib::key::RawKey;
use damaskloom_lib::key_table::KeyEntry;
use damaskloom_testutils::load_plan::{CustomerLoad, LoadPlan, RequestKind};
use damaskloom_testutils::target_settings::{ServiceTime, TargetSettings};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// The deployment of the Khövsgöl Ice Escort Company.
pub const KHOVSGOL: &str = include_str!("../../docs/deployments/khovsgol.jsonc");
/// The deployment of Mtkvari Code Works.
pub const MTKVARI: &str = include_str!("../../docs/deployments/mtkvari.jsonc");

/// The error of an invalid deployment description.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// The JSON comments are malformed.
    #[snafu(display("the deployment's comments are malformed"))]
    Comments {
        /// The error of the comment parser.
        source: std::io::Error,
    },
    /// The description is not a valid document.
    #[snafu(display("the deployment is malformed"))]
    Document {
        /// The error of the parser, with the position.
        source: serde_json::Error,
    },
    /// A name in the description makes an invalid target name.
    #[snafu(display("the deployment makes an invalid target name"))]
    Name {
        /// The error of the identifier.
        source: IdError,
    },
}

/// One service of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service's name.
    pub id: ServiceId,
    /// The number of targets.
    pub targets: u32,
    /// The number of slots of each target.
    pub slots: u32,
    /// The connections that each target accepts.
    pub connections: u32,
    /// The number of targets that ejection must leave in use.
    pub floor: u32,
    /// The detection mode, which sets how soon a target is ejected.
    pub detection: DetectionMode,
    /// The objective for the share of successful answers, in parts per million.
    pub objective_ppm: u32,
    /// The mean time in which a target serves a request, in milliseconds.
    pub service_time_ms: f64,
}

/// The description of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name.
    pub name: String,
    /// The data centres.
    pub data_centres: Vec<DataCentreId>,
    /// The number of gateways.
    pub gateways: u32,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// The mix of requests that customers send.
    pub mix: Vec<RequestKind>,
}

/// A target of a deployment that is not started yet, so that it has no address.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// The number of the target within its service.
    pub index: u32,
    /// The settings of its stand-in.
    pub settings: TargetSettings,
}

impl Deployment {
    /// Parses a description in JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the description is malformed.
    pub fn parse(text: impl Into<String>) -> Result<Self, DeploymentError> {
        let mut text = text.into();
        json_strip_comments::strip(&mut text).context(CommentsSnafu)?;
        serde_json::from_str(&text).context(DocumentSnafu)
    }

    /// Returns the key that a customer has in local fleets.
    pub fn customer_key(customer: &CustomerId) -> String {
        format!(
            "dk-{customer}-{:016x}",
            RawKey::new(customer.as_bytes()).digest().as_bytes()[0]
        )
    }

    /// Returns the targets to start.
    pub fn target_specs(&self) -> Vec<TargetSpec> {
        let spec = |service: &ServiceSpec, index| TargetSpec {
            service: service.id.clone(),
            index,
            settings: TargetSettings {
                name: format!("{}-{index}", service.id),
                slots: service.slots,
                queue: 0,
                service_time: ServiceTime::Exponential(service.service_time_ms),
                seed: u64::from(index) + 1,
                ..TargetSettings::default()
            },
        };
        self.services
            .iter()
            .flat_map(|service| (0..service.targets).map(move |index| spec(service, index)))
            .collect()
    }

    /// Returns the configuration for targets at the given addresses, in the order of
    /// [`Deployment::target_specs`].
    ///
    /// # Errors
    ///
    /// Fails if a target's name is not a valid identifier.
    pub fn config(
        &self,
        addresses: &[SocketAddr],
        policy: PolicyMode,
    ) -> Result<FleetConfig, DeploymentError> {
        let mut config = FleetConfig {
            revision: Revision(1),
            ..FleetConfig::default()
        };
        for customer in &self.customers {
            config
                .customers
                .insert(customer.id.clone(), customer.clone());
            let digest = RawKey::new(Self::customer_key(&customer.id)).digest();
            let entry = KeyEntry {
                customer: customer.id.clone(),
                state: KeyState::Granted,
            };
            config.keys.put(digest, entry);
        }
        for route in &self.routes {
            config.routes.insert(route.id.clone(), route.clone());
        }
        for service in &self.services {
            let service = Service {
                id: service.id.clone(),
                floor: service.floor,
                detection: service.detection,
                policy,
                objective_ppm: service.objective_ppm,
            };
            config.services.insert(service.id.clone(), service);
        }
        for (spec, address) in self.target_specs().into_iter().zip(addresses) {
            let target = self.target(&spec, *address)?;
            config.targets.insert(target.id.clone(), target);
        }
        Ok(config)
    }

    fn target(&self, spec: &TargetSpec, address: SocketAddr) -> Result<Target, DeploymentError> {
        let connections = self
            .services
            .iter()
            .find(|service| service.id == spec.service)
            .map_or(0, |service| service.connections);
        Ok(Target {
            id: spec.settings.name.parse().context(NameSnafu)?,
            service: spec.service.clone(),
            address,
            data_centre: self.data_centres[spec.index as usize % self.data_centres.len()].clone(),
            slots: spec.settings.slots,
            connections,
            state: TargetState::Active,
        })
    }

    /// Returns a load plan that sends the given fraction of each customer's rate.
    pub fn load(&self, bootstrap: Vec<SocketAddr>, fraction: f64, duration_ms: u64) -> LoadPlan {
        let customers = self
            .customers
            .iter()
            .map(|customer| {
                let allowed = customer.rate.millis_per_second() as f64 / 1_000.0;
                CustomerLoad {
                    id: customer.id.to_string(),
                    key: Some(Self::customer_key(&customer.id)),
                    rate: allowed * fraction,
                    devices: 8,
                    mix: self.mix.clone(),
                    allowed_rate: Some(allowed),
                    allowed_burst: f64::from(customer.burst.0),
                    ..CustomerLoad::default()
                }
            })
            .collect();
        LoadPlan {
            bootstrap,
            customers,
            duration_ms,
            ..LoadPlan::default()
        }
    }

    /// Returns a smaller copy, with the targets, floors and rates divided by `divisor`.
    pub fn scaled(&self, gateways: u32, divisor: u32) -> Self {
        let mut copy = self.clone();
        copy.gateways = gateways;
        for service in &mut copy.services {
            service.targets = service.targets.div_ceil(divisor);
            service.floor = service.floor.div_ceil(divisor);
        }
        for customer in &mut copy.customers {
            let millis = customer.rate.millis_per_second() / u64::from(divisor);
            customer.rate = damaskloom_lib::units::RequestRate::from_millis_per_second(millis);
        }
        copy
    }
}
