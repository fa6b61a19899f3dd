//! Random fractions from a seeded generator, which makes runs reproducible.

use rand_xoshiro::rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// Number of random bits in a fraction: the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// A seeded sequence of random fractions.
pub struct RandomFractions(SplitMix64);

impl RandomFractions {
    /// Starts the sequence of `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        RandomFractions(SplitMix64::seed_from_u64(seed))
    }

    /// Returns the next fraction, at least 0 and below 1.
    pub fn next_fraction(&mut self) -> f64 {
        (self.0.next_u64() >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
    }
}
