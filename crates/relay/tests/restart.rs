//! Accepted messages that were never attempted are still attempted after a restart, whatever fails then.

mod scene;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use scene::*;
use serde_json::{json, Value};

/// Calls a second that the destination takes when warm.
const LIMIT: f64 = 10.0;
/// Messages that are submitted before the process ends, and their time to live.
const MANY: usize = 40;
const LEFT: u64 = 5_000;

fn scene(siblings: u64, host: &Host) -> Scene {
    let mut line = entry("a", host.address, 1, "up");
    line["share"] = LIMIT.into();
    let mut scene = Scene::new(vec![line]);
    let settings = &mut scene.config["settings"];
    settings["siblings"] = siblings.into();
    settings["rules"] = json!({"cold": 9_000_000, "coldFrom": 0.2, "overloadFactor": 2.0, "overloadFor": 1_500_000});
    scene
}

/// Takes messages on for a host that says nothing, and ends the process; gives those that were not called.
fn untried(scene: &mut Scene, host: &Host, class: &str, left: u64) -> Vec<String> {
    host.script(|_, _| Answer::Hang);
    scene.start();
    let ids: Vec<String> = (0..MANY)
        .map(|_| {
            let (id, answer) = scene.enqueue_body(class, 1, left, b"body");
            assert_eq!(answer, "+OK");
            id
        })
        .collect();
    until("a call", || (!host.calls().is_empty()).then_some(()));
    scene.kill();
    let rest: Vec<String> = ids
        .into_iter()
        .filter(|id| host.calls_of(id).is_empty())
        .collect();
    assert!(
        rest.len() > MANY / 2,
        "most wait behind the fuse: {}",
        rest.len()
    );
    rest
}

/// Waits until each has its end, and gives how many were called.
fn tried(scene: &Scene, host: &Host, ids: &[String]) -> usize {
    let called = |id: &String| !host.calls_of(id).is_empty();
    until("an end of each", || {
        ids.iter()
            .all(|id| called(id) || scene.discovery.notice_of(id).is_some())
            .then_some(())
    });
    ids.iter().filter(|id| called(id)).count()
}

/// No more calls within the rule's span than a cold destination takes, with the rule's room for chance.
fn assert_not_overloaded(host: &Host, since: Instant) {
    let calls: Vec<Instant> = host
        .calls()
        .iter()
        .map(|call| call.at)
        .filter(|at| *at >= since)
        .collect();
    let span = Duration::from_millis(1500);
    for (n, first) in calls.iter().enumerate() {
        let within = calls[n..].iter().filter(|at| **at < *first + span).count() as f64;
        // Its capacity by the end of the span.
        let cold = (0.2 + 0.8 * (first.duration_since(since) + span).as_secs_f64() / 9.0).min(1.0);
        let most = 2.0 * LIMIT * cold * span.as_secs_f64();
        assert!(
            within <= most + 3.0 * most.sqrt() + 3.0,
            "{within} calls within 1.5 s, {most} are allowed"
        );
    }
}

#[test]
fn returning_destination_gets_recovered_messages_with_short_deadlines_and_is_not_overloaded() {
    for siblings in [1, 7, 300] {
        for (class, left) in [("update", LEFT), ("payout", LEFT), ("update", LEFT / 2)] {
            let host = Host::new(|_, _| ok());
            let mut scene = scene(siblings, &host);
            let ids = untried(&mut scene, &host, class, left);
            host.script(|_, _| ok());
            let back = Instant::now();
            scene.start();
            let tried = tried(&scene, &host, &ids);
            assert!(
                2 * tried > ids.len(),
                "{siblings} relays, {class}: {tried} of {} were tried",
                ids.len()
            );
            assert_not_overloaded(&host, back);
        }
    }
}

#[test]
fn a_destination_that_stays_away_is_tried_with_what_is_owed_all_the_same() {
    for siblings in [1, 300] {
        let host = Host::new(|_, _| Answer::Hang);
        let mut scene = scene(siblings, &host);
        let ids = untried(&mut scene, &host, "update", LEFT);
        host.script(|_, _| status("500 Bad"));
        scene.start();
        let tried = tried(&scene, &host, &ids);
        assert!(
            2 * tried > ids.len(),
            "{siblings} relays: {tried} of {} were tried",
            ids.len()
        );
    }
}

