//! Faults of a large fleet, and of the destinations that its relays share.

use std::rc::Rc;
use std::time::Duration;

use super::partners::Refuses;
use super::{Fault, FaultBehavior, FaultContext};
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

/// Draws one or two kinds of faults of a large fleet: a restart of most relays, an outage of destinations with half of the
/// traffic, or a limit that is lowered for nine seconds.
pub fn draw_large_fleet_faults(
    rng: &mut SimulationRng,
    destinations: &[u16],
    relays: usize,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |from: u64, span: u64, behavior: Rc<dyn FaultBehavior>| {
        faults.push(Fault {
            from,
            until: from + span,
            relay: 0,
            behavior,
        });
    };
    let first = rng.below(3);
    let second = if rng.percent(30) { rng.below(3) } else { first };
    for kind in std::collections::BTreeSet::from([first, second]) {
        let from = rng.between(3_000, 7_000);
        match kind {
            0 if relays > 1 => add(from, 1, Rc::new(KillMost::draw(rng))),
            0 | 1 => {
                let half = &destinations[..destinations.len().div_ceil(2)];
                half.iter()
                    .for_each(|destination| add(from, 5_000, Rc::new(Down(*destination))));
            }
            _ => add(from, 9_000, Rc::new(Lowered(*rng.pick(destinations)))),
        }
    }
    faults.sort_by_key(|fault| fault.from);
    faults
}
