//! Hosts that come and go, and a list that lags.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::history::Observation;
use crate::rng::SimulationRng;

/// A host drains, and is removed at the end.
#[derive(Debug)]
pub(super) struct Drains(pub usize);

impl Trouble for Drains {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.list(self.0, "draining", 1);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.list(self.0, "removed", 1);
    }
}

/// A host is replaced by a new one at its address.
#[derive(Debug)]
pub(super) struct Replaced(pub usize);

impl Trouble for Replaced {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.list(self.0, "removed", 1);
        scene.rename(self.0);
        scene.list(self.0, "up", 1);
    }
}

/// The list comes later by so many milliseconds.
#[derive(Debug)]
pub(super) struct ListLags(u64);

impl ListLags {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        ListLags(rng.between(200, 3_000))
    }
}

impl Trouble for ListLags {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene
            .discovery()
            .publication_delay
            .set(Duration::from_millis(self.0));
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.discovery().publication_delay.set(Duration::ZERO);
    }
}

/// Discovery says nothing on the list.
#[derive(Debug)]
pub(super) struct ListSilent;

impl Trouble for ListSilent {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.discovery().silent.set(true);
        scene.observe(&Observation::DiscoverySilent(true));
        scene.discovery().wake();
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.discovery().silent.set(false);
        scene.observe(&Observation::DiscoverySilent(false));
        scene.discovery().wake();
    }
}

/// The list's version jumps with the next changes.
#[derive(Debug)]
pub(super) struct ListJumps;

impl Trouble for ListJumps {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        (0..scene.hosts()).for_each(|host| scene.list(host, "up", 1_000));
    }

    fn ends(&self, scene: &mut dyn Scene) {
        (0..scene.hosts()).for_each(|host| scene.list(host, "up", 1_000));
    }
}
