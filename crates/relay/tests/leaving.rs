//! Hosts announced as leaving get no new calls, whatever happens to the relay process and to discovery meanwhile.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use serde_json::json;
use support::*;

/// Time after the announcement that a host drains from which on no new call may go to the host.
const GRACE: Duration = Duration::from_secs(2);

/// Starts a relay of a large fleet with one host, `a`, for destination 1; returns it with that host and its replacement.
fn fleet() -> (TestBed, Host, Host) {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut test_bed = TestBed::new(vec![entry("a", old.address, 1, "up")]);
    test_bed.config["settings"]["siblings"] = 300.into();
    test_bed.start();
    test_bed.discovery.wait_for_watches(1);
    (test_bed, old, new)
}

/// Announces that host `a` drains and that `b` replaces it.
fn replace_host(discovery: &Discovery, seq: u64, old: &Host, new: &Host) {
    discovery.push(
        seq,
        &[
            entry("a", old.address, 1, "draining"),
            entry("b", new.address, 1, "up"),
        ],
    );
}

/// Submits messages one after the other until the new host has received `calls` calls. Returns how long after `since` the
/// old host received its last call, or `None` if it received none after `since`.
fn submit(
    test_bed: &mut TestBed,
    old: &Host,
    new: &Host,
    calls: usize,
    since: Instant,
) -> Option<Duration> {
    wait_until("calls to the new host", || {
        let (id, answer) = test_bed.enqueue("update", 1);
        assert_eq!(answer, "+OK");
        wait_until("the call", || {
            old.calls_of(&id)
                .into_iter()
                .chain(new.calls_of(&id))
                .next()
        });
        (new.calls().len() >= calls).then_some(())
    });
    old.calls()
        .iter()
        .filter_map(|call| call.at.checked_duration_since(since))
        .max()
}

#[test]
fn host_announced_as_leaving_during_downtime_gets_no_calls() {
    for killed in [true, false] {
        let (mut test_bed, old, new) = fleet();
        if killed {
            test_bed.kill();
        } else {
            // Without calls and clients the process exits early.
            test_bed.terminate();
            assert!(test_bed.wait_for_exit().success());
        }
        replace_host(&test_bed.discovery, 2, &old, &new);
        test_bed.start();
        assert_eq!(
            submit(&mut test_bed, &old, &new, 5, Instant::now()),
            None,
            "killed: {killed}"
        );
        assert!(
            old.calls().is_empty(),
            "killed: {killed}: {:?}",
            old.calls()
        );
    }
}

#[test]
fn slow_discovery_response_at_startup_is_awaited() {
    let (mut test_bed, old, new) = fleet();
    test_bed.kill();
    replace_host(&test_bed.discovery, 2, &old, &new);
    test_bed.discovery.poll_delay_ms.store(300, SeqCst);
    test_bed.start();
    submit(&mut test_bed, &old, &new, 5, Instant::now());
    assert!(old.calls().is_empty(), "{:?}", old.calls());
}

/// Recovered messages wait for discovery's response as well.
#[test]
fn recovered_messages_are_not_sent_to_a_host_that_has_left() {
    let (mut test_bed, old, new) = fleet();
    old.script(|_, _| status("503 Busy"));
    let ids: Vec<String> = (0..3).map(|_| test_bed.enqueue("payout", 1).0).collect();
    wait_until("a rejected call", || {
        (!old.calls().is_empty()).then_some(())
    });
    test_bed.kill();
    let before = old.calls().len();
    replace_host(&test_bed.discovery, 2, &old, &new);
    test_bed.start();
    for id in &ids {
        wait_until("the call", || new.calls_of(id).first().cloned());
    }
    assert_eq!(old.calls().len(), before);
}

#[test]
fn silent_discovery_at_startup_delays_calls_only_briefly() {
    let (mut test_bed, old, _) = fleet();
    test_bed.kill();
    test_bed.discovery.silent.store(true, SeqCst);
    test_bed.start();
    let start = Instant::now();
    let (id, _) = test_bed.enqueue("update", 1);
    let call = wait_until("the call", || old.calls_of(&id).first().cloned());
    let held = call.at.checked_duration_since(start).unwrap_or_default();
    assert!(held < Duration::from_secs(5), "delayed by {held:?}");
    assert!(
        test_bed
            .log()
            .contains("discovery: no_contact_since_start host_list=cached"),
        "{}",
        test_bed.log()
    );
}

