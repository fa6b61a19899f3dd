//! A relay that is killed, stopped or told to read its configuration again, and a disk that is full.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::history::Observation;
use crate::rng::SimulationRng;

/// SIGKILL after so many more effects, and a start so many milliseconds later.
#[derive(Debug)]
pub(super) struct Kill(u64, u64);

impl Kill {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        Kill(rng.below(40), rng.between(300, 1_500))
    }
}

impl Trouble for Kill {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.1));
        scene.machine().kill_after(scene.process(), self.0);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        // One that has had nothing to do since is killed all the same.
        if scene.machine().is_kill_pending(scene.process()) {
            scene.machine().kill(scene.process());
        }
    }
}

/// The same, within the journal's next rewriting.
#[derive(Debug)]
pub(super) struct KillInRewriting(u64, u64);

impl KillInRewriting {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillInRewriting(rng.below(5), rng.between(300, 1_500))
    }
}

impl Trouble for KillInRewriting {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.1));
        scene
            .machine()
            .kill_after_create(scene.process(), "journal.new", self.0);
    }
}

/// SIGTERM, and a start after the end.
#[derive(Debug)]
pub(super) struct Stop(u64);

impl Stop {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        Stop(rng.between(300, 1_500))
    }
}

impl Trouble for Stop {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.stop(Duration::from_millis(self.0));
    }
}

/// SIGHUP with a configuration that names another discovery.
#[derive(Debug)]
pub(super) struct Reload;

impl Trouble for Reload {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.reload();
    }
}

/// The disk takes so many more bytes.
#[derive(Debug)]
pub(super) struct DiskFull(u64);

impl DiskFull {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        DiskFull(rng.below(4_000))
    }
}

impl Trouble for DiskFull {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene
            .machine()
            .disk(scene.relay(), |disk| disk.free_bytes = Some(self.0));
        scene.observe(&Observation::DiskFull(true));
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene
            .machine()
            .disk(scene.relay(), |disk| disk.free_bytes = None);
        scene.observe(&Observation::DiskFull(false));
    }
}

/// So many of a hundred writes to the disk are short.
#[derive(Debug)]
pub(super) struct ShortWrites(u64);

impl ShortWrites {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        ShortWrites(rng.between(5, 60))
    }
}

impl Trouble for ShortWrites {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene
            .machine()
            .disk(scene.relay(), |disk| disk.short_write_percent = self.0);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene
            .machine()
            .disk(scene.relay(), |disk| disk.short_write_percent = 0);
    }
}
