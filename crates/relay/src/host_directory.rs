//! The directory of hosts: their names on the wire, the policy's numbers for them, and their addresses and routes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use policy::types::{DestinationId, DestinationKind, HostEntry, HostId, HostState};
use policy::RouteKey;
use relay_events::{HostList, HostListEntry};

/// A host that is in the list.
#[derive(Clone, Copy)]
pub struct ListedHost {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u8,
    /// The route whose calls share a Retry-After.
    pub route: RouteKey,
}

/// The configured names to which entries of the list refer, by index.
pub struct Names<'a> {
    /// Zones.
    pub zones: &'a [String],
    /// Kinds of destination.
    pub kinds: &'a [String],
    /// Settings of the kinds, by index.
    pub settings: &'a [DestinationKind],
}

/// What a list changes.
pub struct Changes {
    /// The entries for the policy.
    pub entries: Vec<HostEntry>,
    /// Whether each host is ready, in the order of the list; false if it is draining or removed.
    pub ready: Vec<(HostId, bool)>,
}

/// The hosts as discovery last reported them.
#[derive(Default)]
pub struct HostDirectory {
    numbers: BTreeMap<String, HostId>,
    /// Names by number.
    names: BTreeMap<HostId, String>,
    listed: BTreeMap<HostId, ListedHost>,
    destinations: BTreeSet<DestinationId>,
    next: HostId,
    lines: BTreeMap<String, HostListEntry>,
    version: u64,
    /// Whether a list was applied since the last call of `has_changed`.
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
    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a list was applied since the last call. The version does not show this, as a list may change hosts under
    /// the same version.
    pub fn has_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The numbers of hosts, by name.
    pub fn numbers(&self) -> Vec<(String, HostId)> {
        self.numbers
            .iter()
            .map(|(name, number)| (name.clone(), *number))
            .collect()
    }

    /// Adopts the numbers that another process assigned; new hosts get others.
    pub fn adopt_numbers(&mut self, numbers: Vec<(String, HostId)>) {
        self.next = numbers
            .iter()
            .map(|(_, number)| *number)
            .fold(self.next, HostId::max);
        self.names
            .extend(numbers.iter().map(|(name, number)| (*number, name.clone())));
        self.numbers.extend(numbers);
    }

    /// The number of hosts in the list.
    pub fn count(&self) -> usize {
        self.lines.len()
    }

    /// The full list.
    pub fn full_list(&self) -> HostList {
        HostList {
            version: self.version,
            is_full: true,
            hosts: self.lines.values().cloned().collect(),
        }
    }

    /// A host that is listed.
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

    /// Whether a destination is known, listed or not.
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// Adds destinations that are known though the list may not name them any more.
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
            self.lines.clear();
            removed = self.numbers.clone();
        }
        let mut changes = Changes {
            entries: Vec::new(),
            ready: Vec::new(),
        };
        for line in list.hosts {
            removed.remove(&line.name);
            let is_removed = line.state == HostState::Removed;
            let entry = self.apply_entry(&line, names);
            let host = entry.host;
            changes.ready.push((host, entry.state == HostState::Ready));
            changes.entries.push(entry);
            if is_removed {
                removed.insert(line.name, host);
            }
        }
        for (name, host) in removed {
            self.forget(&name, host);
            changes.ready.push((host, false));
        }
        changes
    }

    /// Applies one entry of a list and returns it in the policy's terms.
    fn apply_entry(&mut self, line: &HostListEntry, names: &Names<'_>) -> HostEntry {
        let host = self.number_for(&line.name);
        let zone = saturating_index(names.zones, &line.zone);
        let kind = saturating_index(names.kinds, &line.kind);
        self.destinations.insert(line.destination);
        if line.state == HostState::Removed {
            self.lines.remove(&line.name);
        } else {
            self.lines.insert(line.name.clone(), line.clone());
            let settings = names.settings.get(usize::from(kind));
            let has_own_route = settings.is_some_and(|kind| kind.has_host_routes);
            let listed = ListedHost {
                address: line.address,
                zone,
                route: RouteKey {
                    destination: line.destination,
                    host: has_own_route.then_some(host),
                },
            };
            self.listed.insert(host, listed);
        }
        HostEntry {
            host,
            destination: line.destination,
            kind,
            zone,
            state: line.state,
            weight: line.weight,
        }
    }

    /// The number of a host, which is assigned if the host is new.
    fn number_for(&mut self, name: &str) -> HostId {
        if let Some(host) = self.numbers.get(name) {
            return *host;
        }
        self.next += 1;
        self.numbers.insert(name.to_owned(), self.next);
        self.names.insert(self.next, name.to_owned());
        self.next
    }

    fn forget(&mut self, name: &str, host: HostId) {
        self.numbers.remove(name);
        self.names.remove(&host);
        self.listed.remove(&host);
    }
}

/// The index of a name, 0 if it is unknown. Names beyond the last index share that one, which belongs to no name.
fn saturating_index(names: &[String], name: &str) -> u8 {
    let index = index_of(names, name).unwrap_or(0);
    u8::try_from(index).unwrap_or(u8::MAX)
}
