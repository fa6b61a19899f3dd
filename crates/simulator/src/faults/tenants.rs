//! A registry of tenants that is struck while it is changed, or spoilt on the disk.

use std::path::Path;
use std::time::Duration;

use super::{Scene, Trouble};
use crate::hosted::FOLDER;
use crate::rng::SimulationRng;

/// SIGKILL so many effects after an administrator's next change is sent.
#[derive(Debug)]
pub(super) struct KillInChange(u64, u64);

impl KillInChange {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillInChange(rng.below(16), rng.between(300, 1_500))
    }
}

impl Trouble for KillInChange {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.1));
        scene.strike_at_change(self.0);
    }
}

/// One copy of the registry is spoilt on the disk: a bit flipped, or its end cut off.
#[derive(Debug)]
pub(super) struct SpoiltRegistry {
    copy: &'static str,
    at: u64,
    cut: bool,
}

impl SpoiltRegistry {
    pub fn draw(rng: &mut SimulationRng, copy: &'static str) -> Self {
        SpoiltRegistry {
            copy,
            at: rng.below(1 << 20),
            cut: rng.percent(30),
        }
    }
}

impl Trouble for SpoiltRegistry {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        let path = Path::new(FOLDER).join(self.copy);
        scene.machine().disk(scene.relay(), |disk| {
            if self.cut {
                disk.truncate(&path, self.at)
            } else {
                disk.flip_bit(&path, self.at)
            }
        });
        scene.machine().kill(scene.process());
    }
}
