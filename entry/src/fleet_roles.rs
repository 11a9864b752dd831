//! The roles of nodes in the fleet: which nodes follow the store, and which nodes callers are
//! directed to.

use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_lib::copy_age::TableReading;
use damaskloom_lib::entry_members::{EntryPhase, NodeHeartbeat};
use damaskloom_lib::entry_nodes::{
    EntryNode, EntryRequirements, cpu_demand, rollout_step, select_entries,
};
use damaskloom_lib::ids::{DataCentreId, ServiceId, VmId};
use damaskloom_lib::repeat_budget::AllowanceShare;
use indexmap::IndexMap;

use crate::entry_state::EntryState;
use crate::peer_wire::TableReadings;
use crate::settings::EntrySettings;
use crate::table_copy::TableKind;

/// The number of entry nodes of a data centre if they have the capacity for its traffic.
const PREFERRED_ENTRY_NODES: usize = 3;
/// The minimum number of entry nodes of a data centre, so that the loss of one leaves others. Two
/// large ones are preferred to many small ones.
const MIN_ENTRY_NODES: usize = 2;
/// The latency objective of a service that no route names.
const UNROUTED_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// The minimum number of nodes, over all data centres, that follow the store for the others, so
/// that the loss of one or two leaves others.
const MIN_READERS: usize = 3;
/// The time without a heartbeat of a reader after which a node follows the store itself, in
/// milliseconds. It tolerates one lost heartbeat, and is well within the time in which changes must
/// take effect.
const READER_TIMEOUT_MS: u64 = 1_400;
/// The time for which callers cache a directory answer, in seconds, unless the configured bound is
/// lower: a short one, so that callers soon switch to other nodes after one is lost.
const DIRECTORY_LIFETIME_S: f64 = 4.0;

impl EntryState {
    /// Returns the time for which callers may cache a directory answer.
    pub fn directory_lifetime(&self) -> Duration {
        let bound = self.settings().bounds.max_directory_lifetime_s;
        Duration::from_secs_f64(bound.min(DIRECTORY_LIFETIME_S))
    }

    /// Returns all nodes that serve callers, including this one if it does. If no node reaches a
    /// target, those that could serve otherwise are returned, so that callers keep asking them.
    pub fn serving_nodes(&self) -> Vec<EntryNode> {
        let serving = self.ready_nodes(EntryPhase::Serving);
        if serving.is_empty() {
            self.ready_nodes(EntryPhase::CutOff)
        } else {
            serving
        }
    }

    fn ready_nodes(&self, phase: EntryPhase) -> Vec<EntryNode> {
        let now = self.clock.now();
        let mut nodes: Vec<EntryNode> = self.members.borrow().in_phase(now, phase).collect();
        let is_cut_off = phase == EntryPhase::CutOff;
        if self.is_ready() && self.is_cut_off() == is_cut_off {
            nodes.push(own_node(&self.settings()));
        }
        nodes
    }

    /// Returns how many nodes, and how much processor capacity, a data centre needs for its
    /// traffic.
    pub fn entry_requirements(&self) -> EntryRequirements {
        let mut slots: IndexMap<ServiceId, u32> = IndexMap::new();
        for (_, target) in self.catalog.borrow().iter() {
            let announcement = &target.announcement;
            let total = slots.entry(announcement.service.clone()).or_default();
            *total = total.saturating_add(announcement.slots);
        }
        let routing = self.routing.borrow();
        let demand = |(service, slots): (&ServiceId, &u32)| {
            let table = routing.as_ref();
            let latency = table.and_then(|table| table.latency_objective(service));
            cpu_demand(*slots, latency.unwrap_or(UNROUTED_LATENCY_OBJECTIVE))
        };
        let total_demand: f64 = slots.iter().map(demand).sum();
        let centres = self.settings().data_centres.len().max(1);
        EntryRequirements {
            preferred_nodes: PREFERRED_ENTRY_NODES,
            min_nodes: MIN_ENTRY_NODES,
            min_capacity_millicores: (total_demand / centres as f64).ceil() as u32,
        }
    }

