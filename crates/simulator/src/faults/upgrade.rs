//! A new version that starts beside the one that serves.

use std::time::Duration;

use super::{Scene, Trouble, Upgrade};
use crate::rng::SimulationRng;

/// Effects of a process within which a kill strikes: its start, its part of the hand-over, and some of its service.
const KILL_WITHIN: u64 = 120;

/// Takes over; at times one of the two is killed meanwhile.
#[derive(Debug)]
pub(super) struct NewVersion(Upgrade);

impl NewVersion {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        let stop_after = Duration::from_millis(rng.between(0, 800));
        let struck = rng.below(6);
        let effects = rng.below(KILL_WITHIN);
        let kills = [0, 1].map(|side| (struck == side).then_some(effects));
        NewVersion(Upgrade { stop_after, kills })
    }
}

impl Trouble for NewVersion {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.upgrade(self.0);
    }
}
