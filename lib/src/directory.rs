//! The directory: answers callers with the VMs that they should use.
//!
//! There is no load balancer, so the answers place the load. Each customer is placed on few VMs,
//! which then decide its limits, its fair share and the evidence on targets locally; a customer
//! that is larger than a VM's fair share is split over as many VMs as it needs. The answer is a
//! pure function of the customers' rates, the members and the caller, so that all VMs give the same
//! one. See [docs/design/directory.md](../../docs/design/directory.md).

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, DataCentreId, RouteId, VmId};
use crate::rendezvous::{
    KeyLoad, LoadBound, LoadPortion, StableHash, place_bounded, top_members, weighted_owner,
};
use crate::units::RequestRate;

const DEFAULT_ENTRY_COUNT: usize = 3;
const DEFAULT_LIFETIME_MS: u64 = 10_000;
const LIFETIME_JITTER_PERCENT: u64 = 20;
/// Customers below the total expected rate divided by this are placed together, in this many hash
/// buckets.
const PLACEMENT_GROUPS: u64 = 4_096;
/// A VM carries at most its fair share plus the fair share divided by this.
const EXCESS_DIVISOR: u128 = 4;

/// Settings of the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct DirectorySettings {
    /// The most entries in an answer.
    pub entry_count: usize,
    /// The longest time for which a caller may use an answer, in milliseconds.
    pub lifetime_ms: u64,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            entry_count: DEFAULT_ENTRY_COUNT,
            lifetime_ms: DEFAULT_LIFETIME_MS,
        }
    }
}

/// Whether callers may be directed to a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStanding {
    /// The VM serves.
    Serving,
    /// The VM is about to stop.
    Leaving,
    /// The VM cannot prove that its configuration is fresh and refuses requests with keys.
    Stale,
    /// The VM does not answer its peers.
    Unreachable,
}

/// A VM in the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectoryMember {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// Where the VM listens for callers.
    pub address: SocketAddr,
    /// Whether callers may be directed to the VM.
    pub standing: MemberStanding,
}

/// A caller's query.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryQuery<'a> {
    /// The customer that the caller's key belongs to; none on routes that are open to all.
    pub customer: Option<&'a CustomerId>,
    /// The route, if the caller named one.
    pub route: Option<&'a RouteId>,
    /// The data centre nearest to the caller, if it is known.
    pub data_centre: Option<&'a DataCentreId>,
    /// A number that is constant for one caller and differs between callers, such as a hash of the
    /// address; it spreads the callers of one customer over the customer's VMs.
    pub caller_seed: u64,
}

/// One VM of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectoryEntry {
    /// The VM's name.
    pub vm: VmId,
    /// Where the VM listens for callers.
    pub address: SocketAddr,
}

/// The answer to a caller: the VMs to try, in order, and the lifetime of the answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct DirectoryAnswer {
    /// The VMs in the order in which to try them; empty if no VM serves.
    pub entries: Vec<DirectoryEntry>,
    /// How long the caller may use the answer, in milliseconds.
    pub lifetime_ms: u64,
}

/// Places customers on VMs and answers callers.
///
/// The placement in one data centre depends only on its own members and on the customers' rates, so
/// that a VM that joins or leaves changes no placement in another data centre.
#[derive(Clone, Debug, Default)]
pub struct DirectoryPlanner {
    settings: DirectorySettings,
    groups: CustomerGroups,
    centres: IndexMap<DataCentreId, CentrePlan>,
}

impl DirectoryPlanner {
    /// Creates a planner without customers and members.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the customers and their expected rates; places every customer again unless no
    /// expected rate has changed.
    pub fn set_customers<'a>(
        &mut self,
        customers: impl IntoIterator<Item = (&'a CustomerId, RequestRate)>,
    ) {
        let groups = CustomerGroups::new(customers);
        if groups == self.groups {
            return;
        }
        self.groups = groups;
        for plan in self.centres.values_mut() {
            plan.place(&self.groups);
        }
    }

