//! Budgets that limit the whole fleet, and how an epoch splits them into shares.
//!
//! A budget is a token bucket or a number of units that may be occupied. The holders of a budget
//! are the fleet's members in the budget's order; the first of them are its owners, which get
//! shares and lend parts of them. The split is a pure function of the terms and of the epoch's
//! holders, so that every node computes the same shares without communication. See
//! [docs/design/escrow.md](../../docs/design/escrow.md).

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, Epoch, NodeId, Revision, ServiceId, TargetId};
use crate::time::MonoTime;
use crate::units::{BurstSize, RequestRate};

/// The micro-units in one unit: a request, a slot, a connection or a target.
pub const MICROS_PER_UNIT: u64 = 1_000_000;

/// The largest error of a monotonic clock's speed that is tolerated, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 1_000;

/// The largest number of owners of a budget.
pub const MAX_OWNERS: usize = 12;

/// An exact amount of a budget, in millionths of a unit.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct MicroUnits(pub u64);

/// The speed at which a share refills, in micro-units per second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RefillRate(pub u64);

macro_rules! exact_amount {
    ($name:ident) => {
        impl $name {
            /// The empty amount.
            pub const ZERO: Self = Self(0);

            /// Makes an amount from whole units.
            pub const fn from_units(units: u64) -> Self {
                Self(units * MICROS_PER_UNIT)
            }

            /// Subtracts without going below zero.
            pub const fn saturating_sub(self, rhs: Self) -> Self {
                Self(self.0.saturating_sub(rhs.0))
            }

            /// Returns the whole units in the amount.
            pub const fn whole_units(self) -> u64 {
                self.0 / MICROS_PER_UNIT
            }

            /// Returns whether the amount is zero.
            pub const fn is_zero(self) -> bool {
                self.0 == 0
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, rhs: Self) -> Self {
                Self(self.0 + rhs.0)
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, rhs: Self) -> Self {
                Self(self.0 - rhs.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(
                    f,
                    "{}.{:06}",
                    self.0 / MICROS_PER_UNIT,
                    self.0 % MICROS_PER_UNIT
                )
            }
        }
    };
}

exact_amount!(MicroUnits);
exact_amount!(RefillRate);

impl RefillRate {
    /// Returns the amount that refills in `elapsed`, rounded down.
    pub fn over(self, elapsed: Duration) -> MicroUnits {
        let product = u128::from(self.0) * elapsed.as_micros() / u128::from(MICROS_PER_UNIT);
        MicroUnits(u64::try_from(product).unwrap_or(u64::MAX))
    }

    /// Returns the time in which `amount` refills, at most an hour.
    pub fn time_for(self, amount: MicroUnits) -> Duration {
        const LONGEST_MICROS: u64 = 3_600_000_000;
        let micros = u128::from(amount.0) * 1_000_000 / u128::from(self.0.max(1));
        Duration::from_micros(
            u64::try_from(micros).map_or(LONGEST_MICROS, |m| m.min(LONGEST_MICROS)),
        )
    }
}

/// Identifies a budget that limits the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetId {
    /// The rate and burst of a customer.
    CustomerRate(CustomerId),
    /// The targets of a service that may be ejected without going below the floor.
    EjectableCapacity(ServiceId),
    /// The requests that a target runs concurrently.
    TargetSlots(TargetId),
    /// The connections that a target accepts.
    TargetConnections(TargetId),
    /// The retries and hedges of a service beyond those that its own load pays for.
    ServiceRetries(ServiceId),
}

impl BudgetId {
    /// Returns how long a loan from this budget lasts unless it is renewed.
    ///
    /// A loan of units that requests occupy must last longer than a request.
    pub const fn loan_term(&self) -> Duration {
        match self {
            Self::CustomerRate(_) | Self::ServiceRetries(_) => Duration::from_secs(2),
            Self::TargetSlots(_) => Duration::from_secs(30),
            Self::TargetConnections(_) | Self::EjectableCapacity(_) => Duration::from_secs(120),
        }
    }
}

/// The limits that a budget sets for the whole fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BudgetTerms {
    /// The configuration revision that set the terms.
    pub revision: Revision,
    /// The refill per second of all shares together; zero for units that are occupied.
    pub refill: RefillRate,
    /// The most that all shares together hold.
    pub capacity: MicroUnits,
}

impl BudgetTerms {
    /// Makes the terms of a customer's rate and burst.
    pub const fn from_rate(revision: Revision, rate: RequestRate, burst: BurstSize) -> Self {
        Self {
            revision,
            refill: RefillRate(rate.millis_per_second() * (MICROS_PER_UNIT / 1_000)),
            capacity: MicroUnits::from_units(burst.0 as u64),
        }
    }

    /// Makes the terms of units that are occupied, such as slots.
    pub const fn from_units(revision: Revision, units: u32) -> Self {
        Self {
            revision,
            refill: RefillRate::ZERO,
            capacity: MicroUnits::from_units(units as u64),
        }
    }
}

/// A part of a budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BudgetShare {
    /// The refill per second.
    pub refill: RefillRate,
    /// The most that the share holds.
    pub capacity: MicroUnits,
}

