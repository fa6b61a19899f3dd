//! What a process that takes over is given. Nothing here decides what is sent.

use crate::policy::DeliveryPolicy;
use crate::state::HandoverSnapshot;
use crate::tuning::TALLY_TOLD;
use crate::types::Outage;

impl DeliveryPolicy {
    /// For the process that takes over; calls that are out are told with their messages.
    pub fn handover_snapshot(&self) -> HandoverSnapshot {
        let turns = self.keys.iter().map(|(key, turn)| (*key, turn.rest_until)).collect();
        let mut routes = self.routes.clone();
        routes.values_mut().for_each(|r| drop(r.tally.drain(..r.tally.len().saturating_sub(TALLY_TOLD))));
        HandoverSnapshot { routes, ordered_keys: turns, usual: self.class_usual.clone() }
    }

    /// The outages that bind this relay still; they must outlast its process.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        let told = self.routes.iter().filter(|(_, route)| route.witness);
        told.map(|(key, route)| Outage {
            destination: key.0,
            started_at: route.down,
            recovered_at: route.back,
        })
    }
}
