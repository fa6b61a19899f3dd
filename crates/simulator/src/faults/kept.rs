//! Faults of the store of undeliverable messages.

use std::rc::Rc;
use std::time::Duration;

use super::{Fault, FaultBehavior, FaultContext};
use crate::kept::store_path;
use crate::rng::SimulationRng;

/// SIGKILL a number of effects after an operator's next change is sent: between the claim, the journal and the call.
/// The fields are the number of effects and the downtime in milliseconds.
#[derive(Debug)]
pub(super) struct KillInResend(u64, u64);

impl KillInResend {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        KillInResend(rng.below(80), rng.between(300, 1_500))
    }
}

impl FaultBehavior for KillInResend {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_downtime(Duration::from_millis(self.1));
        context.kill_after_next_change(self.0);
    }
}

/// Bits of the store's file, at these positions, are flipped while the relay is down.
#[derive(Debug)]
pub(super) struct SpoiltStore(Vec<u64>);

impl SpoiltStore {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        SpoiltStore((0..rng.between(1, 8)).map(|_| rng.below(1 << 40)).collect())
    }
}

impl FaultBehavior for SpoiltStore {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.machine().kill(context.process());
        let flip = |at: &u64| {
            context.machine().disk(context.relay(), |disk| {
                disk.flip_page_file_bit(&store_path(), *at)
            })
        };
        self.0.iter().for_each(flip);
    }
}

/// Writes to the store fail because its disk is full.
#[derive(Debug)]
pub(super) struct StoreFull;

impl FaultBehavior for StoreFull {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context
            .machine()
            .disk(context.relay(), |disk| disk.set_page_files_full(true));
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context
            .machine()
            .disk(context.relay(), |disk| disk.set_page_files_full(false));
    }
}

/// Draws up to three faults of the store of undeliverable messages, each with whether it may lose records.
pub fn draw_undeliverable_store_faults(rng: &mut SimulationRng) -> Vec<(Fault, bool)> {
    let fault = |rng: &mut SimulationRng| {
        let from = rng.between(2_000, 20_000);
        let (span, damages_store, behavior): (u64, bool, Rc<dyn FaultBehavior>) =
            match rng.below(10) {
                0..=6 => (1, false, Rc::new(KillInResend::draw(rng))),
                7 => (1, true, Rc::new(SpoiltStore::draw(rng))),
                _ => (rng.between(500, 4_000), true, Rc::new(StoreFull)),
            };
        (
            Fault {
                from,
                until: from + span,
                relay: 0,
                behavior,
            },
            damages_store,
        )
    };
    (0..rng.between(0, 3)).map(|_| fault(rng)).collect()
}
