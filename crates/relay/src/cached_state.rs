//! What a relay was told, which a restart must not make it forget: kept whole in a small file of its own.
//!
//! The file is a line of JSON and a line with that line's CRC-32. One without it is from a version that kept none.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use policy::types::{HostState, Micros};
use relay_events::{HostLine, HostList};
use runtime::{log, System};
use serde::{Deserialize, Serialize};

/// Part of the disk's limit that the file may take: two of it come on top of the journal's files, which leave a quarter.
const PART: f64 = 0.05;

/// The list of hosts, and outages.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Memory {
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
struct Kept {
    seq: u64,
    names: Vec<String>,
    hosts: Vec<Row>,
    outages: Vec<Outage>,
}

impl Kept {
    fn of(memory: &Memory) -> Self {
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
        let row = |line: &HostLine| {
            let drains = u8::from(line.health != HostState::Ready);
            let HostLine {
                host,
                dial,
                site,
                class,
                block,
                share,
                ..
            } = line;
            (
                host.clone(),
                *dial,
                index(site),
                index(class),
                *block,
                drains,
                *share,
            )
        };
        let hosts = memory.list.hosts.iter().map(row).collect();
        Kept {
            seq: memory.list.seq,
            names,
            hosts,
            outages: memory.outages.clone(),
        }
    }

    /// None where an index names nothing.
    fn whole(self) -> Option<Memory> {
        let name = |at: usize| self.names.get(at).cloned();
        let line = |(host, dial, site, class, block, drains, share): Row| {
            let health = if drains == 0 {
                HostState::Ready
            } else {
                HostState::Draining
            };
            Some(HostLine {
                host,
                dial,
                site: name(site)?,
                class: name(class)?,
                block,
                health,
                share,
            })
        };
        let hosts = self.hosts.into_iter().map(line).collect::<Option<_>>()?;
        Some(Memory {
            list: HostList {
                seq: self.seq,
                whole: true,
                hosts,
            },
            outages: self.outages,
        })
    }
}

impl Memory {
    /// What the folder holds; nothing if that can't be read.
    pub fn load(system: &impl System, folder: &Path) -> Self {
        let Ok(text) = system.read(&folder.join("memory")) else {
            return Memory::default();
        };
        Memory::read(&text).unwrap_or_else(|| {
            log!(*system, "memory: dropped, it cannot be read");
            Memory::default()
        })
    }

    fn read(text: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(text).ok()?;
        match text.split_once('\n') {
            Some((line, sum)) if sum.trim_end() == sum_of(line) => {
                serde_json::from_str::<Kept>(line).ok()?.whole()
            }
            Some(_) => None,
            None => serde_json::from_str(text).ok(),
        }
    }

    fn text(&self) -> io::Result<String> {
        let line = serde_json::to_string(&Kept::of(self))?;
        let sum = sum_of(&line);
        Ok(line + "\n" + &sum + "\n")
    }

    /// Puts this in place of what the folder holds, which may have `limit` bytes in all.
    pub fn save(&self, system: &impl System, folder: &Path, limit: u64) -> io::Result<()> {
        let text = self.text()?;
        if text.len() as f64 > limit as f64 * PART {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the list of hosts is too long to keep",
            ));
        }
        let path = folder.join("memory");
        let fresh: PathBuf = path.with_extension("new");
        let written = system.write(&fresh, text.as_bytes());
        // Half of it would take room that others need.
        written.inspect_err(|_| drop(system.remove(&fresh)))?;
        system.rename(&fresh, &path)
    }
}

/// Keeps that discovery was heard just now.
pub fn hear(system: &impl System, folder: &Path) -> io::Result<()> {
    system.write(
        &folder.join("heard"),
        system.unix_time().as_millis().to_string().as_bytes(),
    )
}

/// How long ago discovery was last heard, as far as the folder tells. What was cut off reads as long ago, what lies ahead as not known.
pub fn heard(system: &impl System, folder: &Path) -> Option<Duration> {
    let text = system.read(&folder.join("heard")).ok()?;
    let at = std::str::from_utf8(&text).ok()?.parse().ok()?;
    system.unix_time().checked_sub(Duration::from_millis(at))
}

fn sum_of(line: &str) -> String {
    format!("crc32 {:08x}", crc32fast::hash(line.as_bytes()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn memory(hosts: u16) -> Memory {
        let line = |at: u16| HostLine {
            host: format!("s-{at:08x}"),
            dial: SocketAddr::from(([127, 12, (at >> 8) as u8, at as u8], 40_000)),
            site: format!("leith-dc-{}", at % 4),
            class: ["major-partner", "partner"][usize::from(at % 2)].into(),
            block: at / 3,
            health: if at.is_multiple_of(5) {
                HostState::Draining
            } else {
                HostState::Ready
            },
            share: 1234.5,
        };
        let list = HostList {
            seq: 7,
            whole: true,
            hosts: (0..hosts).map(line).collect(),
        };
        let outage = |at| (at, 1_796_168_056_871_000, Some(1_796_168_056_991_000));
        Memory {
            list,
            outages: (0..hosts / 3).map(outage).collect(),
        }
    }

    #[test]
    fn what_is_kept_is_read_again_also_what_a_version_before_kept() {
        let memory = memory(30);
        assert_eq!(
            Memory::read(memory.text().expect("text").as_bytes()),
            Some(memory.clone())
        );
        let before =
            serde_json::json!({"list": memory.list, "outages": memory.outages}).to_string();
        assert_eq!(Memory::read(before.as_bytes()), Some(memory));
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
                assert_eq!(Memory::read(&spoilt), None, "bit {bit} of byte {at}");
            }
            assert_eq!(Memory::read(&text[..at]), None, "cut at {at}");
        }
        for text in ["", "{}", "\n", "null", "{\"list\":1,\"outages\":[]}"] {
            assert_eq!(Memory::read(text.as_bytes()), None, "{text}");
        }
    }

    #[test]
    fn a_thousand_hosts_and_their_outages_fit_in_a_folder_of_a_megabyte_and_a_half() {
        let length = memory(1024).text().expect("text").len();
        assert!(length as f64 <= 1_500_000.0 * PART, "{length} bytes");
    }
}
