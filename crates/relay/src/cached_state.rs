//! What a relay was told, which a restart must not make it forget: kept whole in a small file of its own.
//!
//! The file is a line of JSON and a line with that line's CRC-32. One without it is from a version that kept none.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use policy::types::{HostState, Micros};
use relay_events::{HostList, HostListEntry};
use runtime::{log, Runtime};
use serde::{Deserialize, Serialize};

/// Part of the disk's limit that the file may take: two of it come on top of the journal's files, which leave a quarter.
const PART: f64 = 0.05;

/// The list of hosts, and outages.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct CachedState {
    /// The list of hosts.
    pub list: HostList,
    /// Outages: the destination, since when, and the first success after.
    pub outages: Vec<Outage>,
}

type Outage = (u16, Micros, Option<Micros>);

/// A host: its name, address, zone and kind by index of the names, destination, 0 if it is up or 1 if it drains, weight.
type Row = (String, SocketAddr, usize, usize, u16, u8, f32);

/// As the file has it: names that many hosts share stand there once, some 55 bytes a host.
#[derive(Serialize, Deserialize)]
struct StoredState {
    seq: u64,
    names: Vec<String>,
    hosts: Vec<Row>,
    outages: Vec<Outage>,
}

impl StoredState {
    fn of(memory: &CachedState) -> Self {
        let mut names: Vec<String> = Vec::new();
        let mut index = |name: &String| {
            names
                .iter()
                .position(|known| known == name)
                .unwrap_or_else(|| {
                    names.push(name.clone());
                    names.len() - 1
                })
        };
        let row = |line: &HostListEntry| {
            let drains = u8::from(line.state != HostState::Ready);
            let HostListEntry {
                name,
                address,
                zone,
                kind,
                destination,
                weight,
                ..
            } = line;
            (
                name.clone(),
                *address,
                index(zone),
                index(kind),
                *destination,
                drains,
                *weight,
            )
        };
        let hosts = memory.list.hosts.iter().map(row).collect();
        StoredState {
            seq: memory.list.version,
            names,
            hosts,
            outages: memory.outages.clone(),
        }
    }

    /// None where an index names nothing.
    fn whole(self) -> Option<CachedState> {
        let name = |at: usize| self.names.get(at).cloned();
        let line = |(host, dial, site, class, block, drains, share): Row| {
            let health = if drains == 0 {
                HostState::Ready
            } else {
                HostState::Draining
            };
            Some(HostListEntry {
                name: host,
                address: dial,
                zone: name(site)?,
                kind: name(class)?,
                destination: block,
                state: health,
                weight: share,
            })
        };
        let hosts = self.hosts.into_iter().map(line).collect::<Option<_>>()?;
        Some(CachedState {
            list: HostList {
                version: self.seq,
                is_full: true,
                hosts,
            },
            outages: self.outages,
        })
    }
}

impl CachedState {
    /// What the folder holds; nothing if that can't be read.
    pub fn load(runtime: &impl Runtime, folder: &Path) -> Self {
        let Ok(text) = runtime.read(&folder.join("memory")) else {
            return CachedState::default();
        };
        CachedState::read(&text).unwrap_or_else(|| {
            log!(*runtime, "memory: dropped, it cannot be read");
            CachedState::default()
        })
    }

    fn read(text: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(text).ok()?;
        match text.split_once('\n') {
            Some((line, sum)) if sum.trim_end() == sum_of(line) => {
                serde_json::from_str::<StoredState>(line).ok()?.whole()
            }
            Some(_) => None,
            None => serde_json::from_str(text).ok(),
        }
    }

    fn text(&self) -> io::Result<String> {
        let line = serde_json::to_string(&StoredState::of(self))?;
        let sum = sum_of(&line);
        Ok(line + "\n" + &sum + "\n")
    }

    /// Puts this in place of what the folder holds, which may have `limit` bytes in all.
    pub fn save(&self, runtime: &impl Runtime, folder: &Path, limit: u64) -> io::Result<()> {
        let text = self.text()?;
        if text.len() as f64 > limit as f64 * PART {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the list of hosts is too long to keep",
            ));
        }
        let path = folder.join("memory");
        let fresh: PathBuf = path.with_extension("new");
        let written = runtime.write(&fresh, text.as_bytes());
        // Half of it would take room that others need.
        written.inspect_err(|_| drop(runtime.remove(&fresh)))?;
        runtime.rename(&fresh, &path)
    }
}

/// Keeps that discovery was heard just now.
pub fn record_contact(runtime: &impl Runtime, folder: &Path) -> io::Result<()> {
    runtime.write(
        &folder.join("heard"),
        runtime.unix_time().as_millis().to_string().as_bytes(),
    )
}

/// How long ago discovery was last heard, as far as the folder tells. What was cut off reads as long ago, what lies ahead as not known.
pub fn time_since_contact(runtime: &impl Runtime, folder: &Path) -> Option<Duration> {
    let text = runtime.read(&folder.join("heard")).ok()?;
    let at = std::str::from_utf8(&text).ok()?.parse().ok()?;
    runtime.unix_time().checked_sub(Duration::from_millis(at))
}

fn sum_of(line: &str) -> String {
    format!("crc32 {:08x}", crc32fast::hash(line.as_bytes()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn memory(hosts: u16) -> CachedState {
        let line = |at: u16| HostListEntry {
            name: format!("s-{at:08x}"),
            address: SocketAddr::from(([127, 12, (at >> 8) as u8, at as u8], 40_000)),
            zone: format!("leith-dc-{}", at % 4),
            kind: ["major-partner", "partner"][usize::from(at % 2)].into(),
            destination: at / 3,
            state: if at.is_multiple_of(5) {
                HostState::Draining
            } else {
                HostState::Ready
            },
            weight: 1234.5,
        };
        let list = HostList {
            version: 7,
            is_full: true,
            hosts: (0..hosts).map(line).collect(),
        };
        let outage = |at| (at, 1_796_168_056_871_000, Some(1_796_168_056_991_000));
        CachedState {
            list,
            outages: (0..hosts / 3).map(outage).collect(),
        }
    }

    #[test]
    fn what_is_kept_is_read_again_also_what_a_version_before_kept() {
        let memory = memory(30);
        assert_eq!(
            CachedState::read(memory.text().expect("text").as_bytes()),
            Some(memory.clone())
        );
        let before =
            serde_json::json!({"list": memory.list, "outages": memory.outages}).to_string();
        assert_eq!(CachedState::read(before.as_bytes()), Some(memory));
    }

    /// Wherever a bit is flipped or the file is cut, it counts as none rather than as another list.
    #[test]
    fn a_memory_that_is_spoilt_counts_as_none() {
        let text = memory(5).text().expect("text").into_bytes();
        let last = text.len() - 1;
        for at in 0..last {
            for bit in 0..8 {
                let mut spoilt = text.clone();
                spoilt[at] ^= 1 << bit;
                assert_eq!(CachedState::read(&spoilt), None, "bit {bit} of byte {at}");
            }
            assert_eq!(CachedState::read(&text[..at]), None, "cut at {at}");
        }
        for text in ["", "{}", "\n", "null", "{\"list\":1,\"outages\":[]}"] {
            assert_eq!(CachedState::read(text.as_bytes()), None, "{text}");
        }
    }

    #[test]
    fn a_thousand_hosts_and_their_outages_fit_in_a_folder_of_a_megabyte_and_a_half() {
        let length = memory(1024).text().expect("text").len();
        assert!(length as f64 <= 1_500_000.0 * PART, "{length} bytes");
    }
}
