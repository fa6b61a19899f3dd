//! Hosts announced as leaving get nothing new, whatever becomes of the relay's process and of its discovery meanwhile.

mod scene;

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use scene::*;
use serde_json::json;

/// After this long since discovery announced that a host drains, no new call may go to it.
const GRACE: Duration = Duration::from_secs(2);

/// A relay of a large fleet with one host, `a`, for destination 1, and one that is to take its place.
fn fleet() -> (Scene, Host, Host) {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::new(vec![entry("a", old.address, 1, "up")]);
    scene.config["settings"]["siblings"] = 300.into();
    scene.start();
    scene.discovery.until_watched(1);
    (scene, old, new)
}

fn leave(discovery: &Discovery, seq: u64, old: &Host, new: &Host) {
    discovery.push(
        seq,
        &[
            entry("a", old.address, 1, "draining"),
            entry("b", new.address, 1, "up"),
        ],
    );
}

/// Submits messages, one after the other, until the new host has received that many, and returns the time of the last call
/// to the old one after a moment.
fn submit(
    scene: &mut Scene,
    old: &Host,
    new: &Host,
    calls: usize,
    since: Instant,
) -> Option<Duration> {
    until("calls to the new host", || {
        let (id, answer) = scene.enqueue("update", 1);
        assert_eq!(answer, "+OK");
        until("the call", || {
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
fn a_host_announced_while_the_process_was_down_gets_nothing_from_the_next_one() {
    for killed in [true, false] {
        let (mut scene, old, new) = fleet();
        if killed {
            scene.kill();
        } else {
            // Without calls and clients it leaves early.
            scene.term();
            assert!(scene.end().success());
        }
        leave(&scene.discovery, 2, &old, &new);
        scene.start();
        assert_eq!(
            submit(&mut scene, &old, &new, 5, Instant::now()),
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
fn a_slow_answer_at_the_start_is_waited_for() {
    let (mut scene, old, new) = fleet();
    scene.kill();
    leave(&scene.discovery, 2, &old, &new);
    scene.discovery.slow.store(300, SeqCst);
    scene.start();
    submit(&mut scene, &old, &new, 5, Instant::now());
    assert!(old.calls().is_empty(), "{:?}", old.calls());
}

/// What is owed from before waits for the answer too.
#[test]
fn what_is_owed_over_a_restart_does_not_go_to_a_host_that_has_left() {
    let (mut scene, old, new) = fleet();
    old.script(|_, _| status("503 Busy"));
    let ids: Vec<String> = (0..3).map(|_| scene.enqueue("payout", 1).0).collect();
    until("a refusal", || (!old.calls().is_empty()).then_some(()));
    scene.kill();
    let before = old.calls().len();
    leave(&scene.discovery, 2, &old, &new);
    scene.start();
    for id in &ids {
        until("the call", || new.calls_of(id).first().cloned());
    }
    assert_eq!(old.calls().len(), before);
}

#[test]
fn a_silent_discovery_at_the_start_holds_calls_up_for_a_moment_only() {
    let (mut scene, old, _) = fleet();
    scene.kill();
    scene.discovery.silent.store(true, SeqCst);
    scene.start();
    let start = Instant::now();
    let (id, _) = scene.enqueue("update", 1);
    let call = until("the call", || old.calls_of(&id).first().cloned());
    let held = call.at.checked_duration_since(start).unwrap_or_default();
    assert!(held < Duration::from_secs(5), "held for {held:?}");
    assert!(
        scene
            .log()
            .contains("discovery: no_contact_since_start host_list=cached"),
        "{}",
        scene.log()
    );
}

/// What a silent watch misses counts as announced six seconds after it fell silent.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time() {
    let (mut scene, old, new) = fleet();
    scene.discovery.silent.store(true, SeqCst);
    // Long enough for the watch to see it.
    std::thread::sleep(Duration::from_millis(100));
    let silent = Instant::now();
    leave(&scene.discovery, 2, &old, &new);
    scene.discovery.silent.store(false, SeqCst);
    let last = submit(&mut scene, &old, &new, 1, silent);
    assert!(last < Some(Duration::from_secs(6) + GRACE), "{last:?}");
}

/// A watch that never says a word, and one that falls silent in the middle of a list, under settings that leave a drain more
/// time and less.
#[test]
fn a_watch_that_is_silent_from_its_first_byte_is_opened_anew_in_time() {
    for grace in [1, 3].map(Duration::from_secs) {
        let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
        let mut scene = Scene::new(vec![entry("a", old.address, 1, "up")]);
        scene.config["settings"]["rules"]["drainGrace"] = (grace.as_micros() as u64).into();
        scene.discovery.mute.store(true, SeqCst);
        scene.start();
        scene.discovery.until_watched(1);
        let silent = Instant::now();
        leave(&scene.discovery, 2, &old, &new);
        scene.discovery.mute.store(false, SeqCst);
        let last = submit(&mut scene, &old, &new, 1, silent);
        assert!(last < Some(Duration::from_secs(6) + grace), "{last:?}");
        // The rest of this list never arrives; its changes count as announced.
        let spare = Host::new(|_, _| ok());
        let told = Instant::now();
        let list = vec![
            entry("b", new.address, 1, "draining"),
            entry("c", spare.address, 1, "up"),
        ];
        scene.discovery.set_whole(list);
        scene.discovery.halts.store(true, SeqCst);
        scene.discovery.push_text(
            3,
            "{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"b\"".into(),
        );
        let last = submit(&mut scene, &new, &spare, 1, told);
        assert!(last < Some(grace), "{last:?}");
    }
}

/// Where lists are pushed, what the agent has counts as announced, whether or not a watch is open.
#[test]
fn a_watch_that_is_closed_is_opened_anew_at_once() {
    let (mut scene, old, new) = fleet();
    scene.discovery.closes.store(true, SeqCst);
    let before = scene.discovery.asked_for("follow=1");
    until("another try", || {
        (scene.discovery.asked_for("follow=1") > before + 1).then_some(())
    });
    leave(&scene.discovery, 2, &old, &new);
    let told = Instant::now();
    scene.discovery.closes.store(false, SeqCst);
    let last = submit(&mut scene, &old, &new, 1, told);
    assert!(last < Some(GRACE), "{last:?}");
}

/// After SIGHUP the new discovery's list counts as announced four seconds later, also where its first answer fails.
#[test]
fn a_moved_discovery_that_knows_of_a_drain_is_heard_in_time() {
    let (mut scene, old, new) = fleet();
    let moved = Discovery::new();
    moved.set_whole(vec![
        entry("a", old.address, 1, "draining"),
        entry("b", new.address, 1, "up"),
    ]);
    moved.closes.store(true, SeqCst);
    let told = Instant::now();
    scene.move_discovery(&moved);
    until("calls", || {
        (moved.asked_for("members HTTP") >= 4).then_some(())
    });
    moved.closes.store(false, SeqCst);
    let last = submit(&mut scene, &old, &new, 1, told);
    assert!(last < Some(Duration::from_secs(4) + GRACE), "{last:?}");
}

/// A discovery that is behind takes no drain back, but its own drains are heeded.
#[test]
fn an_older_list_takes_hosts_away_and_gives_none_back() {
    let (mut scene, old, new) = fleet();
    let other = Host::new(|_, _| ok());
    scene
        .discovery
        .push(9, &[entry("c", other.address, 2, "up")]);
    leave(&scene.discovery, 10, &old, &new);
    until("the change", || {
        (scene.enqueue("update", 2).1 == "+OK").then_some(())
    });
    submit(&mut scene, &old, &new, 1, Instant::now());
    let behind = Discovery::new();
    let spare = Host::new(|_, _| ok());
    behind.set_whole(vec![
        entry("a", old.address, 1, "up"),
        entry("c", other.address, 2, "draining"),
    ]);
    let before = old.calls().len();
    scene.move_discovery(&behind);
    until("more than one call", || {
        (behind.asked_for("members HTTP") >= 3).then_some(())
    });
    let (others, seen) = (other.calls().len(), new.calls().len());
    submit(&mut scene, &old, &new, seen + 5, Instant::now());
    assert_eq!(
        old.calls().len(),
        before,
        "its list of before the drain was taken for news"
    );
    assert_eq!(scene.enqueue("update", 2).1, "+OK");
    // It catches up, and what waited goes on.
    behind.push(
        11,
        &[
            entry("a", old.address, 1, "draining"),
            entry("b", new.address, 1, "up"),
        ],
    );
    behind.push(12, &[entry("d", spare.address, 2, "up")]);
    until("the call", || spare.calls().first().cloned());
    assert_eq!(
        other.calls().len(),
        others,
        "the drain that it told was passed over"
    );
    assert_eq!(old.calls().len(), before);
}

#[test]
fn an_indented_list_is_taken_as_it_is() {
    let (mut scene, old, new) = fleet();
    let whole = scene.discovery.asked_for("members HTTP");
    let lines = [
        entry("a", old.address, 1, "draining"),
        entry("b", new.address, 1, "up"),
    ];
    let list = json!({"seq": 2, "whole": false, "hosts": lines});
    scene
        .discovery
        .push_text(2, serde_json::to_string_pretty(&list).expect("text"));
    let last = submit(&mut scene, &old, &new, 1, Instant::now());
    assert!(last < Some(GRACE), "{last:?}");
    assert_eq!(
        scene.discovery.asked_for("members HTTP"),
        whole,
        "it was not understood"
    );
}

/// The rest of a truncated list never arrives; its changes count as announced.
#[test]
fn truncated_list_is_polled_again_at_once() {
    let (mut scene, old, new) = fleet();
    let told = Instant::now();
    scene.discovery.set_whole(vec![
        entry("a", old.address, 1, "draining"),
        entry("b", new.address, 1, "up"),
    ]);
    scene.discovery.push_text(
        2,
        "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"a\"".into(),
    );
    let last = submit(&mut scene, &old, &new, 1, told);
    assert!(last < Some(GRACE), "{last:?}");
}

/// A flood of lists that can't be read becomes neither one of calls nor one of lines in the log.
#[test]
fn malformed_lists_are_polled_at_a_bounded_rate() {
    let (mut scene, old, _) = fleet();
    let before = scene.discovery.asked_for("members HTTP");
    for seq in 2..200 {
        scene.discovery.push_text(seq, "{\"seq\":true}".into());
    }
    std::thread::sleep(Duration::from_millis(1000));
    let asked = scene.discovery.asked_for("members HTTP") - before;
    assert!((1..40).contains(&asked), "{asked} calls for the list");
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || old.calls_of(&id).first().cloned());
    assert!(scene.log().lines().count() < 60, "{}", scene.log());
}

/// The same where whole lists are sound and each watch is not.
#[test]
fn watches_that_fail_at_once_are_opened_at_a_bounded_rate() {
    let (mut scene, old, _) = fleet();
    let before = scene.discovery.asked_for("members HTTP");
    scene.discovery.spoils.store(true, SeqCst);
    scene.discovery.closes.store(true, SeqCst);
    until("the watch to end", || {
        scene.log().contains("discovery: watch_ended").then_some(())
    });
    scene.discovery.closes.store(false, SeqCst);
    std::thread::sleep(Duration::from_millis(1000));
    let asked = scene.discovery.asked_for("members HTTP") - before;
    assert!((1..20).contains(&asked), "{asked} calls for the list");
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || old.calls_of(&id).first().cloned());
}
