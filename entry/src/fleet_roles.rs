//! What a node does for the fleet: who follows the store, and which nodes callers are sent to.

use std::time::Duration;

use damaskloom_lib::entry_nodes::{
    EntryNode, EntryRequirements, cpu_demand, rollout_step, select_entries,
};
use damaskloom_lib::ids::{DataCentreId, ServiceId};
use indexmap::IndexMap;

use crate::entry_state::EntryState;
use crate::settings::EntrySettings;

/// The fewest nodes of a data centre that callers are sent to: the loss of one leaves others.
const MIN_ENTRIES: usize = 3;
/// The time within which answers are wanted of a service that no route names.
const UNROUTED_LATENCY: Duration = Duration::from_secs(1);
/// The nodes that follow the store for the others, over all data centres at least: the loss of one or
/// two leaves others.
const MIN_READERS: usize = 3;
/// The time without a note of a node that follows the store after which a node follows it itself, in
/// milliseconds: one lost note, and well within the time in which changes must be in force.
const READER_SILENT_MS: u64 = 1_400;
/// The time that callers keep a directory answer, in seconds, if the bound allows it: a new choice
/// of nodes is then in force soon after one is lost.
const DIRECTORY_LIFETIME_S: f64 = 4.0;

impl EntryState {
    /// Returns the time for which callers keep a directory answer.
    pub fn directory_lifetime(&self) -> Duration {
        let bound = self.settings().bounds.max_directory_lifetime_s;
        Duration::from_secs_f64(bound.min(DIRECTORY_LIFETIME_S))
    }

    /// Returns all nodes that serve callers, this one included if it does.
    pub fn serving_nodes(&self) -> Vec<EntryNode> {
        let now = self.clock.now();
        let mut nodes: Vec<EntryNode> = self.members.borrow().serving(now).collect();
        if self.is_ready() {
            nodes.push(own_entry(&self.settings()));
        }
        nodes
    }

    /// Returns how many nodes of a data centre carry its traffic.
    pub fn entry_terms(&self) -> EntryRequirements {
        let mut slots: IndexMap<ServiceId, u32> = IndexMap::new();
        for (_, target) in self.catalog.borrow().iter() {
            let said = &target.announcement;
            *slots.entry(said.service.clone()).or_default() += said.slots;
        }
        let routing = self.routing.borrow();
        let demand = |(service, slots): (&ServiceId, &u32)| {
            let table = routing.as_ref();
            let latency = table.and_then(|table| table.latency_objective(service));
            cpu_demand(*slots, latency.unwrap_or(UNROUTED_LATENCY))
        };
        let all: f64 = slots.iter().map(demand).sum();
        let centres = self.settings().data_centres.len().max(1);
        EntryRequirements {
            min_nodes: MIN_ENTRIES,
            min_cpu_millicores: (all / centres as f64).ceil() as u32,
        }
    }

    /// Decides anew whether this node follows the store for others.
    ///
    /// While the node has just joined, registered nodes count although they were not heard yet, so
    /// that not every node of a starting fleet takes itself for the only one.
    pub fn choose_role(&self) {
        let Some(joined_at) = self.joined_at.get() else {
            return;
        };
        let settings = self.settings();
        let now = self.clock.now();
        let joining = now.since(joined_at) < Duration::from_millis(READER_SILENT_MS);
        let members = self.members.borrow();
        let mut nodes: Vec<EntryNode> = if joining {
            members.potential().collect()
        } else {
            members.present(now).collect()
        };
        drop(members);
        nodes.push(own_entry(&settings));
        let centres = settings.data_centres.len().max(1);
        let terms = EntryRequirements {
            min_nodes: MIN_READERS.div_ceil(centres),
            min_cpu_millicores: 0,
        };
        let readers = select_entries(&nodes, &settings.data_centre, terms);
        let is_reader = !self.is_leaving() && readers.iter().any(|node| node.vm == settings.vm);
        if self.is_reader.replace(is_reader) != is_reader {
            self.turn_changed.notify_waiters();
            tracing::info!(
                is_reader,
                heard = nodes.len(),
                "role towards the store changed"
            );
        }
    }

    /// Says whether this node follows the store: for others, or because nobody does it for this one.
    ///
    /// A node that callers may be sent to reads once by itself after a restart, to serve them soon.
    pub fn follows_store(&self) -> bool {
        let Some(joined_at) = self.joined_at.get() else {
            return false;
        };
        if self.is_reader.get() {
            return true;
        }
        let now = self.clock.now();
        let silent = Duration::from_millis(READER_SILENT_MS);
        let informed = self.routing.borrow().is_some() && self.targets_known.get();
        if !informed && !self.settings().first_start && self.is_expected_entry() {
            return true;
        }
        let linked = self.members.borrow().has_recent_linked_node(now, silent);
        !linked && now.since(joined_at) >= silent
    }

    /// Returns in which step of spreading a change this node asks its peers for it: the number of times
    /// that the nodes of its data centre before it can be halved.
    pub fn rollout_step(&self) -> u32 {
        let settings = self.settings();
        let members = self.members.borrow();
        let before = members
            .present(self.clock.now())
            .filter(|node| node.data_centre == settings.data_centre && node.vm < settings.vm)
            .count();
        rollout_step(before)
    }

    /// Returns the nodes that callers may be sent to, heard of or not, this one perhaps among them.
    fn expected_entries(&self) -> Vec<EntryNode> {
        let settings = self.settings();
        let members = self.members.borrow();
        let nodes: Vec<EntryNode> = members.potential().chain([own_entry(&settings)]).collect();
        let terms = self.entry_terms();
        let centres = settings.data_centres.keys();
        centres
            .flat_map(|centre| select_entries(&nodes, centre, terms))
            .cloned()
            .collect()
    }

    /// Returns the other nodes that callers may be sent to, heard of or not.
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

    /// Returns the nodes that callers of a data centre are sent to.
    pub fn entries_of(&self, data_centre: &DataCentreId) -> Vec<EntryNode> {
        let nodes = self.serving_nodes();
        let terms = self.entry_terms();
        let mut chosen: Vec<EntryNode> = select_entries(&nodes, data_centre, terms)
            .into_iter()
            .cloned()
            .collect();
        if chosen.is_empty() {
            // Nobody near serves: any other data centre is better than none.
            let centres = self.settings().data_centres.clone();
            for centre in centres.keys() {
                chosen.extend(select_entries(&nodes, centre, terms).into_iter().cloned());
            }
        }
        chosen
    }

    /// Says whether this node is among those that callers of its data centre are sent to.
    pub fn is_entry(&self) -> bool {
        let settings = self.settings();
        self.entries_of(&settings.data_centre)
            .iter()
            .any(|node| node.vm == settings.vm)
    }
}

fn own_entry(settings: &EntrySettings) -> EntryNode {
    EntryNode {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.caller_listen,
        cpu_millicores: settings.machine.cpu_millicores(),
    }
}