/// Changes that a silent watch misses count as announced six seconds after it fell silent.
#[test]
fn watch_that_falls_silent_is_reopened_in_time() {
    let (mut test_bed, old, new) = fleet();
    test_bed.discovery.silent.store(true, SeqCst);
    // Long enough for the watch to notice the flag.
    std::thread::sleep(Duration::from_millis(100));
    let silent = Instant::now();
    replace_host(&test_bed.discovery, 2, &old, &new);
    test_bed.discovery.silent.store(false, SeqCst);
    let last = submit(&mut test_bed, &old, &new, 1, silent);
    assert!(last < Some(Duration::from_secs(6) + GRACE), "{last:?}");
}

/// Covers a watch that never sends a byte and a watch that falls silent in the middle of a list, with a shorter and a longer
/// drain grace period.
#[test]
fn watch_silent_from_first_byte_is_reopened_in_time() {
    for grace in [1, 3].map(Duration::from_secs) {
        let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
        let mut test_bed = TestBed::new(vec![entry("a", old.address, 1, "up")]);
        test_bed.config["settings"]["rules"]["drainGrace"] = (grace.as_micros() as u64).into();
        test_bed.discovery.mute_watches.store(true, SeqCst);
        test_bed.start();
        test_bed.discovery.wait_for_watches(1);
        let silent = Instant::now();
        replace_host(&test_bed.discovery, 2, &old, &new);
        test_bed.discovery.mute_watches.store(false, SeqCst);
        let last = submit(&mut test_bed, &old, &new, 1, silent);
        assert!(last < Some(Duration::from_secs(6) + grace), "{last:?}");
        // The rest of this list never arrives; its changes count as announced.
        let spare = Host::new(|_, _| ok());
        let announced_at = Instant::now();
        let list = vec![
            entry("b", new.address, 1, "draining"),
            entry("c", spare.address, 1, "up"),
        ];
        test_bed.discovery.set_full_list(list);
        test_bed.discovery.halt_after_line.store(true, SeqCst);
        test_bed.discovery.push_text(
            3,
            "{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"b\"".into(),
        );
        let last = submit(&mut test_bed, &new, &spare, 1, announced_at);
        assert!(last < Some(grace), "{last:?}");
    }
}

/// When lists are pushed, the contents of the agent count as announced, whether or not a watch is open.
#[test]
fn closed_watch_is_reopened_immediately() {
    let (mut test_bed, old, new) = fleet();
    test_bed.discovery.close_connections.store(true, SeqCst);
    let before = test_bed.discovery.request_count("follow=1");
    wait_until("another attempt to open a watch", || {
        (test_bed.discovery.request_count("follow=1") > before + 1).then_some(())
    });
    replace_host(&test_bed.discovery, 2, &old, &new);
    let announced_at = Instant::now();
    test_bed.discovery.close_connections.store(false, SeqCst);
    let last = submit(&mut test_bed, &old, &new, 1, announced_at);
    assert!(last < Some(GRACE), "{last:?}");
}

/// The list of the new discovery service counts as announced four seconds after SIGHUP, even if its first responses fail.
#[test]
fn drain_known_to_moved_discovery_takes_effect_in_time() {
    let (mut test_bed, old, new) = fleet();
    let moved = Discovery::new();
    moved.set_full_list(vec![
        entry("a", old.address, 1, "draining"),
        entry("b", new.address, 1, "up"),
    ]);
    moved.close_connections.store(true, SeqCst);
    let announced_at = Instant::now();
    test_bed.move_discovery(&moved);
    wait_until("polls of the moved discovery", || {
        (moved.request_count("members HTTP") >= 4).then_some(())
    });
    moved.close_connections.store(false, SeqCst);
    let last = submit(&mut test_bed, &old, &new, 1, announced_at);
    assert!(last < Some(Duration::from_secs(4) + GRACE), "{last:?}");
}

