//! Tests of the cached state's encoding, damage detection and size.

use super::*;

fn cached_state(hosts: u16) -> CachedState {
    let entry = |at: u16| HostListEntry {
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
        hosts: (0..hosts).map(entry).collect(),
    };
    let outage = |destination| Outage {
        destination,
        started_at: 1_796_168_056_871_000,
        recovered_at: Some(1_796_168_056_991_000),
    };
    CachedState {
        list,
        outages: (0..hosts / 3).map(outage).collect(),
    }
}

#[test]
fn stored_state_is_decoded_with_and_without_checksum() {
    let state = cached_state(30);
    assert_eq!(
        CachedState::decode(state.encode().expect("text").as_bytes()),
        Some(state.clone())
    );
    let outages: Vec<StoredOutage> = state.outages.iter().map(StoredOutage::from).collect();
    let without_checksum = serde_json::json!({"list": state.list, "outages": outages}).to_string();
    assert_eq!(
        CachedState::decode(without_checksum.as_bytes()),
        Some(state)
    );
}

/// A flipped bit or a truncation never yields a different list.
#[test]
fn damaged_state_is_rejected() {
    let text = cached_state(5).encode().expect("text").into_bytes();
    let last = text.len() - 1;
    for at in 0..last {
        for bit in 0..8 {
            let mut damaged = text.clone();
            damaged[at] ^= 1 << bit;
            assert_eq!(
                CachedState::decode(&damaged),
                None,
                "bit {bit} of byte {at}"
            );
        }
        assert_eq!(CachedState::decode(&text[..at]), None, "cut at {at}");
    }
    for text in ["", "{}", "\n", "null", "{\"list\":1,\"outages\":[]}"] {
        assert_eq!(CachedState::decode(text.as_bytes()), None, "{text}");
    }
}

#[test]
fn state_of_a_thousand_hosts_fits_in_its_share_of_one_and_a_half_megabytes() {
    let length = cached_state(1024).encode().expect("text").len();
    assert!(
        length as f64 <= 1_500_000.0 * MAX_DISK_SHARE,
        "{length} bytes"
    );
}

#[test]
fn state_of_the_largest_fleet_fits_in_its_share_of_three_megabytes() {
    let length = cached_state(3200).encode().expect("text").len();
    assert!(
        length as f64 <= 3_000_000.0 * MAX_DISK_SHARE,
        "{length} bytes"
    );
}

#[test]
fn list_that_is_too_large_is_stored_without_its_hosts() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let older = cached_state(5);
    older
        .save(&runtime::OsRuntime, folder.path(), 3_000_000)
        .expect("written");
    let mut large = cached_state(300);
    large.list.version = 8;
    let error = large.save(&runtime::OsRuntime, folder.path(), 100_000);
    assert_eq!(
        error.expect_err("too large").kind(),
        io::ErrorKind::StorageFull
    );
    let stored = CachedState::load(&runtime::OsRuntime, folder.path());
    assert_eq!(stored.list.version, 8);
    assert!(stored.list.hosts.is_empty());
    assert_eq!(stored.outages, large.outages);
}
