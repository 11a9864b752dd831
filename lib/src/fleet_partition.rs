//! Divides a customer's limit among the parts of a fleet that cannot hear each other.
//!
//! Nodes that were heard regularly and are silent now may be partitioned from this one and go on serving
//! callers. Until they are heard again, the nodes of each part keep to its part of the burst that was left
//! and of the rate, so that all parts together stay within the limit whatever the customer does. See
//! [docs/design/partitioned-limits.md](../../docs/design/partitioned-limits.md).

use indexmap::{IndexMap, IndexSet};

use crate::ids::VmId;

/// The weight of the number of nodes in a part's share; the rest goes by the customer's requests before the
/// partition. Callers may move to nodes that had none.
const NODE_COUNT_WEIGHT: f64 = 0.5;
/// The fraction of its share that a part leaves unused if nearly all nodes are silent; less in proportion if fewer
/// are. The nodes of a part estimate the share by the nodes that each of them could hear before, so that
/// the estimates of all parts may add up to more than one.
const MAX_UNUSED_FRACTION: f64 = 0.25;
/// The requests per second of a customer below which their distribution says nothing.
const MIN_DEMAND_PER_S: f64 = 0.1;

/// The nodes that this one cannot hear.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPartition {
    /// The nodes that were heard before.
    pub silent: IndexSet<VmId>,
    /// The fraction of all nodes that are in this node's part.
    pub heard_part: f64,
}

impl Default for FleetPartition {
    fn default() -> Self {
        Self {
            silent: IndexSet::new(),
            heard_part: 1.0,
        }
    }
}

impl FleetPartition {
    /// Returns whether all nodes are heard.
    pub fn is_whole(&self) -> bool {
        self.silent.is_empty()
    }
}

/// A customer's requests per second at each node when a partition was noticed. Later ones would favour the
/// part that sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DemandRecord {
    pub(crate) own: f64,
    pub(crate) peers: IndexMap<VmId, f64>,
}

impl DemandRecord {
    /// Returns the share that this node's part uses of the customer's limit.
    fn share(&self, partition: &FleetPartition) -> f64 {
        let estimate = self.estimate(partition);
        estimate * (1.0 - MAX_UNUSED_FRACTION * (1.0 - estimate))
    }

    fn estimate(&self, partition: &FleetPartition) -> f64 {
        let all: f64 = self.own + self.peers.values().sum::<f64>();
        if all < MIN_DEMAND_PER_S {
            return partition.heard_part;
        }
        let silent = self
            .peers
            .iter()
            .filter(|(vm, _)| partition.silent.contains(*vm));
        let silent: f64 = silent.map(|(_, demand)| demand).sum();
        let by_demand = 1.0 - silent / all;
        NODE_COUNT_WEIGHT * partition.heard_part + (1.0 - NODE_COUNT_WEIGHT) * by_demand
    }
}

/// What a part of the fleet may use of a customer's limit.
#[derive(Debug)]
pub(crate) struct PartBucket {
    demand: DemandRecord,
    /// The part's share of the limit, from 0 to 1.
    pub(crate) share: f64,
    /// The requests that are left for the part.
    pub(crate) level: f64,
    /// What the other parts have overdrawn, as far as this part knows; zero or negative.
    others_debt: f64,
}

impl PartBucket {
    /// Takes the part's share of what was left for the fleet, or of what it has overdrawn.
    pub(crate) fn new(partition: &FleetPartition, demand: DemandRecord, fleet_level: f64) -> Self {
        let share = demand.share(partition);
        Self {
            demand,
            share,
            level: fleet_level * share,
            others_debt: (fleet_level * (1.0 - share)).min(0.0),
        }
    }

    /// Adds what the other parts gain of the whole rate.
    pub(crate) fn refill_others(&mut self, fleet_gain: f64) {
        self.others_debt = (self.others_debt + fleet_gain * (1.0 - self.share)).min(0.0);
    }

    /// Returns the level of the fleet once the parts hear each other again: what the others have left is not
    /// known, and what they have overdrawn is not forgiven.
    pub(crate) const fn fleet_level(&self) -> f64 {
        self.level + self.others_debt
    }

    /// Adapts the share to other silent nodes. What the nodes that are heard again have left is not known; what
    /// they have overdrawn comes with them.
    pub(crate) fn adapt(&mut self, partition: &FleetPartition) {
        let share = self.demand.share(partition);
        if share < self.share {
            let lost = self.level * (1.0 - share / self.share);
            self.level -= lost;
            self.others_debt = (self.others_debt + lost).min(0.0);
        } else if share > self.share {
            let joined = self.others_debt * (share - self.share) / (1.0 - self.share);
            self.level += joined;
            self.others_debt -= joined;
        }
        self.share = share;
    }
}