    /// Replaces the members; only data centres whose serving members changed are placed again.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = DirectoryMember>) {
        let mut by_centre: IndexMap<DataCentreId, Vec<DirectoryMember>> = IndexMap::new();
        for member in members {
            if member.standing == MemberStanding::Serving {
                let centre = by_centre.entry(member.data_centre.clone()).or_default();
                centre.push(member);
            }
        }
        by_centre.sort_unstable_keys();
        let mut old = std::mem::take(&mut self.centres);
        for (centre, mut serving) in by_centre {
            serving.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
            serving.dedup_by(|a, b| a.vm == b.vm);
            let kept = old
                .swap_remove(&centre)
                .filter(|plan| plan.members == serving);
            let plan = kept.unwrap_or_else(|| CentrePlan::new(serving, &self.groups));
            self.centres.insert(centre, plan);
        }
    }

    /// Answers a caller with VMs of its own data centre first, one of another data centre last.
    pub fn answer(&self, query: &DirectoryQuery<'_>) -> DirectoryAnswer {
        let key = self.groups.key_of(query);
        let seed = StableHash(query.caller_seed).with(key);
        let mut entries = Vec::with_capacity(self.settings.entry_count);
        let mut tried = Vec::new();
        let requested = query.data_centre;
        let mut next = requested.and_then(|centre| self.centres.get_index_of(centre));
        while let Some(centre) = next.or_else(|| self.weighted_centre(&tried, seed)) {
            next = None;
            tried.push(centre);
            let limit = self.limit_for(tried.len());
            self.push_entries(&mut entries, centre, query, seed, limit);
            if entries.len() == self.settings.entry_count {
                break;
            }
        }
        DirectoryAnswer {
            entries,
            lifetime_ms: jitter_lifetime(self.settings.lifetime_ms, seed),
        }
    }

    /// Returns the longest time for which an answer that is given now may be in use; a leaving VM
    /// serves for that long after it has been dropped from answers.
    pub fn max_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.lifetime_ms)
    }

    /// Returns the expected load of every serving VM relative to the mean, in thousandths, if
    /// callers are distributed over data centres in proportion to the VMs.
    pub fn expected_loads(&self) -> impl Iterator<Item = (&VmId, u64)> {
        self.centres
            .values()
            .flat_map(move |plan| plan.expected_loads(self.groups.total))
    }

    /// Returns the VMs that a customer is placed on, over all data centres.
    pub fn vms_of(&self, customer: &CustomerId) -> impl Iterator<Item = &VmId> {
        let group = self.groups.index_of(customer);
        self.centres.values().flat_map(move |plan| {
            let portions = group.map_or(&[][..], |group| &plan.portions[group]);
            portions
                .iter()
                .map(|portion| &plan.members[portion.member].vm)
        })
    }

    /// Returns the greatest length of the answer after the `rank`th data centre that is tried.
    fn limit_for(&self, rank: usize) -> usize {
        let count = self.settings.entry_count;
        let others_exist = self.centres.len() > 1;
        match rank {
            1 if others_exist && count > 1 => count - 1,
            _ => count,
        }
    }

    fn weighted_centre(&self, without: &[usize], seed: StableHash) -> Option<usize> {
        let weights: Vec<_> = self
            .centres
            .iter()
            .enumerate()
            .map(|(index, (centre, plan))| {
                let weight = if without.contains(&index) {
                    0
                } else {
                    u32::try_from(plan.members.len()).unwrap_or(u32::MAX)
                };
                (StableHash::of(centre.as_bytes()), weight)
            })
            .collect();
        weighted_owner(seed, &weights)
    }

    fn push_entries(
        &self,
        entries: &mut Vec<DirectoryEntry>,
        centre: usize,
        query: &DirectoryQuery<'_>,
        seed: StableHash,
        limit: usize,
    ) {
        let plan = &self.centres[centre];
        let group = query
            .customer
            .and_then(|customer| self.groups.index_of(customer));
        for member in plan.order_for(group, seed, self.settings.entry_count) {
            let member = &plan.members[member];
            if entries.len() < limit && !entries.iter().any(|entry| entry.vm == member.vm) {
                entries.push(DirectoryEntry {
                    vm: member.vm.clone(),
                    address: member.address,
                });
            }
        }
    }
}

/// Shortens the lifetime by an amount that depends on the caller, so that callers do not all query
/// at the same time.
fn jitter_lifetime(lifetime_ms: u64, seed: StableHash) -> u64 {
    let span = lifetime_ms * LIFETIME_JITTER_PERCENT / 100;
    lifetime_ms - seed.0 % (span + 1)
}

/// Customers grouped for placement: the large ones separately, the small ones in hash buckets.
#[derive(Clone, Debug, Default, PartialEq)]
struct CustomerGroups {
    total: u128,
    /// The group of each customer that is placed separately.
    separate: IndexMap<CustomerId, usize>,
    /// The group of each bucket that has customers.
    buckets: IndexMap<u64, usize>,
    loads: Vec<KeyLoad>,
}

