//! What is known of hosts: their names on the wire, the module's numbers for them, and where they stand.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use policy::types::{DestinationId, DestinationKind, HostEntry, HostId, HostState};
use relay_events::{HostList, HostListEntry, Route};

/// What is kept of a host in the list.
#[derive(Clone, Copy)]
pub struct ListedHost {
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u8,
    /// For which calls a wait that one of them is told holds.
    pub route: Route,
}

/// The names in the configuration that lines of the list refer to, by index.
pub struct Names<'a> {
    /// Zones.
    pub zones: &'a [String],
    /// Kinds of destination.
    pub kinds: &'a [String],
    /// What the settings say of the kinds.
    pub settings: &'a [DestinationKind],
}

/// What a list, or a part of one, changes.
pub struct Changes {
    /// For the module.
    pub entries: Vec<HostEntry>,
    /// Hosts in the order told: whether they may be called, or drain or are gone.
    pub ready: Vec<(HostId, bool)>,
}

/// The hosts as last told.
#[derive(Default)]
pub struct HostDirectory {
    numbers: BTreeMap<String, HostId>,
    /// The same the other way round.
    names: BTreeMap<HostId, String>,
    listed: BTreeMap<HostId, ListedHost>,
    destinations: BTreeSet<DestinationId>,
    next: HostId,
    lines: BTreeMap<String, HostListEntry>,
    version: u64,
    /// Since it was last asked for.
    changed: bool,
}

/// Where a name stands in a list of them.
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

    /// Whether anything was told since this was last asked; an older list may change hosts under the same version.
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

    /// The numbers that another process gave; hosts that come get others.
    pub fn adopt_numbers(&mut self, numbers: Vec<(String, HostId)>) {
        self.next = numbers
            .iter()
            .map(|(_, number)| *number)
            .fold(self.next, HostId::max);
        self.names
            .extend(numbers.iter().map(|(name, number)| (*number, name.clone())));
        self.numbers.extend(numbers);
    }

    /// Hosts in the list.
    pub fn count(&self) -> usize {
        self.lines.len()
    }

    /// The list, whole.
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

    /// Whether no destination has ever been told.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Whether a destination has ever been told.
    pub fn knows_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// Destinations that are known though the list may not name them any more.
    pub fn add_destinations(&mut self, destinations: impl Iterator<Item = DestinationId>) {
        self.destinations.extend(destinations);
    }

    /// Takes over a list, or what changed of it.
    pub fn apply_list(&mut self, list: HostList, names: &Names<'_>) -> Changes {
        (self.version, self.changed) = (list.version, true);
        if list.is_full {
            self.lines.clear();
        }
        let mut missing = if list.is_full {
            self.numbers.clone()
        } else {
            BTreeMap::new()
        };
        let mut changes = Changes {
            entries: Vec::new(),
            ready: Vec::new(),
        };
        for line in list.hosts {
            match line.state {
                HostState::Removed => self.lines.remove(&line.name),
                _ => self.lines.insert(line.name.clone(), line.clone()),
            };
            missing.remove(&line.name);
            let number = *self.numbers.entry(line.name.clone()).or_insert_with(|| {
                self.next += 1;
                self.names.insert(self.next, line.name.clone());
                self.next
            });
            // Those past the last number are one, which is nobody's own.
            let index =
                |names, name| u8::try_from(index_of(names, name).unwrap_or(0)).unwrap_or(u8::MAX);
            let (zone, kind) = (
                index(names.zones, &line.zone),
                index(names.kinds, &line.kind),
            );
            let apart = names
                .settings
                .get(usize::from(kind))
                .is_some_and(|kind| kind.has_host_routes);
            let route = (line.destination, apart.then_some(number));
            changes.entries.push(HostEntry {
                host: number,
                destination: line.destination,
                kind,
                zone,
                state: line.state,
                weight: line.weight,
            });
            self.destinations.insert(line.destination);
            if line.state == HostState::Removed {
                missing.insert(line.name, number);
            } else {
                self.listed.insert(
                    number,
                    ListedHost {
                        address: line.address,
                        zone,
                        route,
                    },
                );
            }
            changes.ready.push((number, line.state == HostState::Ready));
        }
        for (name, number) in missing {
            self.numbers.remove(&name);
            self.names.remove(&number);
            self.listed.remove(&number);
            changes.ready.push((number, false));
        }
        changes
    }
}
