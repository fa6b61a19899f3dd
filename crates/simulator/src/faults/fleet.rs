//! What strikes several relays, or one apart from the others.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::rng::SimulationRng;

/// SIGKILL to all relays at one instant; they come up again after the same time.
#[derive(Debug)]
pub(super) struct KillAll(u64);

impl KillAll {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillAll(rng.between(300, 1_500))
    }
}

impl Trouble for KillAll {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.0));
        scene.kill_all();
    }
}

/// One relay reaches no host of a destination, which the others do.
#[derive(Debug)]
pub(super) struct CutOff(pub u16);

impl Trouble for CutOff {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.cut(self.0, true);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.cut(self.0, false);
    }
}
