//! Runs a whole deployment in one process on loopback, for the demo and the benchmarks.

use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_gateway::gateway::GatewayState;
use damaskloom_gateway::process::{GatewayProcess, StartError};
use damaskloom_gateway::settings::{GatewaySettings, SettingsError};
use damaskloom_lib::config::{ConfigChange, KeyGrant, KeyState, PolicyMode};
use damaskloom_lib::ids::{CustomerId, Revision, VmId};
use damaskloom_lib::key::RawKey;
use damaskloom_lib::platform::{VmEntry, VmState};
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_state::ExecutionRecord;
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::deployment::{Deployment, DeploymentError};
use crate::local_platform::{LocalPlatform, LocalPlatformError};

/// The error of a local fleet that cannot be started or changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// The deployment is invalid.
    #[snafu(transparent)]
    Deployment {
        /// The error of the deployment.
        source: DeploymentError,
    },
    /// A target stand-in could not start.
    #[snafu(display("a target stand-in cannot start"))]
    Target {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings generated for a gateway are invalid.
    #[snafu(display("the settings of a gateway are invalid"))]
    Settings {
        /// The error of the settings.
        source: SettingsError,
    },
    /// A gateway could not start.
    #[snafu(display("a gateway cannot start"))]
    Gateway {
        /// The cause.
        source: StartError,
    },
    /// The platform stand-in failed.
    #[snafu(transparent)]
    Platform {
        /// The cause.
        source: LocalPlatformError,
    },
    /// A condition did not become true in time.
    #[snafu(display("timed out waiting until {event}"))]
    Timeout {
        /// The condition.
        event: &'static str,
    },
    /// The fleet has no gateway left.
    #[snafu(display("the fleet has no {name}"))]
    NotFound {
        /// The kind of part that is missing.
        name: String,
    },
}

/// The platform stand-in, targets and gateways of one deployment; all stop when it is dropped.
pub struct LocalFleet {
    /// The deployment that runs.
    pub deployment: Deployment,
    /// The platform stand-in.
    pub platform: LocalPlatform,
    /// The targets, in the order of the configuration.
    pub targets: Vec<TargetHandle>,
    gateways: Vec<GatewayProcess>,
}

/// The time limit for a condition on all gateways, such as readiness to serve.
const WAIT_TIMEOUT_MS: u64 = 30_000;
const WAIT_POLL_INTERVAL_MS: u64 = 20;

impl LocalFleet {
    /// Starts the platform and all targets and gateways of a deployment, and waits until every
    /// gateway serves.
    ///
    /// # Errors
    ///
    /// Fails if a part cannot start; the parts that run are stopped.
    pub async fn start(deployment: Deployment, policy: PolicyMode) -> Result<Self, FleetError> {
        let mut targets = Vec::new();
        for spec in deployment.target_specs() {
            targets.push(
                TargetServer::start(spec.settings)
                    .await
                    .context(TargetSnafu)?,
            );
        }
        let addresses: Vec<SocketAddr> = targets.iter().map(TargetHandle::address).collect();
        let config = deployment.config(&addresses, policy)?;
        let platform = LocalPlatform::start(&config).await?;
        let starts = (0..deployment.gateways).map(|index| {
            let settings = gateway_settings(&deployment, index, platform.address());
            async move { GatewayProcess::start(settings?).await.context(GatewaySnafu) }
        });
        let gateways = futures::future::try_join_all(starts).await?;
        let fleet = Self {
            deployment,
            platform,
            targets,
            gateways,
        };
        fleet.publish_vms();
        let members = fleet.gateways.len();
        fleet
            .wait_until("every gateway serves", |state| {
                state.may_serve_keyed()
                    && state.epoch.members().len() == members
                    && state.epoch.unsettled_members().is_empty()
            })
            .await?;
        Ok(fleet)
    }

    /// Returns the addresses at which callers can request the directory.
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

    /// Returns the records of all requests that targets executed so far.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.targets
            .iter()
            .flat_map(TargetHandle::executions)
            .collect()
    }

    /// Withdraws a customer's key and returns the revision that does it.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the change.
    pub async fn withdraw_key(&mut self, customer: &CustomerId) -> Result<Revision, FleetError> {
        let digest = RawKey::new(Deployment::customer_key(customer)).digest();
        let grant = KeyGrant {
            digest,
            customer: customer.clone(),
            state: KeyState::Withdrawn,
        };
        Ok(self
            .platform
            .accept(vec![ConfigChange::PutKey(grant)])
            .await?)
    }

    /// Waits until a revision is in force on every gateway.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 30 seconds.
    pub async fn wait_for_revision(&self, revision: Revision) -> Result<(), FleetError> {
        let event = "a revision is in force everywhere";
        self.wait_until(event, |state| state.config.revision() >= revision)
            .await
    }

    /// Stops one gateway abruptly, as the loss of its VM does.
    ///
    /// # Errors
    ///
    /// Fails if there is no gateway left.
    pub fn kill_gateway(&mut self) -> Result<VmId, FleetError> {
        let gateway = self
            .gateways
            .pop()
            .context(NotFoundSnafu { name: "gateway" })?;
        let vm = gateway.state.settings.vm.clone();
        drop(gateway);
        self.publish_vms();
        Ok(vm)
    }

    /// Stops one gateway gracefully.
    ///
    /// # Errors
    ///
    /// Fails if there is no gateway left.
    pub async fn stop_gateway(&mut self) -> Result<VmId, FleetError> {
        let gateway = self
            .gateways
            .pop()
            .context(NotFoundSnafu { name: "gateway" })?;
        let vm = gateway.state.settings.vm.clone();
        gateway.stop().await;
        self.publish_vms();
        Ok(vm)
    }

    /// Waits until a condition holds on every gateway.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 30 seconds.
    pub async fn wait_until(
        &self,
        event: &'static str,
        holds: impl Fn(&GatewayState) -> bool,
    ) -> Result<(), FleetError> {
        for _ in 0..WAIT_TIMEOUT_MS / WAIT_POLL_INTERVAL_MS {
            if self.gateways.iter().all(|gateway| holds(&gateway.state)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(WAIT_POLL_INTERVAL_MS)).await;
        }
        TimeoutSnafu { event }.fail()
    }

    fn publish_vms(&self) {
        let vms = self.gateways.iter().filter_map(|gateway| {
            Some(VmEntry {
                id: gateway.state.settings.vm.clone(),
                data_centre: gateway.state.settings.data_centre.clone(),
                peer_address: gateway.state.outbox.handle()?.local_address(),
                state: VmState::Live,
            })
        });
        self.platform.server().set_vms(&vms.collect::<Vec<_>>());
    }
}

fn gateway_settings(
    deployment: &Deployment,
    index: u32,
    platform: SocketAddr,
) -> Result<GatewaySettings, FleetError> {
    let centres = &deployment.data_centres;
    let document = json!({
        "vm": format!("{}-vm-{index}", deployment.name),
        "data_centre": centres[index as usize % centres.len()],
        "caller_listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": platform,
        "peer_secret": "a secret for loopback only",
        "directory_lifetime_ms": 1_000,
    });
    GatewaySettings::parse(document.to_string(), "built-in").context(SettingsSnafu)
}