#[test]
fn a_silent_discovery_and_a_second_kill_leave_time_for_what_is_owed() {
    for siblings in [1, 300] {
        let host = Host::new(|_, _| ok());
        let mut scene = scene(siblings, &host);
        let ids = untried(&mut scene, &host, "update", LEFT);
        host.script(|_, _| ok());
        scene.discovery.silent.store(true, SeqCst);
        scene.start();
        // The term names this second.
        std::thread::sleep(Duration::from_secs(1));
        scene.kill();
        scene.start();
        let tried = tried(&scene, &host, &ids);
        assert!(
            2 * tried > ids.len(),
            "{siblings} relays: {tried} of {} were tried",
            ids.len()
        );
    }
}

/// New messages do not take the places of those.
#[test]
fn what_is_owed_is_not_given_up_to_make_room_for_what_arrives() {
    let host = Host::new(|_, _| ok());
    let mut scene = scene(1, &host);
    scene.config["settings"]["limits"]["mostHeld"] = (MANY + MANY / 4).into();
    let ids = untried(&mut scene, &host, "update", LEFT);
    host.script(|_, _| ok());
    scene.start();
    // Worth more than what is owed.
    for _ in 0..MANY {
        scene.enqueue_body("payout", 1, 60_000, b"body");
    }
    let tried = tried(&scene, &host, &ids);
    assert!(2 * tried > ids.len(), "{tried} of {} were tried", ids.len());
}

/// A connection that is refused is no call: who met nothing else is not given up for what arrives, and goes first once
/// the destination is back.
#[test]
fn what_was_only_refused_a_connection_is_not_given_up_to_make_room() {
    only_refused(
        json!([{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}]),
        "acme",
        3,
    );
}

/// The same for a tenant that held far more than its share as its process ended: others have no more than a fourth of that.
#[test]
fn what_a_tenant_over_its_share_is_owed_is_not_given_up_for_another() {
    let other = json!({"name": "other", "quotaPerS": 1000.0, "share": 0.9});
    only_refused(
        json!([{"name": "acme", "quotaPerS": 1000.0, "share": 0.1}, other]),
        "other",
        12,
    );
}

/// Restarts with messages that meet refused connections until another tenant, or the same one, has submitted more. A refused
/// connection is an attempt, and `attempts` is the limit.
fn only_refused(tenants: Value, arrives: &str, attempts: u64) {
    let host = Host::new(|_, _| ok());
    let mut scene = scene(1, &host);
    scene.operator = Some("log_calls = true\n".into());
    let settings_here = &mut scene.config["settings"];
    settings_here["limits"]["mostHeld"] = (MANY + MANY / 4).into();
    settings_here["rules"] = settings()["rules"].clone();
    settings_here["limits"]["maxAttempts"] = attempts.into();
    settings_here["tenants"] = tenants;
    let ids = untried(&mut scene, &host, "update", 2 * LEFT);
    // It stands elsewhere now, where nobody listens yet.
    let moved = bind().local_addr().expect("bound");
    scene.discovery.push(2, &[entry("a", moved, 1, "up")]);
    scene.start();
    until("refused connections of most", || {
        let log = scene.log();
        let failed = log
            .lines()
            .filter(|line| line.contains(" outcome=connect_failed "));
        let failed: BTreeSet<&str> = failed.filter_map(|line| line.split(' ').nth(4)).collect();
        (3 * failed.len() > 2 * ids.len()).then_some(())
    });
    for _ in 0..MANY {
        scene.enqueue_for(arrives, "payout", 1, 60_000);
    }
    let back = Host::at(
        TcpListener::bind(moved).expect("the port is free"),
        |_, _| ok(),
    );
    let tried = tried(&scene, &back, &ids);
    assert!(2 * tried > ids.len(), "{tried} of {} were tried", ids.len());
}

/// Settings may have changed between two processes.
#[test]
fn what_is_owed_for_a_tenant_that_the_settings_name_no_more_is_still_tried() {
    let host = Host::new(|_, _| ok());
    let mut scene = scene(1, &host);
    let ids = untried(&mut scene, &host, "update", LEFT);
    host.script(|_, _| ok());
    scene.config["settings"]["tenants"] =
        json!([{"name": "other", "quotaPerS": 1000.0, "share": 1.0}]);
    scene.start();
    let tried = tried(&scene, &host, &ids);
    assert!(2 * tried > ids.len(), "{tried} of {} were tried", ids.len());
}