/// A discovery service with an older list cannot revoke a drain, but drains that it announces take effect.
#[test]
fn older_list_removes_hosts_but_restores_none() {
    let (mut test_bed, old, new) = fleet();
    let other = Host::new(|_, _| ok());
    test_bed
        .discovery
        .push(9, &[entry("c", other.address, 2, "up")]);
    replace_host(&test_bed.discovery, 10, &old, &new);
    wait_until("the change", || {
        (test_bed.enqueue("update", 2).1 == "+OK").then_some(())
    });
    submit(&mut test_bed, &old, &new, 1, Instant::now());
    let behind = Discovery::new();
    let spare = Host::new(|_, _| ok());
    behind.set_full_list(vec![
        entry("a", old.address, 1, "up"),
        entry("c", other.address, 2, "draining"),
    ]);
    let before = old.calls().len();
    test_bed.move_discovery(&behind);
    wait_until("several polls", || {
        (behind.request_count("members HTTP") >= 3).then_some(())
    });
    let (others, seen) = (other.calls().len(), new.calls().len());
    submit(&mut test_bed, &old, &new, seen + 5, Instant::now());
    assert_eq!(
        old.calls().len(),
        before,
        "the list from before the drain was applied"
    );
    assert_eq!(test_bed.enqueue("update", 2).1, "+OK");
    // Discovery catches up, and waiting messages are sent.
    behind.push(
        11,
        &[
            entry("a", old.address, 1, "draining"),
            entry("b", new.address, 1, "up"),
        ],
    );
    behind.push(12, &[entry("d", spare.address, 2, "up")]);
    wait_until("the call", || spare.calls().first().cloned());
    assert_eq!(
        other.calls().len(),
        others,
        "the drain in the older list was ignored"
    );
    assert_eq!(old.calls().len(), before);
}

#[test]
fn indented_list_is_accepted() {
    let (mut test_bed, old, new) = fleet();
    let whole = test_bed.discovery.request_count("members HTTP");
    let lines = [
        entry("a", old.address, 1, "draining"),
        entry("b", new.address, 1, "up"),
    ];
    let list = json!({"seq": 2, "whole": false, "hosts": lines});
    test_bed
        .discovery
        .push_text(2, serde_json::to_string_pretty(&list).expect("text"));
    let last = submit(&mut test_bed, &old, &new, 1, Instant::now());
    assert!(last < Some(GRACE), "{last:?}");
    assert_eq!(
        test_bed.discovery.request_count("members HTTP"),
        whole,
        "the indented list was not accepted: the relay polled for a full list"
    );
}

/// Changes in a truncated list count as announced, although its rest never arrives.
#[test]
fn truncated_list_is_polled_again_immediately() {
    let (mut test_bed, old, new) = fleet();
    let announced_at = Instant::now();
    test_bed.discovery.set_full_list(vec![
        entry("a", old.address, 1, "draining"),
        entry("b", new.address, 1, "up"),
    ]);
    test_bed.discovery.push_text(
        2,
        "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"a\"".into(),
    );
    let last = submit(&mut test_bed, &old, &new, 1, announced_at);
    assert!(last < Some(GRACE), "{last:?}");
}

/// A flood of malformed lists causes neither a flood of polls nor a flood of log lines.
#[test]
fn malformed_lists_are_polled_at_a_bounded_rate() {
    let (mut test_bed, old, _) = fleet();
    let before = test_bed.discovery.request_count("members HTTP");
    for seq in 2..200 {
        test_bed.discovery.push_text(seq, "{\"seq\":true}".into());
    }
    std::thread::sleep(Duration::from_millis(1000));
    let polls = test_bed.discovery.request_count("members HTTP") - before;
    assert!((1..40).contains(&polls), "{polls} polls for the list");
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || old.calls_of(&id).first().cloned());
    assert!(test_bed.log().lines().count() < 60, "{}", test_bed.log());
}

/// Covers valid full lists with watches that each fail immediately.
#[test]
fn watches_that_fail_immediately_are_reopened_at_a_bounded_rate() {
    let (mut test_bed, old, _) = fleet();
    let before = test_bed.discovery.request_count("members HTTP");
    test_bed.discovery.malformed_first_line.store(true, SeqCst);
    test_bed.discovery.close_connections.store(true, SeqCst);
    wait_until("the watch to end", || {
        test_bed
            .log()
            .contains("discovery: watch_ended")
            .then_some(())
    });
    test_bed.discovery.close_connections.store(false, SeqCst);
    std::thread::sleep(Duration::from_millis(1000));
    let polls = test_bed.discovery.request_count("members HTTP") - before;
    assert!((1..20).contains(&polls), "{polls} polls for the list");
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || old.calls_of(&id).first().cloned());
}
