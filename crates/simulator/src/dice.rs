//! Random numbers of a seed, the same on every machine.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A stream of random numbers; two with the same seed and purpose give the same numbers.
#[derive(Clone)]
pub struct Dice(ChaCha8Rng);

impl Dice {
    /// The stream of a seed for one purpose.
    #[must_use]
    pub fn new(seed: u64, purpose: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(purpose);
        Dice(rng)
    }

    /// From 0 up to, but not including, `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        // The bias of a remainder of 64 bits does not matter to any caller.
        self.0.next_u64().checked_rem(n).unwrap_or(0)
    }

    /// From `from` up to and including `to`.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to.saturating_sub(from) + 1)
    }

    /// True so many times in a hundred.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// One of some things.
    pub fn pick<'a, T>(&mut self, from: &'a [T]) -> &'a T {
        &from[self.below(from.len() as u64) as usize]
    }
}
