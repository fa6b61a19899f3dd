//! Traffic peaks and misbehaving clients.

use std::time::Duration;

use super::{FaultBehavior, FaultContext, Target};
use crate::rng::SimulationRng;

/// Additional messages for one destination; the fields are the destination and the number of messages.
#[derive(Debug)]
pub(super) struct Surge(u16, u64);

impl Surge {
    pub fn draw(rng: &mut SimulationRng, target: &Target) -> Self {
        Surge(target.destination, rng.between(40, 160))
    }
}

impl FaultBehavior for Surge {
    fn inject(&self, _: &mut dyn FaultContext, _: Duration) {}

    fn surge(&self) -> Option<(u16, u64)> {
        Some((self.0, self.1))
    }
}

/// This percentage of messages comes from misbehaving clients.
#[derive(Debug)]
pub(super) struct BadClients(u64);

impl BadClients {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        BadClients(rng.between(10, 40))
    }
}

impl FaultBehavior for BadClients {
    fn inject(&self, _: &mut dyn FaultContext, _: Duration) {}

    fn misbehaving_client_percent(&self) -> Option<u64> {
        Some(self.0)
    }
}
