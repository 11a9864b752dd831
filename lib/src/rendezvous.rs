//! Rendezvous hashing: every node computes the same owners from the same member set.
//!
//! The members with the highest scores for a key own it, so that a member change moves only the
//! keys of the members that changed. The hash is defined here rather than taken from the standard
//! library, since its values decide which members hold shares and must not change between builds or
//! releases. All arithmetic is on integers, so that two machines never round differently. See
//! [docs/design/directory.md](../../docs/design/directory.md) and
//! [docs/design/epochs.md](../../docs/design/epochs.md).

use std::cmp::Reverse;
use std::fmt;

use serde::{Deserialize, Serialize};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const LOG_FRACTION_BITS: u32 = 24;
/// The largest number of pieces of a key for which only the first members are ranked at first.
const FAST_PATH_PIECES: u128 = 4;
/// The number of members that are ranked at first.
const FAST_PATH_MEMBERS: usize = 12;

/// A 64-bit hash whose value is the same on every machine and in every release.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StableHash(pub u64);

impl StableHash {
    /// Hashes bytes.
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        let folded = bytes.as_ref().iter().fold(FNV_OFFSET, |state, byte| {
            (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
        });
        Self(mix(folded))
    }

    /// Combines two hashes; the order matters.
    pub const fn with(self, other: Self) -> Self {
        Self(mix(self
            .0
            .rotate_left(23)
            .wrapping_add(other.0 ^ FNV_OFFSET)))
    }
}

impl fmt::Display for StableHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Spreads every input bit over all output bits (the finaliser of MurmurHash3).
const fn mix(state: u64) -> u64 {
    let state = (state ^ (state >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let state = (state ^ (state >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    state ^ (state >> 33)
}

/// Returns the indexes of all members, the owner of the key first.
///
/// Equal scores are ordered by the member's hash, then by its index.
pub fn rank_members(key: StableHash, members: &[StableHash]) -> Vec<usize> {
    let mut order: Vec<_> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (Reverse(key.with(*member)), *member, index))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, index)| index).collect()
}

/// Returns the indexes of the first `count` owners of the key at most, in order.
///
/// The result is the start of what [`rank_members`] returns, without sorting the rest.
pub fn top_members(key: StableHash, members: &[StableHash], count: usize) -> Vec<usize> {
    let mut top: Vec<(Reverse<StableHash>, StableHash, usize)> = Vec::with_capacity(count + 1);
    for (index, member) in members.iter().enumerate() {
        let entry = (Reverse(key.with(*member)), *member, index);
        let position = top.partition_point(|kept| *kept < entry);
        if position < count {
            top.insert(position, entry);
            top.truncate(count);
        }
    }
    top.into_iter().map(|(_, _, index)| index).collect()
}

/// Returns the index of the key's owner when members own keys in proportion to their weights.
///
/// A member of weight zero owns nothing; there is no owner if all weights are zero.
pub fn weighted_owner(key: StableHash, members: &[(StableHash, u32)]) -> Option<usize> {
    members
        .iter()
        .enumerate()
        .filter(|(_, (_, weight))| *weight > 0)
        .min_by_key(|(index, (member, weight))| {
            (weighted_cost(key.with(*member), *weight), *member, *index)
        })
        .map(|(index, _)| index)
}

/// Returns `-log2(score) / weight` in fixed point: an exponential variate with a rate in
/// proportion to the weight.
fn weighted_cost(score: StableHash, weight: u32) -> u64 {
    let whole = 64 << LOG_FRACTION_BITS;
    let cost = u64::from(whole - log2_fixed(score.0 | 1));
    (cost << 24) / u64::from(weight)
}

/// Returns the binary logarithm of a positive number with [`LOG_FRACTION_BITS`] fraction bits.
fn log2_fixed(value: u64) -> u32 {
    let exponent = value.ilog2();
    let mut mantissa = value << (63 - exponent);
    let mut result = exponent;
    for _ in 0..LOG_FRACTION_BITS {
        let square = (u128::from(mantissa) * u128::from(mantissa)) >> 63;
        let carry = square >> 64;
        result = (result << 1) | u32::from(carry != 0);
        mantissa = u64::try_from(square >> carry).expect("a normalised mantissa has 64 bits");
    }
    result
}

/// A key with the load that it places on its owners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyLoad {
    /// The key.
    pub key: StableHash,
    /// The load, in any unit.
    pub load: u128,
}

