//! A rolling restart of a whole fleet while hosts are replaced.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::rng::SimulationRng;

/// A relay is stopped or killed, and starts again so many milliseconds after its end.
#[derive(Debug)]
pub(super) struct Restarted {
    stopped: bool,
    down: u64,
}

impl Restarted {
    /// After SIGTERM a process that leaves early is down for as long as the others take.
    pub fn draw(rng: &mut SimulationRng) -> Self {
        let stopped = rng.percent(50);
        Restarted {
            stopped,
            down: if stopped {
                rng.between(600, 4_300)
            } else {
                600
            },
        }
    }
}

impl Trouble for Restarted {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        let down = Duration::from_millis(self.down);
        if self.stopped {
            scene.stop(down);
        } else {
            scene.down_for(down);
            scene.machine().kill(scene.process());
        }
    }
}
