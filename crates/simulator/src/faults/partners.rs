//! Faults of the partners' hosts, and of the network to them. The first field is the destination.

use std::time::Duration;

use super::{FaultBehavior, FaultContext, Target};
use crate::history::Observation;
use crate::machine::AddressFault;
use crate::peers::host_behavior::Rejection;
use crate::rng::SimulationRng;

/// This percentage of a partner's calls fail.
#[derive(Debug)]
pub(super) struct Fails(u16, u64);

impl Fails {
    pub fn draw(rng: &mut SimulationRng, target: &Target) -> Self {
        Fails(target.destination, rng.between(50, 100))
    }
}

impl FaultBehavior for Fails {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.error_percent = self.1);
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.error_percent = 0);
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// A partner rejects all calls, without a Retry-After.
#[derive(Debug)]
pub(super) struct Shut(pub u16);

impl FaultBehavior for Shut {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| {
            behavior.rejection = Some(Rejection::WithoutWait)
        });
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.rejection = None);
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// A partner rejects all calls, with a Retry-After up to the end of the fault.
#[derive(Debug)]
pub(super) struct ShutTold(pub u16);

impl FaultBehavior for ShutTold {
    fn inject(&self, context: &mut dyn FaultContext, until: Duration) {
        context.update_hosts(self.0, &|behavior| {
            behavior.rejection = Some(Rejection::Until(until))
        });
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        Shut(self.0).clear(context);
    }
}

/// A partner does not respond to calls.
#[derive(Debug)]
pub(super) struct Hangs(pub u16);

impl FaultBehavior for Hangs {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.hangs = true);
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.hangs = false);
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// A partner sends its responses one byte at a time.
#[derive(Debug)]
pub(super) struct Trickles(pub u16);

impl FaultBehavior for Trickles {
    fn corrupts_responses_of(&self) -> Option<u16> {
        Some(self.0)
    }

    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.responds_bytewise = true);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.responds_bytewise = false);
    }
}

/// A partner refuses connections.
#[derive(Debug)]
pub(super) struct Refuses(pub u16);

impl FaultBehavior for Refuses {
    fn corrupts_responses_of(&self) -> Option<u16> {
        Some(self.0)
    }

    fn may_lose_requests(&self) -> bool {
        true
    }

    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_address_fault(
            self.0,
            AddressFault {
                refuses: true,
                ..AddressFault::default()
            },
        );
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.set_address_fault(self.0, AddressFault::default());
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: false,
        });
    }
}

/// All packets to and from a partner are dropped.
#[derive(Debug)]
pub(super) struct BlackHole(pub u16);

impl FaultBehavior for BlackHole {
    fn corrupts_responses_of(&self) -> Option<u16> {
        Some(self.0)
    }

    fn may_lose_requests(&self) -> bool {
        true
    }

    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_address_fault(
            self.0,
            AddressFault {
                silent: true,
                ..AddressFault::default()
            },
        );
        context.observe(&Observation::DestinationOutage {
            destination: self.0,
            is_down: true,
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        Refuses(self.0).clear(context);
    }
}

/// This percentage of connections to a partner are reset, each after an arbitrary byte.
#[derive(Debug)]
pub(super) struct Cuts(u16, u64);

impl Cuts {
    pub fn draw(rng: &mut SimulationRng, target: &Target) -> Self {
        Cuts(target.destination, rng.between(10, 60))
    }
}

impl FaultBehavior for Cuts {
    fn corrupts_responses_of(&self) -> Option<u16> {
        Some(self.0)
    }

    fn may_lose_requests(&self) -> bool {
        true
    }

    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_address_fault(
            self.0,
            AddressFault {
                reset_percent: self.1,
                ..AddressFault::default()
            },
        );
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.set_address_fault(self.0, AddressFault::default());
    }
}

/// A partner closes kept-alive connections, also while a request is on its way.
#[derive(Debug)]
pub(super) struct Stale(pub u16);

impl FaultBehavior for Stale {
    fn corrupts_responses_of(&self) -> Option<u16> {
        Some(self.0)
    }

    fn may_lose_requests(&self) -> bool {
        true
    }

    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.closes_after_response = true);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.closes_after_response = false);
    }
}

/// This percentage of a partner's responses are corrupted.
#[derive(Debug)]
pub(super) struct Spoils(u16, u64);

impl Spoils {
    pub fn draw(rng: &mut SimulationRng, target: &Target) -> Self {
        Spoils(target.destination, rng.between(5, 40))
    }
}

impl FaultBehavior for Spoils {
    fn corrupts_responses_of(&self) -> Option<u16> {
        Some(self.0)
    }

    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.corruption_percent = self.1);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.corruption_percent = 0);
    }
}

/// A partner sends this percentage of its responses twice.
#[derive(Debug)]
pub(super) struct Repeats(pub u16, pub u64);

impl FaultBehavior for Repeats {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.repeat_percent = self.1);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.repeat_percent = 0);
    }
}

/// A partner limits its calls a second to this number, and sends Retry-After with calls beyond it.
#[derive(Debug)]
pub(super) struct Limited(u16, u64);

impl Limited {
    pub fn draw(rng: &mut SimulationRng, target: &Target) -> Self {
        Limited(target.destination, rng.between(2, 10))
    }
}

impl FaultBehavior for Limited {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| {
            behavior.max_calls_per_second = Some(self.1 as f64)
        });
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.max_calls_per_second = None);
    }
}

/// This percentage of connections to a partner come up late, by up to this many milliseconds.
#[derive(Debug)]
pub(super) struct LateConnections(u16, u64, u64);

impl LateConnections {
    pub fn draw(rng: &mut SimulationRng, destination: u16) -> Self {
        LateConnections(destination, rng.between(30, 100), rng.between(200, 1_500))
    }
}

impl FaultBehavior for LateConnections {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.set_address_fault(
            self.0,
            AddressFault {
                late_percent: self.1,
                max_lateness_ms: self.2,
                ..AddressFault::default()
            },
        );
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.set_address_fault(self.0, AddressFault::default());
    }
}

/// A partner's hosts begin calls up to this many milliseconds after their arrival, or when their connections end.
#[derive(Debug)]
pub(super) struct LateReads(u16, u64);

impl LateReads {
    pub fn draw(rng: &mut SimulationRng, destination: u16) -> Self {
        LateReads(destination, rng.between(200, 1_500))
    }
}

impl FaultBehavior for LateReads {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.update_hosts(self.0, &|behavior| behavior.max_begin_delay_ms = self.1);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.update_hosts(self.0, &|behavior| behavior.max_begin_delay_ms = 0);
    }
}

/// A partner's responses take this many milliseconds longer.
#[derive(Debug)]
pub(super) struct Slow(u16, u64);

impl Slow {
    pub fn draw(rng: &mut SimulationRng, target: &Target) -> Self {
        Slow(target.destination, rng.between(200, 1_500))
    }
}

impl FaultBehavior for Slow {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        context.add_latency(self.0, self.1);
    }

    fn clear(&self, context: &mut dyn FaultContext) {
        context.add_latency(self.0, 0);
    }
}
