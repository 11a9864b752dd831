//! Measures the control cost of a fleet of gateway processes, and the time until a change is in
//! force.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::config::{ConfigChange, Customer, PolicyMode};
use damaskloom_lib::ids::Revision;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::json;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::deployment::{Deployment, DeploymentError, KHOVSGOL};
use crate::local_platform::{LocalPlatform, LocalPlatformError};

const READY_TIMEOUT_MS: u64 = 60_000;
const SETTLE_DELAY_MS: u64 = 5_000;
const IDLE_WINDOW_MS: u64 = 15_000;
const CHANGE_COUNT: u64 = 20;
const CHANGE_INTERVAL_MS: u64 = 200;
const POLL_INTERVAL_MS: u64 = 10;
/// The unit of processor times in `/proc/PID/stat`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The unit of memory sizes in `/proc/PID/statm`: the size of a page.
const PAGE_BYTES: u64 = 4_096;

/// The error of a failed measurement.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The built-in deployment is invalid.
    #[snafu(transparent)]
    Deployment {
        /// The error of the deployment.
        source: DeploymentError,
    },
    /// The platform stand-in failed.
    #[snafu(transparent)]
    Platform {
        /// The cause.
        source: LocalPlatformError,
    },
    /// A process could not be started or inspected.
    #[snafu(display("{action}"))]
    Process {
        /// The failed action.
        action: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The processes did not become ready in time.
    #[snafu(display("the processes were not ready in time"))]
    ReadyTimeout,
}

/// The cost of an idle fleet, and the time until a change is in force.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ControlResult {
    /// The number of gateway processes.
    pub gateways: u32,
    /// The mean processor time of a node, in percent of a core.
    pub cpu_percent_mean: f64,
    /// The largest processor time of a node, in percent of a core.
    pub cpu_percent_max: f64,
    /// The largest resident memory of a node, in MiB.
    pub memory_mib_max: f64,
    /// The bytes per second that a node sends to peers, on average over the nodes.
    pub peer_bytes_per_second: f64,
    /// The platform's reads per second from the whole fleet.
    pub reads_per_second: f64,
    /// The platform's writes per second from the whole fleet.
    pub writes_per_second: f64,
    /// The median time from acceptance of a change until it is in force on all nodes, in
    /// milliseconds.
    pub in_force_p50_ms: u64,
    /// The longest such time, in milliseconds.
    pub in_force_max_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct NodeStatus {
    revision: Revision,
    serves_keyed: bool,
    #[serde(default)]
    peer_bytes_out: u64,
}

/// Running gateway processes, which are killed when this value is dropped.
struct ProcessFleet {
    children: Vec<Child>,
    admin: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // An error means that the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts the given number of gateway processes and measures them.
///
/// # Errors
///
/// Fails if a process cannot be started or does not become ready.
pub async fn measure_control(gateways: u32) -> Result<ControlResult, ControlError> {
    let deployment = Deployment::parse(KHOVSGOL)?;
    let targets = deployment.target_specs().len();
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let config = deployment.config(&vec![unused_address; targets], PolicyMode::Adaptive)?;
    let mut platform = LocalPlatform::start(&config).await?;
    let fleet = start_processes(&deployment, gateways, platform.address())?;
    wait_ready(&fleet).await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_DELAY_MS)).await;

    let before = sample(&fleet, &platform).await?;
    tokio::time::sleep(Duration::from_millis(IDLE_WINDOW_MS)).await;
    let after = sample(&fleet, &platform).await?;
    let in_force = measure_changes(&fleet, &mut platform, &config.customers[0].clone()).await?;
    Ok(result(gateways, &before, &after, in_force))
}

struct FleetSample {
    cpu_ticks: Vec<u64>,
    memory_bytes: Vec<u64>,
    peer_bytes: u64,
    reads: u64,
    writes: u64,
}

async fn sample(
    fleet: &ProcessFleet,
    platform: &LocalPlatform,
) -> Result<FleetSample, ControlError> {
    let mut peer_bytes = 0;
    for address in &fleet.admin {
        peer_bytes += status(*address)
            .await
            .map_or(0, |status| status.peer_bytes_out);
    }
    let counters = platform.server().counters();
    let ids = fleet.children.iter().map(Child::id);
    Ok(FleetSample {
        cpu_ticks: ids.clone().map(cpu_ticks).collect::<Result<_, _>>()?,
        memory_bytes: ids.map(memory_bytes).collect::<Result<_, _>>()?,
        peer_bytes,
        reads: counters.reads(),
        writes: counters.writes(),
    })
}

