//! The cached list of hosts and outages, stored in a small file of its own to survive a restart.
//!
//! The file is a line of JSON and a line with the CRC-32 of the first one. A file without the second line is from a
//! version that wrote no checksum.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use policy::types::{DestinationId, HostState, Micros, Outage};
use relay_events::{HostList, HostListEntry};
use runtime::{log, Runtime};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Share of the disk limit that the file may take. The old and the new file may exist at once, beside the files of the
/// journal, which leave a quarter of the limit.
const MAX_DISK_SHARE: f64 = 0.08;
/// Name of the file in the state directory.
const STATE_FILE: &str = "memory";
/// Name of the file with the time of the last contact with discovery.
const CONTACT_FILE: &str = "heard";
/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1000;
/// Stored state of a host that may be called.
const STORED_READY: u8 = 0;
/// Stored state of a host that is draining.
const STORED_DRAINING: u8 = 1;

/// The list of hosts and the outages with which a restarted relay starts.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct CachedState {
    /// The full list of hosts in force.
    pub list: HostList,
    /// Outages of destinations. Their times are in microseconds of Unix time.
    #[serde(deserialize_with = "deserialize_outages")]
    pub outages: Vec<Outage>,
}

/// An outage as it is stored: a JSON array of the destination, the start of the outage and the time of the first success
/// after it.
#[derive(Serialize, Deserialize)]
struct StoredOutage(DestinationId, Micros, Option<Micros>);

impl From<&Outage> for StoredOutage {
    fn from(outage: &Outage) -> Self {
        StoredOutage(outage.destination, outage.started_at, outage.recovered_at)
    }
}

impl From<StoredOutage> for Outage {
    fn from(StoredOutage(destination, started_at, recovered_at): StoredOutage) -> Self {
        Outage {
            destination,
            started_at,
            recovered_at,
        }
    }
}

fn deserialize_outages<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Outage>, D::Error> {
    let stored: Vec<StoredOutage> = Deserialize::deserialize(deserializer)?;
    Ok(stored.into_iter().map(Outage::from).collect())
}

/// A host of the list. Its JSON is an array of the fields in this order.
struct StoredHost {
    name: String,
    address: SocketAddr,
    zone_index: usize,
    kind_index: usize,
    destination: u16,
    state: u8,
    weight: f32,
}

impl Serialize for StoredHost {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (
            &self.name,
            self.address,
            self.zone_index,
            self.kind_index,
            self.destination,
            self.state,
            self.weight,
        );
        row.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StoredHost {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (name, address, zone_index, kind_index, destination, state, weight) =
            Deserialize::deserialize(deserializer)?;
        Ok(StoredHost {
            name,
            address,
            zone_index,
            kind_index,
            destination,
            state,
            weight,
        })
    }
}

impl StoredHost {
    /// The host as an entry of the list; `None` if an index has no name.
    fn into_entry(self, names: &[String]) -> Option<HostListEntry> {
        Some(HostListEntry {
            name: self.name,
            address: self.address,
            zone: names.get(self.zone_index)?.clone(),
            kind: names.get(self.kind_index)?.clone(),
            destination: self.destination,
            state: match self.state {
                STORED_READY => HostState::Ready,
                _ => HostState::Draining,
            },
            weight: self.weight,
        })
    }
}

/// The names of zones and kinds, which many hosts share; each is stored once.
#[derive(Default)]
struct NameTable(Vec<String>);

impl NameTable {
    /// The index of a name, which is added if it is new.
    fn index_of(&mut self, name: &str) -> usize {
        let known = self.0.iter().position(|known| known == name);
        known.unwrap_or_else(|| {
            self.0.push(name.to_owned());
            self.0.len() - 1
        })
    }
}

/// The content of the file, which takes about 55 bytes per host.
#[derive(Serialize, Deserialize)]
struct StoredState {
    #[serde(rename = "seq")]
    version: u64,
    names: Vec<String>,
    hosts: Vec<StoredHost>,
    outages: Vec<StoredOutage>,
}

impl StoredState {
    fn new(state: &CachedState) -> Self {
        let mut names = NameTable::default();
        let entries = state.list.hosts.iter();
        let hosts = entries
            .map(|entry| stored_host(entry, &mut names))
            .collect();
        StoredState {
            version: state.list.version,
            names: names.0,
            hosts,
            outages: state.outages.iter().map(StoredOutage::from).collect(),
        }
    }

    /// The state that is stored; `None` if an index has no name.
    fn into_state(self) -> Option<CachedState> {
        let names = self.names;
        let hosts = self.hosts.into_iter();
        let entries = hosts.map(|host| host.into_entry(&names));
        Some(CachedState {
            list: HostList {
                version: self.version,
                is_full: true,
                hosts: entries.collect::<Option<_>>()?,
            },
            outages: self.outages.into_iter().map(Outage::from).collect(),
        })
    }
}

