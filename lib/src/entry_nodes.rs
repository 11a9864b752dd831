//! Which nodes callers are sent to.
//!
//! Few nodes of each data centre carry its traffic, so that evidence, rates and connections meet in
//! few places. They are chosen by rendezvous hashing over the nodes that are heard of, weighted by
//! their size, so that all nodes name the same ones without a message. See
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
    /// The processor that the node has, in thousandths of a core.
    pub cpu_millicores: u32,
}

/// How many nodes carry a data centre's traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRequirements {
    /// The fewest nodes, so that the loss of one leaves others.
    pub min_nodes: usize,
    /// The processor that they have together at least, in thousandths of a core.
    pub min_cpu_millicores: u32,
}

/// The processor time of one request on a node, in seconds: both connections, route, choice, logs.
const CPU_S_PER_REQUEST: f64 = 0.000_5;
/// The part of an entry's processor that requests may use when all slots of the targets are busy.
const MAX_CPU_UTILISATION: f64 = 0.5;
/// The usual running time as a part of the time within which operators want an answer: they leave
/// room for the slowest of a hundred.
const TYPICAL_RUNNING_FRACTION: f64 = 0.33;

/// Returns the processor that a service's slots can keep busy, in thousandths of a core.
///
/// `latency_objective` is the time within which the service's requests are to be answered.
pub fn cpu_demand(slots: u32, latency_objective: Duration) -> f64 {
    let running_s = (latency_objective.as_secs_f64() * TYPICAL_RUNNING_FRACTION).max(0.001);
    let requests_per_s = f64::from(slots) / running_s;
    requests_per_s * CPU_S_PER_REQUEST / MAX_CPU_UTILISATION * 1_000.0
}

/// Returns the step in which a node that has so many before it asks for a change: each step has twice
/// the nodes of the one before, so that every node finds another one to ask that nobody else asks.
pub fn rollout_step(before: usize) -> u32 {
    (before + 1).ilog2()
}

/// Chooses the nodes of one data centre that carry its traffic.
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
    let mut chosen = Vec::new();
    let mut cpu_millicores = 0;
    for (_, node) in ranked {
        if chosen.len() >= requirements.min_nodes
            && cpu_millicores >= requirements.min_cpu_millicores
        {
            break;
        }
        cpu_millicores += node.cpu_millicores;
        chosen.push(node);
    }
    chosen
}

/// Ranks by weighted rendezvous hashing: a node twice as large is twice as likely to be first.
fn rank(node: &EntryNode) -> f64 {
    let hash = StableHash::of(node.vm.as_bytes()).0;
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(node.cpu_millicores.max(1)) / -uniform.ln()
}
