//! A restart while discovery is silent, with a list of hosts of any size.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use support::*;

/// Destination whose host is replaced.
const MOVED: u16 = 1;
/// Destination whose new host comes up at the address of the removed one.
const NEIGHBOUR: u16 = 2;
const TIME_TO_LIVE_MS: u64 = 20_000;
/// A process without contact to discovery waits for a second before it uses its list.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(2_500);

/// Hosts that get no calls.
fn other_hosts(count: usize) -> impl Iterator<Item = Value> {
    (0..count).map(|number| {
        let address = SocketAddr::from(([127, 9, (number >> 8) as u8, number as u8], 6379));
        entry(&format!("other-{number}"), address, 3, "up")
    })
}

/// Replaces a host, starts a host of another destination at its address, and restarts the relay while discovery is silent.
/// Returns the payouts of [`MOVED`] that were called at that address afterwards.
fn calls_at_the_removed_host(hosts: usize, disk_mb: f64) -> usize {
    let old = Host::new(|_, _| ok());
    let new = Host::new(|_, _| ok());
    let mut entries = vec![entry("old", old.address, MOVED, "up")];
    entries.extend(other_hosts(hosts));
    let mut test_bed = TestBed::new(entries);
    test_bed.config["limits"]["disk_mb"] = disk_mb.into();
    test_bed.start();
    test_bed.discovery.wait_for_watches(1);
    let changes = [
        entry("old", old.address, MOVED, "removed"),
        entry("new", new.address, MOVED, "up"),
        entry("neighbour", old.address, NEIGHBOUR, "up"),
    ];
    test_bed.discovery.push(2, &changes);
    wait_until("a call of the new host", || {
        let (id, _) = test_bed.enqueue("payout", MOVED);
        thread::sleep(Duration::from_millis(20));
        (!new.calls_of(&id).is_empty()).then_some(())
    });
    let calls_before = old.calls().len();
    test_bed.discovery.silent.store(true, Ordering::SeqCst);
    test_bed.kill();
    test_bed.start();
    for _ in 0..4 {
        test_bed.enqueue_body("payout", MOVED, TIME_TO_LIVE_MS, b"body");
    }
    thread::sleep(UNCONFIRMED_TIME);
    let calls = old.calls().len() - calls_before;
    // The relay is still of use once discovery is back.
    test_bed.discovery.silent.store(false, Ordering::SeqCst);
    wait_until("a call of the new host", || {
        let (id, _) = test_bed.enqueue("payout", MOVED);
        thread::sleep(Duration::from_millis(20));
        (!new.calls_of(&id).is_empty()).then_some(())
    });
    calls
}

#[test]
fn removed_host_is_not_called_after_a_restart_with_3200_hosts() {
    assert_eq!(calls_at_the_removed_host(3_197, 3.0), 0);
}

#[test]
fn removed_host_is_not_called_after_a_restart_with_a_list_that_is_too_large_to_store() {
    assert_eq!(calls_at_the_removed_host(700, 0.25), 0);
}
