//! A whole deployment in one process on loopback, for the demo and the benchmarks.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskloom_gateway::process::{GatewayProcess, StartError};
use damaskloom_gateway::settings::{GatewaySettings, SettingsError};
use damaskloom_lib::config::{
    ApplyError, ConfigChange, ConfigDelta, FleetConfig, KeyGrant, KeyState, PolicyMode,
};
use damaskloom_lib::directory::{DirectoryMember, EntryStanding};
use damaskloom_lib::ids::{CustomerId, VmId};
use damaskloom_lib::key::RawKey;
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_state::ExecutionRecord;
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::deployment::{Deployment, DeploymentError};

/// Says why a local fleet could not be started or changed.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// The deployment is wrong.
    #[snafu(transparent)]
    Deployment {
        /// What is wrong with it.
        source: DeploymentError,
    },
    /// A target stand-in could not start.
    #[snafu(display("a target stand-in cannot start"))]
    Target {
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings made for a gateway are wrong.
    #[snafu(display("the settings of a gateway are wrong"))]
    Settings {
        /// What is wrong with them.
        source: SettingsError,
    },
    /// A gateway could not start.
    #[snafu(display("a gateway cannot start"))]
    Gateway {
        /// Why.
        source: StartError,
    },
    /// A change of the configuration did not follow the revision in force.
    #[snafu(display("the configuration cannot be changed"))]
    Apply {
        /// Why.
        source: ApplyError,
    },
    /// There is no such customer or gateway.
    #[snafu(display("the fleet has no {name}"))]
    NoSuch {
        /// What was looked for.
        name: String,
    },
}

/// Targets and gateways of one deployment; all end when it is dropped.
pub struct LocalFleet {
    /// The deployment that runs.
    pub deployment: Deployment,
    /// The targets, in the order of the configuration.
    pub targets: Vec<TargetHandle>,
    gateways: Vec<GatewayProcess>,
    config: FleetConfig,
}

impl LocalFleet {
    /// Starts all targets and gateways of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if a part cannot start; the parts that run are ended.
    pub async fn start(deployment: Deployment, policy: PolicyMode) -> Result<Self, FleetError> {
        let mut targets = Vec::new();
        for planned in deployment.planned_targets() {
            targets.push(
                TargetServer::start(planned.settings)
                    .await
                    .context(TargetSnafu)?,
            );
        }
        let addresses: Vec<SocketAddr> = targets.iter().map(TargetHandle::address).collect();
        let config = deployment.config(&addresses, policy)?;
        let mut gateways = Vec::new();
        for index in 0..deployment.gateways {
            let settings = gateway_settings(&deployment, index, &config)?;
            gateways.push(
                GatewayProcess::start(settings)
                    .await
                    .context(GatewaySnafu)?,
            );
        }
        let fleet = Self {
            deployment,
            targets,
            gateways,
            config,
        };
        fleet.publish_members();
        Ok(fleet)
    }

    /// Returns where callers may ask for the directory.
    pub fn bootstrap(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(GatewayProcess::caller_address)
            .collect()
    }

    /// Returns the running gateways.
    pub fn gateways(&self) -> &[GatewayProcess] {
        &self.gateways
    }

    /// Returns what all targets executed so far.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.targets
            .iter()
            .flat_map(TargetHandle::executions)
            .collect()
    }

    /// Puts one change in force on all gateways.
    ///
    /// # Errors
    ///
    /// Fails if a gateway is at another revision than the fleet.
    pub fn change(&mut self, change: ConfigChange) -> Result<(), FleetError> {
        let delta = ConfigDelta {
            revision: self.config.revision.next(),
            changes: vec![change],
        };
        self.config.apply(&delta).context(ApplySnafu)?;
        for gateway in &self.gateways {
            gateway.state.config.apply(&delta).context(ApplySnafu)?;
        }
        Ok(())
    }

    /// Withdraws a customer's key.
    ///
    /// # Errors
    ///
    /// Fails as [`LocalFleet::change`] does.
    pub fn withdraw_key(&mut self, customer: &CustomerId) -> Result<(), FleetError> {
        let digest = RawKey::new(Deployment::key_of(customer)).digest();
        let grant = KeyGrant {
            digest,
            customer: customer.clone(),
            state: KeyState::Withdrawn,
        };
        self.change(ConfigChange::PutKey(grant))
    }

    /// Stops one gateway as planned.
    ///
    /// # Errors
    ///
    /// Fails if there is no gateway left.
    pub async fn stop_gateway(&mut self) -> Result<VmId, FleetError> {
        let gateway = self
            .gateways
            .pop()
            .context(NoSuchSnafu { name: "gateway" })?;
        self.publish_members();
        let state = Arc::clone(&gateway.state);
        gateway.stop().await;
        Ok(state.settings.vm.clone())
    }

    fn publish_members(&self) {
        let members: Vec<DirectoryMember> = self.gateways.iter().map(member).collect();
        for gateway in &self.gateways {
            gateway
                .state
                .directory
                .set_customers(&self.deployment.customers);
            gateway.state.directory.set_members(members.clone());
        }
    }
}

fn member(gateway: &GatewayProcess) -> DirectoryMember {
    DirectoryMember {
        vm: gateway.state.settings.vm.clone(),
        data_centre: gateway.state.settings.data_centre.clone(),
        address: gateway.caller_address(),
        standing: EntryStanding::Serving,
    }
}

fn gateway_settings(
    deployment: &Deployment,
    index: u32,
    config: &FleetConfig,
) -> Result<GatewaySettings, FleetError> {
    let centres = &deployment.data_centres;
    let document = json!({
        "vm": format!("{}-vm-{index}", deployment.name),
        "data_centre": centres[index as usize % centres.len()],
        "caller_listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "directory_lifetime_ms": 1_000,
        "config": config,
    });
    GatewaySettings::parse(document.to_string(), "built-in").context(SettingsSnafu)
}
