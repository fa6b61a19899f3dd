//! Faults of several relays at once, or of one relay in a fleet.

use std::time::Duration;

use super::{FaultBehavior, FaultContext};
use crate::rng::SimulationRng;

/// SIGKILL to all relays at one instant; each restarts after the same downtime, in milliseconds.
#[derive(Debug)]
pub(super) struct KillAll(u64);

impl KillAll {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillAll(rng.between(300, 1_500))
    }
}

impl FaultBehavior for KillAll {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_downtime(Duration::from_millis(self.0));
        context.kill_all_relays();
    }
}

/// A network partition between one relay and the hosts of a destination, which the other relays can still reach.
#[derive(Debug)]
pub(super) struct CutOff(pub u16);

impl FaultBehavior for CutOff {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_partitioned(self.0, true);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.set_partitioned(self.0, false);
    }
}
