//! Staff at work: drains, and configurations that are read again.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::history::Observation;
use crate::operated;
use crate::rng::SimulationRng;

/// The relay is drained, and put back to work.
#[derive(Debug)]
pub(super) struct Drain;

impl Trouble for Drain {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.drain(true);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.drain(false);
    }
}

/// A class comes, and goes again.
#[derive(Debug)]
pub(super) struct Rush;

impl Trouble for Rush {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.retune(&|settings| operated::rush(settings, true));
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.retune(&|settings| operated::rush(settings, false));
    }
}

/// A class turns unsafe.
#[derive(Debug)]
pub(super) struct Hardens;

impl Trouble for Hardens {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.retune(&operated::harden);
    }
}

/// Messages may have so many attempts, and are counted by that once the configuration is in use.
#[derive(Debug)]
pub(super) struct Fewer(pub usize);

impl Trouble for Fewer {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.retune(&|settings| settings["limits"]["maxAttempts"] = self.0.into());
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.observe(&Observation::MaxAttemptsChanged(self.0));
    }
}

/// The file is not whole when it is read again; later it is as before.
#[derive(Debug)]
pub(super) struct SpoiltFile(u64);

impl SpoiltFile {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        SpoiltFile(rng.below(operated::SPOILT))
    }
}

impl Trouble for SpoiltFile {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.spoil_file(self.0);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.mend_file();
    }
}
