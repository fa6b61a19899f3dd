//! The stored format of the cached list of hosts and outages.

use std::fs;
use std::net::SocketAddr;

use policy::types::{HostState, Outage};
use relay_events::{HostList, HostListEntry};
use runtime::OsRuntime;

use super::{directory, golden, DISK_LIMIT};
use crate::cached_state::CachedState;

fn cached_state() -> CachedState {
    let entry = |at: u16| HostListEntry {
        name: format!("s-{at:04x}"),
        address: SocketAddr::from(([127, 12, 0, at as u8], 40_000)),
        zone: format!("leith-dc-{}", at % 2),
        kind: ["major-partner", "partner"][usize::from(at % 2)].into(),
        destination: at / 3,
        state: if at == 4 {
            HostState::Draining
        } else {
            HostState::Ready
        },
        weight: 1234.5,
    };
    let list = HostList {
        version: 7,
        is_full: true,
        hosts: (0..6).map(entry).collect(),
    };
    CachedState {
        list,
        outages: vec![
            Outage {
                destination: 1,
                started_at: 1_796_168_056_871_000,
                recovered_at: Some(1_796_168_056_991_000),
            },
            Outage {
                destination: 2,
                started_at: 17,
                recovered_at: None,
            },
        ],
    }
}

#[test]
fn cached_state_is_written_and_read_as_the_golden_file() {
    let directory = directory("memory");
    cached_state()
        .save(&OsRuntime, &directory, DISK_LIMIT)
        .expect("written");
    assert_eq!(
        fs::read(directory.join("memory")).expect("written"),
        golden("memory")
    );
    fs::write(directory.join("memory"), golden("memory")).expect("written");
    assert_eq!(CachedState::load(&OsRuntime, &directory), cached_state());
    fs::write(directory.join("memory"), golden("memory-without-checksum")).expect("written");
    assert_eq!(
        CachedState::load(&OsRuntime, &directory),
        cached_state(),
        "the file of a version that wrote no checksum"
    );
    fs::remove_dir_all(directory).expect("removed");
}
