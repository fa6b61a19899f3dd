//! Faults of a large fleet, and of the destinations that its relays share.

use std::time::Duration;

use super::partners::Refuses;
use super::{FaultBehavior, FaultContext};
use crate::rng::SimulationRng;

/// SIGKILL to a percentage of the relays at one instant; each restarts after the same downtime, in milliseconds.
#[derive(Debug)]
pub(super) struct KillMost(u64, u64);

impl KillMost {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillMost(rng.between(50, 90), rng.between(300, 1_200))
    }
}

impl FaultBehavior for KillMost {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_downtime(Duration::from_millis(self.1));
        context.kill_relays(self.0);
    }
}

/// A destination is unavailable: new connections are refused, and open ones are closed at the next call.
#[derive(Debug)]
pub(super) struct Down(pub u16);

impl FaultBehavior for Down {
    fn inject(&self, context: &mut dyn FaultContext, until: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.drops_calls = true);
        Refuses(self.0).inject(context, until);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.drops_calls = false);
        Refuses(self.0).clear(context);
    }
}

/// A destination halves its limit, and announces that in its reports.
#[derive(Debug)]
pub(super) struct Lowered(pub u16);

impl FaultBehavior for Lowered {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| {
            behavior.max_calls_per_second = behavior.max_calls_per_second.map(|limit| limit / 2.0)
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| {
            behavior.max_calls_per_second = behavior.max_calls_per_second.map(|limit| limit * 2.0)
        });
    }
}
