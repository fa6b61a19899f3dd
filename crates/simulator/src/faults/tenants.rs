//! Faults of the tenant registry: a kill during a change, and corruption on the disk.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use super::{Fault, FaultBehavior, FaultContext};
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

/// Draws up to two faults of the tenant registry.
pub fn draw_tenant_faults(rng: &mut SimulationRng) -> Vec<Fault> {
    // All corruption hits one replica: the other repairs it, but not damage to both.
    let replica = if rng.percent(50) {
        "tenants.a"
    } else {
        "tenants.b"
    };
    let behavior = |rng: &mut SimulationRng| -> Rc<dyn FaultBehavior> {
        if rng.percent(60) {
            Rc::new(KillInChange::draw(rng))
        } else {
            Rc::new(SpoiltRegistry::draw(rng, replica))
        }
    };
    let fault = |rng: &mut SimulationRng| {
        let from = rng.between(500, 13_000);
        Fault {
            from,
            until: from + 1,
            relay: 0,
            behavior: behavior(rng),
        }
    };
    (0..rng.between(0, 2)).map(|_| fault(rng)).collect()
}
