//! Starts a gateway's listeners and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use damaskloom_lib::directory::{DirectoryMember, MemberStanding};
use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::membership::ServingStatus;
use damaskloom_lib::registration::MemberRecord;
use damaskloom_platform::client::{ClientSettings, PlatformClient};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::admin_server::run_admin_server;
use crate::caller_server::run_caller_server;
use crate::claim_store::{ClaimStore, claim_client_settings};
use crate::clock::MonoClock;
use crate::control_loop::{
    run_claim_ticks, run_config_changes, run_health_ticks, run_idle_ticks, run_rate_ticks,
};
use crate::control_plane::ControlPlane;
use crate::fleet_registration::register;
use crate::gateway::GatewayState;
use crate::meter_registry::MeterError;
use crate::peer_auth::SharedSecret;
use crate::peer_link::{PeerError, PeerHandle, PeerInbox, PeerLink};
use crate::peer_settings::PeerSettings;
use crate::settings::GatewaySettings;

const STATUS_QUEUE_CAPACITY: usize = 8;
/// The longest time that a planned stop waits for the handover of its claims, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 10_000;
const HANDOVER_CHECK_INTERVAL_MS: u64 = 20;
/// The time for which a stopping gateway still answers members that enter the epoch after it, in
/// milliseconds.
const HANDOVER_LINGER_MS: u64 = 500;

/// The reason why a gateway could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("cannot set up metrics"))]
    Meters {
        /// The error of the metrics library.
        source: MeterError,
    },
    /// The peer link cannot be started.
    #[snafu(display("cannot start the peer link"))]
    Peers {
        /// The error of the peer link.
        source: PeerError,
    },
}

/// A running gateway; dropping it ends the gateway at once.
#[derive(Debug)]
pub struct GatewayProcess {
    /// The state that requests share.
    pub state: Arc<GatewayState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    stop: watch::Sender<bool>,
    status: mpsc::Sender<ServingStatus>,
    caller_task: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
}

/// The resources of a member of a fleet besides its state.
struct FleetLink {
    client: Arc<PlatformClient>,
    claim_store: ClaimStore,
    record: MemberRecord,
    handle: PeerHandle,
    inbox: PeerInbox,
}

