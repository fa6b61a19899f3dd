//! Partners that do badly.

use std::time::Duration;

use super::{Scene, Target, Trouble};
use crate::history::Observation;
use crate::machine::AddressFault;
use crate::peers::host_behavior::Rejection;
use crate::rng::SimulationRng;

/// A partner's calls fail, so many of a hundred.
#[derive(Debug)]
pub(super) struct Fails(u16, u64);

impl Fails {
    pub fn draw(rng: &mut SimulationRng, at: &Target) -> Self {
        Fails(at.block, rng.between(50, 100))
    }
}

impl Trouble for Fails {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| behavior.error_percent = self.1);
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.error_percent = 0);
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// A partner turns all away, and tells no wait.
#[derive(Debug)]
pub(super) struct Shut(pub u16);

impl Trouble for Shut {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| {
            behavior.rejection = Some(Rejection::WithoutWait)
        });
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.rejection = None);
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// A partner turns all away, and tells how long.
#[derive(Debug)]
pub(super) struct ShutTold(pub u16);

impl Trouble for ShutTold {
    fn begins(&self, scene: &mut dyn Scene, until: Duration) {
        scene.host_behavior(self.0, &|behavior| {
            behavior.rejection = Some(Rejection::Until(until))
        });
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        Shut(self.0).ends(scene);
    }
}

/// A partner says nothing.
#[derive(Debug)]
pub(super) struct Hangs(pub u16);

impl Trouble for Hangs {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| behavior.hangs = true);
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.hangs = false);
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// A partner answers a byte at a time.
#[derive(Debug)]
pub(super) struct Trickles(pub u16);

impl Trouble for Trickles {
    fn garbles(&self) -> Option<u16> {
        Some(self.0)
    }

    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| behavior.responds_bytewise = true);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.responds_bytewise = false);
    }
}

/// A partner's connections are refused.
#[derive(Debug)]
pub(super) struct Refuses(pub u16);

impl Trouble for Refuses {
    fn garbles(&self) -> Option<u16> {
        Some(self.0)
    }

    fn eats(&self) -> bool {
        true
    }

    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.address(
            self.0,
            AddressFault {
                refuses: true,
                ..AddressFault::default()
            },
        );
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.address(self.0, AddressFault::default());
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// Nothing gets through to a partner and back.
#[derive(Debug)]
pub(super) struct BlackHole(pub u16);

impl Trouble for BlackHole {
    fn garbles(&self) -> Option<u16> {
        Some(self.0)
    }

    fn eats(&self) -> bool {
        true
    }

    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.address(
            self.0,
            AddressFault {
                silent: true,
                ..AddressFault::default()
            },
        );
        scene.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        Refuses(self.0).ends(scene);
    }
}

/// Connections to a partner are reset at any byte, so many of a hundred.
#[derive(Debug)]
pub(super) struct Cuts(u16, u64);

impl Cuts {
    pub fn draw(rng: &mut SimulationRng, at: &Target) -> Self {
        Cuts(at.block, rng.between(10, 60))
    }
}

impl Trouble for Cuts {
    fn garbles(&self) -> Option<u16> {
        Some(self.0)
    }

    fn eats(&self) -> bool {
        true
    }

    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.address(
            self.0,
            AddressFault {
                reset_percent: self.1,
                ..AddressFault::default()
            },
        );
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.address(self.0, AddressFault::default());
    }
}

/// A partner closes kept connections, also as they are used.
#[derive(Debug)]
pub(super) struct Stale(pub u16);

impl Trouble for Stale {
    fn garbles(&self) -> Option<u16> {
        Some(self.0)
    }

    fn eats(&self) -> bool {
        true
    }

    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| behavior.closes_after_response = true);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.closes_after_response = false);
    }
}

/// A partner's answers are spoilt, so many of a hundred.
#[derive(Debug)]
pub(super) struct Spoils(u16, u64);

impl Spoils {
    pub fn draw(rng: &mut SimulationRng, at: &Target) -> Self {
        Spoils(at.block, rng.between(5, 40))
    }
}

impl Trouble for Spoils {
    fn garbles(&self) -> Option<u16> {
        Some(self.0)
    }

    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| behavior.corruption_percent = self.1);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.corruption_percent = 0);
    }
}

/// A partner has a limit of so many calls a second and tells waits past it.
#[derive(Debug)]
pub(super) struct Limited(u16, u64);

impl Limited {
    pub fn draw(rng: &mut SimulationRng, at: &Target) -> Self {
        Limited(at.block, rng.between(2, 10))
    }
}

impl Trouble for Limited {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.host_behavior(self.0, &|behavior| {
            behavior.max_calls_per_second = Some(self.1 as f64)
        });
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.host_behavior(self.0, &|behavior| behavior.max_calls_per_second = None);
    }
}

/// A partner is slow, by so many milliseconds.
#[derive(Debug)]
pub(super) struct Slow(u16, u64);

impl Slow {
    pub fn draw(rng: &mut SimulationRng, at: &Target) -> Self {
        Slow(at.block, rng.between(200, 1_500))
    }
}

impl Trouble for Slow {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.slow(self.0, self.1);
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene.slow(self.0, 0);
    }
}
