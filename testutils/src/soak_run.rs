//! One soak: real processes under faults from outside, and the promises checked from both sides.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::platform_faults::{OutageMode, PlatformFaults};
use crate::platform_server::{PlatformServer, ServerError};
use crate::soak_caller::{CallerPlan, ask_directory, ask_once, request, run_caller};
use crate::soak_fleet::{ProcessError, SoakNode};
use crate::soak_ledger::{NodeTrouble, SentRequest, SoakBreach, SoakCustomer, SoakLedger};
use crate::soak_plan::{
    PathFault, PlannedFault, SoakFault, SoakSize, StoreFault, TargetFault, plan,
};
use crate::soak_proxy::PathProxy;
use crate::soak_target::SoakTarget;

/// The time in which a fleet must serve again once all faults are over: many times what it needs, since
/// the machine may be busy.
const RECOVERY_LIMIT: Duration = Duration::from_secs(90);
/// The pause between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// The time after the last caller has stopped in which a late run would show.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// The time beside a fault in which what it broke may still show at callers: their deadline.
const TROUBLE_MARGIN: Duration = Duration::from_secs(2);

/// The id of the requests by which the soak finds out whether a node serves; they may run often.
const PROBE_ID: &str = "probe";

/// The customers of every soak; the limits are the highest that a configuration sets.
pub const CUSTOMERS: [SoakCustomer; 3] = [
    SoakCustomer {
        name: "hauliers",
        keys: &["key-hauliers-1", "key-hauliers-2"],
        rate_per_s: 0.0,
    },
    SoakCustomer {
        name: "ferries",
        keys: &["key-ferries"],
        rate_per_s: 30.0,
    },
    SoakCustomer {
        name: "border-post",
        keys: &["key-border"],
        rate_per_s: 8.0,
    },
];

/// Says why a soak could not be run.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process could not be handled.
    #[snafu(transparent)]
    Process {
        /// What went wrong.
        source: ProcessError,
    },
    /// The stand-in of the store could not start.
    #[snafu(transparent)]
    Store {
        /// Why.
        source: ServerError,
    },
    /// A stand-in could not listen.
    #[snafu(display("cannot listen on loopback: {source}"))]
    Listen {
        /// What the system said.
        source: std::io::Error,
    },
    /// The folder of the soak cannot be made.
    #[snafu(display("cannot make {}: {source}", folder.display()))]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
}

/// What a soak showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The faults that were planned.
    pub plan: Vec<PlannedFault>,
    /// The requests that were sent, answered with success, and run.
    pub counts: (usize, usize, usize),
    /// The promises that were broken.
    pub breaches: Vec<SoakBreach>,
}

struct PlacedTarget {
    target: SoakTarget,
    path: PathProxy,
}

/// A running soak.
struct Soak {
    store: PlatformServer,
    nodes: Vec<SoakNode>,
    targets: Vec<PlacedTarget>,
    /// Targets that were replaced and serve on for a while.
    leaving: Vec<PlacedTarget>,
    ledger: Arc<SoakLedger>,
    breaches: Vec<SoakBreach>,
    version: u64,
    starts: usize,
    key_is_withdrawn: bool,
    ferries_rate: f64,
}

/// Runs the soak of a seed; logs of the processes are kept in `folder`.
///
/// # Errors
///
/// Fails if processes or stand-ins cannot be started; broken promises are in the report.
pub async fn run_soak(
    program: &Path,
    folder: &Path,
    seed: u64,
    size: SoakSize,
) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(folder).context(FolderSnafu { folder })?;
    let faults = plan(seed, size);
    let mut soak = Soak::start(program, folder, seed, size).await?;
    soak.wait_until_serving("the fleet serves after its start")
        .await?;
    let callers = Arc::new(CallerPlan {
        directories: soak.nodes.iter().map(SoakNode::directory_address).collect(),
        nodes: soak.nodes.iter().map(SoakNode::caller_address).collect(),
        customers: CUSTOMERS.to_vec(),
        stopped: AtomicBool::new(false),
        ledger: Arc::clone(&soak.ledger),
    });
    let tasks: Vec<_> = (0..size.callers)
        .map(|name| tokio::spawn(run_caller(Arc::clone(&callers), seed, name)))
        .collect();
    soak.play(&faults).await?;
    soak.heal().await?;
    soak.wait_until_serving("the fleet serves again once all faults are over")
        .await?;
    callers.stopped.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("callers do not panic");
    }
    tokio::time::sleep(QUIET_TIME).await;
    soak.stop_all().await?;
    let mut breaches = std::mem::take(&mut soak.breaches);
    breaches.extend(soak.ledger.breaches(&CUSTOMERS));
    Ok(SoakReport {
        plan: faults,
        counts: soak.ledger.counts(),
        breaches,
    })
}

