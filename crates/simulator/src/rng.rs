//! Seeded random numbers, identical on every platform.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A reproducible stream of random numbers: the same seed and stream number give the same sequence.
#[derive(Clone)]
pub struct SimulationRng(ChaCha8Rng);

impl SimulationRng {
    /// Returns stream `stream` of `seed`. Streams of one seed are independent: draws by one consumer do not change the
    /// sequence of another.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        SimulationRng(generator)
    }

    /// Returns a number in `0..bound`, or 0 if `bound` is 0. Always consumes one draw.
    pub fn below(&mut self, bound: u64) -> u64 {
        // The modulo bias over 64 bits is negligible for every caller.
        self.0.next_u64().checked_rem(bound).unwrap_or(0)
    }

    /// Returns a number in `least..=most`, or `least` if `most` is smaller.
    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most.saturating_sub(least) + 1)
    }

    /// Returns true with a probability of `chance` percent.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// Returns one of the items, chosen uniformly.
    ///
    /// # Panics
    ///
    /// Panics if `items` is empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}
