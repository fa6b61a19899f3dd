//! Faults of one relay process: kills, terminations, reloads of the configuration, and a full or failing disk.

use std::time::Duration;

use super::{FaultBehavior, FaultContext};
use crate::history::Observation;
use crate::rng::SimulationRng;

/// SIGKILL after a number of further effects, and a restart after a downtime in milliseconds.
#[derive(Debug)]
pub(super) struct Kill(u64, u64);

impl Kill {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        Kill(rng.below(40), rng.between(300, 1_500))
    }
}

impl FaultBehavior for Kill {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_downtime(Duration::from_millis(self.1));
        context.machine().kill_after(context.process(), self.0);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        // An idle process may not have reached the number of effects; it is killed here.
        if context.machine().is_kill_pending(context.process()) {
            context.machine().kill(context.process());
        }
    }
}

/// SIGKILL a number of effects into the next rewriting of the journal, and a restart after a downtime in milliseconds.
#[derive(Debug)]
pub(super) struct KillInRewriting(u64, u64);

impl KillInRewriting {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillInRewriting(rng.below(5), rng.between(300, 1_500))
    }
}

impl FaultBehavior for KillInRewriting {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_downtime(Duration::from_millis(self.1));
        context
            .machine()
            .kill_after_create(context.process(), "journal.new", self.0);
    }
}

/// SIGTERM, and a restart this many milliseconds after the process has ended.
#[derive(Debug)]
pub(super) struct Stop(u64);

impl Stop {
    pub fn with_downtime(down_ms: u64) -> Self {
        Stop(down_ms)
    }

    pub fn draw(rng: &mut SimulationRng) -> Self {
        Stop(rng.between(300, 1_500))
    }
}

impl FaultBehavior for Stop {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.terminate(Duration::from_millis(self.0));
    }
}

/// Discovery moves to another address, and SIGHUP makes the relay read the configuration that names it.
#[derive(Debug)]
pub(super) struct Reload;

impl FaultBehavior for Reload {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.move_discovery();
    }
}

/// The disk is full after this many more bytes.
#[derive(Debug)]
pub(super) struct DiskFull(u64);

impl DiskFull {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        DiskFull(rng.below(4_000))
    }
}

impl FaultBehavior for DiskFull {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context
            .machine()
            .disk(context.relay(), |disk| disk.free_bytes = Some(self.0));
        context.observe(&Observation::DiskFull(true));
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context
            .machine()
            .disk(context.relay(), |disk| disk.free_bytes = None);
        context.observe(&Observation::DiskFull(false));
    }
}

/// This percentage of writes to the disk are short.
#[derive(Debug)]
pub(super) struct ShortWrites(u64);

impl ShortWrites {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        ShortWrites(rng.between(5, 60))
    }
}

impl FaultBehavior for ShortWrites {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context
            .machine()
            .disk(context.relay(), |disk| disk.short_write_percent = self.0);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context
            .machine()
            .disk(context.relay(), |disk| disk.short_write_percent = 0);
    }
}
