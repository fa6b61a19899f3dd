//! An upgrade: a new version starts beside the serving process.

use std::rc::Rc;
use std::time::Duration;

use super::{Fault, FaultBehavior, FaultContext, Upgrade};
use crate::rng::SimulationRng;

/// A process is killed within this number of its effects: they cover its start, its part of the hand-over, and some of
/// its time in service.
const KILL_WITHIN: u64 = 120;

/// A new version takes over; in some upgrades the old or the new process is killed.
#[derive(Debug)]
pub(super) struct NewVersion(Upgrade);

impl NewVersion {
    /// The old process gets SIGTERM `stop_after` the new one is ready, and none is killed.
    pub fn without_kills(stop_after: Duration) -> Self {
        let kills = [None, None];
        NewVersion(Upgrade { stop_after, kills })
    }

    pub fn draw(rng: &mut SimulationRng) -> Self {
        let stop_after = Duration::from_millis(rng.between(0, 800));
        let struck = rng.below(6);
        let effects = rng.below(KILL_WITHIN);
        let kills = [0, 1].map(|side| (struck == side).then_some(effects));
        NewVersion(Upgrade { stop_after, kills })
    }
}

impl FaultBehavior for NewVersion {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.start_upgrade(self.0);
    }
}

/// Draws three upgrades, one after the other.
pub fn draw_upgrades(rng: &mut SimulationRng) -> Vec<Fault> {
    let mut from = 0;
    let fault = |_| {
        from += rng.between(1_500, 5_000);
        Fault {
            from,
            until: from + 1,
            relay: 0,
            behavior: Rc::new(NewVersion::draw(rng)),
        }
    };
    (0..3).map(fault).collect()
}
