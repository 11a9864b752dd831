//! The state that all tasks of an entry process share.
//!
//! The process has one thread, so that the state is in cells that are borrowed for one step and
//! never across an await; see docs/design/platform-adapter.md.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use damaskloom_gateway::clock::MonoClock;
use damaskloom_gateway::meter_registry::MeterError;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::crash_guard::{CrashGuard, CrashMessage};
use damaskloom_lib::entry_members::{EntryMembers, EntryPhase, NodeHeartbeat};
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::fleet_rate::{FleetLimit, FleetRates};
use damaskloom_lib::ids::{CustomerId, Incarnation, NodeId, RouteId, ServiceId, TargetId, VmId};
use damaskloom_lib::repeat_budget::RepeatBudget;
use damaskloom_lib::routing::{RoutingDocument, RoutingTable};
use damaskloom_lib::table_mirror::{MirrorRow, TableMirror};
use damaskloom_lib::target_balancer::{
    ServiceBalancers, SignalOutcome, SuspicionChange, TargetBalancer, TargetCode,
};
use damaskloom_lib::target_catalog::{CatalogChange, TargetCatalog};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::traffic_meter::TrafficMeter;
use damaskloom_lib::weighted_split::WeightedSplit;
use damaskloom_platform::routing_reader::read_routing;
use damaskloom_platform::store_client::ROUTING_ROW;
use damaskloom_platform::target_reader::read_announcement;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::Notify;

use crate::entry_meters::{EntryMeters, KnownState};
use crate::settings::EntrySettings;
use crate::target_pool::TargetPools;
use crate::wall_clock::unix_ms;

/// Everything that the tasks of one entry process read and write.
#[derive(Debug)]
pub struct EntryState {
    /// The settings in force.
    pub settings: RefCell<Rc<EntrySettings>>,
    /// The process's clock.
    pub clock: MonoClock,
    /// The time of this start, in Unix milliseconds; tells it from earlier ones.
    pub started_at_ms: u64,
    /// The routing in force; none until the first one was read.
    pub routing: RefCell<Option<Rc<RoutingTable>>>,
    /// When the routing in force was taken over.
    pub routing_since: Cell<MonoTime>,
    /// When this node's copy of the targets was known to be new.
    pub targets_read_at: Cell<MonoTime>,
    /// The copy of the operators' table.
    pub routing_mirror: RefCell<TableMirror>,
    /// The copy of the targets' table.
    pub target_mirror: RefCell<TableMirror>,
    /// Whether the targets' table was read once.
    pub targets_known: Cell<bool>,
    /// The targets.
    pub catalog: RefCell<TargetCatalog>,
    /// What is believed of the targets that take work.
    pub boards: RefCell<ServiceBalancers>,
    /// The connections to targets.
    pub pools: TargetPools,
    /// The customers' limits.
    pub rates: RefCell<FleetRates>,
    /// The budget of repeats.
    pub repeats: RefCell<RepeatBudget>,
    /// The requests that take targets down.
    pub crashes: RefCell<CrashGuard>,
    /// The turns of routes with several destinations.
    pub splits: RefCell<IndexMap<RouteId, WeightedSplit>>,
    /// The other nodes.
    pub members: RefCell<EntryMembers>,
    /// What the nodes prove themselves to each other with; none until it was agreed on.
    pub secret: RefCell<Option<SharedSecret>>,
    /// What others are to be told of targets.
    pub signs: RefCell<Vec<(TargetId, FailureSignal)>>,
    /// What others are to be told of requests that take targets down.
    pub crash_news: RefCell<Vec<CrashMessage>>,
    /// Wakes whoever tells others news of targets.
    pub news_ready: Notify,
    /// The targets that gave good answers since near nodes were told of them.
    pub goods: RefCell<IndexSet<TargetCode>>,
    /// Wakes whoever tells others the counts.
    pub counts_due: Notify,
    /// Wakes whoever tells others that the node is there.
    pub presence_due: Notify,
    /// Wakes whoever waits for this node's turn to follow the store.
    pub turn_changed: Notify,
    /// Wakes whoever fetches rows from peers that have newer ones.
    pub peer_newer: Notify,
    /// Whether the store answers this node's reads of the targets.
    pub store_linked: Cell<bool>,
    /// Whether this node is one of those that follow the store for others.
    pub is_reader: Cell<bool>,
    /// When this node knew the other nodes' registrations; none before.
    pub joined_at: Cell<Option<MonoTime>>,
    /// The metrics.
    pub meters: EntryMeters,
    /// The requests in flight.
    pub in_flight: Cell<usize>,
    /// The open connections of callers.
    pub connections: Cell<usize>,
    traffic: RefCell<TrafficMeter>,
    leaving: Cell<bool>,
}

