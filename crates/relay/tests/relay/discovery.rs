//! Host lists, drains, outages and notifications.

use super::*;

#[test]
fn nothing_new_goes_to_a_host_that_drains() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &old, 1)]);
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || old.calls_of(&id).first().cloned());
    scene.discovery.push(
        2,
        &[entry("a", old.address, 1, "draining"), up("b", &new, 1)],
    );
    let told = Instant::now();
    until("calls at the new host", || {
        let (id, _) = scene.enqueue("update", 1);
        until("the call", || {
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
fn a_drain_is_kept_by_a_relay_that_restarts_while_discovery_is_silent() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &old, 1)]);
    scene.discovery.push(
        2,
        &[
            entry("a", old.address, 1, "draining"),
            up("b", &new, 1),
            up("c", &new, 2),
        ],
    );
    until("the change", || {
        (scene.enqueue("update", 2).1 == "+OK").then_some(())
    });
    scene
        .discovery
        .silent
        .store(true, std::sync::atomic::Ordering::SeqCst);
    scene.kill();
    // The configuration still has the list from before the drain.
    scene.start();
    for _ in 0..5 {
        let (id, _) = scene.enqueue("update", 1);
        until("the call", || {
            old.calls_of(&id)
                .into_iter()
                .chain(new.calls_of(&id))
                .next()
        });
    }
    assert!(old.calls().is_empty(), "{:?}", old.calls());
}

#[test]
fn an_outage_is_remembered_by_a_relay_that_restarts() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::new(vec![up("a", &host, 1)]);
    scene.config["known"]["hosts"][0]["share"] = 8.0.into();
    scene.config["settings"]["rules"]["cold"] = 20_000_000.into();
    scene.config["settings"]["rules"]["coldFrom"] = 0.1.into();
    scene.start();
    // Errors trip the circuit breaker, and later messages are held back.
    host.script(|_, _| status("500 Oops"));
    for _ in 0..12 {
        assert_eq!(scene.enqueue("update", 1).1, "+OK");
    }
    until("some failures", || (host.calls().len() >= 2).then_some(()));
    until("the outage to be noted", || {
        let memory: Value = serde_json::from_str(
            fs::read_to_string(scene.folder.join("state/memory"))
                .ok()?
                .lines()
                .next()?,
        )
        .ok()?;
        memory["outages"].get(0).map(drop)
    });
    scene.kill();
    host.script(|_, _| ok());
    let before = host.calls().len();
    scene.start();
    until("three calls", || {
        (host.calls().len() >= before + 3).then_some(())
    });
    // Cold, it can take 0.8 a second and may get twice that; all twelve at once would push it over.
    let after = host.calls().split_off(before);
    assert!(
        after[2].at - after[0].at > Duration::from_millis(500),
        "{after:?}"
    );
}

#[test]
fn silent_discovery_is_polled_again_from_the_last_version() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &old, 1)]);
    scene.discovery.push(5, &[entry("z", old.address, 9, "up")]);
    until("the change", || {
        (scene.enqueue("update", 9).1 == "+OK").then_some(())
    });
    scene
        .discovery
        .silent
        .store(true, std::sync::atomic::Ordering::SeqCst);
    // Calls go on meanwhile.
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || old.calls_of(&id).first().cloned());
    let asked = || {
        scene
            .discovery
            .asked
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.contains("since=5"))
            .count()
    };
    until("new watches from the last version", || {
        (asked() >= 2).then_some(())
    });
    scene.discovery.push(6, &[up("b", &new, 2)]);
    scene
        .discovery
        .silent
        .store(false, std::sync::atomic::Ordering::SeqCst);
    let id = until("what was missed", || {
        let (id, answer) = scene.enqueue("update", 2);
        (answer == "+OK").then_some(id)
    });
    until("the call", || new.calls_of(&id).first().cloned());
}

#[test]
fn malformed_lines_of_discovery_are_skipped_and_made_good() {
    let (host, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    scene.discovery.until_watched(1);
    scene
        .discovery
        .set_whole(vec![up("a", &host, 1), up("b", &new, 2)]);
    for line in [
        "{",
        "[]",
        "{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"b\"}]}",
        "\u{fffd}",
    ] {
        scene.discovery.push_text(3, line.into());
    }
    let id = until("the host of the lines that were lost", || {
        let (id, answer) = scene.enqueue("update", 2);
        (answer == "+OK").then_some(id)
    });
    until("the call", || new.calls_of(&id).first().cloned());
    assert!(
        scene.log().contains("discovery: list_rejected"),
        "{}",
        scene.log()
    );
}

#[test]
fn notices_go_on_until_they_are_taken_also_over_a_restart() {
    let host = Host::new(|_, _| Answer::Close);
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    scene
        .discovery
        .refuses
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let (id, _) = scene.enqueue("payout", 1);
    let posts = || {
        scene
            .discovery
            .asked
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.starts_with("POST"))
            .count()
    };
    until("some tries", || (posts() >= 3).then_some(()));
    scene.kill();
    scene
        .discovery
        .refuses
        .store(false, std::sync::atomic::Ordering::SeqCst);
    scene.start();
    let notice = until("the notice", || scene.discovery.notice_of(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}
