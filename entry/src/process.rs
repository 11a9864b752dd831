//! Starts an entry process and stops it gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use damaskloom_gateway::meter_registry::MeterError;
use damaskloom_lib::stop_plan::StopPlan;
use damaskloom_platform::store_client::StoreClient;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::caller_listener::{serve_callers, serve_directory, serve_metrics, serve_readiness};
use crate::crash_check::run_crash_checks;
use crate::entry_state::EntryState;
use crate::fleet_rows::{join_fleet, keep_fleet_rows};
use crate::grace_check::run_grace_checks;
use crate::path_watch::run_path_tries;
use crate::peer_rows::{run_row_fetches, serve_peers};
use crate::peer_socket::PeerSocket;
use crate::settings::EntrySettings;
use crate::store_watch::{run_target_expiry, watch_routing, watch_targets};
use crate::table_copy::TableKind;
use crate::target_pool::{SystemNetwork, TargetNetwork};

/// The interval at which the settings file is checked for changes, since it may change without a
/// signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum fraction of the grace period for which a stopping node accepts new connections.
const LINGER_RATIO: f64 = 0.4;
/// The process ends this long before the end of the grace period, even if requests still run.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Requests that are taken in a planned stop have their deadline this long before the process ends, so
/// that an answer at the deadline is still sent.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// The interval at which a stopping node checks whether callers are still connected.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The reasons why the process cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("cannot set up metrics: {source}"))]
    Meters {
        /// The library's error.
        source: MeterError,
    },
    /// Signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
}

/// Runs an entry process until it has stopped after SIGTERM or SIGINT; must run in a local task
/// set.
///
/// # Errors
///
/// Fails if an address is in use, the metrics cannot be set up or signal handlers cannot be
/// installed.
pub async fn run(path: PathBuf, settings: EntrySettings) -> Result<(), StartError> {
    let network = SystemNetwork {
        source: settings.target_source,
    };
    run_on(path, settings, Rc::new(network)).await
}