impl EntryState {
    /// Makes the state of a process that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(settings: EntrySettings) -> Result<Rc<Self>, MeterError> {
        let repeats = RepeatBudget::new(settings.bounds.repeat_terms());
        let clock = MonoClock::start();
        let rates = FleetRates::new(clock.now(), settings.bounds.rate_tolerance());
        let mut crashes = CrashGuard::new();
        // Its news goes to all nodes in one datagram, so that it needs one addressee only.
        crashes.set_peers([NodeId {
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
            routing_mirror: RefCell::default(),
            target_mirror: RefCell::default(),
            targets_known: Cell::new(false),
            catalog: RefCell::default(),
            boards: RefCell::default(),
            pools: TargetPools::default(),
            rates: RefCell::new(rates),
            repeats: RefCell::new(repeats),
            crashes: RefCell::new(crashes),
            splits: RefCell::default(),
            members: RefCell::default(),
            secret: RefCell::default(),
            signs: RefCell::default(),
            crash_news: RefCell::default(),
            news_ready: Notify::new(),
            goods: RefCell::default(),
            counts_due: Notify::new(),
            presence_due: Notify::new(),
            peer_newer: Notify::new(),
            turn_changed: Notify::new(),
            store_linked: Cell::new(false),
            is_reader: Cell::new(false),
            joined_at: Cell::new(None),
            meters: EntryMeters::new()?,
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            traffic: RefCell::default(),
            leaving: Cell::new(false),
        }))
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes over settings that were changed while the process runs.
    pub fn change_settings(&self, settings: EntrySettings) {
        self.repeats
            .borrow_mut()
            .set_terms(settings.bounds.repeat_terms());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Notes that a planned stop has begun.
    pub fn set_leaving(&self) {
        self.leaving.set(true);
    }

    /// Says whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Says whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows = self.routing.borrow().is_some() && self.targets_known.get();
        // Without the secret no other node is heard, so that rates could not be divided.
        knows && !self.is_leaving() && self.secret.borrow().is_some()
    }

    /// Notes that a caller's request arrived.
    pub fn note_request(&self) {
        let carried = self.is_carrying();
        self.traffic.borrow_mut().note(self.clock.now());
        if !self.rates.borrow().has_seen_request() {
            // The fleet's first request, as far as this node knows: all tell each other their counts.
            self.counts_due.notify_one();
        }
        if !carried && self.is_carrying() {
            // Nodes that carry traffic tell each other their counts, so they hear of it at once.
            self.presence_due.notify_one();
        }
        if self.in_flight.get() == 0 {
            self.news_ready.notify_one();
        }
    }

    /// Says whether the node carries traffic.
    pub fn is_carrying(&self) -> bool {
        self.traffic.borrow().is_carrying(self.clock.now())
    }

    /// Returns what others are told of this node.
    pub fn presence(&self) -> NodeHeartbeat {
        let settings = self.settings();
        let phase = if self.is_leaving() {
            EntryPhase::Leaving
        } else if self.is_ready() {
            EntryPhase::Serving
        } else {
            EntryPhase::Starting
        };
        NodeHeartbeat {
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_listen,
            phase,
            carrying: self.is_carrying(),
            cpu_millicores: settings.machine.cpu_millicores(),
            linked: self.is_reader.get() && self.store_linked.get(),
            routing_version: self.routing_mirror.borrow().newest_row_version(),
            targets_version: self.target_mirror.borrow().newest_row_version(),
        }
    }

