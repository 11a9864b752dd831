//! Deployments as users describe them, and the configuration and load that follow from them.

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

/// Says why a deployment description was rejected.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// The comments are malformed.
    #[snafu(display("the deployment's comments are malformed"))]
    Comments {
        /// What was found.
        source: std::io::Error,
    },
    /// The description is no valid document.
    #[snafu(display("the deployment is malformed"))]
    Document {
        /// What was expected, and where.
        source: serde_json::Error,
    },
    /// A name cannot be made from the description.
    #[snafu(display("the deployment makes a wrong name"))]
    Name {
        /// What is wrong with it.
        source: IdError,
    },
}

/// One service of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ServicePlan {
    /// The service's name.
    pub id: ServiceId,
    /// The number of targets.
    pub targets: u32,
    /// The slots of each target.
    pub slots: u32,
    /// The connections that each target accepts.
    pub connections: u32,
    /// The targets that ejection must leave.
    pub floor: u32,
    /// How eagerly targets are judged.
    pub detection: DetectionMode,
    /// The promised share of good answers, in parts per million.
    pub objective_ppm: u32,
    /// The time in which a target serves a request, in milliseconds.
    pub service_time_ms: f64,
}

/// A deployment: what an operator of the fleet would describe.
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
    pub services: Vec<ServicePlan>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// The kinds of requests that customers send.
    pub mix: Vec<RequestKind>,
}

/// A target of a deployment before it has an address.
#[derive(Clone, Debug)]
pub struct PlannedTarget {
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// The number of the target within its service.
    pub index: u32,
    /// The settings of its stand-in.
    pub settings: TargetSettings,
}

impl Deployment {
    /// Reads a description: JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the description is malformed; the error says where.
    pub fn parse(text: impl Into<String>) -> Result<Self, DeploymentError> {
        let mut text = text.into();
        json_strip_comments::strip(&mut text).context(CommentsSnafu)?;
        serde_json::from_str(&text).context(DocumentSnafu)
    }

    /// Returns the key of a customer in stand-in fleets.
    pub fn key_of(customer: &CustomerId) -> String {
        format!(
            "dk-{customer}-{:016x}",
            RawKey::new(customer.as_bytes()).digest().as_bytes()[0]
        )
    }

    /// Returns the targets to start.
    pub fn planned_targets(&self) -> Vec<PlannedTarget> {
        let of_service = |service: &ServicePlan, index| PlannedTarget {
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
            .flat_map(|service| (0..service.targets).map(move |index| of_service(service, index)))
            .collect()
    }

    /// Makes the configuration for targets at the given addresses, in the order of
    /// [`Deployment::planned_targets`].
    ///
    /// # Errors
    ///
    /// Fails if a target's name would not be valid.
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
            let digest = RawKey::new(Self::key_of(&customer.id)).digest();
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
        for (planned, address) in self.planned_targets().into_iter().zip(addresses) {
            let target = self.target(&planned, *address)?;
            config.targets.insert(target.id.clone(), target);
        }
        Ok(config)
    }

    fn target(
        &self,
        planned: &PlannedTarget,
        address: SocketAddr,
    ) -> Result<Target, DeploymentError> {
        let connections = self
            .services
            .iter()
            .find(|service| service.id == planned.service)
            .map_or(0, |service| service.connections);
        Ok(Target {
            id: planned.settings.name.parse().context(NameSnafu)?,
            service: planned.service.clone(),
            address,
            data_centre: self.data_centres[planned.index as usize % self.data_centres.len()]
                .clone(),
            slots: planned.settings.slots,
            connections,
            state: TargetState::Active,
        })
    }

    /// Makes a load of the given part of each customer's rate.
    pub fn load(&self, bootstrap: Vec<SocketAddr>, part: f64, duration_ms: u64) -> LoadPlan {
        let customers = self
            .customers
            .iter()
            .map(|customer| {
                let allowed = customer.rate.millis_per_second() as f64 / 1_000.0;
                CustomerLoad {
                    id: customer.id.to_string(),
                    key: Some(Self::key_of(&customer.id)),
                    rate: allowed * part,
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

    /// Makes a smaller copy: fewer targets, and rates and floors in proportion.
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