impl Soak {
    async fn start(
        program: &Path,
        folder: &Path,
        seed: u64,
        size: SoakSize,
    ) -> Result<Self, SoakError> {
        let store = PlatformServer::start_local().await?;
        let mut soak = Self {
            store,
            nodes: Vec::new(),
            targets: Vec::new(),
            leaving: Vec::new(),
            ledger: Arc::default(),
            breaches: Vec::new(),
            version: 1,
            starts: 0,
            key_is_withdrawn: false,
            ferries_rate: CUSTOMERS[1].rate_per_s,
        };
        soak.publish();
        soak.ledger.note_sent(
            PROBE_ID,
            SentRequest {
                customer: Some(0),
                service: "desk",
                once: false,
                path: format!("/read/{PROBE_ID}"),
                node: 0,
                sent_at: Instant::now(),
                end: None,
            },
        );
        for number in 0..size.targets {
            let target = soak.start_target(service_of(number)).await?;
            soak.targets.push(target);
        }
        for number in 0..size.nodes {
            let path = PathProxy::start(soak.store.address()).await;
            let path = path.context(ListenSnafu)?;
            let subnet = (seed % 250) as u8;
            let mut node = SoakNode::new(program, folder, subnet, number, path);
            node.write_settings()?;
            node.start()?;
            soak.nodes.push(node);
        }
        Ok(soak)
    }

    async fn start_target(&mut self, service: &'static str) -> Result<PlacedTarget, SoakError> {
        self.starts += 1;
        let id = format!("t-{}", self.starts);
        let target = SoakTarget::start(id, service, Arc::clone(&self.ledger)).await;
        let target = target.context(ListenSnafu)?;
        let path = PathProxy::start(target.address()).await;
        let path = path.context(ListenSnafu)?;
        let row = target.row(path.address(), "ready");
        self.store.put("servers", &target.id, row);
        Ok(PlacedTarget { target, path })
    }

    /// Publishes the next version of the configuration.
    fn publish(&mut self) {
        self.version += 1;
        let hauliers = match self.key_is_withdrawn {
            true => json!(["key-hauliers-1"]),
            false => json!(["key-hauliers-1", "key-hauliers-2"]),
        };
        let document = json!({
            "version": self.version,
            "routes": {
                "columns": ["name", "host", "prefix", "kind", "timeout_s", "target_latency_s",
                            "priority", "service", "max_attempts", "public"],
                "rows": [
                    ["read", "a.example", "/read/", "safe", 1.5, 0.2, 1, "desk", 3, false],
                    ["book", "a.example", "/book/", "unsafe", 1.5, 0.2, 1, "desk", 3, false],
                    ["release", "a.example", "/release/", "unsafe", 1.5, 0.2, 0, "berth", 3, false]
                ]
            },
            "services": {
                "columns": ["name", "max_conns"],
                "rows": [["desk", 400], ["berth", 400]]
            },
            "tenants": {
                "columns": ["name", "api_keys", "rate_per_s", "burst"],
                "rows": [
                    ["hauliers", hauliers, 0, 0],
                    ["ferries", ["key-ferries"], self.ferries_rate, self.ferries_rate],
                    ["border-post", ["key-border"], 8, 8]
                ]
            }
        });
        self.store.put("op", "config", document.to_string());
    }