    /// Takes in rows of the operators' table.
    pub fn take_routing_rows(&self, news: &[MirrorRow]) {
        let newest = news.iter().filter(|row| row.key == ROUTING_ROW);
        let Some(value) = newest.filter_map(|row| row.value.as_ref()).next_back() else {
            return;
        };
        match read_routing(value) {
            Ok(document) => self.take_routing(document),
            // The configuration in force stays; the next version may be readable.
            Err(error) => tracing::error!(%error, "configuration not taken"),
        }
    }

    fn take_routing(&self, document: RoutingDocument) {
        let held = self.routing.borrow().clone();
        let newest = held.as_ref().map(|held| held.document().version);
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
        let held = held.as_ref().map(|table| table.document());
        tracing::info!(
            version = document.version.0,
            before = held.map(|held| held.version.0),
            routes = document.routes.len(),
            keys = document.keys().count(),
            keys_gone = held.map(|held| document.removed_keys_since(held)),
            "configuration in force"
        );
        let is_first = self.routing.borrow().is_none();
        *self.routing.borrow_mut() = Some(Rc::new(RoutingTable::from(document)));
        self.routing_since.set(now);
        if is_first {
            // Other nodes can name this one to callers as soon as it serves.
            self.presence_due.notify_one();
        }
    }

    /// Notes that the targets' table is known.
    pub fn set_targets_known(&self) {
        self.targets_read_at.set(self.clock.now());
        if !self.targets_known.replace(true) {
            let targets = self.catalog.borrow().len();
            tracing::info!(targets, "targets known");
            self.presence_due.notify_one();
        }
    }

    /// Takes in rows of the targets' table.
    pub fn take_target_rows(&self, news: &[MirrorRow]) {
        let now = self.clock.now();
        for row in news {
            let Ok(id) = row.key.parse::<TargetId>() else {
                tracing::warn!(row = %row.key, "row names no target");
                continue;
            };
            let read = row.value.as_ref().map(|value| read_announcement(value));
            let change = match read {
                Some(Ok(announcement)) => {
                    self.catalog
                        .borrow_mut()
                        .apply_announcement(now, id, announcement)
                }
                Some(Err(error)) => {
                    tracing::warn!(row = %row.key, %error, "row names no target");
                    self.catalog.borrow_mut().remove_announcement(now, &id)
                }
                None => self.catalog.borrow_mut().remove_announcement(now, &id),
            };
            if let Some(change) = change {
                self.take_catalog_change(now, &change);
            }
        }
    }

    /// Drops targets that did not come back after an outage of the store.
    pub fn tick_catalog(&self) {
        let now = self.clock.now();
        let gone = self.catalog.borrow_mut().tick(now);
        for change in gone {
            self.take_catalog_change(now, &change);
        }
    }

    fn take_catalog_change(&self, now: MonoTime, change: &CatalogChange) {
        let (id, started) = match change {
            CatalogChange::Started(id) => (id, true),
            CatalogChange::Updated(id) => (id, false),
            CatalogChange::Removed(id) => (id, false),
        };
        let catalog = self.catalog.borrow();
        let mut boards = self.boards.borrow_mut();
        let known = catalog.get(id);
        let row = self.target_mirror.borrow().version();
        let Some(target) = known.filter(|target| !target.announcement.leaving) else {
            let why = if known.is_some() { "leaving" } else { "gone" };
            tracing::info!(id = %id, why, row, "target gets no more work");
            boards.values_mut().for_each(|board| board.remove(id));
            self.pools.remove(id);
            return;
        };
        let said = &target.announcement;
        if started {
            boards.values_mut().for_each(|board| board.remove(id));
            self.pools.remove(id);
        }
        let own = self.settings().data_centre.clone();
        let board = boards
            .entry(said.service.clone())
            .or_insert_with(|| TargetBalancer::new(own));
        if !board.contains(id) {
            if self.targets_known.get() {
                tracing::info!(id = %id, service = %said.service, row, "target gets work");
            }
            let centre = said.data_centre.clone();
            board.insert(now, id.clone(), centre, said.slots, said.warmup_left);
        }
    }

