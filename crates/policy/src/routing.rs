//! The table of hosts and routes.

use crate::policy::DeliveryPolicy;
use crate::state::RouteKey;
use crate::types::{DestinationId, DestinationKind, HostEntry, HostId};

impl DeliveryPolicy {
    pub(crate) fn kind(&self, entry: &HostEntry) -> DestinationKind {
        self.set
            .kinds
            .get(usize::from(entry.kind))
            .copied()
            .unwrap_or(DestinationKind { has_host_routes: false, max_messages_per_call: 1 })
    }

    pub(crate) fn route_of(&self, host: HostId) -> Option<RouteKey> {
        let entry = &self.hosts.get(&host)?.entry;
        Some((entry.destination, self.kind(entry).has_host_routes.then_some(host)))
    }

    pub(crate) fn routes_to(&self, destination: DestinationId) -> Vec<RouteKey> {
        let range = (destination, None)..=(destination, Some(HostId::MAX));
        self.routes.range(range).map(|(key, _)| *key).collect()
    }
}
