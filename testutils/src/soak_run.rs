//! Runs a soak: real processes under external faults, with the promises to callers and targets
//! checked.

use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use snafu::ResultExt;

use crate::platform_faults::{OutageMode, PlatformFaults};
use crate::platform_server::{PlatformServer, TablesCopy};
use crate::soak_caller::{CallerPlan, query_directory, request, run_caller, send_once};
use crate::soak_fleet::{ProcessError, SoakNode, SoakPrograms};
use crate::soak_ledger::{PROBE_ID, SoakLedger};
use crate::soak_plan::{
    PathFault, PlannedFault, SoakFault, SoakSize, StoreFault, TargetFault, plan,
};
use crate::soak_proxy::PathProxy;
use crate::soak_records::{NodeFaultPeriod, SentRequest, SoakBreach, SoakCustomer};
use crate::soak_report::{FolderSnafu, ListenSnafu, SoakError, SoakReport};
use crate::soak_target::SoakTarget;

/// The time in which a fleet must serve again once all faults are over, with a reserve for a busy
/// machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);
/// The interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time after the last caller has stopped in which a late execution would be recorded.
const LATE_RUN_WAIT: Duration = Duration::from_secs(2);
/// The time after a fault in which callers may still see its effects; above their deadline.
const FAULT_EFFECT_MARGIN: Duration = Duration::from_secs(2);

/// The customers of every soak, with the highest limit that any configuration sets.
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

struct ProxiedTarget {
    target: SoakTarget,
    path: PathProxy,
}

/// A running soak.
struct Soak {
    store: PlatformServer,
    nodes: Vec<SoakNode>,
    targets: Vec<ProxiedTarget>,
    /// Replaced targets, which still serve requests until the soak ends.
    draining: Vec<ProxiedTarget>,
    ledger: Arc<SoakLedger>,
    breaches: Vec<SoakBreach>,
    version: u64,
    target_count: usize,
    is_key_withdrawn: bool,
    ferries_rate: f64,
    /// Copies of the store from the starts of the last two faults, the older one first.
    copies: [TablesCopy; 2],
}

/// Runs the soak of a seed; the logs of the processes go to `folder`.
///
/// # Errors
///
/// Fails if processes or stand-ins cannot be started; broken promises are in the report.
pub async fn run_soak(
    programs: &SoakPrograms,
    folder: &Path,
    seed: u64,
    size: SoakSize,
) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(folder).context(FolderSnafu { folder })?;
    let faults = plan(seed, size);
    let mut soak = Soak::start(programs, folder, seed, size).await?;
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
    soak.run_faults(&faults).await?;
    soak.clear_faults().await?;
    soak.wait_until_serving("the fleet serves again once all faults are over")
        .await?;
    callers.stopped.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("callers do not panic");
    }
    tokio::time::sleep(LATE_RUN_WAIT).await;
    soak.stop_all().await?;
    let mut breaches = std::mem::take(&mut soak.breaches);
    breaches.extend(soak.ledger.breaches(&CUSTOMERS));
    Ok(SoakReport {
        plan: faults,
        counts: soak.ledger.counts(),
        cuts: soak.ledger.cut_counts(),
        said: soak.ledger.said_count(),
        breaches,
    })
}

impl Soak {
    async fn start(
        programs: &SoakPrograms,
        folder: &Path,
        seed: u64,
        size: SoakSize,
    ) -> Result<Self, SoakError> {
        let store = PlatformServer::start_local().await?;
        let copies = [store.copy_tables(), store.copy_tables()];
        let mut soak = Self {
            store,
            copies,
            nodes: Vec::new(),
            targets: Vec::new(),
            draining: Vec::new(),
            ledger: Arc::default(),
            breaches: Vec::new(),
            version: 1,
            target_count: 0,
            is_key_withdrawn: false,
            ferries_rate: CUSTOMERS[1].rate_per_s,
        };
        soak.publish_configuration();
        soak.ledger.record_sent(
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
            let first = programs.first_of(number);
            let mut node = SoakNode::new(first, folder, subnet, number, path);
            node.write_settings()?;
            node.start()?;
            if *first != programs.current {
                // Its next start replaces it by the current build.
                node.set_program(&programs.current);
                soak.ledger.record_previous_build(number);
            }
            soak.nodes.push(node);
        }
        Ok(soak)
    }

