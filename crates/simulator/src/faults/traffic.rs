//! Clients that hand in more than usual, or misbehave.

use std::time::Duration;

use super::{Scene, Target, Trouble};
use crate::rng::SimulationRng;

/// A brand hands in so many more messages for one partner.
#[derive(Debug)]
pub(super) struct Surge(u16, u64);

impl Surge {
    pub fn draw(rng: &mut SimulationRng, at: &Target) -> Self {
        Surge(at.block, rng.between(40, 160))
    }
}

impl Trouble for Surge {
    fn begins(&self, _: &mut dyn Scene, _: Duration) {}

    fn surge(&self) -> Option<(u16, u64)> {
        Some((self.0, self.1))
    }
}

/// So many clients have a bad habit.
#[derive(Debug)]
pub(super) struct BadClients(u64);

impl BadClients {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        BadClients(rng.between(10, 40))
    }
}

impl Trouble for BadClients {
    fn begins(&self, _: &mut dyn Scene, _: Duration) {}

    fn bad_clients(&self) -> Option<u64> {
        Some(self.0)
    }
}
