//! Seeded random numbers, the same on every machine.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A reproducible stream of random numbers: the same seed and stream number give the same sequence.
#[derive(Clone)]
pub struct SimulationRng(ChaCha8Rng);

impl SimulationRng {
    /// Stream number `stream` of a seed. Streams of one seed are independent, so that one consumer's draws do not
    /// move another's.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        SimulationRng(generator)
    }

    /// A number in `0..bound`; 0 if `bound` is 0, which uses up a draw too.
    pub fn below(&mut self, bound: u64) -> u64 {
        // The modulo bias over 64 bits is far too small to matter to any caller.
        self.0.next_u64().checked_rem(bound).unwrap_or(0)
    }

    /// A number in `least..=most`; `least` if `most` is smaller.
    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most.saturating_sub(least) + 1)
    }

    /// True with a probability of `chance` percent.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// One of the items, each equally likely.
    ///
    /// # Panics
    ///
    /// If there are none.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}
