//! Selects the nodes that callers are sent to.
//!
//! A few nodes of each data centre carry its traffic, so that evidence, rates and connections are
//! concentrated in few places. They are selected by rendezvous hashing over the known nodes, weighted
//! by capacity, so that all nodes arrive at the same selection without a message. Callers spread
//! evenly over the selected nodes, so each of these must have the capacity for an even share. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DataCentreId, VmId};
use crate::rendezvous::StableHash;

/// A node that may carry traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryNode {
    /// The node's VM.
    pub vm: VmId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub address: SocketAddr,
    /// The capacity of the node for requests, in thousandths of a core; see [`node_capacity`].
    pub capacity_millicores: u32,
}

/// The requirements on the set of nodes that carry a data centre's traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRequirements {
    /// The number of nodes if they can carry the traffic.
    pub preferred_nodes: usize,
    /// The minimum number of nodes, so that the loss of one leaves others.
    pub min_nodes: usize,
    /// The capacity that the traffic needs, in thousandths of a core.
    pub min_capacity_millicores: u32,
}

/// The CPU time of one request on a node, in seconds: both connections, routing, selection, logs.
const CPU_S_PER_REQUEST: f64 = 0.000_5;
/// The fraction of a node's CPU capacity that requests may use when all slots of the targets are busy.
const MAX_CPU_UTILISATION: f64 = 0.5;
/// The bytes of one request on a node's link in the busier direction: a request and an answer.
const LINK_BYTES_PER_REQUEST: f64 = 8_000.0;
/// The fraction of a node's link that requests may use when all slots of the targets are busy.
const MAX_LINK_UTILISATION: f64 = 0.5;
/// The fraction of a node's CPU time or link that requests may use where that avoids selecting many
/// more nodes, which would spread evidence and cost more messages.
const STRETCHED_UTILISATION: f64 = 0.75;
/// The typical running time as a fraction of the latency objective: objectives leave room for the
/// slowest of a hundred requests.
const TYPICAL_RUNNING_FRACTION: f64 = 0.33;

/// Returns the CPU capacity that requests need when all of a service's slots are busy, in thousandths
/// of a core.
///
/// `latency_objective` is the time within which the service's requests are to be answered.
pub fn cpu_demand(slots: u32, latency_objective: Duration) -> f64 {
    let running_s = (latency_objective.as_secs_f64() * TYPICAL_RUNNING_FRACTION).max(0.001);
    let requests_per_s = f64::from(slots) / running_s;
    requests_per_s * CPU_S_PER_REQUEST / MAX_CPU_UTILISATION * 1_000.0
}

/// Returns a node's capacity for requests, in thousandths of a core: its CPU capacity, or what its
/// link can carry if that is less.
pub fn node_capacity(cpu_millicores: u32, link_mbps: f64) -> u32 {
    let bytes_per_s = link_mbps * 1e6 / 8.0 * MAX_LINK_UTILISATION;
    let requests_per_s = bytes_per_s / LINK_BYTES_PER_REQUEST;
    let link_millicores = requests_per_s * CPU_S_PER_REQUEST / MAX_CPU_UTILISATION * 1_000.0;
    cpu_millicores.min((link_millicores as u32).max(1))
}

/// Returns the step of a rollout in which a node fetches a change, by the number of nodes before it in
/// order. Each step has twice the nodes of the one before, so that every node finds a peer that no
/// other node fetches from.
pub fn rollout_step(before: usize) -> u32 {
    (before + 1).ilog2()
}

/// Selects the nodes of one data centre that carry its traffic: few nodes, each of which has the
/// capacity for an even share.
pub fn select_entries<'a>(
    nodes: impl IntoIterator<Item = &'a EntryNode>,
    data_centre: &DataCentreId,
    requirements: EntryRequirements,
) -> Vec<&'a EntryNode> {
    let mut ranked: Vec<(f64, &EntryNode)> = nodes
        .into_iter()
        .filter(|node| node.data_centre == *data_centre)
        .map(|node| (rank(node), node))
        .collect();
    ranked.sort_by(|(left, _), (right, _)| right.total_cmp(left));
    let mut capacities: Vec<u32> = ranked
        .iter()
        .map(|(_, node)| node.capacity_millicores)
        .collect();
    capacities.sort_by(|left, right| right.cmp(left));
    let EntryRequirements {
        preferred_nodes,
        min_nodes,
        min_capacity_millicores,
    } = requirements;
    let share = |count: usize| min_capacity_millicores.div_ceil(count as u32);
    let few = || {
        [preferred_nodes]
            .into_iter()
            .chain((min_nodes..preferred_nodes).rev())
    };
    let planned = few().map(|count| (count, share(count)));
    let stretched = few().map(|count| (count, stretched_capacity(share(count))));
    let more = (preferred_nodes + 1..=ranked.len()).map(|count| (count, share(count)));
    let is_sufficient = |(count, min_capacity): &(usize, u32)| {
        let smallest = count.checked_sub(1).and_then(|last| capacities.get(last));
        smallest.is_some_and(|smallest| smallest >= min_capacity)
    };
    let sufficient = planned.chain(stretched).chain(more).find(is_sufficient);
    let (count, min_capacity) = match sufficient {
        Some(sufficient) => sufficient,
        // The nodes cannot carry the traffic: those that can carry the most of it are selected.
        None => {
            let best = (min_nodes.clamp(1, ranked.len().max(1))..=ranked.len())
                .max_by_key(|count| u64::from(capacities[count - 1]) * *count as u64);
            best.map_or((0, 0), |count| (count, capacities[count - 1]))
        }
    };
    let fitting = ranked.into_iter().map(|(_, node)| node);
    fitting
        .filter(|node| node.capacity_millicores >= min_capacity)
        .take(count)
        .collect()
}

/// Returns the capacity that a node needs for a share of the traffic at the stretched utilisation.
fn stretched_capacity(share: u32) -> u32 {
    (f64::from(share) * MAX_CPU_UTILISATION / STRETCHED_UTILISATION).ceil() as u32
}

/// Ranks a node by weighted rendezvous hashing: one of twice the size is twice as likely to be first.
fn rank(node: &EntryNode) -> f64 {
    let hash = StableHash::of(node.vm.as_bytes()).0;
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(node.capacity_millicores.max(1)) / -uniform.ln()
}