impl CustomerGroups {
    fn new<'a>(customers: impl IntoIterator<Item = (&'a CustomerId, RequestRate)>) -> Self {
        let customers: Vec<_> = customers.into_iter().collect();
        let rate_of = |rate: RequestRate| u128::from(rate.millis_per_second());
        let mut groups = Self {
            total: customers.iter().map(|(_, rate)| rate_of(*rate)).sum(),
            ..Self::default()
        };
        for (customer, rate) in customers {
            let load = rate_of(rate);
            if load * u128::from(PLACEMENT_GROUPS) >= groups.total && load > 0 {
                groups.push_separate(customer, load);
            } else {
                groups.push_bucket(bucket_of(customer), load);
            }
        }
        groups
    }

    fn push_separate(&mut self, customer: &CustomerId, load: u128) {
        self.separate.insert(customer.clone(), self.loads.len());
        self.loads.push(KeyLoad {
            key: StableHash::of(customer.as_bytes()),
            load,
        });
    }

    fn push_bucket(&mut self, bucket: u64, load: u128) {
        let next = self.loads.len();
        let group = *self.buckets.entry(bucket).or_insert(next);
        if group == next {
            self.loads.push(KeyLoad {
                key: StableHash(bucket).with(StableHash(PLACEMENT_GROUPS)),
                load: 0,
            });
        }
        self.loads[group].load += load;
    }

    fn index_of(&self, customer: &CustomerId) -> Option<usize> {
        let separate = self.separate.get(customer);
        separate
            .or_else(|| self.buckets.get(&bucket_of(customer)))
            .copied()
    }

    fn key_of(&self, query: &DirectoryQuery<'_>) -> StableHash {
        match (query.customer, query.route) {
            (Some(customer), _) => StableHash::of(customer.as_bytes()),
            (None, Some(route)) => StableHash::of(route.as_bytes()),
            (None, None) => StableHash::default(),
        }
    }
}

fn bucket_of(customer: &CustomerId) -> u64 {
    StableHash::of(customer.as_bytes()).0 % PLACEMENT_GROUPS
}

/// The placement of all groups on the serving members of one data centre.
#[derive(Clone, Debug, Default)]
struct CentrePlan {
    members: Vec<DirectoryMember>,
    hashes: Vec<StableHash>,
    portions: Vec<Vec<LoadPortion>>,
}

impl CentrePlan {
    fn new(members: Vec<DirectoryMember>, groups: &CustomerGroups) -> Self {
        let hashes = members
            .iter()
            .map(|member| StableHash::of(member.vm.as_bytes()))
            .collect();
        let mut plan = Self {
            members,
            hashes,
            portions: Vec::new(),
        };
        plan.place(groups);
        plan
    }

    /// Places the groups.
    ///
    /// A data centre gets the fraction of each rate that it has of all VMs. With all loads
    /// multiplied by the number of VMs of the fleet, a VM's fair share is the total rate.
    fn place(&mut self, groups: &CustomerGroups) {
        let size = self.members.len() as u128;
        let loads: Vec<_> = groups
            .loads
            .iter()
            .map(|group| KeyLoad {
                key: group.key,
                load: group.load * size,
            })
            .collect();
        let bound = LoadBound {
            piece: groups.total,
            member: groups.total + groups.total / EXCESS_DIVISOR,
        };
        self.portions = place_bounded(&loads, &self.hashes, bound);
    }

    /// Returns the members to try: the one that the caller is assigned to within its customer's
    /// placement, then the customer's other members, then further ones in hash order.
    fn order_for(&self, group: Option<usize>, seed: StableHash, count: usize) -> Vec<usize> {
        let portions = group.map_or(&[][..], |group| &self.portions[group]);
        let first = pick_portion(portions, seed);
        let mut order: Vec<usize> = first.into_iter().collect();
        order.extend(portions.iter().map(|portion| portion.member));
        if portions.len() < count {
            order.extend(top_members(seed, &self.hashes, count));
        }
        order
    }

    fn expected_loads(&self, total: u128) -> impl Iterator<Item = (&VmId, u64)> {
        let mut loads = vec![0_u128; self.members.len()];
        for portion in self.portions.iter().flatten() {
            loads[portion.member] += portion.load;
        }
        self.members
            .iter()
            .zip(loads)
            .map(move |(member, load)| (&member.vm, (load * 1_000 / total.max(1)) as u64))
    }
}

/// Selects a member with a probability in proportion to its portion of the load.
fn pick_portion(portions: &[LoadPortion], seed: StableHash) -> Option<usize> {
    let total: u128 = portions.iter().map(|portion| portion.load).sum();
    let mut left = (total * u128::from(seed.0 >> 32)) >> 32;
    for portion in portions {
        if left < portion.load {
            return Some(portion.member);
        }
        left -= portion.load;
    }
    portions.first().map(|portion| portion.member)
}