impl BudgetShare {
    /// Adds two shares.
    pub fn plus(self, rhs: Self) -> Self {
        Self {
            refill: self.refill + rhs.refill,
            capacity: self.capacity + rhs.capacity,
        }
    }

    /// Subtracts a share without going below zero.
    pub fn minus(self, rhs: Self) -> Self {
        Self {
            refill: self.refill.saturating_sub(rhs.refill),
            capacity: self.capacity.saturating_sub(rhs.capacity),
        }
    }

    /// Returns the smaller value of each component.
    pub fn smaller(self, rhs: Self) -> Self {
        Self {
            refill: self.refill.min(rhs.refill),
            capacity: self.capacity.min(rhs.capacity),
        }
    }

    /// Returns whether the share is at least `rhs` in each component.
    pub fn covers(self, rhs: Self) -> bool {
        self.refill >= rhs.refill && self.capacity >= rhs.capacity
    }
}

/// How a budget is split over the holders of an epoch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SplitMode {
    /// The first holders own whole units; the other nodes borrow.
    #[default]
    #[serde(rename = "homes")]
    Owners,
    /// Every holder has an equal, fixed part; a baseline for comparison.
    Static,
}

/// The assignment of one budget as a node knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EpochView {
    /// The newest epoch that the node knows.
    pub epoch: Epoch,
    /// The budget's holders in that epoch, in order of rank.
    pub holders: Vec<NodeId>,
    /// The holders in each earlier epoch that some member may still use.
    #[serde(default)]
    pub unsettled: Vec<Vec<NodeId>>,
    /// When this node became a holder. A later time than the true one is safe: the share gains
    /// less.
    pub held_since: MonoTime,
}

impl EpochView {
    /// Returns the share that `node` may use: the smallest of the epochs that may be in force.
    pub fn share_of(&self, node: &NodeId, terms: &BudgetTerms, mode: SplitMode) -> BudgetShare {
        let newest = split(terms, &self.holders, node, mode);
        self.unsettled.iter().fold(newest, |share, holders| {
            share.smaller(split(terms, holders, node, mode))
        })
    }
}

/// The assignment and the terms of one budget as a node knows them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BudgetView {
    /// The assignment.
    pub epoch: EpochView,
    /// The newest terms.
    pub terms: BudgetTerms,
    /// Earlier terms that some member may still use.
    #[serde(default)]
    pub unsettled_terms: Vec<BudgetTerms>,
}

impl BudgetView {
    /// Returns the share that `node` may use, whichever of the epochs and terms other nodes use.
    ///
    /// Terms with the same number of owners apply at once: shares by old and by new terms together
    /// never exceed the larger budget (see [`split`]).
    pub fn share_of(&self, node: &NodeId, mode: SplitMode) -> BudgetShare {
        let holders = self.epoch.holders.len();
        let owners = owner_count(&self.terms, holders);
        self.unsettled_terms
            .iter()
            .filter(|terms| owner_count(terms, holders) != owners)
            .map(|terms| self.epoch.share_of(node, terms, mode))
            .fold(self.epoch.share_of(node, &self.terms, mode), |a, b| {
                a.smaller(b)
            })
    }
}

/// Returns the number of owners of a budget with these terms and this number of holders.
///
/// With more owners, less of the budget is unusable when one of them is lost. But a budget of few
/// units over many owners refills shares that are full already while others are empty. There are
/// few steps, since a change of the number takes effect only once it is settled.
pub fn owner_count(terms: &BudgetTerms, holders: usize) -> usize {
    let is_occupied = terms.refill.is_zero();
    let owners = match terms.capacity.whole_units() {
        0..3 if !is_occupied => 1,
        units @ 0..3 => units.max(1) as usize,
        3..12 => 3,
        12..48 => 6,
        _ => MAX_OWNERS,
    };
    holders.min(owners)
}

/// Returns the share of `node`; the shares of all holders add up to at most the budget.
///
/// Whole units are dealt round robin, from the first owner on. For a fixed number of owners, no
/// share shrinks when the terms grow. So nodes that use old and new terms at the same time together
/// hold no more than the larger budget.
pub fn split(
    terms: &BudgetTerms,
    holders: &[NodeId],
    node: &NodeId,
    mode: SplitMode,
) -> BudgetShare {
    let owners = match mode {
        SplitMode::Owners => owner_count(terms, holders.len()),
        SplitMode::Static => holders.len(),
    } as u64;
    let position = holders.iter().position(|holder| holder == node);
    let Some(index) = position
        .map(|index| index as u64)
        .filter(|&index| index < owners)
    else {
        return BudgetShare::default();
    };
    let capacity = match mode {
        SplitMode::Static => MicroUnits(terms.capacity.0 / owners),
        SplitMode::Owners => {
            let units = terms.capacity.whole_units();
            MicroUnits::from_units(units / owners + u64::from(index < units % owners))
        }
    };
    BudgetShare {
        refill: RefillRate(terms.refill.0 / owners),
        capacity,
    }
}
