//! Selects the nodes that callers are sent to.
//!
//! A few nodes of each data centre carry its traffic, so that evidence, rates and connections are
//! concentrated in few places. They are selected by rendezvous hashing over the known nodes, weighted
//! by CPU capacity, so that all nodes arrive at the same selection without a message. See
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
    /// The CPU capacity of the node, in thousandths of a core.
    pub cpu_millicores: u32,
}

/// The requirements on the set of nodes that carry a data centre's traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRequirements {
    /// The minimum number of nodes, so that the loss of one leaves others.
    pub min_nodes: usize,
    /// The minimum CPU capacity of all of them together, in thousandths of a core.
    pub min_cpu_millicores: u32,
}

/// The CPU time of one request on a node, in seconds: both connections, routing, selection, logs.
const CPU_S_PER_REQUEST: f64 = 0.000_5;
/// The fraction of a node's CPU capacity that requests may use when all slots of the targets are busy.
const MAX_CPU_UTILISATION: f64 = 0.5;
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

/// Returns the step of a rollout in which a node fetches a change, by the number of nodes before it in
/// order. Each step has twice the nodes of the one before, so that every node finds a peer that no
/// other node fetches from.
pub fn rollout_step(before: usize) -> u32 {
    (before + 1).ilog2()
}

/// Selects the nodes of one data centre that carry its traffic.
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
    let mut selected = Vec::new();
    let mut cpu_millicores = 0;
    for (_, node) in ranked {
        if selected.len() >= requirements.min_nodes
            && cpu_millicores >= requirements.min_cpu_millicores
        {
            break;
        }
        cpu_millicores += node.cpu_millicores;
        selected.push(node);
    }
    selected
}

/// Ranks a node by weighted rendezvous hashing: one of twice the size is twice as likely to be first.
fn rank(node: &EntryNode) -> f64 {
    let hash = StableHash::of(node.vm.as_bytes()).0;
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(node.cpu_millicores.max(1)) / -uniform.ln()
}