    async fn start_target(&mut self, service: &'static str) -> Result<ProxiedTarget, SoakError> {
        self.target_count += 1;
        let id = format!("t-{}", self.target_count);
        let target = SoakTarget::start(id, service, Arc::clone(&self.ledger)).await;
        let target = target.context(ListenSnafu)?;
        let path = PathProxy::start(target.address()).await;
        let path = path.context(ListenSnafu)?;
        let row = target.next_row(path.address(), "ready");
        self.store.put("servers", &target.id, row);
        Ok(ProxiedTarget { target, path })
    }

    /// Publishes the next version of the configuration.
    fn publish_configuration(&mut self) {
        self.version += 1;
        let hauliers = match self.is_key_withdrawn {
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

    /// Starts and ends the faults at their times.
    async fn run_faults(&mut self, faults: &[PlannedFault]) -> Result<(), SoakError> {
        let start = Instant::now();
        let mut started = 0;
        let mut running: Vec<(Instant, PlannedFault)> = Vec::new();
        while started < faults.len() || !running.is_empty() {
            let now = Instant::now();
            while let Some(next) = faults.get(started)
                && now >= start + Duration::from_millis(next.from_ms)
            {
                started += 1;
                self.copies.swap(0, 1);
                self.copies[1] = self.store.copy_tables();
                tracing::info!(?next, "fault begins");
                self.start_fault(next.fault).await?;
                running.push((now, *next));
            }
            let over = |(since, fault): &(Instant, PlannedFault)| {
                now >= *since + Duration::from_millis(fault.for_ms)
            };
            while let Some(index) = running.iter().position(over) {
                let (since, fault) = running.swap_remove(index);
                self.end_fault(since, fault.fault).await?;
            }
            self.restart_exited()?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn start_fault(&mut self, fault: SoakFault) -> Result<(), SoakError> {
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
            SoakFault::NodesCutOff { first, count } => {
                let nodes = self.cut_off(first, count);
                let sources: Vec<IpAddr> =
                    nodes.iter().map(|node| self.nodes[*node].ip()).collect();
                self.cut_sources(&sources);
                self.ledger.record_cut(&nodes, Instant::now());
            }
            SoakFault::AddressReused(target) => {
                let other = (target + 1) % self.targets.len();
                let address = self.targets[other].target.address();
                self.targets[target].path.set_server(address);
                // Connections to the earlier target end with it.
                self.targets[target].path.set_fault(PathFault::Reset);
                tokio::task::yield_now().await;
                self.targets[target].path.set_fault(PathFault::None);
            }
            SoakFault::Target(target, fault) => {
                let target = &self.targets[target].target;
                // A fault replaces an earlier one, so that the target stops naming its limit.
                self.ledger.record_limit_lifted(&target.id);
                target.set_fault(fault);
            }
            SoakFault::TargetReplaced(target) => {
                let service = self.targets[target].target.service;
                let new = self.start_target(service).await?;
                let old = std::mem::replace(&mut self.targets[target], new);
                let row = old.target.next_row(old.path.address(), "draining");
                self.store.put("servers", &old.target.id, row);
                old.target.set_fault(TargetFault::Leaves);
                self.ledger.record_limit_lifted(&old.target.id);
                self.draining.push(old);
            }
            SoakFault::LimitChanged => {
                let highest = CUSTOMERS[1].rate_per_s;
                self.ferries_rate = if self.ferries_rate < highest {
                    highest
                } else {
                    highest / 2.0
                };
                self.publish_configuration();
            }
            SoakFault::KeyWithdrawn => {
                self.is_key_withdrawn = true;
                self.publish_configuration();
            }
        }
        Ok(())
    }

    async fn end_fault(&mut self, since: Instant, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::NodeKilled(node) => self.restart(since, node)?,
            SoakFault::AllKilled => {
                for node in 0..self.nodes.len() {
                    self.restart(since, node)?;
                }
            }
            SoakFault::NodePaused(node) => {
                self.nodes[node].signal(Signal::SIGCONT)?;
                self.record_node_fault(since, node);
            }
            SoakFault::StorePath(node, _) => {
                self.nodes[node].store_path.set_fault(PathFault::None);
            }
            SoakFault::Store(fault) => {
                if fault == StoreFault::Restored {
                    self.restore_store();
                }
                self.store.set_faults(PlatformFaults::default());
            }
            SoakFault::TargetPath(target, _) => {
                self.targets[target].path.set_fault(PathFault::None);
            }
            SoakFault::NodesCutOff { .. } => {
                self.cut_sources(&[]);
                self.ledger.record_cut_end(Instant::now());
            }
            SoakFault::AddressReused(target) => {
                let proxied = &self.targets[target];
                proxied.path.set_server(proxied.target.address());
                // The target is back and announces itself again.
                let row = proxied.target.next_row(proxied.path.address(), "ready");
                self.store.put("servers", &proxied.target.id, row);
            }
            SoakFault::Target(target, fault) => {
                let ProxiedTarget { target, path } = &self.targets[target];
                target.set_fault(TargetFault::None);
                self.ledger.record_limit_lifted(&target.id);
                if fault == TargetFault::Leaves {
                    target.start_anew();
                    let row = target.next_row(path.address(), "ready");
                    self.store.put("servers", &target.id, row);
                }
            }
            SoakFault::KeyWithdrawn => {
                self.is_key_withdrawn = false;
                self.publish_configuration();
            }
            SoakFault::NodeStopped(_)
            | SoakFault::NodeReloaded(_)
            | SoakFault::TargetReplaced(_)
            | SoakFault::LimitChanged => {}
        }
        Ok(())
    }

    /// Returns the nodes of a cut.
    fn cut_off(&self, first: usize, count: usize) -> Vec<usize> {
        let nodes = self.nodes.len();
        (first..first + count).map(|node| node % nodes).collect()
    }

    fn cut_sources(&self, sources: &[IpAddr]) {
        for proxied in self.targets.iter().chain(&self.draining) {
            proxied.path.cut_sources(sources);
        }
    }

    /// Restores the store from the older copy; operators and targets write their rows again.
    fn restore_store(&mut self) {
        self.store.restore_tables(&self.copies[0]);
        self.publish_configuration();
        for (proxied, state) in self
            .targets
            .iter()
            .map(|proxied| (proxied, "ready"))
            .chain(self.draining.iter().map(|proxied| (proxied, "draining")))
        {
            let row = proxied.target.next_row(proxied.path.address(), state);
            self.store.put("servers", &proxied.target.id, row);
        }
    }

    fn kill(&mut self, node: usize) -> Result<(), ProcessError> {
        // The restart records the whole period.
        self.record_node_fault(Instant::now(), node);
        self.nodes[node].kill()
    }

    fn restart(&mut self, since: Instant, node: usize) -> Result<(), ProcessError> {
        self.record_node_fault(since, node);
        if self.nodes[node].is_started() {
            return Ok(());
        }
        self.nodes[node].start()
    }

    fn record_node_fault(&self, since: Instant, node: usize) {
        self.ledger.record_node_fault(NodeFaultPeriod {
            node,
            from: since,
            to: Instant::now() + FAULT_EFFECT_MARGIN,
        });
    }

    /// Restarts nodes that have stopped as planned; any other exit is a broken promise.
    fn restart_exited(&mut self) -> Result<(), ProcessError> {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let Some(status) = node.take_exit_status()? else {
                continue;
            };
            if !status.success() {
                self.breaches.push(SoakBreach {
                    promise: "a process ends only when it is told to",
                    seen: format!("node {number}: {status}"),
                });
            }
            node.start()?;
            self.ledger.record_node_start(number);
        }
        Ok(())
    }

    /// Ends all faults; the second key of the first customer is withdrawn.
    async fn clear_faults(&mut self) -> Result<(), SoakError> {
        self.store.set_faults(PlatformFaults::default());
        for node in &mut self.nodes {
            node.store_path.set_fault(PathFault::None);
            node.signal(Signal::SIGCONT)?;
            if !node.is_started() {
                node.start()?;
            }
        }
        self.cut_sources(&[]);
        self.ledger.record_cut_end(Instant::now());
        for proxied in &self.targets {
            proxied.path.set_fault(PathFault::None);
            proxied.path.set_server(proxied.target.address());
            proxied.target.set_fault(TargetFault::None);
            self.ledger.record_limit_lifted(&proxied.target.id);
        }
        self.is_key_withdrawn = true;
        self.publish_configuration();
        Ok(())
    }

    /// Waits until every node serves, its directory returns nodes, and a withdrawn key is refused.
    async fn wait_until_serving(&mut self, expected: &'static str) -> Result<(), ProcessError> {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let mut late = None;
        for index in 0..self.nodes.len() {
            let mut is_done = None;
            while is_done.is_none() {
                // A node that got SIGTERM before the last fault was over may exit only now.
                self.restart_exited()?;
                let node = &self.nodes[index];
                let probe = |key| request(&format!("/read/{PROBE_ID}"), PROBE_ID, key, false);
                let node_address = node.caller_address();
                let limit = Duration::from_secs(3);
                let served = send_once(node_address, probe("key-hauliers-1"));
                let served = tokio::time::timeout(limit, served).await.ok().flatten();
                let withdrawn_key = send_once(node_address, probe("key-hauliers-2"));
                let withdrawn_key = tokio::time::timeout(limit, withdrawn_key)
                    .await
                    .ok()
                    .flatten();
                let named = query_directory(node.directory_address());
                let named = tokio::time::timeout(limit, named).await.ok().flatten();
                let key_is_refused = !self.is_key_withdrawn || withdrawn_key == Some(401);
                let has_nodes = named.as_ref().is_some_and(|named| !named.is_empty());
                if served == Some(200) && key_is_refused && has_nodes {
                    is_done = Some(());
                } else if Instant::now() >= deadline {
                    late = Some(format!(
                        "node {index}: served {served:?}, withdrawn key {withdrawn_key:?}, named {named:?}"
                    ));
                    is_done = Some(());
                } else {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        if let Some(seen) = late {
            self.breaches.push(SoakBreach {
                promise: expected,
                seen,
            });
        }
        Ok(())
    }

    /// Sends SIGTERM to all nodes and waits until they have exited.
    async fn stop_all(&mut self) -> Result<(), SoakError> {
        for node in &self.nodes {
            node.signal(Signal::SIGTERM)?;
        }
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            while node.is_started() && Instant::now() < deadline {
                match node.take_exit_status()? {
                    Some(status) if !status.success() => self.breaches.push(SoakBreach {
                        promise: "a planned stop ends well",
                        seen: format!("node {number}: {status}"),
                    }),
                    _ => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
            if node.is_started() {
                self.breaches.push(SoakBreach {
                    promise: "a planned stop ends",
                    seen: format!("node {number} still runs after {RECOVERY_TIMEOUT:?}"),
                });
            }
        }
        Ok(())
    }
}

/// Returns the service of a target: two targets in three belong to "desk", the others to "berth".
const fn service_of(number: usize) -> &'static str {
    if number % 3 == 2 { "berth" } else { "desk" }
}

fn store_faults(fault: StoreFault) -> PlatformFaults {
    let no_faults = PlatformFaults::default();
    match fault {
        StoreFault::Refuses | StoreFault::Restored => PlatformFaults::refusing(),
        StoreFault::Hangs => PlatformFaults {
            outage: OutageMode::Hang,
            ..no_faults
        },
        StoreFault::Slow => PlatformFaults {
            delay_ms: 300,
            ..no_faults
        },
        StoreFault::LosesAnswers => PlatformFaults {
            lost_answers_per_mille: 500,
            ..no_faults
        },
        StoreFault::Forgets => PlatformFaults {
            forgetful: true,
            ..no_faults
        },
    }
}
