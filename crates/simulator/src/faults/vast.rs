//! What strikes a large fleet, or the destinations that it shares.

use std::time::Duration;

use super::partners::Refuses;
use super::{Scene, Trouble};
use crate::rng::SimulationRng;

/// SIGKILL to most relays at one instant, so many of a hundred; they come up again after the same time.
#[derive(Debug)]
pub(super) struct KillMost(u64, u64);

impl KillMost {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillMost(rng.between(50, 90), rng.between(300, 1_200))
    }
}

impl Trouble for KillMost {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.1));
        scene.kill_some(self.0);
    }
}

/// A destination is away: new connections are refused, and those that are open end at the next call.
#[derive(Debug)]
pub(super) struct Down(pub u16);

impl Trouble for Down {
    fn begins(&self, scene: &mut dyn Scene, until: Duration) {
        scene.host_behavior(self.0, &|behavior| behavior.drops_calls = true);
        Refuses(self.0).begins(scene, until);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.drops_calls = false);
        Refuses(self.0).ends(scene);
    }
}

/// A destination lowers its limit to a half, and tells so in its reports.
#[derive(Debug)]
pub(super) struct Lowered(pub u16);

impl Trouble for Lowered {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| {
            behavior.max_calls_per_second = behavior.max_calls_per_second.map(|limit| limit / 2.0)
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| {
            behavior.max_calls_per_second = behavior.max_calls_per_second.map(|limit| limit * 2.0)
        });
    }
}
