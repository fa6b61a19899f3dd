//! The directory of hosts: their names on the wire, the policy's numbers for them, and their addresses and routes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use policy::types::{DestinationId, DestinationKind, HostEntry, HostId, HostState};
use policy::RouteKey;
use relay_events::{HostList, HostListEntry};

/// The data of a listed host that a call needs.
#[derive(Clone, Copy)]
pub struct ListedHost {
    /// Address at which the host accepts connections.
    pub address: SocketAddr,
    /// Index of the host's zone in the configuration.
    pub zone: u8,
    /// The route whose calls share a Retry-After.
    pub route: RouteKey,
}

/// The configured names and settings to which entries of the list refer. An index into them is the policy's number.
pub struct Names<'a> {
    /// Names of zones.
    pub zones: &'a [String],
    /// Names of the kinds of destination.
    pub kinds: &'a [String],
    /// Settings of the kinds, in the order of `kinds`.
    pub settings: &'a [DestinationKind],
}

/// The effect of applying a list.
pub struct Changes {
    /// The entries of the list, converted for the policy.
    pub entries: Vec<HostEntry>,
    /// Whether each host is ready, in the order of the list; false if it is draining or removed.
    pub ready: Vec<(HostId, bool)>,
}

/// The hosts as discovery last reported them.
#[derive(Default)]
pub struct HostDirectory {
    numbers: BTreeMap<String, HostId>,
    /// Names by number, the inverse of `numbers`.
    names: BTreeMap<HostId, String>,
    listed: BTreeMap<HostId, ListedHost>,
    destinations: BTreeSet<DestinationId>,
    /// The highest number that was assigned.
    last_number: HostId,
    /// The entries in force, by the host's name.
    entries: BTreeMap<String, HostListEntry>,
    version: u64,
    /// Whether a list was applied since the last call of `take_changed`.
    changed: bool,
}

/// The index of a name in a list of names.
pub fn index_of(names: &[String], name: &str) -> Option<u16> {
    names
        .iter()
        .position(|known| known == name)
        .and_then(|at| u16::try_from(at).ok())
}

impl HostDirectory {
    /// The version of the list in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a list was applied since the last call. The version does not show this, as a list may change hosts without
    /// a new version.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The numbers of hosts, by name.
    pub fn numbers(&self) -> Vec<(String, HostId)> {
        self.numbers
            .iter()
            .map(|(name, number)| (name.clone(), *number))
            .collect()
    }

    /// Adopts the numbers that another process assigned. New hosts get higher numbers.
    pub fn adopt_numbers(&mut self, numbers: Vec<(String, HostId)>) {
        self.last_number = numbers
            .iter()
            .map(|(_, number)| *number)
            .fold(self.last_number, HostId::max);
        self.names
            .extend(numbers.iter().map(|(name, number)| (*number, name.clone())));
        self.numbers.extend(numbers);
    }

    /// The count of hosts in the list.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// The list in force as a full snapshot.
    pub fn full_list(&self) -> HostList {
        HostList {
            version: self.version,
            is_full: true,
            hosts: self.entries.values().cloned().collect(),
        }
    }

    /// The listed host with a number; `None` if it is not in the list.
    pub fn find(&self, host: HostId) -> Option<ListedHost> {
        self.listed.get(&host).copied()
    }

    /// A host's name on the wire.
    pub fn name_of(&self, host: HostId) -> Option<&str> {
        self.names.get(&host).map(String::as_str)
    }

    /// Whether no destination is known.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Whether a destination is known, even if no host in the list belongs to it.
    pub fn is_known_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// Adds destinations that count as known even if the list does not name them.
    pub fn add_destinations(&mut self, destinations: impl Iterator<Item = DestinationId>) {
        self.destinations.extend(destinations);
    }

    /// Applies a full snapshot of the list or a change to it.
    pub fn apply_list(&mut self, list: HostList, names: &Names<'_>) -> Changes {
        self.version = list.version;
        self.changed = true;
        let mut removed = BTreeMap::new();
        if list.is_full {
            // A host that a full snapshot does not name was removed.
            self.entries.clear();
            removed = self.numbers.clone();
        }
        let mut changes = Changes {
            entries: Vec::new(),
            ready: Vec::new(),
        };
        for entry in list.hosts {
            removed.remove(&entry.name);
            let is_removed = entry.state == HostState::Removed;
            let policy_entry = self.apply_entry(&entry, names);
            let host = policy_entry.host;
            changes
                .ready
                .push((host, policy_entry.state == HostState::Ready));
            changes.entries.push(policy_entry);
            if is_removed {
                removed.insert(entry.name, host);
            }
        }
        for (name, host) in removed {
            self.remove_host(&name, host);
            changes.ready.push((host, false));
        }
        changes
    }

    /// Applies one entry of a list and returns it, converted for the policy.
    fn apply_entry(&mut self, entry: &HostListEntry, names: &Names<'_>) -> HostEntry {
        let host = self.number_for(&entry.name);
        let zone = saturating_index(names.zones, &entry.zone);
        let kind = saturating_index(names.kinds, &entry.kind);
        self.destinations.insert(entry.destination);
        if entry.state == HostState::Removed {
            self.entries.remove(&entry.name);
        } else {
            self.entries.insert(entry.name.clone(), entry.clone());
            let settings = names.settings.get(usize::from(kind));
            let has_own_route = settings.is_some_and(|kind| kind.has_host_routes);
            let listed = ListedHost {
                address: entry.address,
                zone,
                route: RouteKey {
                    destination: entry.destination,
                    host: has_own_route.then_some(host),
                },
            };
            self.listed.insert(host, listed);
        }
        HostEntry {
            host,
            destination: entry.destination,
            kind,
            zone,
            state: entry.state,
            weight: entry.weight,
        }
    }

    /// Returns the number of a host, and assigns one if the host is new.
    fn number_for(&mut self, name: &str) -> HostId {
        if let Some(host) = self.numbers.get(name) {
            return *host;
        }
        self.last_number += 1;
        self.numbers.insert(name.to_owned(), self.last_number);
        self.names.insert(self.last_number, name.to_owned());
        self.last_number
    }

    fn remove_host(&mut self, name: &str, host: HostId) {
        self.numbers.remove(name);
        self.names.remove(&host);
        self.listed.remove(&host);
    }
}

/// The index of a name, or 0 if the name is unknown. Indexes beyond `u8::MAX` all become `u8::MAX`, which belongs to no
/// name.
fn saturating_index(names: &[String], name: &str) -> u8 {
    let index = index_of(names, name).unwrap_or(0);
    u8::try_from(index).unwrap_or(u8::MAX)
}
