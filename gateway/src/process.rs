//! Starts a gateway's listeners and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use damaskloom_lib::directory::{DirectoryMember, EntryStanding};
use damaskloom_lib::ids::{Incarnation, NodeId};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::admin_server::run_admin_server;
use crate::caller_server::run_caller_server;
use crate::control_loop::{
    run_claim_ticks, run_config_changes, run_health_ticks, run_idle_ticks, run_rate_ticks,
};
use crate::gateway::GatewayState;
use crate::meters::MeterError;
use crate::settings::GatewaySettings;

/// Says why a gateway could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("cannot set up metrics"))]
    Meters {
        /// What the library said.
        source: MeterError,
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
    callers: JoinHandle<()>,
    helpers: Vec<JoinHandle<()>>,
}

impl GatewayProcess {
    /// Starts a gateway on the addresses of its settings.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or the metrics cannot be set up.
    pub async fn start(settings: GatewaySettings) -> Result<Self, StartError> {
        let caller_listener = listen(settings.caller_listen).await?;
        let admin_listener = listen(settings.admin_listen).await?;
        let caller_address = local_address(&caller_listener, settings.caller_listen)?;
        let admin_address = local_address(&admin_listener, settings.admin_listen)?;
        let node = NodeId {
            vm: settings.vm.clone(),
            incarnation: Incarnation(1),
        };
        let state = GatewayState::new(settings, node).context(MetersSnafu)?;
        state
            .directory
            .set_members([own_entry(&state, caller_address)]);
        let (stop, stopped) = watch::channel(false);
        let callers = tokio::spawn(run_caller_server(
            Arc::clone(&state),
            caller_listener,
            stopped,
        ));
        let helpers = vec![
            tokio::spawn(run_admin_server(Arc::clone(&state), admin_listener)),
            tokio::spawn(run_idle_ticks(Arc::clone(&state))),
            tokio::spawn(run_rate_ticks(Arc::clone(&state))),
            tokio::spawn(run_claim_ticks(Arc::clone(&state))),
            tokio::spawn(run_health_ticks(Arc::clone(&state))),
            tokio::spawn(run_config_changes(Arc::clone(&state))),
        ];
        tracing::info!(vm = %state.settings.vm, %caller_address, %admin_address, "gateway started");
        Ok(Self {
            state,
            caller_address,
            admin_address,
            stop,
            callers,
            helpers,
        })
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns where operators' tools connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops as planned: leaves the directory, serves on until callers have asked again, then ends
    /// after the last answer in flight.
    pub async fn stop(mut self) {
        let vm = self.state.settings.vm.clone();
        tracing::info!(%vm, "gateway leaves the directory");
        let lifetime = Duration::from_millis(self.state.settings.directory_lifetime_ms);
        tokio::time::sleep(lifetime).await;
        self.stop.send_replace(true);
        let _ = (&mut self.callers).await;
        tracing::info!(%vm, "gateway stopped");
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.callers.abort();
        self.helpers.iter().for_each(JoinHandle::abort);
    }
}

fn own_entry(state: &GatewayState, address: SocketAddr) -> DirectoryMember {
    DirectoryMember {
        vm: state.settings.vm.clone(),
        data_centre: state.settings.data_centre.clone(),
        address,
        standing: EntryStanding::Serving,
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
