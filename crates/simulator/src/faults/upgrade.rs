//! A new version that starts beside the one that serves.

use std::time::Duration;

use super::{Scene, Trouble, Upgrade};
use crate::dice::Dice;

/// Effects of a process within which a kill strikes: its start, its part of the hand-over, and some of its service.
const KILL_WITHIN: u64 = 120;

/// Takes over; at times one of the two is killed meanwhile.
#[derive(Debug)]
pub(super) struct NewVersion(Upgrade);

impl NewVersion {
    pub fn draw(dice: &mut Dice) -> Self {
        let stop_after = Duration::from_millis(dice.between(0, 800));
        let struck = dice.below(6);
        let effects = dice.below(KILL_WITHIN);
        let kills = [0, 1].map(|side| (struck == side).then_some(effects));
        NewVersion(Upgrade { stop_after, kills })
    }
}

impl Trouble for NewVersion {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.upgrade(self.0);
    }
}
