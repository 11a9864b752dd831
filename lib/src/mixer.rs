//! Deterministic mixing of seeds and identifiers.
//!
//! Decisions that need randomness take a seed from their caller, so that a run can be repeated.

/// Mixes a 64-bit value so that each input bit changes about half of the output bits.
pub const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes bytes to 64 bits, the same on every node and in every version.
pub fn hash_bytes(bytes: &[u8], seed: u64) -> u64 {
    bytes.chunks(8).fold(mix(seed), |hash, chunk| {
        let mut word = [0_u8; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        mix(hash ^ u64::from_le_bytes(word) ^ chunk.len() as u64)
    })
}

/// A sequence of pseudo-random numbers that starts from the caller's seed.
#[derive(Clone, Debug)]
pub struct SeedSequence(u64);

impl SeedSequence {
    /// Starts a sequence.
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub const fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(1);
        mix(self.0)
    }

    /// Returns the next number below `bound`, which must not be zero.
    pub const fn next_below(&mut self, bound: usize) -> usize {
        ((self.next_u64() as u128 * bound as u128) >> 64) as usize
    }

    /// Returns the next number from zero up to one.
    pub fn next_unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