    /// Runs a step on the board of a service.
    pub fn with_board<R>(
        &self,
        service: &ServiceId,
        step: impl FnOnce(&mut TargetBalancer) -> R,
    ) -> Option<R> {
        self.boards.borrow_mut().get_mut(service).map(step)
    }

    /// Takes in what an attempt showed, and notes it for others if they should know.
    pub fn observe(&self, service: &ServiceId, target: &TargetId, sign: FailureSignal) {
        let now = self.clock.now();
        let outcome = self.with_board(service, |board| board.record_signal(now, target, sign));
        let outcome = outcome.flatten();
        if let Some(outcome) = &outcome {
            note_belief(target, sign, outcome, None);
        }
        if outcome.is_some_and(|outcome| outcome.should_share) {
            self.signs.borrow_mut().push((target.clone(), sign));
            self.news_ready.notify_one();
        } else if sign == FailureSignal::Good {
            self.goods.borrow_mut().insert(TargetCode::from(target));
        }
    }

    /// Takes in what a peer saw of a target.
    pub fn observe_peer(&self, peer: &VmId, target: &TargetId, sign: FailureSignal) {
        let now = self.clock.now();
        // Nodes without traffic decide nothing by what they believe.
        let carries = self.is_carrying();
        for board in self.boards.borrow_mut().values_mut() {
            let outcome = board.record_peer_signal(now, target, sign);
            if let Some(outcome) = outcome.filter(|_| carries) {
                note_belief(target, sign, &outcome, Some(peer));
            }
        }
    }

    /// Finds answers that became late, and takes them as signs of their targets.
    pub fn observe_late(&self) {
        let now = self.clock.now();
        let mut late: Vec<(ServiceId, TargetId)> = Vec::new();
        for (service, board) in self.boards.borrow_mut().iter_mut() {
            let targets = board.collect_late(now).into_iter();
            late.extend(targets.map(|id| (service.clone(), id)));
        }
        for (service, target) in late {
            self.observe(&service, &target, FailureSignal::Late);
        }
    }

    /// Gives back what a refused request took of its customer's rate.
    pub fn give_back_rate(&self, customer: Option<&CustomerId>) {
        if let Some(customer) = customer {
            self.rates.borrow_mut().refund(customer);
        }
    }

    /// Takes in a peer's presence note.
    pub fn take_presence(&self, vm: &VmId, note: NodeHeartbeat) {
        let newer = note.routing_version > self.routing_mirror.borrow().newest_row_version()
            || note.targets_version > self.target_mirror.borrow().newest_row_version();
        if newer {
            self.peer_newer.notify_one();
        }
        if self.members.borrow_mut().record_heartbeat(vm, note) {
            tracing::debug!(node = %vm, "node heard of");
            if self.is_reader.get() {
                // The new node can fetch rows as soon as it knows who has them.
                self.presence_due.notify_one();
            }
        }
    }

    /// Returns the metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be encoded.
    pub fn encode_metrics(&self) -> Result<Vec<u8>, MeterError> {
        let now = self.clock.now();
        let routing = self.routing.borrow();
        let version = routing.as_ref().map(|table| table.document().version.0);
        self.meters.note_known(&KnownState {
            routing_version: version.unwrap_or(0),
            routing_age: now.since(self.routing_since.get()),
            targets_age: now.since(self.targets_read_at.get()),
            targets: self.catalog.borrow().len(),
            nodes: self.members.borrow().responsive(now).count() + 1,
        });
        self.meters.encode()
    }
}

/// Logs a change of what is believed of a target; `from` is the peer whose sign it was.
fn note_belief(
    target: &TargetId,
    sign: FailureSignal,
    outcome: &SignalOutcome,
    from: Option<&VmId>,
) {
    let from = from.map_or("here", |vm| vm.as_str());
    let (before, after) = (outcome.before, outcome.after);
    match outcome.change {
        Some(SuspicionChange::Suspected) => {
            tracing::info!(id = %target, ?sign, from, before, after, "target suspected");
        }
        Some(SuspicionChange::Trusted) => {
            tracing::info!(id = %target, ?sign, from, before, after, "target trusted again");
        }
        None => {}
    }
}
