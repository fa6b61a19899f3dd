//! What strikes the store of undeliverable messages.

use std::time::Duration;

use super::{Scene, Trouble};
use crate::kept::store;
use crate::rng::SimulationRng;

/// SIGKILL so many effects after an operator's next change is sent: between the claim, the journal and the call.
#[derive(Debug)]
pub(super) struct KillInResend(u64, u64);

impl KillInResend {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillInResend(rng.below(80), rng.between(300, 1_500))
    }
}

impl Trouble for KillInResend {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.down_for(Duration::from_millis(self.1));
        scene.strike_at_change(self.0);
    }
}

/// Bits of the store's file are flipped while the relay is down.
#[derive(Debug)]
pub(super) struct SpoiltStore(Vec<u64>);

impl SpoiltStore {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        SpoiltStore((0..rng.between(1, 8)).map(|_| rng.below(1 << 40)).collect())
    }
}

impl Trouble for SpoiltStore {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene.machine().kill(scene.process());
        let flip = |at: &u64| {
            scene
                .machine()
                .disk(scene.relay(), |disk| disk.flip_page_file_bit(&store(), *at))
        };
        self.0.iter().for_each(flip);
    }
}

/// The store's disk takes no more for a while.
#[derive(Debug)]
pub(super) struct StoreFull;

impl Trouble for StoreFull {
    fn begins(&self, scene: &mut dyn Scene, _: Duration) {
        scene
            .machine()
            .disk(scene.relay(), |disk| disk.set_page_files_full(true));
    }

    fn ends(&self, scene: &mut dyn Scene) {
        scene
            .machine()
            .disk(scene.relay(), |disk| disk.set_page_files_full(false));
    }
}
