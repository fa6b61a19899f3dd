//! Look-ups and updates in the tables of hosts, routes and classes.

use std::collections::BTreeSet;

use crate::host_record::HostRecord;
use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::types::{
    Class, DestinationId, DestinationKind, HostEntry, HostId, HostState, Message, RouteKey,
};

/// The kind of a host whose kind is not in the settings.
const DEFAULT_KIND: DestinationKind = DestinationKind {
    has_host_routes: false,
    max_messages_per_call: 1,
};

impl DeliveryPolicy {
    /// Entries that mark as removed the known hosts missing from a full list.
    pub(crate) fn unlisted_hosts(&self, entries: &[HostEntry]) -> Vec<HostEntry> {
        let listed: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        let known = self.hosts.values().map(|host| host.entry);
        known
            .filter(|entry| !listed.contains(&entry.host))
            .map(|entry| HostEntry {
                state: HostState::Removed,
                ..entry
            })
            .collect()
    }

    /// Adds or updates a host and its route; returns the route if the host is ready.
    pub(crate) fn place_host(&mut self, entry: HostEntry) -> Option<RouteKey> {
        let old_key = self.route_of(entry.host);
        if let Some(route) = old_key.and_then(|key| self.routes.get_mut(&key)) {
            route.hosts.retain(|host| *host != entry.host);
        }
        self.hosts
            .entry(entry.host)
            .and_modify(|host| host.entry = entry)
            .or_insert_with(|| HostRecord::new(entry));
        match entry.state {
            HostState::Draining => return None,
            HostState::Removed => {
                self.removed_hosts.push(entry.host);
                return None;
            }
            HostState::Ready => {}
        }
        let key = self.route_of(entry.host)?;
        let route = self.routes.entry(key).or_insert_with(Route::initial);
        route.hosts.push(entry.host);
        route.hosts.sort_unstable();
        Some(key)
    }

    /// Deletes removed hosts once no call to them is in flight, and their routes once they need not be retained.
    pub(crate) fn purge_removed_hosts(&mut self) {
        for id in std::mem::take(&mut self.removed_hosts) {
            let Some(host) = self.hosts.get(&id) else {
                continue;
            };
            if host.entry.state != HostState::Removed {
                continue;
            }
            let key = self.route_of(id);
            let route = key.and_then(|key| self.routes.get(&key));
            let empty_route = route.filter(|route| route.hosts.is_empty());
            let is_route_retained =
                empty_route.is_some_and(|route| route.must_be_retained(self.now));
            if host.in_flight > 0 || is_route_retained {
                self.removed_hosts.push(id);
                continue;
            }
            if let Some(key) = key.filter(|_| empty_route.is_some()) {
                self.routes.remove(&key);
            }
            self.hosts.remove(&id);
        }
    }

    /// The class of a message; the last class if its index is not in the settings.
    pub(crate) fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[self.class_index(message)]
    }

    /// Index of the class of a message, as used by [`Self::class`].
    pub(crate) fn class_index(&self, message: &Message) -> usize {
        usize::from(message.class).min(self.settings.classes.len() - 1)
    }

    /// The kind of a host; [`DEFAULT_KIND`] if it is not in the settings.
    pub(crate) fn kind(&self, entry: &HostEntry) -> DestinationKind {
        self.settings
            .kinds
            .get(usize::from(entry.kind))
            .copied()
            .unwrap_or(DEFAULT_KIND)
    }

    /// The route of a known host.
    pub(crate) fn route_of(&self, host: HostId) -> Option<RouteKey> {
        let entry = &self.hosts.get(&host)?.entry;
        let host = self.kind(entry).has_host_routes.then_some(host);
        Some(RouteKey {
            destination: entry.destination,
            host,
        })
    }

    /// All routes to a destination, in ascending order.
    pub(crate) fn routes_to(&self, destination: DestinationId) -> Vec<RouteKey> {
        let first = RouteKey {
            destination,
            host: None,
        };
        let last = RouteKey {
            destination,
            host: Some(HostId::MAX),
        };
        self.routes
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect()
    }
}