impl GatewayProcess {
    /// Starts a gateway on the addresses of its settings.
    ///
    /// With a platform, it returns once the node is registered; requests with keys are refused
    /// until the node has the fleet's configuration and its shares.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a part cannot be set up.
    pub async fn start(settings: GatewaySettings) -> Result<Self, StartError> {
        let caller_listener = listen(settings.caller_listen).await?;
        let admin_listener = listen(settings.admin_listen).await?;
        let caller_address = local_address(&caller_listener, settings.caller_listen)?;
        let admin_address = local_address(&admin_listener, settings.admin_listen)?;
        let clock = MonoClock::start();
        let link = join_fleet(&settings, clock, caller_address).await?;
        let node = match &link {
            Some(link) => link.record.node.clone(),
            None => NodeId {
                vm: settings.vm.clone(),
                incarnation: Incarnation(1),
            },
        };
        let state = GatewayState::new(settings, node, clock).context(MetersSnafu)?;
        state
            .directory
            .set_members([own_member(&state, caller_address)]);
        let (stop, stopped) = watch::channel(false);
        let (status, status_changes) = mpsc::channel(STATUS_QUEUE_CAPACITY);
        let caller_task = tokio::spawn(run_caller_server(
            Arc::clone(&state),
            caller_listener,
            stopped,
        ));
        let mut background_tasks = vec![
            tokio::spawn(run_admin_server(Arc::clone(&state), admin_listener)),
            tokio::spawn(run_idle_ticks(Arc::clone(&state))),
            tokio::spawn(run_rate_ticks(Arc::clone(&state))),
            tokio::spawn(run_claim_ticks(Arc::clone(&state))),
            tokio::spawn(run_health_ticks(Arc::clone(&state))),
            tokio::spawn(run_config_changes(Arc::clone(&state))),
        ];
        if let Some(link) = link {
            state.outbox.open(link.handle);
            state.claims.open_store(link.claim_store);
            let shared = Arc::clone(&state);
            let plane = ControlPlane::new(shared, link.client, link.record, status_changes);
            background_tasks.push(tokio::spawn(plane.run(link.inbox)));
        }
        tracing::info!(node = %state.node, %caller_address, %admin_address, "gateway started");
        Ok(Self {
            state,
            caller_address,
            admin_address,
            stop,
            status,
            caller_task,
            background_tasks,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address that operators' tools connect to.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Performs a planned stop: leaves the directory, serves until callers have refreshed their
    /// directory answers, then ends after the last answer in flight.
    pub async fn stop(mut self) {
        let vm = self.state.settings.vm.clone();
        tracing::info!(%vm, "gateway leaves the directory");
        self.state.set_leaving();
        self.report_status(ServingStatus::Leaving).await;
        tokio::time::sleep(self.state.directory.max_lifetime()).await;
        self.stop.send_replace(true);
        let _ = (&mut self.caller_task).await;
        self.report_status(ServingStatus::Stopping).await;
        self.wait_for_handover().await;
        tracing::info!(%vm, "gateway stopped");
    }

    /// Waits until this gateway has handed over its claims of request ids to the other gateways.
    ///
    /// A gateway that stops earlier is treated like one that crashed: bookings wait until its end
    /// is proven, and the answers that it retained are lost.
    async fn wait_for_handover(&self) {
        if self.state.settings.platform.is_none() {
            return;
        }
        let deadline = Instant::now() + Duration::from_millis(HANDOVER_TIMEOUT_MS);
        while !self.state.claims.has_handed_over() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(HANDOVER_CHECK_INTERVAL_MS)).await;
        }
        // Members that enter the epoch last request their claims during this time.
        tokio::time::sleep(Duration::from_millis(HANDOVER_LINGER_MS)).await;
    }

    async fn report_status(&self, status: ServingStatus) {
        // A gateway without a platform has no control plane that receives the status.
        let _ = self.status.send(status).await;
        tokio::time::sleep(Duration::from_millis(STATUS_REPORT_DELAY_MS)).await;
    }
}

/// The time that is left for reporting a change of status to peers, in milliseconds.
const STATUS_REPORT_DELAY_MS: u64 = 50;

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.caller_task.abort();
        self.background_tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(ListenSnafu { address })
}

/// Registers the node and starts its peer link, if the settings name a platform.
async fn join_fleet(
    settings: &GatewaySettings,
    clock: MonoClock,
    caller_address: SocketAddr,
) -> Result<Option<FleetLink>, StartError> {
    let Some(platform) = settings.platform else {
        return Ok(None);
    };
    let address = settings.peer_listen;
    let listener = std::net::TcpListener::bind(address).context(ListenSnafu { address })?;
    let peer_address = listener.local_addr().context(ListenSnafu { address })?;
    let client = Arc::new(PlatformClient::new(platform, ClientSettings::default()));
    let claim_client = PlatformClient::new(platform, claim_client_settings());
    let record = register(settings, &client, clock, caller_address, peer_address).await;
    let secret = SharedSecret::new(settings.peer_secret.as_bytes());
    let peer_settings = PeerSettings::new(record.node.clone(), peer_address, secret);
    let (handle, inbox) = PeerLink::start_on(listener, peer_settings).context(PeersSnafu)?;
    Ok(Some(FleetLink {
        client,
        claim_store: ClaimStore::new(Arc::new(claim_client)),
        record,
        handle,
        inbox,
    }))
}

fn own_member(state: &GatewayState, address: SocketAddr) -> DirectoryMember {
    DirectoryMember {
        vm: state.settings.vm.clone(),
        data_centre: state.settings.data_centre.clone(),
        address,
        standing: MemberStanding::Serving,
    }
}