/// Runs an entry process that reaches targets over a given network; see [`run`].
///
/// # Errors
///
/// As [`run`].
pub async fn run_on(
    path: PathBuf,
    settings: EntrySettings,
    network: Rc<dyn TargetNetwork>,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let reload = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let callers = listen(settings.caller_listen).await?;
    let ready = listen(settings.ready_listen).await?;
    let directory = listen(settings.directory_listen).await?;
    let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
    let socket = UdpSocket::bind(peer_address).await;
    let socket = socket.context(ListenSnafu {
        address: peer_address,
    })?;
    let rows = listen(peer_address).await?;
    let peers = Rc::new(PeerSocket::new(socket, &settings));
    let metrics_address = SocketAddr::new(settings.ip, settings.metrics_port);
    let metrics = listen(metrics_address).await?;
    let state = EntryState::new(settings, network).context(MetersSnafu)?;
    let (stop, stopped) = watch::channel(false);
    let callers = tokio::task::spawn_local(serve_callers(Rc::clone(&state), callers, stopped));
    tokio::task::spawn_local(serve_readiness(Rc::clone(&state), ready));
    tokio::task::spawn_local(serve_directory(Rc::clone(&state), directory));
    tokio::task::spawn_local(serve_metrics(Rc::clone(&state), metrics));
    tokio::task::spawn_local(serve_peers(Rc::clone(&state), rows));
    tokio::task::spawn_local(run_row_fetches(Rc::clone(&state), TableKind::Routing));
    tokio::task::spawn_local(run_row_fetches(Rc::clone(&state), TableKind::Targets));
    // One client, so that all its users learn of a restored store from any answer.
    let client = Rc::new(StoreClient::new(state.settings().store));
    tokio::task::spawn_local(join_fleet(Rc::clone(&state), Rc::clone(&client)));
    tokio::task::spawn_local(keep_fleet_rows(Rc::clone(&state), Rc::clone(&client)));
    tokio::task::spawn_local(watch_routing(Rc::clone(&state), Rc::clone(&client)));
    tokio::task::spawn_local(watch_targets(Rc::clone(&state), client));
    tokio::task::spawn_local(run_path_tries(Rc::clone(&state)));
    tokio::task::spawn_local(run_crash_checks(Rc::clone(&state)));
    tokio::task::spawn_local(run_target_expiry(Rc::clone(&state)));
    tokio::task::spawn_local(run_grace_checks(Rc::clone(&state)));
    tokio::task::spawn_local(watch_settings(Rc::clone(&state), path, reload));
    spawn_peers(&state, &peers);
    tracing::info!(vm = %state.settings().vm, started_at_ms = state.started_at_ms, "started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop_gracefully(&state, &peers, &stop).await;
    callers.abort();
    Ok(())
}

fn spawn_peers(state: &Rc<EntryState>, peers: &Rc<PeerSocket>) {
    let spawn = |peer_task: PeerTask| {
        let (state, peers) = (Rc::clone(state), Rc::clone(peers));
        tokio::task::spawn_local(async move {
            match peer_task {
                PeerTask::Heartbeats => peers.run_heartbeats(&state).await,
                PeerTask::Readings => peers.run_readings(&state).await,
                PeerTask::Counts => peers.run_counts(&state).await,
                PeerTask::Signals => peers.run_signals(&state).await,
                PeerTask::Receive => peers.run_receive(&state).await,
            }
        });
    };
    spawn(PeerTask::Heartbeats);
    spawn(PeerTask::Readings);
    spawn(PeerTask::Counts);
    spawn(PeerTask::Signals);
    spawn(PeerTask::Receive);
}

/// The tasks that use the socket between nodes.
#[derive(Clone, Copy, Debug)]
enum PeerTask {
    Heartbeats,
    Readings,
    Counts,
    Signals,
    Receive,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Leaves the directory, keeps accepting connections until callers' directory answers have expired,
/// then stops after the last answer or at the end of the grace period.
async fn stop_gracefully(state: &EntryState, peers: &PeerSocket, stop: &watch::Sender<bool>) {
    let grace = Duration::from_secs_f64(state.settings().bounds.stop_grace_s);
    let started_at = Instant::now();
    let end = started_at + grace.saturating_sub(END_MARGIN);
    state.set_leaving(StopPlan {
        ends_at: state.clock.now() + grace.saturating_sub(END_MARGIN + LAST_ANSWER_MARGIN),
    });
    tracing::info!(in_flight = state.in_flight.get(), "planned stop started");
    peers.send_heartbeat(state);
    let linger = state.directory_lifetime().min(grace.mul_f64(LINGER_RATIO));
    tokio::time::sleep(linger).await;
    stop.send_replace(true);
    // Idle connections close at once; a request may still arrive on one that was just opened.
    // Requests that other nodes have handed on count as connections until they are answered.
    let is_busy = || state.connections.get() > 0 || state.in_flight.get() > 0;
    while is_busy() && Instant::now() < end {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // Lets the last answers leave the socket buffers.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    let took_ms = started_at.elapsed().as_millis() as u64;
    let in_flight = state.in_flight.get();
    let connections = state.connections.get();
    tracing::info!(in_flight, connections, took_ms, "stopped");
}

/// Applies changed settings after SIGHUP or when the file has changed.
async fn watch_settings(state: Rc<EntryState>, path: PathBuf, mut reload: Signal) {
    let mut last_modified = modified_at(&path);
    loop {
        let reload_requested = tokio::select! {
            _ = reload.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let modified = modified_at(&path);
        if !reload_requested && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match EntrySettings::load(&path) {
            Ok(settings) => {
                if settings != *state.settings() {
                    tracing::info!("settings changed");
                    state.change_settings(settings);
                }
            }
            // The current settings stay in use.
            Err(error) => tracing::error!(%error, "settings rejected"),
        }
    }
}

fn modified_at(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}
