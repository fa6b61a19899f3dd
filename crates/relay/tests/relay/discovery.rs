//! Host lists, drains, outages and notifications.

use super::*;

#[test]
fn draining_host_gets_no_new_calls() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut test_bed = TestBed::started(vec![up("a", &old, 1)]);
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || old.calls_of(&id).first().cloned());
    test_bed.discovery.push(
        2,
        &[entry("a", old.address, 1, "draining"), up("b", &new, 1)],
    );
    let told = Instant::now();
    wait_until("calls at the new host", || {
        let (id, _) = test_bed.enqueue("update", 1);
        wait_until("the call", || {
            (old.calls_of(&id).len() + new.calls_of(&id).len() == 1).then_some(())
        });
        (new.calls().len() >= 20).then_some(())
    });
    let late = old
        .calls()
        .into_iter()
        .filter(|call| call.at > told + Duration::from_secs(2))
        .count();
    assert_eq!(late, 0);
}

#[test]
fn drain_is_kept_across_restart_while_discovery_is_silent() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut test_bed = TestBed::started(vec![up("a", &old, 1)]);
    test_bed.discovery.push(
        2,
        &[
            entry("a", old.address, 1, "draining"),
            up("b", &new, 1),
            up("c", &new, 2),
        ],
    );
    wait_until("the new host list", || {
        (test_bed.enqueue("update", 2).1 == "+OK").then_some(())
    });
    test_bed
        .discovery
        .silent
        .store(true, std::sync::atomic::Ordering::SeqCst);
    test_bed.kill();
    // The configuration still has the list from before the drain.
    test_bed.start();
    for _ in 0..5 {
        let (id, _) = test_bed.enqueue("update", 1);
        wait_until("the call", || {
            old.calls_of(&id)
                .into_iter()
                .chain(new.calls_of(&id))
                .next()
        });
    }
    assert!(old.calls().is_empty(), "{:?}", old.calls());
}

#[test]
fn outage_is_kept_across_restart() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::new(vec![up("a", &host, 1)]);
    test_bed.config["known"]["hosts"][0]["share"] = 8.0.into();
    test_bed.config["settings"]["rules"]["cold"] = 20_000_000.into();
    test_bed.config["settings"]["rules"]["coldFrom"] = 0.1.into();
    test_bed.start();
    // Errors trip the circuit breaker, and later messages are held back.
    host.script(|_, _| status("500 Oops"));
    for _ in 0..12 {
        assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    }
    wait_until("some failures", || (host.calls().len() >= 2).then_some(()));
    wait_until("the outage to be stored", || {
        let memory: Value = serde_json::from_str(
            fs::read_to_string(test_bed.folder.join("state/memory"))
                .ok()?
                .lines()
                .next()?,
        )
        .ok()?;
        memory["outages"].get(0).map(drop)
    });
    test_bed.kill();
    host.script(|_, _| ok());
    let before = host.calls().len();
    test_bed.start();
    wait_until("three calls", || {
        (host.calls().len() >= before + 3).then_some(())
    });
    // A cold host can serve 0.8 messages a second and may get twice that; all twelve at once would overload it.
    let after = host.calls().split_off(before);
    assert!(
        after[2].at - after[0].at > Duration::from_millis(500),
        "{after:?}"
    );
}

#[test]
fn silent_discovery_is_polled_again_from_the_last_version() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut test_bed = TestBed::started(vec![up("a", &old, 1)]);
    test_bed
        .discovery
        .push(5, &[entry("z", old.address, 9, "up")]);
    wait_until("the new host list", || {
        (test_bed.enqueue("update", 9).1 == "+OK").then_some(())
    });
    test_bed
        .discovery
        .silent
        .store(true, std::sync::atomic::Ordering::SeqCst);
    // Calls continue while discovery is silent.
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || old.calls_of(&id).first().cloned());
    let asked = || {
        test_bed
            .discovery
            .requests
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.contains("since=5"))
            .count()
    };
    wait_until("new watches from the last version", || {
        (asked() >= 2).then_some(())
    });
    test_bed.discovery.push(6, &[up("b", &new, 2)]);
    test_bed
        .discovery
        .silent
        .store(false, std::sync::atomic::Ordering::SeqCst);
    let id = wait_until("the missed host list", || {
        let (id, answer) = test_bed.enqueue("update", 2);
        (answer == "+OK").then_some(id)
    });
    wait_until("the call", || new.calls_of(&id).first().cloned());
}

#[test]
fn malformed_discovery_lines_are_skipped_and_recovered_by_poll() {
    let (host, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    test_bed.discovery.wait_for_watches(1);
    test_bed
        .discovery
        .set_full_list(vec![up("a", &host, 1), up("b", &new, 2)]);
    for line in [
        "{",
        "[]",
        "{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"b\"}]}",
        "\u{fffd}",
    ] {
        test_bed.discovery.push_text(3, line.into());
    }
    let id = wait_until("the host from the rejected lines", || {
        let (id, answer) = test_bed.enqueue("update", 2);
        (answer == "+OK").then_some(id)
    });
    wait_until("the call", || new.calls_of(&id).first().cloned());
    assert!(
        test_bed.log().contains("discovery: list_rejected"),
        "{}",
        test_bed.log()
    );
}

#[test]
fn notices_are_resent_until_accepted_across_restart() {
    let host = Host::new(|_, _| HostResponse::Close);
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    test_bed
        .discovery
        .reject_notices
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let (id, _) = test_bed.enqueue("payout", 1);
    let posts = || {
        test_bed
            .discovery
            .requests
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.starts_with("POST"))
            .count()
    };
    wait_until("some attempts", || (posts() >= 3).then_some(()));
    test_bed.kill();
    test_bed
        .discovery
        .reject_notices
        .store(false, std::sync::atomic::Ordering::SeqCst);
    test_bed.start();
    let notice = wait_until("the notice", || test_bed.discovery.notice_for(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}
