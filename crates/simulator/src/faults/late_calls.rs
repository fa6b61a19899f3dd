//! Faults by which calls begin long after the relay has chosen their hosts.

use std::rc::Rc;

use super::partners::{LateConnections, LateReads};
use super::{Fault, FaultBehavior};
use crate::rng::SimulationRng;

/// Draws two to five periods in which a destination's connections come up late, or its hosts begin calls late.
pub fn draw_late_calls(rng: &mut SimulationRng, destinations: &[u16]) -> Vec<Fault> {
    let count = rng.between(2, 5);
    let fault = |_| {
        let from = rng.between(500, 13_000);
        let destination = *rng.pick(destinations);
        let behavior: Rc<dyn FaultBehavior> = if rng.percent(50) {
            Rc::new(LateConnections::draw(rng, destination))
        } else {
            Rc::new(LateReads::draw(rng, destination))
        };
        Fault {
            from,
            until: from + rng.between(1_000, 8_000),
            relay: 0,
            behavior,
        }
    };
    (0..count).map(fault).collect()
}
