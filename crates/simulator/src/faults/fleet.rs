//! Faults of several relays at once, or of one relay in a fleet.

use std::rc::Rc;
use std::time::Duration;

use super::{listing, Fault, FaultBehavior, FaultContext};
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

/// Assigns each fault of a scenario to one of several relays, and adds up to two that affect all relays or one of them.
pub fn add_fleet_faults(
    rng: &mut SimulationRng,
    faults: &mut Vec<Fault>,
    relays: u64,
    destinations: &[u16],
) {
    for _ in 0..rng.between(0, 2) {
        let from = rng.between(500, 12_000);
        let until = from + rng.between(300, 4_000);
        let behavior: Rc<dyn FaultBehavior> = match rng.below(4) {
            0 => Rc::new(KillAll::draw(rng)),
            1 | 2 => Rc::new(CutOff(*rng.pick(destinations))),
            _ => Rc::new(listing::ListSilent),
        };
        faults.push(Fault {
            from,
            until,
            relay: 0,
            behavior,
        });
    }
    faults
        .iter_mut()
        .for_each(|fault| fault.relay = rng.below(relays) as usize);
    faults.sort_by_key(|fault| fault.from);
}
