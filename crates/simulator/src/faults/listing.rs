//! Faults of discovery: hosts that drain or are replaced, and host lists that are late, missing or jump ahead.

use std::time::Duration;

use super::{FaultBehavior, FaultContext};
use crate::history::Observation;
use crate::rng::SimulationRng;

/// A host drains, and is removed when the fault ends.
#[derive(Debug)]
pub(super) struct Drains(pub usize);

impl FaultBehavior for Drains {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.publish_host_status(self.0, "draining", 1);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.publish_host_status(self.0, "removed", 1);
    }
}

/// A host is replaced by a new one at the same address.
#[derive(Debug)]
pub(super) struct Replaced(pub usize);

impl FaultBehavior for Replaced {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.publish_host_status(self.0, "removed", 1);
        context.rename_host(self.0);
        context.publish_host_status(self.0, "up", 1);
    }
}

/// The host list is published this many milliseconds late.
#[derive(Debug)]
pub(super) struct ListLags(u64);

impl ListLags {
    pub fn draw(rng: &mut SimulationRng) -> Self {
        ListLags(rng.between(200, 3_000))
    }
}

impl FaultBehavior for ListLags {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context
            .discovery()
            .publication_delay
            .set(Duration::from_millis(self.0));
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.discovery().publication_delay.set(Duration::ZERO);
    }
}

/// Discovery sends no host list.
#[derive(Debug)]
pub(super) struct ListSilent;

impl FaultBehavior for ListSilent {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.discovery().silent.set(true);
        context.observe(&Observation::DiscoverySilent(true));
        context.discovery().wake();
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.discovery().silent.set(false);
        context.observe(&Observation::DiscoverySilent(false));
        context.discovery().wake();
    }
}

/// The version of the host list jumps by 1000 with each change.
#[derive(Debug)]
pub(super) struct ListJumps;

impl FaultBehavior for ListJumps {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        (0..context.host_count()).for_each(|host| context.publish_host_status(host, "up", 1_000));
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        (0..context.host_count()).for_each(|host| context.publish_host_status(host, "up", 1_000));
    }
}