fn stored_host(entry: &HostListEntry, names: &mut NameTable) -> StoredHost {
    StoredHost {
        name: entry.name.clone(),
        address: entry.address,
        zone_index: names.index_of(&entry.zone),
        kind_index: names.index_of(&entry.kind),
        destination: entry.destination,
        state: match entry.state {
            HostState::Ready => STORED_READY,
            _ => STORED_DRAINING,
        },
        weight: entry.weight,
    }
}

impl CachedState {
    /// Loads the state from the folder. A file that is missing or damaged counts as an empty state.
    pub fn load(runtime: &impl Runtime, folder: &Path) -> Self {
        let Ok(text) = runtime.read(&folder.join(STATE_FILE)) else {
            return CachedState::default();
        };
        CachedState::decode(&text).unwrap_or_else(|| {
            log!(*runtime, "cached_state: damaged_file_ignored");
            CachedState::default()
        })
    }

    /// Decodes the content of the file; `None` if it is damaged.
    fn decode(text: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(text).ok()?;
        match text.split_once('\n') {
            Some((line, checksum)) if checksum.trim_end() == checksum_line(line) => {
                serde_json::from_str::<StoredState>(line).ok()?.into_state()
            }
            Some(_) => None,
            None => serde_json::from_str(text).ok(),
        }
    }

    /// Encodes the content of the file.
    fn encode(&self) -> io::Result<String> {
        let line = serde_json::to_string(&StoredState::new(self))?;
        let checksum = checksum_line(&line);
        Ok(format!("{line}\n{checksum}\n"))
    }

    /// Replaces the file in the folder. `limit` is the disk limit of the whole folder, in bytes.
    ///
    /// A list that is too large is stored without its hosts. The next process then calls none before discovery has sent a
    /// list, as an older one may have a removed host at whose address another destination's host runs.
    ///
    /// # Errors
    /// `StorageFull` if the file would take more than its share of the limit; otherwise the error of the write, after
    /// which the old file stays in place.
    pub fn save(&self, runtime: &impl Runtime, folder: &Path, limit: u64) -> io::Result<()> {
        let max_bytes = limit as f64 * MAX_DISK_SHARE;
        let text = self.encode()?;
        if text.len() as f64 <= max_bytes {
            return replace_file(runtime, folder, &text);
        }
        replace_file(runtime, folder, &self.without_hosts(max_bytes).encode()?)?;
        Err(io::Error::new(
            io::ErrorKind::StorageFull,
            "the host list exceeds its share of the disk limit",
        ))
    }

    /// The same version of the list without its hosts, and with the outages if they fit into `max_bytes`.
    fn without_hosts(&self, max_bytes: f64) -> Self {
        let list = HostList {
            version: self.list.version,
            is_full: true,
            hosts: Vec::new(),
        };
        let with_outages = CachedState {
            list: list.clone(),
            outages: self.outages.clone(),
        };
        let fits = with_outages
            .encode()
            .is_ok_and(|text| text.len() as f64 <= max_bytes);
        if fits {
            return with_outages;
        }
        CachedState {
            list,
            outages: Vec::new(),
        }
    }
}

/// Replaces the file in the folder atomically.
fn replace_file(runtime: &impl Runtime, folder: &Path, text: &str) -> io::Result<()> {
    let path = folder.join(STATE_FILE);
    let replacement: PathBuf = path.with_extension("new");
    let written = runtime.write(&replacement, text.as_bytes());
    // A partial file would occupy space that other files need.
    written.inspect_err(|_| drop(runtime.remove(&replacement)))?;
    runtime.rename(&replacement, &path)
}

/// Records the current time, by the relay's clock, as that of the last contact with discovery.
///
/// # Errors
/// The error of the write.
pub fn record_contact(runtime: &impl Runtime, folder: &Path, now: Micros) -> io::Result<()> {
    runtime.write(
        &folder.join(CONTACT_FILE),
        (now / MICROS_PER_MS).to_string().as_bytes(),
    )
}

/// The time since the last recorded contact with discovery; `None` if the file cannot be read or its time lies in the
/// future. A file that was cut off has fewer digits and thus reads as a time long ago.
pub fn time_since_contact(runtime: &impl Runtime, folder: &Path, now: Micros) -> Option<Duration> {
    let text = runtime.read(&folder.join(CONTACT_FILE)).ok()?;
    let at = std::str::from_utf8(&text).ok()?.parse().ok()?;
    Duration::from_micros(now).checked_sub(Duration::from_millis(at))
}

/// The second line of the file: the checksum of the first.
fn checksum_line(line: &str) -> String {
    format!("crc32 {:08x}", crc32fast::hash(line.as_bytes()))
}

#[cfg(test)]
mod tests;