    /// Updates whether this node follows the store for others.
    ///
    /// Shortly after the node has joined, registered nodes count even before their first heartbeat,
    /// so that the nodes of a starting fleet do not all become readers.
    pub fn update_role(&self) {
        let Some(joined_at) = self.joined_at.get() else {
            return;
        };
        let settings = self.settings();
        let now = self.clock.now();
        let joining = now.since(joined_at) < Duration::from_millis(READER_TIMEOUT_MS);
        let members = self.members.borrow();
        let mut nodes: Vec<EntryNode> = if joining {
            members.potential().collect()
        } else {
            members.present(now).collect()
        };
        drop(members);
        nodes.push(own_node(&settings));
        let centres = settings.data_centres.len().max(1);
        let reader_count = MIN_READERS.div_ceil(centres);
        let requirements = EntryRequirements {
            preferred_nodes: reader_count,
            min_nodes: reader_count,
            min_capacity_millicores: 0,
        };
        let readers = select_entries(&nodes, &settings.data_centre, requirements);
        let is_reader = !self.is_leaving() && readers.iter().any(|node| node.vm == settings.vm);
        if self.is_reader.replace(is_reader) != is_reader {
            self.role_changed.notify_waiters();
            tracing::info!(is_reader, heard = nodes.len(), "store reader role changed");
        }
    }

    /// Divides the limits of customers while nodes are silent that may go on serving callers.
    pub fn update_partition(&self) {
        let now = self.clock.now();
        let own = self.settings().data_centre.clone();
        let partition = self
            .members
            .borrow_mut()
            .update_partition(now, &own)
            .clone();
        let mut rates = self.rates.borrow_mut();
        if rates.set_partition(now, partition.clone()) {
            let (silent, heard_part) = (partition.silent.len(), partition.heard_part);
            tracing::info!(
                silent,
                heard_part,
                "limits divided among the parts of the fleet"
            );
        }
    }

    /// Updates this node's part of the allowance of repeats: one of the nodes that carry traffic, or are
    /// expected to, has an even part.
    pub fn update_repeat_share(&self) {
        self.set_repeat_share(self.expected_entry_nodes().len());
    }

    /// Updates this node's part of the allowance of repeats, given the number of other nodes that
    /// callers may be directed to.
    pub fn set_repeat_share(&self, expected: usize) {
        let share = if self.is_carrying() || self.is_entry() {
            let now = self.clock.now();
            let carrying = self.members.borrow().carrying(now).count();
            AllowanceShare::OneOf(carrying.max(expected) + 1)
        } else {
            AllowanceShare::None
        };
        self.repeat_budget.borrow_mut().set_share(share);
    }

    /// Returns whether this node follows the store: as a reader for others, or because it receives
    /// no heartbeat from a reader.
    ///
    /// An entry node reads the tables itself after a restart, so that it can serve callers soon.
    pub fn follows_store(&self) -> bool {
        let Some(joined_at) = self.joined_at.get() else {
            return false;
        };
        if self.is_reader.get() {
            return true;
        }
        let now = self.clock.now();
        let reader_timeout = Duration::from_millis(READER_TIMEOUT_MS);
        let has_tables = self.routing.borrow().is_some() && self.targets_known.get();
        if !has_tables && !self.settings().first_start && self.is_expected_entry() {
            return true;
        }
        let has_recent_reader = self
            .members
            .borrow()
            .has_recent_linked_node(now, reader_timeout);
        !has_recent_reader && now.since(joined_at) >= reader_timeout
    }

    /// Returns whether this node reads a table from the store: it follows the store, its copy may be too old, or
    /// its peers do not deliver rows that they have announced.
    pub fn reads_store(&self, kind: TableKind) -> bool {
        self.follows_store() || self.time_until_store_read(kind) == Some(Duration::ZERO)
    }

    /// Returns the time until this node reads a table from the store unless missing rows arrive and a peer's
    /// reading shows that the copy is current; none before the copy is known.
    pub fn time_until_store_read(&self, kind: TableKind) -> Option<Duration> {
        let now = self.clock.now();
        let copy = self.table_copy(kind);
        let settings = self.settings();
        let delivery_time = settings.bounds.peer_delivery_time(kind);
        let until_overdue = copy.lag(now).map(|lag| delivery_time.saturating_sub(lag));
        let apply_time = settings.bounds.apply_time(kind);
        let age = copy.age.borrow();
        let until_old = age.time_until_read(now, apply_time, self.rollout_step());
        until_overdue.into_iter().chain(until_old).min()
    }

    /// Records that the store has answered this node's reading of a table, and tells peers.
    pub fn record_store_read(&self, kind: TableKind) {
        let now = self.clock.now();
        self.table_copy(kind).age.borrow_mut().record_read(now);
        self.readings_due.notify_one();
    }

    /// Returns what this node can tell peers of its readings of the store.
    pub fn table_readings(&self) -> TableReadings {
        let now = self.clock.now();
        let heartbeat = self.heartbeat();
        let reading = |kind: TableKind| {
            let age = self.table_copy(kind).age.borrow();
            age.reading(now, kind.version(&heartbeat))
        };
        TableReadings {
            routing: reading(TableKind::Routing),
            targets: reading(TableKind::Targets),
        }
    }

