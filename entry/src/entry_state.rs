//! The state that all tasks of an entry process share.
//!
//! The process has one thread, so the state is in cells. They are borrowed within one step and
//! never across an await; see docs/design/platform-adapter.md.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use damaskloom_gateway::clock::MonoClock;
use damaskloom_gateway::meter_registry::MeterError;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::admission_policy::AdmissionPolicy;
use damaskloom_lib::crash_guard::{CrashGuard, CrashMessage};
use damaskloom_lib::entry_members::{EntryMembers, EntryPhase, NodeHeartbeat};
use damaskloom_lib::evacuation::Evacuations;
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::fleet_rate::{FleetLimit, FleetRates};
use damaskloom_lib::helper_choice::HelperChoice;
use damaskloom_lib::ids::{CustomerId, Incarnation, NodeId, RouteId, ServiceId, TargetId, VmId};
use damaskloom_lib::repeat_budget::RepeatBudget;
use damaskloom_lib::routing::{RoutingDocument, RoutingTable};
use damaskloom_lib::stop_plan::StopPlan;
use damaskloom_lib::store_health::StoreHealth;
use damaskloom_lib::table_mirror::MirrorRow;
use damaskloom_lib::target_balancer::{ServiceBalancers, TargetBalancer, TargetCode};
use damaskloom_lib::target_catalog::{OutdatedAddress, TargetCatalog};
use damaskloom_lib::target_limits::TargetLimits;
use damaskloom_lib::target_notices::TargetNotices;
use damaskloom_lib::target_path::TargetPaths;
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::traffic_meter::TrafficMeter;
use damaskloom_lib::weighted_split::WeightedSplit;
use damaskloom_platform::routing_reader::read_routing;
use damaskloom_platform::store_client::ROUTING_ROW;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::Notify;

use crate::body_budget::BodyBudget;
use crate::crash_check::DueCheck;
use crate::entry_meters::{EntryMeters, GaugeValues};
use crate::settings::EntrySettings;
use crate::table_copy::{TableCopy, TableKind};
use crate::target_pool::{HelperPools, SystemNetwork, TargetNetwork, TargetPools};
use crate::wall_clock::unix_ms;

/// The state that the tasks of one entry process read and change.
#[derive(Debug)]
pub struct EntryState {
    /// The current settings.
    pub settings: RefCell<Rc<EntrySettings>>,
    /// The monotonic clock of the process.
    pub clock: MonoClock,
    /// The start time in Unix milliseconds, which distinguishes this start from earlier ones.
    pub started_at_ms: u64,
    /// The routing table in use; none until the first one was read.
    pub routing: RefCell<Option<Rc<RoutingTable>>>,
    /// When the routing table in use was applied.
    pub routing_since: Cell<MonoTime>,
    /// When this node's copy of the targets was last known to be current.
    pub targets_read_at: Cell<MonoTime>,
    /// The local copy of the operators' table.
    pub routing_copy: TableCopy,
    /// The local copy of the targets' table.
    pub targets_copy: TableCopy,
    /// Whether the targets' table was read at least once.
    pub targets_known: Cell<bool>,
    /// The known targets.
    pub catalog: RefCell<TargetCatalog>,
    /// The load balancers of the services, over the targets that accept requests.
    pub balancers: RefCell<ServiceBalancers>,
    /// The limits that targets have named.
    pub limits: RefCell<TargetLimits>,
    /// What targets have said of leaving and rest.
    pub notices: RefCell<TargetNotices>,
    /// The data centres that operators evacuate.
    pub evacuations: RefCell<Evacuations>,
    /// Whether this node reaches the targets of each service.
    pub target_paths: RefCell<TargetPaths>,
    /// Wakes the task that tries the path to the targets.
    pub path_doubted: Notify,
    /// The connection pools of the targets.
    pub target_pools: TargetPools,
    /// The connection pools of the nodes that requests are handed on to.
    pub helper_pools: HelperPools,
    /// Chooses the nodes that requests are handed on to.
    pub helper_choice: RefCell<HelperChoice>,
    /// The customers' rate limits.
    pub rates: RefCell<FleetRates>,
    /// The admission to each service when it has too little room.
    pub admission_policies: RefCell<IndexMap<ServiceId, AdmissionPolicy>>,
    /// The budget for retries.
    pub repeat_budget: RefCell<RepeatBudget>,
    /// Detects and blocks requests that crash targets.
    pub crash_guard: RefCell<CrashGuard>,
    /// The traffic splits of routes with several destinations.
    pub splits: RefCell<IndexMap<RouteId, WeightedSplit>>,
    /// The other nodes of the fleet.
    pub members: RefCell<EntryMembers>,
    /// The secret that nodes authenticate to each other with; none until it was read or created.
    pub secret: RefCell<Option<SharedSecret>>,
    /// Wakes the task that checks the secret: a peer may have another one.
    pub secret_doubted: Notify,
    /// The signals about targets that are yet to be sent to other nodes.
    pub pending_signals: RefCell<Vec<(TargetId, FailureSignal)>>,
    /// The messages about crashing requests that are yet to be sent to other nodes.
    pub pending_crash_messages: RefCell<Vec<CrashMessage>>,
    /// The targets that are yet to be checked for a crash.
    pub pending_crash_checks: RefCell<Vec<DueCheck>>,
    /// Wakes the task that checks targets for crashes.
    pub crash_checks_due: Notify,
    /// The outdated addresses of targets that are yet to be sent to other nodes.
    pub pending_outdated: RefCell<Vec<OutdatedAddress>>,
    /// Wakes the task that sends signals, crash messages, outdated addresses and leaving targets.
    pub updates_due: Notify,
    /// The targets that answered successfully since the last message to the nodes of the data
    /// centre.
    pub pending_successes: RefCell<IndexSet<TargetCode>>,
    /// Wakes the task that sends counts.
    pub counts_due: Notify,
    /// Wakes the task that tells the nodes of the data centre of this node's readings of the store.
    pub readings_due: Notify,
    /// Wakes the task that sends heartbeats.
    pub heartbeat_due: Notify,
    /// Wakes the tasks that follow the store when this node's role changes.
    pub role_changed: Notify,
    /// How late the last periodic check of running attempts was: the time that a ready task waits
    /// for the process to run it.
    pub loop_delay: Cell<Duration>,
    /// What this node's reads of the targets' table show of the store.
    pub store_health: RefCell<StoreHealth>,
    /// Wakes the task that asks other nodes whether announcements may have expired.
    pub grace_doubted: Notify,
    /// Whether this node is one of the readers, which follow the store on behalf of the others.
    pub is_reader: Cell<bool>,
    /// When this node had read the other nodes' registrations; none before.
    pub joined_at: Cell<Option<MonoTime>>,
    /// The metrics.
    pub meters: EntryMeters,
    /// The memory of request bodies that are held.
    pub body_budget: BodyBudget,
    /// The number of requests in flight.
    pub in_flight: Cell<usize>,
    /// The number of open connections from callers.
    pub connections: Cell<usize>,
    traffic: RefCell<TrafficMeter>,
    stop_plan: Cell<Option<StopPlan>>,
}

