//! Actions of operators on a live relay: drains, and reloads of valid and invalid configurations.

use std::rc::Rc;
use std::time::Duration;

use super::{Fault, FaultBehavior, FaultContext};
use crate::history::Observation;
use crate::operated::{self, Changes, CONFIG_IN_USE_MS};
use crate::rng::SimulationRng;

/// The relay is drained, and resumed when the fault ends.
#[derive(Debug)]
pub(super) struct Drain;

impl FaultBehavior for Drain {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_draining(true);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.set_draining(false);
    }
}

/// A class is added to the settings, and removed when the fault ends.
#[derive(Debug)]
pub(super) struct Rush;

impl FaultBehavior for Rush {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.reload_settings(&|settings| operated::set_transient_class(settings, true));
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.reload_settings(&|settings| operated::set_transient_class(settings, false));
    }
}

/// A class becomes non-idempotent.
#[derive(Debug)]
pub(super) struct Hardens;

impl FaultBehavior for Hardens {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.reload_settings(&operated::make_non_idempotent);
    }
}

/// Lowers the maximum number of attempts to this. The checker applies the new limit once the configuration is in use, when
/// the fault ends.
#[derive(Debug)]
pub(super) struct Fewer(pub usize);

impl FaultBehavior for Fewer {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.reload_settings(&|settings| settings["limits"]["maxAttempts"] = self.0.into());
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.observe(&Observation::MaxAttemptsChanged(self.0));
    }
}

/// An invalid configuration, corrupted in the way of this number, is reloaded; the valid file is restored when the fault
/// ends.
#[derive(Debug)]
pub(super) struct SpoiltFile(u64);

impl SpoiltFile {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        SpoiltFile(rng.below(operated::CONFIG_CORRUPTIONS))
    }
}

impl FaultBehavior for SpoiltFile {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.corrupt_config(self.0);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.restore_config();
    }
}

/// Draws the operators' actions: the given changes of the settings, one or two drains, and up to two invalid configuration
/// files.
pub fn draw_operator_actions(rng: &mut SimulationRng, changes: &Changes) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |from: u64, until: u64, behavior: Rc<dyn FaultBehavior>| {
        faults.push(Fault {
            from,
            until,
            relay: 0,
            behavior,
        });
    };
    add(
        changes.transient_class.0,
        changes.transient_class.1,
        Rc::new(Rush),
    );
    changes
        .non_idempotent_at
        .into_iter()
        .for_each(|at| add(at, at + 1, Rc::new(Hardens)));
    if let Some((at, max_attempts)) = changes.max_attempts_lowered {
        add(at, at + CONFIG_IN_USE_MS, Rc::new(Fewer(max_attempts)));
    }
    let mut from = rng.between(1_000, 5_000);
    for _ in 0..rng.between(1, 2) {
        let until = from + rng.between(1_000, 6_500);
        add(from, until, Rc::new(Drain));
        from = until + rng.between(1_500, 4_000);
    }
    for _ in 0..rng.below(3) {
        let at = rng.between(1_000, 13_000);
        add(at, at + 150, Rc::new(SpoiltFile::draw(rng)));
    }
    faults
}