    /// Applies what a peer says of its readings of the store.
    pub fn apply_readings(&self, vm: &VmId, readings: TableReadings) {
        self.members.borrow_mut().record_readings(vm);
        self.apply_reading(TableKind::Routing, readings.routing);
        self.apply_reading(TableKind::Targets, readings.targets);
    }

    /// Takes the heartbeat of a reader of the build before for a reading: it says nothing else of them.
    pub fn apply_reader_heartbeat(&self, vm: &VmId, heartbeat: &NodeHeartbeat) {
        let is_local = heartbeat.data_centre == self.settings().data_centre;
        let tells_readings = self.members.borrow().tells_readings(vm);
        if !heartbeat.linked || !is_local || tells_readings {
            return;
        }
        for kind in [TableKind::Routing, TableKind::Targets] {
            let reading = TableReading {
                version: kind.version(heartbeat),
                age_ms: 0,
            };
            self.apply_reading(kind, Some(reading));
        }
    }

    fn apply_reading(&self, kind: TableKind, reading: Option<TableReading>) {
        let Some(reading) = reading else {
            return;
        };
        let now = self.clock.now();
        let copy = self.table_copy(kind);
        let version = copy.mirror.borrow().version();
        let mut age = copy.age.borrow_mut();
        age.record_reading(now, version, reading);
    }

    /// Returns where a node takes requests of other nodes; none if the node is not known.
    pub fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        let port = self.settings().peer_port;
        let ip = self.members.borrow().ip(vm)?;
        Some(SocketAddr::new(ip, port))
    }

    /// Returns whether a node was heard recently.
    pub fn is_responsive(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let members = self.members.borrow();
        members.responsive(now).any(|(known, _)| known == vm)
    }

    /// Returns the step in which this node fetches a change from its peers: 0 for the first node of
    /// its data centre in the order of names, 1 for the next two, 2 for the next four.
    pub fn rollout_step(&self) -> u32 {
        let settings = self.settings();
        let members = self.members.borrow();
        let nodes_before = members
            .present(self.clock.now())
            .filter(|node| node.data_centre == settings.data_centre && node.vm < settings.vm)
            .count();
        rollout_step(nodes_before)
    }

    /// Returns the nodes that callers may be directed to, whether or not they have sent a
    /// heartbeat; this node may be among them.
    fn expected_entries(&self) -> Vec<EntryNode> {
        let settings = self.settings();
        let members = self.members.borrow();
        let nodes: Vec<EntryNode> = members.potential().chain([own_node(&settings)]).collect();
        let requirements = self.entry_requirements();
        let centres = settings.data_centres.keys();
        centres
            .flat_map(|centre| select_entries(&nodes, centre, requirements))
            .cloned()
            .collect()
    }

    /// Returns the other nodes that callers may be directed to, whether or not they have sent a
    /// heartbeat.
    pub fn expected_entry_nodes(&self) -> Vec<EntryNode> {
        let mut entries = self.expected_entries();
        let own = self.settings().vm.clone();
        entries.retain(|node| node.vm != own);
        entries
    }

    fn is_expected_entry(&self) -> bool {
        let own = self.settings().vm.clone();
        self.expected_entries().iter().any(|node| node.vm == own)
    }

    /// Returns the nodes that callers of a data centre are directed to.
    pub fn entries_of(&self, data_centre: &DataCentreId) -> Vec<EntryNode> {
        let nodes = self.serving_nodes();
        let requirements = self.entry_requirements();
        let mut selected: Vec<EntryNode> = select_entries(&nodes, data_centre, requirements)
            .into_iter()
            .cloned()
            .collect();
        if selected.is_empty() {
            // No node of the data centre serves, so callers are directed to the other data centres.
            selected = self.all_entries();
        }
        selected
    }

    /// Returns the nodes that callers of all data centres are directed to.
    pub fn all_entries(&self) -> Vec<EntryNode> {
        let nodes = self.serving_nodes();
        let requirements = self.entry_requirements();
        let settings = self.settings();
        let centres = settings.data_centres.keys();
        centres
            .flat_map(|centre| select_entries(&nodes, centre, requirements))
            .cloned()
            .collect()
    }

    /// Returns whether callers of its data centre are directed to this node.
    pub fn is_entry(&self) -> bool {
        let settings = self.settings();
        self.entries_of(&settings.data_centre)
            .iter()
            .any(|node| node.vm == settings.vm)
    }
}

pub(crate) fn own_node(settings: &EntrySettings) -> EntryNode {
    EntryNode {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.caller_listen,
        capacity_millicores: settings.machine.capacity_millicores(),
    }
}