fn result(
    gateways: u32,
    before: &FleetSample,
    after: &FleetSample,
    mut in_force: Vec<u64>,
) -> ControlResult {
    let seconds = IDLE_WINDOW_MS as f64 / 1_000.0;
    let percent: Vec<f64> = before
        .cpu_ticks
        .iter()
        .zip(&after.cpu_ticks)
        .map(|(before, after)| (after - before) as f64 / TICKS_PER_SECOND / seconds * 100.0)
        .collect();
    in_force.sort_unstable();
    ControlResult {
        gateways,
        cpu_percent_mean: percent.iter().sum::<f64>() / percent.len() as f64,
        cpu_percent_max: percent.iter().copied().fold(0.0, f64::max),
        memory_mib_max: after.memory_bytes.iter().copied().max().unwrap_or(0) as f64
            / f64::from(1 << 20),
        peer_bytes_per_second: (after.peer_bytes - before.peer_bytes) as f64
            / seconds
            / f64::from(gateways),
        reads_per_second: (after.reads - before.reads) as f64 / seconds,
        writes_per_second: (after.writes - before.writes) as f64 / seconds,
        in_force_p50_ms: in_force.get(in_force.len() / 2).copied().unwrap_or(0),
        in_force_max_ms: in_force.last().copied().unwrap_or(0),
    }
}

async fn measure_changes(
    fleet: &ProcessFleet,
    platform: &mut LocalPlatform,
    customer: &Customer,
) -> Result<Vec<u64>, ControlError> {
    let mut times = Vec::new();
    for step in 0..CHANGE_COUNT {
        let mut customer = customer.clone();
        customer.weight = 1 + u32::try_from(step % 2).unwrap_or(0);
        let revision = platform
            .accept(vec![ConfigChange::PutCustomer(customer)])
            .await?;
        let accepted = Instant::now();
        let waits = fleet
            .admin
            .iter()
            .map(|address| wait_for_revision(*address, revision));
        futures::future::join_all(waits).await;
        times.push(u64::try_from(accepted.elapsed().as_millis()).unwrap_or(u64::MAX));
        tokio::time::sleep(Duration::from_millis(CHANGE_INTERVAL_MS)).await;
    }
    Ok(times)
}

async fn wait_for_revision(address: SocketAddr, revision: Revision) {
    for _ in 0..READY_TIMEOUT_MS / POLL_INTERVAL_MS {
        if status(address)
            .await
            .is_some_and(|status| status.revision >= revision)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn wait_ready(fleet: &ProcessFleet) -> Result<(), ControlError> {
    let begin = Instant::now();
    for address in &fleet.admin {
        while !status(*address)
            .await
            .is_some_and(|status| status.serves_keyed)
        {
            if begin.elapsed() > Duration::from_millis(READY_TIMEOUT_MS) {
                return ReadyTimeoutSnafu.fail();
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
    Ok(())
}

async fn status(address: SocketAddr) -> Option<NodeStatus> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let driver = tokio::spawn(connection);
    let request = Request::get("/v1/status")
        .header("host", "node")
        .body(Empty::<Bytes>::new());
    let response = sender.send_request(request.ok()?).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    serde_json::from_slice(&body).ok()
}

fn start_processes(
    deployment: &Deployment,
    gateways: u32,
    platform: SocketAddr,
) -> Result<ProcessFleet, ControlError> {
    let program = std::env::current_exe()
        .context(ProcessSnafu {
            action: "cannot find the programs",
        })?
        .with_file_name("damaskloom-gateway");
    let folder = std::env::temp_dir().join(format!("damaskloom-bench-{}", std::process::id()));
    fs::create_dir_all(&folder).context(ProcessSnafu {
        action: "cannot write settings",
    })?;
    let mut fleet = ProcessFleet {
        children: Vec::new(),
        admin: Vec::new(),
        folder,
    };
    for index in 0..gateways {
        let admin = free_address()?;
        let path = fleet.folder.join(format!("{index}.json"));
        write_settings(&path, deployment, index, admin, platform)?;
        let child = Command::new(&program)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .context(ProcessSnafu {
                action: "cannot start a gateway process",
            })?;
        fleet.children.push(child);
        fleet.admin.push(admin);
    }
    Ok(fleet)
}

fn write_settings(
    path: &Path,
    deployment: &Deployment,
    index: u32,
    admin: SocketAddr,
    platform: SocketAddr,
) -> Result<(), ControlError> {
    let centres = &deployment.data_centres;
    let settings = json!({
        "vm": format!("bench-vm-{index}"),
        "data_centre": centres[index as usize % centres.len()],
        "caller_listen": "127.0.0.1:0",
        "admin_listen": admin,
        "peer_listen": "127.0.0.1:0",
        "platform": platform,
        "peer_secret": "a secret for loopback only",
    });
    fs::write(path, settings.to_string()).context(ProcessSnafu {
        action: "cannot write settings",
    })
}

/// Returns an address with a free port; another process may take it before it is used.
fn free_address() -> Result<SocketAddr, ControlError> {
    std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .context(ProcessSnafu {
            action: "cannot find a free port",
        })
}

fn cpu_ticks(process: u32) -> Result<u64, ControlError> {
    let action = "cannot read a process's processor time";
    let text =
        fs::read_to_string(format!("/proc/{process}/stat")).context(ProcessSnafu { action })?;
    // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|text| text.parse().ok())
        .collect();
    Ok(fields.iter().sum())
}

fn memory_bytes(process: u32) -> Result<u64, ControlError> {
    let action = "cannot read a process's memory";
    let text =
        fs::read_to_string(format!("/proc/{process}/statm")).context(ProcessSnafu { action })?;
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    Ok(pages * PAGE_BYTES)
}