/// The portion of a key's load that one member carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadPortion {
    /// The index of the member.
    pub member: usize,
    /// The load, in the unit of the key's load.
    pub load: u128,
}

/// The limits of a placement with bounded load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadBound {
    /// The largest load of one piece; a key is split into equal pieces before it is placed.
    pub piece: u128,
    /// The largest load of one member.
    pub member: u128,
}

/// Places every key on few members, so that no member carries more than the bound.
///
/// Keys are placed from the largest to the smallest, each piece on the first member in the key's
/// order that has capacity for it and does not have a piece of the key yet. A piece that fits on no
/// single member is spread over the members that have capacity left. The result lists the portions
/// of each key, in the order of `keys`. All load is placed if the bound times the number of members
/// covers it; the load that does not fit is left out.
pub fn place_bounded(
    keys: &[KeyLoad],
    members: &[StableHash],
    bound: LoadBound,
) -> Vec<Vec<LoadPortion>> {
    let mut order: Vec<usize> = (0..keys.len()).collect();
    order.sort_unstable_by_key(|index| (Reverse(keys[*index].load), keys[*index].key, *index));
    let mut capacities = vec![bound.member; members.len()];
    let mut placed = vec![Vec::new(); keys.len()];
    for index in order {
        placed[index] = place_key(keys[index], members, bound.piece, &mut capacities);
    }
    placed
}

fn place_key(
    key: KeyLoad,
    members: &[StableHash],
    piece: u128,
    capacities: &mut [u128],
) -> Vec<LoadPortion> {
    let pieces = key.load.div_ceil(piece.max(1)).max(1);
    // Most pieces fit on one of the first members, so the rest usually need not be ranked.
    if pieces <= FAST_PATH_PIECES && members.len() > 2 * FAST_PATH_MEMBERS {
        let ranked = top_members(key.key, members, FAST_PATH_MEMBERS);
        let portions = fit_pieces(key.load, pieces, &ranked, capacities);
        if portions.len() as u128 == pieces {
            reserve_portions(&portions, capacities);
            return portions;
        }
    }
    let ranked = rank_members(key.key, members);
    let mut portions = fit_pieces(key.load, pieces, &ranked, capacities);
    reserve_portions(&portions, capacities);
    let fitted: u128 = portions.iter().map(|portion| portion.load).sum();
    spread_rest(key.load - fitted, &ranked, capacities, &mut portions);
    portions
}

/// Returns as many of the equal pieces as fit, each on a different member.
///
/// A piece is never smaller than the one before, so a member that is too full for one is too full
/// for the next.
fn fit_pieces(load: u128, pieces: u128, ranked: &[usize], capacities: &[u128]) -> Vec<LoadPortion> {
    let mut portions: Vec<LoadPortion> = Vec::new();
    let mut candidates = ranked.iter();
    let mut left = load;
    for number in 0..pieces {
        let size = left / (pieces - number);
        let Some(&member) = candidates.find(|member| capacities[**member] >= size) else {
            break;
        };
        left -= size;
        portions.push(LoadPortion { member, load: size });
    }
    portions
}

fn reserve_portions(portions: &[LoadPortion], capacities: &mut [u128]) {
    for portion in portions {
        capacities[portion.member] -= portion.load;
    }
}

fn spread_rest(
    mut left: u128,
    ranked: &[usize],
    capacities: &mut [u128],
    portions: &mut Vec<LoadPortion>,
) {
    for &member in ranked {
        let size = left.min(capacities[member]);
        if size == 0 {
            continue;
        }
        capacities[member] -= size;
        left -= size;
        match portions.iter_mut().find(|portion| portion.member == member) {
            Some(portion) => portion.load += size,
            None => portions.push(LoadPortion { member, load: size }),
        }
    }
}
