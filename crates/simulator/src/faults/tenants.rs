//! Faults of the tenant registry: a kill during a change, and corruption on the disk.

use std::path::Path;
use std::time::Duration;

use super::{FaultBehavior, FaultContext};
use crate::hosted::REGISTRY_DIRECTORY;
use crate::rng::SimulationRng;

/// SIGKILL a number of effects after an administrator's next change is sent, and a restart after a downtime in milliseconds.
#[derive(Debug)]
pub(super) struct KillInChange(u64, u64);

impl KillInChange {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillInChange(rng.below(16), rng.between(300, 1_500))
    }
}

impl FaultBehavior for KillInChange {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_downtime(Duration::from_millis(self.1));
        context.kill_after_next_change(self.0);
    }
}

/// One replica of the registry is corrupted on the disk: a bit is flipped, or the file is truncated.
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

impl FaultBehavior for SpoiltRegistry {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        let path = Path::new(REGISTRY_DIRECTORY).join(self.copy);
        context.machine().disk(context.relay(), |disk| {
            if self.cut {
                disk.truncate(&path, self.at)
            } else {
                disk.flip_bit(&path, self.at)
            }
        });
        context.machine().kill(context.process());
    }
}
