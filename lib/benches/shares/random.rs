//! A small random number generator with a fixed seed.

/// An xorshift random number generator.
pub struct Random(u64);

impl Random {
    /// Creates the generator for a seed.
    pub const fn new(seed: u64) -> Self {
        Self(0x9E37_79B9_7F4A_7C15 ^ seed)
    }

    /// Returns a random number below `bound`.
    pub const fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }

    /// Returns an exponentially distributed time with the given mean.
    pub fn exponential(&mut self, mean: f64) -> u64 {
        let uniform = (self.below(1 << 30) + 1) as f64 / (1_u64 << 30) as f64;
        (-uniform.ln() * mean) as u64
    }
}
