//! The journal: kills, torn records and its size limit.

use super::*;

#[test]
fn call_in_flight_at_kill_may_have_executed() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::started(vec![
        up("a", &host, 1),
        up("b", &host, 2),
        up("c", &host, 3),
    ]);
    let ids: Vec<String> = [("update", 1), ("event", 2), ("payout", 3)]
        .iter()
        .map(|(class, block)| {
            let (id, answer) = test_bed.enqueue(class, *block);
            assert_eq!(answer, "+OK");
            id
        })
        .collect();
    wait_until("three calls", || (host.calls().len() == 3).then_some(()));
    test_bed.kill();
    host.script(|_, _| ok());
    test_bed.start();
    // Safe and keyed messages are sent again, with their ids and keys.
    for id in &ids[..2] {
        let calls = wait_until("another call", || {
            Some(host.calls_of(id)).filter(|calls| calls.len() == 2)
        });
        assert_eq!(
            (&calls[0].key, &calls[0].body),
            (&calls[1].key, &calls[1].body)
        );
    }
    // A non-idempotent message must not be sent again, nor may its client be notified that resubmitting is safe.
    let notice = wait_until("the notice", || test_bed.discovery.notice_for(&ids[2]));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&ids[2]).len(), 1);
    // Messages that were delivered or have ended are not restored at the next start. A kill could fall between an
    // answer and its record; an exit on SIGTERM does not.
    test_bed.terminate();
    assert!(test_bed.wait_for_exit().success());
    test_bed.start();
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || host.calls_of(&id).first().cloned());
    assert_eq!(host.calls().len(), 6, "{:?}", host.calls());
}

#[test]
fn attempts_and_idempotency_key_age_are_kept_across_restarts() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::new(vec![up("a", &host, 2)]);
    test_bed.config["settings"]["services"][0]["window"] = 1_500_000.into();
    test_bed.start();
    let (id, _) = test_bed.enqueue("event", 2);
    wait_until("the call", || host.calls_of(&id).first().cloned());
    test_bed.kill();
    // The key expires while the relay is down.
    std::thread::sleep(Duration::from_millis(1600));
    test_bed.start();
    let notice = wait_until("the notice", || test_bed.discovery.notice_for(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn message_past_its_deadline_at_startup_fails_immediately() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let (id, _) = test_bed.enqueue_body("update", 1, 1500, b"x");
    wait_until("the call", || host.calls_of(&id).first().cloned());
    test_bed.kill();
    std::thread::sleep(Duration::from_millis(1600));
    host.script(|_, _| ok());
    test_bed.start();
    let notice = wait_until("the notice", || test_bed.discovery.notice_for(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn torn_journal_loses_only_its_torn_record() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || host.calls_of(&id).first().cloned());
    test_bed.kill();
    let whole = fs::read(test_bed.journal()).expect("a journal");
    for tail in [
        &whole[..5],
        &[0xff; 40][..],
        &whole[..whole.len() / 2 - 1],
        &[40, 0, 0, 0, 1, 2, 3, 4, 5],
    ] {
        let mut file = fs::File::options()
            .append(true)
            .open(test_bed.journal())
            .expect("a journal");
        file.write_all(tail).expect("written");
    }
    host.script(|_, _| ok());
    test_bed.start();
    wait_until("another call", || host.calls_of(&id).get(1).cloned());
    // Records written after the truncation can be read again.
    host.script(|_, _| HostResponse::Hang);
    let (second, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || host.calls_of(&second).first().cloned());
    test_bed.kill();
    assert!(
        test_bed.log().contains("journal: torn_tail_dropped"),
        "{}",
        test_bed.log()
    );
    host.script(|_, _| ok());
    test_bed.start();
    wait_until("another call", || host.calls_of(&second).get(1).cloned());
}

fn folder_size(test_bed: &TestBed) -> u64 {
    let files = fs::read_dir(test_bed.folder.join("state"))
        .expect("a folder")
        .flatten();
    files
        .filter_map(|file| file.metadata().ok())
        .map(|meta| meta.len().div_ceil(512) * 512)
        .sum()
}

#[test]
fn journal_is_compacted_and_stays_under_its_limit() {
    let host = Host::new(|seen, _| {
        if seen.id == "m0001" {
            HostResponse::Hang
        } else {
            ok()
        }
    });
    let mut test_bed = TestBed::new(vec![up("a", &host, 1), up("b", &host, 2)]);
    test_bed.config["limits"]["disk_mb"] = 0.25.into();
    test_bed.start();
    let (owed, _) = test_bed.enqueue("update", 1);
    let mut shrunk = 0;
    let mut size = 0;
    for number in 0..120 {
        let (id, answer) = test_bed.enqueue_body("update", 2, 20_000, &[7; 10_000]);
        assert_eq!(answer, "+OK", "message {number}");
        wait_until("the call", || host.calls_of(&id).first().cloned());
        let now = folder_size(&test_bed);
        assert!(now < 220_000, "{now} bytes");
        shrunk += u32::from(now < size);
        size = now;
    }
    assert!(shrunk > 3, "compacted only {shrunk} times");
    test_bed.kill();
    host.script(|_, _| ok());
    test_bed.start();
    wait_until("the message that stayed pending", || {
        host.calls_of(&owed).get(1).cloned()
    });
    assert_eq!(host.calls_of(&owed)[1].body, b"body");
}

#[test]
fn full_journal_rejects_messages_and_relay_keeps_running() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::new(vec![up("a", &host, 1), up("b", &host, 2)]);
    test_bed.config["limits"]["disk_mb"] = 0.25.into();
    test_bed.start();
    let answers: Vec<String> = (0..20)
        .map(|_| test_bed.enqueue_body("update", 1, 50_000, &[7; 10_000]).1)
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
    let (id, answer) = test_bed.enqueue_body("update", 2, 50_000, b"small");
    assert_eq!(answer, "+OK");
    wait_until("the call", || host.calls_of(&id).first().cloned());
    assert!(folder_size(&test_bed) < 220_000);
}
