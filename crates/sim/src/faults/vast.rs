//! What strikes a large fleet, or the destinations that it shares.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::dice::Dice;

/// SIGKILL to most relays at one instant, so many of a hundred; they come up again after the same time.
#[derive(Debug)]
pub(super) struct KillMost(u64, u64);

impl KillMost {
    pub fn draw(dice: &mut Dice) -> Self {
        KillMost(dice.between(50, 90), dice.between(300, 1_200))
    }
}

impl Trouble for KillMost {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.1));
        scene.kill_some(self.0);
    }
}

/// A destination lowers its limit to a half, and tells so in its reports.
#[derive(Debug)]
pub(super) struct Lowered(pub u16);

impl Trouble for Lowered {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.mood(self.0, &|mood| mood.limit = mood.limit.map(|limit| limit / 2.0));
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.mood(self.0, &|mood| mood.limit = mood.limit.map(|limit| limit * 2.0));
    }
}