    /// Begins and ends the faults at their times.
    async fn play(&mut self, faults: &[PlannedFault]) -> Result<(), SoakError> {
        let start = Instant::now();
        let mut begun = 0;
        let mut running: Vec<(Instant, PlannedFault)> = Vec::new();
        while begun < faults.len() || !running.is_empty() {
            let now = Instant::now();
            while let Some(next) = faults.get(begun)
                && now >= start + Duration::from_millis(next.from_ms)
            {
                begun += 1;
                tracing::info!(?next, "fault begins");
                self.begin(next.fault).await?;
                running.push((now, *next));
            }
            let over = |(since, fault): &(Instant, PlannedFault)| {
                now >= *since + Duration::from_millis(fault.for_ms)
            };
            while let Some(index) = running.iter().position(over) {
                let (since, fault) = running.swap_remove(index);
                self.end(since, fault.fault).await?;
            }
            self.look_at_processes()?;
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::NodeKilled(node) => self.kill(node)?,
            SoakFault::AllKilled => {
                for node in 0..self.nodes.len() {
                    self.kill(node)?;
                }
            }
            SoakFault::NodeStopped(node) => self.nodes[node].signal(Signal::SIGTERM)?,
            SoakFault::NodePaused(node) => self.nodes[node].signal(Signal::SIGSTOP)?,
            SoakFault::NodeReloaded(node) => {
                self.nodes[node].write_settings()?;
                self.nodes[node].signal(Signal::SIGHUP)?;
            }
            SoakFault::StorePath(node, path) => self.nodes[node].store_path.set_fault(path),
            SoakFault::Store(fault) => self.store.set_faults(store_faults(fault)),
            SoakFault::TargetPath(target, path) => self.targets[target].path.set_fault(path),
            SoakFault::Target(target, fault) => self.targets[target].target.set_fault(fault),
            SoakFault::TargetReplaced(target) => {
                let service = self.targets[target].target.service;
                let new = self.start_target(service).await?;
                let old = std::mem::replace(&mut self.targets[target], new);
                let row = old.target.row(old.path.address(), "draining");
                self.store.put("servers", &old.target.id, row);
                self.leaving.push(old);
            }
            SoakFault::LimitChanged => {
                let highest = CUSTOMERS[1].rate_per_s;
                self.ferries_rate = if self.ferries_rate < highest {
                    highest
                } else {
                    highest / 2.0
                };
                self.publish();
            }
            SoakFault::KeyWithdrawn => {
                self.key_is_withdrawn = true;
                self.publish();
            }
        }
        Ok(())
    }