impl EntryState {
    /// Makes the state of a process that has just started.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(
        settings: EntrySettings,
        network: Rc<dyn TargetNetwork>,
    ) -> Result<Rc<Self>, MeterError> {
        let repeat_budget = RepeatBudget::new(settings.repeat_terms());
        let clock = MonoClock::start();
        let rates = FleetRates::new(clock.now(), settings.bounds.rate_tolerance());
        let mut limits = TargetLimits::new(settings.vm.clone());
        limits.warmups.set_bound(settings.bounds.warmup_bound());
        let mut crash_guard = CrashGuard::new();
        // Each crash message is sent to all nodes, so the guard needs a single addressee.
        crash_guard.set_peers([NodeId {
            vm: settings.vm.clone(),
            incarnation: Incarnation(0),
        }]);
        Ok(Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            clock,
            started_at_ms: unix_ms(),
            routing: RefCell::default(),
            routing_since: Cell::new(clock.now()),
            targets_read_at: Cell::new(clock.now()),
            routing_copy: TableCopy::default(),
            targets_copy: TableCopy::default(),
            targets_known: Cell::new(false),
            catalog: RefCell::default(),
            balancers: RefCell::default(),
            limits: RefCell::new(limits),
            notices: RefCell::default(),
            evacuations: RefCell::default(),
            target_paths: RefCell::default(),
            path_doubted: Notify::new(),
            target_pools: TargetPools::new(network),
            helper_choice: RefCell::default(),
            helper_pools: HelperPools::new(Rc::new(SystemNetwork::default())),
            rates: RefCell::new(rates),
            admission_policies: RefCell::default(),
            repeat_budget: RefCell::new(repeat_budget),
            crash_guard: RefCell::new(crash_guard),
            splits: RefCell::default(),
            members: RefCell::default(),
            secret: RefCell::default(),
            secret_doubted: Notify::new(),
            pending_signals: RefCell::default(),
            pending_crash_messages: RefCell::default(),
            pending_crash_checks: RefCell::default(),
            crash_checks_due: Notify::new(),
            pending_outdated: RefCell::default(),
            updates_due: Notify::new(),
            pending_successes: RefCell::default(),
            counts_due: Notify::new(),
            readings_due: Notify::new(),
            heartbeat_due: Notify::new(),
            loop_delay: Cell::new(Duration::ZERO),
            role_changed: Notify::new(),
            store_health: RefCell::default(),
            grace_doubted: Notify::new(),
            is_reader: Cell::new(false),
            joined_at: Cell::new(None),
            meters: EntryMeters::new()?,
            body_budget: BodyBudget::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            traffic: RefCell::default(),
            stop_plan: Cell::new(None),
        }))
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies settings that changed while the process runs.
    pub fn change_settings(&self, settings: EntrySettings) {
        self.repeat_budget
            .borrow_mut()
            .set_terms(settings.repeat_terms());
        self.limits
            .borrow_mut()
            .warmups
            .set_bound(settings.bounds.warmup_bound());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Records that a planned stop has begun.
    pub fn set_leaving(&self, plan: StopPlan) {
        self.stop_plan.set(Some(plan));
    }

    /// Returns the planned stop, if one has begun.
    pub fn stop_plan(&self) -> Option<StopPlan> {
        self.stop_plan.get()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// Returns whether callers may be directed to this node.
    pub fn is_ready(&self) -> bool {
        let has_tables = self.routing.borrow().is_some() && self.targets_known.get();
        // Without the secret no messages of other nodes are accepted, so rates could not be
        // divided.
        let has_secret = self.secret.borrow().is_some();
        has_tables && has_secret && !self.is_leaving() && !self.is_routing_outdated()
    }

    /// Returns whether this node has known for too long of a routing that it does not have.
    ///
    /// Only a routing that a responsive peer has counts, since no node can fetch it otherwise.
    pub fn is_routing_outdated(&self) -> bool {
        let now = self.clock.now();
        let copy = &self.routing_copy;
        let max_lag = self.settings().bounds.max_routing_lag();
        if copy.lag(now).is_none_or(|lag| lag < max_lag) {
            return false;
        }
        let own_version = copy.mirror.borrow().version();
        let members = self.members.borrow();
        members.responsive(now).any(|(_, node)| {
            let heartbeat = node.heartbeat.as_ref();
            heartbeat.is_some_and(|heartbeat| heartbeat.routing_version > own_version)
        })
    }

    /// Records the arrival of a caller's request.
    pub fn record_request(&self) {
        let was_carrying = self.is_carrying();
        self.traffic.borrow_mut().record(self.clock.now());
        if !self.rates.borrow().has_seen_request() {
            // As far as this node knows, this is the fleet's first request: all nodes exchange
            // counts.
            self.counts_due.notify_one();
        }
        if !was_carrying && self.is_carrying() {
            // Nodes that carry traffic exchange counts, so the others must learn of it at once.
            self.heartbeat_due.notify_one();
        }
        if self.in_flight.get() == 0 {
            self.updates_due.notify_one();
        }
    }

    /// Returns whether the node carries traffic.
    pub fn is_carrying(&self) -> bool {
        self.traffic.borrow().is_carrying(self.clock.now())
    }

    /// Returns the local copy of a table.
    pub fn table_copy(&self, kind: TableKind) -> &TableCopy {
        match kind {
            TableKind::Routing => &self.routing_copy,
            TableKind::Targets => &self.targets_copy,
        }
    }

    /// Returns the heartbeat that this node sends to others.
    pub fn heartbeat(&self) -> NodeHeartbeat {
        let settings = self.settings();
        let phase = if self.is_leaving() {
            EntryPhase::Leaving
        } else if self.is_ready() && self.is_cut_off() {
            EntryPhase::CutOff
        } else if self.is_ready() {
            EntryPhase::Serving
        } else {
            EntryPhase::Starting
        };
        let linked = self.is_reader.get() && self.store_health.borrow().is_answering();
        let targets = self.targets_copy.mirror.borrow();
        // A reader that has read the whole table makes the others look for removals that it missed.
        let targets_version = if linked {
            targets.newest_change_version()
        } else {
            targets.newest_row_version()
        };
        NodeHeartbeat {
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_listen,
            phase,
            carrying: self.is_carrying(),
            capacity_millicores: settings.machine.capacity_millicores(),
            linked,
            routing_version: self.routing_copy.mirror.borrow().newest_row_version(),
            targets_version,
        }
    }

    /// Applies changed rows of the operators' table.
    ///
    /// Evacuations come first: a node that starts serves as soon as it has a configuration.
    pub fn apply_routing_rows(&self, changed_rows: &[MirrorRow]) {
        self.apply_evacuation_rows(changed_rows);
        let newest = changed_rows.iter().filter(|row| row.key == ROUTING_ROW);
        let Some(value) = newest.filter_map(|row| row.value.as_ref()).next_back() else {
            return;
        };
        match read_routing(value) {
            Ok(document) => self.apply_routing(document),
            // The current configuration stays in use; a later version may be valid.
            Err(error) => tracing::error!(%error, "configuration rejected"),
        }
    }

    fn apply_routing(&self, document: RoutingDocument) {
        let previous = self.routing.borrow().clone();
        let newest = previous
            .as_ref()
            .map(|previous| previous.document().version);
        if newest.is_some_and(|newest| newest >= document.version) {
            return;
        }
        let now = self.clock.now();
        let limits = document.customers.iter().flatten().map(|customer| {
            let limit = FleetLimit {
                rate_per_s: customer.rate_per_s,
                burst: customer.burst,
            };
            (customer.id.clone(), limit)
        });
        self.rates.borrow_mut().set_limits(now, limits);
        self.splits
            .borrow_mut()
            .retain(|id, _| document.routes.iter().any(|route| route.id == *id));
        let previous = previous.as_ref().map(|table| table.document());
        tracing::info!(
            version = document.version.0,
            before = previous.map(|previous| previous.version.0),
            known_ms = self.routing_copy.ended_lag_ms(),
            routes = document.routes.len(),
            keys = document.keys().count(),
            keys_gone = previous.map(|previous| document.removed_keys_since(previous)),
            "configuration applied"
        );
        let is_first = self.routing.borrow().is_none();
        *self.routing.borrow_mut() = Some(Rc::new(RoutingTable::from(document)));
        self.routing_since.set(now);
        self.apply_row_warmups();
        if is_first {
            // Other nodes can list this one in the directory as soon as it serves.
            self.heartbeat_due.notify_one();
            self.update_repeat_share();
        }
    }

    /// Records that the copy of the targets' table is current.
    pub fn set_targets_known(&self) {
        self.targets_read_at.set(self.clock.now());
        if !self.targets_known.replace(true) {
            let targets = self.catalog.borrow().len();
            tracing::info!(targets, "targets known");
            self.heartbeat_due.notify_one();
            self.update_repeat_share();
        }
    }

    /// Runs a function on the balancer of a service; returns none if there is no balancer.
    pub fn with_balancer<R>(
        &self,
        service: &ServiceId,
        step: impl FnOnce(&mut TargetBalancer) -> R,
    ) -> Option<R> {
        self.balancers.borrow_mut().get_mut(service).map(step)
    }

    /// Refunds what a refused request used of its customer's rate.
    pub fn refund_rate(&self, customer: Option<&CustomerId>) {
        if let Some(customer) = customer {
            self.rates.borrow_mut().refund(customer);
        }
    }

    /// Applies a peer's heartbeat.
    pub fn receive_heartbeat(&self, vm: &VmId, heartbeat: NodeHeartbeat) {
        let now = self.clock.now();
        for kind in [TableKind::Routing, TableKind::Targets] {
            let version = kind.version(&heartbeat);
            if self.table_copy(kind).announce(now, version) {
                tracing::info!(
                    from = %vm,
                    what = kind.path(),
                    version = version.version(),
                    era = version.era(),
                    "newer rows announced"
                );
            }
        }
        self.apply_reader_heartbeat(vm, &heartbeat);
        self.doubt_paths_like(vm, &heartbeat);
        if self.members.borrow_mut().record_heartbeat(vm, heartbeat) {
            tracing::debug!(node = %vm, "node discovered");
            if !self.limits.borrow().is_empty() {
                self.limits.borrow_mut().repeat_soon();
                self.heartbeat_due.notify_one();
            }
            if self.is_reader.get() {
                // The new node can fetch rows as soon as it knows which nodes have them.
                self.heartbeat_due.notify_one();
            }
        }
    }

    /// Returns the metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn encode_metrics(&self) -> Result<Vec<u8>, MeterError> {
        let now = self.clock.now();
        let routing = self.routing.borrow();
        let version = routing.as_ref().map(|table| table.document().version.0);
        let lag = |copy: &TableCopy| copy.lag(now).unwrap_or_default();
        self.meters.record_gauges(&GaugeValues {
            routing_version: version.unwrap_or(0),
            routing_age: now.since(self.routing_since.get()),
            targets_age: now.since(self.targets_read_at.get()),
            routing_lag: lag(&self.routing_copy),
            targets_lag: lag(&self.targets_copy),
            loop_delay: self.loop_delay.get(),
            store_era: self.routing_copy.mirror.borrow().version().era(),
            targets: self.catalog.borrow().len(),
            limited_targets: self.limits.borrow().limited_count(),
            cold_targets: self.limits.borrow().warmups.cold_count(now),
            outdated_targets: self.catalog.borrow().outdated_count(),
            leaving_targets: self.notices.borrow().leaving_count(),
            blocked_requests: self.crash_guard.borrow().blocked_count(self.clock.now()),
            resting_targets: self.notices.borrow().resting_count(now),
            losing_services: self.losing_services(),
            nodes: self.members.borrow().responsive(now).count() + 1,
        });
        self.record_evacuation_gauges();
        self.meters.encode()
    }
}
