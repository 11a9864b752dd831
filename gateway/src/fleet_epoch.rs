//! The assignment of budgets that is in force on this node.

use std::sync::RwLock;

use damaskloom_lib::budget::{BudgetId, BudgetTerms, BudgetView, EpochView};
use damaskloom_lib::ids::{Epoch, NodeId};
use damaskloom_lib::rendezvous::{StableHash, top_members};
use damaskloom_lib::time::MonoTime;

/// The number of holders that are computed for a budget; no budget has more owners.
const MAX_HOLDERS: usize = 16;

/// The members of one epoch, with the hashes that rank them for each budget.
#[derive(Clone, Debug, Default)]
struct MemberSet {
    members: Vec<NodeId>,
    hashes: Vec<StableHash>,
}

impl MemberSet {
    fn new(members: Vec<NodeId>) -> Self {
        let hashes = members
            .iter()
            .map(|node| StableHash::of(node.to_string()))
            .collect();
        Self { members, hashes }
    }

    fn holders(&self, budget: StableHash) -> Vec<NodeId> {
        let top = top_members(budget, &self.hashes, MAX_HOLDERS);
        top.into_iter()
            .map(|index| self.members[index].clone())
            .collect()
    }
}

#[derive(Debug, Default)]
struct AssignmentState {
    epoch: Epoch,
    newest: MemberSet,
    unsettled: Vec<MemberSet>,
    held_since: MonoTime,
}

/// An assignment to put in force.
#[derive(Clone, Debug, Default)]
pub struct FleetAssignment {
    /// The newest epoch.
    pub epoch: Epoch,
    /// The members of that epoch.
    pub members: Vec<NodeId>,
    /// The members of each earlier epoch on which some member may still act.
    pub unsettled: Vec<Vec<NodeId>>,
    /// The time at which this node entered the epoch.
    pub held_since: MonoTime,
}

/// Determines the holders of each budget by the assignment in force.
#[derive(Debug, Default)]
pub struct FleetEpoch {
    state: RwLock<AssignmentState>,
}

impl FleetEpoch {
    /// Puts an assignment in force; an older one is ignored.
    pub fn set_assignment(&self, assignment: FleetAssignment) {
        let mut state = self
            .state
            .write()
            .expect("no holder of the epoch lock panics");
        if assignment.epoch < state.epoch {
            return;
        }
        *state = AssignmentState {
            epoch: assignment.epoch,
            newest: MemberSet::new(assignment.members),
            unsettled: assignment
                .unsettled
                .into_iter()
                .map(MemberSet::new)
                .collect(),
            held_since: assignment.held_since,
        };
    }

    /// Returns the epoch in force.
    pub fn epoch(&self) -> Epoch {
        self.state
            .read()
            .expect("no holder of the epoch lock panics")
            .epoch
    }

    /// Returns the members of the epoch in force.
    pub fn members(&self) -> Vec<NodeId> {
        self.state
            .read()
            .expect("no holder of the epoch lock panics")
            .newest
            .members
            .clone()
    }

    /// Returns the members of each earlier epoch on which some member may still act.
    pub fn unsettled_members(&self) -> Vec<Vec<NodeId>> {
        let state = self
            .state
            .read()
            .expect("no holder of the epoch lock panics");
        state
            .unsettled
            .iter()
            .map(|set| set.members.clone())
            .collect()
    }

    /// Returns the holders of a key such as a request id, the highest-ranked first.
    pub fn holders(&self, key: StableHash) -> Vec<NodeId> {
        self.state
            .read()
            .expect("no holder of the epoch lock panics")
            .newest
            .holders(key)
    }

    /// Returns what this node knows of a budget with the given terms.
    pub fn view(&self, budget: &BudgetId, terms: BudgetTerms) -> BudgetView {
        let key = budget_hash(budget);
        let state = self
            .state
            .read()
            .expect("no holder of the epoch lock panics");
        BudgetView {
            epoch: EpochView {
                epoch: state.epoch,
                holders: state.newest.holders(key),
                unsettled: state.unsettled.iter().map(|set| set.holders(key)).collect(),
                held_since: state.held_since,
            },
            terms,
            unsettled_terms: Vec::new(),
        }
    }
}

fn budget_hash(budget: &BudgetId) -> StableHash {
    let (kind, id) = match budget {
        BudgetId::CustomerRate(id) => ("rate", id.as_str()),
        BudgetId::EjectableCapacity(id) => ("ejectable", id.as_str()),
        BudgetId::TargetSlots(id) => ("slots", id.as_str()),
        BudgetId::TargetConnections(id) => ("connections", id.as_str()),
        BudgetId::ServiceRetries(id) => ("retries", id.as_str()),
    };
    StableHash::of(kind).with(StableHash::of(id))
}
