//! A registry of tenants that is struck while it is changed, or spoilt on the disk.

use std::path::Path;
use std::time::Duration;

use super::{Scene, Trouble};
use crate::dice::Dice;
use crate::hosted::FOLDER;

/// SIGKILL so many effects after an administrator's next change is sent.
#[derive(Debug)]
pub(super) struct KillInChange(u64, u64);

impl KillInChange {
    pub fn draw(dice: &mut Dice) -> Self {
        KillInChange(dice.below(16), dice.between(300, 1_500))
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
    pub fn draw(dice: &mut Dice, copy: &'static str) -> Self {
        SpoiltRegistry {
            copy,
            at: dice.below(1 << 20),
            cut: dice.percent(30),
        }
    }
}

impl Trouble for SpoiltRegistry {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        let path = Path::new(FOLDER).join(self.copy);
        scene.machine().disk(scene.relay(), |disk| {
            if self.cut {
                disk.cut(&path, self.at)
            } else {
                disk.flip(&path, self.at)
            }
        });
        scene.machine().kill(scene.process());
    }
}