    async fn end(&mut self, since: Instant, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::NodeKilled(node) => self.restart(since, node)?,
            SoakFault::AllKilled => {
                for node in 0..self.nodes.len() {
                    self.restart(since, node)?;
                }
            }
            SoakFault::NodePaused(node) => {
                self.nodes[node].signal(Signal::SIGCONT)?;
                self.note_trouble(since, node);
            }
            SoakFault::StorePath(node, _) => {
                self.nodes[node].store_path.set_fault(PathFault::None);
            }
            SoakFault::Store(_) => self.store.set_faults(PlatformFaults::default()),
            SoakFault::TargetPath(target, _) => {
                self.targets[target].path.set_fault(PathFault::None);
            }
            SoakFault::Target(target, _) => {
                self.targets[target].target.set_fault(TargetFault::None);
            }
            SoakFault::KeyWithdrawn => {
                self.key_is_withdrawn = false;
                self.publish();
            }
            SoakFault::NodeStopped(_)
            | SoakFault::NodeReloaded(_)
            | SoakFault::TargetReplaced(_)
            | SoakFault::LimitChanged => {}
        }
        Ok(())
    }

    fn kill(&mut self, node: usize) -> Result<(), ProcessError> {
        // The end of the span follows with the restart.
        self.note_trouble(Instant::now(), node);
        self.nodes[node].kill()
    }

    fn restart(&mut self, since: Instant, node: usize) -> Result<(), ProcessError> {
        self.note_trouble(since, node);
        if self.nodes[node].is_started() {
            return Ok(());
        }
        self.nodes[node].start()
    }

    fn note_trouble(&self, since: Instant, node: usize) {
        self.ledger.note_trouble(NodeTrouble {
            node,
            from: since,
            to: Instant::now() + TROUBLE_MARGIN,
        });
    }

    /// Starts nodes again that have stopped as planned; any other end is a broken promise.
    fn look_at_processes(&mut self) -> Result<(), ProcessError> {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let Some(end) = node.take_end()? else {
                continue;
            };
            if !end.success() {
                self.breaches.push(SoakBreach {
                    promise: "a process ends only when it is told to",
                    seen: format!("node {number}: {end}"),
                });
            }
            node.start()?;
        }
        Ok(())
    }

    /// Ends all faults.
    async fn heal(&mut self) -> Result<(), SoakError> {
        self.store.set_faults(PlatformFaults::default());
        for node in &mut self.nodes {
            node.store_path.set_fault(PathFault::None);
            node.signal(Signal::SIGCONT)?;
            if !node.is_started() {
                node.start()?;
            }
        }
        for placed in &self.targets {
            placed.path.set_fault(PathFault::None);
            placed.target.set_fault(TargetFault::None);
        }
        self.key_is_withdrawn = true;
        self.publish();
        Ok(())
    }

    /// Waits until every node serves and the directory names nodes; a withdrawn key works no more.
    async fn wait_until_serving(&mut self, what: &'static str) -> Result<(), ProcessError> {
        let end = Instant::now() + RECOVERY_LIMIT;
        let mut late = None;
        for index in 0..self.nodes.len() {
            let mut seen = None;
            while seen.is_none() {
                // A node that was told to stop before the last fault was over ends only now.
                self.look_at_processes()?;
                let node = &self.nodes[index];
                let ask = |key| request(&format!("/read/{PROBE_ID}"), PROBE_ID, key, false);
                let node_address = node.caller_address();
                let limit = Duration::from_secs(3);
                let served = ask_once(node_address, ask("key-hauliers-1"));
                let served = tokio::time::timeout(limit, served).await.ok().flatten();
                let gone = ask_once(node_address, ask("key-hauliers-2"));
                let gone = tokio::time::timeout(limit, gone).await.ok().flatten();
                let named = ask_directory(node.directory_address());
                let named = tokio::time::timeout(limit, named).await.ok().flatten();
                let withdrawn = !self.key_is_withdrawn || gone == Some(401);
                let directory = named.as_ref().is_some_and(|named| !named.is_empty());
                if served == Some(200) && withdrawn && directory {
                    seen = Some(());
                } else if Instant::now() >= end {
                    late = Some(format!(
                        "node {index}: served {served:?}, withdrawn key {gone:?}, named {named:?}"
                    ));
                    seen = Some(());
                } else {
                    tokio::time::sleep(LOOK).await;
                }
            }
        }
        if let Some(seen) = late {
            self.breaches.push(SoakBreach {
                promise: what,
                seen,
            });
        }
        Ok(())
    }

    /// Tells all nodes to stop and waits for their ends.
    async fn stop_all(&mut self) -> Result<(), SoakError> {
        for node in &self.nodes {
            node.signal(Signal::SIGTERM)?;
        }
        let end = Instant::now() + RECOVERY_LIMIT;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            while node.is_started() && Instant::now() < end {
                match node.take_end()? {
                    Some(status) if !status.success() => self.breaches.push(SoakBreach {
                        promise: "a planned stop ends well",
                        seen: format!("node {number}: {status}"),
                    }),
                    _ => tokio::time::sleep(LOOK).await,
                }
            }
            if node.is_started() {
                self.breaches.push(SoakBreach {
                    promise: "a planned stop ends",
                    seen: format!("node {number} still runs after {RECOVERY_LIMIT:?}"),
                });
            }
        }
        Ok(())
    }
}

/// Two targets in three belong to the first service.
const fn service_of(number: usize) -> &'static str {
    if number % 3 == 2 { "berth" } else { "desk" }
}

fn store_faults(fault: StoreFault) -> PlatformFaults {
    let none = PlatformFaults::default();
    match fault {
        StoreFault::Refuses => PlatformFaults::refusing(),
        StoreFault::Hangs => PlatformFaults {
            outage: OutageMode::Hang,
            ..none
        },
        StoreFault::Slow => PlatformFaults {
            delay_ms: 300,
            ..none
        },
        StoreFault::LosesAnswers => PlatformFaults {
            lost_answers_per_mille: 500,
            ..none
        },
        StoreFault::Forgets => PlatformFaults {
            forgetful: true,
            ..none
        },
    }
}
