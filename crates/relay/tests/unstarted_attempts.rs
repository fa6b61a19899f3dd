//! An attempt of which no byte was written is not counted as possibly executed, whenever the relay is killed.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use support::full_backlog::FullBacklog;
use support::*;

/// Payouts that wait for a connection at the kill.
const PAYOUTS: usize = 10;
/// Time to live of a payout, in milliseconds.
const TIME_TO_LIVE_MS: u64 = 15_000;
/// When the process is killed, in milliseconds after the last payout was accepted.
const KILLS_WHILE_CONNECTING_MS: [u64; 10] = [0, 5, 20, 50, 100, 200, 400, 600, 800, 950];
/// Kill times for connections that are established after about a second, when their first packets are retransmitted.
const KILLS_AROUND_THE_CONNECTION_MS: [u64; 10] = [
    900, 960, 990, 1_000, 1_010, 1_020, 1_030, 1_050, 1_100, 1_200,
];

/// Starts a relay that has accepted payouts for a host, and returns it with their ids.
fn relay_with_payouts(host: SocketAddr, dial_timeout_micros: u64) -> (TestBed, Vec<String>) {
    let mut test_bed = TestBed::new(vec![entry("a", host, 1, "up")]);
    test_bed.config["settings"]["limits"]["dialTimeout"] = dial_timeout_micros.into();
    test_bed.start();
    let payouts = (0..PAYOUTS).map(|_| {
        let (id, answer) = test_bed.enqueue_body("payout", 1, TIME_TO_LIVE_MS, b"body");
        assert_eq!(answer, "+OK");
        id
    });
    let payouts = payouts.collect();
    (test_bed, payouts)
}

/// Restarts the relay, and waits until the host has received each payout exactly once, before or after the kill.
fn assert_delivered_after_restart(mut test_bed: TestBed, host: &Host, payouts: &[String]) {
    test_bed.start();
    for id in payouts {
        wait_until("a call of each payout", || {
            // A payout that was called right before the kill may have been executed, so it fails.
            if !host.calls_of(id).is_empty() {
                return Some(());
            }
            let notice = test_bed.discovery.notice_for(id);
            assert!(notice.is_none(), "{id} failed without a call: {notice:?}");
            None
        });
    }
    for id in payouts {
        assert_eq!(
            host.calls_of(id).len(),
            1,
            "{id} must be called exactly once"
        );
    }
}

/// Runs a test for each kill time, concurrently.
fn for_each_kill(moments_ms: [u64; 10], test: fn(Duration)) {
    let tests = moments_ms.map(|moment| thread::spawn(move || test(Duration::from_millis(moment))));
    // All tests must end before this process does, as each of them kills its relay.
    let results = tests.map(thread::JoinHandle::join);
    assert!(
        results.iter().all(Result::is_ok),
        "failed at some kill time"
    );
}

/// Guards against an attempt that is journaled as started before its connection is established.
#[test]
fn payouts_waiting_on_full_backlog_are_delivered_after_kill() {
    for_each_kill(KILLS_WHILE_CONNECTING_MS, |moment| {
        let host = FullBacklog::new();
        let (mut test_bed, payouts) = relay_with_payouts(host.address(), 1_000_000);
        thread::sleep(moment);
        test_bed.kill();
        assert_delivered_after_restart(test_bed, &host.open(|_, _| ok()), &payouts);
    });
}

/// The connections are established late, and the kill falls around that time.
#[test]
fn payouts_with_late_connections_are_delivered_once_after_kill() {
    for_each_kill(KILLS_AROUND_THE_CONNECTION_MS, |moment| {
        let host = FullBacklog::new();
        let (mut test_bed, payouts) = relay_with_payouts(host.address(), 3_000_000);
        let host = host.open(|_, _| ok());
        thread::sleep(moment);
        test_bed.kill();
        assert_delivered_after_restart(test_bed, &host, &payouts);
    });
}
