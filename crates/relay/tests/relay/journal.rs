//! Kills, torn records and the bounds of the journal.

use super::*;

#[test]
fn a_call_that_was_out_at_a_kill_may_have_run() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![
        up("a", &host, 1),
        up("b", &host, 2),
        up("c", &host, 3),
    ]);
    let ids: Vec<String> = [("update", 1), ("event", 2), ("payout", 3)]
        .iter()
        .map(|(class, block)| {
            let (id, answer) = scene.enqueue(class, *block);
            assert_eq!(answer, "+OK");
            id
        })
        .collect();
    until("three calls", || (host.calls().len() == 3).then_some(()));
    scene.kill();
    host.script(|_, _| ok());
    scene.start();
    // Safe and keyed ones go again, under their names and keys.
    for id in &ids[..2] {
        let calls = until("another call", || {
            Some(host.calls_of(id)).filter(|calls| calls.len() == 2)
        });
        assert_eq!(
            (&calls[0].key, &calls[0].body),
            (&calls[1].key, &calls[1].body)
        );
    }
    // A non-idempotent one must not, nor may its client be answered that resubmitting is safe.
    let notice = until("the notice", || scene.discovery.notice_of(&ids[2]));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&ids[2]).len(), 1);
    // What was delivered or ended is not owed at the next start. A kill might come between an answer and
    // its record; this end does not.
    scene.term();
    assert!(scene.end().success());
    scene.start();
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&id).first().cloned());
    assert_eq!(host.calls().len(), 6, "{:?}", host.calls());
}

#[test]
fn attempts_and_the_keys_memory_are_counted_over_restarts() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::new(vec![up("a", &host, 2)]);
    scene.config["settings"]["services"][0]["window"] = 1_500_000.into();
    scene.start();
    let (id, _) = scene.enqueue("event", 2);
    until("the call", || host.calls_of(&id).first().cloned());
    scene.kill();
    // The key is forgotten while the relay is down.
    std::thread::sleep(Duration::from_millis(1600));
    scene.start();
    let notice = until("the notice", || scene.discovery.notice_of(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn a_message_past_its_time_at_the_start_ends_at_once() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, _) = scene.enqueue_body("update", 1, 1500, b"x");
    until("the call", || host.calls_of(&id).first().cloned());
    scene.kill();
    std::thread::sleep(Duration::from_millis(1600));
    host.script(|_, _| ok());
    scene.start();
    let notice = until("the notice", || scene.discovery.notice_of(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn a_torn_journal_loses_only_its_torn_record() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&id).first().cloned());
    scene.kill();
    let whole = fs::read(scene.journal()).expect("a journal");
    for tail in [
        &whole[..5],
        &[0xff; 40][..],
        &whole[..whole.len() / 2 - 1],
        &[40, 0, 0, 0, 1, 2, 3, 4, 5],
    ] {
        let mut file = fs::File::options()
            .append(true)
            .open(scene.journal())
            .expect("a journal");
        file.write_all(tail).expect("written");
    }
    host.script(|_, _| ok());
    scene.start();
    until("another call", || host.calls_of(&id).get(1).cloned());
    // What is written after the cut can be read again.
    host.script(|_, _| Answer::Hang);
    let (second, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&second).first().cloned());
    scene.kill();
    assert!(
        scene.log().contains("journal: torn_tail_dropped"),
        "{}",
        scene.log()
    );
    host.script(|_, _| ok());
    scene.start();
    until("another call", || host.calls_of(&second).get(1).cloned());
}

fn folder_size(scene: &Scene) -> u64 {
    let files = fs::read_dir(scene.folder.join("state"))
        .expect("a folder")
        .flatten();
    files
        .filter_map(|file| file.metadata().ok())
        .map(|meta| meta.len().div_ceil(512) * 512)
        .sum()
}

#[test]
fn the_journal_is_written_anew_and_stays_under_its_limit() {
    let host = Host::new(|seen, _| {
        if seen.id == "m0001" {
            Answer::Hang
        } else {
            ok()
        }
    });
    let mut scene = Scene::new(vec![up("a", &host, 1), up("b", &host, 2)]);
    scene.config["limits"]["disk_mb"] = 0.25.into();
    scene.start();
    let (owed, _) = scene.enqueue("update", 1);
    let mut shrunk = 0;
    let mut size = 0;
    for number in 0..120 {
        let (id, answer) = scene.enqueue_body("update", 2, 20_000, &[7; 10_000]);
        assert_eq!(answer, "+OK", "message {number}");
        until("the call", || host.calls_of(&id).first().cloned());
        let now = folder_size(&scene);
        assert!(now < 220_000, "{now} bytes");
        shrunk += u32::from(now < size);
        size = now;
    }
    assert!(shrunk > 3, "written anew {shrunk} times");
    scene.kill();
    host.script(|_, _| ok());
    scene.start();
    until("what was owed all along", || {
        host.calls_of(&owed).get(1).cloned()
    });
    assert_eq!(host.calls_of(&owed)[1].body, b"body");
}

#[test]
fn a_full_journal_turns_messages_away_and_the_relay_lives() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::new(vec![up("a", &host, 1), up("b", &host, 2)]);
    scene.config["limits"]["disk_mb"] = 0.25.into();
    scene.start();
    let answers: Vec<String> = (0..20)
        .map(|_| scene.enqueue_body("update", 1, 50_000, &[7; 10_000]).1)
        .collect();
    assert!(
        answers[..5].iter().all(|answer| answer == "+OK"),
        "{answers:?}"
    );
    assert!(
        answers[10..]
            .iter()
            .all(|answer| answer.starts_with("-BUSY ")),
        "{answers:?}"
    );
    let (id, answer) = scene.enqueue_body("update", 2, 50_000, b"small");
    assert_eq!(answer, "+OK");
    until("the call", || host.calls_of(&id).first().cloned());
    assert!(folder_size(&scene) < 220_000);
}
